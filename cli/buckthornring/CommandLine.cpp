#include "CommandLine.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <sstream>

namespace buckthornring::cli {

namespace {

/// Leaves room for later updates: a generation can never be lowered again.
constexpr std::uint64_t MaxMinGeneration = 1'000'000'000'000;

constexpr const char *CommandsHelp =
    R"(Command-line tool for the operators of buckthornring.

Usage: buckthornring [OPTION...] COMMAND [ARGUMENT...]

Commands that read files:
  check PATH            Check a configuration folder or file; needs no platform.
  diff PATH             Show how it differs from the accepted configuration.
  apply PATH            Check it and make it the accepted configuration.

Commands that change the accepted configuration:
  withdraw-key NAME     Withdraw a caller key.
  take-out NAME         Take a data centre (DC) or target (SERVICE/TARGET) out
                        of service.
  bring-back NAME       Return a data centre or target to service.
  drain SERVICE/TARGET  Take a target out of service; running work completes.

Commands that show:
  status                The accepted generation, the instances that the platform
                        lists, and the generation in force at each --admin
                        endpoint. With --instance, instead: the services as
                        one instance sees them, with targets, room, refusals and
                        waiting requests; needs no platform.
  owner SERVICE KEY     The slice, home data centre and owner of a key.
  why [REASON]          Refusals by reason at the --admin endpoints, with their
                        meaning. REASON is the value of Btr-Refusal.
  rollout [SERVICE]     Rollouts and, from the leader, stage, share, counts and
                        times by version, from the peer addresses of instances
                        that are given as --admin endpoints.
  explain ID [LOG...]   The log lines of a request, and the last known state of
                        each instance before them, from their logs (default:
                        standard input).
  where                 The target to which --instance would send a request of
                        --host and --path now, and why; sends nothing. Needs
                        --caller-key or --workspace unless the route is open,
                        and --key for divided services.

PATH is a folder whose *.json files are merged in the order of their names, or
one file. Files are JSON with // and /* */ comments. In a merge, objects merge
deeply, later files win and arrays replace.

apply refuses a configuration that grants a withdrawn caller key again, or
returns a data centre or target to service, unless --reinstate is given.
)";

constexpr const char *ExitCodesHelp = R"(
Exit codes:
  0  done; a change that is already in force counts as done
  1  invalid input, or a name that does not exist; nothing was changed
  2  wrong command line
  3  another update won, its generation is shown; nothing was changed
  4  the platform or an endpoint did not answer; nothing was changed
  5  the outcome of an update is unknown; run status, then retry
  6  the platform refused the value, or holds one that cannot be used
  7  diff: there are differences; status: a generation is not in force at every
     --admin endpoint; owner: the key has no owner; explain: no line for the
     request; where: the request would wait or be refused
)";

auto makeOptions() -> cxxopts::Options {
  cxxopts::Options Out("buckthornring");
  Out.add_options()("platform",
                    "IP address and port of the platform; default: the "
                    "environment variable BUCKTHORNRING_PLATFORM",
                    cxxopts::value<std::string>(), "ADDRESS")(
      "admin", "Admin endpoint of an instance; may be repeated",
      cxxopts::value<std::vector<std::string>>(),
      "ADDRESS")("json", "Print one JSON object instead of plain text")(
      "if-generation",
      "Change the configuration only when generation N is the accepted one",
      cxxopts::value<std::uint64_t>(),
      "N")("min-generation",
           "apply: make the new generation at least N, also when nothing else "
           "changes (after the platform was restored from a backup)",
           cxxopts::value<std::uint64_t>(), "N")(
      "confirm-lost",
      "take-out, drain: confirm that nothing runs there any more, so that "
      "slices move without release")(
      "reinstate", "apply: also undo withdraw-key, take-out and drain")(
      "wait-ms", "status: wait until the generation is in force everywhere",
      cxxopts::value<std::uint32_t>(),
      "N")("time-limit-ms", "Time limit of each call, default 2000",
           cxxopts::value<std::uint32_t>(),
           "N")("instance", "where, status: peer address of the instance",
                cxxopts::value<std::string>(), "ADDRESS")(
      "host", "where: host of the request", cxxopts::value<std::string>(), "H")(
      "path", "where: path of the request", cxxopts::value<std::string>(), "P")(
      "key", "where: number of the key", cxxopts::value<std::string>(), "N")(
      "caller-key", "where: key of the caller", cxxopts::value<std::string>(),
      "K")("workspace", "where: workspace of the caller, instead of its key",
           cxxopts::value<std::string>(),
           "W")("help", "Print this text")("version", "Print the version");
  // Hidden from the help text, which lists the commands itself.
  Out.add_options("hidden")("words", "",
                            cxxopts::value<std::vector<std::string>>());
  Out.parse_positional({"words"});
  return Out;
}

auto readWords(const cxxopts::ParseResult &Parsed, CommandLine &Out) -> void {
  if (Parsed.count("words") == 0)
    return;
  const auto &Words = Parsed["words"].as<std::vector<std::string>>();
  Out.Command = Words.front();
  Out.Arguments.assign(Words.begin() + 1, Words.end());
}

auto readWhere(const cxxopts::ParseResult &Parsed, CommandLine &Out) -> void {
  const auto Value = [&Parsed](const char *Name) -> std::optional<std::string> {
    if (Parsed.count(Name) == 0)
      return std::nullopt;
    return Parsed[Name].as<std::string>();
  };
  Out.InstanceAddress = Value("instance").value_or("");
  Out.Host = Value("host").value_or("");
  Out.Path = Value("path").value_or("");
  Out.Key = Value("key");
  Out.CallerKey = Value("caller-key");
  Out.Workspace = Value("workspace");
}

auto readValues(const cxxopts::ParseResult &Parsed, CommandLine &Out) -> void {
  using std::chrono::milliseconds;
  if (const char *Default = std::getenv("BUCKTHORNRING_PLATFORM"))
    Out.PlatformAddress = Default;
  if (Parsed.count("platform") != 0)
    Out.PlatformAddress = Parsed["platform"].as<std::string>();
  if (Parsed.count("admin") != 0)
    Out.AdminAddresses = Parsed["admin"].as<std::vector<std::string>>();
  if (Parsed.count("if-generation") != 0)
    Out.IfGeneration = Parsed["if-generation"].as<std::uint64_t>();
  if (Parsed.count("min-generation") != 0)
    Out.MinGeneration = Parsed["min-generation"].as<std::uint64_t>();
  if (Parsed.count("wait-ms") != 0)
    Out.WaitLimit = milliseconds(Parsed["wait-ms"].as<std::uint32_t>());
  if (Parsed.count("time-limit-ms") != 0)
    Out.TimeLimit = milliseconds(Parsed["time-limit-ms"].as<std::uint32_t>());
}

} // namespace

auto parseCommandLine(int Count, char **Arguments) -> Result<CommandLine> {
  try {
    auto Options = makeOptions();
    const auto Parsed = Options.parse(Count, Arguments);
    CommandLine Out;
    readWords(Parsed, Out);
    readValues(Parsed, Out);
    readWhere(Parsed, Out);
    if (Out.MinGeneration > MaxMinGeneration)
      return Error("--min-generation: found " +
                   std::to_string(Out.MinGeneration) + ", allowed: at most " +
                   std::to_string(MaxMinGeneration));
    Out.Json = Parsed.count("json") != 0;
    Out.Help = Parsed.count("help") != 0;
    Out.Version = Parsed.count("version") != 0;
    Out.ConfirmLost = Parsed.count("confirm-lost") != 0;
    Out.Reinstate = Parsed.count("reinstate") != 0;
    return Out;
  } catch (const cxxopts::exceptions::exception &Failure) {
    return Error(Failure.what());
  }
}

auto helpText() -> std::string {
  auto Options = makeOptions();
  Options.set_width(80);
  std::istringstream Stream(Options.help({""}));
  std::string Text = "\nOptions:\n";
  // cxxopts adds its own usage line, and trailing spaces to wrapped lines;
  // both are removed.
  for (std::string Row; std::getline(Stream, Row);) {
    Row.erase(Row.find_last_not_of(' ') + 1);
    if (Row.starts_with("      "))
      Text.append(Row).append("\n");
  }
  return CommandsHelp + Text + ExitCodesHelp;
}

} // namespace buckthornring::cli
