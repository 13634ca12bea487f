#pragma once

#include "buckthornring/Common/Time.h"
#include "buckthornring/Observe/LatencyHistogram.h"

#include <optional>

namespace buckthornring {

/// Distribution of the times of recent attempts. A time counts for 5 to 10 s.
class RecentTimes {
public:
  /// Half of the age after which no time counts any more. Noisy neighbours of
  /// targets change within this time, and a route with 5 requests a second
  /// still gets enough samples for a quantile.
  static constexpr Duration HalfPeriod = std::chrono::seconds(5);
  /// With fewer samples, no quantile is known.
  static constexpr std::uint64_t MinSamples = 20;

  auto record(Duration Time, TimePoint Now) -> void;

  /// Returns the time below which the share \p Q of the samples lies, or
  /// nothing if there are too few recent samples.
  auto quantile(double Q, TimePoint Now) const -> std::optional<Duration>;

  /// Whether no sample counts any more.
  auto expired(TimePoint Now) const -> bool {
    return Now - CurrentSince >= 2 * HalfPeriod;
  }

private:
  TimePoint CurrentSince = LongAgo;
  LatencyHistogram Current;
  LatencyHistogram Previous; ///< The half period before CurrentSince.
};

} // namespace buckthornring
