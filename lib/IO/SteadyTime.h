#pragma once

#include "buckthornring/Common/Time.h"

#include <chrono>

namespace buckthornring {

/// Returns the time of the monotonic clock as the TimePoint that the core uses.
inline auto steadyNow() -> TimePoint {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace buckthornring
