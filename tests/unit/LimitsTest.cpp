#include "buckthornring/Limits/AdmissionGate.h"
#include "buckthornring/Limits/AllowanceBorrower.h"
#include "buckthornring/Limits/AllowanceLender.h"
#include "buckthornring/Limits/FairQueue.h"
#include "buckthornring/Limits/ShareHolder.h"
#include "buckthornring/Limits/ShareLedger.h"
#include "buckthornring/Limits/TokenBucket.h"

#include <gtest/gtest.h>

#include <map>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

// Guards against rounding that creates or loses tokens over many small steps.
TEST(TokenBucketTest, RefillIsExactOverSmallSteps) {
  TokenBucket Bucket(7, 1'000'000, 0, Start);
  for (int Step = 1; Step <= 1'000'000; ++Step)
    Bucket.tokens(Start + Duration(Step * 3));
  EXPECT_EQ(Bucket.tokens(Start + 3s), 21);
}

// Guards against a Retry-After that is too short.
TEST(TokenBucketTest, TokenIsAvailableAfterTimeUntil) {
  TokenBucket Bucket(3 * OneUnit, OneUnit, 0, Start);
  const auto Wait = Bucket.timeUntil(OneUnit, Start);
  ASSERT_TRUE(Wait.has_value());
  EXPECT_FALSE(Bucket.tryTake(OneUnit, Start + *Wait - 1us));
  EXPECT_TRUE(Bucket.tryTake(OneUnit, Start + *Wait));
}

auto exchange(ShareHolder &Holder, ShareLedger &Ledger, TimePoint Now) -> void {
  if (const auto Grant = Ledger.handle(Holder.makeRequest(Now), Now))
    Holder.apply(*Grant, Now);
}

// Guards against a new lender that lends while grants of an earlier one may
// still be in force.
TEST(ShareLedgerTest, NewLenderLendsNothingForOneLease) {
  ShareLedger Ledger({}, {100 * OneUnit, 100 * OneUnit}, 1, Start);
  ShareHolder Holder("a/0", ShareKind::Rate, 1, Start);
  Holder.follow(1);
  Holder.setWaiting(1);
  exchange(Holder, Ledger, Start + 1ms);
  EXPECT_FALSE(Holder.tryTake(Start + 900ms));
  exchange(Holder, Ledger, Start + 1011ms);
  exchange(Holder, Ledger, Start + 1050ms);
  EXPECT_TRUE(Holder.tryTake(Start + 1050ms));
}

// Guards against an old lender that lends at the same time as its successor.
TEST(ShareLedgerTest, NoGrantAfterTheEndOfAuthority) {
  ShareLedger Ledger({}, {100 * OneUnit, 100 * OneUnit}, 1, Start);
  ShareHolder Holder("a/0", ShareKind::Rate, 1, Start);
  Holder.follow(1);
  Ledger.setAuthorityEnd(Start + 2s);
  EXPECT_TRUE(Ledger.handle(Holder.makeRequest(Start), Start + 1999ms));
  EXPECT_FALSE(Ledger.handle(Holder.makeRequest(Start), Start + 2s));
}

// Guards against a grant of an old lender that arrives after the holder has
// switched to the successor.
TEST(ShareHolderTest, GrantsOfLowerTermsAreRefused) {
  ShareLedger Old({}, {100 * OneUnit, 100 * OneUnit}, 1, Start);
  ShareHolder Holder("a/0", ShareKind::Rate, 1, Start);
  Holder.follow(1);
  Holder.setWaiting(5);
  const TimePoint Now = Start + 2s;
  const auto Late = Old.handle(Holder.makeRequest(Now), Now);
  ASSERT_TRUE(Late.has_value());
  Holder.follow(2);
  EXPECT_FALSE(Holder.apply(*Late, Now));
  EXPECT_FALSE(Holder.tryTake(Now));
}

// Guards against waiting requests that must wait for the refill of the share:
// the grant that answers a report of 20 waiting requests brings at least 20
// tokens.
TEST(ShareLedgerTest, GrantCoversWaitingRequests) {
  ShareLedger Ledger({}, {100 * OneUnit, 100 * OneUnit}, 1, Start);
  ShareHolder Holder("a/0", ShareKind::Rate, 1, Start);
  Holder.follow(1);
  const TimePoint Later = Start + 3s;
  exchange(Holder, Ledger, Start + 2s);
  Holder.setWaiting(20);
  exchange(Holder, Ledger, Later);
  int Taken = 0;
  while (Holder.tryTake(Later))
    ++Taken;
  EXPECT_GE(Taken, 20);
}

// Guards against a holder that uses its share after the lease.
TEST(ShareHolderTest, ShareEndsWithTheLease) {
  ShareLedger Ledger({}, {100 * OneUnit, 100 * OneUnit}, 1, Start);
  ShareHolder Holder("a/0", ShareKind::Rate, 1, Start);
  Holder.follow(1);
  Holder.setWaiting(5);
  exchange(Holder, Ledger, Start + 2s);
  exchange(Holder, Ledger, Start + 2100ms);
  EXPECT_TRUE(Holder.tryTake(Start + 3099ms));
  EXPECT_FALSE(Holder.tryTake(Start + 3100ms));
}

// Guards against slots that are lost permanently when holders stop using them,
// and against holders that never get one: if there are more holders than slots,
// they take turns.
TEST(ShareLedgerTest, MoreHoldersThanSlotsTakeTurns) {
  ShareLedger::Options Settings;
  Settings.Kind = ShareKind::Units;
  ShareLedger Ledger(Settings, {0, 4 * OneUnit}, 1, Start);
  std::map<int, ShareHolder> Holders;
  std::map<int, int> Served;
  for (int I = 0; I < 11; ++I) {
    const auto Made = Holders.emplace(
        I, ShareHolder("h" + std::to_string(I), ShareKind::Units, 1, Start));
    Made.first->second.follow(1);
    Made.first->second.setWaiting(2);
  }
  for (TimePoint Now = Start + 2s; Now < Start + 12s; Now += 10ms) {
    std::uint32_t InUse = 0;
    for (auto &[Index, Holder] : Holders) {
      while (Holder.inUse() > 0)
        Holder.release();
      exchange(Holder, Ledger, Now);
      if (Holder.tryAcquire(Now))
        ++Served[Index];
    }
    for (auto &[Index, Holder] : Holders)
      InUse += Holder.inUse();
    ASSERT_LE(InUse, 4U);
  }
  for (int I = 0; I < 11; ++I)
    EXPECT_GT(Served[I], 100) << I;
}

// Guards against a request that is refused although the next grant brings a
// token, against a queue longer than its limit, and against a request that
// waits longer than MaxWait.
TEST(AdmissionGateTest, QueuesForTokensAndRefusesAfterMaxWait) {
  ShareLedger Ledger({}, {100 * OneUnit, 10 * OneUnit}, 1, Start);
  AdmissionGate Gate({2, 200ms}, ShareHolder("a/0", ShareKind::Rate, 1, Start));
  Gate.share().follow(1);
  const TimePoint Now = Start + 2s;
  exchange(Gate.share(), Ledger, Start + 1500ms);
  const TimePoint Deadline = Now + 5s;
  EXPECT_EQ(Gate.offer(1, Deadline, Now), AdmissionGate::Answer::Wait);
  EXPECT_EQ(Gate.offer(2, Deadline, Now), AdmissionGate::Answer::Wait);
  EXPECT_EQ(Gate.offer(3, Deadline, Now), AdmissionGate::Answer::Refuse);
  exchange(Gate.share(), Ledger, Now);
  EXPECT_EQ(Gate.advance(Now).Admitted.size(), 2U);
  ShareHolder Empty("b/0", ShareKind::Rate, 1, Start);
  AdmissionGate GateWithoutGrants({2, 200ms}, Empty);
  EXPECT_EQ(GateWithoutGrants.offer(4, Deadline, Now),
            AdmissionGate::Answer::Wait);
  EXPECT_EQ(GateWithoutGrants.nextChange(Now), Now + 200ms);
  EXPECT_EQ(GateWithoutGrants.advance(Now + 200ms).Refused.size(), 1U);
}

// Guards against a request that uses a share of the target's earlier
// incarnation, and against a thread that gets no share after a restart.
TEST(AllowanceTest, ShareIsValidForOneTargetStart) {
  // At Start, the initial wait of a new lender is over.
  AllowanceLender Lender({}, 1, Start - 60s);
  AllowanceBorrower Borrower("a/0", 1);
  Borrower.follow(1);
  const auto Exchange = [&](TimePoint Now) {
    Borrower.share()->setWaiting(4);
    const auto Request = Borrower.share()->makeRequest(Now);
    const auto Grant = Lender.handle(Borrower.startId(), Request, Now);
    return Grant && Borrower.share()->apply(*Grant, Now);
  };
  // The share has 4 units.
  Lender.ramp().onHealthReport("one", 60s, Start);
  Borrower.onConnected("one", Start);
  EXPECT_TRUE(Exchange(Start));
  for (int I = 0; I < 4; ++I)
    EXPECT_TRUE(Borrower.tryAcquire(Start).has_value());
  EXPECT_FALSE(Borrower.tryAcquire(Start).has_value());
  Borrower.onConnectionLost();
  Borrower.release(1);
  EXPECT_FALSE(Borrower.tryAcquire(Start).has_value());
  Borrower.onConnected("two", Start + 10ms);
  EXPECT_FALSE(Exchange(Start + 10ms));
  EXPECT_TRUE(Lender.takePollNeeded());
  // After the restart, the share has only 1 unit.
  Lender.ramp().onHealthReport("two", 10ms, Start + 20ms);
  EXPECT_TRUE(Exchange(Start + 20ms));
  const auto Unit = Borrower.tryAcquire(Start + 20ms);
  EXPECT_TRUE(Unit.has_value());
  EXPECT_FALSE(Borrower.tryAcquire(Start + 20ms).has_value());
  Borrower.release(1);
  EXPECT_FALSE(Borrower.tryAcquire(Start + 20ms).has_value());
  Borrower.release(*Unit);
  EXPECT_TRUE(Borrower.tryAcquire(Start + 20ms).has_value());
}

// Guards against workspaces that are not served in proportion to their weights
// (3 to 1).
TEST(FairQueueTest, ServedRequestsFollowWeights) {
  FairQueue Queue;
  const WorkspaceId Heavy("heavy");
  const WorkspaceId Light("light");
  Queue.configure(Heavy, {3, 1000});
  Queue.configure(Light, {1, 1000});
  for (FairQueue::Ticket I = 0; I < 1000; ++I) {
    Queue.push(Heavy, I);
    Queue.push(Light, 1000 + I);
  }
  // Tickets below 1000 belong to Heavy.
  int HeavyCount = 0;
  for (int I = 0; I < 400; ++I)
    if (*Queue.pop() < 1000)
      ++HeavyCount;
  EXPECT_EQ(HeavyCount, 300);
}

// Guards against a queue that grows without bound, and against a withdrawn
// request that is still served.
TEST(FairQueueTest, LimitsLengthAndRemovesWithdrawnRequests) {
  FairQueue Queue;
  const WorkspaceId Own("own");
  Queue.configure(Own, {1, 2});
  EXPECT_TRUE(Queue.push(Own, 1));
  EXPECT_TRUE(Queue.push(Own, 2));
  EXPECT_FALSE(Queue.push(Own, 3));
  EXPECT_TRUE(Queue.remove(Own, 1));
  EXPECT_FALSE(Queue.remove(Own, 1));
  EXPECT_EQ(Queue.pop(), 2U);
  EXPECT_FALSE(Queue.pop().has_value());
}

} // namespace
