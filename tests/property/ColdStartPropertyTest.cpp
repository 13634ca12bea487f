#include "support/ColdStartSimulation.h"
#include "support/SeededSchedules.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace buckthornring::testing;

namespace {

auto schedule(ColdStartPolicy Policy) -> Schedule {
  return [=](std::uint64_t Seed) {
    return ColdStartSimulation(Policy, Seed).run();
  };
}

// Guards against more concurrent requests on a restarted target than its
// allowance, over all holders, with leader takeovers and late messages.
TEST(ColdStartPropertyTest, TargetsStayWithinTheirAllowance) {
  expectAllPass(100, schedule(ColdStartPolicy::Escrow));
}

// Guards against an allowance that is kept only because nothing is sent.
TEST(ColdStartPropertyTest, TheAllowanceIsUsed) {
  std::uint64_t Sent = 0;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    ColdStartSimulation Simulation(ColdStartPolicy::Escrow, Seed);
    Simulation.run();
    Sent += Simulation.sent();
  }
  // 18 s with one request of 150 ms at a time are about 120 requests.
  EXPECT_GT(Sent / 10, 75U);
}

// Each test below injects a fault and guards against a check that can't fail.
TEST(ColdStartPropertyTest, DetectsAShareKeptAcrossARestart) {
  expectSomeFailure(100, schedule(ColdStartPolicy::KeepShare));
}

TEST(ColdStartPropertyTest, DetectsATakeoverWithoutWait) {
  expectSomeFailure(100, schedule(ColdStartPolicy::NoWait));
}

TEST(ColdStartPropertyTest, DetectsStartsThatAreReportedOutOfOrder) {
  expectSomeFailure(100, schedule(ColdStartPolicy::TrustThreads));
}

TEST(ColdStartPropertyTest, DetectsLocalRamps) {
  expectSomeFailure(100, schedule(ColdStartPolicy::LocalRamp));
}

} // namespace
