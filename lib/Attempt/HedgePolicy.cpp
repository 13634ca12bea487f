#include "buckthornring/Attempt/HedgePolicy.h"

#include <algorithm>

namespace buckthornring {

auto HedgePolicy::delay(const RunRecord &Record,
                        std::optional<Duration> LatencyP95) const
    -> std::optional<Duration> {
  if (!Record.idempotent() || !LatencyP95)
    return std::nullopt;
  return std::max(*LatencyP95, Settings.MinimumDelay);
}

auto HedgePolicy::tryHedge(const RunRecord &Record, TimePoint Now) -> bool {
  if (!Record.idempotent() || !Record.replayable() || Record.settled())
    return false;
  if (Record.liveAttempts() != 1)
    return false;
  return Budget.tryTake(Now);
}

} // namespace buckthornring
