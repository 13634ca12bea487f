#pragma once

#include "Entry/RoutingSnapshot.h"
#include "Entry/SliceOwnerSource.h"

#include <functional>
#include <memory>

namespace buckthornring {

/// What the control thread knows about one target besides its configuration.
struct TargetCondition {
  bool Available = true;   ///< Reachable and not draining.
  std::uint32_t Slots = 0; ///< Allowance of this instance.
  std::uint32_t Connections = 0;
};

using TargetConditions = std::function<TargetCondition(
    const ServiceId &, const TargetId &, const ServiceConfig &)>;

/// Builds what the traffic threads route by.
auto buildSnapshot(std::shared_ptr<const Configuration> Config,
                   const DataCentreId &Own, const TargetConditions &Conditions,
                   const SliceOwnerSource &Owners, std::uint64_t Version,
                   bool Stale) -> std::shared_ptr<const RoutingSnapshot>;

} // namespace buckthornring
