#include "Caller.h"
#include "ChildProcess.h"

#include "buckthornring/Ownership/LeaseMessage.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

struct TargetTest : testing::Test {
  auto start(std::vector<std::string> Arguments) -> void {
    Arguments.insert(Arguments.end(), {"--name", "t1", "--max-seconds", "60"});
    Target.emplace("standin_target", std::move(Arguments));
    Address = Target->waitForLine("listening ");
  }

  auto send(LeaseMessage Message) -> LeaseReply {
    Message.Target = TargetId("t1");
    const auto Outcome =
        Control.post(Address, "/control/lease", leaseMessageText(Message));
    auto Reply = parseLeaseReply(Outcome.Response.Body);
    EXPECT_TRUE(Reply) << Outcome.Response.Body;
    return Reply ? Reply.value() : LeaseReply{};
  }

  /// Grants slice 7 at epoch Term.1 for \p Lease from now.
  auto grant(std::uint64_t Term, Duration Lease) -> LeaseReply {
    LeaseMessage Message;
    Message.Term = Term;
    const auto TermReply = send(Message);
    Message.Sequence = 1;
    Message.Start = TermReply.Start;
    Message.ClockUs = TermReply.ClockUs;
    Message.LeaseUs = Lease.count();
    Message.Grant = {{7, {Term, 1}}};
    Message.Report = true;
    return send(Message);
  }

  auto request(const std::string &Epoch, HttpHeaders Headers = {})
      -> HttpOutcome {
    Headers.add("Btr-Request-Id", "r" + std::to_string(++Requests));
    Headers.add("Btr-Workspace", "w1");
    Headers.add("Btr-Slice", "7");
    Headers.add("Btr-Epoch", Epoch);
    return Control.get(Address, "/any/path", std::move(Headers));
  }

  auto refusal(const std::string &Epoch) -> std::string {
    const auto Outcome = request(Epoch);
    return std::string(
        Outcome.Response.Headers.find("Btr-Refusal").value_or("none"));
  }

  std::optional<ChildProcess> Target;
  Caller Control;
  std::string Address;
  int Requests = 0;
};

// Guards against a verified target that runs requests without a lease or with a
// stale epoch.
TEST_F(TargetTest, VerifiedTargetRunsOnlyTheEpochItHolds) {
  start({"--verified"});
  EXPECT_EQ(refusal("1.1"), "no-lease");
  const auto Reply = grant(1, 10s);
  ASSERT_EQ(Reply.Held.size(), 1U);
  EXPECT_EQ(Reply.Applied, 1U);
  EXPECT_EQ(refusal("0.9"), "stale-epoch");
  const auto Outcome = request("1.1");
  EXPECT_EQ(Outcome.Response.Status, 200U);
  EXPECT_EQ(Outcome.Response.Headers.find("Btr-Epoch"), "1.1");
  const auto Runs = Control.fetchJson(Address, "/runs");
  ASSERT_EQ(Runs["runs"].size(), 1U);
  EXPECT_EQ(Runs["runs"][0]["workspace"], "w1");
}

// Guards against an old leader moving slices after a new one has announced its
// term.
TEST_F(TargetTest, LowerTermIsRefused) {
  start({"--verified"});
  grant(2, 10s);
  LeaseMessage OldLeaderMessage;
  OldLeaderMessage.Term = 1;
  const auto Reply = send(OldLeaderMessage);
  EXPECT_EQ(Reply.Refusal, LeaseRefusal::StaleTerm);
  EXPECT_EQ(Reply.Term, 2U);
  EXPECT_EQ(refusal("2.1"), "none");
}

// Guards against a renewal that reinstates grants after the lease has ended.
TEST_F(TargetTest, ExpiredLeaseIsNotRenewed) {
  start({"--verified"});
  const auto Granted = grant(1, 50ms);
  ASSERT_TRUE(waitUntil([&] { return refusal("1.1") == "no-lease"; }, 5s));
  LeaseMessage Renewal;
  Renewal.Term = 1;
  Renewal.Sequence = 2;
  Renewal.Start = Granted.Start;
  Renewal.ClockUs = Granted.ClockUs;
  Renewal.LeaseUs = 60'000'000;
  EXPECT_EQ(send(Renewal).Lapses, Granted.Lapses + 1);
  EXPECT_EQ(refusal("1.1"), "no-lease");
}

// Guards against a delayed grant that takes effect after the leader has learned
// of a lapse from the reply to a later message.
TEST_F(TargetTest, GrantOlderThanAnAnnouncementIsNotApplied) {
  start({"--verified"});
  LeaseMessage LateGrant;
  LateGrant.Term = 1;
  const auto TermReply = send(LateGrant);
  LateGrant.Sequence = 1;
  LateGrant.Start = TermReply.Start;
  LateGrant.ClockUs = TermReply.ClockUs;
  LateGrant.LeaseUs = 10'000'000;
  LateGrant.Grant = {{7, {1, 1}}};
  LeaseMessage Announcement;
  Announcement.Term = 1;
  Announcement.Sequence = 2;
  Announcement.Start = TermReply.Start;
  send(Announcement);
  EXPECT_EQ(send(LateGrant).Applied, 0U);
  EXPECT_EQ(refusal("1.1"), "no-lease");
}

// Guards against queued requests that run after a pause longer than the lease.
TEST_F(TargetTest, GrantIsCheckedAgainAfterAPause) {
  start({"--verified", "--slots", "1"});
  grant(1, 400ms);
  std::vector<std::string> Refusals(2);
  std::vector<std::thread> Threads;
  Threads.reserve(Refusals.size());
  for (auto &Refusal : Refusals)
    Threads.emplace_back([this, &Refusal] {
      Caller Client;
      const auto Outcome = Client.get(Address, "/queued",
                                      {{"Btr-Slice", "7"},
                                       {"Btr-Epoch", "1.1"},
                                       {"X-Test-Service-Ms", "100"}});
      Refusal = Outcome.Response.Headers.find("Btr-Refusal").value_or("none");
    });
  ASSERT_TRUE(waitUntil([&] {
    return Control.fetchJson(Address, "/control/load").value("queued", 0) == 1;
  }));
  Target->signal(SIGSTOP);
  std::this_thread::sleep_for(600ms); // Longer than the lease.
  Target->signal(SIGCONT);
  for (auto &Thread : Threads)
    Thread.join();
  std::sort(Refusals.begin(), Refusals.end());
  EXPECT_EQ(Refusals, (std::vector<std::string>{"no-lease", "none"}));
}

// Guards against a release after which the old owner still accepts requests, or
// that reports the slice as free while a request still runs.
TEST_F(TargetTest, ReleaseRefusesNewWorkAndReportsRunningSlices) {
  start({"--verified"});
  const auto Granted = grant(1, 10s);
  std::thread Slow([this] {
    Caller Client;
    Client.get(Address, "/slow",
               {{"Btr-Slice", "7"},
                {"Btr-Epoch", "1.1"},
                {"X-Test-Service-Ms", "200"}});
  });
  ASSERT_TRUE(waitUntil([&] {
    return Control.fetchJson(Address, "/control/load").value("in_flight", 0) ==
           1;
  }));
  LeaseMessage Release;
  Release.Term = 1;
  Release.Sequence = 2;
  Release.Start = Granted.Start;
  Release.ClockUs = Granted.ClockUs;
  Release.LeaseUs = 10'000'000;
  Release.Release = {{7, {1, 1}}};
  const auto Reply = send(Release);
  EXPECT_EQ(Reply.Applied, 2U);
  EXPECT_EQ(Reply.Running, (std::vector<std::uint32_t>{7}));
  EXPECT_EQ(refusal("1.1"), "no-lease");
  Slow.join();
  EXPECT_TRUE(send(Release).Running.empty());
}

// Guards against a stand-in target that accepts any load while cold, which
// would hide cold-start faults of the router.
TEST_F(TargetTest, ColdTargetShedsLoad) {
  start({"--cold-ms", "1000", "--service-us", "20000"});
  std::vector<std::thread> Threads;
  std::atomic<int> Shed = 0;
  Threads.reserve(4);
  for (int I = 0; I < 4; ++I)
    Threads.emplace_back([this, &Shed] {
      Caller Client;
      if (Client.get(Address, "/").Response.Status == 503)
        ++Shed;
    });
  for (auto &Thread : Threads)
    Thread.join();
  EXPECT_GE(Shed, 1);
  EXPECT_GE(Control.fetchJson(Address, "/runs")["cold_overloads"], 1);
  ASSERT_TRUE(waitUntil([&] {
    return !Control.fetchJson(Address, "/control/health").value("cold", true);
  }));
}

// Guards against a cancelled request that keeps running.
TEST_F(TargetTest, CancelledRequestIsAborted) {
  start({});
  std::thread Slow([this] {
    Caller Client;
    const auto Outcome =
        Client.get(Address, "/slow",
                   {{"Btr-Request-Id", "slow"}, {"X-Test-Service-Ms", "5000"}});
    EXPECT_FALSE(Outcome.done());
  });
  ASSERT_TRUE(waitUntil([&] {
    return Control.fetchJson(Address, "/control/load").value("in_flight", 0) ==
           1;
  }));
  EXPECT_EQ(Control.postJson(Address, "/control/cancel",
                             {{"request_id", "slow"}})["cancelled"],
            "running");
  Slow.join();
  EXPECT_EQ(Control.fetchJson(Address, "/runs")["runs"][0]["cancelled"], true);
}

// Guards against the connection limit being ignored.
TEST_F(TargetTest, ConnectionsAboveTheLimitAreClosed) {
  start({"--connections", "2"});
  std::vector<std::unique_ptr<Caller>> Callers;
  int Served = 0;
  for (int I = 0; I < 4; ++I) {
    Callers.push_back(std::make_unique<Caller>());
    Served += Callers.back()->get(Address, "/").done() ? 1 : 0;
  }
  EXPECT_EQ(Served, 2);
}

// Guards against fault switches of the stand-in target that have no effect.
TEST_F(TargetTest, InjectedFaultsTakeEffect) {
  start({});
  const auto SetFaults = [this](const Caller::Json &Faults) {
    EXPECT_EQ(Control.post(Address, "/faults", Faults.dump()).Response.Status,
              200U);
  };
  const auto Before = Control.fetchJson(Address, "/control/health")["start"];
  SetFaults({{"wrong_load", 99}, {"wrong_state", "draining"}});
  EXPECT_EQ(Control.fetchJson(Address, "/control/load")["in_flight"], 99);
  EXPECT_EQ(Control.fetchJson(Address, "/control/health")["state"], "draining");
  SetFaults({{"freeze_ms", 300}});
  ASSERT_TRUE(waitUntil([&] {
    Caller Client;
    return Client.send(Address, {"GET", "/", {}, {}}, 50ms).TimedOut;
  }));
  EXPECT_TRUE(Control.get(Address, "/").done());
  SetFaults({{"cold_restart", true}});
  ASSERT_TRUE(waitUntil([&] {
    const auto Health = Control.fetchJson(Address, "/control/health");
    return Health.is_object() && Health["start"] != Before;
  }));
  const auto Cut = Control.get(Address, "/", {{"X-Test-Cut-Bytes", "5"}});
  EXPECT_EQ(Cut.Phase, HttpPhase::Receiving);
}

} // namespace
