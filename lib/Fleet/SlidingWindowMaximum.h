#pragma once

#include "buckthornring/Common/Time.h"

#include <deque>
#include <utility>

namespace buckthornring {

/// The largest value that was in force at any moment within a sliding window.
template <class Value>
class SlidingWindowMaximum {
public:
  explicit SlidingWindowMaximum(Duration Window) : Window(Window) {}

  /// \p Latest is in force from \p Now on.
  auto set(Value Latest, TimePoint Now) -> void {
    if (!Values.empty())
      Values.back().first = Now;
    // A value that is not larger and ends no later is never the maximum.
    while (!Values.empty() && Values.back().second <= Latest)
      Values.pop_back();
    Values.emplace_back(TimePoint::max(), Latest);
  }

  /// Returns the maximum, or \p Default if no value was set.
  auto maximum(Value Default, TimePoint Now) -> Value {
    while (!Values.empty() && Values.front().first < Now - Window)
      Values.pop_front();
    return Values.empty() ? Default : Values.front().second;
  }

private:
  Duration Window;
  /// Falling values, each with the time at which it was replaced.
  std::deque<std::pair<TimePoint, Value>> Values;
};

} // namespace buckthornring
