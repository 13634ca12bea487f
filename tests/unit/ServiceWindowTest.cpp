#include "Admission/ServiceWindow.h"
#include "Fleet/TargetTable.h"

#include <gtest/gtest.h>

#include <string>

using namespace buckthornring;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceId Service("tiles");
const TimePoint Start(seconds(100));
constexpr std::uint32_t Instances = 71;
constexpr std::size_t TargetCount = 122;
constexpr std::uint32_t Slots = 2;

/// The table of one of 71 instances with 122 targets of 2 slots.
auto fleetTable(std::uint64_t Seed) -> TargetTable {
  TargetTable::Settings Settings;
  Settings.DataCentre = DataCentreId("dc1");
  TargetTable Table(Settings, Seed);
  Table.setFleetSize({Instances, 18}, Start);
  for (std::size_t Index = 0; Index < TargetCount; ++Index) {
    TargetRecord Record;
    Record.Id = TargetId("t" + std::to_string(Index));
    Record.Service = Service;
    Record.DataCentre = DataCentreId("dc" + std::to_string(Index % 4));
    Record.Slots = Slots;
    Table.apply(Record, Start);
  }
  return Table;
}

auto reportAll(TargetTable &Table, std::uint32_t Running, std::uint32_t Waiting,
               TimePoint Now) -> void {
  for (const auto &[Id, Target] : Table.all())
    Target->reported({Running, Waiting, Slots, 1}, Now, Now);
}

/// Sends requests until no target is selected; returns their number.
auto sendAll(TargetTable &Table, TimePoint Now) -> std::uint32_t {
  std::uint32_t Sent = 0;
  while (const TargetPtr Target =
             Table.select({Service, true, milliseconds(400), {}, nullptr}, Now)
                 .Target) {
    Target->Load.sent();
    ++Sent;
  }
  return Sent;
}

} // namespace

// Guards against instances that together send more than all targets hold,
// since each of them sees room at every target.
TEST(ServiceWindowTest, Surge) {
  std::uint32_t Sent = 0;
  for (std::uint64_t Seed = 1; Seed <= Instances; ++Seed) {
    TargetTable Table = fleetTable(Seed);
    reportAll(Table, 2, 2, Start);
    Sent += sendAll(Table, Start);
  }
  constexpr std::uint32_t HeldByTargets = TargetCount * (Slots + 8);
  EXPECT_LE(Sent, HeldByTargets);
  // Their slots are in use.
  EXPECT_GE(Sent, TargetCount * Slots);
}

// Guards against a refusal for idle targets at an instance with five times the
// callers of the others.
TEST(ServiceWindowTest, UnevenDemand) {
  TargetTable Table = fleetTable(1);
  reportAll(Table, 1, 0, Start);
  constexpr std::uint32_t FairShare = TargetCount * Slots / Instances;
  EXPECT_GE(sendAll(Table, Start), 5 * FairShare);
}

// Guards against a limit by reports that a lost or cut off data centre no
// longer sends.
TEST(ServiceWindowTest, DataCentreLoss) {
  TargetTable Table = fleetTable(1);
  reportAll(Table, 2, 3, Start);
  const std::uint32_t Limited = sendAll(Table, Start);
  EXPECT_LT(Limited, TargetCount / 2);
  const std::uint32_t Later = sendAll(Table, Start + milliseconds(1100));
  EXPECT_GE(Later, TargetCount / 2);
}

// Guards against a window that counts targets which take no requests, and then
// fills those that are left.
TEST(ServiceWindowTest, ColdReturn) {
  TargetTable Table = fleetTable(1);
  reportAll(Table, 2, 2, Start);
  const double All = Table.serviceLoad(Service, Start).Slots;
  for (std::size_t Index = 0; Index < TargetCount; Index += 2)
    Table.find(TargetId("t" + std::to_string(Index)))->ColdUntil =
        Start + seconds(3);
  const TimePoint Later = Start + milliseconds(20);
  EXPECT_EQ(Table.serviceLoad(Service, Later).Slots, All / 2);
}

// Guards against windows that divide the targets by a fleet size that an
// instance does not know yet.
TEST(ServiceWindowTest, InstanceWithoutFleetSizeIsNotLimited) {
  TargetTable::Settings Settings;
  TargetTable Table(Settings, 1);
  TargetRecord Record;
  Record.Id = TargetId("a");
  Record.Service = Service;
  Record.Slots = 4;
  Table.apply(Record, Start);
  Table.find(Record.Id)->reported({4, 2, 4, 1}, Start, Start);
  EXPECT_EQ(sendAll(Table, Start), 4U);
}
