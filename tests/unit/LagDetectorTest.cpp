#include "Fleet/LagDetector.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

const TimePoint Start(1000s);

/// An instance that reads each change \p Delay after the others; there is a
/// change every 20 ms.
auto lagReported(Duration Delay) -> bool {
  LagDetector Lag(400ms);
  bool Reported = false;
  for (Duration Age = 0ms; Age < 5s; Age += 20ms) {
    const auto Reached = static_cast<std::uint64_t>(
        std::max(Duration(0), Age - Delay) / Duration(20ms));
    const SeenRevisions Others{0, static_cast<std::uint64_t>(Age / 20ms), 0};
    const auto HasSeen = [Reached](const SeenRevisions &Revisions) {
      return Revisions.Targets <= Reached;
    };
    Reported = Lag.update(Others, HasSeen, Start + Age) || Reported;
  }
  return Reported;
}

// Pattern: hundreds of targets register or are replaced. An instance is never
// up to date then, and still receives every change in time.
TEST(LagDetectorTest, SteadyChangesAreNoLag) {
  EXPECT_FALSE(lagReported(200ms));
  EXPECT_FALSE(lagReported(360ms));
}

TEST(LagDetectorTest, ChangesThatDoNotArriveAreALag) {
  EXPECT_TRUE(lagReported(600ms));
  EXPECT_TRUE(lagReported(10s));
}

TEST(LagDetectorTest, LagIsReportedOncePerTimeout) {
  LagDetector Lag(400ms);
  int Reports = 0;
  for (Duration Age = 0ms; Age < 2s; Age += 100ms)
    Reports += Lag.update(
                   {0, 9, 0}, [](const auto &) { return false; }, Start + Age)
                   ? 1
                   : 0;
  EXPECT_EQ(Reports, 4);
}

// Guards against a lag that is never reported because each new leader, which
// has not heard from all instances yet, knows of fewer changes than the last.
TEST(LagDetectorTest, LeaderThatKnowsLessDoesNotEndALag) {
  LagDetector Lag(400ms);
  const auto HasSeen = [](const SeenRevisions &Revisions) {
    return Revisions.Configuration <= 5;
  };
  EXPECT_FALSE(Lag.update({9, 0, 0}, HasSeen, Start));
  EXPECT_FALSE(Lag.update({5, 0, 0}, HasSeen, Start + 300ms));
  const auto Missing = Lag.update({5, 0, 0}, HasSeen, Start + 500ms);
  ASSERT_TRUE(Missing);
  EXPECT_EQ(Missing->Configuration, 9U);
}

} // namespace
