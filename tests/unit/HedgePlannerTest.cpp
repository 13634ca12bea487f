#include "Hedge/HedgePlanner.h"

#include <gtest/gtest.h>

namespace buckthornring {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId Service("pay");
constexpr Duration Usual = milliseconds(100);

/// A planner after 1,000 requests in one second, and a target with room.
struct HedgePlannerTest : testing::Test {
  explicit HedgePlannerTest(HedgeLimits Limits = {}) : Planner(Limits) {
    for (int Count = 0; Count < 1000; ++Count) {
      Now += milliseconds(1);
      Retries.requestSeen(Now);
      Planner.requestSeen(Service);
      Planner.attemptEnded(Request, Count % 100 < 97 ? Usual : 5 * Usual, Now);
    }
    Request.Deadline = Now + seconds(3600);
  }

  auto decide() -> HedgeVerdict {
    return Planner.decide(Request, Other, Retries, Now);
  }

  HedgePlanner Planner;
  RetryAllowance Retries{RetryLimit(), LongAgo};
  HedgeRequest Request{"h/safe/", Service, true, true, false, LongAgo};
  HedgeTarget Other{true, 0, 2, Usual, false};
  TimePoint Now{seconds(1000)};
};

struct SwitchedOffHedgeTest : HedgePlannerTest {
  SwitchedOffHedgeTest() : HedgePlannerTest({.ExtraRequests = 0}) {}
};
struct NoExtraTimeHedgeTest : HedgePlannerTest {
  NoExtraTimeHedgeTest() : HedgePlannerTest({.ExtraTime = 0}) {}
};

TEST_F(HedgePlannerTest, DelayIsTheQuantileThatLeavesTheAllowedShare) {
  const auto Delay = Planner.delay(Request, Now);
  ASSERT_TRUE(Delay);
  EXPECT_GT(*Delay, 4 * Usual);
  EXPECT_LT(*Delay, 6 * Usual);
}

TEST_F(SwitchedOffHedgeTest, ZeroExtraRequestsSwitchOff) {
  EXPECT_FALSE(Planner.delay(Request, Now));
  EXPECT_EQ(decide(), HedgeVerdict::SwitchedOff);
}

TEST_F(NoExtraTimeHedgeTest, ZeroExtraTimeSwitchesOff) {
  EXPECT_FALSE(Planner.delay(Request, Now));
  EXPECT_EQ(decide(), HedgeVerdict::SwitchedOff);
}

// Guards against hedges by times that no longer say anything of the targets.
TEST_F(HedgePlannerTest, NoHedgeWithoutRecentSamples) {
  Request.Route = "h/other/";
  EXPECT_FALSE(Planner.delay(Request, Now));
  EXPECT_EQ(decide(), HedgeVerdict::NoSamples);
  Request.Route = "h/safe/";
  Now += seconds(10);
  EXPECT_FALSE(Planner.delay(Request, Now));
  EXPECT_EQ(decide(), HedgeVerdict::NoSamples);
  EXPECT_EQ(Planner.counts().of(HedgeVerdict::NoSamples), 4U);
  Planner.attemptEnded(Request, Usual, Now);
  EXPECT_FALSE(Planner.delay(Request, Now)) << "one sample";
}

// Guards against hedges that make an overloaded service slower.
TEST_F(HedgePlannerTest, NoHedgeWithoutRoom) {
  Other.Queue = 1.6;
  EXPECT_EQ(decide(), HedgeVerdict::NoRoom);
  Other.Queue = 0;
  Other.RequestsWaiting = true;
  EXPECT_EQ(decide(), HedgeVerdict::NoRoom);
  Other = {};
  EXPECT_EQ(decide(), HedgeVerdict::NoTarget);
}

TEST_F(HedgePlannerTest, OnlyRequestsThatMayRunTwiceAreHedged) {
  HedgeRequest Valid = Request;
  Request.Repeatable = false;
  EXPECT_FALSE(Planner.delay(Request, Now));
  EXPECT_EQ(decide(), HedgeVerdict::NotRepeatable);
  Request = Valid;
  Request.AttemptsLeft = false;
  EXPECT_EQ(decide(), HedgeVerdict::AttemptsSpent);
  Request = Valid;
  Request.Suspected = true;
  EXPECT_EQ(decide(), HedgeVerdict::Suspected);
  Request = Valid;
  Request.Deadline = Now + Usual / 2;
  EXPECT_EQ(decide(), HedgeVerdict::TooLate);
  Request = Valid;
  EXPECT_EQ(decide(), HedgeVerdict::Sent);
}

// Guards against more extra work than the operator allows, at any mix of
// refused and sent hedges.
TEST_F(HedgePlannerTest, HedgesStayWithinTheShareOfRequests) {
  int Requests = 1000;
  int Sent = 0;
  for (; Requests < 21'000; ++Requests) {
    Now += milliseconds(1);
    Retries.requestSeen(Now);
    Planner.requestSeen(Service);
    Planner.attemptEnded(Request, Usual, Now);
    if (decide() == HedgeVerdict::Sent) {
      ++Sent;
      Planner.hedgeEnded(Service, Usual, Usual / 10, Sent % 2 == 0);
    }
  }
  EXPECT_LE(Sent, Requests / 50);
  EXPECT_GE(Sent, 390);
  EXPECT_GT(Planner.counts().of(HedgeVerdict::RequestLimit), 0U);
  EXPECT_EQ(Planner.counts().of(HedgeVerdict::Sent), Sent);
  EXPECT_EQ(Planner.counts().Won + Planner.counts().Lost, Sent);
}

// Guards against hedges that run for longer than expected and so use more time
// of the targets than the operator allows.
TEST_F(HedgePlannerTest, HedgesStayWithinTheShareOfTime) {
  for (int Count = 0; Count < 20'000; ++Count) {
    Now += milliseconds(1);
    Retries.requestSeen(Now);
    Planner.requestSeen(Service);
    Planner.attemptEnded(Request, Usual, Now);
    if (decide() == HedgeVerdict::Sent)
      Planner.hedgeEnded(Service, Usual, 4 * Usual, false);
  }
  const HedgePlanner::Counts &Counts = Planner.counts();
  EXPECT_LE(Counts.ExtraTime, Counts.TargetTime / 50 + 4 * Usual);
  EXPECT_GE(Counts.ExtraTime, Counts.TargetTime / 70);
  EXPECT_GT(Counts.of(HedgeVerdict::TimeLimit), 0U);
}

// Guards against hedges that together with retries exceed the limit that holds
// over the fleet: each instance uses as much of both as it may.
TEST_F(HedgePlannerTest,
       HedgesAndRetriesOfAllInstancesStayWithinTheRetryLimit) {
  constexpr std::uint32_t Instances = 65;
  constexpr int Requests = 20 * 10; // Of each instance in the window.
  Planner.setLimits({.ExtraRequests = 1, .ExtraTime = 1});
  int Extra = 0;
  for (std::uint32_t Each = 0; Each < Instances; ++Each) {
    RetryAllowance Own(RetryLimit{.Slack = 170}, LongAgo);
    TimePoint Time = Now;
    for (int Count = 0; Count < Requests; ++Count, Time += milliseconds(50)) {
      Own.requestSeen(Time);
      Planner.requestSeen(Service);
      Planner.attemptEnded(Request, Usual, Time);
      if (Planner.decide(Request, Other, Own, Time) == HedgeVerdict::Sent) {
        ++Extra;
        Planner.hedgeEnded(Service, Usual, Usual, false);
      }
      Extra += Own.tryTake(Instances, Time) ? 1 : 0;
    }
  }
  EXPECT_LE(Extra, 0.2 * Requests * Instances + 170);
  EXPECT_GT(Extra, 0.1 * Requests * Instances);
}

// Guards against hedges that use what retries after failures need.
TEST_F(HedgePlannerTest, HedgesStayWithinTheRetryLimit) {
  RetryAllowance Spent(RetryLimit(), LongAgo);
  EXPECT_EQ(Planner.decide(Request, Other, Spent, Now),
            HedgeVerdict::RetryLimit);
  EXPECT_EQ(decide(), HedgeVerdict::Sent) << "the refused one took nothing";
}

} // namespace
} // namespace buckthornring
