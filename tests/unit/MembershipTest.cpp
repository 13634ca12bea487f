#include "buckthornring/Membership/DrainTracker.h"
#include "buckthornring/Membership/FailureDetector.h"
#include "buckthornring/Membership/Roster.h"
#include "buckthornring/Membership/StalenessGuard.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

class StalenessGuardTest : public testing::Test {
protected:
  auto SetUp() -> void override {
    Guard.setDataCentres(
        {DataCentreId("a"), DataCentreId("b"), DataCentreId("c")});
    Guard.recordConfirmation(Start);
  }

  auto report(const char *Peer, const char *DataCentre, bool Reaches,
              TimePoint Now) -> void {
    Guard.recordPeerReport(InstanceId(Peer), DataCentreId(DataCentre), Reaches,
                           Now);
  }

  StalenessGuard Guard{DataCentreId("a")};
};

// Guards against a withdrawn key that works on in a partitioned instance.
TEST_F(StalenessGuardTest, SilentDataCentreMeansPossiblyPartitioned) {
  const TimePoint Now = Start + 6s;
  EXPECT_EQ(Guard.evaluate(5s, Start + 5s), StalenessVerdict::Current);
  EXPECT_EQ(Guard.evaluate(5s, Now), StalenessVerdict::Stale);
  report("b1", "b", false, Now);
  EXPECT_EQ(Guard.evaluate(5s, Now), StalenessVerdict::Stale);
  report("c1", "c", false, Now);
  EXPECT_EQ(Guard.evaluate(5s, Now), StalenessVerdict::Outage);
}

// Guards against service during an outage that is over for one peer.
TEST_F(StalenessGuardTest, OnePeerThatReachesThePlatformEndsTheOutage) {
  const TimePoint Now = Start + 6s;
  report("b1", "b", false, Now);
  report("c1", "c", false, Now);
  report("a2", "a", true, Now);
  EXPECT_EQ(Guard.evaluate(5s, Now), StalenessVerdict::Stale);
}

// Guards against old reports that keep an ended outage alive.
TEST_F(StalenessGuardTest, OldReportsDoNotCount) {
  report("b1", "b", false, Start + 6s);
  report("c1", "c", false, Start + 6s);
  EXPECT_EQ(Guard.evaluate(5s, Start + 7001ms), StalenessVerdict::Stale);
}

// Guards against keys that are trusted before any configuration was read.
TEST(StalenessGuardStartTest, NothingConfirmedIsStale) {
  const StalenessGuard Guard{DataCentreId("a")};
  EXPECT_EQ(Guard.evaluate(5s, Start), StalenessVerdict::Stale);
}

// Guards against every peer being suspected after a pause of the own process.
TEST(FailureDetectorTest, OwnPauseSuspectsNobody) {
  FailureDetector Detector;
  const InstanceId Peer("p");
  Detector.heard(Peer, Start);
  Detector.tick(Start);
  EXPECT_TRUE(Detector.tick(Start + 10s).empty());
  EXPECT_TRUE(Detector.alive(Peer, Start + 10s));
  std::vector<InstanceId> Suspects;
  for (TimePoint Now = Start + 10s; Now <= Start + 11s; Now += 200ms)
    for (const InstanceId &Suspect : Detector.tick(Now))
      Suspects.push_back(Suspect);
  EXPECT_EQ(Suspects, std::vector{Peer});
  EXPECT_FALSE(Detector.alive(Peer, Start + 11s));
}

// Guards against the lagging list overriding what a peer says about itself.
TEST(RosterTest, PeersKnowMoreThanTheList) {
  Roster List(InstanceId("me"));
  const DataCentreId Here("a");
  const InstanceEntry Peer{InstanceId("p"), "127.0.0.1:1", Here,
                           InstanceState::Live};
  InstanceEntry Leaving = Peer;
  Leaving.State = InstanceState::Leaving;
  List.applyList({Peer}, Start);
  EXPECT_EQ(List.livePeers(Here).size(), 1U);
  List.heard(Leaving, Start + 1s);
  List.applyList({Peer}, Start + 2s);
  EXPECT_TRUE(List.livePeers(Here).empty());
  List.applyList({}, Start + 3s);
  EXPECT_EQ(List.size(), 1U);
  List.applyList({}, Start + 12s);
  EXPECT_EQ(List.size(), 0U);
}

// Guards against new work on a leaving target and against a return while one
// of two reasons to leave remains.
TEST(DrainTrackerTest, ServesAgainWhenNobodyDrainsIt) {
  DrainTracker Drains;
  const TargetId Target("t");
  Drains.requestStarted(Target);
  Drains.startDrain(Target, DrainSource::Operator);
  Drains.startDrain(Target, DrainSource::TargetHealth);
  EXPECT_FALSE(Drains.takesNewWork(Target));
  EXPECT_FALSE(Drains.drained(Target));
  Drains.requestFinished(Target);
  EXPECT_TRUE(Drains.drained(Target));
  EXPECT_FALSE(Drains.endDrain(Target, DrainSource::Operator));
  EXPECT_TRUE(Drains.endDrain(Target, DrainSource::TargetHealth));
  EXPECT_FALSE(Drains.endDrain(Target, DrainSource::TargetHealth));
  EXPECT_DEATH(
      {
        Drains.startDrain(Target, DrainSource::Operator);
        Drains.requestStarted(Target);
      },
      "no new work");
}

// Guards against a receiver that gets more slices than it has room for.
TEST(DrainTrackerTest, BatchesStayWithinTheReceiversRoom) {
  DrainTracker Drains;
  const TargetId Target("t");
  Drains.startDrain(Target, DrainSource::Configuration);
  Drains.setSlices(Target, 20);
  const auto Moves = Drains.nextBatch(
      Target, {{TargetId("a"), 3}, {TargetId("b"), 0}, {Target, 9}}, 8);
  ASSERT_EQ(Moves.size(), 1U);
  EXPECT_EQ(Moves[0].Receiver, TargetId("a"));
  EXPECT_EQ(Moves[0].Slices, 3U);
  EXPECT_TRUE(Drains.nextBatch(Target, {{TargetId("a"), 3}}, 8).empty());
  Drains.batchEnded(Target);
  EXPECT_FALSE(Drains.nextBatch(Target, {{TargetId("a"), 3}}, 8).empty());
}

} // namespace
