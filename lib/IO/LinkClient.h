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

/// A link to one other instance, opened anew whenever it breaks.
///
/// A connection can go silent for good when a middlebox forgets it, while new
/// connections work; the heartbeat finds this. Runs on the io_context's thread.
class LinkClient {
public:
  using AnswerHandler = std::function<void(Result<std::string>)>;

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

  /// Sends a message and hands over its answer, or an error when the link is
  /// down, breaks, or gives no answer within \p Timeout. After an error the
  /// peer may or may not have handled the message.
  auto request(std::string Message, Duration Timeout, AnswerHandler OnAnswer)
      -> void;

  auto connected() const -> bool { return Session != nullptr; }

  /// Number of connections opened so far.
  auto connectionCount() const -> std::uint64_t { return Connections; }

private:
  struct Pending {
    AnswerHandler OnAnswer;
    std::unique_ptr<boost::asio::steady_timer> Timer;
  };

  LinkClient(boost::asio::io_context &Context,
             const boost::asio::ip::tcp::endpoint &Peer);

  auto connect() -> void;
  auto adopt(boost::asio::ip::tcp::socket Socket) -> void;
  auto reconnectLater() -> void;
  auto scheduleHeartbeat() -> void;
  auto finish(LinkSession::StreamId Id, Result<std::string> Answer) -> void;
  auto failAll(const std::string &Reason) -> void;

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::endpoint Peer;
  boost::asio::steady_timer HeartbeatTimer;
  boost::asio::steady_timer ReconnectTimer;
  std::shared_ptr<LinkSession> Session;
  std::map<LinkSession::StreamId, Pending> Waiting;
  std::uint64_t Connections = 0;
  int MissedHeartbeats = 0;
  // Shared with callbacks that may run after the client is gone.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace buckthornring
