#pragma once

#include "buckthornring/Common/Time.h"

#include <ctime>

namespace buckthornring {

/// Returns the time of the boot clock, which advances while the machine is
/// suspended. Leases and deadlines use it, since the monotonic clock does not
/// count the time of a suspension.
inline auto bootNow() -> TimePoint {
  constexpr std::int64_t MicrosPerSecond = 1'000'000;
  constexpr std::int64_t NanosPerMicro = 1000;
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(
      Duration(Time.tv_sec * MicrosPerSecond + Time.tv_nsec / NanosPerMicro));
}

} // namespace buckthornring
