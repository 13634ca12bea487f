#include "Gateway/WhereReport.h"

#include "Common/JsonText.h"
#include "Gateway/JsonResponse.h"
#include "Gateway/RequestSelection.h"

#include <algorithm>
#include <cmath>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

/// Candidates that are listed: those of the lowest cost.
constexpr std::size_t MaxCandidates = 20;

auto milliseconds(Duration Time) -> double {
  return static_cast<double>(Time.count()) / 1000;
}

auto failure(unsigned Status, const std::string &Message) -> HttpResponse {
  return jsonResponse(writeJson(Json{{"error", Message}}), Status);
}

/// One question of where a request would go, with copies of the state that the
/// decision changes.
class WhereQuestion {
public:
  WhereQuestion(const RequestContext &Context, const HttpRequest &Asked,
                TimePoint Now)
      : Context(Context), Config(*Context.CurrentConfig), Asked(Asked),
        Now(Now), Targets(Context.Targets.copy()) {}

  auto answer() -> HttpResponse;

private:
  /// Returns the response if the question cannot be answered.
  auto readRequest() -> std::optional<HttpResponse>;
  auto readKey() -> std::optional<HttpResponse>;
  auto addRoute() -> void;
  auto addRate() -> void;
  auto addSplit() -> void;
  auto addOwner() -> void;
  auto addCandidates() -> void;
  auto addDecision() -> void;
  auto addRetry() -> void;
  auto describe(const TargetPtr &Target) const -> Json;

  const RequestContext &Context;
  const ActiveConfig &Config;
  const HttpRequest &Asked;
  TimePoint Now;
  TargetTable Targets;
  ResolvedRequest Resolved;
  SelectionRequest Selection;
  TargetSelection Selected;
  bool Admitted = true;
  Json Out;
};

auto WhereQuestion::answer() -> HttpResponse {
  if (auto Failure = readRequest())
    return std::move(*Failure);
  Out["instance"] = Context.Instance;
  Out["configuration"] = Config.Config.Generation;
  addRoute();
  addRate();
  addSplit();
  if (auto Failure = readKey())
    return std::move(*Failure);
  Selection.Preference = {Selection.Preference.Service,
                          Resolved.Idempotent,
                          Resolved.Route->TargetLatency,
                          {}};
  if (Selection.Key)
    addOwner();
  else
    addCandidates();
  addDecision();
  addRetry();
  return jsonResponse(writeJson(Out));
}

auto WhereQuestion::readRequest() -> std::optional<HttpResponse> {
  const auto Host = Asked.query("host");
  const auto Path = Asked.query("path");
  const auto Workspace = Asked.query("workspace");
  if (!Host || !Path || Path->empty())
    return failure(400, "host and path are needed");
  if (!Path->starts_with("/"))
    return failure(400, "path: found " + *Path + ", allowed: /...");
  Resolved = resolveRequest(Config, Host->substr(0, Host->find(':')), *Path,
                            Asked.query("caller_key"));
  if (!Resolved.Route)
    return failure(404,
                   "no route matches host " + *Host + " and path " + *Path);
  if (Workspace && !Config.Config.Workspaces.contains(WorkspaceId(*Workspace)))
    return failure(404, "there is no workspace " + *Workspace);
  if (Workspace && !Resolved.Route->Open)
    enterWorkspace(Config, WorkspaceId(*Workspace), Resolved);
  if (Resolved.Refusal)
    return Asked.query("caller_key")
               ? failure(404, "the caller key is unknown")
               : failure(400, "the route needs a caller key or a workspace");
  return std::nullopt;
}

auto WhereQuestion::addRoute() -> void {
  const RouteConfig &Route = *Resolved.Route;
  Out["route"] = {{"host", Route.Host},
                  {"path_prefix", Route.PathPrefix},
                  {"idempotent", Resolved.Idempotent},
                  {"priority", Resolved.Priority},
                  {"max_attempts", Route.MaxAttempts},
                  {"target_latency_ms", milliseconds(Route.TargetLatency)}};
  if (Route.Timeout)
    Out["route"]["timeout_ms"] = milliseconds(*Route.Timeout);
  Out["workspace"] = Resolved.Workspace.str();
}

auto WhereQuestion::addRate() -> void {
  if (Resolved.Workspace.empty())
    return;
  RateShares Rates = Context.Rates;
  Admitted = Rates.admit(Resolved.Workspace, Now);
  const auto Left = Rates.tokens(Resolved.Workspace);
  Out["rate"] = {{"admitted", Admitted}};
  // The request would take one of them.
  if (Left)
    Out["rate"]["requests_left"] = std::floor(*Left + (Admitted ? 1 : 0));
  if (!Admitted) {
    Out["rate"]["asks_reserve"] =
        Rates.mayRequestTokens(Resolved.Workspace, Now);
    Out["rate"]["retry_after_ms"] =
        milliseconds(Rates.retryAfter(Resolved.Workspace));
  }
}

auto WhereQuestion::addSplit() -> void {
  SplitBalancer Splits = Context.Splits;
  Selection.Preference.Service = Splits.next(*Resolved.Route);
  Out["service"] = Selection.Preference.Service.str();
  for (const RoutePart &Part : Resolved.Route->Split)
    Out["split"].push_back(
        {{"service", Part.Service.str()},
         {"weight", Part.Weight},
         {"next", Part.Service == Selection.Preference.Service}});
}

auto WhereQuestion::readKey() -> std::optional<HttpResponse> {
  const ServiceId &Service = Selection.Preference.Service;
  if (!isDivided(Config, Service))
    return std::nullopt;
  const auto Text = Asked.query("key");
  if (!Text)
    return failure(400, "service " + Service.str() +
                            " is divided by key: a key is needed");
  Selection.Key = parseKey(Config, Service, *Text);
  if (!Selection.Key)
    return failure(
        400,
        "key: found " + *Text + ", allowed: a number below " +
            std::to_string(Config.Config.Services.at(Service).NumberedKeys));
  return std::nullopt;
}

auto WhereQuestion::describe(const TargetPtr &Target) const -> Json {
  const TargetLoad &Load = Target->Load;
  Json Entry = {
      {"target", Target->Record.Id.str()},
      {"data_centre", Target->Record.DataCentre.str()},
      {"slots", Target->Record.Slots},
      {"queue", Load.queue(Now)},
      {"in_flight", Load.inFlight()},
      {"failure_share", Load.failureShare()},
      {"cold", Target->cold(Now)},
      {"draining", Target->Record.Draining},
      {"leaving", Target->Announced->leaving()},
      {"evacuated", Targets.evacuated().contains(Target->Record.DataCentre)}};
  if (Target->Announced->paused(Now))
    Entry["pause_ms"] = milliseconds(Target->Announced->pausedUntil() - Now);
  return Entry;
}

auto WhereQuestion::addOwner() -> void {
  const ServiceId &Service = Selection.Preference.Service;
  Out["key"] = *Selection.Key;
  const KeyRange *Range = ownedRange(Context, Service, *Selection.Key);
  if (!Range) {
    Out["owner"] = nullptr;
    return;
  }
  const TargetPtr Owner = Targets.find(Range->Owner);
  Json Entry = Owner ? describe(Owner) : Json::object();
  Entry["target"] = Range->Owner.str();
  Entry["known"] = Owner && Owner->Record.StartedAtMs == Range->OwnerStartedAt;
  Entry["from"] = Range->From;
  Entry["to"] = Range->To;
  Entry["fence"] = Range->Fence;
  Entry["previous_owner"] = Range->PreviousOwner.str();
  const auto &Moving = Context.Ranges.at(Service).MovingSince;
  const auto Since = Moving.find(Range->Fence);
  if (Since != Moving.end())
    Entry["moving_ms"] = milliseconds(Now - Since->second);
  Out["owner"] = std::move(Entry);
}

auto WhereQuestion::addCandidates() -> void {
  std::vector<std::pair<double, Json>> Found;
  TargetTable Scratch = Targets.copy();
  for (const TargetPtr &Target :
       Scratch.targetsOfService(Selection.Preference.Service)) {
    const TargetAssessment Assessed =
        Scratch.assess(*Target, Selection.Preference, Now);
    Json Entry = describe(Target);
    const bool Fit =
        !Assessed.Excluded && Assessed.Reason == NoTargetReason::None;
    Entry["fit"] = Fit;
    if (!Fit)
      Entry["reason"] = Assessed.Excluded
                            ? "excluded"
                            : NoTargetReasonNames.name(Assessed.Reason);
    Entry["expected_ms"] = milliseconds(Assessed.Expected);
    Entry["cost_ms"] = Assessed.CostUs / 1000;
    // Targets that are not fit come last.
    Found.emplace_back(Assessed.CostUs + (Fit ? 0 : 1e12), std::move(Entry));
  }
  std::sort(Found.begin(), Found.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first < Right.first;
            });
  Out["targets"] = Found.size();
  Out["candidates"] = Json::array();
  for (std::size_t Index = 0; Index < std::min(Found.size(), MaxCandidates);
       ++Index)
    Out["candidates"].push_back(std::move(Found[Index].second));
}

auto WhereQuestion::addDecision() -> void {
  Selected = selectTarget(Context, Targets, Selection, Now);
  const bool Waits = !Selected.Target;
  Out["waiting_requests"] =
      Context.WaitingRequests.waiting(Selection.Preference.Service);
  Json Decision = {{"action", !Admitted ? "refuse" : Waits ? "wait" : "send"}};
  if (!Admitted)
    Decision["reason"] = RefusalReasonNames.name(RefusalReason::OverRate);
  if (Selected.Target) {
    Decision["target"] = Selected.Target->Record.Id.str();
    Decision["expected_ms"] = milliseconds(Selected.Expected);
  } else {
    Decision["blocked_by"] = NoTargetReasonNames.name(Selected.Reason);
    Decision["wait_limit_ms"] = milliseconds(
        targetWaitLimit(*Resolved.Route, Selection.Key.has_value()));
  }
  Out["decision"] = std::move(Decision);
}

auto WhereQuestion::addRetry() -> void {
  const ServiceId &Service = Selection.Preference.Service;
  Json Retry;
  const auto Known = Context.Retries.find(Service);
  if (Known != Context.Retries.end()) {
    RetryAllowance Allowance = Known->second;
    auto Sizes = Context.RecentInstances;
    Retry["allowed"] = Allowance.tryTake(
        Sizes.maximum(Targets.fleetSize().estimatedInstances(), Now), Now);
  }
  // After a loss; what a target has rejected may be sent again in any case.
  Retry["after_loss"] = Resolved.Idempotent && Resolved.Route->MaxAttempts > 1;
  Retry["target"] = nullptr;
  if (Selected.Target && !Selection.Key)
    Selection.Preference.ExcludedTargets.push_back(Selected.Target->Record.Id);
  const TargetSelection Next = selectTarget(Context, Targets, Selection, Now);
  if (Next.Target)
    Retry["target"] = Next.Target->Record.Id.str();
  Out["retry"] = std::move(Retry);
}

} // namespace

auto whereResponse(const RequestContext &Context, const HttpRequest &Request,
                   TimePoint Now) -> HttpResponse {
  if (!Context.CurrentConfig)
    return failure(503, "the instance has no configuration yet");
  return WhereQuestion(Context, Request, Now).answer();
}

} // namespace buckthornring
