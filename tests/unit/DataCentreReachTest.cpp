#include "Fleet/DataCentreReach.h"

#include "Fleet/TargetTable.h"

#include <gtest/gtest.h>

#include <string>

using namespace buckthornring;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceId Service("stock");
const DataCentreId Near("dc1");
const DataCentreId Far("dc2");
const TimePoint Start(seconds(100));

auto tableOfTwoDataCentres() -> TargetTable {
  TargetTable::Settings Settings;
  Settings.DataCentre = Near;
  TargetTable Table(Settings, 1);
  for (const DataCentreId &DataCentre : {Near, Far})
    for (int Number = 0; Number < 5; ++Number) {
      TargetRecord Record;
      Record.Id = TargetId(DataCentre.str() + "-" + std::to_string(Number));
      Record.Service = Service;
      Record.Address = "10.0.0.1:80";
      Record.DataCentre = DataCentre;
      Record.Slots = 2;
      Record.StartedAtMs = 1;
      Table.apply(Record, Start);
    }
  return Table;
}

auto failConnections(TargetTable &Table, int Count, TimePoint Now) -> void {
  for (int Number = 0; Number < Count; ++Number)
    Table.markUnreachable(
        *Table.find(TargetId("dc2-" + std::to_string(Number))), Now);
}

auto ownerReason(TargetTable &Table, const std::string &Id, TimePoint Now)
    -> NoTargetReason {
  return Table.selectOwner(Table.find(TargetId(Id)), Now).Reason;
}

// Guards against a connection time-out for each target of a data centre that is
// cut off: with hundreds of owners every request met one that had not failed
// yet, and was refused 450 ms later.
TEST(DataCentreReachTest, OwnersInALostDataCentreAreRefusedWithoutATry) {
  TargetTable Table = tableOfTwoDataCentres();
  failConnections(Table, 3, Start);
  EXPECT_EQ(ownerReason(Table, "dc2-4", Start), NoTargetReason::Down);
  EXPECT_TRUE(Table.ownerUnreachable(*Table.find(TargetId("dc2-4")),
                                     Start + milliseconds(500), Start));
  EXPECT_EQ(ownerReason(Table, "dc1-4", Start), NoTargetReason::None);
}

TEST(DataCentreReachTest, OneProbeIsSentInEachInterval) {
  TargetTable Table = tableOfTwoDataCentres();
  failConnections(Table, 3, Start);
  const TimePoint Later = Start + DataCentreReach::ProbeInterval;
  EXPECT_EQ(ownerReason(Table, "dc2-4", Later), NoTargetReason::None);
  Table.sending(*Table.find(TargetId("dc2-4")), Later);
  EXPECT_EQ(ownerReason(Table, "dc2-3", Later), NoTargetReason::Down);
}

// Guards against taking crashed targets for a lost data centre.
TEST(DataCentreReachTest, CrashedTargetsBesideRespondingOnesAreNoLoss) {
  TargetTable Table = tableOfTwoDataCentres();
  failConnections(Table, 2, Start);
  Table.answered(*Table.find(TargetId("dc2-4")), milliseconds(10));
  Table.markUnreachable(*Table.find(TargetId("dc2-2")), Start);
  EXPECT_EQ(ownerReason(Table, "dc2-3", Start), NoTargetReason::None);
}

TEST(DataCentreReachTest, FailuresFarApartAreNoLoss) {
  DataCentreReach Reach;
  for (int Number = 0; Number < 6; ++Number) {
    const TimePoint Now =
        Start + Number * (DataCentreReach::FailurePeriod * 2 / 3);
    Reach.failed(Far, TargetId("t" + std::to_string(Number)), Now);
    EXPECT_EQ(Reach.unreachableUntil(Far, Now), LongAgo);
  }
}

TEST(DataCentreReachTest, ConnectionEndsTheLoss) {
  TargetTable Table = tableOfTwoDataCentres();
  failConnections(Table, 3, Start);
  Table.connected(*Table.find(TargetId("dc2-4")));
  EXPECT_EQ(ownerReason(Table, "dc2-4", Start), NoTargetReason::None);
}

TEST(DataCentreReachTest, RunningRequestMayShowThatOneConnectionFailed) {
  TargetTable Table = tableOfTwoDataCentres();
  const TargetPtr Owner = Table.find(TargetId("dc2-0"));
  Table.sending(*Owner, Start);
  failConnections(Table, 1, Start);
  const TimePoint WaitEnd = Start + milliseconds(100);
  EXPECT_FALSE(Table.ownerUnreachable(*Owner, WaitEnd, Start));
  Owner->Load.abandoned(milliseconds(5), 0, Owner->Record.Slots);
  EXPECT_TRUE(Table.ownerUnreachable(*Owner, WaitEnd, Start));
}

} // namespace
