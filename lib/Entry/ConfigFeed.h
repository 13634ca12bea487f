#pragma once

#include "Entry/PeerLinks.h"
#include "buckthornring/Config/ConfigStore.h"
#include "buckthornring/IO/PlatformClient.h"
#include "buckthornring/Membership/StalenessGuard.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace buckthornring {

/// Keeps the configuration in force current: watches the platform where this
/// instance is a watcher, and passes newer generations on between peers.
/// Runs on the control thread.
///
/// At most two instances of a data centre watch in the steady state (the
/// leader and the deputy), so the platform's waiting watches grow with the
/// data centres and not with the fleet. An instance that hears no confirmation
/// from a peer watches by itself.
class ConfigFeed {
public:
  struct Options {
    PeerIdentity Self;
    /// A newer configuration is in force.
    std::function<void()> OnAccepted;
  };

  static auto create(boost::asio::io_context &Context, PlatformClient &Platform,
                     PeerLinks &Links, Options Settings)
      -> std::unique_ptr<ConfigFeed>;

  ~ConfigFeed();
  ConfigFeed(const ConfigFeed &) = delete;
  auto operator=(const ConfigFeed &) -> ConfigFeed & = delete;

  /// Leader and deputy watch the platform.
  auto setWatcher(bool Watcher) -> void { IsWatcher = Watcher; }

  /// Takes a configuration message; returns false for messages of other parts.
  auto receive(const PeerIdentity &From, const LinkMessage &Message) -> bool;

  auto current() const -> std::shared_ptr<const Configuration> {
    return Store.current();
  }
  auto digest() const -> const std::string & { return Store.digest(); }
  auto guard() const -> const StalenessGuard & { return Guard; }
  auto reachesPlatform() const -> bool;

private:
  ConfigFeed(boost::asio::io_context &Context, PlatformClient &Platform,
             PeerLinks &Links, Options Settings);

  auto scheduleTick() -> void;
  auto needsWatch() const -> bool;
  auto watch() -> void;
  auto gotChanges(const PlatformChanges &Changes, TimePoint AskedAt) -> void;
  auto accept(const std::string &Text, ConfigSource Source) -> bool;
  auto receiveOffer(const PeerIdentity &From, const ConfigOffer &Offer) -> void;
  auto offerTo(const InstanceId &Peer, bool WithContent) -> void;
  auto offerToAll(bool WithContent) -> void;
  auto reportReachability() -> void;

  PlatformClient &Platform;
  PeerLinks &Links;
  Options Settings;
  ConfigStore Store;
  std::string Text; ///< Record in force, as it came from the platform.
  StalenessGuard Guard;
  /// Clock readings that peers sent, to be echoed in offers to them.
  struct PeerClock {
    std::int64_t ReadingUs = 0;
    TimePoint ReceivedAt;
  };
  std::map<InstanceId, PeerClock> PeerClocks;
  bool IsWatcher = false;
  bool Watching = false;
  std::uint64_t Revision = 0;
  TimePoint LastAnswer = TimePoint::min(); ///< Of the platform.
  TimePoint ConfirmedByPeer = TimePoint::min();
  boost::asio::steady_timer TickTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace buckthornring
