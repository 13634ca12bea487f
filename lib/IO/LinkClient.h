#pragma once

#include "IO/LinkSession.h"
#include "buckthornring/Common/Result.h"
#include "buckthornring/Common/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace buckthornring {

/// Link to one other instance; reconnects whenever the connection is lost.
///
/// A middlebox that loses its state can leave a connection permanently
/// unresponsive while new connections work; heartbeats detect this. Runs on the
/// io_context's thread.
class LinkClient {
public:
  using ReplyHandler = std::function<void(Result<std::string>)>;

  /// Time between heartbeats.
  static constexpr Duration HeartbeatInterval = std::chrono::milliseconds(200);
  /// Unanswered heartbeats after which the connection counts as lost.
  static constexpr int MaxMissedHeartbeats = 3;
  /// Pause between two attempts to connect.
  static constexpr Duration ReconnectInterval = std::chrono::milliseconds(200);

  static auto create(boost::asio::io_context &Context,
                     const boost::asio::ip::tcp::endpoint &Peer)
      -> std::unique_ptr<LinkClient>;

  ~LinkClient();
  LinkClient(const LinkClient &) = delete;
  auto operator=(const LinkClient &) -> LinkClient & = delete;

  /// Sends a message and calls \p OnReply with its reply, or with an error if
  /// the link is not connected, if the connection is lost, or if there is no
  /// reply within \p Timeout. After an error the peer may or may not have
  /// handled the message.
  auto request(std::string Message, Duration Timeout, ReplyHandler OnReply)
      -> void;

  auto connected() const -> bool { return Session != nullptr; }

  /// Number of connections opened so far.
  auto connectionCount() const -> std::uint64_t { return Connections; }

private:
  struct PendingRequest {
    ReplyHandler OnReply;
    std::unique_ptr<boost::asio::steady_timer> Timer;
  };

  LinkClient(boost::asio::io_context &Context,
             const boost::asio::ip::tcp::endpoint &Peer);

  auto connect() -> void;
  auto startSession(boost::asio::ip::tcp::socket Socket) -> void;
  auto scheduleReconnect() -> void;
  auto scheduleHeartbeat() -> void;
  auto complete(LinkSession::StreamId Id, Result<std::string> Reply) -> void;
  auto failAll(const std::string &Reason) -> void;

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::endpoint Peer;
  boost::asio::steady_timer HeartbeatTimer;
  boost::asio::steady_timer ReconnectTimer;
  std::shared_ptr<LinkSession> Session;
  std::map<LinkSession::StreamId, PendingRequest> PendingRequests;
  std::uint64_t Connections = 0;
  int MissedHeartbeats = 0;
  // Shared with callbacks that may run after the client is destroyed.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace buckthornring
