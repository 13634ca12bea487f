#include "Fleet.h"
#include "Traffic.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

auto steadyUs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Clock::now().time_since_epoch())
      .count();
}

struct OperationTest : testing::Test {
  auto start(FleetOptions Options = {}) -> void {
    Running.emplace(std::move(Options));
    ASSERT_TRUE(Running->waitUntilServing());
  }

  auto traffic(const std::string &Service, const HttpHeaders &Headers)
      -> Traffic::Maker {
    std::vector<std::string> Addresses;
    for (const auto &Instance : Running->Instances)
      Addresses.push_back(Instance.CallerAddress);
    return [=](std::size_t Number) {
      HttpRequest Request{"GET",
                          '/' + Service + "/key-" + std::to_string(Number % 40),
                          Headers,
                          {}};
      return std::pair(Addresses[Number % Addresses.size()], Request);
    };
  }

  /// Expects that every request was answered, and that the last run at the
  /// targets named started at most 2 s after \p ChangedUs.
  auto expectMovedWithoutLoss(const std::vector<Sent> &Log,
                              const std::string &TargetPart,
                              std::int64_t ChangedUs) -> void {
    SCOPED_TRACE(summary(Log));
    const auto Lost = std::count_if(Log.begin(), Log.end(), [](const auto &E) {
      return E.Outcome.Response.Status != 200;
    });
    EXPECT_EQ(Lost, 0);
    std::int64_t Last = 0;
    for (const auto &Run : Running->runs())
      if (Run.Target.find(TargetPart) != std::string::npos)
        Last = std::max(Last, Run.StartedUs);
    EXPECT_LE(Last - ChangedUs, 2'000'000);
    Running->expectOwnershipKept();
  }

  std::optional<Fleet> Running;
};

// Guards against a leaving target that gets new work, or whose requests are
// lost.
TEST_F(OperationTest, DrainedTargetsGetNoNewWorkAfterTwoSeconds) {
  start();
  for (const std::string Service : {"content", "orders"}) {
    Traffic Load(6, traffic(Service, {{"X-Caller-Key", "key-one"}}));
    ASSERT_TRUE(waitUntil([&] { return Load.succeeded() > 200; }));
    const auto Name = Service + "-a-2";
    Running->Config["services"][Service]["targets"][Name]["state"] =
        "taken-out";
    Running->applyConfig();
    const auto Changed = steadyUs();
    ASSERT_TRUE(waitUntil([&] { return steadyUs() > Changed + 3'000'000; }));
    expectMovedWithoutLoss(Load.stop(), Name, Changed);
  }
}

// Guards against a data centre that gets work after it was taken out, or whose
// requests are lost.
TEST_F(OperationTest, DataCentreTakenOutGetsNoNewWorkAfterTwoSeconds) {
  FleetOptions Options;
  Options.DataCentres = {"a", "b"};
  Options.InstancesPerDataCentre = 2;
  Options.TargetsPerDataCentre = 2;
  start(Options);
  Traffic Load(6, traffic("content", {{"X-Caller-Key", "key-one"}}));
  ASSERT_TRUE(waitUntil([&] { return Load.succeeded() > 200; }));
  Running->Config["data_centres"]["b"]["state"] = "taken-out";
  Running->applyConfig();
  const auto Changed = steadyUs();
  ASSERT_TRUE(waitUntil([&] { return steadyUs() > Changed + 4'000'000; }));
  expectMovedWithoutLoss(Load.stop(), "-b-", Changed);
}

// Guards against instances that each admit the whole rate of a workspace.
TEST_F(OperationTest, RateOfAWorkspaceHoldsOverAllInstances) {
  FleetOptions Options;
  Options.SecondRate = 100;
  Options.SecondBurst = 50;
  start(Options);
  const auto Begin = steadyUs();
  Traffic Load(12, traffic("orders", {{"X-Caller-Key", "key-two"}}));
  ASSERT_TRUE(waitUntil([&] { return steadyUs() > Begin + 4'000'000; }));
  const auto Log = Load.stop();
  const auto Seconds = static_cast<double>(steadyUs() - Begin) / 1e6;
  SCOPED_TRACE(summary(Log));
  const auto All = Running->runs();
  const auto Admitted =
      std::count_if(All.begin(), All.end(),
                    [](const auto &Run) { return Run.Workspace == "w2"; });
  EXPECT_LE(static_cast<double>(Admitted), 50 + 100 * Seconds);
  // A limit that refuses most of what is allowed is wrong as well.
  EXPECT_GE(static_cast<double>(Admitted), 0.7 * 100 * Seconds);
  for (const auto &Entry : Log)
    if (Entry.Outcome.Response.Status == 429) {
      EXPECT_NE(headerOf(Entry.Outcome, "Retry-After"), "none");
    }
}

} // namespace
