#include "Rollout/VersionAdmission.h"

#include <gtest/gtest.h>

namespace buckthornring::test {
namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr TimePoint Later = Start + std::chrono::seconds(10);

auto order(const std::string &To, RolloutState State = RolloutState::None)
    -> RolloutOrder {
  RolloutOrder Order;
  Order.Service = ServiceId("pay");
  Order.To = To;
  Order.Length = std::chrono::seconds(12);
  Order.Revision = 5;
  Order.State = State;
  Order.StateOf = To;
  return Order;
}

auto seen(const SlotsByVersion &First) -> VersionAdmission {
  VersionAdmission Admission;
  Admission.observe(First, Start);
  return Admission;
}

// Guards against requests on a version that was started beside the old one
// before its order was written.
TEST(VersionAdmissionTest, VersionBesideTheOldOneWaitsForAnOrder) {
  VersionAdmission Admission = seen({{"v1", 20}});
  Admission.observe({{"v1", 20}, {"v2", 2}}, Later);
  EXPECT_TRUE(Admission.rule(RolloutStage::Hold).admits("v1"));
  EXPECT_FALSE(Admission.rule(RolloutStage::Hold).admits("v2"));
}

// Guards against a service that loses its targets one by one while the new
// ones get nothing.
TEST(VersionAdmissionTest, ReplacementWithoutAnOrderUsesEachVersion) {
  VersionAdmission Admission = seen({{"a1", 2}, {"a2", 2}, {"a3", 2}});
  Admission.observe({{"b1", 2}, {"a2", 2}, {"a3", 2}}, Later);
  EXPECT_TRUE(Admission.rule(RolloutStage::Hold).admitsAll());

  VersionAdmission Common = seen({{"v1", 6}});
  Common.observe({{"v1", 4}, {"v2", 2}}, Later);
  EXPECT_TRUE(Common.rule(RolloutStage::Hold).admitsAll());
  Common.observe({{"v2", 6}}, Later);
  EXPECT_TRUE(Common.rule(RolloutStage::Hold).admits("v2"));
}

TEST(VersionAdmissionTest, OrderMovesFromTheOldVersionToTheNewOne) {
  VersionAdmission Admission = seen({{"v1", 20}});
  Admission.observe({{"v1", 20}, {"v2", 20}, {"v3", 2}}, Later);
  Admission.setOrder(order("v2"));
  for (const RolloutStage Stage :
       {RolloutStage::Hold, RolloutStage::Compare, RolloutStage::Stopped})
    EXPECT_EQ(Admission.rule(Stage), (VersionRule{false, {"v1"}}));
  EXPECT_EQ(Admission.rule(RolloutStage::Complete),
            (VersionRule{false, {"v2"}}));
  Admission.setOrder(order("v2", RolloutState::Succeeded));
  EXPECT_EQ(Admission.rule(RolloutStage::Hold), (VersionRule{false, {"v2"}}));
  // The next order starts from there.
  Admission.setOrder(order("v3"));
  EXPECT_EQ(Admission.rule(RolloutStage::Hold), (VersionRule{false, {"v2"}}));
}

// Guards against requests on a rejected version, also after the order is gone.
TEST(VersionAdmissionTest, RejectedVersionGetsNothingUntilItIsOrderedAgain) {
  VersionAdmission Admission = seen({{"v1", 20}});
  Admission.observe({{"v1", 20}, {"v2", 20}}, Later);
  Admission.setOrder(order("v2"));
  Admission.setOrder(order("v2", RolloutState::RolledBack));
  EXPECT_FALSE(Admission.rule(RolloutStage::Complete).admits("v2"));
  Admission.setOrder(std::nullopt);
  Admission.observe({{"v1", 18}, {"v2", 20}}, Later);
  EXPECT_FALSE(Admission.rule(RolloutStage::Hold).admits("v2"));
  Admission.setOrder(order("v2"));
  EXPECT_TRUE(Admission.rule(RolloutStage::Complete).admits("v2"));
}

// Guards against an instance that starts during a rollout and takes the
// majority of the moment for the old version.
TEST(VersionAdmissionTest, RecordedBaseCountsForAnInstanceThatStartsLater) {
  VersionAdmission Admission = seen({{"v1", 4}, {"v2", 20}});
  Admission.setOrder(order("v2"));
  Admission.setBase("v1");
  EXPECT_EQ(Admission.rule(RolloutStage::Compare),
            (VersionRule{false, {"v1"}}));
}

} // namespace
} // namespace buckthornring::test
