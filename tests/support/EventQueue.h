#pragma once

#include "buckthornring/Common/Time.h"

#include <functional>
#include <map>
#include <utility>

namespace buckthornring::testing {

/// Event queue in virtual time: runs functions in the order of their time, and
/// in the order of insertion within the same microsecond.
class EventQueue {
public:
  explicit EventQueue(TimePoint Start) : Current(Start) {}

  auto now() const -> TimePoint { return Current; }

  auto at(TimePoint When, std::function<void()> Run) -> void {
    Events.emplace(When < Current ? Current : When, std::move(Run));
  }
  auto after(Duration Delay, std::function<void()> Run) -> void {
    at(Current + Delay, std::move(Run));
  }

  auto runUntil(TimePoint End) -> void {
    while (!Events.empty() && Events.begin()->first <= End) {
      auto Next = Events.extract(Events.begin());
      Current = Next.key();
      Next.mapped()();
    }
    Current = End;
  }

private:
  TimePoint Current;
  std::multimap<TimePoint, std::function<void()>> Events;
};

/// Clock of one process: an offset from true time and a rate error.
struct SkewedClock {
  Duration Offset{};
  std::int64_t RatePerMillion = 0; ///< Positive runs fast.

  auto read(TimePoint True) const -> TimePoint {
    const auto Ticks = True.time_since_epoch().count();
    return TimePoint(Offset +
                     Duration(Ticks + Ticks / 1'000'000 * RatePerMillion +
                              Ticks % 1'000'000 * RatePerMillion / 1'000'000));
  }
};

} // namespace buckthornring::testing
