#include "buckthornring/Ownership/RoutingLease.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>

namespace buckthornring {

RoutingLease::RoutingLease(SafetySwitches Switches) : Switches(Switches) {}

auto RoutingLease::learnTerm(std::uint64_t Seen) -> void {
  if (Seen <= Term)
    return;
  Term = Seen;
  Routable.clear();
}

/// Returns whether the map is at least as new as the delta afterwards.
auto RoutingLease::update(const SliceDelta &Delta) -> bool {
  auto Place = Maps.find(Delta.Service);
  if (Place == Maps.end() || Place->second.slices() != Delta.Slices) {
    auto Made = SliceMap::make(Delta.Service, Delta.Slices);
    if (!Made)
      return false;
    Place = Maps.insert_or_assign(Delta.Service, std::move(Made).value()).first;
  }
  return Place->second.apply(Delta).hasValue();
}

auto RoutingLease::receive(const RoutingHeartbeat &Heartbeat, TimePoint Now)
    -> RoutingAck {
  if (Heartbeat.Term < Term)
    return acknowledgement(Now);
  learnTerm(Heartbeat.Term);
  Generation = std::max(Generation, Heartbeat.Generation);
  std::set<ServiceId> Current;
  for (const SliceDelta &Delta : Heartbeat.Deltas)
    if (update(Delta))
      Current.insert(Delta.Service);
  // A lease without the newest map could be used for a slice that was revoked
  // while this instance had no lease.
  const bool Complete = std::all_of(
      Heartbeat.Routable.begin(), Heartbeat.Routable.end(),
      [&](const ServiceId &Each) { return Current.contains(Each); });
  if (Complete && Heartbeat.LeaseUs > 0) {
    const TimePoint From =
        Switches.EchoedClock ? TimePoint(Duration(Heartbeat.ClockUs)) : Now;
    LeaseEnd = std::max(LeaseEnd, From + Duration(Heartbeat.LeaseUs));
    Routable.insert(Heartbeat.Routable.begin(), Heartbeat.Routable.end());
  }
  RoutingAck Ack = acknowledgement(Now);
  Ack.Number = Heartbeat.Number;
  return Ack;
}

auto RoutingLease::acknowledgement(TimePoint Now) -> RoutingAck {
  RoutingAck Ack;
  Ack.Term = Term;
  Ack.ClockUs = Now.time_since_epoch().count();
  Ack.Generation = Generation;
  for (const auto &[Service, Map] : Maps) {
    RoutingAck::Service &Each = Ack.Services[Service];
    Each.Term = Map.term();
    Each.Version = Map.version();
    for (const auto &[Slice, Count] : InFlight[Service])
      if (Count > 0 && Slice < Map.slices() && !Map.at(Slice).Serving)
        Each.InFlight[Slice] = Count;
    Each.Requests = std::exchange(Requests[Service], {});
  }
  return Ack;
}

auto RoutingLease::map(const ServiceId &Service) const -> const SliceMap * {
  const auto Place = Maps.find(Service);
  return Place == Maps.end() ? nullptr : &Place->second;
}

auto RoutingLease::valid(TimePoint Now) const -> bool { return Now < LeaseEnd; }

auto RoutingLease::maySend(const ServiceId &Service, std::uint32_t Slice,
                           bool Verified, TimePoint Now) const -> bool {
  const SliceMap *Map = map(Service);
  if (Map == nullptr || Slice >= Map->slices())
    return false;
  const SliceAssignment &Entry = Map->at(Slice);
  if (!Entry.Serving || Entry.Owner.empty())
    return false;
  return Verified || (valid(Now) && Routable.contains(Service));
}

auto RoutingLease::begin(const ServiceId &Service, std::uint32_t Slice)
    -> void {
  ++InFlight[Service][Slice];
  ++Requests[Service][Slice];
}

auto RoutingLease::end(const ServiceId &Service, std::uint32_t Slice) -> void {
  std::uint32_t &Count = InFlight[Service][Slice];
  invariant(Count > 0, "a request ends once");
  if (--Count == 0)
    InFlight[Service].erase(Slice);
}

auto RoutingLease::setInFlight(const ServiceId &Service,
                               std::map<std::uint32_t, std::uint32_t> Counts)
    -> void {
  InFlight[Service] = std::move(Counts);
}

} // namespace buckthornring
