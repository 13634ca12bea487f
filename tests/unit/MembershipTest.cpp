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

  auto report(const char *Peer, const char *DataCentre, bool ReachesPlatform,
              TimePoint Now) -> void {
    Guard.recordPeerReport(InstanceId(Peer), DataCentreId(DataCentre),
                           ReachesPlatform, Now);
  }

  StalenessGuard Guard{DataCentreId("a")};
};

// Guards against a partitioned instance that still accepts a withdrawn key:
// while any other data centre has not reported, the verdict is not an outage.
TEST_F(StalenessGuardTest, StaleUntilEveryOtherDataCentreReports) {
  const TimePoint Now = Start + 6s;
  EXPECT_EQ(Guard.evaluate(5s, Start + 5s), StalenessVerdict::Current);
  EXPECT_EQ(Guard.evaluate(5s, Now), StalenessVerdict::Stale);
  report("b1", "b", false, Now);
  EXPECT_EQ(Guard.evaluate(5s, Now), StalenessVerdict::Stale);
  report("c1", "c", false, Now);
  EXPECT_EQ(Guard.evaluate(5s, Now), StalenessVerdict::Outage);
}

// Guards against the verdict staying Outage after one peer reaches the platform
// again.
TEST_F(StalenessGuardTest, OnePeerThatReachesThePlatformEndsTheOutage) {
  const TimePoint Now = Start + 6s;
  report("b1", "b", false, Now);
  report("c1", "c", false, Now);
  report("a2", "a", true, Now);
  EXPECT_EQ(Guard.evaluate(5s, Now), StalenessVerdict::Stale);
}

// Guards against expired reports that prolong the Outage verdict.
TEST_F(StalenessGuardTest, ExpiredReportsDoNotCount) {
  report("b1", "b", false, Start + 6s);
  report("c1", "c", false, Start + 6s);
  EXPECT_EQ(Guard.evaluate(5s, Start + 7001ms), StalenessVerdict::Stale);
}

// Guards against trusting keys before any configuration was confirmed.
TEST(StalenessGuardStartTest, NothingConfirmedIsStale) {
  const StalenessGuard Guard{DataCentreId("a")};
  EXPECT_EQ(Guard.evaluate(5s, Start), StalenessVerdict::Stale);
}

// Guards against suspecting every peer after a pause of the local process.
TEST(FailureDetectorTest, LocalPauseSuspectsNoPeer) {
  FailureDetector Detector;
  const InstanceId Peer("p");
  Detector.recordMessage(Peer, Start);
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

// Guards against the platform's lagging list overriding what a peer reports
// about itself.
TEST(RosterTest, PeerReportOverridesTheList) {
  Roster Peers(InstanceId("me"));
  const DataCentreId DataCentre("a");
  const InstanceEntry Peer{InstanceId("p"), "127.0.0.1:1", DataCentre,
                           InstanceState::Live};
  InstanceEntry Leaving = Peer;
  Leaving.State = InstanceState::Leaving;
  Peers.applyList({Peer}, Start);
  EXPECT_EQ(Peers.livePeers(DataCentre).size(), 1U);
  Peers.recordPeer(Leaving, Start + 1s);
  Peers.applyList({Peer}, Start + 2s);
  EXPECT_TRUE(Peers.livePeers(DataCentre).empty());
  Peers.applyList({}, Start + 3s);
  EXPECT_EQ(Peers.size(), 1U);
  Peers.applyList({}, Start + 12s);
  EXPECT_EQ(Peers.size(), 0U);
}

// Guards against new requests on a draining target, and against a target that
// serves again while one of its two drain sources remains.
TEST(DrainTrackerTest, ServesAgainAfterEveryDrainSourceEnds) {
  DrainTracker Drains;
  const TargetId Target("t");
  Drains.requestStarted(Target);
  Drains.startDrain(Target, DrainSource::Operator);
  Drains.startDrain(Target, DrainSource::TargetHealth);
  EXPECT_FALSE(Drains.takesNewWork(Target));
  EXPECT_FALSE(Drains.isDrained(Target));
  Drains.requestFinished(Target);
  EXPECT_TRUE(Drains.isDrained(Target));
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

// Guards against a receiver that is assigned more slices than it has free.
TEST(DrainTrackerTest, BatchesStayWithinTheReceiversRoom) {
  DrainTracker Drains;
  const TargetId Target("t");
  Drains.startDrain(Target, DrainSource::Configuration);
  Drains.setSlices(Target, 20);
  const auto Batches = Drains.nextBatch(
      Target, {{TargetId("a"), 3}, {TargetId("b"), 0}, {Target, 9}}, 8);
  ASSERT_EQ(Batches.size(), 1U);
  EXPECT_EQ(Batches[0].Receiver, TargetId("a"));
  EXPECT_EQ(Batches[0].Slices, 3U);
  EXPECT_TRUE(Drains.nextBatch(Target, {{TargetId("a"), 3}}, 8).empty());
  Drains.batchEnded(Target);
  EXPECT_FALSE(Drains.nextBatch(Target, {{TargetId("a"), 3}}, 8).empty());
}

} // namespace
