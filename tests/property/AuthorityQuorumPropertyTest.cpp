#include "support/AuthoritySimulation.h"
#include "support/SeededSchedules.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

constexpr Duration ScheduleTime = std::chrono::seconds(60);

auto runSchedule(std::uint64_t Seed, AuthorityFault Broken, int *Shortened)
    -> std::string {
  AuthorityFaults Faults;
  Faults.Broken = Broken;
  // A part of the schedules has few other faults beside the incidents.
  if (Seed % 2 == 0) {
    Faults.LostMessage = Faults.LateMessage = 0.01;
    Faults.NoMembers = 0;
    Faults.Pause = Faults.Restart = 0.1;
  }
  AuthoritySimulation Simulation(Seed, Faults, Seed % 3 == 0 ? 8 : 6,
                                 Seed % 5 == 0 ? 4 : 3);
  const auto Violation = Simulation.run(ScheduleTime);
  if (Shortened)
    *Shortened += Simulation.shortened();
  return Violation.value_or("");
}

// Guards against a new leader that grants keys while an earlier one may still
// renew them.
TEST(AuthorityQuorumPropertyTest, NoKeyHasTwoHoldersAfterPromises) {
  int Shortened = 0;
  buckthornring::testing::expectAllPass(200, [&](std::uint64_t Seed) {
    return runSchedule(Seed, AuthorityFault::None, &Shortened);
  });
  RecordProperty("shortened", Shortened);
  EXPECT_GT(Shortened, 0);
}

// Guards against schedules that would not notice a broken rule.
TEST(AuthorityQuorumPropertyTest, SchedulesNoticeEachBrokenRule) {
  for (int Fault = 1;
       Fault <= static_cast<int>(AuthorityFault::KernelRetransmits); ++Fault) {
    SCOPED_TRACE(Fault);
    buckthornring::testing::expectSomeFailure(6000, [&](std::uint64_t Seed) {
      return runSchedule(Seed, static_cast<AuthorityFault>(Fault), nullptr);
    });
  }
}

// Guards against waits that exceed the required 5 s after the loss of the data
// centre of the leader.
TEST(AuthorityQuorumPropertyTest,
     KeysOfALostDataCentreAreHeldWithinFiveSeconds) {
  for (const int Instances : {24, 300}) {
    Duration Longest{0};
    for (std::uint64_t Seed = 1; Seed <= (Instances == 24 ? 100 : 5); ++Seed) {
      AuthorityFaults Faults{0, 0, 0.02, 0, false};
      AuthoritySimulation Simulation(Seed, Faults, Instances, 4);
      ASSERT_FALSE(Simulation.run(std::chrono::seconds(30)));
      Simulation.loseLeaderDataCentre();
      const Duration Time = Simulation.timeToHeld();
      EXPECT_LE(Time, std::chrono::seconds(5)) << Seed;
      Longest = std::max(Longest, Time);
    }
    RecordProperty("longest_ms_" + std::to_string(Instances),
                   std::to_string(Longest.count() / 1000));
  }
}

// Guards against a loss of the keys while the store is out of service and the
// leader reaches a majority.
TEST(AuthorityQuorumPropertyTest, KeysAreHeldWithoutTheStore) {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    AuthorityFaults Faults{0, 0, 0.02, 0, false};
    AuthoritySimulation Simulation(Seed, Faults, 24, 4);
    ASSERT_FALSE(Simulation.run(std::chrono::seconds(20)));
    Simulation.loseStore(std::chrono::seconds(12));
    for (int Step = 0; Step < 90; ++Step) {
      ASSERT_FALSE(Simulation.run(std::chrono::milliseconds(100)));
      EXPECT_TRUE(Simulation.held()) << Seed;
    }
  }
}

} // namespace
