#include "Fleet/FailingOwners.h"

#include <gtest/gtest.h>

#include <string>

using namespace buckthornring;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start(seconds(100));
constexpr Duration Interval = milliseconds(400);
constexpr int Targets = 20;

auto targetName(int Number) -> TargetId {
  return TargetId("t" + std::to_string(Number));
}

/// Reports of a service whose targets run four requests per interval each.
class FailingOwnersTest : public testing::Test {
protected:
  /// Lets the first \p FailingCount targets fail \p Failures of four requests
  /// for \p Time. Returns the number of exclusions.
  auto run(int FailingCount, std::uint32_t Failures, Duration Time) -> int {
    int Exclusions = 0;
    for (const TimePoint End = Now + Time; Now < End; Now += Interval) {
      for (int Number = 0; Number < Targets; ++Number)
        if (Number < FailingCount)
          Owners.record(targetName(Number), {4 - Failures, Failures}, Now);
        else
          Owners.record(targetName(Number), {4, 0}, Now);
      Exclusions += static_cast<int>(Owners.update(Targets, Now).size());
    }
    return Exclusions;
  }

  FailingOwners Owners;
  TimePoint Now = Start;
};

// Pattern: a grey target, whose health looks good and which answers all
// requests with an error at once. Guards against leaving it its keys.
TEST_F(FailingOwnersTest, GreyTargetIsExcludedWithinTwoSeconds) {
  EXPECT_EQ(run(1, 4, seconds(2)), 1);
  EXPECT_TRUE(Owners.excluded(targetName(0), Now));
  EXPECT_FALSE(Owners.excluded(targetName(1), Now));
}

TEST_F(FailingOwnersTest, HalfOfTheResponsesAreEnough) {
  EXPECT_EQ(run(2, 2, seconds(4)), 2);
}

// Pattern: the whole service fails. Guards against moving keys in vain.
TEST_F(FailingOwnersTest, NoTargetIsExcludedWhereMostFail) {
  EXPECT_EQ(run(12, 2, seconds(20)), 0);
}

TEST_F(FailingOwnersTest, FewErrorsExcludeNobody) {
  for (int Round = 0; Round < 100; ++Round) {
    EXPECT_EQ(run(1, 1, Interval), 0);
    EXPECT_EQ(run(0, 0, 4 * Interval), 0);
  }
}

// Guards against giving the keys of too many targets to the rest.
TEST_F(FailingOwnersTest, AtMostAQuarterIsExcludedAtATime) {
  run(6, 4, seconds(4));
  int Excluded = 0;
  for (int Number = 0; Number < Targets; ++Number)
    Excluded += Owners.excluded(targetName(Number), Now) ? 1 : 0;
  EXPECT_LE(Excluded, Targets / 4);
  EXPECT_GE(Excluded, Targets / 4 - 1);
}

// Guards against keys that go to a failing target and back every few seconds.
TEST_F(FailingOwnersTest, ExclusionGrowsWhileATargetGoesOnFailing) {
  EXPECT_LE(run(1, 4, seconds(60)), 5);
}

TEST_F(FailingOwnersTest, RecoveredTargetReturns) {
  run(1, 4, seconds(2));
  run(0, 0, FailingOwners::MinExclusion);
  EXPECT_FALSE(Owners.excluded(targetName(0), Now));
  EXPECT_EQ(run(0, 0, seconds(20)), 0);
}

} // namespace
