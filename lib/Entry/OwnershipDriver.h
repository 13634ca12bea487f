#pragma once

#include "Entry/InFlightTable.h"
#include "Entry/PeerLinks.h"
#include "IO/UnreadableLog.h"
#include "buckthornring/Config/Configuration.h"
#include "buckthornring/IO/HttpClient.h"
#include "buckthornring/IO/PlatformClient.h"
#include "buckthornring/Ownership/HomeKeeper.h"
#include "buckthornring/Ownership/LeaderCore.h"
#include "buckthornring/Ownership/RoutingLease.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace buckthornring {

/// Carries out what the ownership core decides: platform calls, lease messages
/// to targets, messages to peers. Runs on the control thread.
class OwnershipDriver {
public:
  struct Options {
    PeerIdentity Self;
    OwnershipTimes Times;
    /// Called after the slice maps or the routing lease changed, before the
    /// change is acknowledged: the caller publishes its routing snapshot here.
    std::function<void()> OnRoutingChanged;
  };

  static auto create(boost::asio::io_context &Context, PlatformClient &Platform,
                     PeerLinks &Links, Options Settings)
      -> std::unique_ptr<OwnershipDriver>;

  ~OwnershipDriver();
  OwnershipDriver(const OwnershipDriver &) = delete;
  auto operator=(const OwnershipDriver &) -> OwnershipDriver & = delete;

  /// Takes a newly accepted configuration.
  auto setConfiguration(const std::shared_ptr<const Configuration> &Accepted)
      -> void;

  /// Takes the current set of identified peers from the links.
  auto updatePeers() -> void;

  /// Takes an ownership message; returns false for messages of other parts.
  auto receive(const InstanceId &From, const LinkMessage &Message) -> bool;

  /// Gives up leader or deputy role before a shutdown.
  auto resign() -> void;

  /// The operator confirms that a target or a process runs no more.
  auto confirmTargetLost(const TargetId &Target) -> void;
  auto confirmInstanceLost(const InstanceId &Process) -> void;

  auto routing() const -> const RoutingLease & { return Lease; }
  auto core() const -> const LeaderCore & { return *Core; }
  auto inFlight() const -> const InFlightTables & { return Tables; }

private:
  struct TargetLink {
    std::string Address;
    std::unique_ptr<HttpClient> Client;
    bool HealthPending = false;
  };

  OwnershipDriver(boost::asio::io_context &Context, PlatformClient &Platform,
                  PeerLinks &Links, Options Settings);

  auto scheduleTick() -> void;
  auto probeUnverifiedTargets() -> void;
  auto perform(const OwnershipActions &Actions) -> void;
  auto perform(const SendLink &Action) -> void;
  auto perform(const SendLease &Action) -> void;
  auto perform(const ReadObject &Action) -> void;
  auto perform(const WriteObject &Action) -> void;
  auto deliver(const InstanceId &From, const LinkMessage &Message) -> void;
  auto receiveHeartbeat(const InstanceId &From,
                        const RoutingHeartbeat &Heartbeat) -> void;
  auto ownedServices() const -> std::vector<OwnedService>;
  auto tickHomes() -> void;
  /// Passes changed homes on to the core.
  auto applyHomes() -> void;
  auto homeKeeper(const std::string &ObjectName) -> HomeKeeper *;
  auto connectTargets() -> void;

  boost::asio::io_context &Context;
  PlatformClient &Platform;
  PeerLinks &Links;
  Options Settings;
  std::unique_ptr<LeaderCore> Core;
  RoutingLease Lease;
  std::shared_ptr<const Configuration> Config;
  InFlightTables Tables;
  struct HomeState {
    HomeKeeper Keeper;
    std::vector<bool> Applied;
    bool Confirmed = false;
  };
  std::map<ServiceId, HomeState> Homes;
  UnreadableLog Unreadable{"leases"};
  std::map<TargetId, TargetLink> Targets;
  boost::asio::steady_timer TickTimer;
  TimePoint LastProbe;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace buckthornring
