#include "Commands.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>

namespace buckthornring::cli {

using Json = nlohmann::json;

namespace {

/// Events that change what an instance believes, of which the last one before a
/// request tells what was in force.
constexpr std::array<const char *, 8> BeliefEvents = {
    "start",          "stop-began",          "configuration-in-force",
    "leader-changed", "store-contact-lost",  "store-contact-regained",
    "targets-read",   "evacuations-changed",
};

struct LogLine {
  std::int64_t TimeMs = 0;
  Json Fields;
};

auto text(const Json &Fields, const char *Name) -> std::string {
  const auto Found = Fields.find(Name);
  if (Found == Fields.end())
    return "";
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

/// Reads the objects of a log; other lines, and text before an object, are
/// skipped.
auto readLog(std::istream &Stream, std::vector<LogLine> &Out) -> void {
  for (std::string Row; std::getline(Stream, Row);) {
    const auto Start = Row.find('{');
    if (Start == std::string::npos)
      continue;
    auto Fields = Json::parse(Row.begin() + static_cast<std::ptrdiff_t>(Start),
                              Row.end(), nullptr, false);
    if (Fields.is_object() && Fields.contains("event") &&
        Fields.value("time_ms", Json()).is_number_integer())
      Out.push_back({Fields["time_ms"].get<std::int64_t>(), std::move(Fields)});
  }
}

auto isBelief(const LogLine &Line, const std::string &Target) -> bool {
  const std::string Event = text(Line.Fields, "event");
  if (Event == "target-changed" || Event == "target-removed")
    return !Target.empty() && text(Line.Fields, "target") == Target;
  return std::find(BeliefEvents.begin(), BeliefEvents.end(), Event) !=
         BeliefEvents.end();
}

/// What distinguishes two beliefs of the same event, such as the kind of
/// object for contact with the store.
auto beliefKey(const LogLine &Line) -> std::string {
  const std::string Event = text(Line.Fields, "event");
  const std::string Kind = text(Line.Fields, "kind");
  return (Kind.empty() ? Event : "store-contact") + "/" + Kind;
}

/// The last line of each belief of the request's instance before its end.
auto beliefsAt(const std::vector<LogLine> &Log, const LogLine &Request)
    -> std::vector<const LogLine *> {
  std::map<std::string, const LogLine *> Last;
  for (const LogLine &Line : Log) {
    if (Line.TimeMs > Request.TimeMs ||
        text(Line.Fields, "instance") != text(Request.Fields, "instance") ||
        !isBelief(Line, text(Request.Fields, "target")))
      continue;
    // A new process knows nothing of what an earlier one believed.
    if (text(Line.Fields, "event") == "start")
      Last.clear();
    Last[beliefKey(Line)] = &Line;
  }
  std::vector<const LogLine *> Out;
  Out.reserve(Last.size());
  for (const auto &[Key, Line] : Last)
    Out.push_back(Line);
  std::sort(Out.begin(), Out.end(),
            [](const LogLine *First, const LogLine *Second) {
              return First->TimeMs < Second->TimeMs;
            });
  return Out;
}

auto summary(const Json &Fields) -> std::string {
  std::string Out = text(Fields, "event");
  for (const auto &[Name, Value] : Fields.items())
    if (Name != "event" && Name != "time_ms" && Name != "instance" &&
        !(Value.is_string() && Value.get<std::string>().empty()))
      Out.append(" ").append(Name).append("=").append(
          text(Fields, Name.c_str()));
  return Out;
}

auto describe(const LogLine &Request, const std::vector<LogLine> &Log,
              CommandResult &Out) -> void {
  Out.Lines.push_back(std::to_string(Request.TimeMs) + " " +
                      text(Request.Fields, "instance") + " " +
                      summary(Request.Fields));
  Json Beliefs = Json::array();
  for (const LogLine *Belief : beliefsAt(Log, Request)) {
    const std::int64_t Age = Request.TimeMs - Belief->TimeMs;
    Out.Lines.push_back("  " + std::to_string(Age) +
                        " ms before: " + summary(Belief->Fields));
    Json Entry = Belief->Fields;
    Entry["age_ms"] = Age;
    Beliefs.push_back(std::move(Entry));
  }
  Out.Details["requests"].push_back(
      {{"request", Request.Fields}, {"beliefs", std::move(Beliefs)}});
}

} // namespace

auto explainCommand(const CommandLine &Line) -> CommandResult {
  std::vector<LogLine> Log;
  for (auto Path = Line.Arguments.begin() + 1; Path != Line.Arguments.end();
       ++Path) {
    std::ifstream File(*Path);
    if (!File)
      return CommandResult::failure(ExitCode::Invalid, "invalid",
                                    "cannot read " + *Path);
    readLog(File, Log);
  }
  if (Line.Arguments.size() == 1)
    readLog(std::cin, Log);
  std::stable_sort(Log.begin(), Log.end(),
                   [](const LogLine &First, const LogLine &Second) {
                     return First.TimeMs < Second.TimeMs;
                   });
  CommandResult Out;
  Out.Result = "explained";
  Out.Details["requests"] = Json::array();
  for (const LogLine &Each : Log)
    if (text(Each.Fields, "event") == "request" &&
        text(Each.Fields, "id") == Line.Arguments.front())
      describe(Each, Log, Out);
  if (Out.Lines.empty())
    return CommandResult::failure(ExitCode::Different, "not-found",
                                  "no line tells of request " +
                                      Line.Arguments.front() +
                                      "; served requests are sampled");
  return Out;
}

} // namespace buckthornring::cli
