#include "Admission/ReturnTimes.h"

#include <algorithm>

namespace buckthornring {

namespace {

/// Shortest Retry-After. After a shorter wait the queue is still the same.
constexpr Duration MinReturn = std::chrono::milliseconds(150);

/// Callers wait for Retry-After up to this part of the time that they have
/// left.
constexpr int UsefulDivisor = 3;

/// Size of the random part, relative to the rest. In "bench_measure overload",
/// times between 0.5 and 1 goal gave fewer second refusals than 0.5 goals.
constexpr double Spread = 1;

} // namespace

auto ReturnTimes::next(const RoomOutlook &Outlook, Duration Goal, Duration Left,
                       TimePoint Now) -> Duration {
  const Duration Latest = std::max(MinReturn, Left / UsefulDivisor);
  const Duration Earliest = std::max({MinReturn, Goal / 2, Outlook.Until});
  const TimePoint Return = std::max(
      Now + Earliest, std::min(LastReturn + Outlook.Interval, Now + Latest));
  LastReturn = std::min(Return, Now + Latest);
  const auto Wait = static_cast<double>((Return - Now).count());
  return std::min(Latest, Duration(static_cast<std::int64_t>(
                              Wait * (1 + Spread * Random.unit()))));
}

} // namespace buckthornring
