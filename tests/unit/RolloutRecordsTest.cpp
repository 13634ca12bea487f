#include "Records.h"
#include "Rollout/RolloutController.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace buckthornring::test {
namespace {

using Json = nlohmann::json;

auto object(Json Spec, Json Status = nullptr) -> StoredObject {
  return {"pay", 9, false, std::move(Spec), std::move(Status)};
}

TEST(RolloutRecordsTest, ReadsAnOrderAndItsStatus) {
  const Json Spec = {{"service", "pay"}, {"to", "v2"}, {"duration_s", 12.5}};
  const auto Order = platform::readRollout(object(Spec));
  ASSERT_TRUE(Order);
  EXPECT_EQ(Order->To, "v2");
  EXPECT_EQ(Order->Length, std::chrono::milliseconds(12500));
  EXPECT_FALSE(Order->ended());
  const auto Ended = platform::readRollout(object(
      Spec, platform::encodeRolloutStatus(RolloutState::RolledBack, "v2")));
  EXPECT_TRUE(Ended->ended());
  // The status of an earlier order of the service says nothing of this one.
  EXPECT_FALSE(platform::readRollout(
                   object(Spec, {{"state", "succeeded"}, {"to", "v1"}}))
                   ->ended());
}

// Guards against an order that the next leader does not find in the record and
// begins anew.
TEST(RolloutRecordsTest, LengthIsTheSameInTheRecord) {
  const auto Order = platform::readRollout(
      object({{"service", "pay"}, {"to", "v2"}, {"duration_s", 8.1234567}}));
  ASSERT_TRUE(Order);
  RolloutRecord Record;
  Record.Length = Order->Length;
  const auto Read = RolloutRecord::parse(Record.toJson());
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read->Length, Order->Length);
}

// Guards against entries of other writers that stop the reader or count as an
// order.
TEST(RolloutRecordsTest, MalformedEntryNamesNoOrder) {
  for (const Json &Spec :
       {Json(), Json(3), Json::array(), Json::object(),
        Json{{"service", "pay"}, {"to", 2}, {"duration_s", 12}},
        Json{{"service", "pay"}, {"to", ""}, {"duration_s", 12}},
        Json{{"service", "other"}, {"to", "v2"}, {"duration_s", 12}},
        Json{{"service", "pay"}, {"to", "v2"}, {"duration_s", "12"}},
        Json{{"service", "pay"}, {"to", "v2"}, {"duration_s", -1}},
        Json{{"service", "pay"}, {"to", "v2"}}})
    EXPECT_FALSE(platform::readRollout(object(Spec))) << Spec;
  const Json Spec = {{"service", "pay"}, {"to", "v2"}, {"duration_s", 12}};
  for (const Json &Status :
       {Json(3), Json{{"state", 1}, {"to", "v2"}}, Json{{"state", "running"}}})
    EXPECT_EQ(platform::readRollout(object(Spec, Status))->State,
              RolloutState::None);
}

TEST(RolloutRecordsTest, NextLeaderContinuesFromTheRecord) {
  RolloutOrder Order;
  Order.To = "v2";
  Order.Length = std::chrono::seconds(12);
  Order.Revision = 5;
  const TimePoint Start{std::chrono::seconds(50)};
  RolloutController First(Order, {0.1, 50}, false, "v1", Start);
  RolloutController::View View;
  View.OldSlots = View.NewSlots = View.WarmNewSlots = 10;
  First.step(View, Start + std::chrono::seconds(1));
  const auto Record = First.pendingRecord(Start + std::chrono::seconds(3));
  ASSERT_TRUE(Record);
  EXPECT_EQ(First.notice(Start).Stage, RolloutStage::Hold)
      << "a stage takes effect when it is recorded";
  const auto Read = RolloutRecord::parse(Record->toJson());
  ASSERT_TRUE(Read);
  // The clock of another machine.
  const TimePoint Other{std::chrono::seconds(7)};
  Order.Revision = 6; // Of the order after its status was written.
  RolloutController Next(Order, {0.1, 50}, false, "", Other);
  Next.continueFrom(*Read, Other);
  EXPECT_EQ(Next.elapsed(Other), std::chrono::seconds(3));
  EXPECT_EQ(Next.notice(Other).Order, 5U);
  EXPECT_EQ(Next.stage(), RolloutStage::Compare);
  EXPECT_FALSE(RolloutRecord::parse(Json{{"stage", "compare"}}));
}

// Guards against a rollout that a new leader lets run late, and against the age
// of an earlier order or an older build's report that change its time.
TEST(RolloutRecordsTest, NextLeaderUsesTheLongestAge) {
  using std::chrono::seconds;
  RolloutOrder Order;
  Order.To = "v2";
  Order.Length = seconds(12);
  Order.Revision = 5;
  const TimePoint Now{seconds(50)};
  RolloutController Next(Order, {0.1, 50}, false, "v1", Now);
  const auto Report = [&](std::uint64_t Known, std::optional<Duration> Age,
                          std::uint64_t Seen) {
    RolloutReport Out;
    Out.Order = Known;
    Out.Age = Age;
    Out.SeenRevision = Seen;
    Next.recordReport(InstanceId("i"), "p", Out, Now);
  };
  Report(5, std::nullopt, 0);
  Report(0, seconds(30), 4);
  Report(4, seconds(30), 6);
  EXPECT_EQ(Next.elapsed(Now), Duration(0));
  Report(0, seconds(6), 6);
  Report(5, seconds(5), 5);
  EXPECT_EQ(Next.elapsed(Now), seconds(6));
}

} // namespace
} // namespace buckthornring::test
