#include "buckthornring/Routing/LatencyTracker.h"

#include <algorithm>
#include <cmath>

namespace buckthornring {

namespace {

// With fewer observations, the 95th percentile is not meaningful.
constexpr std::uint64_t MinimumForP95 = 20;

// Observations between two updates of the percentile; an update on each
// observation would cost more than its accuracy is worth.
constexpr std::uint64_t P95UpdateInterval = 16;

// A target that was 10 times slower is selected again after about 7 s. Each
// such trial costs one slow request per thread.
constexpr Duration IdleHalfLife = std::chrono::seconds(2);

// Lowest weight of an observation, so that several in one microsecond still
// count.
constexpr double MinimumWeight = 0.05;

} // namespace

auto LatencyTracker::weight(TimePoint Now) const -> double {
  if (LastObservedAt == TimePoint::min())
    return 1;
  const double Elapsed = static_cast<double>((Now - LastObservedAt).count()) /
                         static_cast<double>(Settings.DecayTime.count());
  return std::max(1 - std::exp(-std::max(Elapsed, 0.0)), MinimumWeight);
}

auto LatencyTracker::observe(Duration Latency, TimePoint Now) -> void {
  const auto Value = static_cast<double>(Latency.count());
  Average += weight(Now) * (Value - Average);
  LastObservedAt = Now;
  Window.at(FinishedCount % WindowSize) = Latency.count();
  ++FinishedCount;
  if (FinishedCount == MinimumForP95 || FinishedCount % P95UpdateInterval == 0)
    updateP95();
}

auto LatencyTracker::observeUnfinished(Duration Age, TimePoint Now) -> void {
  const auto Value = static_cast<double>(Age.count());
  if (LastObservedAt == TimePoint::min() || Value <= Average)
    return;
  Average += weight(Now) * (Value - Average);
  LastObservedAt = Now;
}

auto LatencyTracker::average() const -> std::optional<Duration> {
  if (LastObservedAt == TimePoint::min())
    return std::nullopt;
  return Duration(static_cast<std::int64_t>(Average));
}

auto LatencyTracker::average(TimePoint Now) const -> std::optional<Duration> {
  if (LastObservedAt == TimePoint::min())
    return std::nullopt;
  const double IdleHalfLives =
      static_cast<double>((Now - LastObservedAt).count()) /
      static_cast<double>(IdleHalfLife.count());
  return Duration(static_cast<std::int64_t>(
      Average * std::exp2(-std::max(IdleHalfLives, 0.0))));
}

auto LatencyTracker::updateP95() -> void {
  auto Sorted = Window;
  const auto Count = static_cast<std::ptrdiff_t>(
      std::min<std::uint64_t>(FinishedCount, WindowSize));
  const std::ptrdiff_t Rank = Count * 95 / 100;
  std::nth_element(Sorted.begin(), Sorted.begin() + Rank,
                   Sorted.begin() + Count);
  P95 = Sorted.at(static_cast<std::size_t>(Rank));
}

auto LatencyTracker::latencyP95() const -> std::optional<Duration> {
  if (FinishedCount < MinimumForP95)
    return std::nullopt;
  return Duration(P95);
}

} // namespace buckthornring
