#include "buckthornring/Observe/LatencyHistogram.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>

namespace buckthornring {

namespace {

namespace bh = boost::histogram;

constexpr double LowestMicros = 100;
constexpr double HighestMicros = 1e8;
constexpr int Decades = 6;
constexpr int CellsPerDecade = 20;
constexpr int CellsPerExportedBucket = 4;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Cell = bh::accumulators::count<std::uint64_t, true>;
using Storage = bh::dense_storage<Cell>;
using Histogram = bh::histogram<std::tuple<Axis>, Storage>;

auto micros(double Value) -> Duration {
  return Duration(static_cast<std::int64_t>(std::llround(Value)));
}

} // namespace

struct LatencyHistogram::Impl {
  Histogram Cells = bh::make_histogram_with(
      Storage(), Axis(Decades *CellsPerDecade, LowestMicros, HighestMicros));
  std::atomic<std::int64_t> Sum{0};

  auto cell(int Index) const -> std::uint64_t { return Cells[Index].value(); }
  auto axis() const -> const Axis & { return Cells.axis(); }
};

LatencyHistogram::LatencyHistogram() : Data(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
auto LatencyHistogram::operator=(LatencyHistogram &&) noexcept
    -> LatencyHistogram & = default;

auto LatencyHistogram::record(Duration Latency) -> void {
  const auto Value = std::max<std::int64_t>(Latency.count(), 0);
  Data->Cells(static_cast<double>(Value));
  Data->Sum.fetch_add(Value, std::memory_order_relaxed);
}

auto LatencyHistogram::merge(const LatencyHistogram &Other) -> void {
  // Cell by cell: the library's sum of histograms does not compile with
  // sanitizers and -Werror (a false "may be used uninitialized" in GCC 12).
  for (int Index = -1; Index <= Data->axis().size(); ++Index)
    Data->Cells[Index] += Other.Data->cell(Index);
  Data->Sum.fetch_add(Other.Data->Sum.load(std::memory_order_relaxed),
                      std::memory_order_relaxed);
}

auto LatencyHistogram::count() const -> std::uint64_t {
  std::uint64_t Total = 0;
  for (int Index = -1; Index <= Data->axis().size(); ++Index)
    Total += Data->cell(Index);
  return Total;
}

auto LatencyHistogram::sum() const -> Duration {
  return Duration(Data->Sum.load(std::memory_order_relaxed));
}

auto LatencyHistogram::quantile(double Q) const -> Duration {
  const auto Total = count();
  if (Total == 0)
    return Duration::zero();
  const auto Rank = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(
             std::ceil(std::clamp(Q, 0.0, 1.0) * static_cast<double>(Total))));
  std::uint64_t Cumulative = Data->cell(-1);
  if (Cumulative >= Rank)
    return micros(LowestMicros);
  for (int Index = 0; Index < Data->axis().size(); ++Index) {
    Cumulative += Data->cell(Index);
    if (Cumulative >= Rank)
      return micros(Data->axis().value(Index + 0.5));
  }
  return micros(HighestMicros);
}

auto LatencyHistogram::buckets() const -> std::vector<Bucket> {
  std::vector<Bucket> Out;
  std::uint64_t Cumulative = Data->cell(-1);
  Out.push_back({micros(LowestMicros), Cumulative});
  for (int Index = 0; Index < Data->axis().size(); ++Index) {
    Cumulative += Data->cell(Index);
    if ((Index + 1) % CellsPerExportedBucket == 0)
      Out.push_back({micros(Data->axis().value(Index + 1)), Cumulative});
  }
  return Out;
}

} // namespace buckthornring
