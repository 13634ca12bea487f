#include "support/FakeObjectStore.h"
#include "Fleet/StoreRevision.h"

#include <gtest/gtest.h>

#include <optional>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

/// A restored store, seen by one client that has read it before and by one that
/// has not. The tests of instances rely on its behaviour, which is that of the
/// platform's store and its adapter.
class FakeObjectStoreTest : public testing::Test {
protected:
  FakeObjectStoreTest() {
    Contents->set("things", "kept", {{"version", 1}});
    const auto Copy = Contents->copy();
    Contents->set("things", "kept", {{"version", 2}});
    Contents->set("things", "lost", {{"version", 1}});
    Before = list(Informed);
    Contents->restore(Copy);
  }

  template <class Answer, class Call>
  auto waitFor(const Call &Start) -> Answer {
    std::optional<Answer> Received;
    Start([&Received](Answer Result) { Received = std::move(Result); });
    Io.restart();
    Io.run_for(300ms);
    EXPECT_TRUE(Received) << "not called";
    return Received.value_or(Answer());
  }
  auto list(FakeObjectStore &Client) -> StoreChanges {
    return waitFor<StoreChanges>(
        [&](auto Done) { Client.list("things", std::move(Done)); });
  }
  auto watch(FakeObjectStore &Client, std::uint64_t Revision) -> StoreChanges {
    return waitFor<StoreChanges>(
        [&](auto Done) { Client.watch("things", Revision, 50ms, Done); });
  }
  auto write(FakeObjectStore &Client, const std::string &Name,
             std::uint64_t Expected) -> StoreWriteResult {
    return waitFor<StoreWriteResult>([&](auto Done) {
      Client.write("things", Name, Expected, {{"version", 3}}, Done);
    });
  }

  boost::asio::io_context Io;
  std::shared_ptr<StoreContents> Contents = std::make_shared<StoreContents>();
  FakeObjectStore Informed{Io, Contents};
  FakeObjectStore Other{Io, Contents};
  StoreChanges Before;
};

TEST_F(FakeObjectStoreTest, RestoredObjectsHaveRisingRevisions) {
  const StoreChanges After = list(Informed);
  EXPECT_EQ(Contents->era(), 1U);
  ASSERT_EQ(Before.Objects.size(), 2U);
  ASSERT_EQ(After.Objects.size(), 1U);
  EXPECT_EQ(After.Objects[0].Value, (nlohmann::json{{"version", 1}}));
  EXPECT_EQ(eraOf(After.Revision), 1U);
  EXPECT_LT(numberOf(After.Revision), numberOf(Before.Revision));
  EXPECT_GT(After.Objects[0].Revision, Before.Revision);
}

TEST_F(FakeObjectStoreTest, WatchFromAnotherEraEndsAsHistoryLost) {
  EXPECT_EQ(watch(Other, Before.Revision).Status, StoreStatus::HistoryLost);
  const std::uint64_t Revision = list(Other).Revision;
  EXPECT_EQ(watch(Other, Revision).Status, StoreStatus::Done);
  Contents->set("things", "kept", {{"version", 4}});
  const StoreChanges Changes = watch(Other, Revision);
  ASSERT_EQ(Changes.Objects.size(), 1U);
  EXPECT_EQ(Changes.Objects[0].Revision, Revision + 1);
}

TEST_F(FakeObjectStoreTest, OpenWatchEndsAsHistoryLostAtTheRestoration) {
  const std::uint64_t Revision = list(Other).Revision;
  const auto Changes = waitFor<StoreChanges>([&](auto Done) {
    Other.watch("things", Revision, 10s, Done);
    Contents->restore(Contents->copy());
  });
  EXPECT_EQ(Changes.Status, StoreStatus::HistoryLost);
}

TEST_F(FakeObjectStoreTest, ConditionOfAnEarlierEraIsNotSent) {
  list(Other);
  const std::size_t Calls = Contents->calls();
  const StoreWriteResult Write = write(Other, "kept", Before.Revision);
  EXPECT_EQ(Write.Status, StoreStatus::Conflict);
  EXPECT_FALSE(Write.Object);
  EXPECT_EQ(Contents->calls(), Calls);
}

TEST_F(FakeObjectStoreTest, ConditionIsANumberWhileTheNewEraIsNotKnown) {
  const std::uint64_t Number = numberOf(list(Other).Objects.at(0).Revision);
  const StoreWriteResult Refused = write(Informed, "kept", Number + 1);
  EXPECT_EQ(Refused.Status, StoreStatus::Conflict);
  ASSERT_TRUE(Refused.Object);
  EXPECT_EQ(Refused.Object->Revision, makeRevision(1, Number));

  FakeObjectStore Uninformed(Io, Contents);
  const StoreWriteResult Held = write(Uninformed, "kept", Number);
  EXPECT_EQ(Held.Status, StoreStatus::Done);
  ASSERT_TRUE(Held.Object);
  EXPECT_EQ(Held.Object->Revision, makeRevision(1, Number + 1));
}

// Guards against a condition on an object that the copy lacks, at which the
// store read past the end of its objects.
TEST_F(FakeObjectStoreTest, ConditionOnAMissingObjectEndsAsAbsent) {
  const StoreWriteResult Write = write(Informed, "lost", Before.Revision);
  EXPECT_EQ(Write.Status, StoreStatus::Absent);
  EXPECT_FALSE(Write.Object);
}

} // namespace
