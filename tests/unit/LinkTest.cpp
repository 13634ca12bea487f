#include "IO/LinkClient.h"
#include "IO/LinkServer.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <nghttp2/nghttp2.h>

#include <array>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

namespace ip = boost::asio::ip;

/// Instance that sends the reply "x" to each request of its only connection,
/// with header fields of the test's choice.
class LinkPeer {
public:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  LinkPeer(boost::asio::io_context &Context, Fields ReplyFields)
      : Listener(Context, {ip::make_address("127.0.0.1"), 0}),
        ReplyFields(std::move(ReplyFields)), Thread([this] { serve(); }) {}
  ~LinkPeer() { Thread.join(); }

  auto endpoint() const -> ip::tcp::endpoint {
    return Listener.local_endpoint();
  }

private:
  auto serve() -> void {
    ip::tcp::socket Socket = Listener.accept();
    nghttp2_session_callbacks *Table = nullptr;
    nghttp2_session_callbacks_new(&Table);
    nghttp2_session_callbacks_set_on_frame_recv_callback(Table, onFrame);
    nghttp2_session *Session = nullptr;
    nghttp2_session_server_new(&Session, Table, this);
    nghttp2_session_callbacks_del(Table);
    nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, nullptr, 0);
    std::array<std::uint8_t, 4096> Input{};
    boost::system::error_code Failure;
    while (!Failure) {
      const std::uint8_t *Output = nullptr;
      for (ssize_t Size = 0;
           (Size = nghttp2_session_mem_send(Session, &Output)) > 0;)
        boost::asio::write(
            Socket, boost::asio::buffer(Output, static_cast<std::size_t>(Size)),
            Failure);
      const std::size_t Count =
          Socket.read_some(boost::asio::buffer(Input), Failure);
      if (nghttp2_session_mem_recv(Session, Input.data(), Count) < 0)
        break;
    }
    nghttp2_session_del(Session);
  }

  static auto onFrame(nghttp2_session *Session, const nghttp2_frame *Frame,
                      void *Self) -> int {
    if ((Frame->hd.type != NGHTTP2_DATA && Frame->hd.type != NGHTTP2_HEADERS) ||
        (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
      return 0;
    std::vector<nghttp2_nv> Headers;
    for (auto &[Name, Value] : static_cast<LinkPeer *>(Self)->ReplyFields)
      Headers.push_back({reinterpret_cast<std::uint8_t *>(Name.data()),
                         reinterpret_cast<std::uint8_t *>(Value.data()),
                         Name.size(), Value.size(), NGHTTP2_NV_FLAG_NONE});
    nghttp2_data_provider Body{};
    Body.read_callback =
        [](nghttp2_session *, std::int32_t, std::uint8_t *Buffer, std::size_t,
           std::uint32_t *Flags, nghttp2_data_source *, void *) -> ssize_t {
      *Buffer = 'x';
      *Flags |= NGHTTP2_DATA_FLAG_EOF;
      return 1;
    };
    return nghttp2_submit_response(Session, Frame->hd.stream_id, Headers.data(),
                                   Headers.size(), &Body);
  }

  ip::tcp::acceptor Listener;
  Fields ReplyFields;
  std::thread Thread;
};

class LinkTest : public testing::Test {
protected:
  // Runs the event loop until the condition holds or the limit is reached.
  auto runUntil(const std::function<bool()> &Condition,
                std::chrono::seconds Limit = 10s) -> bool {
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (!Condition() && std::chrono::steady_clock::now() < End)
      Context.run_one_for(20ms);
    return Condition();
  }

  static auto loopback() -> ip::tcp::endpoint {
    return {ip::make_address("127.0.0.1"), 0};
  }

  auto echoServer() -> std::unique_ptr<LinkServer> {
    auto Server = LinkServer::listen(
        Context, loopback(),
        [](const std::string &Message, const LinkServer::ReplyFunction &Reply) {
          Reply("echo " + Message);
        });
    return std::move(Server).value();
  }

  boost::asio::io_context Context;
};

// Guards against replies that reach the wrong request when many are pending.
TEST_F(LinkTest, EachRequestGetsItsOwnReply) {
  const auto Server = echoServer();
  const auto Client = LinkClient::create(Context, Server->endpoint());
  ASSERT_TRUE(runUntil([&] { return Client->connected(); }));

  int CorrectReplies = 0;
  for (int I = 0; I < 200; ++I)
    Client->request(std::to_string(I), 5s, [&CorrectReplies, I](auto Reply) {
      CorrectReplies += Reply && *Reply == "echo " + std::to_string(I) ? 1 : 0;
    });
  EXPECT_TRUE(runUntil([&] { return CorrectReplies == 200; }))
      << CorrectReplies;
}

// Guards against flow control that stalls a message larger than one window.
TEST_F(LinkTest, LargestMessageIsTransferredCompletely) {
  const auto Server = echoServer();
  const auto Client = LinkClient::create(Context, Server->endpoint());
  ASSERT_TRUE(runUntil([&] { return Client->connected(); }));

  const std::string Large(MaxLinkMessageBytes - 5, 'x');
  std::optional<bool> Complete;
  Client->request(Large, 5s, [&](auto Reply) {
    Complete = Reply && *Reply == "echo " + Large;
  });
  ASSERT_TRUE(runUntil([&] { return Complete.has_value(); }));
  EXPECT_TRUE(*Complete);
}

// Guards against a request that waits indefinitely for a reply that never
// comes.
TEST_F(LinkTest, MissingReplyFailsAtTheTimeout) {
  auto Server = LinkServer::listen(
      Context, loopback(),
      [](const std::string &, const LinkServer::ReplyFunction &) {});
  const auto Client = LinkClient::create(Context, (*Server)->endpoint());
  ASSERT_TRUE(runUntil([&] { return Client->connected(); }));

  std::optional<std::string> Reason;
  Client->request("question", 50ms,
                  [&](auto Reply) { Reason = Reply.error().message(); });
  ASSERT_TRUE(runUntil([&] { return Reason.has_value(); }));
  EXPECT_EQ(*Reason, "no reply within the time-out");
  EXPECT_TRUE(Client->connected());
}

// Guards against keeping a connection whose peer never replies, as after a
// middlebox lost its state.
TEST_F(LinkTest, UnresponsiveConnectionIsReopened) {
  ip::tcp::acceptor Unresponsive(Context, loopback());
  std::vector<ip::tcp::socket> Accepted;
  std::function<void()> AcceptNext = [&] {
    Unresponsive.async_accept([&](auto Failure, ip::tcp::socket Socket) {
      if (Failure)
        return;
      Accepted.push_back(std::move(Socket));
      AcceptNext();
    });
  };
  AcceptNext();
  const auto Client =
      LinkClient::create(Context, Unresponsive.local_endpoint());
  EXPECT_TRUE(runUntil([&] { return Client->connectionCount() >= 2; }));
}

// Guards against requests that keep waiting on a link whose peer process has
// ended.
TEST_F(LinkTest, BrokenLinkFailsOpenRequestsAndReconnects) {
  std::vector<LinkServer::ReplyFunction> PendingReplies;
  const LinkServer::Handler KeepPending = [&](const std::string &,
                                              LinkServer::ReplyFunction Reply) {
    PendingReplies.push_back(std::move(Reply));
  };
  auto Server =
      std::move(LinkServer::listen(Context, loopback(), KeepPending)).value();
  const ip::tcp::endpoint Address = Server->endpoint();
  const auto Client = LinkClient::create(Context, Address);
  ASSERT_TRUE(runUntil([&] { return Client->connected(); }));

  std::optional<bool> Failed;
  Client->request("question", 5s, [&](auto Reply) { Failed = !Reply; });
  ASSERT_TRUE(runUntil([&] { return !PendingReplies.empty(); }));
  Server.reset();
  ASSERT_TRUE(runUntil([&] { return Failed.has_value(); }));
  EXPECT_TRUE(*Failed);

  auto Restarted = LinkServer::listen(Context, Address, KeepPending);
  ASSERT_TRUE(Restarted.hasValue());
  EXPECT_TRUE(runUntil([&] { return Client->connected(); }));
}

// Guards against the response of a peer in trouble that counts as its reply.
TEST_F(LinkTest, ResponseWithAnotherStatusOrAnInvalidNameIsNoReply) {
  const LinkPeer::Fields Sound = {{":status", "200"}, {"x-noise", "1"}};
  const std::vector<LinkPeer::Fields> Broken = {
      {{":status", "000"}},
      {{":status", "099"}},
      {{":status", "500"}},
      {{":status", "999"}},
      {{":status", "200"}, {"x noise", "1"}},
      {{":status", "200"}, {" x-noise", "1"}},
      {{":status", "200"}, {"x-noise ", "1"}},
      {{":status", "200"}, {"x-\x01noise", "1"}}};
  const auto ReplyOf =
      [this](const LinkPeer::Fields &Fields) -> std::optional<bool> {
    LinkPeer Peer(Context, Fields);
    const auto Client = LinkClient::create(Context, Peer.endpoint());
    EXPECT_TRUE(runUntil([&] { return Client->connected(); }));
    std::optional<bool> Replied;
    Client->request("question", 5s, [&](const auto &Reply) {
      Replied = Reply && *Reply == "x";
    });
    EXPECT_TRUE(runUntil([&] { return Replied.has_value(); }));
    return Replied;
  };
  EXPECT_EQ(ReplyOf(Sound), true);
  for (const LinkPeer::Fields &Fields : Broken)
    EXPECT_EQ(ReplyOf(Fields), false)
        << Fields.front().second << " " << Fields.back().first;
}

} // namespace
