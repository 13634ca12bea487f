#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace buckthornring {

/// Who asked for a target's drain. A target serves again when no one does.
enum class DrainSource {
  Configuration, ///< The target or its data centre is taken out of service.
  TargetHealth,  ///< The target reports that it drains.
  Operator,      ///< The drain command.
};

inline constexpr EnumNames<DrainSource, 3>
    DrainSourceNames({"configuration", "target-health", "operator"});

/// Follows leaving targets: no new work, running work completes, slices are
/// handed over one batch at a time.
class DrainTracker {
public:
  /// Room of a target that can take slices, in slices: what its allowance
  /// leaves. Zero for cold targets at their limit.
  struct Receiver {
    TargetId Target;
    std::uint32_t Room = 0;
  };
  struct Batch {
    TargetId Receiver;
    std::uint32_t Slices = 0;
  };

  auto startDrain(const TargetId &Target, DrainSource Source) -> void;

  /// Returns true when the target serves again with this; it then needs a cold
  /// start (ColdStartRamp::restart).
  auto endDrain(const TargetId &Target, DrainSource Source) -> bool;

  auto takesNewWork(const TargetId &Target) const -> bool;

  /// A request may only start on a target that takes new work.
  auto requestStarted(const TargetId &Target) -> void;
  auto requestFinished(const TargetId &Target) -> void;
  auto running(const TargetId &Target) const -> std::uint32_t;

  /// Sets the number of slices that the target still owns.
  auto setSlices(const TargetId &Target, std::uint32_t Count) -> void;

  /// Returns the next slices to move, at most \p BatchLimit and never above a
  /// receiver's room; empty while an earlier batch is moving or nothing can be
  /// moved. Draining receivers are passed over.
  auto nextBatch(const TargetId &Target, std::vector<Receiver> Receivers,
                 std::uint32_t BatchLimit) -> std::vector<Batch>;

  /// The batch was granted to its receivers or given up.
  auto batchEnded(const TargetId &Target) -> void;

  /// True when the target drains, runs nothing and owns nothing.
  auto drained(const TargetId &Target) const -> bool;

private:
  struct State {
    std::set<DrainSource> Sources;
    std::uint32_t Running = 0;
    std::uint32_t Slices = 0;
    bool BatchMoving = false;
  };

  std::map<TargetId, State> Targets;
};

} // namespace buckthornring
