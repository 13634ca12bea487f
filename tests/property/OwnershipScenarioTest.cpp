#include "ownership/OwnershipWorld.inc.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace buckthornring::test;

namespace {

auto startedWorld(std::uint64_t Seed = 1) -> std::unique_ptr<OwnershipWorld> {
  OwnershipWorld::Options Options;
  Options.Seed = Seed;
  auto World = std::make_unique<OwnershipWorld>(Options);
  World->run(5 * Second);
  return World;
}

auto owners(OwnershipWorld &World) -> std::vector<std::optional<std::size_t>> {
  std::vector<std::optional<std::size_t>> All;
  for (std::uint32_t Slice = 0; Slice < 8; ++Slice)
    All.push_back(World.ownerOf(Slice));
  return All;
}

auto deputyOf(OwnershipWorld &World) -> std::size_t {
  for (std::size_t I = 0; I < World.Instances.size(); ++I)
    if (World.Instances[I].Up &&
        World.Instances[I].Core->term().role() == TermRole::Deputy)
      return I;
  return World.Instances.size();
}

// Guards against a start-up that never hands out the slices.
TEST(OwnershipScenarioTest, AllSlicesAreServedSoonAfterTheStart) {
  auto World = startedWorld();
  EXPECT_EQ(World->served(), 0xffU) << World->describe();
  EXPECT_EQ(World->routed(), 0xfU) << World->describe();
  EXPECT_EQ(World->violation(), "");
}

// Guards against a lost owner whose slices stay unserved, also when the
// platform is down and when owners are lost one after another.
TEST(OwnershipScenarioTest, LostOwnersAreReplacedAlsoWithThePlatformDown) {
  auto World = startedWorld();
  World->Faults.Outage = true;
  World->run(20 * Second);
  EXPECT_EQ(World->served(), 0xffU);
  World->stopTarget(0);
  World->run(2 * Second);
  EXPECT_EQ(World->served(), 0xffU) << World->describe();
  World->stopTarget(1);
  World->run(2 * Second);
  EXPECT_EQ(World->served(), 0xffU) << World->describe();
  EXPECT_EQ(World->violation(), "");
}

// Guards against an acknowledged assignment that a takeover loses or changes.
TEST(OwnershipScenarioTest, ADeputyThatTakesOverKeepsEveryOwner) {
  auto World = startedWorld();
  const auto Before = owners(*World);
  const std::size_t Old = *World->leader();
  World->killInstance(Old);
  World->run(3 * Second);
  ASSERT_TRUE(World->leader().has_value());
  EXPECT_NE(*World->leader(), Old);
  EXPECT_EQ(owners(*World), Before) << World->describe();
  EXPECT_EQ(World->violation(), "");
}

// Guards against the loss of the deputy stopping recovery for good.
TEST(OwnershipScenarioTest, ALostDeputyIsReplaced) {
  auto World = startedWorld();
  const std::size_t Lost = deputyOf(*World);
  ASSERT_LT(Lost, World->Instances.size());
  World->killInstance(Lost);
  World->run(4 * Second);
  EXPECT_LT(deputyOf(*World), World->Instances.size());
  World->stopTarget(0);
  World->run(3 * Second);
  EXPECT_EQ(World->served(), 0xffU) << World->describe();
  EXPECT_EQ(World->violation(), "");
}

// Guards against both pair members being lost without a third taking over.
TEST(OwnershipScenarioTest, AThirdInstanceTakesOverFromTheWholePair) {
  auto World = startedWorld();
  const std::size_t Leader = *World->leader();
  const std::size_t Deputy = deputyOf(*World);
  World->killInstance(Leader);
  World->killInstance(Deputy);
  World->run(10 * Second);
  EXPECT_EQ(World->served(), 0xffU) << World->describe();
  EXPECT_EQ(World->violation(), "");
}

// Guards against a third instance that grants what a silent target may hold,
// and against an operator's confirmation that has no effect.
TEST(OwnershipScenarioTest, PairAndTargetLostWaitForTheOperator) {
  auto World = startedWorld();
  World->stopTarget(0);
  const std::size_t Leader = *World->leader();
  const std::size_t Deputy = deputyOf(*World);
  World->killInstance(Leader);
  World->killInstance(Deputy);
  World->run(60 * Second);
  EXPECT_NE(World->served(), 0xffU);
  ASSERT_TRUE(World->leader().has_value());
  auto &Third = World->Instances[*World->leader()];
  Third.Core->confirmTargetLost(World->Targets[0].Id,
                                Third.Clock.at(World->now()));
  World->run(3 * Second);
  EXPECT_EQ(World->served(), 0xffU) << World->describe();
  EXPECT_EQ(World->violation(), "");
}

// Guards against a graceful shutdown that costs the wait for a lost leader.
TEST(OwnershipScenarioTest, AResigningLeaderIsReplacedAtOnce) {
  auto World = startedWorld();
  const auto Before = owners(*World);
  const std::size_t Old = *World->leader();
  World->resign(Old);
  World->run(300 * Millisecond);
  EXPECT_NE(World->leader(), Old);
  EXPECT_EQ(World->served(), 0xffU) << World->describe();
  World->killInstance(Old);
  World->run(2 * Second);
  EXPECT_EQ(owners(*World), Before);
  EXPECT_EQ(World->violation(), "");
}

// Guards against renewals that stop early or never when the platform and the
// leader are lost together.
TEST(OwnershipScenarioTest, ADeputyRenewsForALimitedTimeDuringAnOutage) {
  auto World = startedWorld();
  World->Faults.Outage = true;
  World->run(3 * Second);
  World->killInstance(*World->leader());
  World->run(20 * Second);
  EXPECT_EQ(World->served(), 0xffU) << World->describe();
  World->run(15 * Second);
  EXPECT_EQ(World->served(), 0U);
  World->Faults.Outage = false;
  World->run(10 * Second);
  EXPECT_EQ(World->served(), 0xffU) << World->describe();
  EXPECT_EQ(World->violation(), "");
}

// Guards against a confirmation in the configuration that has no effect, and
// against one that a later leader forgets.
TEST(OwnershipScenarioTest, AConfirmedLossInTheConfigurationLastsOverLeaders) {
  auto World = startedWorld();
  World->stopTarget(0);
  const std::size_t Leader = *World->leader();
  const std::size_t Deputy = deputyOf(*World);
  World->killInstance(Leader);
  World->killInstance(Deputy);
  World->run(20 * Second);
  EXPECT_NE(World->served(), 0xffU);
  World->confirmLost(0);
  World->run(3 * Second);
  EXPECT_EQ(World->served(), 0xffU) << World->describe();
  World->startInstance(Leader);
  World->startInstance(Deputy);
  World->run(5 * Second);
  World->killInstance(*World->leader());
  World->run(5 * Second);
  EXPECT_EQ(World->served(), 0xffU) << World->describe();
  World->startTarget(0);
  World->run(5 * Second);
  EXPECT_EQ(World->served(), 0xffU) << World->describe();
  EXPECT_EQ(World->violation(), "");
}

/// A partitioned pair meets a target that acknowledged a later leader and then
/// restarted, so that it no longer knows the later term.
auto restartBehindThePartition(SafetySwitches Switches) -> std::string {
  OwnershipWorld::Options Options;
  Options.Switches = Switches;
  Options.UnverifiedTargets = 0;
  OwnershipWorld World(Options);
  World.run(5 * Second);
  const std::size_t Leader = *World.leader();
  const std::size_t Deputy = deputyOf(World);
  for (const std::size_t Old : {Leader, Deputy}) {
    World.cut(World.Instances[Old].Host, "platform", 60 * Second);
    for (std::size_t I = 0; I < World.Instances.size(); ++I)
      if (I != Leader && I != Deputy)
        World.cut(World.Instances[Old].Host, World.Instances[I].Host,
                  60 * Second);
    for (std::size_t I = 0; I < World.Targets.size(); ++I)
      World.cut(World.Instances[Old].Host, World.Targets[I].Id.str(),
                I == 1 ? 12 * Second : 60 * Second);
  }
  World.run(12 * Second);
  EXPECT_EQ(World.served(), 0xffU) << World.describe();
  for (std::size_t I = 0; I < World.Instances.size(); ++I)
    if (I != Leader && I != Deputy)
      World.cut(World.Instances[I].Host, World.Targets[1].Id.str(),
                60 * Second);
  World.stopTarget(1);
  World.startTarget(1);
  World.run(10 * Second);
  EXPECT_EQ(World.served(), 0xffU) << World.describe();
  return World.violation();
}

// Guards against a replaced leader that grants to a target whose restart made
// it forget the later term.
TEST(OwnershipScenarioTest, ARestartedTargetIsGrantedOnlyByAProvedLeader) {
  EXPECT_EQ(restartBehindThePartition(SafetySwitches()), "");
  SafetySwitches Unproved;
  Unproved.ProofAfterRestart = false;
  EXPECT_NE(restartBehindThePartition(Unproved), "");
}

} // namespace
