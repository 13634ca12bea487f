#include "support/FleetPeer.h"
#include "support/GatewayFixture.h"

#include <gtest/gtest.h>

#include <atomic>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

/// The leader of the fleet, as far as it tells an instance which revisions the
/// others have seen.
class LeaderStandIn {
public:
  LeaderStandIn()
      : Socket(openPeerSocket(
            Io, Address,
            [this](const FleetMessage &Message, const std::string &From) {
              if (const auto *Report = std::get_if<FleetReport>(&Message))
                reply(*Report, From);
            })),
        Serving([this] { Io.run(); }) {}
  ~LeaderStandIn() {
    Io.stop();
    Serving.join();
  }

  /// The leader object in the store.
  auto object() const -> nlohmann::json {
    return {{"instance", "leader"}, {"process", "p"}, {"address", Address}};
  }
  auto setSeenConfiguration(std::uint64_t Revision) -> void {
    SeenConfiguration = Revision;
    Replies = 0;
  }
  auto replies() const -> int { return Replies; }

private:
  auto reply(const FleetReport &Report, const std::string &To) -> void {
    FleetReply Reply;
    Reply.Leader = Report.Leader;
    Reply.StoreReachable = true;
    Reply.Seen.Configuration = SeenConfiguration;
    Reply.SeenByAddress = "127.0.0.1:9";
    Socket->send(To, Reply);
    ++Replies;
  }

  boost::asio::io_context Io;
  std::string Address;
  std::atomic<std::uint64_t> SeenConfiguration = 0;
  std::atomic<int> Replies = 0;
  std::unique_ptr<PeerSocket> Socket;
  std::thread Serving;
};

// Guards against refusing a request for good by a configuration that is known
// to be out of date: callers do not retry after 404 and 401.
TEST(OutdatedConfigurationTest, UnknownRoutesAndKeysAreToBeRetriedMeanwhile) {
  ScriptedTarget Target(GatewayFixture::answering());
  LeaderStandIn Leader;
  GatewayFixture Fixture;
  Fixture.store().set("buckthornring", "leader", Leader.object());
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(5);
  ASSERT_TRUE(Fixture.waitUntilServing());
  ASSERT_TRUE(eventually([&] { return Leader.replies() > 1; }));
  EXPECT_TRUE(Fixture.exchange("GET", "/new/1").has(" 404 "));

  constexpr std::uint64_t NewerRevision = 40;
  Leader.setSeenConfiguration(NewerRevision);
  ASSERT_TRUE(eventually([&] { return Leader.replies() > 1; }));
  const CallerView NoRoute = Fixture.exchange("GET", "/new/1");
  EXPECT_TRUE(NoRoute.has(" 503 "));
  EXPECT_TRUE(NoRoute.has("Retry-After: "));
  RawCaller Caller = Fixture.connect();
  Caller.send("GET /safe/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\n"
              "Api-Key: new\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(Caller.readAll().has(" 503 "));
  EXPECT_TRUE(Fixture.exchange("GET", "/safe/1").has(" 200 "));

  // A new leader may know less at first.
  Leader.setSeenConfiguration(1);
  ASSERT_TRUE(eventually([&] { return Leader.replies() > 1; }));
  EXPECT_TRUE(Fixture.exchange("GET", "/new/1").has(" 503 "));

  for (int Version = 6; Version < 6 + static_cast<int>(NewerRevision);
       ++Version)
    Fixture.configure(Version);
  EXPECT_TRUE(eventually(
      [&] { return Fixture.exchange("GET", "/new/1").has(" 404 "); }));
}

// Guards against an instance that goes on with a withdrawn key until its silent
// watch times out: it ignored that the leader had seen a newer configuration,
// since the leader had named itself without an address.
TEST(OutdatedConfigurationTest, LeaderNamesItselfToInstancesThatAreBehind) {
  GatewayFixture Leader;
  FleetPeer Behind("dc1");
  // The instance reports to the peer until it claims the leadership itself.
  Leader.store().set("buckthornring", "leader", Behind.leaderObject());
  ASSERT_TRUE(eventually([&] { return !Behind.lastSender().empty(); }));
  Leader.configure(1);
  const std::string Address = Behind.lastSender();
  FleetReply Last;
  ASSERT_TRUE(eventually([&] {
    Behind.report(Address);
    const auto Replies = Behind.received<FleetReply>();
    if (!Replies.empty())
      Last = Replies.back();
    return Last.Seen.Configuration > 0;
  }));
  EXPECT_NE(Last.SeenByAddress, "");
}

} // namespace
