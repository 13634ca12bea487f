#pragma once

#include "Fleet/SlidingWindowCounter.h"

#include <cstdint>

namespace buckthornring {

/// Limit on the repeated requests of one service, over all instances together.
struct RetryLimit {
  double Ratio = 0.2; ///< Repeats per first request.
  double Slack = 60;  ///< Repeats beyond that in one window.
  Duration Window = std::chrono::seconds(10);
};

/// This instance's part of a service's retry limit.
///
/// Needs no messages: the ratio holds for the fleet when it holds for each
/// instance, and the slack is divided by the number of instances.
class RetryAllowance {
public:
  explicit RetryAllowance(const RetryLimit &Limit)
      : Limit(Limit), Requests(Limit.Window), Repeats(Limit.Window) {}

  auto requestSeen(TimePoint Now) -> void { Requests.add(Now); }

  /// Takes one repeat when it is within this instance's part.
  auto tryTake(std::uint32_t Instances, TimePoint Now) -> bool;

  /// Whether optional repeats such as hedges may be sent: they use only part
  /// of the ratio, so that failures always find some of it.
  auto tryTakeOptional(TimePoint Now) -> bool;

private:
  RetryLimit Limit;
  SlidingCount Requests;
  SlidingCount Repeats;
};

} // namespace buckthornring
