#include "IO/LinkClient.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace buckthornring {

namespace ip = boost::asio::ip;

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);

} // namespace

auto LinkClient::create(boost::asio::io_context &Context,
                        const ip::tcp::endpoint &Peer)
    -> std::unique_ptr<LinkClient> {
  std::unique_ptr<LinkClient> Client(new LinkClient(Context, Peer));
  Client->connect();
  return Client;
}

LinkClient::LinkClient(boost::asio::io_context &Context,
                       const ip::tcp::endpoint &Peer)
    : Context(Context), Peer(Peer), HeartbeatTimer(Context),
      ReconnectTimer(Context) {}

LinkClient::~LinkClient() {
  *Alive = false;
  if (Session)
    Session->close();
}

auto LinkClient::request(std::string Message, Duration Timeout,
                         ReplyHandler OnReply) -> void {
  auto Id = Session
                ? Session->submitRequest(std::move(Message))
                : Result<LinkSession::StreamId>(Error("link is not connected"));
  if (!Id) {
    // The handler never runs inside request(), so that callers are not
    // re-entered.
    boost::asio::post(Context, [OnReply = std::move(OnReply),
                                Reason = Id.error()] { OnReply(Reason); });
    return;
  }
  auto Timer = std::make_unique<boost::asio::steady_timer>(Context, Timeout);
  Timer->async_wait([this, AliveFlag = Alive,
                     Stream = *Id](boost::system::error_code Cancelled) {
    if (Cancelled || !*AliveFlag)
      return;
    complete(Stream, Error("no reply within the time-out"));
    if (Session)
      Session->cancel(Stream);
  });
  PendingRequests.emplace(*Id,
                          PendingRequest{std::move(OnReply), std::move(Timer)});
}

auto LinkClient::connect() -> void {
  auto Socket = std::make_shared<ip::tcp::socket>(Context);
  ReconnectTimer.expires_after(ConnectTimeout);
  ReconnectTimer.async_wait(
      [Socket](boost::system::error_code Cancelled) mutable {
        boost::system::error_code Ignored;
        if (!Cancelled)
          Socket->close(Ignored);
      });
  Socket->async_connect(Peer, [this, AliveFlag = Alive,
                               Socket](boost::system::error_code Failure) {
    if (!*AliveFlag)
      return;
    ReconnectTimer.cancel();
    if (Failure)
      return scheduleReconnect();
    startSession(std::move(*Socket));
  });
}

auto LinkClient::startSession(ip::tcp::socket Socket) -> void {
  LinkSession::Callbacks Handlers;
  Handlers.OnMessage = [this, AliveFlag = Alive](LinkSession::StreamId Id,
                                                 std::string Message) {
    if (*AliveFlag)
      complete(Id, std::move(Message));
  };
  Handlers.OnStreamFailed = [this,
                             AliveFlag = Alive](LinkSession::StreamId Id) {
    if (*AliveFlag)
      complete(Id, Error("peer closed the stream before its reply"));
  };
  Handlers.OnPingAcknowledged = [this, AliveFlag = Alive] {
    if (*AliveFlag)
      MissedHeartbeats = 0;
  };
  Handlers.OnClosed = [this, AliveFlag = Alive] {
    if (!*AliveFlag)
      return;
    Session = nullptr;
    failAll("link connection lost");
    scheduleReconnect();
  };
  auto Created = LinkSession::create(
      std::move(Socket), LinkSession::Role::Client, std::move(Handlers));
  if (!Created)
    return scheduleReconnect();
  Session = *Created;
  ++Connections;
  MissedHeartbeats = 0;
  Session->start();
  scheduleHeartbeat();
}

auto LinkClient::scheduleReconnect() -> void {
  HeartbeatTimer.cancel();
  ReconnectTimer.expires_after(ReconnectInterval);
  ReconnectTimer.async_wait(
      [this, AliveFlag = Alive](boost::system::error_code Cancelled) {
        if (!Cancelled && *AliveFlag)
          connect();
      });
}

auto LinkClient::scheduleHeartbeat() -> void {
  HeartbeatTimer.expires_after(HeartbeatInterval);
  HeartbeatTimer.async_wait(
      [this, AliveFlag = Alive](boost::system::error_code Cancelled) {
        if (Cancelled || !*AliveFlag || !Session)
          return;
        if (MissedHeartbeats >= MaxMissedHeartbeats)
          return Session->close();
        ++MissedHeartbeats;
        Session->sendPing();
        scheduleHeartbeat();
      });
}

auto LinkClient::complete(LinkSession::StreamId Id, Result<std::string> Reply)
    -> void {
  auto Node = PendingRequests.extract(Id);
  if (Node.empty())
    return;
  Node.mapped().Timer->cancel();
  Node.mapped().OnReply(std::move(Reply));
}

auto LinkClient::failAll(const std::string &Reason) -> void {
  auto Failed = std::exchange(PendingRequests, {});
  for (auto &[Id, Request] : Failed) {
    Request.Timer->cancel();
    Request.OnReply(Error(Reason));
  }
}

} // namespace buckthornring
