#include "Entry/TargetStats.h"

#include <utility>

namespace buckthornring {

auto TargetStats::setSnapshot(const RoutingSnapshot &Snapshot) -> void {
  for (const auto &[Name, View] : Snapshot.Services) {
    ServiceState &Service = Services[Name];
    Service.Ramp.Slots = View.Config->SlotsPerTarget;
    Service.Ramp.Ramp = View.Config->ColdStartRamp;
    std::vector<TargetId> Ids;
    for (const TargetView &Target : View.Targets) {
      Ids.push_back(Target.Id);
      Service.Targets[Target.Id];
    }
    Service.Ejection.setTargets(Ids);
  }
}

auto TargetStats::started(const ServiceId &Service, const TargetId &Target,
                          TimePoint Now) -> std::uint64_t {
  ++Services[Service].Targets[Target].InFlight;
  Requests.emplace(++LastNumber, Running{Service, Target, Now});
  return LastNumber;
}

auto TargetStats::ended(std::uint64_t Number, End How,
                        std::optional<Duration> Latency, TimePoint Now)
    -> void {
  const auto Place = Requests.find(Number);
  if (Place == Requests.end())
    return;
  const Running Done = std::move(Place->second);
  Requests.erase(Place);
  ServiceState &Service = Services[Done.Service];
  TargetState &Target = Service.Targets[Done.Target];
  --Target.InFlight;
  if (How == End::Failed)
    Service.Ejection.recordFailure(Done.Target, Now);
  if (How != End::Answered || !Latency)
    return;
  Service.Ejection.recordSuccess(Done.Target, *Latency, Now);
  Service.Latency.observe(*Latency, Now);
  Target.Latency.observe(*Latency, Now);
  if (Target.Return)
    Target.Return->onResponse(*Latency, Now);
}

auto TargetStats::updateReturn(TargetState &Target, TimePoint Now) -> void {
  if (!Target.Return)
    return;
  Target.Allowance = Target.Return->allowance(Now);
  if (Target.Return->cold(Now))
    return;
  Target.Return.reset();
  Target.Allowance = UINT32_MAX;
}

auto TargetStats::evaluate(TimePoint Now) -> std::size_t {
  for (const auto &[Number, Request] : Requests) {
    const Duration Age = Now - Request.Since;
    ServiceState &Service = Services[Request.Service];
    Service.Ejection.recordUnfinished(Request.Target, Age);
    Service.Targets[Request.Target].Latency.observeUnfinished(Age, Now);
  }
  std::size_t Ejected = 0;
  for (auto &[Name, Service] : Services) {
    for (const TargetId &Back : Service.Ejection.evaluate(Now)) {
      TargetState &Target = Service.Targets[Back];
      Target.Return.emplace(Service.Ramp, Now);
      // Averages from before the ejection say nothing about the target now.
      Target.Latency = LatencyTracker();
    }
    Ejected += Service.Ejection.ejectedCount();
    for (auto &[Id, Target] : Service.Targets)
      updateReturn(Target, Now);
  }
  return Ejected;
}

auto TargetStats::find(const ServiceId &Service, const TargetId &Target) const
    -> const TargetState * {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return nullptr;
  const auto Place = Found->second.Targets.find(Target);
  return Place == Found->second.Targets.end() ? nullptr : &Place->second;
}

auto TargetStats::inFlight(const ServiceId &Service,
                           const TargetId &Target) const -> std::uint32_t {
  const TargetState *Found = find(Service, Target);
  return Found ? Found->InFlight : 0;
}

auto TargetStats::latency(const ServiceId &Service,
                          const TargetId &Target) const
    -> std::optional<Duration> {
  const TargetState *Found = find(Service, Target);
  return Found ? Found->Latency.average() : std::nullopt;
}

auto TargetStats::latencyP95(const ServiceId &Service) const
    -> std::optional<Duration> {
  const auto Place = Services.find(Service);
  return Place == Services.end() ? std::nullopt
                                 : Place->second.Latency.latencyP95();
}

auto TargetStats::ejected(const ServiceId &Service,
                          const TargetId &Target) const -> bool {
  const auto Place = Services.find(Service);
  return Place != Services.end() && Place->second.Ejection.ejected(Target);
}

auto TargetStats::allowance(const ServiceId &Service,
                            const TargetId &Target) const -> std::uint32_t {
  const TargetState *Found = find(Service, Target);
  return Found ? Found->Allowance : UINT32_MAX;
}

} // namespace buckthornring
