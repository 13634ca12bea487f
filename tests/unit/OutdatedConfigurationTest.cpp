#include "support/FleetPeer.h"
#include "support/GatewayFixture.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

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
  /// To be called before instances report.
  auto setSeenBy(std::string PeerAddress) -> void {
    SeenBy = std::move(PeerAddress);
  }
  auto setSilent(bool IsSilent) -> void { Silent = IsSilent; }
  auto replies() const -> int { return Replies; }

private:
  auto reply(const FleetReport &Report, const std::string &To) -> void {
    if (Silent)
      return;
    FleetReply Reply;
    Reply.Leader = Report.Leader;
    Reply.StoreReachable = true;
    Reply.Seen.Configuration = SeenConfiguration;
    Reply.SeenByAddress = SeenBy;
    Socket->send(To, Reply);
    ++Replies;
  }

  boost::asio::io_context Io;
  std::string Address;
  std::string SeenBy = "127.0.0.1:9";
  std::atomic<std::uint64_t> SeenConfiguration = 0;
  std::atomic<int> Replies = 0;
  std::atomic<bool> Silent = false;
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

// Guards against an instance that knows that it is behind, reads a silent store
// again and again, and never asks the peer that is not behind.
TEST(OutdatedConfigurationTest, PeerIsAskedWhileTheStoreIsSilent) {
  ScriptedTarget Target(GatewayFixture::answering());
  std::atomic<int> Asked = 0;
  ScriptedTarget Peer(
      [&Asked](ScriptedTarget::Tcp::socket &Socket, const std::string &) {
        ++Asked;
        return ScriptedTarget::send(
            Socket, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
      });
  LeaderStandIn Leader;
  Leader.setSeenBy(Peer.address());
  GatewayFixture Fixture;
  Fixture.store().set("buckthornring", "leader", Leader.object());
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(5);
  ASSERT_TRUE(Fixture.waitUntilServing());
  ASSERT_TRUE(eventually([&] { return Leader.replies() > 1; }));
  std::this_thread::sleep_for(300ms);
  Fixture.store().setSilent(true);
  Leader.setSeenConfiguration(40);
  const auto Until = std::chrono::steady_clock::now() + 6s;
  while (Asked == 0 && std::chrono::steady_clock::now() < Until)
    std::this_thread::sleep_for(50ms);
  EXPECT_GT(Asked, 0);
}

/// An instance that follows a leader until the leader and the store fall silent
/// together.
class SilentStoreTest : public testing::Test {
protected:
  SilentStoreTest() : Old(GatewayFixture::answering("old")) {
    Fixture.store().set("buckthornring", "leader", Leader.object());
    Fixture.addTarget("pay", "t1", Old);
    Fixture.addTarget("other", "t2", New);
    Fixture.configure(5);
    EXPECT_TRUE(Fixture.waitUntilServing());
    EXPECT_TRUE(eventually([&] { return Leader.replies() > 1; }));
    // Watches that have just been sent are not rechecked.
    std::this_thread::sleep_for(300ms);
    WritesBefore = Fixture.store().writes();
    Fixture.store().setSilent(true);
    Leader.setSilent(true);
  }

  auto claims() -> std::size_t {
    return Fixture.store().writes() - WritesBefore;
  }

  ScriptedTarget Old;
  ScriptedTarget New{GatewayFixture::answering("new")};
  LeaderStandIn Leader;
  GatewayFixture Fixture;
  std::size_t WritesBefore = 0;
};

// Guards against claims of the leadership, one after the other, by an instance
// that has no contact with the store.
TEST_F(SilentStoreTest, NothingIsClaimedWithoutContact) {
  std::this_thread::sleep_for(5s);
  EXPECT_EQ(claims(), 0U);
  Fixture.store().setSilent(false);
  EXPECT_TRUE(eventually([&] { return claims() > 0; }));
}

// Guards against an old configuration that stays in force after an outage while
// watches are open on silent connections.
TEST_F(SilentStoreTest, ConfigurationIsReadSoonAfterAnOutage) {
  std::this_thread::sleep_for(4s);
  Fixture.store().setSilent(false);
  Fixture.configure(6, "other");
  const auto Until = std::chrono::steady_clock::now() + 3s;
  const auto InForce = [&] {
    return Fixture.exchange("GET", "/safe/1").has("new");
  };
  while (!InForce() && std::chrono::steady_clock::now() < Until)
    std::this_thread::sleep_for(50ms);
  EXPECT_TRUE(InForce());
}

} // namespace
