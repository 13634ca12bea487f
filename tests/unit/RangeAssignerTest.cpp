#include "Fleet/RangeAssigner.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t Keys = 1024;
constexpr TimePoint Start{std::chrono::seconds(1000)};

auto viewOf(const std::vector<PlanTarget> &Targets) -> RangeAssigner::View {
  RangeAssigner::View View;
  View.Targets = Targets;
  for (const PlanTarget &Each : Targets)
    View.Incarnations[Each.Id] = Each.StartedAt;
  return View;
}

auto target(const char *Id, std::int64_t StartedAt) -> PlanTarget {
  return {TargetId(Id), StartedAt, 4, true};
}

/// A record in which \p Owner owns all keys.
auto recordOf(const char *Owner, std::int64_t StartedAt) -> RangeRecord {
  RangeRecord Record;
  KeyRange All;
  All.To = Keys - 1;
  All.Owner = TargetId(Owner);
  All.OwnerStartedAt = StartedAt;
  All.Fence = 5;
  Record.Ranges = {All};
  Record.NextFence = 6;
  return Record;
}

/// A leader of long standing whose orders are answered at once.
class LeaderDouble {
public:
  explicit LeaderDouble(RangeRecord Record) : Assigner(Keys, RangeTimes()) {
    Assigner.takeOver(std::move(Record), 7, Start);
    Assigner.writeDone(8, Start);
  }

  auto plan(const RangeAssigner::View &View, TimePoint Now) -> void {
    Assigner.plan(View, KeyLoad(), Now);
    if (Assigner.pendingWrite())
      Assigner.writeDone(Assigner.revision() + 1, Now);
  }
  /// Returns whether a grant to the target was due; it is accepted.
  auto grant(const char *Id, TimePoint Now) -> bool {
    const auto Order = Assigner.nextGrant(TargetId(Id), Now, Now);
    if (Order)
      Assigner.onOrderEnded(*Order, RangeOrderOutcome::Accepted, "", Now);
    return Order.has_value();
  }

  RangeAssigner Assigner;
};

// Guards against two holders after a leader has taken over with target records
// that are older than the ranges: the earlier incarnation in them was taken for
// a restart of the previous owner, and its keys were granted to another target.
TEST(RangeAssignerTest, OlderRecordOfThePreviousOwnerIsNoRestart) {
  LeaderDouble Leader(recordOf("a", 20));
  const auto Stale = viewOf({target("a", 10), target("b", 1)});
  const TimePoint EarlierLeaderEnd =
      Start + RangeTimes().maxAuthorityPeriod() + RangeTimes().maxHoldPeriod();
  for (TimePoint Now = Start; Now <= EarlierLeaderEnd;
       Now += milliseconds(250)) {
    Leader.plan(Stale, Now);
    EXPECT_FALSE(Leader.grant("b", Now)) << (Now - Start).count();
  }
}

// Guards against two holders when an earlier leader's clock is slow and this
// one's is fast: the wait was shorter than the authority of the other one.
TEST(RangeAssignerTest, TakeoverWaitsForTheAuthorityByAnotherClock) {
  LeaderDouble Leader(recordOf("a", 10));
  const auto View = viewOf({target("b", 1)});
  const RangeTimes Times;
  const TimePoint EarlierLeaderEnd =
      Start +
      std::chrono::duration_cast<Duration>(Times.AuthorityPeriod *
                                           (1 + 2 * Times.ClockRateError)) +
      Times.maxHoldPeriod();
  for (TimePoint Now = Start; Now <= EarlierLeaderEnd;
       Now += milliseconds(50)) {
    Leader.plan(View, Now);
    ASSERT_FALSE(Leader.grant("b", Now)) << (Now - Start).count();
  }
  EXPECT_TRUE(Leader.grant("b", EarlierLeaderEnd + milliseconds(1)));
}

// Guards against two holders after a target has restarted under its id while
// it was cut off from the directory: it had accepted renewals meant for its
// earlier incarnation, and its restart was taken for their end.
TEST(RangeAssignerTest, RestartedTargetMayHoldKeysOfItsEarlierIncarnation) {
  LeaderDouble Leader(recordOf("a", 10));
  const auto Renewed = Start + std::chrono::seconds(20);
  ASSERT_TRUE(Leader.grant("a", Start));
  Leader.plan(viewOf({target("a", 10), target("b", 1)}), Renewed);
  ASSERT_TRUE(Leader.grant("a", Renewed));
  // The record is removed, then shows the restart.
  Leader.plan(viewOf({target("b", 1)}), Renewed + milliseconds(100));
  for (TimePoint Now = Renewed + milliseconds(200);
       Now < Renewed + RangeTimes().maxHoldPeriod(); Now += milliseconds(100)) {
    Leader.plan(viewOf({target("a", 30), target("b", 1)}), Now);
    EXPECT_FALSE(Leader.grant("b", Now)) << (Now - Renewed).count();
  }
}

// Guards against keys without an owner while the record of an ended target is
// still listed: its address already belongs to another target.
TEST(RangeAssignerTest, KeysOfATargetWhoseAddressIsTakenMoveAtOnce) {
  LeaderDouble Leader(recordOf("t1", 1));
  ASSERT_TRUE(Leader.grant("t1", Start));
  const TimePoint Renewal = Start + milliseconds(1000);
  const auto Order =
      Leader.Assigner.nextGrant(TargetId("t1"), Renewal, Renewal);
  ASSERT_TRUE(Order);
  Leader.Assigner.onOrderEnded(*Order, RangeOrderOutcome::Misdirected, "",
                               Renewal);
  Leader.plan(viewOf({target("t1", 1), target("t2", 1)}), Renewal);
  EXPECT_EQ(Leader.Assigner.record().Ranges.front().Owner.str(), "t2");
  const TimePoint HoldEnd = Start + RangeTimes().maxHoldPeriod();
  EXPECT_FALSE(Leader.grant("t2", HoldEnd));
  EXPECT_TRUE(Leader.grant("t2", HoldEnd + milliseconds(1)));
}

// Guards against two holders after a join, and against keys that nobody gets:
// the grant of one of the joined ranges was in flight, and its end was not
// counted for the joined one.
TEST(RangeAssignerTest, GrantInFlightDuringAJoinCounts) {
  RangeRecord Record = recordOf("a", 10);
  Record.Ranges.push_back(Record.Ranges.front());
  Record.Ranges[0].To = 99;
  Record.Ranges[1].From = 100;
  Record.Ranges[1].Fence = 6;
  Record.NextFence = 7;
  RangeAssigner Assigner(Keys, RangeTimes());
  Assigner.takeOver(Record, 0, Start);
  const auto First = Assigner.nextGrant(TargetId("a"), Start, Start);
  ASSERT_TRUE(First);
  TimePoint Now = Start + std::chrono::seconds(14);
  Assigner.plan(viewOf({target("a", 10)}), KeyLoad(), Now);
  ASSERT_TRUE(Assigner.pendingWrite());
  Assigner.writeDone(1, Now);
  const KeyRange Joined = *Assigner.record().find(0);
  EXPECT_GE(Joined.To, 100U);
  EXPECT_GT(Joined.Fence, 6U);
  Assigner.onOrderEnded(*First, RangeOrderOutcome::Unanswered, "", Now);
  const TimePoint End = Now + RangeTimes().maxHoldPeriod();
  Now += milliseconds(400);
  const auto Second = Assigner.nextGrant(TargetId("a"), Now, Now);
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second->To, Keys - 1);
  Assigner.onOrderEnded(*Second, RangeOrderOutcome::NotSent, "", Now);
  // The owner is lost; the keys move when the first grant has ended.
  bool Granted = false;
  for (; Now <= End + milliseconds(500); Now += milliseconds(100)) {
    Assigner.plan(viewOf({target("b", 1)}), KeyLoad(), Now);
    if (Assigner.pendingWrite())
      Assigner.writeDone(Assigner.revision() + 1, Now);
    Granted = Assigner.nextGrant(TargetId("b"), Now, Now) || Granted;
    EXPECT_TRUE(!Granted || Now > End) << (End - Now).count();
  }
  EXPECT_TRUE(Granted);
}

// Guards against keys without an owner for good: the clock of the only target
// went back between two lives, so its record is older than the ranges for ever.
TEST(RangeAssignerTest, OlderRecordOfTheOnlyTargetGetsItsKeysInTheEnd) {
  LeaderDouble Leader(recordOf("a", 20));
  const auto View = viewOf({target("a", 10)});
  const TimePoint EarlierLeaderEnd =
      Start + RangeTimes().maxAuthorityPeriod() + RangeTimes().maxHoldPeriod();
  TimePoint Now = Start;
  for (; Now <= EarlierLeaderEnd; Now += milliseconds(250)) {
    Leader.plan(View, Now);
    EXPECT_FALSE(Leader.grant("a", Now)) << (Now - Start).count();
  }
  Leader.plan(View, Now);
  Now += milliseconds(250);
  Leader.plan(View, Now);
  EXPECT_TRUE(Leader.grant("a", Now));
}

} // namespace
