#pragma once

#include "Entry/PeerEnvelope.h"
#include "IO/LinkClient.h"
#include "IO/LinkServer.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Link/LinkMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornring {

/// Links to all other instances that this instance talks to.
///
/// Messages are one-way: they may be lost, and the protocols above repeat
/// what matters. Runs on the control thread.
class PeerLinks {
public:
  using MessageHandler =
      std::function<void(const PeerIdentity &From, LinkMessage Message)>;

  struct Handlers {
    MessageHandler OnMessage;
    /// The set of identified peers changed.
    std::function<void()> OnPeersChanged;
  };

  static auto create(boost::asio::io_context &Context, PeerIdentity Self,
                     Handlers Callbacks) -> std::unique_ptr<PeerLinks>;

  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  auto operator=(const PeerLinks &) -> PeerLinks & = delete;

  /// Listens for links. Fails with the system's reason.
  auto listen(const boost::asio::ip::tcp::endpoint &Address)
      -> Result<boost::asio::ip::tcp::endpoint>;

  /// Replaces the addresses to keep links to. The own address is skipped.
  auto setAddresses(const std::set<boost::asio::ip::tcp::endpoint> &Addresses)
      -> void;

  /// Sends a message to a process that has introduced itself. Returns false
  /// when there is no link to it.
  auto send(const InstanceId &Process, const LinkMessage &Message) -> bool;

  /// Peers with a live link, as they introduced themselves.
  auto peers() const -> std::vector<PeerIdentity>;
  auto self() const -> const PeerIdentity & { return Self; }

  auto close() -> void;

private:
  struct Peer {
    std::unique_ptr<LinkClient> Link;
    std::optional<PeerIdentity> Identity;
    std::uint64_t Connection = 0; ///< On which it introduced itself.
    TimePoint IntroducedAt;
  };

  PeerLinks(boost::asio::io_context &Context, PeerIdentity Self,
            Handlers Callbacks);

  auto handle(const std::string &Bytes, const LinkServer::ReplyFunction &Answer)
      -> void;
  auto introduceAll() -> void;
  auto forgetOldProcesses() -> void;
  auto introduce(const boost::asio::ip::tcp::endpoint &Address, Peer &To)
      -> void;
  auto identify(const boost::asio::ip::tcp::endpoint &Address,
                const Result<std::string> &Answer) -> void;
  auto setIdentity(Peer &Of, std::optional<PeerIdentity> Identity) -> void;

  boost::asio::io_context &Context;
  PeerIdentity Self;
  Handlers Callbacks;
  std::unique_ptr<LinkServer> Server;
  std::map<boost::asio::ip::tcp::endpoint, Peer> Peers;
  /// Processes that introduced themselves on links they opened.
  struct KnownProcess {
    PeerIdentity Identity;
    TimePoint SeenAt;
  };
  std::map<InstanceId, KnownProcess> Known;
  boost::asio::steady_timer IntroductionTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace buckthornring
