#pragma once

#include "buckthornring/Common/Time.h"

#include <cstddef>
#include <deque>

namespace buckthornring {

/// Counts the events within a sliding window.
class SlidingWindowCounter {
public:
  explicit SlidingWindowCounter(Duration Window) : Window(Window) {}

  auto add(TimePoint Now) -> void { Events.push_back(Now); }

  /// Returns the number of events that are not older than the window.
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
