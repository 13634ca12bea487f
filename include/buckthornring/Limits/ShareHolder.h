#pragma once

#include "buckthornring/Limits/ShareMessages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace buckthornring {

/// Holder of a share of one fleet-wide quantity; one per traffic thread.
///
/// Uses the share until its lease ends by the local clock. The lease is counted
/// from the send of the request that the lender answered.
class ShareHolder {
public:
  /// \p FirstSession must be higher than any session of an earlier process with
  /// the same name, for example the start time in microseconds.
  ShareHolder(std::string Name, ShareKind Kind, std::uint64_t FirstSession,
              TimePoint Now);

  /// Switches to a lender with a higher term. Grants of lower terms are
  /// rejected from now on.
  auto follow(std::uint64_t NewTerm) -> void;

  /// Returns true if a report to the lender is due: every 100 ms while there is
  /// demand, and earlier (at most every 5 ms) when requests wait or the share
  /// was reduced.
  auto reportDue(TimePoint Now) const -> bool;

  /// Returns the message to the lender and starts its lease clock.
  auto makeRequest(TimePoint Now) -> ShareRequest;

  /// Puts a grant in force. Returns false for one that is repeated, late or not
  /// for this holder's session and term.
  auto apply(const ShareGrant &Grant, TimePoint Now) -> bool;

  /// Counts an arrived request as demand.
  auto recordArrival() -> void { ++Arrivals; }

  /// Sets the number of requests that wait for this quantity.
  auto setWaiting(std::uint32_t Count) -> void { Waiting = Count; }

  /// ShareKind::Rate: takes one token.
  auto tryTake(TimePoint Now) -> bool;

  /// ShareKind::Rate: returns the time until the next token at the current
  /// rate, or nothing if the share cannot provide one. Used for Retry-After.
  auto timeUntilToken(TimePoint Now) -> std::optional<Duration>;

  /// ShareKind::Units: takes one unit until release().
  auto tryAcquire(TimePoint Now) -> bool;
  auto release() -> void;

  auto inUse() const -> std::uint32_t { return InUse; }
  auto share(TimePoint Now) -> ShareAmount;

private:
  struct SentRequest {
    std::uint64_t Sequence;
    TimePoint SentAt;
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
  MilliUnits AppliedGrantedTotal = 0;
  MilliUnits ReleasedTotal = 0;
  TokenBucket Bucket;
  TimePoint LeaseEnd = TimePoint::min();
  std::deque<SentRequest> Outstanding;
  std::uint32_t InUse = 0;
  /// Number of units in use that were acquired in an earlier session.
  std::uint32_t InUseOfEarlierSession = 0;
  std::uint32_t Waiting = 0;
  bool Urgent = false;
  std::uint64_t Arrivals = 0;
  double DemandPerSecond = 0;
  TimePoint DemandMeasuredAt;
  TimePoint LastDemandAt; ///< Last measurement that saw a request.
  TimePoint ReportedAt = TimePoint::min();
};

} // namespace buckthornring
