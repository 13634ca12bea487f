#pragma once

#include "Entry/PeerEnvelope.h"
#include "Entry/RoutingSnapshot.h"
#include "Entry/SliceOwnerSource.h"

#include <functional>
#include <memory>
#include <optional>

namespace buckthornring {

/// What the control thread knows about one target besides its configuration.
struct TargetCondition {
  bool Available = true;         ///< Reachable and not draining.
  std::uint32_t Slots = 1;       ///< Allowance of this instance.
  std::uint32_t Connections = 1; ///< Per traffic thread.
  std::optional<double> ReportedLoad;
};

using TargetConditions = std::function<TargetCondition(
    const ServiceId &, const TargetId &, const ServiceConfig &)>;

/// Everything that a snapshot is built from.
struct SnapshotInputs {
  std::shared_ptr<const ConfigIndex> Index;
  DataCentreId Own;
  TargetConditions Conditions;
  const SliceOwnerSource &Owners;
  GateTable &Gates;
  const InFlightTables &InFlight;
  /// Whether requests of the workspace are refused as stale.
  std::function<bool(const WorkspaceConfig &)> Stale;
  std::uint64_t Version = 0;
  /// Identified peers; those of other data centres become relays.
  std::vector<PeerIdentity> Peers;
};

/// Builds what the traffic threads route by.
auto buildSnapshot(const SnapshotInputs &From)
    -> std::shared_ptr<const RoutingSnapshot>;

} // namespace buckthornring
