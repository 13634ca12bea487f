#include "buckthornring/Attempt/Attempt.h"
#include "buckthornring/Attempt/ConnectionPolicy.h"
#include "buckthornring/Attempt/HedgePolicy.h"

#include <gtest/gtest.h>

#include <vector>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

auto advanceTo(Attempt &Current, AttemptPhase Phase) -> void {
  if (Phase >= AttemptPhase::Connecting)
    Current.targetChosen();
  if (Phase >= AttemptPhase::Writing)
    Current.writeStarted();
  if (Phase >= AttemptPhase::Written)
    Current.requestWritten();
  if (Phase >= AttemptPhase::Answering)
    Current.responseHead();
}

struct LossCase {
  AttemptPhase Phase;
  AttemptAction IfIdempotent;
  AttemptAction IfNot;
  RunStatus Run;
};

// Guards against a retry that runs a non-idempotent request twice, and against
// a wrong run status, for a connection lost in each phase.
TEST(AttemptTest, ConnectionLossOutcomeDependsOnPhase) {
  const std::vector<LossCase> Cases = {
      {AttemptPhase::Queued, AttemptAction::Retry, AttemptAction::Retry,
       RunStatus::NotRun},
      {AttemptPhase::Connecting, AttemptAction::Retry, AttemptAction::Retry,
       RunStatus::NotRun},
      {AttemptPhase::Writing, AttemptAction::Retry, AttemptAction::Refuse,
       RunStatus::Unknown},
      {AttemptPhase::Written, AttemptAction::Retry, AttemptAction::Refuse,
       RunStatus::Unknown},
      {AttemptPhase::Answering, AttemptAction::Abort, AttemptAction::Abort,
       RunStatus::Unknown},
  };
  for (const LossCase &Case : Cases)
    for (const bool Idempotent : {true, false}) {
      RunRecord Record(Idempotent);
      Attempt Current(Record);
      advanceTo(Current, Case.Phase);
      ASSERT_EQ(Current.phase(), Case.Phase);
      const AttemptOutcome Outcome = Current.connectionLost();
      EXPECT_EQ(Outcome.Action, Idempotent ? Case.IfIdempotent : Case.IfNot)
          << AttemptPhaseNames.name(Case.Phase);
      EXPECT_EQ(Outcome.Run, Case.Run) << AttemptPhaseNames.name(Case.Phase);
      EXPECT_TRUE(Outcome.CloseConnection);
      EXPECT_EQ(Current.phase(), AttemptPhase::Done);
    }
}

// Guards against a "not-run" after an earlier attempt of the same request was
// sent and only the last attempt was refused.
TEST(AttemptTest, RefusalAfterALostAttemptHasUnknownRunStatus) {
  RunRecord Record(true);
  Attempt First(Record);
  advanceTo(First, AttemptPhase::Written);
  EXPECT_EQ(First.connectionLost().Action, AttemptAction::Retry);
  Attempt Second(Record);
  advanceTo(Second, AttemptPhase::Written);
  const AttemptOutcome Outcome = Second.refusedByTarget(TargetRefusal::Shed);
  EXPECT_EQ(Outcome.Action, AttemptAction::Retry);
  EXPECT_EQ(Outcome.Run, RunStatus::Unknown);
}

// Guards against a target's refusal counting as a run.
TEST(AttemptTest, TargetRefusalAllowsRetryOfNonIdempotentRequest) {
  RunRecord Record(false);
  {
    Attempt First(Record);
    advanceTo(First, AttemptPhase::Written);
    const AttemptOutcome Outcome =
        First.refusedByTarget(TargetRefusal::StaleEpoch);
    EXPECT_EQ(Outcome.Action, AttemptAction::Retry);
    EXPECT_EQ(Outcome.Run, RunStatus::NotRun);
    EXPECT_EQ(Outcome.Retry, RetryReason::RefusedStaleEpoch);
    EXPECT_FALSE(Outcome.CloseConnection);
  }
  Attempt Second(Record);
  advanceTo(Second, AttemptPhase::Answering);
  EXPECT_EQ(Second.responseEnd().Action, AttemptAction::Finish);
}

// Guards against two responses to one caller when a hedge and the first attempt
// both get a response.
TEST(AttemptTest, OnlyOneOfTwoHedgedAttemptsRespondsToTheCaller) {
  RunRecord Record(true);
  Attempt First(Record);
  Attempt Hedge(Record);
  advanceTo(First, AttemptPhase::Written);
  advanceTo(Hedge, AttemptPhase::Written);
  EXPECT_EQ(Hedge.responseHead().Action, AttemptAction::Forward);
  const AttemptOutcome Late = First.responseHead();
  EXPECT_EQ(Late.Action, AttemptAction::Drop);
  EXPECT_TRUE(Late.CloseConnection);
  EXPECT_EQ(Hedge.responseEnd().Action, AttemptAction::Finish);
}

// Guards against a hedge whose failure refuses a request that the first
// attempt still serves.
TEST(AttemptTest, FailureWithAnotherLiveAttemptIsDropped) {
  RunRecord Record(true);
  Attempt First(Record);
  Attempt Hedge(Record);
  advanceTo(First, AttemptPhase::Written);
  advanceTo(Hedge, AttemptPhase::Writing);
  EXPECT_EQ(Hedge.connectionLost().Action, AttemptAction::Drop);
  EXPECT_EQ(First.deadlineReached().Action, AttemptAction::Refuse);
}

// Guards against a late response on a connection that is then reused.
TEST(AttemptTest, LateEventsOnlyCloseTheConnection) {
  RunRecord Record(false);
  Attempt Current(Record);
  advanceTo(Current, AttemptPhase::Written);
  const AttemptOutcome Stopped = Current.deadlineReached();
  EXPECT_EQ(Stopped.Action, AttemptAction::Refuse);
  EXPECT_EQ(Stopped.Run, RunStatus::Unknown);
  EXPECT_TRUE(Stopped.CancelAtTarget);
  const AttemptOutcome Late = Current.responseHead();
  EXPECT_EQ(Late.Action, AttemptAction::Drop);
  EXPECT_TRUE(Late.CloseConnection);
}

// Guards against the reuse of a connection on which the target has not read the
// whole request.
TEST(AttemptTest, ResponseBeforeWholeRequestClosesTheConnection) {
  RunRecord Record(true);
  Attempt Current(Record);
  advanceTo(Current, AttemptPhase::Writing);
  EXPECT_EQ(Current.responseHead().Action, AttemptAction::Forward);
  EXPECT_TRUE(Current.responseEnd().CloseConnection);
}

// Guards against a sender that reports progress out of order.
TEST(AttemptTest, ProgressInAWrongPhaseStopsTheProcess) {
  RunRecord Record(true);
  Attempt Current(Record);
  EXPECT_DEATH(Current.requestWritten(), "follows its phases");
}

// Guards against retries that amplify an overload.
TEST(RetryBudgetTest, TenPercentAndAtLeastOnePerSecond) {
  RetryBudget Budget;
  const TimePoint Start{1000s};
  for (int I = 0; I < 1000; ++I)
    Budget.recordRequest(Start);
  int Taken = 0;
  while (Budget.tryTake(Start))
    ++Taken;
  EXPECT_EQ(Taken, 100);
  EXPECT_FALSE(Budget.tryTake(Start + 9s));
  EXPECT_TRUE(Budget.tryTake(Start + 10s));
}

// Guards against hedges of requests that must not run twice.
TEST(HedgePolicyTest, NonIdempotentRequestIsNeverHedged) {
  HedgePolicy Policy;
  const TimePoint Now{1000s};
  for (int I = 0; I < 100; ++I)
    Policy.recordRequest(Now);
  RunRecord Record(false);
  Attempt Current(Record);
  EXPECT_FALSE(Policy.delay(Record, 10ms).has_value());
  EXPECT_FALSE(Policy.tryHedge(Record, Now));
}

// Guards against a non-idempotent request on a connection that may have failed
// silently, and against the reuse of an unfinished exchange.
TEST(ConnectionPolicyTest, LongIdleConnectionsCarryIdempotentRequestsOnly) {
  const ConnectionPolicy Policy;
  const TimePoint Now{1000s};
  const std::vector<ConnectionState> Idle = {{Now - 2s, false},
                                             {Now - 1ms, true}};
  EXPECT_EQ(Policy.choose(Idle, true, Now), 0U);
  EXPECT_FALSE(Policy.choose(Idle, false, Now).has_value());
}

} // namespace
