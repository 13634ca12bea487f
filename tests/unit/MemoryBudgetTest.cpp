#include "Memory/MemoryBudget.h"
#include "Memory/BlockBuffer.h"
#include "Memory/ConnectionLimits.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Limit = 8'000'000;
const TimePoint Start = TimePoint(1h);

/// A connection whose state the test sets. It gives all its memory back.
struct FakeHolder : MemoryHolder {
  explicit FakeHolder(MemoryBudget &Budget) : Budget(Budget) {
    Budget.enter(*this);
  }
  ~FakeHolder() override {
    Budget.remove(Current.Bytes);
    Budget.leave(*this);
  }
  FakeHolder(const FakeHolder &) = delete;
  auto operator=(const FakeHolder &) -> FakeHolder & = delete;

  auto hold(std::size_t Bytes, Duration Stalled, std::size_t Remaining = 0)
      -> void {
    Budget.add(Bytes);
    Current = {MemoryUse::Receiving, Bytes, Remaining, Stalled};
  }
  auto wait(std::size_t Wanted) -> bool {
    return !Budget.mayReceive(*this, Current.Bytes, Wanted);
  }
  auto memoryState(TimePoint) const -> State override { return Current; }
  auto releaseMemory() -> void override {
    ++Releases;
    Budget.remove(Current.Bytes);
    Current = State();
  }
  auto resumeReceiving() -> void override {
    ++Resumes;
    if (AsksAgain)
      WaitsAgain = wait(16'384);
  }

  MemoryBudget &Budget;
  State Current;
  int Releases = 0;
  int Resumes = 0;
  bool AsksAgain = false;
  bool WaitsAgain = false;
};

/// Lets the connections wait for as long as they may.
auto relieveAfterWait(MemoryBudget &Budget) -> void {
  Budget.relieve(Start);
  Budget.relieve(Start + MemoryBudget::WaitPeriod);
}

} // namespace

// Guards against limits where none is set.
TEST(MemoryBudgetTest, WithoutALimitEverythingFits) {
  EXPECT_EQ(MemoryBudget::limitFor(0), 0U);
  MemoryBudget Budget;
  FakeHolder Holder(Budget);
  EXPECT_FALSE(Holder.wait(1'000'000'000));
}

// Guards against a smallest instance that cannot take a request of the full
// legal size, or that exceeds 0.8 of its memory with a full budget.
TEST(MemoryBudgetTest, SmallestInstanceTakesOneRequestOfFullSize) {
  const std::size_t Smallest = MemoryBudget::limitFor(120e6);
  EXPECT_GT(Smallest - Smallest / MemoryBudget::ReserveDivisor,
            64UL * 1024 * 1024 + MemoryBudget::OrdinaryBytes);
  EXPECT_LT(Smallest + MemoryBudget::ProcessBytes, 0.8 * 120e6);
}

// Guards against shortages in which whole bodies keep ordinary requests out.
TEST(MemoryBudgetTest, OrdinaryRequestsUseTheReserve) {
  MemoryBudget Budget(Limit);
  FakeHolder Large(Budget);
  FakeHolder Small(Budget);
  Large.hold(Limit - Limit / MemoryBudget::ReserveDivisor, 0ms);
  EXPECT_TRUE(Large.wait(16'384));
  EXPECT_FALSE(Small.wait(16'384));
}

// Guards against refusals where waiting is enough.
TEST(MemoryBudgetTest, WaitingConnectionsResumeWhenMemoryBecomesFree) {
  MemoryBudget Budget(Limit);
  FakeHolder First(Budget);
  FakeHolder Second(Budget);
  First.hold(4'000'000, 10s);
  Second.hold(3'500'000, 0ms);
  EXPECT_TRUE(Second.wait(16'384));
  Budget.relieve(Start);
  EXPECT_EQ(Second.Resumes, 0);
  First.releaseMemory();
  First.Releases = 0;
  Budget.relieve(Start + MemoryBudget::WaitPeriod / 2);
  EXPECT_EQ(Second.Resumes, 1);
  EXPECT_EQ(First.Releases + Second.Releases, 0);
  EXPECT_FALSE(Budget.isShort());
}

// Guards against connections that wait for each other although there is room,
// and so hold their memory without end.
TEST(MemoryBudgetTest, ResumedConnectionsDoNotWaitForEachOther) {
  MemoryBudget Budget(Limit);
  FakeHolder First(Budget);
  FakeHolder Second(Budget);
  First.hold(1'000'000, 0ms);
  Second.hold(1'000'000, 0ms);
  First.AsksAgain = Second.AsksAgain = true;
  Budget.add(Limit);
  EXPECT_TRUE(First.wait(16'384));
  EXPECT_TRUE(Second.wait(16'384));
  Budget.remove(Limit);
  Budget.relieve(Start);
  EXPECT_FALSE(First.WaitsAgain);
  EXPECT_FALSE(Second.WaitsAgain);
  EXPECT_FALSE(Budget.isShort());
}

// Guards against the refusal of requests that make progress while others hold
// memory without any.
TEST(MemoryBudgetTest, ThoseThatHoldMostForLongestGiveBackFirst) {
  MemoryBudget Budget(Limit);
  FakeHolder Active(Budget);
  FakeHolder Stalled(Budget);
  FakeHolder LongStalled(Budget);
  Active.hold(5'000'000, 0ms, 10);
  Stalled.hold(1'000'000, 400ms);
  LongStalled.hold(1'000'000, 900ms);
  EXPECT_TRUE(Active.wait(16'384));
  relieveAfterWait(Budget);
  EXPECT_EQ(LongStalled.Releases, 1);
  EXPECT_EQ(Stalled.Releases, 0);
  EXPECT_EQ(Active.Releases, 0);
  EXPECT_EQ(Active.Resumes, 1);
}

// Guards against a process that holds many bodies and completes none.
TEST(MemoryBudgetTest, AmongActiveOnesThatWithMostLeftGivesBackFirst) {
  MemoryBudget Budget(Limit);
  FakeHolder AlmostDone(Budget);
  FakeHolder Begun(Budget);
  AlmostDone.hold(4'000'000, 0ms, 1'000);
  Begun.hold(3'000'000, 0ms, 60'000'000);
  EXPECT_TRUE(AlmostDone.wait(16'384));
  EXPECT_TRUE(Begun.wait(16'384));
  relieveAfterWait(Budget);
  EXPECT_EQ(Begun.Releases, 1);
  EXPECT_EQ(AlmostDone.Releases, 0);
  EXPECT_EQ(AlmostDone.Resumes, 1);
}

// Guards against the refusal of ordinary requests because of large ones.
TEST(MemoryBudgetTest, OrdinaryRequestsAreNotRefusedWhileTheyProgress) {
  MemoryBudget Budget(Limit);
  FakeHolder Ordinary(Budget);
  FakeHolder Idle(Budget);
  FakeHolder Running(Budget);
  Ordinary.hold(MemoryBudget::OrdinaryBytes, 0ms, 100);
  Idle.hold(100'000, 1h);
  Idle.Current.Use = MemoryUse::Idle;
  Budget.add(Limit); // Of requests that run, which are not refused.
  EXPECT_TRUE(Running.wait(16'384));
  relieveAfterWait(Budget);
  EXPECT_EQ(Ordinary.Releases, 0);
  EXPECT_EQ(Idle.Releases, 0);
  Budget.remove(Limit);
}

/// Connections of ordinary size that fill the budget and wait for each other.
class OrdinaryShortageTest : public testing::Test {
protected:
  static constexpr std::size_t Connections = 160;

  OrdinaryShortageTest() {
    for (std::size_t Count = 0; Count < Connections; ++Count) {
      Holders.push_back(std::make_unique<FakeHolder>(Budget));
      Holders.back()->hold(Limit / Connections, 0ms, 1000);
    }
    for (const auto &Each : Holders)
      EXPECT_TRUE(Each->wait(8'192));
  }
  /// Relieves the budget as often as the instance does.
  auto relieveFor(Duration Period) -> void {
    const TimePoint End = Now + Period;
    for (; Now <= End; Now += 20ms)
      Budget.relieve(Now);
  }
  auto released() const -> std::size_t {
    std::size_t Total = 0;
    for (const auto &Each : Holders)
      Total += static_cast<std::size_t>(Each->Releases);
    return Total;
  }

  MemoryBudget Budget{Limit};
  std::vector<std::unique_ptr<FakeHolder>> Holders;
  TimePoint Now = Start;
};

// Guards against connections of ordinary size that wait for each other until
// their time-outs.
TEST_F(OrdinaryShortageTest, EndsThoseWithMostLeftWhenAllWait) {
  Holders[3]->Current.Remaining = 50'000;
  relieveFor(MemoryBudget::OrdinaryWaitPeriod - 40ms);
  EXPECT_EQ(released(), 0U);
  relieveFor(200ms);
  EXPECT_EQ(Holders[3]->Releases, 1);
  EXPECT_FALSE(Budget.isShort());
  // An eighth of the budget is enough for the others.
  EXPECT_LE(released(), Connections / 8);
}

// Guards against the end of a request with progress while others have stalled.
TEST_F(OrdinaryShortageTest, EndsOnlyStalledOnesWhereThereAreAny) {
  for (std::size_t Index = 0; Index < Connections / 8; ++Index)
    Holders[Index]->Current.Stalled = 1s;
  relieveFor(3s);
  for (std::size_t Index = Connections / 8; Index < Holders.size(); ++Index)
    EXPECT_EQ(Holders[Index]->Releases, 0);
  EXPECT_GT(released(), 0U);
  EXPECT_FALSE(Budget.isShort());
}

// Guards against the end of ordinary requests that only wait for those that
// run.
TEST_F(OrdinaryShortageTest, WaitsWhileRunningRequestsFreeMemory) {
  Budget.add(1'000'000);
  for (int Count = 0; Count < 10; ++Count) {
    relieveFor(MemoryBudget::OrdinaryWaitPeriod / 2);
    Budget.remove(100'000);
  }
  EXPECT_EQ(released(), 0U);
}

// Guards against calls of a connection that has ended while it waited.
TEST(MemoryBudgetTest, EndedConnectionsAreNotResumed) {
  MemoryBudget Budget(Limit);
  {
    FakeHolder Ended(Budget);
    Ended.hold(Limit, 0ms);
    EXPECT_TRUE(Ended.wait(1));
  }
  EXPECT_FALSE(Budget.isShort());
  EXPECT_EQ(Budget.used(), 0U);
  relieveAfterWait(Budget);
}

// Guards against bytes that are lost or charged after they were freed.
TEST(BlockBufferTest, KeepsBytesInOrderAndChargesItsBlocks) {
  const auto Budget = std::make_shared<MemoryBudget>(Limit);
  BlockBuffer Body(Budget);
  std::string Text;
  for (int Count = 0; Count < 200; ++Count) {
    const std::string Part(1 + 37 * static_cast<std::size_t>(Count),
                           static_cast<char>('a' + Count % 26));
    Body.append(Part);
    Text += Part;
  }
  EXPECT_EQ(Body.size(), Text.size());
  EXPECT_EQ(Budget->used(), Body.capacity());
  EXPECT_LE(Body.capacity(), Text.size() + BlockBuffer::MaxBlockBytes);
  BlockBuffer Message(Budget);
  Message.append("head");
  Message.appendBlocks(std::move(Body));
  Text = "head" + Text;
  std::string Read;
  while (!Message.empty()) {
    const std::string_view Part = Message.parts(1).front();
    const std::size_t Count = std::min<std::size_t>(Part.size(), 1000);
    Read += Part.substr(0, Count);
    Message.consume(Count);
  }
  EXPECT_EQ(Read, Text);
  EXPECT_EQ(Budget->used(), 0U);
}

// Guards against blocks that are larger than an announced body.
TEST(BlockBufferTest, TakesNoMoreThanAnAnnouncedBody) {
  BlockBuffer Body;
  Body.expect(20'000);
  for (int Count = 0; Count < 20; ++Count)
    Body.append(std::string(1000, 'x'));
  EXPECT_EQ(Body.size(), 20'000U);
  EXPECT_EQ(Body.capacity(), 20'000U);
}

// Guards against callers that take the descriptors of targets, peers and files.
TEST(ConnectionLimitsTest, LeavesDescriptorsForTargetsAndFiles) {
  for (const std::size_t Descriptors : {256UL, 3075UL, 8192UL}) {
    const auto Limits = ConnectionLimits::of(Descriptors);
    const std::size_t Usable = Descriptors - ConnectionLimits::FileDescriptors;
    EXPECT_LE(Limits.Callers + Limits.Peers + Limits.Readiness,
              Usable * 9 / 10);
  }
  EXPECT_GT(ConnectionLimits::of(3075).Callers, 1400U);
}
