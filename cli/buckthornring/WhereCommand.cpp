#include "Commands.h"
#include "InstanceQuery.h"

namespace buckthornring::cli {

using Json = nlohmann::json;

namespace {

auto query(const CommandLine &Line) -> std::string {
  std::string Out = "/where?host=" + encodePercent(Line.Host) +
                    "&path=" + encodePercent(Line.Path);
  const auto Add = [&Out](const char *Name,
                          const std::optional<std::string> &Value) {
    if (Value)
      Out.append("&").append(Name).append("=").append(encodePercent(*Value));
  };
  Add("key", Line.Key);
  Add("caller_key", Line.CallerKey);
  Add("workspace", Line.Workspace);
  return Out;
}

auto routeLine(const Json &Answer) -> std::string {
  const Json &Route = Answer.at("route");
  const std::string Host = Route.at("host").get<std::string>();
  return "route: " + (Host.empty() ? "any host" : Host) + " " +
         text(Route.at("path_prefix")) + ", " +
         (Route.at("idempotent").get<bool>() ? "" : "not ") +
         "idempotent, priority " + Route.at("priority").dump() + ", at most " +
         Route.at("max_attempts").dump() + " attempts, latency goal " +
         number(Route.at("target_latency_ms")) + " ms";
}

auto workspaceLine(const Json &Answer) -> std::string {
  std::string Out = "workspace: " + text(Answer.at("workspace"));
  const Json &Rate = Answer.at("rate");
  if (Rate.contains("requests_left"))
    Out += ", " + number(Rate["requests_left"]) + " requests left here";
  if (!Rate.at("admitted").get<bool>())
    Out += ", over its rate, retry after " + number(Rate.at("retry_after_ms")) +
           " ms";
  return Out;
}

auto serviceLine(const Json &Answer) -> std::string {
  std::string Out = "service: " + text(Answer.at("service"));
  if (Answer.contains("split"))
    for (const Json &Part : Answer["split"])
      Out += (&Part == &Answer["split"].front() ? " of the split " : ", ") +
             text(Part.at("service")) + " " + Part.at("weight").dump();
  return Out;
}

auto decisionLine(const Json &Answer) -> std::string {
  const Json &Decision = Answer.at("decision");
  const std::string Action = Decision.at("action").get<std::string>();
  std::string Out = "decision: " + Action;
  if (Decision.contains("reason"))
    Out += " (" + text(Decision["reason"]) + ")";
  if (Decision.contains("target"))
    Out += (Action == "send" ? " to " : ", would go to ") +
           text(Decision["target"]) + ", expected " +
           number(Decision.at("expected_ms")) + " ms";
  else
    Out += " up to " + number(Decision.at("wait_limit_ms")) +
           " ms, targets: " + text(Decision.at("blocked_by"));
  if (Answer.value("waiting_requests", false))
    Out += "; other requests of the service wait";
  return Out;
}

/// What speaks for and against a target.
auto targetLine(const Json &Target) -> std::string {
  std::string Out = text(Target.at("target"));
  if (!Target.contains("queue"))
    return Out + ", without a record";
  Out += " in " + text(Target.at("data_centre"));
  if (Target.contains("expected_ms"))
    Out += ": expected " + number(Target["expected_ms"]) + " ms, cost " +
           number(Target.at("cost_ms")) + " ms";
  Out += ", " + number(Target.at("queue")) + " requests on " +
         Target.at("slots").dump() + " slots, " +
         Target.at("in_flight").dump() + " of this instance";
  if (Target.at("failure_share").get<double>() >= 0.05)
    Out +=
        ", " + number(100 * Target["failure_share"].get<double>()) + "% failed";
  for (const char *State : {"cold", "draining", "leaving", "evacuated"})
    if (Target.at(State).get<bool>())
      Out += std::string(", ") + State;
  if (Target.contains("pause_ms"))
    Out += ", pauses for " + number(Target["pause_ms"]) + " ms";
  if (Target.contains("reason"))
    Out += ", not fit: " + text(Target["reason"]);
  return Out;
}

auto addTargets(const Json &Answer, std::vector<std::string> &Lines) -> void {
  if (Answer.contains("owner")) {
    const Json &Owner = Answer["owner"];
    std::string Text = "owner of key " + Answer.at("key").dump() + ": ";
    if (Owner.is_null())
      return Lines.push_back(Text + "none");
    Text += targetLine(Owner) + ", keys " + Owner.at("from").dump() + " to " +
            Owner.at("to").dump() + ", token " + Owner.at("fence").dump();
    if (Owner.contains("moving_ms"))
      Text += ", took over " + number(Owner["moving_ms"]) + " ms ago";
    return Lines.push_back(Text);
  }
  Lines.push_back("candidates: " + Answer.at("targets").dump());
  for (const Json &Target : Answer.at("candidates"))
    Lines.push_back("  " + targetLine(Target));
}

auto retryLine(const Json &Answer) -> std::string {
  const Json &Retry = Answer.at("retry");
  std::string Out = "retry: ";
  Out += Retry.at("after_loss").get<bool>()
             ? "after a loss or a rejection"
             : "only after a rejection without a run";
  Out += Retry.at("target").is_null() ? ", no target would take it"
                                      : ", to " + text(Retry["target"]);
  if (Retry.contains("allowed"))
    Out += Retry["allowed"].get<bool>() ? ", within the retry limit"
                                        : ", but the retry limit is used up";
  return Out;
}

auto show(Json Answer) -> CommandResult {
  CommandResult Out;
  Out.Result = "shown";
  const bool Sends = Answer.at("decision").at("action") == "send";
  if (!Sends) {
    Out.Code = ExitCode::Different;
    Out.Result = "not-sent";
  }
  Out.Lines = {"instance: " + text(Answer.at("instance")) + ", configuration " +
                   Answer.at("configuration").dump(),
               routeLine(Answer)};
  if (Answer.contains("rate"))
    Out.Lines.push_back(workspaceLine(Answer));
  Out.Lines.push_back(serviceLine(Answer));
  Out.Lines.push_back(decisionLine(Answer));
  addTargets(Answer, Out.Lines);
  Out.Lines.push_back(retryLine(Answer));
  Out.Details = std::move(Answer);
  return Out;
}

} // namespace

auto whereCommand(const CommandLine &Line) -> CommandResult {
  if (Line.InstanceAddress.empty() || Line.Host.empty() || Line.Path.empty())
    return CommandResult::failure(ExitCode::Usage, "usage",
                                  "--instance, --host and --path are needed");
  return askInstance(Line, query(Line), show);
}

} // namespace buckthornring::cli
