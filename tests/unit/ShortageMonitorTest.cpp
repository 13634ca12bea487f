#include "Admission/ShortageMonitor.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using std::chrono::seconds;

// Guards against a line for each refusal and against one in calm.
TEST(ShortageMonitorTest, ReportsBeginAndEndOnce) {
  ShortageMonitor Monitor;
  const ServiceId Service("reads");
  TimePoint Now(seconds(100));
  const auto Period = [&](int Requests, int Refused) {
    for (int Index = 0; Index < Requests; ++Index)
      Monitor.requestSeen(Service);
    for (int Index = 0; Index < Refused; ++Index)
      Monitor.refused(Service);
    Now += seconds(2);
    return Monitor.changes(Now);
  };
  EXPECT_TRUE(Period(0, 0).empty());
  EXPECT_TRUE(Period(100, 3).empty());
  const auto Begin = Period(100, 30);
  ASSERT_EQ(Begin.size(), 1U);
  EXPECT_TRUE(Begin.front().Short);
  EXPECT_EQ(Begin.front().Refused, 30U);
  EXPECT_TRUE(Monitor.latest(Service).Short);
  EXPECT_EQ(Monitor.latest(Service).Requests, 100U);
  EXPECT_TRUE(Period(100, 30).empty());
  const auto End = Period(100, 2);
  ASSERT_EQ(End.size(), 1U);
  EXPECT_FALSE(End.front().Short);
  EXPECT_TRUE(Period(100, 2).empty());
}
