#pragma once

#include "Fleet/KeyLoad.h"
#include "Fleet/KeyRanges.h"

#include <functional>
#include <optional>
#include <vector>

namespace buckthornring {

/// A target as the planner sees it.
struct PlanTarget {
  TargetId Id;
  std::int64_t StartedAt = 0;
  /// Requests that it runs at a time, relative to a target of usual speed.
  double Capacity = 1;
  bool TakesNewKeys = true;
};

/// Decides which target owns which keys.
class RangePlanner {
public:
  struct Input {
    const RangeRecord &Record;
    /// Targets that can hold keys. Owners that are not listed lose theirs.
    const std::vector<PlanTarget> &Targets;
    const KeyLoad &Load;
    std::uint32_t Keys = 0;
    /// Seconds that one request occupies a place at a target of capacity 1.
    double ProcessingSeconds = 0;
    /// Whether a range may change its owner now.
    std::function<bool(const KeyRange &)> Movable;
    /// Whether ranges may move only to even out the load.
    bool Balance = true;
  };

  /// Returns the record with changed owners, or nothing when all is well.
  static auto plan(const Input &Given) -> std::optional<RangeRecord>;
};

} // namespace buckthornring
