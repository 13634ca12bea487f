#pragma once

#include <chrono>
#include <cstdint>

namespace buckthornring {

/// Monotonic clock. Callers pass the time in; the core never reads a clock.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // The name is fixed by <chrono>.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// Time span in microseconds.
using Duration = MonotonicClock::duration;

/// Point on the monotonic clock of one process.
using TimePoint = MonotonicClock::time_point;

/// Earlier than every time that the clock returns. Unlike TimePoint::min(), it
/// can be subtracted from any of them without overflow.
inline constexpr TimePoint LongAgo{Duration(-(std::int64_t{1} << 60))};

} // namespace buckthornring
