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

/// Events that change the state of an instance. The last one of each kind
/// before a request gives the state that the request met.
constexpr std::array<const char *, 8> StateChangeEvents = {
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

/// Reads the JSON objects of a log. Other lines, and text before an object, are
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

auto isStateChange(const LogLine &Line, const Json &Request) -> bool {
  const std::string Event = text(Line.Fields, "event");
  const std::string Target = text(Request, "target");
  // Of a request that was sent to no target, all targets of the service count.
  if (Event == "target-announced")
    return Target.empty()
               ? text(Line.Fields, "service") == text(Request, "service")
               : text(Line.Fields, "target") == Target;
  if (Event == "target-changed" || Event == "target-removed")
    return !Target.empty() && text(Line.Fields, "target") == Target;
  return std::find(StateChangeEvents.begin(), StateChangeEvents.end(), Event) !=
         StateChangeEvents.end();
}

/// Returns the key under which a later state change replaces an earlier one.
/// Loss and return of the contact with the store share one key per kind of
/// object.
auto stateChangeKey(const LogLine &Line) -> std::string {
  const std::string Event = text(Line.Fields, "event");
  const std::string Kind = text(Line.Fields, "kind");
  if (Event == "target-announced")
    return Event + "/" + text(Line.Fields, "target") + "/" +
           text(Line.Fields, "notice");
  return (Kind.empty() ? Event : "store-contact") + "/" + Kind;
}

/// Returns the last state change of each key that the request's instance logged
/// up to the end of the request, in the order of time.
auto stateChangesBefore(const std::vector<LogLine> &Log, const LogLine &Request)
    -> std::vector<const LogLine *> {
  std::map<std::string, const LogLine *> LatestByKey;
  for (const LogLine &Line : Log) {
    if (Line.TimeMs > Request.TimeMs ||
        text(Line.Fields, "instance") != text(Request.Fields, "instance") ||
        !isStateChange(Line, Request.Fields))
      continue;
    // A restarted process does not keep the state of the earlier one.
    if (text(Line.Fields, "event") == "start")
      LatestByKey.clear();
    LatestByKey[stateChangeKey(Line)] = &Line;
  }
  std::vector<const LogLine *> Out;
  Out.reserve(LatestByKey.size());
  for (const auto &[Key, Line] : LatestByKey)
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

/// The line of a hedge comes before that of its request, which tells whether
/// the hedge won.
auto describeHedge(const LogLine &Hedge, CommandResult &Out) -> void {
  Out.Lines.push_back(std::to_string(Hedge.TimeMs) + " " +
                      text(Hedge.Fields, "instance") + " " +
                      summary(Hedge.Fields));
  Out.Details["hedges"].push_back(Hedge.Fields);
}

auto describe(const LogLine &Request, const std::vector<LogLine> &Log,
              CommandResult &Out) -> void {
  Out.Lines.push_back(std::to_string(Request.TimeMs) + " " +
                      text(Request.Fields, "instance") + " " +
                      summary(Request.Fields));
  Json StateChanges = Json::array();
  for (const LogLine *StateChange : stateChangesBefore(Log, Request)) {
    const std::int64_t Age = Request.TimeMs - StateChange->TimeMs;
    Out.Lines.push_back("  " + std::to_string(Age) +
                        " ms before: " + summary(StateChange->Fields));
    Json Entry = StateChange->Fields;
    Entry["age_ms"] = Age;
    StateChanges.push_back(std::move(Entry));
  }
  Out.Details["requests"].push_back(
      {{"request", Request.Fields}, {"beliefs", std::move(StateChanges)}});
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
  for (const LogLine &Each : Log) {
    if (text(Each.Fields, "id") != Line.Arguments.front())
      continue;
    if (text(Each.Fields, "event") == "request")
      describe(Each, Log, Out);
    if (text(Each.Fields, "event") == "hedge")
      describeHedge(Each, Out);
  }
  if (Out.Lines.empty())
    return CommandResult::failure(ExitCode::Different, "not-found",
                                  "no log line for request " +
                                      Line.Arguments.front() +
                                      "; served requests are sampled");
  return Out;
}

} // namespace buckthornring::cli
