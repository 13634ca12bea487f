#include "support/FleetPeer.h"
#include "support/GatewayFixture.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace buckthornring::test;

namespace {

/// Makes the peer the leader. Returns the address of the instance.
auto followedBy(GatewayFixture &Instance, const FleetPeer &Leader)
    -> std::string {
  auto Object = Leader.leaderObject();
  Object["earlier"] = nlohmann::json::array();
  Object["earlier_complete"] = true;
  Instance.store().set("buckthornring", "leader", Object);
  eventually([&] { return !Leader.lastSender().empty(); });
  return Leader.lastSender();
}

auto ownLeaderObject(GatewayFixture &Instance) -> nlohmann::json {
  const auto Object = Instance.store().value("buckthornring", "leader");
  return Object && Object->value("instance", "") == "i1" ? *Object
                                                         : nlohmann::json();
}

// Guards against a new leader that does not ask the earlier one whether it has
// ended, or that goes on asking after the answer.
TEST(AuthorityMessagesTest, NewLeaderAsksTheEarlierOneUntilItAnswers) {
  GatewayFixture Instance;
  Instance.configure(1);
  FleetPeer Earlier("dc1");
  const std::string Address = followedBy(Instance, Earlier);
  ASSERT_TRUE(eventually(
      [&] { return Earlier.received<AuthorityQuery>().size() >= 3; }));
  const auto Query = Earlier.received<AuthorityQuery>().back();
  EXPECT_EQ(Query.Process, Earlier.address());
  EXPECT_EQ(ownLeaderObject(Instance)["earlier"][0][1], Earlier.address());
  EXPECT_TRUE(ownLeaderObject(Instance)["earlier_complete"]);
  Earlier.send(Address,
               AuthorityAnswer{Query.Leader.Term, Query.Process, true, 0, {}});
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const auto Asked = Earlier.received<AuthorityQuery>().size();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_EQ(Earlier.received<AuthorityQuery>().size(), Asked);
}

// Guards against a leader that answers a later one before it has stopped, and
// against a process that speaks for another one that still runs.
TEST(AuthorityMessagesTest, LeaderStopsBeforeItAnswersALaterOne) {
  GatewayFixture Instance;
  Instance.configure(1);
  FleetPeer Peer("dc1");
  const std::string Address = followedBy(Instance, Peer);
  ASSERT_TRUE(eventually([&] { return !ownLeaderObject(Instance).is_null(); }));
  const std::string Process = ownLeaderObject(Instance)["process"];
  ASSERT_TRUE(
      eventually([&] { return !Peer.received<AuthorityQuery>().empty(); }));
  const std::uint64_t Term =
      Peer.received<AuthorityQuery>().back().Leader.Term + 1000;
  const LeaderInfo Later{InstanceId("later"), "later-1", Peer.address(), Term};
  Peer.send(Address, AuthorityQuery{Later, Process});
  Peer.send(Address, AuthorityQuery{Later, "an earlier process"});
  ASSERT_TRUE(
      eventually([&] { return Peer.received<AuthorityAnswer>().size() == 2; }));
  const auto Answers = Peer.received<AuthorityAnswer>();
  EXPECT_TRUE(Answers[0].Ended);
  EXPECT_EQ(Answers[0].Process, Process);
  EXPECT_EQ(Answers[0].Term, Term);
  EXPECT_LT(Answers[0].LastOrderAgeMs, 100U);
  EXPECT_TRUE(Answers[1].Ended);
  // It has asked until it stopped, and does not lead any more.
  const auto Asked = Peer.received<AuthorityQuery>().size();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_EQ(Peer.received<AuthorityQuery>().size(), Asked);
}

} // namespace
