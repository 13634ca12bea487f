#include "Fleet/RetryAllowance.h"

#include <algorithm>

namespace buckthornring {

namespace {

/// Part of the limit that is used. Instances do not see each other's windows
/// and the window slides, so the rest absorbs requests at its edges.
constexpr double UsedPart = 0.8;

/// Part of the ratio that hedges may use.
constexpr double OptionalPart = 0.6;

} // namespace

auto RetryAllowance::tryTake(std::uint32_t Instances, TimePoint Now) -> bool {
  const double Allowed =
      UsedPart * (Limit.Ratio * static_cast<double>(Requests.count(Now)) +
                  Limit.Slack / std::max(1U, Instances));
  if (static_cast<double>(Repeats.count(Now)) + 1 > Allowed)
    return false;
  Repeats.add(Now);
  return true;
}

auto RetryAllowance::tryTakeOptional(TimePoint Now) -> bool {
  const double Allowed =
      OptionalPart * Limit.Ratio * static_cast<double>(Requests.count(Now));
  if (static_cast<double>(Repeats.count(Now)) + 1 > Allowed)
    return false;
  Repeats.add(Now);
  return true;
}

} // namespace buckthornring
