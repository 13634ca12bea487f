#pragma once

#include "buckthornring/Common/Time.h"

#include <chrono>

namespace buckthornring {

/// Reads the process's monotonic clock, in the form that the core takes.
inline auto steadyNow() -> TimePoint {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace buckthornring
