// What an instance does with the state that it has read when the store comes
// back from a copy that is some seconds old.

#include "support/GatewayFixture.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sstream>
#include <string>
#include <thread>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

/// Time for which records that are missing from the copy are kept, and some
/// time for the instance to read the store.
constexpr auto RecordReturnPeriod = 2000ms;
constexpr auto ReadTime = 500ms;

/// Number of lines on restorations that contain \p Fields.
auto linesWith(const std::string &Log, const std::string &Fields) -> int {
  std::istringstream Lines(Log);
  int Count = 0;
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.find("\"store-restored\"") != std::string::npos &&
        Line.find(Fields) != std::string::npos)
      ++Count;
  return Count;
}

class RestoredStateTest : public testing::Test {
protected:
  auto serves(const std::string &Body) -> bool {
    return Fixture.exchange("GET", "/safe/1").has(Body);
  }
  auto servesEventually(const std::string &Body) -> bool {
    return eventually([&] { return serves(Body); });
  }
  auto restore(StoreContents::Copy Earlier) -> void {
    Fixture.store().restore(std::move(Earlier));
    std::this_thread::sleep_for(ReadTime);
  }

  ScriptedTarget First{GatewayFixture::answering("from first")};
  ScriptedTarget Second{GatewayFixture::answering("from second")};
  GatewayFixture Fixture;
};

// Guards against refusing requests because the copy lacks the record of a
// target that has registered since.
TEST_F(RestoredStateTest, TargetMissingFromTheCopyIsKeptUntilItsRecordReturns) {
  Fixture.configure(1);
  const auto Copy = Fixture.store().copy();
  Fixture.addTarget("pay", "t1", First);
  ASSERT_TRUE(Fixture.waitUntilServing());
  restore(Copy);
  EXPECT_TRUE(serves("from first"));
  Fixture.addTarget("pay", "t1", First, "ready", 2);
  std::this_thread::sleep_for(RecordReturnPeriod);
  EXPECT_TRUE(serves("from first"));
}

TEST_F(RestoredStateTest, TargetWhoseRecordDoesNotReturnIsDropped) {
  Fixture.configure(1);
  const auto Copy = Fixture.store().copy();
  Fixture.addTarget("pay", "t1", First);
  ASSERT_TRUE(Fixture.waitUntilServing());
  restore(Copy);
  std::this_thread::sleep_for(RecordReturnPeriod);
  EXPECT_TRUE(serves("HTTP/1.1 503"));
}

// Guards against an instance that serves the newest configuration and hands the
// older one of the copy to others.
TEST_F(RestoredStateTest, PeersAndReadersGetTheNewestConfiguration) {
  Fixture.addTarget("pay", "t1", First);
  Fixture.addTarget("other", "t2", Second);
  Fixture.configure(1, "pay");
  ASSERT_TRUE(servesEventually("from first"));
  const auto Copy = Fixture.store().copy();
  Fixture.configure(2, "other");
  ASSERT_TRUE(servesEventually("from second"));
  restore(Copy);
  const auto Version = [](int Number) {
    return "\"version\":\"r" + std::to_string(Number) + "\"";
  };
  const auto Told = [&](int Number) {
    return Fixture.askAsPeer("/state").find(Version(Number)) !=
               std::string::npos &&
           Fixture.askAsPeer("/changes?kind=config").find(Version(Number)) !=
               std::string::npos;
  };
  EXPECT_TRUE(Told(2));
  EXPECT_TRUE(serves("from second"));
  // The operator writes the lost versions again, one after the other.
  Fixture.configure(1, "pay");
  std::this_thread::sleep_for(ReadTime);
  EXPECT_TRUE(Told(2));
  Fixture.configure(3, "pay");
  EXPECT_TRUE(servesEventually("from first"));
  EXPECT_TRUE(Told(3));
}

// Guards against keeping a rejected configuration for its high generation.
TEST_F(RestoredStateTest, RejectedConfigurationGivesWayToAnAcceptableOne) {
  Fixture.addTarget("pay", "t1", First);
  Fixture.addTarget("other", "t2", Second);
  Fixture.configure(1, "pay");
  ASSERT_TRUE(servesEventually("from first"));
  const auto Copy = Fixture.store().copy();
  Fixture.store().set("config", "main", {{"version", "r20"}, {"clusters", 7}});
  std::this_thread::sleep_for(ReadTime);
  restore(Copy);
  Fixture.configure(2, "other");
  EXPECT_TRUE(servesEventually("from second"));
}

// Guards against handing on no configuration when the copy is older than the
// first one.
TEST_F(RestoredStateTest, PeersGetAConfigurationThatTheCopyLacks) {
  const auto Copy = Fixture.store().copy();
  Fixture.addTarget("pay", "t1", First);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  restore(Copy);
  EXPECT_NE(Fixture.askAsPeer("/state").find("\"version\":\"r1\""),
            std::string::npos);
}

// Guards against sending requests again to a target that has left, because the
// copy still has its record.
TEST_F(RestoredStateTest, TargetThatHadLeftIsNotUsedAgainWhileTheStoreIsAway) {
  Fixture.addTarget("pay", "t1", First);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  const auto Copy = Fixture.store().copy();
  Fixture.store().remove("servers", "t1");
  ASSERT_TRUE(servesEventually("HTTP/1.1 503"));
  restore(Copy);
  Fixture.store().setDown(true);
  std::this_thread::sleep_for(6s);
  EXPECT_TRUE(serves("HTTP/1.1 503"));
}

TEST_F(RestoredStateTest, TargetThatHadLeftIsNotUsedAgain) {
  Fixture.addTarget("pay", "t1", First);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  const auto Copy = Fixture.store().copy();
  Fixture.store().remove("servers", "t1");
  ASSERT_TRUE(servesEventually("HTTP/1.1 503"));
  restore(Copy);
  EXPECT_TRUE(serves("HTTP/1.1 503"));
  Fixture.addTarget("pay", "t1", First, "ready", 2);
  EXPECT_TRUE(servesEventually("from first"));
}

// Guards against sending requests again to a target that is about to leave.
TEST_F(RestoredStateTest, DrainingTargetIsNotUsedAgain) {
  Fixture.addTarget("pay", "t1", First);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  const auto Copy = Fixture.store().copy();
  Fixture.addTarget("pay", "t1", First, "draining", 2);
  ASSERT_TRUE(servesEventually("HTTP/1.1 503"));
  restore(Copy);
  EXPECT_TRUE(serves("HTTP/1.1 503"));
}

// Guards against restorations that neither the log nor the metrics show.
TEST_F(RestoredStateTest, RestorationIsLoggedForEachKindAndCounted) {
  Fixture.addTarget("pay", "t1", First);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  const auto Counted = [this](int Count) {
    return Fixture.askAsPeer("/metrics")
               .find("\nbtr_store_restorations_total " + std::to_string(Count) +
                     "\n") != std::string::npos;
  };
  EXPECT_TRUE(Counted(0));
  testing::internal::CaptureStdout();
  restore(Fixture.store().copy());
  const std::string Log = testing::internal::GetCapturedStdout();
  EXPECT_TRUE(Counted(1));
  for (const char *Kind : {"config", "servers", "evacuations", "buckthornring"})
    EXPECT_EQ(linesWith(Log, std::string("\"kind\":\"") + Kind +
                                 "\",\"era_before\":0,\"era_after\":1,"),
              1)
        << Kind;
  restore(Fixture.store().copy());
  EXPECT_TRUE(Counted(2));
}

class RestoredEvacuationTest : public RestoredStateTest {
protected:
  /// Restores the store from a copy that lacks the evacuation of dc1.
  auto restoreWithoutEvacuation() -> void {
    Fixture.addTarget("pay", "t1", First);
    Fixture.configure(1);
    ASSERT_TRUE(Fixture.waitUntilServing());
    const auto Copy = Fixture.store().copy();
    evacuate();
    ASSERT_TRUE(eventually([this] { return evacuated(); }));
    restore(Copy);
  }
  auto evacuate() -> void {
    Fixture.store().set("evacuations", "dc1", Json::object());
  }
  /// Targets of a data centre that has just returned count as cold, so
  /// responses do not tell.
  auto evacuated() -> bool {
    return Fixture.askAsPeer("/metrics")
               .find("\nbtr_evacuated_data_centres 1\n") != std::string::npos;
  }
};

// Guards against sending requests to an evacuated data centre because the copy
// lacks the evacuation.
TEST_F(RestoredEvacuationTest,
       EvacuationMissingFromTheCopyIsKeptUntilItReturns) {
  restoreWithoutEvacuation();
  EXPECT_TRUE(evacuated());
  EXPECT_TRUE(serves("HTTP/1.1 503"));
  evacuate();
  std::this_thread::sleep_for(RecordReturnPeriod);
  EXPECT_TRUE(evacuated());
  EXPECT_TRUE(serves("HTTP/1.1 503"));
}

// Guards against forgetting an evacuation when the store is restored again
// before it has been written again.
TEST_F(RestoredEvacuationTest, EvacuationIsKeptOverASecondRestoration) {
  const auto Copy = Fixture.store().copy();
  restoreWithoutEvacuation();
  std::this_thread::sleep_for(1000ms);
  restore(Copy);
  std::this_thread::sleep_for(1000ms);
  EXPECT_TRUE(evacuated());
}

// Guards against forgetting an evacuation while nobody can write it again.
TEST_F(RestoredEvacuationTest, EvacuationIsKeptWhileTheStoreIsAway) {
  restoreWithoutEvacuation();
  Fixture.store().setDown(true);
  std::this_thread::sleep_for(RecordReturnPeriod + 700ms);
  EXPECT_TRUE(evacuated());
}

TEST_F(RestoredEvacuationTest, EvacuationThatDoesNotReturnIsTakenBack) {
  restoreWithoutEvacuation();
  std::this_thread::sleep_for(RecordReturnPeriod);
  // An instance checks twice a second.
  std::this_thread::sleep_for(700ms);
  EXPECT_FALSE(evacuated());
  EXPECT_TRUE(servesEventually("from first"));
}

// Guards against keeping an evacuation that the operator wrote again and then
// took back.
TEST_F(RestoredEvacuationTest, ReturnedEvacuationIsTakenBackAtOnce) {
  restoreWithoutEvacuation();
  evacuate();
  std::this_thread::sleep_for(ReadTime);
  EXPECT_TRUE(evacuated());
  Fixture.store().remove("evacuations", "dc1");
  std::this_thread::sleep_for(ReadTime);
  EXPECT_FALSE(evacuated());
}

} // namespace
