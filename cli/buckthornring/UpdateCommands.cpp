#include "Commands.h"

#include "buckthornring/Config/ConfigChecker.h"
#include "buckthornring/Config/ConfigEdit.h"
#include "buckthornring/IO/SettingsFiles.h"

#include <cinttypes>
#include <cstdio>
#include <functional>
#include <random>
#include <utility>

namespace buckthornring::cli {

namespace {

/// Returns 128 random bits as hex digits, so that identifiers do not collide.
auto newUpdateId() -> std::string {
  std::random_device Source;
  std::string Out;
  for (int I = 0; I < 4; ++I) {
    char Part[9];
    std::snprintf(Part, sizeof(Part), "%08" PRIx32,
                  static_cast<std::uint32_t>(Source()));
    Out += Part;
  }
  return Out;
}

auto generationText(std::uint64_t Generation) -> std::string {
  return "generation " + std::to_string(Generation);
}

auto configurationResult(const char *ResultName, const ConfigRecord &Record)
    -> CommandResult {
  CommandResult Out;
  Out.Result = ResultName;
  Out.Details = {{"generation", Record.generation()},
                 {"digest", Record.digest()}};
  Out.Lines = {std::string(ResultName) + ": " +
               generationText(Record.generation()) + ", digest " +
               Record.digest()};
  return Out;
}

auto conflict(std::uint64_t WinnerGeneration) -> CommandResult {
  auto Out = CommandResult::failure(ExitCode::Conflict, "refused",
                                    "another update won with " +
                                        generationText(WinnerGeneration) +
                                        "; nothing was changed");
  Out.Details["winner"] = WinnerGeneration;
  return Out;
}

/// Returns the command's result for a finished update.
auto describe(const ConfigUpdate &Update) -> CommandResult {
  switch (Update.outcome()) {
  case ConfigUpdateOutcome::Applied:
    return configurationResult("applied", Update.record());
  case ConfigUpdateOutcome::Refused:
    return conflict(Update.winnerGeneration());
  case ConfigUpdateOutcome::Rejected:
    return CommandResult::failure(ExitCode::Rejected, "rejected",
                                  Update.reason() + "; nothing was changed");
  case ConfigUpdateOutcome::Unchanged:
    return CommandResult::failure(
        ExitCode::Unreachable, "unreachable",
        "the platform did not answer; nothing was changed");
  case ConfigUpdateOutcome::Unknown:
  case ConfigUpdateOutcome::Pending:
    break;
  }
  auto Out = CommandResult::failure(
      ExitCode::Unknown, "unknown",
      "the write got no response; " +
          generationText(Update.record().generation()) + " may be in effect");
  Out.Details["generation"] = Update.record().generation();
  Out.Details["digest"] = Update.record().digest();
  return Out;
}

/// Checks the content and writes it as the record that follows the current one.
/// Writes nothing when it is in force already.
auto write(const CurrentConfig &Current, const SettingsDocument &Content,
           PlatformSession &Session, std::uint64_t MinGeneration = 0)
    -> CommandResult {
  const auto *Previous = Current.Record ? &*Current.Record : nullptr;
  if (Previous != nullptr && Previous->generation() >= MinGeneration &&
      ConfigRecord::digestOf(Content) == Previous->digest())
    return configurationResult("unchanged", *Previous);
  const auto Found = ConfigChecker::check(Content, 1);
  if (!Found)
    return CommandResult::invalid(Found.Errors);
  auto Record =
      ConfigRecord::next(Previous, Content, newUpdateId(), MinGeneration);
  if (!Record)
    return CommandResult::failure(ExitCode::Invalid, "invalid",
                                  Record.error().message());
  ConfigUpdate Update(std::move(*Record), Current.Version);
  Session.run(Update);
  return describe(Update);
}

/// Returns a refusal when the accepted generation is not that of
/// --if-generation.
auto checkIfGeneration(const CommandLine &Line, const CurrentConfig &Current)
    -> std::optional<CommandResult> {
  const auto Accepted = Current.Record ? Current.Record->generation() : 0;
  if (!Line.IfGeneration || *Line.IfGeneration == Accepted)
    return std::nullopt;
  return conflict(Accepted);
}

using Edit = std::function<Result<SettingsDocument>(const SettingsDocument &)>;

auto edit(const CommandLine &Line, PlatformSession &Session, const Edit &Change)
    -> CommandResult {
  const auto Current = Session.readCurrent();
  if (auto Failure = readFailure(Current))
    return std::move(*Failure);
  if (!Current.Record)
    return CommandResult::failure(ExitCode::Invalid, "invalid",
                                  "there is no accepted configuration yet");
  if (auto Refusal = checkIfGeneration(Line, Current))
    return std::move(*Refusal);
  const auto Changed = Change(Current.Record->content());
  if (!Changed)
    return CommandResult::failure(ExitCode::Invalid, "invalid",
                                  Changed.error().message());
  return write(Current, *Changed, Session);
}

} // namespace

auto applyCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult {
  const auto Document = readConfigFolder(Line.Arguments[0]);
  if (!Document)
    return CommandResult::invalid(Document.Errors);
  const auto Found = ConfigChecker::check(*Document.Value, 1);
  if (!Found)
    return CommandResult::invalid(Found.Errors);
  const auto Current = Session.readCurrent();
  if (auto Failure = readFailure(Current))
    return std::move(*Failure);
  if (auto Refusal = checkIfGeneration(Line, Current))
    return std::move(*Refusal);
  if (Current.Record && !Line.Reinstate) {
    auto Errors =
        ConfigEdit::reversals(Current.Record->content(), *Document.Value);
    if (!Errors.empty()) {
      auto Out = CommandResult::invalid(std::move(Errors));
      Out.Message = "this undoes changes of the accepted configuration; "
                    "--reinstate allows it";
      return Out;
    }
  }
  return write(Current, *Document.Value, Session, Line.MinGeneration);
}

auto withdrawKeyCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult {
  return edit(Line, Session, [&](const SettingsDocument &Content) {
    return ConfigEdit::withdrawKey(Content, Line.Arguments[0]);
  });
}

auto takeOutCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult {
  return edit(Line, Session, [&](const SettingsDocument &Content) {
    return ConfigEdit::takeOut(Content, Line.Arguments[0], Line.ConfirmLost);
  });
}

auto bringBackCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult {
  return edit(Line, Session, [&](const SettingsDocument &Content) {
    return ConfigEdit::bringBack(Content, Line.Arguments[0]);
  });
}

auto drainCommand(const CommandLine &Line, PlatformSession &Session)
    -> CommandResult {
  if (Line.Arguments[0].find('/') == std::string::npos)
    return CommandResult::failure(ExitCode::Usage, "usage",
                                  "drain needs SERVICE/TARGET; take-out takes "
                                  "a data centre out of service");
  return takeOutCommand(Line, Session);
}

} // namespace buckthornring::cli
