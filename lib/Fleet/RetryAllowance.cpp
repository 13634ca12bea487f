#include "Fleet/RetryAllowance.h"

#include <algorithm>

namespace buckthornring {

namespace {

/// Fraction of the limit that is used. Instances do not know of each other's
/// windows and the window slides, so the rest covers requests at its edges.
constexpr double UsedShare = 0.8;

/// Fraction of the ratio that hedged requests may use.
constexpr double OptionalShare = 0.6;

} // namespace

auto RetryAllowance::tryTake(std::uint32_t Instances, TimePoint Now) -> bool {
  const double Slack =
      Now < SlackFrom ? 0 : Limit.Slack / std::max(1U, Instances);
  const double Allowed =
      UsedShare *
      (Limit.Ratio * static_cast<double>(Requests.count(Now)) + Slack);
  if (static_cast<double>(Retries.count(Now)) + 1 > Allowed)
    return false;
  Retries.add(Now);
  return true;
}

auto RetryAllowance::tryTakeOptional(TimePoint Now) -> bool {
  const double Allowed =
      OptionalShare * Limit.Ratio * static_cast<double>(Requests.count(Now));
  if (static_cast<double>(Retries.count(Now)) + 1 > Allowed)
    return false;
  Retries.add(Now);
  return true;
}

} // namespace buckthornring
