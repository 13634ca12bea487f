#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Link/LinkMessage.h"
#include "buckthornring/Ownership/OwnershipTimes.h"
#include "buckthornring/Ownership/SliceMap.h"

#include <cstdint>
#include <map>
#include <set>

namespace buckthornring {

/// An instance's slice maps and its permission to use them.
///
/// The caller counts each request with begin() and end(), so that a revocation
/// is acknowledged only when nothing is in flight. A request to an unverified
/// target is in flight until its complete response arrived or the service's
/// maximum deadline has passed: after a cancellation the target may still run.
class RoutingLease {
public:
  explicit RoutingLease(SafetySwitches Switches);

  /// Applies a heartbeat and returns the acknowledgement. A heartbeat of a
  /// lower term changes nothing; the answer then carries the higher term.
  auto receive(const RoutingHeartbeat &Heartbeat, TimePoint Now) -> RoutingAck;

  /// Returns the current acknowledgement, sent also without a heartbeat when a
  /// revoked slice's last request ends.
  auto acknowledgement(TimePoint Now) -> RoutingAck;

  /// Returns the map, or null before the first one.
  auto map(const ServiceId &Service) const -> const SliceMap *;

  auto term() const -> std::uint64_t { return Term; }

  /// Refuses lower terms from now on.
  auto learnTerm(std::uint64_t Seen) -> void;

  /// True while the routing lease is valid.
  auto valid(TimePoint Now) const -> bool;

  /// End of the lease on this clock, for use inside a routing snapshot: check
  /// it immediately before each write to a target.
  auto validUntil() const -> TimePoint { return LeaseEnd; }

  /// True when a request for the slice may be sent now. Verified targets check
  /// themselves, so for them the lease is not required.
  auto maySend(const ServiceId &Service, std::uint32_t Slice, bool Verified,
               TimePoint Now) const -> bool;

  auto begin(const ServiceId &Service, std::uint32_t Slice) -> void;
  auto end(const ServiceId &Service, std::uint32_t Slice) -> void;

  /// Replaces the in-flight counts, for callers that count in other threads.
  auto setInFlight(const ServiceId &Service,
                   std::map<std::uint32_t, std::uint32_t> Counts) -> void;

private:
  auto update(const SliceDelta &Delta) -> bool;

  SafetySwitches Switches;
  std::uint64_t Term = 0;
  TimePoint LeaseEnd;
  std::uint64_t Generation = 0;
  std::map<ServiceId, SliceMap> Maps;
  std::set<ServiceId> Routable;
  std::map<ServiceId, std::map<std::uint32_t, std::uint32_t>> InFlight;
  std::map<ServiceId, std::map<std::uint32_t, std::uint32_t>> Requests;
};

} // namespace buckthornring
