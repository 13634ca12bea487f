#include "Fleet/TargetTable.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

using namespace buckthornring;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceId Service("stock");
const DataCentreId LocalDataCentre("dc1");
const DataCentreId RemoteDataCentre("dc2");
const TimePoint Start(seconds(100));

auto record(const std::string &Id, const DataCentreId &DataCentre,
            std::int64_t StartedAt = 1, std::uint64_t Sequence = 1)
    -> TargetRecord {
  TargetRecord Record;
  Record.Id = TargetId(Id);
  Record.Service = Service;
  Record.Address = "10.0.0.1:80";
  Record.DataCentre = DataCentre;
  Record.Slots = 4;
  Record.StartedAtMs = StartedAt;
  Record.Sequence = Sequence;
  return Record;
}

auto table() -> TargetTable {
  TargetTable::Settings Settings;
  Settings.DataCentre = LocalDataCentre;
  return TargetTable(Settings, 1);
}

auto selected(TargetTable &Table, TimePoint Now) -> std::string {
  const auto Selection =
      Table.select({Service, true, milliseconds(400), {}}, Now);
  return Selection.Target ? Selection.Target->Record.Id.str() : "";
}

TEST(TargetTableTest, PrefersTheOwnDataCentreUntilItIsLoaded) {
  auto Table = table();
  Table.apply(record("near", LocalDataCentre), Start);
  Table.apply(record("far", RemoteDataCentre), Start);
  EXPECT_EQ(selected(Table, Start), "near");
  for (int Count = 0; Count < 10; ++Count)
    Table.find(TargetId("near"))->Load.sent();
  EXPECT_EQ(selected(Table, Start), "far");
}

TEST(TargetTableTest, DrainingAndEvacuatedTargetsGetNoRequests) {
  auto Table = table();
  auto DrainingRecord = record("a", LocalDataCentre);
  DrainingRecord.Draining = true;
  Table.apply(DrainingRecord, Start);
  EXPECT_EQ(selected(Table, Start), "");
  Table.apply(record("b", RemoteDataCentre), Start);
  Table.setEvacuated({RemoteDataCentre}, Start);
  EXPECT_EQ(selected(Table, Start), "");
  Table.setEvacuated({}, Start);
  EXPECT_EQ(selected(Table, Start), "b");
}

// Guards against using a target that has left again for a record of it that is
// no newer than the last one, such as one from a copy of the store.
TEST(TargetTableTest, DepartedTargetReturnsOnlyWithANewerRecord) {
  auto Table = table();
  const TargetId Id("a");
  const auto Depart = [&] {
    Table.remove(Id, LongAgo, Start);
    EXPECT_FALSE(Table.find(Id));
  };
  Table.apply(record("a", LocalDataCentre, 5, 9), Start);
  Depart();
  EXPECT_FALSE(Table.apply(record("a", LocalDataCentre, 5, 9), Start));
  EXPECT_FALSE(Table.apply(record("a", LocalDataCentre, 4, 20), Start));
  Table.replace({record("a", LocalDataCentre, 5, 8)}, LongAgo, Start);
  EXPECT_FALSE(Table.find(Id));
  EXPECT_TRUE(Table.apply(record("a", LocalDataCentre, 5, 10), Start));
  Depart();
  EXPECT_TRUE(Table.apply(record("a", LocalDataCentre, 6, 1), Start));
}

// A target that was only away from the directory may write the same record
// again, and a directory need not show later ones that are alike. A record that
// outlasts its time to live was renewed.
TEST(TargetTableTest, DepartedTargetReturnsWhenItsRecordStays) {
  auto Table = table();
  const auto Record = record("a", LocalDataCentre, 5, 9);
  Table.apply(Record, Start);
  Table.remove(Record.Id, LongAgo, Start);
  Table.apply(Record, Start + seconds(1));
  Table.readmitDeparted(Start + seconds(3));
  EXPECT_FALSE(Table.find(Record.Id));
  EXPECT_TRUE(Table.readmitDeparted(Start + seconds(7)));
  EXPECT_TRUE(Table.find(Record.Id));
  // A record that was removed meanwhile does not return.
  Table.remove(Record.Id, LongAgo, Start + seconds(8));
  Table.apply(Record, Start + seconds(9));
  Table.replace({}, LongAgo, Start + seconds(10));
  Table.readmitDeparted(Start + seconds(20));
  EXPECT_FALSE(Table.find(Record.Id));
}

// A target that expired in an outage has left as well.
TEST(TargetTableTest, TargetDroppedAfterAnOutageReturnsOnlyWithANewerRecord) {
  auto Table = table();
  const auto Record = record("a", LocalDataCentre, 5, 9);
  Table.apply(Record, Start);
  Table.replace({}, Start + seconds(2), Start);
  EXPECT_TRUE(Table.dropMissing(Start + seconds(2)));
  EXPECT_FALSE(Table.apply(Record, Start + seconds(3)));
  EXPECT_FALSE(Table.find(Record.Id));
}

// Targets come and go for as long as an instance runs.
TEST(TargetTableTest, DeparturesAreForgottenAfterSomeTime) {
  auto Table = table();
  const auto Record = record("a", LocalDataCentre, 5, 9);
  Table.apply(Record, Start);
  Table.remove(Record.Id, LongAgo, Start);
  EXPECT_TRUE(Table.apply(Record, Start + seconds(200)));
}

TEST(TargetTableTest, RememberedDeparturesAreLimitedInNumber) {
  auto Table = table();
  for (int Number = 0; Number < 2000; ++Number) {
    const auto Record = record(std::to_string(Number), LocalDataCentre);
    Table.apply(Record, Start + milliseconds(Number));
    Table.remove(Record.Id, LongAgo, Start + milliseconds(Number));
  }
  EXPECT_TRUE(Table.apply(record("0", LocalDataCentre), Start + seconds(2)));
  EXPECT_FALSE(
      Table.apply(record("1999", LocalDataCentre), Start + seconds(2)));
}

// Records may be written late, after newer records of the same target.
TEST(TargetTableTest, OlderRecordOfTheSameTargetIsIgnored) {
  auto Table = table();
  auto DrainingRecord = record("a", LocalDataCentre, 5, 9);
  DrainingRecord.Draining = true;
  Table.apply(DrainingRecord, Start);
  EXPECT_FALSE(Table.apply(record("a", LocalDataCentre, 5, 8), Start));
  EXPECT_TRUE(Table.find(TargetId("a"))->Record.Draining);
  EXPECT_FALSE(Table.apply(record("a", LocalDataCentre, 4, 20), Start));
  EXPECT_EQ(Table.find(TargetId("a"))->Record.StartedAtMs, 5);
  EXPECT_TRUE(Table.apply(record("a", LocalDataCentre, 6, 1), Start));
}

TEST(TargetTableTest, RecordsMissingAfterAnOutageAreKeptUntilTheDeadline) {
  auto Table = table();
  Table.apply(record("a", LocalDataCentre), Start);
  Table.apply(record("b", LocalDataCentre), Start);
  Table.replace({}, Start + milliseconds(2300), Start);
  EXPECT_NE(selected(Table, Start), "");
  Table.apply(record("a", LocalDataCentre, 1, 2), Start + seconds(1));
  EXPECT_TRUE(Table.dropMissing(Start + seconds(3)));
  EXPECT_TRUE(Table.find(TargetId("a")));
  EXPECT_FALSE(Table.find(TargetId("b")));
}

// Guards against keeping a target that leaves 2 s after an outage for another
// 2.3 s.
TEST(TargetTableTest, MissingRecordsAreKeptUntilAFixedTimeAfterTheOutage) {
  auto Table = table();
  Table.apply(record("a", LocalDataCentre), Start);
  const TimePoint KeepUntil = Start + milliseconds(2300);
  Table.remove(TargetId("a"), KeepUntil, Start + milliseconds(2200));
  EXPECT_FALSE(Table.dropMissing(Start + milliseconds(2250)));
  EXPECT_TRUE(Table.dropMissing(KeepUntil));
  Table.apply(record("b", LocalDataCentre), Start);
  Table.remove(TargetId("b"), KeepUntil, KeepUntil);
  EXPECT_FALSE(Table.find(TargetId("b")));
}

TEST(TargetTableTest, RecordsMissingWithoutOutageAreRemovedAtOnce) {
  auto Table = table();
  Table.apply(record("a", LocalDataCentre), Start);
  Table.replace({}, LongAgo, Start);
  EXPECT_FALSE(Table.find(TargetId("a")));
}

/// Requests that an instance sends within one second to the only target, which
/// is cold.
auto sentToColdTarget(TargetTable &Table, double Limit) -> int {
  Table.setColdLimits({{Service, {Limit}}});
  auto Cold = record("a", LocalDataCentre);
  Cold.RemainingColdTime = seconds(3);
  Table.apply(Cold, Start);
  int Sent = 0;
  for (int Step = 0; Step < 100; ++Step) {
    const TimePoint Now = Start + milliseconds(10) * Step;
    const auto Selection =
        Table.select({Service, true, milliseconds(400), {}}, Now);
    if (!Selection.Target)
      continue;
    Selection.Target->Sends.add(Now);
    ++Sent;
  }
  return Sent;
}

/// Returns the number of requests that all instances together send to one cold
/// target in a second.
auto coldRequests(std::uint32_t Instances, std::uint32_t LocalInstances)
    -> int {
  int Sent = 0;
  for (std::uint32_t Index = 0; Index < Instances; ++Index) {
    TargetTable::Settings Settings;
    Settings.Instance = InstanceId("i" + std::to_string(Index));
    Settings.DataCentre =
        Index < LocalInstances ? LocalDataCentre : RemoteDataCentre;
    TargetTable Table(Settings, Index);
    Table.setFleetSize({Instances, Index < LocalInstances ? LocalInstances : 1},
                       Start);
    Sent += sentToColdTarget(Table, 7.8 * 1.5 + 5);
  }
  return Sent;
}

TEST(TargetTableTest, ColdTargetIsNotOverloadedByAllInstancesTogether) {
  constexpr double Limit = 7.8 * 1.5 + 5;
  for (const auto &[Instances, InDataCentre] :
       {std::pair{1U, 1U}, {4U, 1U}, {11U, 3U}, {16U, 4U}, {78U, 16U}}) {
    const int Sent = coldRequests(Instances, InDataCentre);
    EXPECT_LE(Sent, Limit) << Instances << " instances";
    EXPECT_GE(Sent, 1) << Instances << " instances";
  }
}

// Guards against instances that assume a share of their own before they know
// the fleet size, when many have restarted at once.
TEST(TargetTableTest, ColdTargetGetsNoRequestsWhileTheFleetSizeIsUnknown) {
  auto Table = table();
  Table.setColdLimits({{Service, {7.8 * 1.5 + 5}}});
  auto Cold = record("a", LocalDataCentre);
  Cold.RemainingColdTime = seconds(3);
  Table.apply(Cold, Start);
  EXPECT_EQ(selected(Table, Start), "");
  EXPECT_EQ(selected(Table, Start + seconds(4)), "a");
  Table.setFleetSize({1, 1}, Start);
  EXPECT_EQ(selected(Table, Start), "a");
}

// Guards against instances that learn of a changed fleet size one after another
// and together exceed the limit: by the earlier size all of them send, by the
// later one only those in the data centre of the target, and more each.
TEST(TargetTableTest, ColdTargetIsNotOverloadedWhileTheFleetSizeChanges) {
  constexpr double Limit = 4.28 * 1.5 + 5;
  // Those from Joining on have not known an earlier size.
  const auto SentWith = [](const FleetSize &Before, const FleetSize &After,
                           std::uint32_t Informed, std::uint32_t Joining = 10) {
    int Sent = 0;
    for (std::uint32_t Index = 0; Index < 10; ++Index) {
      TargetTable::Settings Settings;
      Settings.Instance = InstanceId("i" + std::to_string(Index));
      Settings.DataCentre =
          Index == 0 || Index == 9 ? LocalDataCentre : RemoteDataCentre;
      TargetTable Table(Settings, Index);
      if (Index < Joining)
        Table.setFleetSize(Before, Start - seconds(60));
      if (Index < Informed || Index >= Joining)
        Table.setFleetSize(After, Start);
      Sent += sentToColdTarget(Table, Limit);
    }
    return Sent;
  };
  for (std::uint32_t Informed = 0; Informed <= 10; ++Informed) {
    EXPECT_LE(SentWith({7, 2}, {10, 2}, Informed), Limit) << Informed;
    EXPECT_LE(SentWith({10, 2}, {7, 2}, Informed), Limit) << Informed;
    EXPECT_LE(SentWith({9, 1}, {10, 2}, Informed, 9), Limit) << Informed;
  }
}

TEST(TargetTableTest, UnreachableTargetIsTriedAgainAndCountsAsCold) {
  auto Table = table();
  Table.apply(record("a", LocalDataCentre), Start);
  Table.markUnreachable(*Table.find(TargetId("a")), Start);
  EXPECT_EQ(selected(Table, Start), "");
  const TimePoint Later = Start + seconds(1);
  EXPECT_EQ(selected(Table, Later), "a");
  EXPECT_TRUE(Table.find(TargetId("a"))->cold(Later));
  EXPECT_FALSE(Table.find(TargetId("a"))->cold(Later + seconds(3)));
}

// Keys that become busy are requested at all instances at once, before any of
// them knows the queue of the owner.
TEST(TargetTableTest, OwnerIsNotFilledByAllInstancesAtOnce) {
  for (const std::uint32_t Instances : {1U, 4U, 11U}) {
    std::uint32_t Sent = 0;
    for (std::uint32_t Index = 0; Index < Instances; ++Index) {
      auto Table = table();
      Table.setFleetSize({Instances, Instances}, Start);
      Table.apply(record("a", LocalDataCentre), Start);
      const TargetPtr Owner = Table.find(TargetId("a"));
      while (Table.selectOwner(Owner, Start).Target) {
        Owner->Load.sent();
        ++Sent;
      }
    }
    // Such a target holds four running and 16 waiting requests.
    EXPECT_LE(Sent, 24U) << Instances;
    EXPECT_GE(Sent, 8U) << Instances;
  }
}

// Pattern: surge in a large data centre. Between two load notices all instances
// know the same loads; if each selected the best of all targets, they would
// fill the few fastest ones, which then reset connections.
TEST(TargetTableTest, NeighboursWithTheSameLoadsDoNotFillTheSameTargets) {
  constexpr int Instances = 49;
  constexpr int TargetCount = 58;
  constexpr int RequestsEach = 4;
  constexpr int FastTargets = 6;
  // Such a target holds four running and 16 waiting requests.
  constexpr int MostAtOneTarget = 20;
  std::map<std::string, int> Sent;
  for (int Instance = 0; Instance < Instances; ++Instance) {
    TargetTable::Settings Settings;
    Settings.DataCentre = LocalDataCentre;
    TargetTable Table(Settings, static_cast<std::uint64_t>(Instance) + 1);
    Table.setFleetSize({295, Instances}, Start);
    for (int Index = 0; Index < TargetCount; ++Index) {
      const std::string Id = "t" + std::to_string(Index);
      Table.apply(record(Id, LocalDataCentre), Start);
      TargetLoad &Load = Table.find(TargetId(Id))->Load;
      Load.sent();
      Load.ended(milliseconds(Index < FastTargets ? 150 : 300), 0, 4);
      Load.reported({1, 0, 4, 1.0}, Start);
    }
    for (int Count = 0; Count < RequestsEach; ++Count) {
      const std::string Id = selected(Table, Start);
      ASSERT_NE(Id, "");
      Table.find(TargetId(Id))->Load.sent();
      ++Sent[Id];
    }
  }
  for (const auto &[Id, Count] : Sent)
    EXPECT_LE(Count, MostAtOneTarget) << Id;
}

TEST(TargetTableTest, BusyTargetsAreReportedBeforeUnreachableOnes) {
  for (const bool BusyFirst : {true, false}) {
    auto Table = table();
    Table.apply(record(BusyFirst ? "busy" : "down", LocalDataCentre), Start);
    Table.apply(record(BusyFirst ? "down" : "busy", LocalDataCentre), Start);
    Table.markUnreachable(*Table.find(TargetId("down")), Start);
    for (int Count = 0; Count < 12; ++Count)
      Table.find(TargetId("busy"))->Load.sent();
    const auto Selection =
        Table.select({Service, true, milliseconds(400), {}}, Start);
    EXPECT_EQ(Selection.Target, nullptr);
    EXPECT_EQ(Selection.Reason, NoTargetReason::Busy) << BusyFirst;
  }
}

TEST(TargetTableTest, FailingTargetIsAvoidedThoughItIsFast) {
  auto Table = table();
  Table.apply(record("bad", LocalDataCentre), Start);
  Table.apply(record("good", LocalDataCentre), Start);
  for (int Count = 0; Count < 8; ++Count)
    Table.find(TargetId("bad"))->Load.failed();
  for (int Count = 0; Count < 20; ++Count)
    EXPECT_EQ(selected(Table, Start), "good");
}

} // namespace
