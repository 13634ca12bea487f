#include "InstanceQuery.h"

#include "PlatformSession.h"

#include <cmath>
#include <utility>

namespace buckthornring::cli {

using Json = nlohmann::json;

auto number(const Json &Value) -> std::string {
  return Json(std::round(Value.get<double>() * 10) / 10).dump();
}

auto text(const Json &Value) -> std::string {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

auto askInstance(const CommandLine &Line, const std::string &Target,
                 const std::function<CommandResult(Json)> &Show)
    -> CommandResult {
  const auto Response =
      requestAdmin(Line.InstanceAddress, Target, Line.TimeLimit);
  if (!Response)
    return CommandResult::failure(ExitCode::Unreachable, "unreachable",
                                  "no answer from " + Line.InstanceAddress +
                                      ": " + Response.error().message());
  Json Answer = Json::parse(Response->Body, nullptr, false);
  if (Answer.is_object() && Answer.contains("error"))
    return CommandResult::failure(ExitCode::Invalid, "invalid",
                                  text(Answer["error"]));
  try {
    return Show(std::move(Answer));
  } catch (const Json::exception &) {
    return CommandResult::failure(
        ExitCode::Rejected, "unusable",
        Line.InstanceAddress + " is not the peer address of an instance");
  }
}

} // namespace buckthornring::cli
