#include "Fleet/TargetTable.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

using namespace buckthornring;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceId Service("stock");
const DataCentreId LocalDataCentre("dc1");
const TimePoint Start(seconds(100));

auto record(const std::string &Id, std::int64_t StartedAt = 1,
            std::uint64_t Sequence = 1) -> TargetRecord {
  TargetRecord Record;
  Record.Id = TargetId(Id);
  Record.Service = Service;
  Record.Address = "10.0.0.1:80";
  Record.DataCentre = LocalDataCentre;
  Record.Slots = 4;
  Record.StartedAtMs = StartedAt;
  Record.Sequence = Sequence;
  return Record;
}

auto table(std::uint64_t Seed = 1) -> TargetTable {
  TargetTable::Settings Settings;
  Settings.DataCentre = LocalDataCentre;
  return TargetTable(Settings, Seed);
}

auto leaving() -> TargetNotices {
  TargetNotices Notices;
  Notices.Leaving = true;
  return Notices;
}

auto pause(Duration Length) -> TargetNotices {
  TargetNotices Notices;
  Notices.RequestedPause = Length;
  return Notices;
}

auto selection(TargetTable &Table, TimePoint Now) -> TargetSelection {
  return Table.select({Service, true, milliseconds(400), {}}, Now);
}

auto selected(TargetTable &Table, TimePoint Now) -> std::string {
  const auto Selection = selection(Table, Now);
  return Selection.Target ? Selection.Target->Record.Id.str() : "";
}

// Guards against requests to a target that has announced that it leaves, while
// its record says that it is ready.
TEST(TargetAnnouncementsTest, LeavingTargetGetsNoRequests) {
  auto Table = table();
  Table.apply(record("a"), Start);
  const TargetPtr Target = Table.find(TargetId("a"));
  EXPECT_TRUE(Table.announced(Target->Record, leaving(), Start).Leaving);
  EXPECT_FALSE(Table.announced(Target->Record, leaving(), Start).Leaving);
  EXPECT_FALSE(Table.takesRequests(*Target));
  EXPECT_EQ(selected(Table, Start), "");
  EXPECT_EQ(Table.selectOwner(Target, Start).Target, nullptr);
}

// Guards against an announcement that is lost with the record of the target:
// over later records, lists, and removals after which the record returns.
TEST(TargetAnnouncementsTest, LeavingHoldsOverChangesOfTheDirectory) {
  auto Table = table();
  const auto Other = record("b");
  Table.apply(record("a"), Start);
  Table.apply(Other, Start);
  Table.announced(record("a"), leaving(), Start);
  TimePoint Now = Start + seconds(1);
  Table.apply(record("a", 1, 2), Now);
  EXPECT_EQ(selected(Table, Now), "b");
  Table.replace({record("a", 1, 1), Other}, LongAgo, Now);
  EXPECT_EQ(selected(Table, Now), "b");
  Table.remove(TargetId("a"), LongAgo, Now);
  Now += seconds(600);
  Table.dropMissing(Now);
  Table.apply(record("a", 1, 1), Now);
  for (int Count = 0; Count < 20; ++Count)
    EXPECT_EQ(selected(Table, Now), "b");
}

TEST(TargetAnnouncementsTest, NewIncarnationStartsWithoutAnnouncements) {
  for (const bool Removed : {true, false}) {
    auto Table = table();
    Table.apply(record("a"), Start);
    Table.announced(record("a"), leaving(), Start);
    Table.announced(record("a"), pause(seconds(60)), Start);
    if (Removed)
      Table.remove(TargetId("a"), LongAgo, Start);
    Table.apply(record("a", 2), Start);
    EXPECT_EQ(selected(Table, Start), "a");
    // Another target at the same address.
    Table.remove(TargetId("a"), LongAgo, Start);
    Table.apply(record("b", 1), Start);
    EXPECT_EQ(selected(Table, Start), "b");
  }
}

// An answer that was on its way while the record changed concerns the
// incarnation that the request was sent to.
TEST(TargetAnnouncementsTest,
     AnnouncementOfAnEarlierIncarnationIsNotTakenOver) {
  auto Table = table();
  Table.apply(record("a"), Start);
  Table.apply(record("a", 2), Start);
  Table.announced(record("a", 1), leaving(), Start);
  EXPECT_EQ(selected(Table, Start), "a");
}

// Guards against requests to a target in the pause that it has asked for.
TEST(TargetAnnouncementsTest, PausingTargetGetsNoRequestsUntilItsEnd) {
  auto Table = table();
  Table.apply(record("a"), Start);
  const TargetPtr Target = Table.find(TargetId("a"));
  EXPECT_TRUE(Table.announced(record("a"), pause(seconds(2)), Start).Paused);
  for (Duration Passed = Duration(0); Passed < seconds(2);
       Passed += milliseconds(50)) {
    EXPECT_EQ(selected(Table, Start + Passed), "");
    EXPECT_EQ(selection(Table, Start + Passed).Reason, NoTargetReason::Paused);
    EXPECT_EQ(Table.selectOwner(Target, Start + Passed).Target, nullptr);
  }
  // A shorter pause does not end a longer one.
  Table.announced(record("a"), pause(milliseconds(100)), Start);
  EXPECT_EQ(selected(Table, Start + seconds(1)), "");
  EXPECT_EQ(selected(Table, Start + seconds(4)), "a");
  EXPECT_EQ(Table.selectOwner(Target, Start + seconds(4)).Target, Target);
}

TEST(TargetAnnouncementsTest, PauseHoldsWhileTheRecordIsMissing) {
  auto Table = table();
  Table.apply(record("a"), Start);
  Table.announced(record("a"), pause(seconds(10)), Start);
  Table.replace({}, LongAgo, Start + seconds(1));
  Table.dropMissing(Start + seconds(2));
  Table.apply(record("a", 1, 2), Start + seconds(3));
  EXPECT_EQ(selected(Table, Start + seconds(4)), "");
  EXPECT_EQ(selected(Table, Start + seconds(14)), "a");
}

// Guards against all instances that return to a target in the same moment.
TEST(TargetAnnouncementsTest, InstancesReturnSpreadOverTimeAfterAPause) {
  std::set<std::int64_t> Returns;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    auto Table = table(Seed);
    Table.apply(record("a"), Start);
    Table.announced(record("a"), pause(seconds(4)), Start);
    Duration Passed = seconds(4);
    while (selected(Table, Start + Passed).empty())
      Passed += milliseconds(10);
    EXPECT_LE(Passed, seconds(5));
    Returns.insert(Passed.count() / 100'000);
  }
  EXPECT_GE(Returns.size(), 6U);
}

// Guards against a queue that fills a target as soon as its pause has ended.
TEST(TargetAnnouncementsTest, FewRequestsAreSentAtFirstAfterAPause) {
  auto Table = table();
  Table.apply(record("a"), Start);
  const TargetPtr Target = Table.find(TargetId("a"));
  Table.announced(record("a"), pause(seconds(1)), Start);
  const TimePoint Return = Target->Announced->pausedUntil();
  const auto Send = [&](TimePoint Now) {
    int Count = 0;
    while (selected(Table, Now) == "a") {
      Target->Load.sent();
      ++Count;
    }
    return Count;
  };
  EXPECT_EQ(Send(Return), 1);
  EXPECT_EQ(selection(Table, Return).Reason, NoTargetReason::Busy);
  EXPECT_EQ(Table.selectOwner(Target, Return).Target, nullptr);
  EXPECT_EQ(Send(Return + milliseconds(250)), 1);
  EXPECT_EQ(Send(Return + milliseconds(500)), 2);
  EXPECT_EQ(Send(Return + seconds(1)), 6);
}

// Guards against requests that wait although it is known when the first target
// takes one again, and against refusals while a target could take one.
TEST(TargetAnnouncementsTest, EndOfThePauseOfAllTargetsIsKnown) {
  auto Table = table();
  Table.apply(record("a"), Start);
  Table.apply(record("b"), Start);
  EXPECT_FALSE(Table.allPausedUntil(Service, Start));
  Table.announced(record("a"), pause(seconds(8)), Start);
  EXPECT_FALSE(Table.allPausedUntil(Service, Start));
  Table.announced(record("b"), pause(seconds(4)), Start);
  const auto Until = Table.allPausedUntil(Service, Start);
  ASSERT_TRUE(Until);
  EXPECT_EQ(*Until, Table.find(TargetId("b"))->Announced->pausedUntil());
  // A target that is about to be tried again, or leaves, does not count.
  Table.apply(record("c"), Start);
  EXPECT_FALSE(Table.allPausedUntil(Service, Start));
  Table.markUnreachable(*Table.find(TargetId("c")), Start);
  EXPECT_LT(*Table.allPausedUntil(Service, Start), *Until);
  Table.announced(record("c"), leaving(), Start);
  EXPECT_EQ(Table.allPausedUntil(Service, Start), Until);
  Table.announced(record("a"), leaving(), Start);
  Table.announced(record("b"), leaving(), Start);
  EXPECT_FALSE(Table.allPausedUntil(Service, Start));
}

// Guards against tables that grow with all targets that have ever been there.
TEST(TargetAnnouncementsTest, EntriesOfGoneTargetsAreDropped) {
  AnnouncementTable Entries;
  AnnouncementTable::Entry Used = Entries.of(record("used"), Start);
  Entries.of(record("idle"), Start);
  Entries.of(record("leaving"), Start)->setLeaving();
  Entries.of(record("paused"), Start)->pause(seconds(30), 0, Start);
  Entries.expire(Start + seconds(10));
  EXPECT_EQ(Entries.size(), 3U);
  Entries.expire(Start + seconds(40));
  EXPECT_EQ(Entries.size(), 2U);
  Entries.expire(Start + seconds(4000));
  EXPECT_EQ(Entries.size(), 1U);
  Used.reset();
  Entries.expire(Start + seconds(4001));
  EXPECT_EQ(Entries.size(), 0U);
}

} // namespace
