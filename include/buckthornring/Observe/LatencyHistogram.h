#pragma once

#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace buckthornring {

/// Distribution of latencies in logarithmic buckets, 20 per decade, from
/// 100 us to 100 s. A bucket is 12% wide, so the error of a quantile is
/// at most 6% inside that range.
///
/// Several threads may record at the same time, while one thread reads.
class LatencyHistogram {
public:
  /// Number of latencies up to an upper bound, for export.
  struct Bucket {
    Duration UpperBound;
    std::uint64_t CumulativeCount;
  };

  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram &&) noexcept;
  auto operator=(LatencyHistogram &&) noexcept -> LatencyHistogram &;

  /// Counts one latency. Values below zero count as zero.
  auto record(Duration Latency) -> void;

  /// Adds the counts of another histogram.
  auto merge(const LatencyHistogram &Other) -> void;

  auto count() const -> std::uint64_t;
  /// Returns the sum of all latencies.
  auto sum() const -> Duration;

  /// Returns the latency below which the share \p Q (0 to 1) of all latencies
  /// lies: the geometric centre of its bucket. Returns zero when empty. Values
  /// outside the range of the buckets are reported as its ends.
  auto quantile(double Q) const -> Duration;

  /// Returns the buckets for export, 5 per decade. Latencies above the last
  /// bound appear only in count().
  auto buckets() const -> std::vector<Bucket>;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace buckthornring
