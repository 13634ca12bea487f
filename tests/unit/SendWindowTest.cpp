#include "Admission/SendWindow.h"
#include "Admission/LoadNews.h"
#include "Fleet/FleetMessage.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace buckthornring;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start(seconds(100));
constexpr Duration Period = milliseconds(100);
constexpr LoadReport Idle{1, 0, 2, 1};
constexpr LoadReport Full{2, 8, 2, 1};

/// Requests sent within a time in which a request waits all the time and each
/// response takes one period.
auto sendsDuring(SendWindow &Window, TimePoint From, Duration Length,
                 const LoadReport &Report) -> int {
  int Sends = 0;
  std::vector<TimePoint> Ends;
  for (TimePoint Now = From; Now < From + Length; Now += milliseconds(5)) {
    std::erase_if(Ends, [&](TimePoint End) { return End <= Now; });
    if ((Now - From) % milliseconds(50) == Duration(0))
      Window.reported(Report, Now);
    if (Window.admits(static_cast<std::uint32_t>(Ends.size()), Period, Now)) {
      Window.sent();
      Ends.push_back(Now + Period);
      ++Sends;
    }
  }
  return Sends;
}

} // namespace

// Guards against the refusal of a second request for an idle owner.
TEST(SendWindowTest, AdmitsSeveralRequestsAtAnIdleTarget) {
  SendWindow Window(1);
  EXPECT_TRUE(Window.admits(0, Period, Start));
  EXPECT_FALSE(Window.admits(1, Period, Start));
  for (int Report = 0; Report < 4; ++Report)
    Window.reported(Idle, Start);
  EXPECT_TRUE(Window.admits(1, Period, Start));
}

// Guards against 71 instances that send one request each to a full owner.
TEST(SendWindowTest, SpacesSendsToAFullTarget) {
  int Sends = 0;
  for (std::uint64_t Seed = 1; Seed <= 71; ++Seed) {
    SendWindow Window(Seed);
    sendsDuring(Window, Start, milliseconds(500), Full);
    Sends += sendsDuring(Window, Start + milliseconds(500), seconds(1), Full);
  }
  // Probes remain, so that room is noticed.
  EXPECT_GT(Sends, 5);
  EXPECT_LT(Sends, 60);
}

// Guards against a window that stays closed when no instance sends any more.
TEST(SendWindowTest, OpensAgainWithoutReports) {
  SendWindow Window(1);
  for (int Rejection = 0; Rejection < 30; ++Rejection)
    Window.rejected(Start);
  EXPECT_LT(Window.size(Start), 0.05);
  EXPECT_GE(Window.size(Start + seconds(4)), 1);
}

// Guards against an owner that gets no more requests because it rejects some
// for another reason than its queue (pattern: all targets shed).
TEST(SendWindowTest, SheddingAll) {
  SendWindow Window(1);
  for (int Rejection = 0; Rejection < 30; ++Rejection) {
    const TimePoint Now = Start + milliseconds(10 * Rejection);
    Window.reported(Idle, Now);
    const double Before = Window.size(Now);
    Window.rejected(Now);
    EXPECT_EQ(Window.size(Now), Before);
  }
  // A full queue still narrows it, also soon after such a report.
  Window.reported(Full, Start + milliseconds(292));
  const double Before = Window.size(Start + milliseconds(292));
  Window.rejected(Start + milliseconds(292));
  EXPECT_LT(Window.size(Start + milliseconds(292)), Before);
}

// Guards against reports that circulate for ever or fill more than a packet.
TEST(LoadNewsTest, PassesEachReportOnTwiceWhileItIsNew) {
  LoadNews News;
  for (int Index = 0; Index < 60; ++Index)
    News.add(TargetId("target-" + std::to_string(Index)), Idle, Start);
  const TimePoint Later = Start + milliseconds(40);
  std::size_t Sent = 0;
  for (int Round = 0; Round < 3; ++Round) {
    const auto Taken = News.take(Later);
    EXPECT_LE(Taken.size(), 50U);
    Sent += Taken.size();
    for (const auto &[Id, Known] : Taken)
      EXPECT_EQ(Known.Age, milliseconds(40));
  }
  EXPECT_EQ(Sent, 120U);
  EXPECT_TRUE(News.empty());
  News.add(TargetId("a"), Idle, Start);
  EXPECT_TRUE(News.take(Start + seconds(1)).empty());
}

// Guards against a report that counts as new again at each instance.
TEST(LoadNewsTest, MessageKeepsTheAgeOfReports) {
  LoadNotice Sent;
  Sent.Loads[TargetId("a")] = {Full, milliseconds(120)};
  const auto Read = decodeFleetMessage(encodeFleetMessage(Sent));
  ASSERT_TRUE(Read);
  const auto &Known = std::get<LoadNotice>(*Read).Loads.at(TargetId("a"));
  EXPECT_EQ(Known.Age, milliseconds(120));
  EXPECT_EQ(Known.Load.Waiting, 8U);
}
