#pragma once

#include "buckthornring/Common/Time.h"

#include <cstddef>
#include <deque>

namespace buckthornring {

/// Number of events within a sliding window.
class SlidingCount {
public:
  explicit SlidingCount(Duration Window) : Window(Window) {}

  auto add(TimePoint Now) -> void { Events.push_back(Now); }

  /// Events not older than the window.
  auto count(TimePoint Now) -> std::size_t {
    while (!Events.empty() && Now - Events.front() > Window)
      Events.pop_front();
    return Events.size();
  }

private:
  Duration Window;
  std::deque<TimePoint> Events;
};

} // namespace buckthornring
