#include "Fleet.h"
#include "Traffic.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

auto steadyTimeUs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Clock::now().time_since_epoch())
      .count();
}

struct OperationTest : testing::Test {
  auto start(FleetOptions Options = {}) -> void {
    TestFleet.emplace(std::move(Options));
    ASSERT_TRUE(TestFleet->waitUntilServing());
  }

  auto traffic(const std::string &Service, const HttpHeaders &Headers)
      -> Traffic::RequestFactory {
    std::vector<std::string> Addresses;
    for (const auto &Instance : TestFleet->Instances)
      Addresses.push_back(Instance.CallerAddress);
    return [=](std::size_t Number) {
      HttpRequest Request{"GET",
                          '/' + Service + "/key-" + std::to_string(Number % 40),
                          Headers,
                          {}};
      return std::pair(Addresses[Number % Addresses.size()], Request);
    };
  }

  /// Expects that every request succeeded, and that the last run of the targets
  /// whose name contains \p TargetNamePart started at most 2 s after \p
  /// ChangedAtUs.
  auto expectMovedWithoutLoss(const std::vector<RequestRecord> &Log,
                              const std::string &TargetNamePart,
                              std::int64_t ChangedAtUs) -> void {
    SCOPED_TRACE(summary(Log));
    const auto Lost =
        std::count_if(Log.begin(), Log.end(), [](const auto &Entry) {
          return Entry.Outcome.Response.Status != 200;
        });
    EXPECT_EQ(Lost, 0);
    std::int64_t LastStartUs = 0;
    for (const auto &Run : TestFleet->runs())
      if (Run.Target.find(TargetNamePart) != std::string::npos)
        LastStartUs = std::max(LastStartUs, Run.StartedUs);
    EXPECT_LE(LastStartUs - ChangedAtUs, 2'000'000);
    TestFleet->expectRunInvariants();
  }

  std::optional<Fleet> TestFleet;
};

// Guards against a drained target that receives new requests, or whose requests
// are lost.
TEST_F(OperationTest, DrainedTargetsGetNoNewWorkAfterTwoSeconds) {
  start();
  for (const std::string Service : {"content", "orders"}) {
    Traffic Load(6, traffic(Service, {{"X-Caller-Key", "key-one"}}));
    ASSERT_TRUE(waitUntil([&] { return Load.succeeded() > 200; }));
    const auto Name = Service + "-a-2";
    TestFleet->Config["services"][Service]["targets"][Name]["state"] =
        "taken-out";
    TestFleet->applyConfig();
    const auto ChangedAtUs = steadyTimeUs();
    ASSERT_TRUE(
        waitUntil([&] { return steadyTimeUs() > ChangedAtUs + 3'000'000; }));
    expectMovedWithoutLoss(Load.stop(), Name, ChangedAtUs);
  }
}

// Guards against a data centre that receives requests after it was taken out,
// or whose requests are lost.
TEST_F(OperationTest, DataCentreTakenOutGetsNoNewWorkAfterTwoSeconds) {
  FleetOptions Options;
  Options.DataCentres = {"a", "b"};
  Options.InstancesPerDataCentre = 2;
  Options.TargetsPerDataCentre = 2;
  start(Options);
  Traffic Load(6, traffic("content", {{"X-Caller-Key", "key-one"}}));
  ASSERT_TRUE(waitUntil([&] { return Load.succeeded() > 200; }));
  TestFleet->Config["data_centres"]["b"]["state"] = "taken-out";
  TestFleet->applyConfig();
  const auto ChangedAtUs = steadyTimeUs();
  ASSERT_TRUE(
      waitUntil([&] { return steadyTimeUs() > ChangedAtUs + 4'000'000; }));
  expectMovedWithoutLoss(Load.stop(), "-b-", ChangedAtUs);
}

// Guards against instances that each admit the full rate of a workspace.
TEST_F(OperationTest, RateOfAWorkspaceHoldsOverAllInstances) {
  FleetOptions Options;
  Options.SecondWorkspaceRate = 100;
  Options.SecondWorkspaceBurst = 50;
  start(Options);
  const auto StartedAtUs = steadyTimeUs();
  Traffic Load(12, traffic("orders", {{"X-Caller-Key", "key-two"}}));
  ASSERT_TRUE(
      waitUntil([&] { return steadyTimeUs() > StartedAtUs + 4'000'000; }));
  const auto Log = Load.stop();
  const auto Seconds = static_cast<double>(steadyTimeUs() - StartedAtUs) / 1e6;
  SCOPED_TRACE(summary(Log));
  const auto Runs = TestFleet->runs();
  const auto Admitted =
      std::count_if(Runs.begin(), Runs.end(),
                    [](const auto &Run) { return Run.Workspace == "w2"; });
  EXPECT_LE(static_cast<double>(Admitted), 50 + 100 * Seconds);
  // The limit must not refuse most of the permitted rate either.
  EXPECT_GE(static_cast<double>(Admitted), 0.7 * 100 * Seconds);
  for (const auto &Entry : Log)
    if (Entry.Outcome.Response.Status == 429) {
      EXPECT_NE(headerOf(Entry.Outcome, "Retry-After"), "none");
    }
}

} // namespace
