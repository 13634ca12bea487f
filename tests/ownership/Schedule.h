#pragma once

#include "buckthornring/Common/Random.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace buckthornring::test {

/// True time of a simulated run, in microseconds.
using TrueTime = std::int64_t;

inline constexpr TrueTime Millisecond = 1000;
inline constexpr TrueTime Second = 1000 * Millisecond;

/// Clock of one process: another offset and rate than true time.
struct ProcessClock {
  std::int64_t Offset = 0;
  double Rate = 1;

  auto at(TrueTime Now) const -> TimePoint {
    return TimePoint(Duration(
        Offset + static_cast<std::int64_t>(static_cast<double>(Now) * Rate)));
  }
};

/// Events in the order of their time, and of their insertion at equal times.
class EventQueue {
public:
  auto now() const -> TrueTime { return Now; }

  auto after(TrueTime Delay, std::function<void()> Run) -> void {
    Events.push({Now + Delay, ++Count, std::move(Run)});
  }

  auto runUntil(TrueTime End) -> void {
    while (!Events.empty() && Events.top().At <= End) {
      // The top is removed before it runs, since it may add events.
      auto Next = std::move(const_cast<Event &>(Events.top()));
      Events.pop();
      Now = Next.At;
      Next.Run();
    }
    Now = End;
  }

private:
  struct Event {
    TrueTime At = 0;
    std::uint64_t Number = 0;
    std::function<void()> Run;

    auto operator<(const Event &Other) const -> bool {
      return At != Other.At ? At > Other.At : Number > Other.Number;
    }
  };

  TrueTime Now = 0;
  std::uint64_t Count = 0;
  std::priority_queue<Event> Events;
};

} // namespace buckthornring::test
