#include "CommandResult.h"

#include <cstdio>
#include <utility>

namespace buckthornring::cli {

namespace {

auto errorJson(const SettingsError &Each) -> nlohmann::json {
  nlohmann::json Out = {{"file", Each.Origin.File},
                        {"key", Each.Key},
                        {"found", Each.Found},
                        {"allowed", Each.Allowed}};
  if (Each.Origin.Line != 0)
    Out["line"] = Each.Origin.Line;
  return Out;
}

auto printJson(const std::string &Command, const CommandResult &Result)
    -> void {
  auto Out = Result.Details;
  Out["command"] = Command;
  Out["result"] = Result.Result;
  Out["exit_code"] = static_cast<int>(Result.Code);
  if (!Result.Message.empty())
    Out["message"] = Result.Message;
  if (!Result.Errors.empty()) {
    Out["errors"] = nlohmann::json::array();
    for (const auto &Each : Result.Errors)
      Out["errors"].push_back(errorJson(Each));
  }
  std::printf("%s\n",
              Out.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
                  .c_str());
}

} // namespace

auto CommandResult::failure(ExitCode Code, std::string Result,
                            std::string Message) -> CommandResult {
  CommandResult Out;
  Out.Code = Code;
  Out.Result = std::move(Result);
  Out.Message = std::move(Message);
  return Out;
}

auto CommandResult::invalid(std::vector<SettingsError> Errors)
    -> CommandResult {
  CommandResult Out;
  Out.Code = ExitCode::Invalid;
  Out.Result = "invalid";
  Out.Errors = std::move(Errors);
  return Out;
}

auto printResult(const std::string &Command, const CommandResult &Result,
                 bool AsJson) -> int {
  if (AsJson) {
    printJson(Command, Result);
    return static_cast<int>(Result.Code);
  }
  for (const auto &Each : Result.Lines)
    std::printf("%s\n", Each.c_str());
  std::fflush(stdout);
  for (const auto &Each : Result.Errors)
    std::fprintf(stderr, "%s\n", Each.text().c_str());
  if (!Result.Message.empty())
    std::fprintf(stderr, "%s: %s\n", Result.Result.c_str(),
                 Result.Message.c_str());
  return static_cast<int>(Result.Code);
}

} // namespace buckthornring::cli
