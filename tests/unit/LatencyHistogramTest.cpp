#include "buckthornring/Observe/LatencyHistogram.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

using namespace buckthornring;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

auto relativeError(Duration Found, Duration Wanted) -> double {
  return std::abs(static_cast<double>(Found.count()) /
                      static_cast<double>(Wanted.count()) -
                  1);
}

// Guards against quantiles further off than the documented 6%.
TEST(LatencyHistogramTest, QuantilesAreWithinTheBucketWidth) {
  LatencyHistogram Histogram;
  for (int I = 1; I <= 1000; ++I)
    Histogram.record(milliseconds(I));
  EXPECT_EQ(Histogram.count(), 1000U);
  EXPECT_EQ(Histogram.sum(), milliseconds(500'500));
  EXPECT_LE(relativeError(Histogram.quantile(0.5), milliseconds(500)), 0.06);
  EXPECT_LE(relativeError(Histogram.quantile(0.99), milliseconds(990)), 0.06);
  EXPECT_LE(relativeError(Histogram.quantile(1), milliseconds(1000)), 0.06);
}

// Guards against values outside the buckets being lost, and against a
// division by zero when there is none.
TEST(LatencyHistogramTest, CountsValuesOutsideTheBuckets) {
  LatencyHistogram Histogram;
  EXPECT_EQ(Histogram.quantile(0.5), Duration::zero());
  Histogram.record(Duration::zero());
  Histogram.record(microseconds(-5));
  EXPECT_EQ(Histogram.quantile(0.5), microseconds(100));
  Histogram.record(seconds(1000));
  EXPECT_EQ(Histogram.quantile(1), seconds(100));
  EXPECT_EQ(Histogram.count(), 3U);
  const auto Buckets = Histogram.buckets();
  EXPECT_EQ(Buckets.size(), 31U);
  EXPECT_EQ(Buckets.front().UpperBound, microseconds(100));
  EXPECT_EQ(Buckets.front().CumulativeCount, 2U);
  EXPECT_EQ(Buckets.back().UpperBound, seconds(100));
  EXPECT_EQ(Buckets.back().CumulativeCount, 2U);
}

// Guards against counts lost when threads record at once or when the
// histograms of threads are merged.
TEST(LatencyHistogramTest, KeepsCountsFromThreadsAndMerges) {
  LatencyHistogram First;
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int Index = 0; Index < 4; ++Index)
    Threads.emplace_back([&First] {
      for (int I = 0; I < 10'000; ++I)
        First.record(milliseconds(3));
    });
  for (auto &Each : Threads)
    Each.join();
  LatencyHistogram Second;
  Second.record(milliseconds(7));
  Second.merge(First);
  EXPECT_EQ(Second.count(), 40'001U);
  EXPECT_EQ(Second.sum(), milliseconds(120'007));
}

} // namespace
