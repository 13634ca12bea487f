#include "Gateway/StatusReport.h"

#include "Common/JsonText.h"
#include "Gateway/JsonResponse.h"
#include "Gateway/RequestSelection.h"

namespace buckthornring {

using Json = nlohmann::json;

namespace {

/// Targets of a service by state. A target may be in several states.
struct TargetCounts {
  std::uint32_t All = 0;
  std::uint32_t TakingRequests = 0; ///< Reachable, neither pausing nor leaving.
  std::uint32_t Unreachable = 0;
  std::uint32_t Cold = 0;
  std::uint32_t Pausing = 0;
  std::uint32_t Leaving = 0;  ///< Draining, leaving or evacuated.
  std::uint32_t Slots = 0;    ///< Of those that take requests.
  double Requests = 0;        ///< Estimated at those that take requests.
  std::uint32_t InFlight = 0; ///< Of this instance, at all targets.
};

/// Keys whose requests have no owner to go to.
struct OwnerlessKeys {
  std::uint32_t Ranges = 0;
  std::uint32_t Keys = 0;
};

auto countTargets(const TargetTable &Targets, const ServiceId &Service,
                  TimePoint Now) -> TargetCounts {
  TargetCounts Out;
  for (const TargetPtr &Target : Targets.targetsOfService(Service)) {
    const bool Unreachable = Now < Targets.unreachableUntil(*Target, Now);
    const bool Pausing = Target->Announced->paused(Now);
    const bool Leaving = !Targets.takesRequests(*Target);
    ++Out.All;
    Out.Unreachable += Unreachable ? 1 : 0;
    Out.Cold += Target->cold(Now) ? 1 : 0;
    Out.Pausing += Pausing ? 1 : 0;
    Out.Leaving += Leaving ? 1 : 0;
    Out.InFlight += Target->Load.inFlight();
    if (Unreachable || Pausing || Leaving)
      continue;
    ++Out.TakingRequests;
    Out.Slots += Target->Record.Slots;
    Out.Requests += Target->Load.queue(Now);
  }
  return Out;
}

/// Whether requests for the range have an owner to go to: the process that the
/// range names is in the directory.
auto hasOwner(const TargetTable &Targets, const KeyRange &Range) -> bool {
  const TargetPtr Owner = Targets.find(Range.Owner);
  return Owner && Owner->Record.StartedAtMs == Range.OwnerStartedAt;
}

/// Without a record of the ranges, all keys count as one range.
auto countOwnerless(const RequestContext &Context, const ServiceId &Service,
                    std::uint32_t Keys) -> OwnerlessKeys {
  const auto View = Context.Ranges.find(Service);
  if (View == Context.Ranges.end() || View->second.Record.Ranges.empty())
    return {1, Keys};
  OwnerlessKeys Out;
  for (const KeyRange &Range : View->second.Record.Ranges)
    if (!hasOwner(Context.Targets, Range)) {
      ++Out.Ranges;
      Out.Keys += Range.width();
    }
  return Out;
}

auto describe(const TargetCounts &Counts) -> Json {
  return {{"all", Counts.All},
          {"taking_requests", Counts.TakingRequests},
          {"unreachable", Counts.Unreachable},
          {"cold", Counts.Cold},
          {"pausing", Counts.Pausing},
          {"leaving", Counts.Leaving}};
}

auto describe(const RequestContext &Context, const ServiceId &Service,
              const ServiceConfig &Settings, TimePoint Now) -> Json {
  const TargetCounts Counts = countTargets(Context.Targets, Service, Now);
  const ShortageMonitor::Change Latest = Context.Shortages.latest(Service);
  const bool Divided = Settings.Kind == ServiceKind::Divided;
  Json Out = {
      {"service", Service.str()},
      {"divided", Divided},
      {"targets", describe(Counts)},
      {"room",
       {{"slots", Counts.Slots},
        {"requests", Counts.Requests},
        {"in_flight", Counts.InFlight}}},
      {"recent", {{"requests", Latest.Requests}, {"refused", Latest.Refused}}},
      {"short_of_room", Latest.Short},
      {"waiting", Json::array()}};
  for (const auto &[Priority, Requests] :
       Context.WaitingRequests.countByPriority(Service))
    Out["waiting"].push_back({{"priority", Priority}, {"requests", Requests}});
  if (Divided) {
    const OwnerlessKeys Without =
        countOwnerless(Context, Service, Settings.NumberedKeys);
    Out["without_owner"] = {{"ranges", Without.Ranges}, {"keys", Without.Keys}};
  }
  return Out;
}

} // namespace

auto statusResponse(const RequestContext &Context, TimePoint Now)
    -> HttpResponse {
  if (!Context.CurrentConfig)
    return jsonResponse(
        writeJson(Json{{"error", "the instance has no configuration yet"}}),
        503);
  const Configuration &Config = Context.CurrentConfig->Config;
  Json Out = {{"instance", Context.Instance},
              {"configuration", Config.Generation},
              {"services", Json::array()}};
  for (const auto &[Service, Settings] : Config.Services)
    Out["services"].push_back(describe(Context, Service, Settings, Now));
  return jsonResponse(writeJson(Out));
}

} // namespace buckthornring
