#pragma once

#include "Fleet/RangePlanner.h"

#include <vector>

namespace buckthornring {

/// A key that is busier than any target bears.
struct BusyKey {
  std::uint32_t Key = 0;
  double Rate = 0; ///< Requests per second.
  TargetId Owner;
  /// Target that is to serve it alone: its owner, or a clearly faster one.
  TargetId Home;
};

/// Returns the keys that are to have a target for themselves, busiest first, at
/// most one for each four targets. Each has another home.
auto findBusyKeys(const RangePlanner::Input &Inputs) -> std::vector<BusyKey>;

} // namespace buckthornring
