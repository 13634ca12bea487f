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
    auto Server =
        LinkServer::listen(Context, loopback(),
                           [](const std::string &Message,
                              const LinkServer::ReplyFunction &Answer) {
                             Answer("echo " + Message);
                           });
    return std::move(Server).value();
  }

  boost::asio::io_context Context;
};

// Guards against answers that reach the wrong request when many are open.
TEST_F(LinkTest, EachRequestGetsItsOwnAnswer) {
  const auto Server = echoServer();
  const auto Client = LinkClient::create(Context, Server->endpoint());
  ASSERT_TRUE(runUntil([&] { return Client->connected(); }));

  int Right = 0;
  for (int I = 0; I < 200; ++I)
    Client->request(std::to_string(I), 5s, [&Right, I](auto Answer) {
      Right += Answer && *Answer == "echo " + std::to_string(I) ? 1 : 0;
    });
  EXPECT_TRUE(runUntil([&] { return Right == 200; })) << Right;
}

// Guards against flow control that stalls a message larger than one window.
TEST_F(LinkTest, LargestMessageArrivesWhole) {
  const auto Server = echoServer();
  const auto Client = LinkClient::create(Context, Server->endpoint());
  ASSERT_TRUE(runUntil([&] { return Client->connected(); }));

  const std::string Large(MaxLinkMessageBytes - 5, 'x');
  std::optional<bool> Whole;
  Client->request(Large, 5s, [&](auto Answer) {
    Whole = Answer && *Answer == "echo " + Large;
  });
  ASSERT_TRUE(runUntil([&] { return Whole.has_value(); }));
  EXPECT_TRUE(*Whole);
}

// Guards against a request that waits forever when its answer never comes.
TEST_F(LinkTest, MissingAnswerEndsAtTheTimeout) {
  auto Server = LinkServer::listen(
      Context, loopback(),
      [](const std::string &, const LinkServer::ReplyFunction &) {});
  const auto Client = LinkClient::create(Context, (*Server)->endpoint());
  ASSERT_TRUE(runUntil([&] { return Client->connected(); }));

  std::optional<std::string> Reason;
  Client->request("question", 50ms,
                  [&](auto Answer) { Reason = Answer.error().message(); });
  ASSERT_TRUE(runUntil([&] { return Reason.has_value(); }));
  EXPECT_EQ(*Reason, "no answer in time");
  EXPECT_TRUE(Client->connected());
}

// Guards against trusting a connection whose peer reads but never answers, as
// after a middlebox lost its state.
TEST_F(LinkTest, SilentConnectionIsClosedAndOpenedAnew) {
  ip::tcp::acceptor Silent(Context, loopback());
  std::vector<ip::tcp::socket> Accepted;
  std::function<void()> AcceptNext = [&] {
    Silent.async_accept([&](auto Failure, ip::tcp::socket Socket) {
      if (Failure)
        return;
      Accepted.push_back(std::move(Socket));
      AcceptNext();
    });
  };
  AcceptNext();
  const auto Client = LinkClient::create(Context, Silent.local_endpoint());
  EXPECT_TRUE(runUntil([&] { return Client->connectionCount() >= 2; }));
}

// Guards against callers that wait on a link whose peer process ended.
TEST_F(LinkTest, BrokenLinkFailsOpenRequestsAndReconnects) {
  std::vector<LinkServer::ReplyFunction> Held;
  const LinkServer::Handler Hold = [&](const std::string &,
                                       LinkServer::ReplyFunction Answer) {
    Held.push_back(std::move(Answer));
  };
  auto Server =
      std::move(LinkServer::listen(Context, loopback(), Hold)).value();
  const ip::tcp::endpoint Address = Server->endpoint();
  const auto Client = LinkClient::create(Context, Address);
  ASSERT_TRUE(runUntil([&] { return Client->connected(); }));

  std::optional<bool> Failed;
  Client->request("question", 5s, [&](auto Answer) { Failed = !Answer; });
  ASSERT_TRUE(runUntil([&] { return !Held.empty(); }));
  Server.reset();
  ASSERT_TRUE(runUntil([&] { return Failed.has_value(); }));
  EXPECT_TRUE(*Failed);

  auto Again = LinkServer::listen(Context, Address, Hold);
  ASSERT_TRUE(Again.hasValue());
  EXPECT_TRUE(runUntil([&] { return Client->connected(); }));
}

} // namespace
