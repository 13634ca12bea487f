#include "Seeds.h"
#include "support/RangeSimulation.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

TEST(RangeKeeperPropertyTest, NoKeyHasTwoHoldersUnderAnyFaults) {
  test::forEachSeed("RangeKeeperPropertyTest.NoKeyHasTwoHoldersUnderAnyFaults",
                    60, [](std::uint64_t Seed) {
                      RangeWorld World(Seed, {});
                      const auto Violation = World.run(4000);
                      EXPECT_FALSE(Violation) << *Violation;
                    });
}

TEST(RangeKeeperPropertyTest, AllKeysAreHeldAgainAfterTheFaults) {
  test::forEachSeed("RangeKeeperPropertyTest.AllKeysAreHeldAgainAfterTheFaults",
                    40, [](std::uint64_t Seed) {
                      RangeWorld World(Seed, {});
                      ASSERT_FALSE(World.run(1500));
                      World.calm();
                      // Authority of an earlier leader, a grant and a move.
                      const auto Violation = World.run(2000);
                      ASSERT_FALSE(Violation) << *Violation;
                      EXPECT_EQ(World.servedNow(), 1.0);
                    });
}

TEST(RangeKeeperPropertyTest, KeysAreHeldMostOfTheTimeWithOneLostTarget) {
  test::forEachSeed(
      "RangeKeeperPropertyTest.KeysAreHeldMostOfTheTimeWithOneLostTarget", 20,
      [](std::uint64_t Seed) {
        RangeFaults Faults{0, 0, 0, 0, 0, 0.0005, 0, 0};
        RangeWorld World(Seed, Faults);
        ASSERT_FALSE(World.run(4000));
        EXPECT_GE(World.servedShare(), 0.95);
      });
}

} // namespace
