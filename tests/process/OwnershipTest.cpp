#include "Fleet.h"
#include "Traffic.h"

#include "buckthornring/Common/Random.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

struct OwnershipTest : testing::Test {
  auto start(FleetOptions Options = {}) -> void {
    TestFleet.emplace(std::move(Options));
    ASSERT_TRUE(TestFleet->waitUntilServing());
  }

  /// Returns requests with unique paths to 40 keys of a service, through all
  /// instances.
  auto traffic(const std::string &Service, const std::string &Method)
      -> Traffic::RequestFactory {
    std::vector<std::string> Addresses;
    for (const auto &Instance : TestFleet->Instances)
      Addresses.push_back(Instance.CallerAddress);
    return [=](std::size_t Number) {
      HttpRequest Request{
          Method,
          '/' + Service + "/key-" + std::to_string(Number % 40) +
              "?n=" + std::to_string(Number),
          {{"X-Caller-Key", "key-one"}, {"Btr-Deadline-Ms", "500"}},
          {}};
      return std::pair(Addresses[Number % Addresses.size()], Request);
    };
  }

  auto leader() -> std::size_t {
    const auto Status =
        Control.fetchJson(TestFleet->Instances[0].AdminAddress, "/status");
    const auto Name = Status.value("leader", "");
    for (std::size_t Index = 0; Index < TestFleet->Instances.size(); ++Index)
      if (Name.starts_with(TestFleet->Instances[Index].Name + '#'))
        return Index;
    ADD_FAILURE() << "no instance is the leader: " << Status.dump();
    return 0;
  }

  /// Expects what must hold for each request under any fault: at most one run,
  /// exactly one and the matching body for status 200, and none when reported
  /// as not run.
  auto expectRequestInvariants(const std::vector<RequestRecord> &Log) -> void {
    SCOPED_TRACE(summary(Log));
    TestFleet->expectRunInvariants();
    std::map<std::string, int> Counts;
    for (const auto &Run : TestFleet->runs())
      ++Counts[Run.Path];
    for (const auto &Entry : Log) {
      const auto &Outcome = Entry.Outcome;
      EXPECT_LE(Counts[Entry.Path], 1) << Entry.Path;
      if (Outcome.Response.Status == 200) {
        EXPECT_EQ(Counts[Entry.Path], 1) << Entry.Path;
        EXPECT_NE(Outcome.Response.Body.find('"' + Entry.Path + '"'),
                  std::string::npos)
            << "response to another request: " << Outcome.Response.Body;
      }
      if (Outcome.done() && headerOf(Outcome, "Btr-Run") == "not-run") {
        EXPECT_EQ(Counts[Entry.Path], 0) << Entry.Path;
      }
    }
  }

  std::optional<Fleet> TestFleet;
  Caller Control;
};

// Guards against keys of an unverified target that stay unserved, or are served
// by two targets, after the target is killed.
TEST_F(OwnershipTest, UnverifiedOwnerIsReplacedWithinTwoSeconds) {
  FleetOptions Options;
  Options.Services = {"stock"};
  start(Options);
  Traffic Load(6, traffic("stock", "POST"));
  const auto Owner = TestFleet->servedBy(0, "/stock/key-1");
  ASSERT_FALSE(Owner.empty());
  TestFleet->Targets.at(Owner).Process.kill();
  const auto Killed = Clock::now();
  EXPECT_TRUE(waitUntil(
      [&] { return !TestFleet->servedBy(1, "/stock/key-1").empty(); }));
  EXPECT_LE(Clock::now() - Killed, 2s);
  expectRequestInvariants(Load.stop());
}

// Guards against two leaders that move the same slices: a paused leader resumes
// after another instance has replaced it.
TEST_F(OwnershipTest, PausedLeaderMovesNothingAfterItIsReplaced) {
  start();
  Traffic Load(6, traffic("content", "POST"));
  const auto PausedLeader = leader();
  auto &Process = TestFleet->Instances[PausedLeader].Process;
  Process.signal(SIGSTOP);
  const auto OtherInstance = (PausedLeader + 1) % TestFleet->Instances.size();
  const auto HasNewLeader = [&] {
    const auto Status = Control.fetchJson(
        TestFleet->Instances[OtherInstance].AdminAddress, "/status");
    return Status.is_object() &&
           !Status.value("leader", "")
                .starts_with(TestFleet->Instances[PausedLeader].Name + '#');
  };
  EXPECT_TRUE(waitUntil(HasNewLeader));
  const auto Owner = TestFleet->servedBy(OtherInstance, "/content/key-1");
  if (!Owner.empty())
    TestFleet->Targets.at(Owner).Process.kill();
  Process.signal(SIGCONT);
  const auto Before = Load.succeeded();
  EXPECT_TRUE(waitUntil([&] { return Load.succeeded() > Before + 500; }));
  expectRequestInvariants(Load.stop());
}

// Guards against treating a platform write whose response was lost as a write
// without effect.
TEST_F(OwnershipTest, LostPlatformResponsesKeepRequestInvariants) {
  start();
  Traffic Load(6, traffic("content", "POST"));
  TestFleet->setPlatformFaults({{"lose_answers", 50}});
  TestFleet->Instances[leader()].Process.kill();
  const auto Owner = TestFleet->servedBy(1, "/content/key-1");
  if (!Owner.empty())
    TestFleet->Targets.at(Owner).Process.kill();
  const auto Before = Load.succeeded();
  EXPECT_TRUE(waitUntil([&] { return Load.succeeded() > Before + 500; }));
  expectRequestInvariants(Load.stop());
}

// Guards against violations that need several pauses and platform faults in
// succession.
TEST_F(OwnershipTest, RandomPausesAndFaultsKeepRequestInvariants) {
  const char *SeedText = std::getenv("BTR_SEED");
  const std::uint64_t Seed =
      SeedText == nullptr ? 20260 : std::stoull(SeedText);
  SCOPED_TRACE("replay: BTR_SEED=" + std::to_string(Seed) +
               " build/process_tests --gtest_filter=OwnershipTest.Random*");
  start();
  Traffic Load(6, traffic("content", "POST"));
  RandomSource Random(Seed);
  std::vector<ChildProcess *> Processes;
  for (auto &[Name, Target] : TestFleet->Targets)
    Processes.push_back(&Target.Process);
  for (auto &Instance : TestFleet->Instances)
    Processes.push_back(&Instance.Process);
  for (int Round = 0; Round < 8; ++Round) {
    auto &PausedProcess = *Processes[Random.below(Processes.size())];
    TestFleet->setPlatformFaults({{"outage", Random.chance(0.3)},
                                  {"lose_answers", Random.below(4)},
                                  {"delay_ms", Random.below(50)}});
    PausedProcess.signal(SIGSTOP);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(200 + Random.below(1300)));
    PausedProcess.signal(SIGCONT);
  }
  TestFleet->setPlatformFaults(
      {{"outage", false}, {"lose_answers", 0}, {"delay_ms", 0}});
  EXPECT_TRUE(TestFleet->waitUntilServing());
  expectRequestInvariants(Load.stop());
}

} // namespace
