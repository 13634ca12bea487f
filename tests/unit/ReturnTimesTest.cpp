#include "Admission/ReturnTimes.h"

#include <gtest/gtest.h>

#include <set>

using namespace buckthornring;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Now(seconds(100));
constexpr Duration Goal = milliseconds(400);
constexpr Duration Left = milliseconds(3000);

} // namespace

// Guards against callers that return at the same moment to the same queue, and
// against times after which they do not wait or find the same queue.
TEST(ReturnTimesTest, SpreadsReturnsWithinTheUsefulTime) {
  ReturnTimes Times(1);
  std::set<Duration> Given;
  for (int Caller = 0; Caller < 20; ++Caller) {
    const Duration Wait =
        Times.next({Duration(0), milliseconds(20)}, Goal, Left, Now);
    EXPECT_GE(Wait, milliseconds(200));
    EXPECT_LE(Wait, Left / 3);
    Given.insert(Wait);
  }
  EXPECT_GT(Given.size(), 10U);
}

// Guards against a return before the owner has room.
TEST(ReturnTimesTest, ReturnIsNotBeforeRoomIsExpected) {
  ReturnTimes Times(1);
  EXPECT_GE(Times.next({milliseconds(700), milliseconds(20)}, Goal, Left, Now),
            milliseconds(700));
}

// Guards against a Retry-After of zero at the deadline.
TEST(ReturnTimesTest, ReturnIsNeverAtOnce) {
  ReturnTimes Times(1);
  EXPECT_GE(Times.next({}, Duration(0), Duration(0), Now), milliseconds(150));
}
