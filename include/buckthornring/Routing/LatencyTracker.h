#pragma once

#include "buckthornring/Common/Time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace buckthornring {

/// Recent latency of one target or service.
class LatencyTracker {
public:
  struct Options {
    /// Time in which the weight of an observation decays to 1/e.
    Duration DecayTime = std::chrono::seconds(1);
  };

  explicit LatencyTracker(Options Settings) : Settings(Settings) {}
  LatencyTracker() : LatencyTracker(Options()) {}

  /// Counts a finished request.
  auto observe(Duration Latency, TimePoint Now) -> void;

  /// Counts a request that has run for \p Age and is not finished. Raises the
  /// average when \p Age is above it, so that a target that has become slow is
  /// noticed before its first slow response.
  auto observeUnfinished(Duration Age, TimePoint Now) -> void;

  /// Returns the moving average; nothing before the first observation.
  auto average() const -> std::optional<Duration>;

  /// Returns the average for the choice of a target: it halves with every 2 s
  /// without an observation, so that a target that was slow is selected again.
  auto average(TimePoint Now) const -> std::optional<Duration>;

  /// Returns the 95th percentile of the last 256 finished requests; nothing
  /// before the 20th.
  auto latencyP95() const -> std::optional<Duration>;

  /// Time of the last observation; the minimum before the first.
  auto observedAt() const -> TimePoint { return LastObservedAt; }

private:
  static constexpr std::size_t WindowSize = 256;

  auto weight(TimePoint Now) const -> double;
  auto updateP95() -> void;

  Options Settings;
  double Average = 0; ///< Microseconds.
  TimePoint LastObservedAt = TimePoint::min();
  std::array<std::int64_t, WindowSize> Window{};
  std::uint64_t FinishedCount = 0;
  std::int64_t P95 = 0;
};

} // namespace buckthornring
