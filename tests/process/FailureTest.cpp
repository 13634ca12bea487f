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

auto isReportedNotRun(const HttpOutcome &Outcome) -> bool {
  return Outcome.Phase == HttpPhase::Connecting ||
         (Outcome.done() && headerOf(Outcome, "Btr-Run") == "not-run");
}

struct FailureTest : testing::Test {
  auto start(FleetOptions Options = {}) -> void {
    TestFleet.emplace(std::move(Options));
    ASSERT_TRUE(TestFleet->waitUntilServing()) << "the fleet does not serve";
  }

  /// Returns requests with a caller key to one service, sent through all
  /// instances in turn.
  auto keyedTraffic(const std::string &Service, const std::string &Method,
                    HttpHeaders Extra = {}) -> Traffic::RequestFactory {
    std::vector<std::string> Addresses;
    for (const auto &Instance : TestFleet->Instances)
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

  std::optional<Fleet> TestFleet;
};

// Guards against keys of a killed target staying unserved longer than 2 s, and
// against a new owner that runs requests at the same time as the old one.
TEST_F(FailureTest, KeyOfAKilledOwnerIsServedAgainWithinTwoSeconds) {
  start();
  const auto Owner = TestFleet->servedBy(0, "/content/doomed");
  TestFleet->Targets.at(Owner).Process.kill();
  const auto Killed = Clock::now();
  std::string Successor;
  EXPECT_TRUE(waitUntil([&] {
    Successor = TestFleet->servedBy(1, "/content/doomed");
    return !Successor.empty();
  }));
  const auto UnavailableSeconds = secondsSince(Killed);
  RecordProperty("unavailable_s", std::to_string(UnavailableSeconds));
  EXPECT_LE(UnavailableSeconds, 2.0);
  EXPECT_NE(Successor, Owner);
  TestFleet->expectRunInvariants();
}

// Guards against a paused owner that runs requests after its lease has ended
// and its slices have moved.
TEST_F(FailureTest, PausedOwnerRunsNothingAfterItsLease) {
  start();
  const auto Owner = TestFleet->servedBy(0, "/content/key-0");
  Traffic Load(8, keyedTraffic("content", "GET", {{"Btr-Deadline-Ms", "500"}}));
  ASSERT_TRUE(waitUntil([&] { return Load.succeeded() > 100; }));
  auto &Process = TestFleet->Targets.at(Owner).Process;
  Process.signal(SIGSTOP);
  EXPECT_TRUE(waitUntil([&] {
    const auto Next = TestFleet->servedBy(1, "/content/key-0");
    return !Next.empty() && Next != Owner;
  }));
  Process.signal(SIGCONT);
  const auto Before = Load.succeeded();
  EXPECT_TRUE(waitUntil([&] { return Load.succeeded() > Before + 500; }));
  const auto Log = Load.stop();
  SCOPED_TRACE(summary(Log));
  TestFleet->expectRunInvariants();
}

// Guards against requests that fail during a platform outage, also after the
// time in which the configuration has to be confirmed.
TEST_F(FailureTest, RequestsAreServedDuringAPlatformOutage) {
  FleetOptions Options;
  Options.DataCentres = {"a", "b"};
  Options.InstancesPerDataCentre = 2;
  Options.Services = {"orders"};
  start(Options);
  TestFleet->setPlatformFaults({{"outage", true}});
  Traffic Load(4, keyedTraffic("orders", "GET"), 5ms);
  const auto Started = Clock::now();
  ASSERT_TRUE(waitUntil([&] { return secondsSince(Started) > 7; }, 20s));
  const auto Log = Load.stop();
  SCOPED_TRACE(summary(Log));
  const auto Failed =
      std::count_if(Log.begin(), Log.end(), [](const auto &Entry) {
        return Entry.Outcome.Response.Status != 200;
      });
  EXPECT_GT(Log.size(), 500U);
  EXPECT_EQ(Failed, 0);
}

// Guards against a data centre without access to the platform that serves a
// caller key withdrawn in the meantime.
TEST_F(FailureTest, IsolatedDataCentreRefusesKeyedRequestsOnly) {
  FleetOptions Options;
  Options.DataCentres = {"a", "b"};
  Options.InstancesPerDataCentre = 2;
  Options.Services = {"orders"};
  start(Options);
  TestFleet->setPlatformFaults({{"outage_data_centres", {"a"}}});
  // The links between the data centres still replicate the configuration, so
  // the instances of data centre b are killed as well to isolate a.
  TestFleet->Instances[2].Process.kill();
  TestFleet->Instances[3].Process.kill();
  EXPECT_TRUE(waitUntil([&] {
    return headerOf(TestFleet->call(0, "GET", "/orders/1"), "Btr-Refusal") ==
           "stale-configuration";
  }));
  EXPECT_TRUE(waitUntil([&] {
    return headerOf(TestFleet->call(1, "GET", "/orders/1"), "Btr-Run") ==
           "not-run";
  }));
  EXPECT_EQ(TestFleet->call(0, "GET", "/public/1").Response.Status, 200U);
  TestFleet->setPlatformFaults(
      {{"outage_data_centres", nlohmann::json::array()}});
  EXPECT_TRUE(waitUntil([&] {
    return TestFleet->call(0, "GET", "/orders/1").Response.Status == 200;
  }));
}

// Guards against a key staying unserved when its owner is killed during a
// platform outage.
TEST_F(FailureTest, KeyIsServedAgainDuringAPlatformOutage) {
  start();
  TestFleet->setPlatformFaults({{"outage", true}});
  const auto Owner = TestFleet->servedBy(0, "/content/doomed");
  ASSERT_FALSE(Owner.empty());
  TestFleet->Targets.at(Owner).Process.kill();
  const auto Killed = Clock::now();
  EXPECT_TRUE(waitUntil(
      [&] { return !TestFleet->servedBy(0, "/content/doomed").empty(); }));
  EXPECT_LE(secondsSince(Killed), 2.0);
  TestFleet->expectRunInvariants();
}

// Guards against keys staying unserved after an instance is killed, whether or
// not it was the leader.
TEST_F(FailureTest, KeysStayServedWhenAnInstanceIsKilled) {
  start();
  TestFleet->Instances[0].Process.kill();
  const auto Killed = Clock::now();
  EXPECT_TRUE(waitUntil([&] {
    for (int Key = 0; Key < 30; ++Key)
      if (TestFleet->servedBy(1, "/content/key-" + std::to_string(Key)).empty())
        return false;
    return true;
  }));
  EXPECT_LE(secondsSince(Killed), 2.0);
  TestFleet->expectRunInvariants();
}

// Guards against duplicated or lost orders: a non-idempotent request runs at
// most once, exactly once when acknowledged, and never when reported as
// not run.
TEST_F(FailureTest, NonIdempotentRequestRunsAtMostOnceWhenATargetIsKilled) {
  start();
  Traffic Load(8,
               keyedTraffic("orders", "POST", {{"X-Test-Service-Ms", "20"}}));
  ASSERT_TRUE(waitUntil([&] { return Load.succeeded() > 100; }));
  TestFleet->Targets.at("orders-a-1").Process.kill();
  const auto Before = Load.succeeded();
  EXPECT_TRUE(waitUntil([&] { return Load.succeeded() > Before + 200; }));
  const auto Log = Load.stop();
  SCOPED_TRACE(summary(Log));
  std::map<std::string, int> Counts;
  for (const auto &Run : TestFleet->runs())
    ++Counts[Run.Path];
  for (const auto &Entry : Log) {
    const auto Count = Counts[Entry.Path];
    EXPECT_LE(Count, 1) << Entry.Path;
    if (Entry.Outcome.Response.Status == 200) {
      EXPECT_EQ(Count, 1) << Entry.Path;
    }
    if (isReportedNotRun(Entry.Outcome)) {
      EXPECT_EQ(Count, 0) << Entry.Path << ' '
                          << headerOf(Entry.Outcome, "Btr-Refusal");
    }
  }
}

// Guards against an accepted configuration change or key withdrawal that does
// not reach every instance.
TEST_F(FailureTest, ConfigurationAndWithdrawalAreInForceWithinTwoSeconds) {
  start();
  ASSERT_EQ(
      TestFleet->call(2, "GET", "/orders/1", {{"X-Caller-Key", "key-two"}})
          .Response.Status,
      200U);
  TestFleet->Config["routes"]["added"] = {{"path_prefix", "/added"},
                                          {"service", "orders"}};
  TestFleet->Config["caller_keys"]["two"]["withdrawn"] = true;
  TestFleet->applyConfig();
  const auto Applied = Clock::now();
  for (std::size_t Index = 0; Index < TestFleet->Instances.size(); ++Index) {
    EXPECT_TRUE(waitUntil([&] {
      return TestFleet->generationInForce(Index) == TestFleet->Generation;
    }));
    EXPECT_TRUE(waitUntil([&] {
      return TestFleet->call(Index, "GET", "/added/1").Response.Status == 200;
    }));
    const auto Refused = TestFleet->call(Index, "GET", "/orders/1",
                                         {{"X-Caller-Key", "key-two"}});
    EXPECT_EQ(headerOf(Refused, "Btr-Refusal"), "withdrawn-caller-key");
  }
  EXPECT_LE(secondsSince(Applied), 2.0);
}

// Guards against a graceful stop that aborts requests in flight.
TEST_F(FailureTest, GracefulStopUnderTrafficAbortsNoRequest) {
  start();
  const auto Address = TestFleet->Instances[0].CallerAddress;
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
  TestFleet->Instances[0].Process.signal(SIGTERM);
  EXPECT_EQ(TestFleet->Instances[0].Process.waitForEnd(15s), 0);
  const auto Log = Load.stop();
  SCOPED_TRACE(summary(Log));
  for (const auto &Entry : Log)
    EXPECT_TRUE(Entry.Outcome.done() || isReportedNotRun(Entry.Outcome))
        << Entry.Path << ' ' << HttpPhaseNames.name(Entry.Outcome.Phase) << ' '
        << Entry.Outcome.Reason;
}

// Guards against requests that keep failing when the connections to a target
// no longer carry data.
TEST_F(FailureTest, UnresponsiveConnectionsToATargetAreReplaced) {
  start();
  const auto Owner = TestFleet->servedBy(0, "/content/key-1");
  ASSERT_FALSE(Owner.empty());
  Caller Control;
  Control.post(TestFleet->Targets.at(Owner).Address, "/faults",
               R"({"silence_connections":true})");
  const auto Silenced = Clock::now();
  EXPECT_TRUE(waitUntil(
      [&] { return !TestFleet->servedBy(0, "/content/key-1").empty(); }));
  EXPECT_LE(secondsSince(Silenced), 2.0);
  TestFleet->expectRunInvariants();
}

} // namespace
