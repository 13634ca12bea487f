#include "buckthornring/Routing/ColdStartRamp.h"
#include "buckthornring/Routing/Ejector.h"
#include "buckthornring/Routing/LatencyTracker.h"
#include "buckthornring/Routing/RouteTable.h"
#include "buckthornring/Routing/TargetChooser.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

auto noHeaders(std::string_view) -> std::optional<std::string_view> {
  return std::nullopt;
}

// Guards against a request that reaches the service of a shorter prefix or of
// a prefix that ends inside a segment.
TEST(RouteTableTest, LongestPrefixAtSegmentBoundaryWins) {
  Configuration Config;
  Config.Routes["all"].PathPrefix = "/";
  Config.Routes["a"].PathPrefix = "/a";
  Config.Routes["deep"].PathPrefix = "/a/b";
  const RouteTable Table(Config);
  EXPECT_EQ(Table.match("/a/b/c"), &Config.Routes["deep"]);
  EXPECT_EQ(Table.match("/a/bc"), &Config.Routes["a"]);
  EXPECT_EQ(Table.match("/ab"), &Config.Routes["all"]);
}

// Guards against one key with two owners because it is encoded differently.
TEST(RouteTableTest, KeysAreDecoded) {
  RouteConfig Route;
  Route.PathPrefix = "/stock";
  Route.KeySegment = 1;
  EXPECT_EQ(RouteTable::extractKey(Route, "/stock/x/%41b?q=1", noHeaders),
            "Ab");
  EXPECT_EQ(RouteTable::extractKey(Route, "/stock/x/Ab/y", noHeaders), "Ab");
  EXPECT_FALSE(RouteTable::extractKey(Route, "/stock/x", noHeaders));
  EXPECT_FALSE(RouteTable::extractKey(Route, "/stock/x/", noHeaders));
  EXPECT_FALSE(RouteTable::extractKey(Route, "/stock/x/%4", noHeaders));
}

// Guards against a key that is taken from the wrong part of the request.
TEST(RouteTableTest, KeysFromQueryAndHeader) {
  RouteConfig Route;
  Route.PathPrefix = "/";
  Route.Source = KeySource::Query;
  Route.KeyName = "id";
  EXPECT_EQ(RouteTable::extractKey(Route, "/x?xid=1&id=2", noHeaders), "2");
  EXPECT_FALSE(RouteTable::extractKey(Route, "/id=2", noHeaders));
  Route.Source = KeySource::Header;
  const auto Headers =
      [](std::string_view Name) -> std::optional<std::string_view> {
    return Name == "id" ? std::optional<std::string_view>("7") : std::nullopt;
  };
  EXPECT_EQ(RouteTable::extractKey(Route, "/x", Headers), "7");
}

// Guards against a choice that ignores latency, and against a late or wrong
// load report that outweighs the instance's own observations.
TEST(TargetChooserTest, TwoChoicesAvoidsTheSlowTarget) {
  const auto Chooser = TargetChooser::make(ChooserKind::TwoChoices);
  RandomSource Random(1);
  std::vector<TargetCandidate> Candidates(10, {1, 5ms, 0.9});
  Candidates[3] = {1, 50ms, 0.0};
  for (int I = 0; I < 1000; ++I)
    EXPECT_NE(Chooser->choose(Candidates, Random), 3U);
}

// Guards against a slow target that is noticed only by its first response.
TEST(LatencyTrackerTest, UnfinishedRequestRaisesTheAverage) {
  LatencyTracker Tracker;
  for (int I = 0; I < 20; ++I)
    Tracker.observe(5ms, Start + I * 100ms);
  Tracker.observeUnfinished(40ms, Start + 2500ms);
  EXPECT_GT(*Tracker.average(), 10ms);
  EXPECT_EQ(Tracker.latencyP95(), 5ms);
}

// Guards against a target that is never selected again after a slow period.
TEST(LatencyTrackerTest, AverageDecaysWithoutObservations) {
  LatencyTracker Tracker;
  Tracker.observe(80ms, Start);
  EXPECT_EQ(Tracker.average(Start), 80ms);
  EXPECT_EQ(Tracker.average(Start + 4s), 20ms);
  EXPECT_EQ(Tracker.average(), 80ms);
}

// Guards against the loss of most of a service's capacity to ejection.
TEST(EjectorTest, AtMostAThirdIsEjected) {
  Ejector Detector;
  std::vector<TargetId> Targets;
  Targets.reserve(8);
  for (int I = 0; I < 8; ++I)
    Targets.emplace_back("t" + std::to_string(I));
  Detector.setTargets(Targets);
  for (const TargetId &Target : Targets)
    for (int I = 0; I < 10; ++I)
      Detector.recordFailure(Target, Start);
  EXPECT_EQ(Detector.ejectedCount(), 2U);
  EXPECT_EQ(Detector.evaluate(Start + 5s).size(), 2U);
  EXPECT_EQ(Detector.ejectedCount(), 0U);
}

// Guards against a slow target that stays in selection because it fails no
// request.
TEST(EjectorTest, LatencyOutlierIsEjected) {
  Ejector Detector;
  Detector.setTargets({TargetId("a"), TargetId("b"), TargetId("c")});
  for (int I = 0; I < 20; ++I) {
    Detector.recordSuccess(TargetId("a"), 5ms, Start);
    Detector.recordSuccess(TargetId("b"), 6ms, Start);
    Detector.recordSuccess(TargetId("c"), 50ms, Start);
  }
  Detector.evaluate(Start);
  EXPECT_TRUE(Detector.ejected(TargetId("c")));
  EXPECT_FALSE(Detector.ejected(TargetId("a")));
}

// Guards against full load on a target that has just restarted.
TEST(ColdStartRampTest, AllowanceGrowsFromOneToTheSlots) {
  ColdStartRamp Ramp({}, Start);
  Ramp.onHealthReport("first", 60s, Start);
  EXPECT_EQ(Ramp.allowance(Start), 4U);
  for (auto Age = 0ms; Age <= 11s; Age += 100ms) {
    Ramp.onHealthReport("second", Age, Start + Age);
    const auto Allowed = Ramp.allowance(Start + Age);
    // Must not exceed the target's own ramp, also if the local clock runs fast.
    const auto Due = 1 + 3 * Age.count() * 1000 / 10'100'000;
    EXPECT_EQ(Allowed, std::min<long>(Due, 4)) << Age.count();
  }
}

// Guards against full load between a restart and the health report that shows
// it.
TEST(ColdStartRampTest, BrokenConnectionLimitsUntilTheNextReport) {
  ColdStartRamp Ramp({}, Start);
  Ramp.onHealthReport("first", 60s, Start);
  Ramp.onFailure(Start + 500ms);
  EXPECT_EQ(Ramp.allowance(Start + 500ms), 1U);
  Ramp.onHealthReport("first", 61s, Start + 600ms);
  EXPECT_EQ(Ramp.allowance(Start + 600ms), 4U);
}

// Guards against a cold start without a new start identifier: the target froze,
// lost its caches and responds slowly.
TEST(ColdStartRampTest, SlowResponseAfterSilenceStartsARamp) {
  ColdStartRamp Ramp({}, Start);
  Ramp.onHealthReport("first", 60s, Start);
  Ramp.onResponse(5ms, Start + 100ms);
  Ramp.onResponse(50ms, Start + 200ms);
  EXPECT_FALSE(Ramp.cold(Start + 200ms));
  Ramp.onResponse(50ms, Start + 2s);
  EXPECT_EQ(Ramp.allowance(Start + 2s), 1U);
}

} // namespace
