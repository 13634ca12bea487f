#pragma once

#include "buckthornring/Limits/ShareMessages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace buckthornring {

/// Taker of one fleet-wide quantity; one per traffic thread.
///
/// Uses its share until the lease ends by its own clock, counted from the send
/// of the request that the giver answered.
class ShareHolder {
public:
  /// \p FirstSession is higher than any session of an earlier process with the
  /// same name, for example the start time in microseconds.
  ShareHolder(std::string Name, ShareKind Kind, std::uint64_t FirstSession,
              TimePoint Now);

  /// Follows a giver with a higher term. Grants of lower terms are refused
  /// from now on.
  auto follow(std::uint64_t NewTerm) -> void;

  /// True every 100 ms while there is demand, and earlier (at most every 5 ms)
  /// when requests wait or a part of the share was given back.
  auto reportDue(TimePoint Now) const -> bool;

  /// Returns the message to the giver and starts its lease clock.
  auto makeRequest(TimePoint Now) -> ShareRequest;

  /// Puts a grant in force. Returns false for a repeated, late or foreign one.
  auto apply(const ShareGrant &Grant, TimePoint Now) -> bool;

  /// Counts one arrived request as demand.
  auto recordArrival() -> void { ++Arrivals; }

  /// Number of requests that wait for this quantity.
  auto setWaiting(std::uint32_t Count) -> void { Waiting = Count; }

  /// ShareKind::Rate: takes one token.
  auto tryTake(TimePoint Now) -> bool;

  /// ShareKind::Rate: time until the next token at the present rate; nothing
  /// when the share can't give one. For Retry-After.
  auto timeUntilToken(TimePoint Now) -> std::optional<Duration>;

  /// ShareKind::Units: takes one unit until release().
  auto tryAcquire(TimePoint Now) -> bool;
  auto release() -> void;

  auto inUse() const -> std::uint32_t { return InUse; }
  auto share(TimePoint Now) -> ShareAmount;

private:
  struct Sent {
    std::uint64_t Sequence;
    TimePoint At;
  };

  auto dropIfExpired(TimePoint Now) -> void;
  auto startSession(TimePoint Now) -> void;
  auto measureDemand(TimePoint Now) -> void;
  auto wantedUnits() const -> MilliUnits;

  std::string Name;
  ShareKind Kind;
  std::uint64_t Session;
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t AppliedVersion = 0;
  ShareAmount Current;
  MilliUnits GrantedSeen = 0;
  MilliUnits ReleasedTotal = 0;
  TokenBucket Bucket;
  TimePoint LeaseEnd = TimePoint::min();
  std::deque<Sent> Outstanding;
  std::uint32_t InUse = 0;
  std::uint32_t InUseBefore = 0; ///< Of those, begun in an earlier session.
  std::uint32_t Waiting = 0;
  bool Urgent = false;
  std::uint64_t Arrivals = 0;
  double DemandPerSecond = 0;
  TimePoint MeasuredAt;
  TimePoint DemandAt; ///< Last measurement with a request.
  TimePoint ReportedAt = TimePoint::min();
};

} // namespace buckthornring
