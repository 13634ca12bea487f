#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Config/CallerKeys.h"
#include "buckthornring/Config/Configuration.h"
#include "buckthornring/Ownership/Epoch.h"
#include "buckthornring/Routing/RouteTable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace buckthornring {

/// One target of a service as the traffic threads see it.
struct TargetView {
  TargetId Id;
  const TargetConfig *Config = nullptr;
  bool Available = true;   ///< Takes new work.
  bool Local = true;       ///< In the instance's own data centre.
  std::uint32_t Slots = 1; ///< Concurrent requests this instance may send.
  std::uint32_t Connections = 1; ///< Connections this instance may open.
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
};

/// What the traffic threads route by. Built by the control thread, immutable
/// once published.
struct RoutingSnapshot {
  explicit RoutingSnapshot(std::shared_ptr<const Configuration> Accepted)
      : Config(std::move(Accepted)), Routes(*Config), Keys(*Config) {}

  std::shared_ptr<const Configuration> Config;
  RouteTable Routes;
  CallerKeys Keys;
  std::map<ServiceId, ServiceView> Services;
  std::uint64_t Version = 0; ///< Rises with each publication.
  /// Keyed requests are refused: the configuration may be out of date.
  bool Stale = false;
};

} // namespace buckthornring
