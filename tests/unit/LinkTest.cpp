#include "IO/LinkClient.h"
#include "IO/LinkServer.h"

#include <gtest/gtest.h>

#include <optional>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

namespace ip = boost::asio::ip;

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

} // namespace
