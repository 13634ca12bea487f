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

  /// Runs one call to completion and returns its reply.
  template <class Reply>
  auto finish(const std::function<void(std::function<void(Reply)>)> &Call)
      -> Reply {
    std::optional<Reply> Result;
    Call([&Result](Reply Value) { Result = std::move(Value); });
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

// Guards against two conditional writes on the same version that both succeed.
TEST_F(PlatformTest, OnlyOneOfTwoConditionalWritesTakesEffect) {
  const auto Created = put("terms/a b", 0, "one");
  ASSERT_EQ(Created.Status, PlatformStatus::Done);
  const auto Repeated = put("terms/a b", 0, "two");
  EXPECT_EQ(Repeated.Status, PlatformStatus::Conflict);
  EXPECT_EQ(Repeated.Version, Created.Version);
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

// Guards against an oversized value that fails with a lost connection instead
// of a size error.
TEST_F(PlatformTest, ValuesAboveTheLimitAreRefused) {
  EXPECT_EQ(put("config/x", 0, std::string(1'000'000, 'x')).Status,
            PlatformStatus::Done);
  EXPECT_EQ(put("config/y", 0, std::string(1'000'001, 'x')).Status,
            PlatformStatus::TooLarge);
}

// Guards against a write that took effect being reported as failed.
TEST_F(PlatformTest, LostResponseIsUnknownAndTheWriteTookEffect) {
  setFaults({{"lose_answers", 1}});
  EXPECT_EQ(put("config/x", 0, "value").Status, PlatformStatus::Unknown);
  EXPECT_EQ(get("config/x").Value, "value");
}

// Guards against changes between two watches being missed.
TEST_F(PlatformTest, WatchReportsChangesAndDeletions) {
  const auto First = put("config/x", 0, "1");
  put("other/x", 0, "unrelated");
  const auto FirstChanges = watch(0, 1s);
  ASSERT_EQ(FirstChanges.Status, PlatformStatus::Done);
  ASSERT_EQ(FirstChanges.Objects.size(), 1U);
  EXPECT_EQ(FirstChanges.Objects[0].Value, "1");
  const auto NoChanges = watch(FirstChanges.Revision, 20ms);
  EXPECT_EQ(NoChanges.Status, PlatformStatus::Done);
  EXPECT_TRUE(NoChanges.Objects.empty());

  std::optional<PlatformChanges> LaterChanges;
  Client->watch("config/", FirstChanges.Revision, 5s,
                [&LaterChanges](PlatformChanges Value) {
                  LaterChanges = std::move(Value);
                });
  finish<PlatformWrite>([&](auto Done) {
    Client->remove("config/x", First.Version, std::move(Done));
  });
  while (!LaterChanges)
    Context.run_one();
  ASSERT_EQ(LaterChanges->Objects.size(), 1U);
  EXPECT_FALSE(LaterChanges->Objects[0].Value.has_value());
  EXPECT_EQ(finish<PlatformChanges>([&](auto Done) {
              Client->list("config/", std::move(Done));
            }).Objects.size(),
            0U);
}

// Guards against an unresponsive watch that blocks all further changes.
TEST_F(PlatformTest, UnresponsiveWatchTimesOutAndTheNextOneWorks) {
  setFaults({{"silent_watches", true}});
  const auto Started = std::chrono::steady_clock::now();
  EXPECT_EQ(watch(0, 50ms).Status, PlatformStatus::Unreachable);
  EXPECT_GE(std::chrono::steady_clock::now() - Started, 150ms);
  setFaults({{"silent_watches", false}});
  EXPECT_EQ(watch(0, 50ms).Status, PlatformStatus::Done);
}

// Guards against an outage of one data centre that affects all others, and
// against reads during an outage reported as unknown.
TEST_F(PlatformTest, OutageAffectsOnlyTheNamedDataCentres) {
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

// Guards against treating the list of instances as up to date.
TEST_F(PlatformTest, InstanceListIsDelayed) {
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

// Guards against wrong call counts in the platform's statistics.
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
