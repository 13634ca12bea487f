#include "Caller.h"
#include "ChildProcess.h"

#include "buckthornring/IO/PlatformClient.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

struct PlatformTest : testing::Test {
  PlatformTest() {
    Address = Platform.waitForLine("listening ");
    Client = connect("a");
  }

  auto connect(const std::string &DataCentre)
      -> std::unique_ptr<PlatformClient> {
    PlatformClientOptions Options;
    Options.Address = Address;
    Options.DataCentre = DataCentreId(DataCentre);
    Options.TimeLimit = 500ms;
    Options.WatchMargin = 100ms;
    return PlatformClient::create(Context, Options).value();
  }

  /// Runs one call to its end and returns the answer.
  template <class Answer>
  auto finish(const std::function<void(std::function<void(Answer)>)> &Call)
      -> Answer {
    std::optional<Answer> Result;
    Call([&Result](Answer Given) { Result = std::move(Given); });
    Context.restart();
    while (!Result)
      Context.run_one();
    return *Result;
  }

  auto put(const std::string &Name, std::uint64_t Expected, std::string Value)
      -> PlatformWrite {
    return finish<PlatformWrite>([&](auto Done) {
      Client->put(Name, Expected, std::move(Value), std::move(Done));
    });
  }

  auto get(const std::string &Name) -> PlatformRead {
    return finish<PlatformRead>(
        [&](auto Done) { Client->get(Name, std::move(Done)); });
  }

  auto watch(std::uint64_t After, Duration Wait) -> PlatformChanges {
    return finish<PlatformChanges>([&](auto Done) {
      Client->watch("config/", After, Wait, std::move(Done));
    });
  }

  auto setFaults(const Caller::Json &Faults) -> void {
    ASSERT_EQ(Control.post(Address, "/faults", Faults.dump()).Response.Status,
              200U);
  }

  ChildProcess Platform{"standin_platform", {"--max-seconds", "60"}};
  boost::asio::io_context Context{1};
  Caller Control;
  std::string Address;
  std::unique_ptr<PlatformClient> Client;
};

// Guards against two writers both believing that they won.
TEST_F(PlatformTest, OnlyOneOfTwoConditionalWritesTakesEffect) {
  const auto Created = put("terms/a b", 0, "one");
  ASSERT_EQ(Created.Status, PlatformStatus::Done);
  const auto Again = put("terms/a b", 0, "two");
  EXPECT_EQ(Again.Status, PlatformStatus::Conflict);
  EXPECT_EQ(Again.Version, Created.Version);
  const auto Changed = put("terms/a b", Created.Version, "three");
  EXPECT_EQ(Changed.Status, PlatformStatus::Done);
  EXPECT_GT(Changed.Version, Created.Version);
  const auto Read = get("terms/a b");
  EXPECT_EQ(Read.Value, "three");
  EXPECT_EQ(Read.Version, Changed.Version);
  const auto Removed = finish<PlatformWrite>([&](auto Done) {
    Client->remove("terms/a b", Read.Version, std::move(Done));
  });
  EXPECT_EQ(Removed.Status, PlatformStatus::Done);
  EXPECT_EQ(get("terms/a b").Status, PlatformStatus::Absent);
}

// Guards against the size limit being found out only by a lost connection.
TEST_F(PlatformTest, ValuesAboveTheLimitAreRefused) {
  EXPECT_EQ(put("config/x", 0, std::string(1'000'000, 'x')).Status,
            PlatformStatus::Done);
  EXPECT_EQ(put("config/y", 0, std::string(1'000'001, 'x')).Status,
            PlatformStatus::TooLarge);
}

// Guards against a write that took effect being reported as failed.
TEST_F(PlatformTest, LostAnswerIsUnknownAndTheWriteTookEffect) {
  setFaults({{"lose_answers", 1}});
  EXPECT_EQ(put("config/x", 0, "value").Status, PlatformStatus::Unknown);
  EXPECT_EQ(get("config/x").Value, "value");
}

// Guards against changes between two watches being missed.
TEST_F(PlatformTest, WatchReportsChangesAndDeletions) {
  const auto First = put("config/x", 0, "1");
  put("other/x", 0, "unrelated");
  const auto Seen = watch(0, 1s);
  ASSERT_EQ(Seen.Status, PlatformStatus::Done);
  ASSERT_EQ(Seen.Objects.size(), 1U);
  EXPECT_EQ(Seen.Objects[0].Value, "1");
  const auto Quiet = watch(Seen.Revision, 20ms);
  EXPECT_EQ(Quiet.Status, PlatformStatus::Done);
  EXPECT_TRUE(Quiet.Objects.empty());

  std::optional<PlatformChanges> Waiting;
  Client->watch(
      "config/", Seen.Revision, 5s,
      [&Waiting](PlatformChanges Given) { Waiting = std::move(Given); });
  finish<PlatformWrite>([&](auto Done) {
    Client->remove("config/x", First.Version, std::move(Done));
  });
  while (!Waiting)
    Context.run_one();
  ASSERT_EQ(Waiting->Objects.size(), 1U);
  EXPECT_FALSE(Waiting->Objects[0].Value.has_value());
  EXPECT_EQ(finish<PlatformChanges>([&](auto Done) {
              Client->list("config/", std::move(Done));
            }).Objects.size(),
            0U);
}

// Guards against a silent watch stopping all further changes.
TEST_F(PlatformTest, SilentWatchIsGivenUpAndTheNextOneWorks) {
  setFaults({{"silent_watches", true}});
  const auto Started = std::chrono::steady_clock::now();
  EXPECT_EQ(watch(0, 50ms).Status, PlatformStatus::Unreachable);
  EXPECT_GE(std::chrono::steady_clock::now() - Started, 150ms);
  setFaults({{"silent_watches", false}});
  EXPECT_EQ(watch(0, 50ms).Status, PlatformStatus::Done);
}

// Guards against an outage at one data centre being seen by all, and against
// reads in an outage being reported as unknown.
TEST_F(PlatformTest, OutageReachesOnlyTheDataCentresNamed) {
  setFaults({{"outage_data_centres", {"a"}}});
  const auto Other = connect("b");
  EXPECT_EQ(get("config/x").Status, PlatformStatus::Unreachable);
  EXPECT_EQ(finish<PlatformRead>([&](auto Done) {
              Other->get("config/x", std::move(Done));
            }).Status,
            PlatformStatus::Absent);
  setFaults({{"outage", true}});
  EXPECT_EQ(finish<PlatformRead>([&](auto Done) {
              Other->get("config/x", std::move(Done));
            }).Status,
            PlatformStatus::Unreachable);
}

// Guards against the list of instances being taken as current.
TEST_F(PlatformTest, InstanceListLags) {
  setFaults({{"list_lag_ms", 100}});
  finish<PlatformWrite>([&](auto Done) {
    Client->announce({InstanceId("i1"), "127.0.0.1:1", DataCentreId("a"),
                      InstanceState::Leaving},
                     std::move(Done));
  });
  const auto List = [&] {
    return finish<PlatformInstances>(
        [&](auto Done) { Client->instances(std::move(Done)); });
  };
  EXPECT_TRUE(List().Instances.empty());
  ASSERT_TRUE(waitUntil([&] { return !List().Instances.empty(); }));
  const auto Entry = List().Instances.front();
  EXPECT_EQ(Entry.Instance.str(), "i1");
  EXPECT_EQ(Entry.State, InstanceState::Leaving);
}

// Guards against the platform's load being measured wrongly.
TEST_F(PlatformTest, CallsAreCounted) {
  put("config/x", 0, "1");
  get("config/x");
  watch(0, 10ms);
  const auto Stats = Control.fetchJson(Address, "/stats");
  EXPECT_EQ(Stats["reads"], 1);
  EXPECT_EQ(Stats["writes"], 1);
  EXPECT_EQ(Stats["watches"], 1);
}

} // namespace
