#include "Commands.h"

#include "Rollout/Rollout.h"

#include <cmath>

namespace buckthornring::cli {

namespace {

using Json = nlohmann::json;

auto text(const Json &Value, const char *Name) -> std::string {
  if (!Value.contains(Name))
    return "";
  const Json &Field = Value.at(Name);
  return Field.is_string() ? Field.get<std::string>() : Field.dump();
}

/// Upper bound in ms of the bucket that holds the median of the times.
auto medianMs(const Json &Buckets) -> double {
  double Total = 0;
  for (const Json &Count : Buckets)
    Total += Count.get<double>();
  double Sum = 0;
  double Bound = TimeCounts::FirstBoundMs;
  for (const Json &Count : Buckets) {
    Sum += Count.get<double>();
    if (2 * Sum >= Total)
      break;
    Bound *= TimeCounts::BucketFactor;
  }
  return Total == 0 ? 0 : Bound;
}

auto addRoutes(const Json &Routes, const char *Version, CommandResult &Out)
    -> void {
  for (const auto &[Route, Outcomes] : Routes.items())
    Out.Lines.push_back(
        std::string("  ") + Version + " version, route " + Route + ": " +
        text(Outcomes, "requests") + " responses, " +
        text(Outcomes, "failures") + " failures, median at most " +
        std::to_string(std::lround(medianMs(Outcomes.at("time_buckets")))) +
        " ms");
}

auto addDecision(const Json &Decision, CommandResult &Out) -> void {
  Out.Lines.push_back(
      "  decided: " + text(Decision, "decided") + " (" +
      text(Decision, "cause") + ") after " + text(Decision, "elapsed_ms") +
      " of " + text(Decision, "length_ms") + " ms, share " +
      text(Decision, "share_ppm") + " ppm, " + text(Decision, "sent_to_new") +
      " of " + text(Decision, "requests") + " requests compared");
  Out.Lines.push_back("  probability of the failures by chance " +
                      text(Decision, "failure_tail") + ", times new to old " +
                      text(Decision, "slowness"));
  addRoutes(Decision.at("old"), "old", Out);
  addRoutes(Decision.at("new"), "new", Out);
}

auto addService(const std::string &Name, const Json &Service,
                const Json &Decisions, CommandResult &Out) -> void {
  std::string Row = Name + ": in use " + text(Service, "base");
  if (Service.contains("to"))
    Row += ", ordered " + text(Service, "to") + ", status " +
           text(Service, "state") + ", stage " + text(Service, "stage");
  Out.Lines.push_back(Row);
  if (Decisions.contains(Name))
    return addDecision(Decisions.at(Name), Out);
  if (Service.contains("record"))
    Out.Lines.push_back("  recorded: " + text(Service["record"], "stage") +
                        " (" + text(Service["record"], "cause") + ") after " +
                        text(Service["record"], "elapsed_ms") + " ms");
}

/// Adds what an instance answered. Throws Json::exception if it is malformed.
auto addAnswer(const std::string &Address, const Json &Answer,
               const std::string &Wanted, CommandResult &Out) -> void {
  const Json Decisions = Answer.value("decisions", Json::object());
  Out.Lines.push_back("instance " + text(Answer, "instance") + " at " +
                      Address +
                      (Answer.at("leading").get<bool>() ? ", leading" : ""));
  for (const auto &[Name, Service] : Answer.at("services").items())
    if (Wanted.empty() || Name == Wanted)
      addService(Name, Service, Decisions, Out);
  Out.Details["instances"].push_back(Answer);
}

} // namespace

auto rolloutCommand(const CommandLine &Line) -> CommandResult {
  if (Line.AdminAddresses.empty())
    return CommandResult::failure(ExitCode::Usage, "usage",
                                  "--admin ADDRESS is missing (see "
                                  "buckthornring --help)");
  const std::string Wanted = Line.Arguments.empty() ? "" : Line.Arguments[0];
  CommandResult Out;
  Out.Result = "shown";
  Out.Details["instances"] = Json::array();
  for (const std::string &Address : Line.AdminAddresses) {
    const auto Body = fetchAdmin(Address, "/rollouts", Line.TimeLimit);
    if (!Body)
      return CommandResult::failure(ExitCode::Unreachable, "unreachable",
                                    Address + ": " + Body.error().message());
    try {
      addAnswer(Address, Json::parse(*Body), Wanted, Out);
    } catch (const Json::exception &Failure) {
      return CommandResult::failure(ExitCode::Rejected, "unusable",
                                    Address + ": " + Failure.what());
    }
  }
  return Out;
}

} // namespace buckthornring::cli
