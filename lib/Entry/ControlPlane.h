#pragma once

#include "Entry/ConfigFeed.h"
#include "Entry/LeasedOwners.h"
#include "Entry/OwnershipDriver.h"
#include "Entry/PeerLinks.h"
#include "Entry/ShareExchange.h"
#include "buckthornring/Config/DaemonSettings.h"
#include "buckthornring/IO/PlatformClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace buckthornring {

/// Everything that one instance does to agree with the others: links,
/// configuration, ownership. Runs on the control thread.
class ControlPlane {
public:
  struct Handlers {
    /// Where this instance accepts callers, told to the peers.
    std::string CallerAddress;
    /// The routing snapshot has to be built anew.
    std::function<void()> OnChanged;
    /// A grant for a holder of this instance.
    std::function<void(const std::string &Quantity, const ShareGrant &)>
        OnGrant;
    /// Another giver of shares took over; holders follow its term.
    std::function<void(std::uint64_t Term)> OnGiverChanged;
  };

  /// Opens the link listener. Fails when it cannot be bound.
  static auto create(boost::asio::io_context &Context, PlatformClient &Platform,
                     const DaemonSettings &Settings, Handlers Callbacks)
      -> Result<std::unique_ptr<ControlPlane>>;

  ~ControlPlane();
  ControlPlane(const ControlPlane &) = delete;
  auto operator=(const ControlPlane &) -> ControlPlane & = delete;

  /// IP address and port of the link listener.
  auto linkAddress() const -> std::string { return LinkAddress; }

  /// Configuration in force, or null before the first one.
  auto config() const -> std::shared_ptr<const Configuration> {
    return Feed->current();
  }
  auto owners() const -> const SliceOwnerSource & { return *Owners; }
  auto shares() const -> ShareExchange & { return *Shares; }
  auto peers() const -> std::vector<PeerIdentity> { return Links->peers(); }
  auto ownership() const -> OwnershipDriver & { return *Ownership; }

  /// True when keyed requests of the workspace have to be refused.
  auto stale(Duration Limit) const -> bool;

  /// Adds role, term, peers and slices to the status page.
  auto describe(nlohmann::json &Status) const -> void;

  /// Gives up leader or deputy role and tells the platform's list.
  auto leave() -> void;

private:
  ControlPlane(boost::asio::io_context &Context, PlatformClient &Platform,
               const DaemonSettings &Settings, Handlers Callbacks);

  auto start() -> Result<bool>;
  auto receive(const PeerIdentity &From, const LinkMessage &Message) -> void;
  auto configAccepted() -> void;
  auto announce(InstanceState State) -> void;
  auto refreshPeers() -> void;
  auto connectPeers(const PlatformInstances &Listed) -> void;
  auto scheduleTick() -> void;
  auto tick() -> void;
  auto giver() const -> ShareExchange::Giver;

  boost::asio::io_context &Context;
  PlatformClient &Platform;
  const DaemonSettings &Settings;
  Handlers Callbacks;
  std::string LinkAddress;
  std::unique_ptr<PeerLinks> Links;
  std::unique_ptr<OwnershipDriver> Ownership;
  std::unique_ptr<ConfigFeed> Feed;
  std::unique_ptr<SliceOwnerSource> Owners;
  std::unique_ptr<ShareExchange> Shares;
  boost::asio::steady_timer PeerTimer;
  boost::asio::steady_timer TickTimer;
  StalenessVerdict LastVerdict = StalenessVerdict::Stale;
  bool Announced = false;
  bool Leaving = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace buckthornring
