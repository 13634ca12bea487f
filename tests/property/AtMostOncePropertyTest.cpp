#include "support/RequestSimulation.h"
#include "support/SeededSchedules.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace buckthornring::testing;

namespace {

auto schedule(RequestFault Fault) -> Schedule {
  return [=](std::uint64_t Seed) {
    return RequestSimulation::failure(RequestSimulation(Fault, Seed).run());
  };
}

// Fails only for the named check, so that one check can't hide another.
auto onlyCheck(RequestFault Fault,
               std::uint64_t RequestSimulation::Counts::*Checked) -> Schedule {
  return [=](std::uint64_t Seed) -> std::string {
    return RequestSimulation(Fault, Seed).run().*Checked > 0 ? "detected" : "";
  };
}

// Guards against a non-idempotent request that runs twice, a false "not-run", a
// response to another request, and a request with two outcomes or none.
TEST(AtMostOncePropertyTest, InvariantsHoldUnderRandomFaults) {
  expectAllPass(1000, schedule(RequestFault::None));
}

// Guards against a schedule that exercises too little to fail.
TEST(AtMostOncePropertyTest, SchedulesReachEveryOutcome) {
  RequestSimulation::Counts Sum;
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    const auto Run = RequestSimulation(RequestFault::None, Seed).run();
    Sum.Answered += Run.Answered;
    Sum.Retries += Run.Retries;
    Sum.Hedges += Run.Hedges;
    Sum.RefusedNotRun += Run.RefusedNotRun;
    Sum.RefusedUnknown += Run.RefusedUnknown;
    Sum.Aborted += Run.Aborted;
  }
  EXPECT_GT(Sum.Answered, 3000U);
  EXPECT_GT(Sum.Retries, 100U);
  EXPECT_GT(Sum.Hedges, 100U);
  EXPECT_GT(Sum.RefusedNotRun, 20U);
  EXPECT_GT(Sum.RefusedUnknown, 100U);
  EXPECT_GT(Sum.Aborted, 20U);
}

// Each test below injects a fault and guards against a check that can't fail.
TEST(AtMostOncePropertyTest, DetectsASecondRun) {
  expectSomeFailure(100, onlyCheck(RequestFault::RetryAlways,
                                   &RequestSimulation::Counts::RanTwice));
}

TEST(AtMostOncePropertyTest, DetectsAFalseNotRun) {
  expectSomeFailure(100, onlyCheck(RequestFault::RecordPerAttempt,
                                   &RequestSimulation::Counts::FalseNotRun));
  expectSomeFailure(100, onlyCheck(RequestFault::LateWriteStart,
                                   &RequestSimulation::Counts::FalseNotRun));
}

TEST(AtMostOncePropertyTest, DetectsAResponseToAnotherRequest) {
  expectSomeFailure(100,
                    onlyCheck(RequestFault::ReuseAbandoned,
                              &RequestSimulation::Counts::MismatchedResponses));
}

} // namespace
