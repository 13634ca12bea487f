#include "support/EscrowSimulation.h"
#include "support/SeededSchedules.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace buckthornring::testing;

namespace {

auto schedule(ShareKind Kind, EscrowFault Fault) -> Schedule {
  return [=](std::uint64_t Seed) {
    EscrowSimulation::Options Settings;
    Settings.Kind = Kind;
    Settings.Fault = Fault;
    return EscrowSimulation(Settings, Seed).run();
  };
}

// Guards against admissions above burst + rate * t in any window.
TEST(EscrowPropertyTest, AdmissionsStayWithinBurstAndRate) {
  expectAllPass(300, schedule(ShareKind::Rate, EscrowFault::None));
}

// Guards against more units in use than there are, over all holders.
TEST(EscrowPropertyTest, UnitsInUseStayWithinTheTotal) {
  expectAllPass(300, schedule(ShareKind::Units, EscrowFault::None));
}

auto reducingTotal(EscrowFault Fault) -> Schedule {
  return [=](std::uint64_t Seed) {
    EscrowSimulation::Options Settings;
    Settings.Fault = Fault;
    Settings.ReduceTotal = true;
    return EscrowSimulation(Settings, Seed).run();
  };
}

// Guards against a rate that two data centres use at once: the total of one is
// reduced, and effectiveTotal() reports too early that the difference is no
// longer in use.
TEST(EscrowPropertyTest, ReleasedRateIsNotUsedByTwoDataCentres) {
  expectAllPass(300, reducingTotal(EscrowFault::None));
}

TEST(EscrowPropertyTest, DetectsAnEarlyCredit) {
  expectSomeFailure(100, reducingTotal(EscrowFault::EarlyCredit));
}

// Guards against a ledger that respects the limit only because it lends next to
// nothing.
TEST(EscrowPropertyTest, WithoutFaultsMostOfTheRateIsUsed) {
  expectAllPass(50, [](std::uint64_t Seed) -> std::string {
    EscrowSimulation::Options Settings;
    Settings.Faults = false;
    Settings.Saturated = true;
    EscrowSimulation Simulation(Settings, Seed);
    std::string Failure = Simulation.run();
    if (!Failure.empty())
      return Failure;
    const double Share =
        static_cast<double>(Simulation.admitted()) / Simulation.maxAdmissions();
    return Share >= 0.9 ? ""
                        : "used share of the rate: " + std::to_string(Share);
  });
}

// Each test below injects a fault and guards against a check that can't fail.
TEST(EscrowPropertyTest, DetectsAFastHolderClock) {
  expectSomeFailure(100,
                    schedule(ShareKind::Rate, EscrowFault::FastHolderClock));
}

TEST(EscrowPropertyTest, DetectsASlowHolderClock) {
  expectSomeFailure(200,
                    schedule(ShareKind::Units, EscrowFault::SlowHolderClock));
}

TEST(EscrowPropertyTest, DetectsATakeoverWithoutWait) {
  expectSomeFailure(100,
                    schedule(ShareKind::Rate, EscrowFault::NoWaitOnTakeover));
  expectSomeFailure(100,
                    schedule(ShareKind::Units, EscrowFault::NoWaitOnTakeover));
}

TEST(EscrowPropertyTest, DetectsARepeatedGrant) {
  expectSomeFailure(100, schedule(ShareKind::Rate, EscrowFault::RepeatedGrant));
}

TEST(EscrowPropertyTest, DetectsAnInflatedRelease) {
  expectSomeFailure(200,
                    schedule(ShareKind::Rate, EscrowFault::InflatedRelease));
}

TEST(EscrowPropertyTest, DetectsAnEarlyReclaim) {
  expectSomeFailure(100, schedule(ShareKind::Rate, EscrowFault::EarlyReclaim));
  expectSomeFailure(100, schedule(ShareKind::Units, EscrowFault::EarlyReclaim));
}

TEST(EscrowPropertyTest, DetectsReclaimOfUnitsInUse) {
  expectSomeFailure(200,
                    schedule(ShareKind::Units, EscrowFault::IgnoreUseDuration));
}

} // namespace
