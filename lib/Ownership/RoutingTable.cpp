#include "Ownership/RoutingTable.h"

#include <algorithm>

namespace buckthornring {

RoutingTable::RoutingTable(OwnershipTimes Times, SafetySwitches Switches)
    : Times(Times), Switches(Switches) {}

auto RoutingTable::stretched(Duration Span) const -> Duration {
  const double Factor = Switches.DriftBound ? 1 + Times.Drift : 1;
  return Duration(static_cast<Duration::rep>(static_cast<double>(Span.count()) *
                                             Factor)) +
         Duration(1);
}

auto RoutingTable::sent(const InstanceId &To, RoutingHeartbeat &Heartbeat,
                        bool WithLease) -> void {
  Entry &Each = Entries[To];
  Heartbeat.ClockUs = Each.ClockUs;
  Heartbeat.LeaseUs = 0;
  if (!WithLease || Each.ClockUs == 0)
    return;
  Heartbeat.LeaseUs = Times.RoutingLease.count();
  Each.LeaseEnd =
      std::max(Each.LeaseEnd, Each.ClockAt + stretched(Times.RoutingLease));
}

auto RoutingTable::received(const InstanceId &From, const RoutingAck &Ack,
                            TimePoint Now) -> void {
  Entry &Each = Entries[From];
  if (Ack.ClockUs < Each.ClockUs)
    return;
  Each.ClockUs = Ack.ClockUs;
  Each.ClockAt = Now;
  Each.Services = Ack.Services;
}

auto RoutingTable::version(const InstanceId &Instance,
                           const ServiceId &Service) const
    -> std::pair<std::uint64_t, std::uint64_t> {
  const auto Place = Entries.find(Instance);
  if (Place == Entries.end())
    return {0, 0};
  const auto Found = Place->second.Services.find(Service);
  if (Found == Place->second.Services.end())
    return {0, 0};
  return {Found->second.Term, Found->second.Version};
}

auto RoutingTable::cleared(const ServiceId &Service, std::uint32_t Slice,
                           std::uint64_t Term, std::uint64_t Revoked,
                           Duration MaxDeadline, TimePoint Now) const -> bool {
  return std::all_of(Entries.begin(), Entries.end(), [&](const auto &Pair) {
    const Entry &Each = Pair.second;
    // An instance that never got a lease sends nothing.
    if (Each.LeaseEnd == TimePoint())
      return true;
    if (!Switches.RoutingLeaseWait ||
        Now >= Each.LeaseEnd + stretched(MaxDeadline))
      return true;
    const auto Found = Each.Services.find(Service);
    return Found != Each.Services.end() && Found->second.Term == Term &&
           Found->second.Version >= Revoked &&
           !Found->second.InFlight.contains(Slice);
  });
}

} // namespace buckthornring
