#pragma once

#include "buckthornring/Common/Random.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>

namespace buckthornring {

/// When a target is expected to have room, as known to one instance.
struct RoomOutlook {
  Duration Until{0};    ///< Time until there is room for one more request.
  Duration Interval{0}; ///< Time between two requests of this instance then.
};

/// Computes the Retry-After of refusals for lack of room at one target.
///
/// Callers that return at the same time meet the same queue again, so each one
/// is given a time of its own: not before room is expected, one interval after
/// the caller before it, and with a random part, since the other instances
/// refuse callers too.
class ReturnTimes {
public:
  explicit ReturnTimes(std::uint64_t Seed) : Random(Seed) {}

  /// Returns the time after which a caller should return that is refused now
  /// and has \p Left until its deadline; \p Goal is the latency to be reached.
  /// At most a third of \p Left: callers do not wait longer.
  auto next(const RoomOutlook &Outlook, Duration Goal, Duration Left,
            TimePoint Now) -> Duration;

private:
  RandomSource Random;
  TimePoint LastReturn = LongAgo; ///< The latest one that was given.
};

} // namespace buckthornring
