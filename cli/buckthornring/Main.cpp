#include "Commands.h"

#include <array>
#include <cstdio>

using namespace buckthornring;
using namespace buckthornring::cli;

namespace {

/// One command, with its number of arguments and its function. Exactly one of
/// the two functions is set.
struct CommandEntry {
  const char *Name;
  const char *Usage;
  std::size_t MinArguments;
  std::size_t MaxArguments;
  CommandResult (*RunLocally)(const CommandLine &);
  CommandResult (*RunWithPlatform)(const CommandLine &, PlatformSession &);
};

constexpr std::array<CommandEntry, 13> CommandTable = {{
    {"check", "check PATH", 1, 1, checkCommand, nullptr},
    {"apply", "apply PATH", 1, 1, nullptr, applyCommand},
    {"diff", "diff PATH", 1, 1, nullptr, diffCommand},
    {"status", "status", 0, 0, nullptr, statusCommand},
    {"withdraw-key", "withdraw-key NAME", 1, 1, nullptr, withdrawKeyCommand},
    {"take-out", "take-out DC|SERVICE/TARGET", 1, 1, nullptr, takeOutCommand},
    {"bring-back", "bring-back DC|SERVICE/TARGET", 1, 1, nullptr,
     bringBackCommand},
    {"drain", "drain SERVICE/TARGET", 1, 1, nullptr, drainCommand},
    {"owner", "owner SERVICE KEY", 2, 2, nullptr, ownerCommand},
    {"why", "why [REASON]", 0, 1, whyCommand, nullptr},
    {"rollout", "rollout [SERVICE]", 0, 1, rolloutCommand, nullptr},
    {"explain", "explain REQUEST-ID [LOG...]", 1, 1000, explainCommand,
     nullptr},
    {"where", "where --instance ADDRESS --host H --path P", 0, 0, whereCommand,
     nullptr},
}};

auto usage(const std::string &Message) -> CommandResult {
  return CommandResult::failure(ExitCode::Usage, "usage",
                                Message + " (see buckthornring --help)");
}

auto runCommand(const CommandLine &Line) -> CommandResult {
  const CommandEntry *Entry = nullptr;
  for (const auto &Each : CommandTable)
    if (Line.Command == Each.Name)
      Entry = &Each;
  if (Entry == nullptr)
    return usage(Line.Command.empty() ? "a command is missing"
                                      : "there is no command " + Line.Command);
  if (Line.Arguments.size() < Entry->MinArguments ||
      Line.Arguments.size() > Entry->MaxArguments)
    return usage(std::string("expected: ") + Entry->Usage);
  if (Line.Command == "status" && !Line.InstanceAddress.empty())
    return instanceStatusCommand(Line);
  if (Entry->RunLocally != nullptr)
    return Entry->RunLocally(Line);
  if (Line.PlatformAddress.empty())
    return usage("--platform ADDRESS is missing");
  const auto Session =
      PlatformSession::create(Line.PlatformAddress, Line.TimeLimit);
  if (!Session)
    return usage("--platform: " + Session.error().message());
  return Entry->RunWithPlatform(Line, **Session);
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  const auto Line = parseCommandLine(Count, Arguments);
  if (!Line)
    return printResult("", usage(Line.error().message()), false);
  if (Line->Help) {
    std::fputs(helpText().c_str(), stdout);
    return 0;
  }
  if (Line->Version) {
    std::puts("buckthornring 0.1.0");
    return 0;
  }
  return printResult(Line->Command, runCommand(*Line), Line->Json);
}
