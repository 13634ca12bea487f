#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace buckthornring {

/// The source of a request to drain a target. Several sources can drain one
/// target; it serves again once every source has ended its drain.
enum class DrainSource {
  Configuration, ///< The target or its data centre is taken out of service.
  TargetHealth,  ///< The target reports that it drains.
  Operator,      ///< The drain command.
};

inline constexpr EnumNames<DrainSource, 3>
    DrainSourceNames({"configuration", "target-health", "operator"});

/// Tracks draining targets. A draining target receives no new requests, its
/// running requests complete, and its slices move to other targets one batch at
/// a time.
class DrainTracker {
public:
  /// A target that can receive slices. FreeSlices is what its allowance leaves,
  /// zero for a cold target at its limit.
  struct Receiver {
    TargetId Target;
    std::uint32_t FreeSlices = 0;
  };
  struct Batch {
    TargetId Receiver;
    std::uint32_t Slices = 0;
  };

  auto startDrain(const TargetId &Target, DrainSource Source) -> void;

  /// Returns true if this ended the target's last drain, so that it serves
  /// again; it then needs a cold start (ColdStartRamp::restart).
  auto endDrain(const TargetId &Target, DrainSource Source) -> bool;

  auto takesNewWork(const TargetId &Target) const -> bool;

  /// A request may only start on a target that takes new work.
  auto requestStarted(const TargetId &Target) -> void;
  auto requestFinished(const TargetId &Target) -> void;
  auto runningRequests(const TargetId &Target) const -> std::uint32_t;

  /// Sets the number of slices that the target still owns.
  auto setSlices(const TargetId &Target, std::uint32_t Count) -> void;

  /// Returns the next slices to move: at most \p BatchLimit in total and at
  /// most FreeSlices per receiver. Empty while an earlier batch is moving or
  /// nothing can be moved. Draining receivers are skipped.
  auto nextBatch(const TargetId &Target, std::vector<Receiver> Receivers,
                 std::uint32_t BatchLimit) -> std::vector<Batch>;

  /// Called when the batch was granted to its receivers or abandoned.
  auto batchEnded(const TargetId &Target) -> void;

  /// True when the target is draining, has no running requests and owns no
  /// slices.
  auto isDrained(const TargetId &Target) const -> bool;

private:
  struct State {
    std::set<DrainSource> Sources;
    std::uint32_t RunningRequests = 0;
    std::uint32_t Slices = 0;
    bool BatchMoving = false;
  };

  std::map<TargetId, State> Targets;
};

} // namespace buckthornring
