#pragma once

#include "Fleet/SlidingWindowCounter.h"

#include <cstdint>

namespace buckthornring {

/// Limit on the retries of one service, over all instances together.
struct RetryLimit {
  double Ratio = 0.2; ///< Retries per first request.
  double Slack = 60;  ///< Retries beyond that in one window.
  Duration Window = std::chrono::seconds(10);
};

/// This instance's part of a service's retry limit.
///
/// Needs no messages: the ratio holds for the fleet when it holds for each
/// instance, and the slack is divided by the number of instances.
class RetryAllowance {
public:
  /// No slack is used before \p SlackFrom: one window after the start of a
  /// process that may have replaced another one, whose retries count until
  /// then.
  RetryAllowance(const RetryLimit &Limit, TimePoint SlackFrom)
      : Limit(Limit), SlackFrom(SlackFrom), Requests(Limit.Window),
        Retries(Limit.Window) {}

  auto requestSeen(TimePoint Now) -> void { Requests.add(Now); }

  /// Takes one retry if it is within this instance's part of the limit. \p
  /// Instances is the largest size of the fleet within the window: instances
  /// that have ended since may have used their parts.
  auto tryTake(std::uint32_t Instances, TimePoint Now) -> bool;

  /// Takes one optional retry, such as a hedged request. Optional retries use
  /// only part of the ratio, so that retries after failures always find some of
  /// it left.
  auto tryTakeOptional(TimePoint Now) -> bool;

private:
  RetryLimit Limit;
  TimePoint SlackFrom;
  SlidingWindowCounter Requests;
  SlidingWindowCounter Retries;
};

} // namespace buckthornring
