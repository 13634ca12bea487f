#pragma once

#include "Entry/Gates.h"
#include "Entry/InFlightTable.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Config/CallerKeys.h"
#include "buckthornring/Config/Configuration.h"
#include "buckthornring/Ownership/Epoch.h"
#include "buckthornring/Ownership/HomeMap.h"
#include "buckthornring/Routing/RouteTable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace buckthornring {

/// One target of a service as the traffic threads see it.
struct TargetView {
  TargetId Id;
  const TargetConfig *Config = nullptr;
  bool Available = true;   ///< Takes new work.
  bool Local = true;       ///< In the instance's own data centre.
  std::uint32_t Slots = 1; ///< Concurrent requests this instance may send.
  std::uint32_t Connections = 1;      ///< Connections per traffic thread.
  std::optional<double> ReportedLoad; ///< Share of its slots in use, 0 to 1.
  std::shared_ptr<TargetGate> Gate;
};

/// Owner of one slice, as an index into ServiceView::Targets.
struct SliceOwner {
  static constexpr std::uint32_t None = UINT32_MAX;

  std::uint32_t Target = None;
  Epoch Current;
};

struct ServiceView {
  ServiceId Id;
  const ServiceConfig *Config = nullptr;
  std::vector<TargetView> Targets;
  std::vector<SliceOwner> Owners; ///< By slice; empty for undivided services.
  std::shared_ptr<ServiceGate> Gate;
  /// Null while nobody waits for running requests before a move.
  std::shared_ptr<InFlightTable> InFlight;

  /// Returns the owner of a slice that takes requests, or null.
  auto owner(std::uint32_t Slice) const -> const SliceOwner * {
    if (Slice >= Owners.size() || Owners[Slice].Target == SliceOwner::None)
      return nullptr;
    return &Owners[Slice];
  }
};

/// Another data centre's instance to which requests can be relayed.
struct RelayPeer {
  TargetId Id; ///< Process name of the instance, for gates and statistics.
  std::string Address; ///< Where it accepts callers.
  std::shared_ptr<TargetGate> Gate;
};

/// A configuration with the tables made from it. Built once per generation,
/// since snapshots follow each other several times a second.
struct ConfigIndex {
  explicit ConfigIndex(std::shared_ptr<const Configuration> Accepted)
      : Config(std::move(Accepted)), Routes(*Config), Keys(*Config) {
    for (const auto &[Id, Service] : Config->Services)
      if (Service.Kind == ServiceKind::Divided)
        Homes.emplace(Id, HomeMap::wanted(*Config, Id));
  }

  std::shared_ptr<const Configuration> Config;
  RouteTable Routes;
  CallerKeys Keys;
  std::map<ServiceId, HomeMap> Homes; ///< Of divided services.
};

/// What the traffic threads route by. Built by the control thread, immutable
/// once published.
struct RoutingSnapshot {
  std::shared_ptr<const ConfigIndex> Index;
  std::map<ServiceId, ServiceView> Services;
  std::uint64_t Version = 0; ///< Rises with each publication.
  /// Workspaces whose requests are refused: their caller keys may have been
  /// withdrawn without this instance knowing.
  std::set<WorkspaceId> Stale;
  DataCentreId Own;
  /// Reachable instances of the other data centres.
  std::map<DataCentreId, std::vector<RelayPeer>> Relays;

  auto config() const -> const Configuration & { return *Index->Config; }

  auto service(const ServiceId &Service) const -> const ServiceView * {
    const auto Place = Services.find(Service);
    return Place == Services.end() ? nullptr : &Place->second;
  }
};

} // namespace buckthornring
