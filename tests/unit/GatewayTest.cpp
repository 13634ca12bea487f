#include "support/GatewayFixture.h"

#include <gtest/gtest.h>

#include <atomic>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Socket = ScriptedTarget::Tcp::socket;

auto closing() -> ScriptedTarget::Script {
  return [](Socket &, const std::string &) { return false; };
}

/// Requests at a target but the pings of waitUntilServing().
auto requestsAt(const ScriptedTarget &Target) -> std::vector<std::string> {
  auto All = Target.requests();
  std::erase_if(All, [](const std::string &Request) {
    return GatewayPath::idOf(Request) == "ping" ||
           Request.starts_with("POST /v1/");
  });
  return All;
}

TEST(GatewayTest, RefusesAsNotRunBeforeTheFirstConfiguration) {
  GatewayPath Path;
  const auto View = Path.exchange("POST", "/unsafe/1");
  EXPECT_TRUE(View.has("HTTP/1.1 503")) << View.Bytes;
  EXPECT_TRUE(View.has("Retry-After: ")) << View.Bytes;
}

// The platform may change the settings file without a signal.
TEST(GatewayTest, ChangedSettingsFileIsReadWithoutASignal) {
  GatewayPath Path;
  EXPECT_EQ(Path.reloads(), 0);
  std::this_thread::sleep_for(50ms);
  Path.touchSettings();
  EXPECT_TRUE(eventually([&Path] { return Path.reloads() == 1; }));
}

// An instance that was cut off used to claim the lead with its first contact to
// the store, before the leader could be heard again.
TEST(GatewayTest, ReturningInstanceWaitsForTheLeaderBeforeItClaims) {
  GatewayPath Path;
  Path.configure(1);
  const auto Leader = [&Path] {
    const auto Object = Path.store().value("buckthornring", "leader");
    return Object ? Object->value("instance", "") : "";
  };
  ASSERT_TRUE(eventually([&] { return Leader() == "i1"; }));
  Path.store().set("buckthornring", "leader",
                   {{"instance", "other"},
                    {"process", "other-1"},
                    {"address", "127.0.0.1:1"}});
  std::this_thread::sleep_for(500ms);
  Path.store().setDown(true);
  // Longer than an instance that was replaced soon leaves the lead to others.
  std::this_thread::sleep_for(9s);
  const std::size_t Calls = Path.store().calls();
  Path.store().setDown(false);
  ASSERT_TRUE(eventually([&] { return Path.store().calls() > Calls; }));
  const auto Contact = std::chrono::steady_clock::now();
  ASSERT_TRUE(eventually([&] { return Leader() == "i1"; }));
  EXPECT_GE(std::chrono::steady_clock::now() - Contact, 450ms);
}

TEST(GatewayTest, SetsItsOwnFieldsAndStripsForgedOnes) {
  ScriptedTarget Target(GatewayPath::answering());
  GatewayPath Path;
  Path.addTarget("pay", "t1", Target);
  Path.configure(1);
  ASSERT_TRUE(Path.waitUntilServing());
  const auto View =
      Path.exchange("GET", "/safe/1?x=2",
                    "Tenant: other\r\nExpect-Instance: t9\r\n"
                    "Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 7\r\n");
  ASSERT_TRUE(View.has("HTTP/1.1 200")) << View.Bytes;
  EXPECT_TRUE(View.has("Response-Signature: s.a1"));
  ASSERT_EQ(requestsAt(Target).size(), 1U);
  const std::string Seen = requestsAt(Target).front();
  EXPECT_TRUE(Seen.starts_with("GET /safe/1?x=2 HTTP/1.1\r\nHost: h\r\n"))
      << Seen;
  EXPECT_NE(Seen.find("Tenant: acme\r\n"), std::string::npos) << Seen;
  EXPECT_NE(Seen.find("Expect-Instance: t1\r\n"), std::string::npos) << Seen;
  EXPECT_NE(Seen.find("X-Kept: 7\r\n"), std::string::npos) << Seen;
  for (const char *Stripped : {"secret", "other", "t9", "X-Hop"})
    EXPECT_EQ(Seen.find(Stripped), std::string::npos) << Seen;
  // The route's time-out of 1 s is shorter than the caller's deadline.
  const auto Deadline = Seen.find("Deadline-Ms: ");
  ASSERT_NE(Deadline, std::string::npos);
  EXPECT_LE(std::stoi(Seen.substr(Deadline + 13)), 1000);
}

TEST(GatewayTest, UnknownRouteAndKeyAreRefusedAndReachNoTarget) {
  ScriptedTarget Target(GatewayPath::answering());
  GatewayPath Path;
  Path.addTarget("pay", "t1", Target);
  Path.configure(1);
  ASSERT_TRUE(Path.waitUntilServing());
  EXPECT_TRUE(Path.exchange("GET", "/none/1").has("HTTP/1.1 404"));
  RawCaller Caller = Path.connect();
  Caller.send("GET /safe/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\n"
              "Api-Key: wrong\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(Caller.readAll().has("HTTP/1.1 401"));
  RawCaller Bad = Path.connect();
  Bad.send("GET /safe/1\r\n\r\n");
  EXPECT_TRUE(Bad.readAll().has("HTTP/1.1 400"));
  EXPECT_TRUE(requestsAt(Target).empty());
}

TEST(GatewayTest, UnsafeRequestIsSentOnceWhenItsConnectionIsLost) {
  ScriptedTarget First(closing());
  ScriptedTarget Second(closing());
  GatewayPath Path;
  Path.addTarget("pay", "t1", First);
  Path.addTarget("pay", "t2", Second);
  Path.configure(1);
  ASSERT_TRUE(eventually(
      [&] { return !Path.exchange("GET", "/none/1").has("HTTP/1.1 503"); }));
  const auto View = Path.exchange("POST", "/unsafe/1", "", "body");
  EXPECT_TRUE(View.has("HTTP/1.1 502")) << View.Bytes;
  EXPECT_EQ(requestsAt(First).size() + requestsAt(Second).size(), 1U);
}

TEST(GatewayTest, SafeRequestIsRepeatedAtAnotherTarget) {
  ScriptedTarget Broken(closing());
  ScriptedTarget Sound(GatewayPath::answering());
  GatewayPath Path;
  Path.addTarget("pay", "t1", Broken);
  Path.addTarget("pay", "t2", Sound);
  Path.configure(1);
  ASSERT_TRUE(Path.waitUntilServing());
  for (int Count = 0; Count < 4; ++Count)
    EXPECT_TRUE(Path.exchange("GET", "/safe/1").has("HTTP/1.1 200"));
}

// A hedge and a repeat after a failed answer once added up to a third target.
TEST(GatewayTest, RequestRunsOnNoMoreTargetsThanItsRouteAllows) {
  const auto Slow = [](Socket &To, const std::string &Request) {
    std::this_thread::sleep_for(90ms);
    return ScriptedTarget::send(
        To, GatewayPath::answer(GatewayPath::idOf(Request), "no", "", 500));
  };
  ScriptedTarget First(Slow);
  ScriptedTarget Second(Slow);
  ScriptedTarget Third(Slow);
  GatewayPath Path;
  Path.addTarget("pay", "t1", First);
  Path.addTarget("pay", "t2", Second);
  Path.addTarget("pay", "t3", Third);
  Path.configure(1);
  ASSERT_TRUE(eventually(
      [&] { return Path.exchange("GET", "/safe/0").has("HTTP/1.1 500"); }));
  std::map<std::string, int> Runs;
  for (int Count = 0; Count < 20; ++Count)
    Path.exchange("GET", "/safe/1", "", "", "r" + std::to_string(Count));
  for (const auto *Each : {&First, &Second, &Third})
    for (const std::string &Request : requestsAt(*Each))
      ++Runs[GatewayPath::idOf(Request)];
  for (const auto &[Id, Count] : Runs)
    EXPECT_LE(Count, 2) << Id;
}

TEST(GatewayTest, RejectionByAllTargetsIsReportedAsNotRun) {
  ScriptedTarget Full(GatewayPath::answering("", "Not-Executed: 1\r\n", 503));
  GatewayPath Path;
  Path.addTarget("pay", "t1", Full);
  Path.configure(1);
  ASSERT_TRUE(eventually([&] {
    return !Full.requests().empty() ||
           Path.exchange("POST", "/unsafe/0").has("Btr-Refusal: t");
  }));
  const auto View = Path.exchange("POST", "/unsafe/1", "", "body");
  EXPECT_TRUE(View.has("HTTP/1.1 503")) << View.Bytes;
  EXPECT_TRUE(View.has("Retry-After: ")) << View.Bytes;
  EXPECT_TRUE(View.has("Btr-Run: not-run")) << View.Bytes;
}

TEST(GatewayTest, SecondAnswerToAnEarlierRequestIsSkipped) {
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    const std::string Id = GatewayPath::idOf(Request);
    // The stray answer arrives together with the next one.
    const std::string Stray =
        Id == "a2" ? GatewayPath::answer("a1", "stray") : "";
    return ScriptedTarget::send(To,
                                Stray + GatewayPath::answer(Id, "for " + Id));
  });
  GatewayPath Path;
  Path.addTarget("pay", "t1", Target);
  Path.configure(1);
  ASSERT_TRUE(Path.waitUntilServing());
  EXPECT_TRUE(Path.exchange("GET", "/safe/1", "", "", "a1").has("for a1"));
  const auto View = Path.exchange("POST", "/unsafe/1", "", "x", "a2");
  EXPECT_TRUE(View.has("for a2")) << View.Bytes;
  EXPECT_FALSE(View.has("stray"));
}

TEST(GatewayTest, SuccessWithoutSignatureIsNotForwarded) {
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    const std::string Id = GatewayPath::idOf(Request);
    if (Id == "ping")
      return ScriptedTarget::send(To, GatewayPath::answer(Id, "ok"));
    return ScriptedTarget::send(To, "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id +
                                        "\r\nContent-Length: 2\r\n\r\nok");
  });
  GatewayPath Path;
  Path.addTarget("pay", "t1", Target);
  Path.configure(1);
  ASSERT_TRUE(Path.waitUntilServing());
  EXPECT_TRUE(Path.exchange("POST", "/unsafe/1").has("HTTP/1.1 502"));
}

TEST(GatewayTest, UnframedAnswerIsCompleteAtAnOrderlyEndOnly) {
  std::atomic<bool> Reset = false;
  ScriptedTarget Target([&Reset](Socket &To, const std::string &Request) {
    const std::string Id = GatewayPath::idOf(Request);
    if (Id == "ping")
      return ScriptedTarget::send(To, GatewayPath::answer(Id, "ok"));
    ScriptedTarget::send(To, "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id +
                                 "\r\nResponse-Signature: s\r\n\r\nwhole");
    if (Reset) {
      To.set_option(boost::asio::socket_base::linger(true, 0));
      To.close();
    }
    return false;
  });
  GatewayPath Path;
  Path.addTarget("pay", "t1", Target);
  Path.configure(1);
  ASSERT_TRUE(Path.waitUntilServing());
  EXPECT_TRUE(Path.exchange("POST", "/unsafe/1").has("whole"));
  Reset = true;
  const auto View = Path.exchange("POST", "/unsafe/2");
  EXPECT_TRUE(View.has("HTTP/1.1 502")) << View.Bytes;
}

TEST(GatewayTest, PipelinedRequestsAreAnsweredInTheirOrder) {
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    const std::string Id = GatewayPath::idOf(Request);
    if (Id == "p1")
      std::this_thread::sleep_for(80ms);
    return ScriptedTarget::send(To,
                                GatewayPath::answer(Id, "body-" + Id + ";"));
  });
  GatewayPath Path;
  Path.addTarget("pay", "t1", Target);
  Path.configure(1);
  ASSERT_TRUE(Path.waitUntilServing());
  RawCaller Caller = Path.connect();
  Caller.send(GatewayPath::request("GET", "/safe/1", "p1") +
              GatewayPath::request("GET", "/safe/2", "p2") +
              GatewayPath::request("GET", "/safe/3", "p3"));
  const auto View = Caller.readUntil("body-p3;");
  const auto First = View.Bytes.find("body-p1;");
  const auto Second = View.Bytes.find("body-p2;");
  const auto Third = View.Bytes.find("body-p3;");
  ASSERT_NE(Third, std::string::npos) << View.Bytes;
  EXPECT_LT(First, Second);
  EXPECT_LT(Second, Third);
  // The second did not wait for the first.
  const auto Seen = requestsAt(Target);
  EXPECT_EQ(Seen.size(), 3U);
}

TEST(GatewayTest, RouteTimeoutEndsTheRequestInDoubt) {
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    const std::string Id = GatewayPath::idOf(Request);
    if (Id != "ping")
      std::this_thread::sleep_for(1500ms);
    return ScriptedTarget::send(To, GatewayPath::answer(Id, "late"));
  });
  GatewayPath Path;
  Path.addTarget("pay", "t1", Target);
  Path.configure(1);
  ASSERT_TRUE(Path.waitUntilServing());
  const auto Begun = std::chrono::steady_clock::now();
  const auto View = Path.exchange("POST", "/unsafe/1");
  EXPECT_TRUE(View.has("HTTP/1.1 504")) << View.Bytes;
  EXPECT_LT(std::chrono::steady_clock::now() - Begun, 1250ms);
}

TEST(GatewayTest, WorkOfALeavingCallerIsWithdrawn) {
  std::atomic<bool> Closed = false;
  ScriptedTarget Target([&Closed](Socket &To, const std::string &Request) {
    const std::string Id = GatewayPath::idOf(Request);
    if (Id == "ping")
      return ScriptedTarget::send(To, GatewayPath::answer(Id, "ok"));
    char Byte = 0;
    boost::system::error_code Failure;
    To.read_some(boost::asio::buffer(&Byte, 1), Failure);
    Closed = static_cast<bool>(Failure);
    return false;
  });
  GatewayPath Path;
  Path.addTarget("pay", "t1", Target);
  Path.configure(1);
  ASSERT_TRUE(Path.waitUntilServing());
  RawCaller Caller = Path.connect();
  Caller.send(GatewayPath::request("GET", "/safe/1", "gone"));
  ASSERT_TRUE(eventually([&] { return !requestsAt(Target).empty(); }));
  Caller.close();
  EXPECT_TRUE(eventually([&] { return Closed.load(); }));
}

TEST(GatewayTest, NewerConfigurationHoldsAndOlderOrGarbledOnesDoNot) {
  ScriptedTarget Pay(GatewayPath::answering("from pay"));
  ScriptedTarget Other(GatewayPath::answering("from other"));
  GatewayPath Path;
  Path.addTarget("pay", "t1", Pay);
  Path.addTarget("other", "t2", Other);
  Path.configure(5);
  ASSERT_TRUE(Path.waitUntilServing());
  const auto Served = [&](const char *Body) {
    return eventually(
        [&] { return Path.exchange("GET", "/safe/1").has(Body); });
  };
  EXPECT_TRUE(Served("from pay"));
  Path.configure(9, "other");
  EXPECT_TRUE(Served("from other"));
  Path.store().set("config", "main", {{"version", "r20"}, {"clusters", 7}});
  Path.configure(8, "pay");
  std::this_thread::sleep_for(400ms);
  EXPECT_TRUE(Path.exchange("GET", "/safe/1").has("from other"));
  Path.configure(21, "pay");
  EXPECT_TRUE(Served("from pay"));
}

TEST(GatewayTest, DrainingAndRemovedTargetsGetNoNewRequests) {
  ScriptedTarget First(GatewayPath::answering());
  ScriptedTarget Second(GatewayPath::answering());
  GatewayPath Path;
  Path.addTarget("pay", "t1", First);
  Path.configure(1);
  ASSERT_TRUE(Path.waitUntilServing());
  Path.addTarget("pay", "t2", Second);
  Path.addTarget("pay", "t1", First, "draining", 2);
  std::this_thread::sleep_for(400ms);
  const std::size_t Before = First.requests().size();
  for (int Count = 0; Count < 5; ++Count)
    EXPECT_TRUE(Path.exchange("GET", "/safe/1").has("HTTP/1.1 200"));
  EXPECT_EQ(First.requests().size(), Before);
  Path.store().remove("servers", "t2");
  std::this_thread::sleep_for(400ms);
  EXPECT_TRUE(Path.exchange("GET", "/safe/1").has("HTTP/1.1 503"));
}

TEST(GatewayTest, LostHistoryIsReadAnewAndForeignRecordsAreIgnored) {
  ScriptedTarget Pay(GatewayPath::answering());
  ScriptedTarget Gone(GatewayPath::answering("gone"));
  GatewayPath Path;
  Path.addTarget("pay", "t1", Pay);
  Path.addTarget("pay", "t2", Gone);
  Path.configure(1);
  ASSERT_TRUE(Path.waitUntilServing());
  Path.store().setDown(true);
  Path.store().remove("servers", "t2");
  Path.store().set("servers", "t3", {{"service", 5}, {"state", "ready"}});
  Path.store().set("servers", "t4", "bytes");
  Path.store().dropHistory();
  Path.store().setDown(false);
  EXPECT_TRUE(eventually([&] {
    for (int Count = 0; Count < 8; ++Count)
      if (!Path.exchange("GET", "/safe/1").has("\r\n\r\nok"))
        return false;
    return true;
  }));
}

TEST(GatewayTest, OwnedKeysAreRecordedBeforeTheyAreGranted) {
  std::atomic<bool> RecordedFirst = false;
  std::atomic<int> Grants = 0;
  GatewayPath Path;
  ScriptedTarget Owner([&](Socket &To, const std::string &Request) {
    if (!Request.starts_with("POST /v1/grant"))
      return ScriptedTarget::send(
          To, GatewayPath::answer(GatewayPath::idOf(Request), "owned"));
    if (Grants == 0)
      RecordedFirst =
          Path.store().value("buckthornring", "ranges.stock").has_value();
    ++Grants;
    return ScriptedTarget::send(To,
                                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  Path.addTarget("stock", "o1", Owner);
  Path.configure(1);
  EXPECT_TRUE(eventually([&] {
    return Path.exchange("GET", "/owned/1", "Shard-Key: 4711\r\n").has("owned");
  }));
  // The scripted owner answers requests without looking at grants.
  ASSERT_TRUE(eventually([&] { return Grants >= 1; }));
  EXPECT_TRUE(RecordedFirst);
  EXPECT_TRUE(Path.exchange("GET", "/owned/1").has("HTTP/1.1 400"));
  // The grant is renewed while the target lives.
  EXPECT_TRUE(eventually([&] { return Grants >= 3; }));
}

// A renewal once reached another target that had taken over the address.
TEST(GatewayTest, OrdersNameTheirTargetAndPauseAfterItEndsAConnection) {
  std::atomic<int> Grants = 0;
  std::atomic<bool> End = false;
  std::atomic<std::int64_t> EndedAt = 0;
  std::atomic<std::int64_t> NextAt = 0;
  const auto NowMs = [] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  };
  GatewayPath Path;
  ScriptedTarget Owner([&](Socket &To, const std::string &Request) {
    if (!Request.starts_with("POST /v1/grant"))
      return true;
    ++Grants;
    if (EndedAt != 0 && NextAt == 0)
      NextAt = NowMs();
    if (End.exchange(false)) {
      EndedAt = NowMs();
      return false;
    }
    return ScriptedTarget::send(To,
                                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  Path.addTarget("stock", "o1", Owner);
  Path.configure(1);
  ASSERT_TRUE(eventually([&] { return Grants >= 1; }));
  EXPECT_NE(Owner.requests().front().find("Expect-Instance: o1\r\n"),
            std::string::npos);
  End = true;
  ASSERT_TRUE(eventually([&] { return NextAt != 0; }));
  EXPECT_GE(NextAt - EndedAt, 1000);
}

} // namespace
