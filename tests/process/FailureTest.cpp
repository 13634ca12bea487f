#include "Fleet.h"
#include "Traffic.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

auto secondsSince(Clock::time_point Start) -> double {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

auto isNotRun(const HttpOutcome &Outcome) -> bool {
  return Outcome.Phase == HttpPhase::Connecting ||
         (Outcome.done() && headerOf(Outcome, "Btr-Run") == "not-run");
}

struct FailureTest : testing::Test {
  auto start(FleetOptions Options = {}) -> void {
    Running.emplace(std::move(Options));
    ASSERT_TRUE(Running->waitUntilServing()) << "the fleet does not serve";
  }

  /// Keyed requests to one service through all instances in turn.
  auto keyedTraffic(const std::string &Service, const std::string &Method,
                    HttpHeaders Extra = {}) -> Traffic::Maker {
    std::vector<std::string> Addresses;
    for (const auto &Instance : Running->Instances)
      Addresses.push_back(Instance.CallerAddress);
    Extra.add("X-Caller-Key", "key-one");
    return [=](std::size_t Number) {
      HttpRequest Request{Method,
                          '/' + Service + "/key-" + std::to_string(Number) +
                              "?n=" + std::to_string(Number),
                          Extra,
                          {}};
      return std::pair(Addresses[Number % Addresses.size()], Request);
    };
  }

  std::optional<Fleet> Running;
};

// Guards against keys of a lost target staying unserved longer than 2 s, and
// against a new owner that runs beside the old one.
TEST_F(FailureTest, KeyOfAKilledOwnerIsServedAgainWithinTwoSeconds) {
  start();
  const auto Owner = Running->servedBy(0, "/content/doomed");
  Running->Targets.at(Owner).Process.kill();
  const auto Killed = Clock::now();
  std::string Successor;
  EXPECT_TRUE(waitUntil([&] {
    Successor = Running->servedBy(1, "/content/doomed");
    return !Successor.empty();
  }));
  const auto Gap = secondsSince(Killed);
  RecordProperty("unavailable_s", std::to_string(Gap));
  EXPECT_LE(Gap, 2.0);
  EXPECT_NE(Successor, Owner);
  Running->expectOwnershipKept();
}

// Guards against a paused owner that runs requests after its lease has ended
// and its slices have moved.
TEST_F(FailureTest, PausedOwnerRunsNothingAfterItsLease) {
  start();
  const auto Owner = Running->servedBy(0, "/content/key-0");
  Traffic Load(8, keyedTraffic("content", "GET", {{"Btr-Deadline-Ms", "500"}}));
  ASSERT_TRUE(waitUntil([&] { return Load.succeeded() > 100; }));
  auto &Process = Running->Targets.at(Owner).Process;
  Process.signal(SIGSTOP);
  EXPECT_TRUE(waitUntil([&] {
    const auto Next = Running->servedBy(1, "/content/key-0");
    return !Next.empty() && Next != Owner;
  }));
  Process.signal(SIGCONT);
  const auto Before = Load.succeeded();
  EXPECT_TRUE(waitUntil([&] { return Load.succeeded() > Before + 500; }));
  const auto Log = Load.stop();
  SCOPED_TRACE(summary(Log));
  Running->expectOwnershipKept();
}

// Guards against an outage of the platform stopping requests, also after the
// time in which the configuration has to be confirmed.
TEST_F(FailureTest, RequestsAreServedDuringAPlatformOutage) {
  FleetOptions Options;
  Options.DataCentres = {"a", "b"};
  Options.InstancesPerDataCentre = 2;
  Options.Services = {"orders"};
  start(Options);
  Running->setPlatformFaults({{"outage", true}});
  Traffic Load(4, keyedTraffic("orders", "GET"), 5ms);
  const auto Started = Clock::now();
  ASSERT_TRUE(waitUntil([&] { return secondsSince(Started) > 7; }, 20s));
  const auto Log = Load.stop();
  SCOPED_TRACE(summary(Log));
  const auto Failed = std::count_if(Log.begin(), Log.end(), [](const auto &E) {
    return E.Outcome.Response.Status != 200;
  });
  EXPECT_GT(Log.size(), 500U);
  EXPECT_EQ(Failed, 0);
}

// Guards against a data centre that is cut off from the platform serving a
// caller key that has been withdrawn meanwhile.
TEST_F(FailureTest, CutOffDataCentreRefusesKeyedRequestsOnly) {
  FleetOptions Options;
  Options.DataCentres = {"a", "b"};
  Options.InstancesPerDataCentre = 2;
  Options.Services = {"orders"};
  start(Options);
  Running->setPlatformFaults({{"outage_data_centres", {"a"}}});
  // The links between the data centres still pass the configuration on, so the
  // data centre is cut off only when those are gone as well.
  Running->Instances[2].Process.kill();
  Running->Instances[3].Process.kill();
  EXPECT_TRUE(waitUntil([&] {
    return headerOf(Running->call(0, "GET", "/orders/1"), "Btr-Refusal") ==
           "stale-configuration";
  }));
  EXPECT_TRUE(waitUntil([&] {
    return headerOf(Running->call(1, "GET", "/orders/1"), "Btr-Run") ==
           "not-run";
  }));
  EXPECT_EQ(Running->call(0, "GET", "/public/1").Response.Status, 200U);
  Running->setPlatformFaults(
      {{"outage_data_centres", nlohmann::json::array()}});
  EXPECT_TRUE(waitUntil([&] {
    return Running->call(0, "GET", "/orders/1").Response.Status == 200;
  }));
}

// Guards against a key staying unserved when its owner is lost during an outage
// of the platform.
TEST_F(FailureTest, KeyIsServedAgainDuringAPlatformOutage) {
  start();
  Running->setPlatformFaults({{"outage", true}});
  const auto Owner = Running->servedBy(0, "/content/doomed");
  ASSERT_FALSE(Owner.empty());
  Running->Targets.at(Owner).Process.kill();
  const auto Killed = Clock::now();
  EXPECT_TRUE(waitUntil(
      [&] { return !Running->servedBy(0, "/content/doomed").empty(); }));
  EXPECT_LE(secondsSince(Killed), 2.0);
  Running->expectOwnershipKept();
}

// Guards against keys staying unserved when an instance, leader or not, is
// lost.
TEST_F(FailureTest, KeysStayServedWhenAnInstanceIsKilled) {
  start();
  Running->Instances[0].Process.kill();
  const auto Killed = Clock::now();
  EXPECT_TRUE(waitUntil([&] {
    for (int Key = 0; Key < 30; ++Key)
      if (Running->servedBy(1, "/content/key-" + std::to_string(Key)).empty())
        return false;
    return true;
  }));
  EXPECT_LE(secondsSince(Killed), 2.0);
  Running->expectOwnershipKept();
}

// Guards against a duplicated or lost order: a request that cannot be repeated
// runs at most once, exactly once when acknowledged, and never when reported as
// not run.
TEST_F(FailureTest, NonIdempotentRequestRunsAtMostOnceWhenATargetIsKilled) {
  start();
  Traffic Load(8,
               keyedTraffic("orders", "POST", {{"X-Test-Service-Ms", "20"}}));
  ASSERT_TRUE(waitUntil([&] { return Load.succeeded() > 100; }));
  Running->Targets.at("orders-a-1").Process.kill();
  const auto Before = Load.succeeded();
  EXPECT_TRUE(waitUntil([&] { return Load.succeeded() > Before + 200; }));
  const auto Log = Load.stop();
  SCOPED_TRACE(summary(Log));
  std::map<std::string, int> Counts;
  for (const auto &Run : Running->runs())
    ++Counts[Run.Path];
  for (const auto &Entry : Log) {
    const auto Count = Counts[Entry.Path];
    EXPECT_LE(Count, 1) << Entry.Path;
    if (Entry.Outcome.Response.Status == 200) {
      EXPECT_EQ(Count, 1) << Entry.Path;
    }
    if (isNotRun(Entry.Outcome)) {
      EXPECT_EQ(Count, 0) << Entry.Path << ' '
                          << headerOf(Entry.Outcome, "Btr-Refusal");
    }
  }
}

// Guards against an accepted change or a withdrawal that does not reach an
// instance.
TEST_F(FailureTest, ConfigurationAndWithdrawalAreInForceWithinTwoSeconds) {
  start();
  ASSERT_EQ(Running->call(2, "GET", "/orders/1", {{"X-Caller-Key", "key-two"}})
                .Response.Status,
            200U);
  Running->Config["routes"]["added"] = {{"path_prefix", "/added"},
                                        {"service", "orders"}};
  Running->Config["caller_keys"]["two"]["withdrawn"] = true;
  Running->applyConfig();
  const auto Applied = Clock::now();
  for (std::size_t Index = 0; Index < Running->Instances.size(); ++Index) {
    EXPECT_TRUE(waitUntil([&] {
      return Running->generationInForce(Index) == Running->Generation;
    }));
    EXPECT_TRUE(waitUntil([&] {
      return Running->call(Index, "GET", "/added/1").Response.Status == 200;
    }));
    const auto Refused =
        Running->call(Index, "GET", "/orders/1", {{"X-Caller-Key", "key-two"}});
    EXPECT_EQ(headerOf(Refused, "Btr-Refusal"), "withdrawn-caller-key");
  }
  EXPECT_LE(secondsSince(Applied), 2.0);
}

// Guards against a graceful stop that cuts off requests.
TEST_F(FailureTest, GracefulStopUnderTrafficCutsNoRequest) {
  start();
  const auto Address = Running->Instances[0].CallerAddress;
  Traffic Load(8, [&](std::size_t Number) {
    HttpRequest Request{
        Number % 2 == 0 ? "GET" : "POST",
        Number % 3 == 0 ? "/orders/" + std::to_string(Number)
                        : "/content/key-" + std::to_string(Number),
        {{"X-Caller-Key", "key-one"}, {"X-Test-Service-Ms", "20"}},
        {}};
    return std::pair(Address, Request);
  });
  ASSERT_TRUE(waitUntil([&] { return Load.succeeded() > 100; }));
  Running->Instances[0].Process.signal(SIGTERM);
  EXPECT_EQ(Running->Instances[0].Process.waitForEnd(15s), 0);
  const auto Log = Load.stop();
  SCOPED_TRACE(summary(Log));
  for (const auto &Entry : Log)
    EXPECT_TRUE(Entry.Outcome.done() || isNotRun(Entry.Outcome))
        << Entry.Path << ' ' << HttpPhaseNames.name(Entry.Outcome.Phase) << ' '
        << Entry.Outcome.Reason;
}

// Guards against connections that went silent stopping requests.
TEST_F(FailureTest, SilentConnectionsToATargetAreReplaced) {
  start();
  const auto Owner = Running->servedBy(0, "/content/key-1");
  ASSERT_FALSE(Owner.empty());
  Caller Control;
  Control.post(Running->Targets.at(Owner).Address, "/faults",
               R"({"silence_connections":true})");
  const auto Silenced = Clock::now();
  EXPECT_TRUE(waitUntil(
      [&] { return !Running->servedBy(0, "/content/key-1").empty(); }));
  EXPECT_LE(secondsSince(Silenced), 2.0);
  Running->expectOwnershipKept();
}

} // namespace
