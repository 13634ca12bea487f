#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Link/LinkMessage.h"
#include "buckthornring/Ownership/OwnershipTimes.h"

#include <cstdint>
#include <map>

namespace buckthornring {

/// Routing leases given by this process, on its own clock.
class RoutingTable {
public:
  RoutingTable(OwnershipTimes Times, SafetySwitches Switches);

  /// Fills in ClockUs and, when \p WithLease, LeaseUs, and notes that the
  /// instance may hold the lease that long.
  auto sent(const InstanceId &To, RoutingHeartbeat &Heartbeat, bool WithLease)
      -> void;

  auto received(const InstanceId &From, const RoutingAck &Ack, TimePoint Now)
      -> void;

  /// Term and version of the map that the instance last acknowledged.
  auto version(const InstanceId &Instance, const ServiceId &Service) const
      -> std::pair<std::uint64_t, std::uint64_t>;

  /// True when no instance that got a lease from this process can still have a
  /// request for the slice in flight: it acknowledged the revocation with
  /// nothing in flight, or its lease and the deadline after it have passed.
  auto cleared(const ServiceId &Service, std::uint32_t Slice,
               std::uint64_t Term, std::uint64_t Revoked, Duration MaxDeadline,
               TimePoint Now) const -> bool;

private:
  struct Entry {
    std::int64_t ClockUs = 0;
    TimePoint ClockAt;
    TimePoint LeaseEnd;
    std::map<ServiceId, RoutingAck::Service> Services;
  };

  auto stretched(Duration Span) const -> Duration;

  OwnershipTimes Times;
  SafetySwitches Switches;
  std::map<InstanceId, Entry> Entries;
};

} // namespace buckthornring
