#include "buckthornring/Routing/LatencyTracker.h"

#include <algorithm>
#include <cmath>

namespace buckthornring {

namespace {

// Fewer observations say little about the 95th percentile.
constexpr std::uint64_t MinimumForHigh = 20;

// Sorting the window on each observation would cost more than it tells.
constexpr std::uint64_t HighInterval = 16;

// A target that was 10 times slower is tried after about 7 s. Each trial costs
// one slow request per thread.
constexpr Duration IdleHalfLife = std::chrono::seconds(2);

// Lowest weight of an observation: several in one microsecond still count.
constexpr double MinimumWeight = 0.05;

} // namespace

auto LatencyTracker::weight(TimePoint Now) const -> double {
  if (Last == TimePoint::min())
    return 1;
  const double Elapsed = static_cast<double>((Now - Last).count()) /
                         static_cast<double>(Settings.Memory.count());
  return std::max(1 - std::exp(-std::max(Elapsed, 0.0)), MinimumWeight);
}

auto LatencyTracker::observe(Duration Latency, TimePoint Now) -> void {
  const auto Value = static_cast<double>(Latency.count());
  Average += weight(Now) * (Value - Average);
  Last = Now;
  Window.at(Finished % WindowSize) = Latency.count();
  ++Finished;
  if (Finished == MinimumForHigh || Finished % HighInterval == 0)
    updateHigh();
}

auto LatencyTracker::observeUnfinished(Duration Age, TimePoint Now) -> void {
  const auto Value = static_cast<double>(Age.count());
  if (Last == TimePoint::min() || Value <= Average)
    return;
  Average += weight(Now) * (Value - Average);
  Last = Now;
}

auto LatencyTracker::average() const -> std::optional<Duration> {
  if (Last == TimePoint::min())
    return std::nullopt;
  return Duration(static_cast<std::int64_t>(Average));
}

auto LatencyTracker::average(TimePoint Now) const -> std::optional<Duration> {
  if (Last == TimePoint::min())
    return std::nullopt;
  const double Idle = static_cast<double>((Now - Last).count()) /
                      static_cast<double>(IdleHalfLife.count());
  return Duration(
      static_cast<std::int64_t>(Average * std::exp2(-std::max(Idle, 0.0))));
}

auto LatencyTracker::updateHigh() -> void {
  auto Sorted = Window;
  const auto Count = static_cast<std::ptrdiff_t>(
      std::min<std::uint64_t>(Finished, WindowSize));
  const std::ptrdiff_t Rank = Count * 95 / 100;
  std::nth_element(Sorted.begin(), Sorted.begin() + Rank,
                   Sorted.begin() + Count);
  High = Sorted.at(static_cast<std::size_t>(Rank));
}

auto LatencyTracker::latencyP95() const -> std::optional<Duration> {
  if (Finished < MinimumForHigh)
    return std::nullopt;
  return Duration(High);
}

} // namespace buckthornring
