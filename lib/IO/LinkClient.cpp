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
                         AnswerHandler OnAnswer) -> void {
  auto Id = Session ? Session->submitRequest(std::move(Message))
                    : Result<LinkSession::StreamId>(Error("link is down"));
  if (!Id) {
    // Answers never arrive inside the call, so that callers can hold state.
    boost::asio::post(Context, [OnAnswer = std::move(OnAnswer),
                                Reason = Id.error()] { OnAnswer(Reason); });
    return;
  }
  auto Timer = std::make_unique<boost::asio::steady_timer>(Context, Timeout);
  Timer->async_wait([this, Living = Alive,
                     Stream = *Id](boost::system::error_code Cancelled) {
    if (Cancelled || !*Living)
      return;
    finish(Stream, Error("no answer in time"));
    if (Session)
      Session->cancel(Stream);
  });
  Waiting.emplace(*Id, Pending{std::move(OnAnswer), std::move(Timer)});
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
  Socket->async_connect(
      Peer, [this, Living = Alive, Socket](boost::system::error_code Failure) {
        if (!*Living)
          return;
        ReconnectTimer.cancel();
        if (Failure)
          return reconnectLater();
        adopt(std::move(*Socket));
      });
}

auto LinkClient::adopt(ip::tcp::socket Socket) -> void {
  LinkSession::Callbacks Handlers;
  Handlers.OnMessage = [this, Living = Alive](LinkSession::StreamId Id,
                                              std::string Message) {
    if (*Living)
      finish(Id, std::move(Message));
  };
  Handlers.OnStreamFailed = [this, Living = Alive](LinkSession::StreamId Id) {
    if (*Living)
      finish(Id, Error("peer ended the stream"));
  };
  Handlers.OnPingAcknowledged = [this, Living = Alive] {
    if (*Living)
      MissedHeartbeats = 0;
  };
  Handlers.OnClosed = [this, Living = Alive] {
    if (!*Living)
      return;
    Session = nullptr;
    failAll("link broke");
    reconnectLater();
  };
  auto Created = LinkSession::create(
      std::move(Socket), LinkSession::Role::Client, std::move(Handlers));
  if (!Created)
    return reconnectLater();
  Session = *Created;
  ++Connections;
  MissedHeartbeats = 0;
  Session->start();
  scheduleHeartbeat();
}

auto LinkClient::reconnectLater() -> void {
  HeartbeatTimer.cancel();
  ReconnectTimer.expires_after(ReconnectInterval);
  ReconnectTimer.async_wait(
      [this, Living = Alive](boost::system::error_code Cancelled) {
        if (!Cancelled && *Living)
          connect();
      });
}

auto LinkClient::scheduleHeartbeat() -> void {
  HeartbeatTimer.expires_after(HeartbeatInterval);
  HeartbeatTimer.async_wait(
      [this, Living = Alive](boost::system::error_code Cancelled) {
        if (Cancelled || !*Living || !Session)
          return;
        if (MissedHeartbeats >= MaxMissedHeartbeats)
          return Session->close();
        ++MissedHeartbeats;
        Session->sendPing();
        scheduleHeartbeat();
      });
}

auto LinkClient::finish(LinkSession::StreamId Id, Result<std::string> Answer)
    -> void {
  auto Node = Waiting.extract(Id);
  if (Node.empty())
    return;
  Node.mapped().Timer->cancel();
  Node.mapped().OnAnswer(std::move(Answer));
}

auto LinkClient::failAll(const std::string &Reason) -> void {
  auto Failed = std::exchange(Waiting, {});
  for (auto &[Id, Request] : Failed) {
    Request.Timer->cancel();
    Request.OnAnswer(Error(Reason));
  }
}

} // namespace buckthornring
