#pragma once

#include "Fleet/KeyLoad.h"
#include "Fleet/KeyRanges.h"
#include "Fleet/MoveFigures.h"

#include <functional>
#include <optional>
#include <vector>

namespace buckthornring {

/// Input of the planner about one target.
struct PlanTarget {
  TargetId Id;
  std::int64_t StartedAt = 0;
  /// Requests that it processes at a time, relative to a target of usual speed.
  double Capacity = 1;
  bool TakesNewKeys = true;
};

/// Plans which target owns which keys.
class RangePlanner {
public:
  struct Input {
    const RangeRecord &Record;
    /// Targets that can own keys. Owners that are not listed lose theirs.
    const std::vector<PlanTarget> &Targets;
    const KeyLoad &Load;
    std::uint32_t Keys = 0;
    /// Seconds for which one request occupies a slot of a target of capacity 1.
    double ProcessingSeconds = 0;
    /// Whether a range may change its owner now.
    std::function<bool(const KeyRange &)> Movable;
    /// Whether ranges may be moved only to balance the load.
    bool Balance = true;
    /// Whether adjacent ranges of one owner may be joined.
    bool Join = false;
    /// Set to the figures of the plan; null: not wanted.
    MoveFigures *Figures = nullptr;
  };

  /// Returns the record with changed owners, or nothing when no change is
  /// needed.
  static auto plan(const Input &Inputs) -> std::optional<RangeRecord>;
};

} // namespace buckthornring
