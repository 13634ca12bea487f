#include "Seeds.h"
#include "support/RolloutSimulation.h"

#include <gtest/gtest.h>

namespace buckthornring::test {
namespace {

/// Seeds in CI; BTR_LONG runs fifty times as many, 1,000.
constexpr std::uint64_t Seeds = 20;

auto scenario(std::uint32_t Instances, Badness Kind) -> RolloutScenario {
  RolloutScenario Scenario;
  Scenario.Instances = Instances;
  Scenario.Kind = Kind;
  // The request rate grows with the instances, as in the larger deployments.
  Scenario.RequestsPerSecond = 2.5 * Instances;
  Scenario.Targets = Instances * 35 / 60;
  return Scenario;
}

auto describe(const RolloutScenario &Scenario, const RolloutOutcome &Outcome)
    -> std::string {
  return std::string(BadnessNames.name(Scenario.Kind)) + " at " +
         std::to_string(Scenario.Instances) + " instances: " + Outcome.Cause +
         ", " + std::to_string(Outcome.ToNew) + " of " +
         std::to_string(Outcome.Requests) +
         " requests to the new version, slowness " +
         std::to_string(Outcome.Comparison.SlownessRatio);
}

class GoodVersion : public testing::TestWithParam<std::uint32_t> {};

// Guards against false rollbacks and late ends.
TEST_P(GoodVersion, SucceedsBeforeItsDeadline) {
  forEachSeed("*GoodVersion.*", Seeds, [](std::uint64_t Seed) {
    RolloutScenario Scenario = scenario(GetParam(), Badness::None);
    Scenario.ColdTargets = Seed % 2 == 0;
    // Half speed, and so slow that most responses of one route are too late.
    Scenario.ColdSlowdown = Seed % 4 == 0 ? 6 : 2;
    Scenario.Crash = Seed % 3 == 0;
    if (Seed % 4 == 1) // Full load.
      Scenario.RequestsPerSecond *= 2.2;
    Scenario.Length = Duration(12'000'000 + Seed % 5 * 1'000'000);
    const RolloutOutcome Outcome = RolloutSimulation(Scenario, Seed).run();
    EXPECT_EQ(Outcome.State, RolloutState::Succeeded)
        << describe(Scenario, Outcome);
    EXPECT_LT(Outcome.EndedAt, Scenario.Length);
    EXPECT_FALSE(Outcome.SentToOldAfterSuccess);
  });
}

// Guards against a good version that succeeds late, or not at all, because the
// leader was lost.
TEST_P(GoodVersion, SucceedsBeforeItsDeadlineWhenTheLeaderIsLost) {
  forEachSeed("*GoodVersion.*", Seeds, [](std::uint64_t Seed) {
    RolloutScenario Scenario = scenario(GetParam(), Badness::None);
    Scenario.ColdTargets = Seed % 2 == 0;
    Scenario.Length = Duration(12'000'000 + Seed % 5 * 1'000'000);
    Scenario.LeaderLostAt = Duration(static_cast<std::int64_t>(
        RandomSource(Seed).below(Scenario.Length.count())));
    const RolloutOutcome Outcome = RolloutSimulation(Scenario, Seed).run();
    EXPECT_EQ(Outcome.State, RolloutState::Succeeded)
        << describe(Scenario, Outcome);
    EXPECT_LT(Outcome.EndedAt, Scenario.Length)
        << "lost at " << Scenario.LeaderLostAt->count() / 1000 << " ms of "
        << Scenario.Length.count() / 1000 << ", ended at "
        << Outcome.EndedAt.count() / 1000;
    EXPECT_FALSE(Outcome.SentToOldAfterSuccess);
  });
}

INSTANTIATE_TEST_SUITE_P(Sizes, GoodVersion, testing::Values(60, 300, 600));

class BadVersion
    : public testing::TestWithParam<std::tuple<std::uint32_t, Badness>> {};

// Guards against bad versions that are accepted, seen by too many requests, or
// found too late.
TEST_P(BadVersion, IsRolledBackWithinTheExposureBound) {
  forEachSeed("*BadVersion.*", Seeds, [](std::uint64_t Seed) {
    const auto [Instances, Kind] = GetParam();
    RolloutScenario Scenario = scenario(Instances, Kind);
    Scenario.ColdTargets = Seed % 4 == 3;
    Scenario.ColdSlowdown = Seed % 8 == 7 ? 6 : 2;
    const RolloutOutcome Outcome = RolloutSimulation(Scenario, Seed).run();
    const RolloutBounds Bounds = RolloutSimulation::bounds();
    EXPECT_EQ(Outcome.State, RolloutState::RolledBack)
        << describe(Scenario, Outcome);
    EXPECT_LE(Outcome.ToNew,
              Bounds.ExposureShare * Outcome.Requests + Bounds.ExposureSlack)
        << describe(Scenario, Outcome);
    EXPECT_LE(Outcome.SentAfterBad, Bounds.RollbackTime)
        << describe(Scenario, Outcome);
    EXPECT_LT(Outcome.MaxBadAtOneInstance, 50U);
  });
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, BadVersion,
    testing::Combine(testing::Values(60, 300, 600),
                     testing::Values(Badness::Failures, Badness::Slow,
                                     Badness::Later, Badness::UnderLoad,
                                     Badness::OneRoute)));

} // namespace
} // namespace buckthornring::test
