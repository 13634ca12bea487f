#include "support/FleetPeer.h"
#include "support/GatewayFixture.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace buckthornring::test;

namespace {

auto quarantined() -> SuspectNotice {
  SuspectNotice Notice;
  Notice.Suspects = {{7, {{1, 10}, {2, 20}, {3, 30}}, std::nullopt}};
  return Notice;
}

/// Returns the address of the instance for messages of others. It reports to
/// the peer, which is its leader until it claims the leadership itself.
auto addressOf(GatewayFixture &Instance, const FleetPeer &Peer) -> std::string {
  Instance.store().set("buckthornring", "leader", Peer.leaderObject());
  eventually([&] { return !Peer.lastSender().empty(); });
  return Peer.lastSender();
}

/// Whether the last reply to a peer had these suspects.
auto wasTold(const FleetPeer &Peer, const SuspectNotice &Expected) -> bool {
  const auto Replies = Peer.received<FleetReply>();
  return !Replies.empty() && !Replies.back().Suspects.Suspects.empty() &&
         digestOf(Replies.back().Suspects) == digestOf(Expected);
}

// Guards against a leader that keeps to itself what one data centre has told of
// a request that crashes targets.
TEST(SuspectMessagesTest, LeaderPassesSuspectsOnToOtherDataCentres) {
  GatewayFixture Leader;
  FleetPeer Accuser("dc2");
  FleetPeer Neighbour("dc2");
  FleetPeer Distant("dc3");
  const std::string Address = addressOf(Leader, Distant);
  ASSERT_TRUE(eventually([&] {
    for (FleetPeer *Peer : {&Accuser, &Neighbour, &Distant})
      Peer->report(Address);
    return !Accuser.received<FleetReply>().empty() &&
           !Neighbour.received<FleetReply>().empty() &&
           !Distant.received<FleetReply>().empty();
  }));
  Accuser.send(Address, quarantined());
  ASSERT_TRUE(
      eventually([&] { return !Distant.received<SuspectNotice>().empty(); }));
  EXPECT_EQ(digestOf(Distant.received<SuspectNotice>().front()),
            digestOf(quarantined()));
  EXPECT_TRUE(Neighbour.received<SuspectNotice>().empty());

  FleetPeer Restarted("dc3");
  Restarted.report(Address);
  EXPECT_TRUE(eventually([&] { return wasTold(Restarted, quarantined()); }));
}

TEST(SuspectMessagesTest, NewLeaderLearnsSuspectsFromReports) {
  GatewayFixture Leader;
  FleetPeer Informed("dc2");
  FleetPeer Other("dc3");
  const std::string Address = addressOf(Leader, Other);
  EXPECT_TRUE(eventually([&] {
    Informed.report(Address, quarantined());
    Other.report(Address);
    return wasTold(Other, quarantined());
  }));
}

TEST(SuspectMessagesTest, MemberLearnsFromTheReplyAndTellsTheNextLeader) {
  GatewayFixture Member;
  FleetPeer First("dc2");
  FleetPeer Second("dc3");
  const std::string Address = addressOf(Member, First);
  FleetReply Reply;
  Reply.Leader = First.received<FleetReport>().back().Leader;
  Reply.StoreReachable = true;
  Reply.Suspects = quarantined();
  Reply.SuspectsDigest = digestOf(quarantined());
  First.send(Address, Reply);
  ASSERT_TRUE(eventually([&] {
    return First.received<FleetReport>().back().SuspectsDigest ==
           Reply.SuspectsDigest;
  }));
  EXPECT_TRUE(First.received<FleetReport>().back().Suspects.Suspects.empty());

  Member.store().set("buckthornring", "leader", Second.leaderObject());
  ASSERT_TRUE(
      eventually([&] { return !Second.received<FleetReport>().empty(); }));
  EXPECT_EQ(digestOf(Second.received<FleetReport>().front().Suspects),
            digestOf(quarantined()));
}

} // namespace
