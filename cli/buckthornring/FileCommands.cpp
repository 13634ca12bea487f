#include "Commands.h"

#include "buckthornring/Config/ConfigChecker.h"
#include "buckthornring/Config/ConfigDiff.h"
#include "buckthornring/IO/SettingsFiles.h"

#include <utility>

namespace buckthornring::cli {

namespace {

auto differenceLine(const ConfigDifference &Each) -> std::string {
  if (!Each.Before)
    return "+ " + Each.Key + ": " + *Each.After;
  if (!Each.After)
    return "- " + Each.Key + ": " + *Each.Before;
  return "~ " + Each.Key + ": " + *Each.Before + " -> " + *Each.After;
}

auto differenceJson(const ConfigDifference &Each) -> nlohmann::json {
  nlohmann::json Out = {{"key", Each.Key}};
  if (Each.Before)
    Out["before"] = nlohmann::json::parse(*Each.Before);
  if (Each.After)
    Out["after"] = nlohmann::json::parse(*Each.After);
  return Out;
}

auto emptyDocument() -> SettingsDocument {
  return {nlohmann::json::object(), {}};
}

} // namespace

auto readFailure(const CurrentConfig &Current) -> std::optional<CommandResult> {
  if (Current.Status == PlatformStatus::Done ||
      Current.Status == PlatformStatus::Absent)
    return std::nullopt;
  if (Current.Status == PlatformStatus::Rejected)
    return CommandResult::failure(ExitCode::Rejected, "unusable",
                                  Current.ParseFailure.empty()
                                      ? "the platform refused the read"
                                      : Current.ParseFailure);
  return CommandResult::failure(
      ExitCode::Unreachable, "unreachable",
      "the platform did not answer; nothing was changed");
}

auto checkCommand(const CommandLine &Line) -> CommandResult {
  const auto Document = readConfigFolder(Line.Arguments[0]);
  if (!Document)
    return CommandResult::invalid(Document.Errors);
  const auto Found = ConfigChecker::check(*Document.Value, 1);
  if (!Found)
    return CommandResult::invalid(Found.Errors);
  const auto &Config = *Found.Value;
  std::size_t Targets = 0;
  for (const auto &Each : Config.Services)
    Targets += Each.second.Targets.size();
  CommandResult Out;
  Out.Result = "valid";
  Out.Details = {{"digest", ConfigRecord::digestOf(*Document.Value)},
                 {"data_centres", Config.DataCentres.size()},
                 {"workspaces", Config.Workspaces.size()},
                 {"caller_keys", Config.CallerKeys.size()},
                 {"services", Config.Services.size()},
                 {"targets", Targets},
                 {"routes", Config.Routes.size()}};
  Out.Lines = {"valid: data centres " +
                   std::to_string(Config.DataCentres.size()) + ", workspaces " +
                   std::to_string(Config.Workspaces.size()) + ", caller keys " +
                   std::to_string(Config.CallerKeys.size()) + ", services " +
                   std::to_string(Config.Services.size()) + ", targets " +
                   std::to_string(Targets) + ", routes " +
                   std::to_string(Config.Routes.size()),
               "digest " + Out.Details["digest"].get<std::string>()};
  return Out;
}

auto diffCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult {
  const auto Document = readConfigFolder(Line.Arguments[0]);
  if (!Document)
    return CommandResult::invalid(Document.Errors);
  const auto Current = Session.readCurrent();
  if (auto Failure = readFailure(Current))
    return std::move(*Failure);
  const auto Differences =
      configDiff(Current.Record ? Current.Record->content() : emptyDocument(),
                 *Document.Value);
  const auto Generation = Current.Record ? Current.Record->generation() : 0;
  CommandResult Out;
  Out.Code = Differences.empty() ? ExitCode::Done : ExitCode::Different;
  Out.Result = Differences.empty() ? "equal" : "different";
  Out.Details = {{"generation", Generation},
                 {"differences", nlohmann::json::array()}};
  Out.Lines = {Out.Result + " to generation " + std::to_string(Generation)};
  for (const auto &Each : Differences) {
    Out.Details["differences"].push_back(differenceJson(Each));
    Out.Lines.push_back(differenceLine(Each));
  }
  // Errors are shown with the differences, so that an invalid configuration is
  // not mistaken for a valid one.
  Out.Errors = ConfigChecker::check(*Document.Value, 1).Errors;
  if (!Out.Errors.empty()) {
    Out.Code = ExitCode::Invalid;
    Out.Result = "invalid";
  }
  return Out;
}

} // namespace buckthornring::cli
