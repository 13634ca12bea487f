#pragma once

#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace buckthornring {

/// Measured load of each slice: a decaying sum of request counts.
class SliceLoad {
public:
  explicit SliceLoad(std::uint32_t Slices) : Sum(Slices, 0) {}

  auto add(const std::map<std::uint32_t, std::uint32_t> &Requests) -> void;

  /// Halves the sums for each half-life since the last call.
  auto decay(TimePoint Now) -> void;

  auto values() const -> const std::vector<double> & { return Sum; }

private:
  std::vector<double> Sum;
  TimePoint DecayedAt;
};

} // namespace buckthornring
