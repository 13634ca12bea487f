#include "Gateway/OrderSender.h"
#include "Gateway/TargetConnection.h"
#include "HeaderFields.h"
#include "IO/BootClock.h"
#include "IO/Endpoint.h"
#include "Records.h"
#include "support/EndlessResponses.h"
#include "support/GatewayFixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Socket = ScriptedTarget::Tcp::socket;

auto closingWithoutResponse() -> ScriptedTarget::Script {
  return [](Socket &, const std::string &) { return false; };
}

/// Requests at a target, except orders and the pings of waitUntilServing().
auto requestsAt(const ScriptedTarget &Target) -> std::vector<std::string> {
  auto All = Target.requests();
  std::erase_if(All, [](const std::string &Request) {
    return GatewayFixture::requestId(Request) == "ping" ||
           Request.starts_with("POST /v1/");
  });
  return All;
}

TEST(GatewayTest, RefusesRequestsBeforeTheFirstConfiguration) {
  GatewayFixture Fixture;
  const auto View = Fixture.exchange("POST", "/unsafe/1");
  EXPECT_TRUE(View.has("HTTP/1.1 503")) << View.Bytes;
  EXPECT_TRUE(View.has("Retry-After: ")) << View.Bytes;
}

// Guards against closing open connections at the idle limit of an earlier
// configuration.
TEST(GatewayTest, OpenConnectionsFollowTheIdleLimit) {
  GatewayFixture Fixture;
  ScriptedTarget Target(GatewayFixture::answering());
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1, "pay", 1.0);
  ASSERT_TRUE(Fixture.waitUntilServing());
  RawCaller Caller = Fixture.connect();
  Caller.send(GatewayFixture::request("GET", "/safe/1", "a1"));
  ASSERT_TRUE(Caller.readUntil("ok").has(" 200 "));
  Fixture.configure(2, "pay", 5.0);
  std::this_thread::sleep_for(2s);
  Caller.send(GatewayFixture::request("GET", "/safe/2", "a2"));
  EXPECT_TRUE(Caller.readUntil("ok").has(" 200 "));
}

// Guards against breaking off a request, or closing its connection, because a
// configuration changes its route and shortens the limits.
TEST(GatewayTest, ConfigurationChangeKeepsARequestInProgress) {
  GatewayFixture Fixture;
  ScriptedTarget Target([](Socket &Connection, const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    if (Id != "ping")
      std::this_thread::sleep_for(500ms);
    boost::asio::write(Connection,
                       boost::asio::buffer(GatewayFixture::response(Id, "ok")));
    return true;
  });
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  RawCaller Caller = Fixture.connect();
  Caller.send(GatewayFixture::request("GET", "/safe/1", "a1"));
  ASSERT_TRUE(eventually([&] { return requestsAt(Target).size() == 1; }));
  Fixture.configure(2, "other", 0.2);
  EXPECT_TRUE(Caller.readUntil("ok").has(" 200 "));
  Caller.send(GatewayFixture::request("GET", "/unsafe/2", "a2"));
  EXPECT_TRUE(Caller.readUntil("ok").has(" 200 "));
}

// Guards against deadlines that overflow and count as passed.
TEST(GatewayTest, LargestDeadlineDoesNotOverflow) {
  GatewayFixture Fixture;
  ScriptedTarget Target(GatewayFixture::answering());
  Fixture.addTarget("pay", "p1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  for (const char *Milliseconds :
       {"9223372036854775807", "9223372036854776", "18446744073709551615"}) {
    RawCaller Caller = Fixture.connect();
    Caller.send("GET /safe/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n"
                "Api-Key: secret\r\nConnection: close\r\nDeadline-Ms: " +
                std::string(Milliseconds) + "\r\n\r\n");
    const auto View = Caller.readAll();
    EXPECT_TRUE(View.has("HTTP/1.1 200")) << Milliseconds << View.Bytes;
  }
}

// The platform may change the settings file without a signal.
TEST(GatewayTest, ChangedSettingsFileIsReadWithoutASignal) {
  GatewayFixture Fixture;
  EXPECT_EQ(Fixture.reloads(), 0);
  std::this_thread::sleep_for(50ms);
  Fixture.touchSettings();
  EXPECT_TRUE(eventually([&Fixture] { return Fixture.reloads() == 1; }));
}

// Guards against an instance that claims leadership at its first contact with
// the store after an outage, before it can hear from the leader again.
TEST(GatewayTest,
     ReconnectedInstanceWaitsForTheLeaderBeforeClaimingLeadership) {
  GatewayFixture Fixture;
  Fixture.configure(1);
  const auto Leader = [&Fixture] {
    const auto Object = Fixture.store().value("buckthornring", "leader");
    return Object ? Object->value("instance", "") : "";
  };
  ASSERT_TRUE(eventually([&] { return Leader() == "i1"; }));
  Fixture.store().set("buckthornring", "leader",
                      {{"instance", "other"},
                       {"process", "other-1"},
                       {"address", "127.0.0.1:1"}});
  std::this_thread::sleep_for(500ms);
  Fixture.store().setDown(true);
  // Longer than the 8 s for which an instance that was replaced soon after its
  // claim makes no other claim.
  std::this_thread::sleep_for(9s);
  const std::size_t Calls = Fixture.store().calls();
  Fixture.store().setDown(false);
  ASSERT_TRUE(eventually([&] { return Fixture.store().calls() > Calls; }));
  const auto Contact = std::chrono::steady_clock::now();
  ASSERT_TRUE(eventually([&] { return Leader() == "i1"; }));
  EXPECT_GE(std::chrono::steady_clock::now() - Contact, 450ms);
}

TEST(GatewayTest, SetsRouterHeadersAndStripsForgedOnes) {
  ScriptedTarget Target(GatewayFixture::answering());
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  const auto View =
      Fixture.exchange("GET", "/safe/1?x=2",
                       "Tenant: other\r\nExpect-Instance: t9\r\n"
                       "Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 7\r\n");
  ASSERT_TRUE(View.has("HTTP/1.1 200")) << View.Bytes;
  EXPECT_TRUE(View.has("Response-Signature: s.a1"));
  ASSERT_EQ(requestsAt(Target).size(), 1U);
  const std::string Received = requestsAt(Target).front();
  EXPECT_TRUE(Received.starts_with("GET /safe/1?x=2 HTTP/1.1\r\nHost: h\r\n"))
      << Received;
  EXPECT_NE(Received.find("Tenant: acme\r\n"), std::string::npos) << Received;
  EXPECT_NE(Received.find("Expect-Instance: t1\r\n"), std::string::npos)
      << Received;
  EXPECT_NE(Received.find("X-Kept: 7\r\n"), std::string::npos) << Received;
  for (const char *Stripped : {"secret", "other", "t9", "X-Hop"})
    EXPECT_EQ(Received.find(Stripped), std::string::npos) << Received;
  // The route's time-out of 1 s is shorter than the caller's deadline.
  const auto Deadline = Received.find("Deadline-Ms: ");
  ASSERT_NE(Deadline, std::string::npos);
  EXPECT_LE(std::stoi(Received.substr(Deadline + 13)), 1000);
}

TEST(GatewayTest, UnknownRouteAndKeyAreRefusedAndReachNoTarget) {
  ScriptedTarget Target(GatewayFixture::answering());
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  EXPECT_TRUE(Fixture.exchange("GET", "/none/1").has("HTTP/1.1 404"));
  RawCaller Caller = Fixture.connect();
  Caller.send("GET /safe/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\n"
              "Api-Key: wrong\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(Caller.readAll().has("HTTP/1.1 401"));
  RawCaller Bad = Fixture.connect();
  Bad.send("GET /safe/1\r\n\r\n");
  EXPECT_TRUE(Bad.readAll().has("HTTP/1.1 400"));
  EXPECT_TRUE(requestsAt(Target).empty());
}

TEST(GatewayTest, UnsafeRequestIsSentOnceWhenItsConnectionIsLost) {
  ScriptedTarget First(closingWithoutResponse());
  ScriptedTarget Second(closingWithoutResponse());
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", First);
  Fixture.addTarget("pay", "t2", Second);
  Fixture.configure(1);
  ASSERT_TRUE(eventually(
      [&] { return !Fixture.exchange("GET", "/none/1").has("HTTP/1.1 503"); }));
  const auto View = Fixture.exchange("POST", "/unsafe/1", "", "body");
  EXPECT_TRUE(View.has("HTTP/1.1 502")) << View.Bytes;
  EXPECT_EQ(requestsAt(First).size() + requestsAt(Second).size(), 1U);
}

TEST(GatewayTest, SafeRequestIsRetriedOnAnotherTarget) {
  ScriptedTarget Broken(closingWithoutResponse());
  ScriptedTarget Sound(GatewayFixture::answering());
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Broken);
  Fixture.addTarget("pay", "t2", Sound);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  for (int Count = 0; Count < 4; ++Count)
    EXPECT_TRUE(Fixture.exchange("GET", "/safe/1").has("HTTP/1.1 200"));
}

// Guards against a hedge and a retry after a failed response that together
// reach a third target.
TEST(GatewayTest, RequestIsSentToNoMoreTargetsThanMaxAttempts) {
  const auto Slow = [](Socket &To, const std::string &Request) {
    std::this_thread::sleep_for(90ms);
    return ScriptedTarget::send(
        To, GatewayFixture::response(GatewayFixture::requestId(Request), "no",
                                     "", 500));
  };
  ScriptedTarget First(Slow);
  ScriptedTarget Second(Slow);
  ScriptedTarget Third(Slow);
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", First);
  Fixture.addTarget("pay", "t2", Second);
  Fixture.addTarget("pay", "t3", Third);
  Fixture.configure(1);
  ASSERT_TRUE(eventually(
      [&] { return Fixture.exchange("GET", "/safe/0").has("HTTP/1.1 500"); }));
  std::map<std::string, int> Runs;
  for (int Count = 0; Count < 20; ++Count)
    Fixture.exchange("GET", "/safe/1", "", "", "r" + std::to_string(Count));
  for (const auto *Target : {&First, &Second, &Third})
    for (const std::string &Request : requestsAt(*Target))
      ++Runs[GatewayFixture::requestId(Request)];
  for (const auto &[Id, Count] : Runs)
    EXPECT_LE(Count, 2) << Id;
}

TEST(GatewayTest, RejectionByAllTargetsIsReportedAsNotRun) {
  ScriptedTarget Full(
      GatewayFixture::answering("", "Not-Executed: 1\r\n", 503));
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Full);
  Fixture.configure(1);
  ASSERT_TRUE(eventually([&] {
    return !Full.requests().empty() ||
           Fixture.exchange("POST", "/unsafe/0").has("Btr-Refusal: t");
  }));
  const auto View = Fixture.exchange("POST", "/unsafe/1", "", "body");
  EXPECT_TRUE(View.has("HTTP/1.1 503")) << View.Bytes;
  EXPECT_TRUE(View.has("Retry-After: ")) << View.Bytes;
  EXPECT_TRUE(View.has("Btr-Run: not-run")) << View.Bytes;
}

TEST(GatewayTest, DuplicateResponseToAnEarlierRequestIsSkipped) {
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    // The duplicate response arrives together with the next one.
    const std::string Duplicate =
        Id == "a2" ? GatewayFixture::response("a1", "stray") : "";
    return ScriptedTarget::send(
        To, Duplicate + GatewayFixture::response(Id, "for " + Id));
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  EXPECT_TRUE(Fixture.exchange("GET", "/safe/1", "", "", "a1").has("for a1"));
  const auto View = Fixture.exchange("POST", "/unsafe/1", "", "x", "a2");
  EXPECT_TRUE(View.has("for a2")) << View.Bytes;
  EXPECT_FALSE(View.has("stray"));
}

TEST(GatewayTest, SuccessWithoutSignatureIsNotForwarded) {
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    if (Id == "ping")
      return ScriptedTarget::send(To, GatewayFixture::response(Id, "ok"));
    return ScriptedTarget::send(To, "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id +
                                        "\r\nContent-Length: 2\r\n\r\nok");
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  EXPECT_TRUE(Fixture.exchange("POST", "/unsafe/1").has("HTTP/1.1 502"));
}

TEST(GatewayTest, UnframedResponseIsCompleteOnlyAfterAnOrderlyClose) {
  std::atomic<bool> Reset = false;
  ScriptedTarget Target([&Reset](Socket &To, const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    if (Id == "ping")
      return ScriptedTarget::send(To, GatewayFixture::response(Id, "ok"));
    ScriptedTarget::send(To, "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id +
                                 "\r\nResponse-Signature: s\r\n\r\nwhole");
    if (Reset) {
      To.set_option(boost::asio::socket_base::linger(true, 0));
      To.close();
    }
    return false;
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  EXPECT_TRUE(Fixture.exchange("POST", "/unsafe/1").has("whole"));
  Reset = true;
  const auto View = Fixture.exchange("POST", "/unsafe/2");
  EXPECT_TRUE(View.has("HTTP/1.1 502")) << View.Bytes;
}

TEST(GatewayTest, PipelinedRequestsAreAnsweredInOrder) {
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    if (Id == "p1")
      std::this_thread::sleep_for(80ms);
    return ScriptedTarget::send(
        To, GatewayFixture::response(Id, "body-" + Id + ";"));
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  RawCaller Caller = Fixture.connect();
  Caller.send(GatewayFixture::request("GET", "/safe/1", "p1") +
              GatewayFixture::request("GET", "/safe/2", "p2") +
              GatewayFixture::request("GET", "/safe/3", "p3"));
  const auto View = Caller.readUntil("body-p3;");
  const auto First = View.Bytes.find("body-p1;");
  const auto Second = View.Bytes.find("body-p2;");
  const auto Third = View.Bytes.find("body-p3;");
  ASSERT_NE(Third, std::string::npos) << View.Bytes;
  EXPECT_LT(First, Second);
  EXPECT_LT(Second, Third);
  // All three requests have reached the target.
  const auto Received = requestsAt(Target);
  EXPECT_EQ(Received.size(), 3U);
}

TEST(GatewayTest, RouteTimeoutIsReportedAsGatewayTimeout) {
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    if (Id != "ping")
      std::this_thread::sleep_for(1500ms);
    return ScriptedTarget::send(To, GatewayFixture::response(Id, "late"));
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  const auto StartedAt = std::chrono::steady_clock::now();
  const auto View = Fixture.exchange("POST", "/unsafe/1");
  EXPECT_TRUE(View.has("HTTP/1.1 504")) << View.Bytes;
  EXPECT_LT(std::chrono::steady_clock::now() - StartedAt, 1250ms);
}

TEST(GatewayTest, DisconnectOfTheCallerClosesTheTargetConnection) {
  std::atomic<bool> Closed = false;
  ScriptedTarget Target([&Closed](Socket &To, const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    if (Id == "ping")
      return ScriptedTarget::send(To, GatewayFixture::response(Id, "ok"));
    char Byte = 0;
    boost::system::error_code Failure;
    To.read_some(boost::asio::buffer(&Byte, 1), Failure);
    Closed = static_cast<bool>(Failure);
    return false;
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  RawCaller Caller = Fixture.connect();
  Caller.send(GatewayFixture::request("GET", "/safe/1", "gone"));
  ASSERT_TRUE(eventually([&] { return !requestsAt(Target).empty(); }));
  Caller.close();
  EXPECT_TRUE(eventually([&] { return Closed.load(); }));
}

TEST(GatewayTest,
     NewerConfigurationIsAppliedAndOlderOrMalformedOnesAreIgnored) {
  ScriptedTarget Pay(GatewayFixture::answering("from pay"));
  ScriptedTarget Other(GatewayFixture::answering("from other"));
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Pay);
  Fixture.addTarget("other", "t2", Other);
  Fixture.configure(5);
  ASSERT_TRUE(Fixture.waitUntilServing());
  const auto Served = [&](const char *Body) {
    return eventually(
        [&] { return Fixture.exchange("GET", "/safe/1").has(Body); });
  };
  EXPECT_TRUE(Served("from pay"));
  Fixture.configure(9, "other");
  EXPECT_TRUE(Served("from other"));
  Fixture.store().set("config", "main", {{"version", "r20"}, {"clusters", 7}});
  Fixture.configure(8, "pay");
  std::this_thread::sleep_for(400ms);
  EXPECT_TRUE(Fixture.exchange("GET", "/safe/1").has("from other"));
  Fixture.configure(21, "pay");
  EXPECT_TRUE(Served("from pay"));
}

TEST(GatewayTest, DrainingAndRemovedTargetsGetNoNewRequests) {
  ScriptedTarget First(GatewayFixture::answering());
  ScriptedTarget Second(GatewayFixture::answering());
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", First);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  Fixture.addTarget("pay", "t2", Second);
  Fixture.addTarget("pay", "t1", First, "draining", 2);
  std::this_thread::sleep_for(400ms);
  const std::size_t Before = First.requests().size();
  for (int Count = 0; Count < 5; ++Count)
    EXPECT_TRUE(Fixture.exchange("GET", "/safe/1").has("HTTP/1.1 200"));
  EXPECT_EQ(First.requests().size(), Before);
  Fixture.store().remove("servers", "t2");
  std::this_thread::sleep_for(400ms);
  EXPECT_TRUE(Fixture.exchange("GET", "/safe/1").has("HTTP/1.1 503"));
}

TEST(GatewayTest, LostHistoryIsReadAgainAndMalformedRecordsAreIgnored) {
  ScriptedTarget Pay(GatewayFixture::answering());
  ScriptedTarget Gone(GatewayFixture::answering("gone"));
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Pay);
  Fixture.addTarget("pay", "t2", Gone);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  Fixture.store().setDown(true);
  Fixture.store().remove("servers", "t2");
  Fixture.store().set("servers", "t3", {{"service", 5}, {"state", "ready"}});
  Fixture.store().set("servers", "t4", "bytes");
  Fixture.store().dropHistory();
  Fixture.store().setDown(false);
  EXPECT_TRUE(eventually([&] {
    for (int Count = 0; Count < 8; ++Count)
      if (!Fixture.exchange("GET", "/safe/1").has("\r\n\r\nok"))
        return false;
    return true;
  }));
}

TEST(GatewayTest, KeyRangesAreStoredBeforeTheyAreGranted) {
  std::atomic<bool> RecordedFirst = false;
  std::atomic<int> Grants = 0;
  GatewayFixture Fixture;
  ScriptedTarget Owner([&](Socket &To, const std::string &Request) {
    if (!Request.starts_with("POST /v1/grant"))
      return ScriptedTarget::send(
          To, GatewayFixture::response(GatewayFixture::requestId(Request),
                                       "owned"));
    if (Grants == 0)
      RecordedFirst =
          Fixture.store().value("buckthornring", "ranges.stock").has_value();
    ++Grants;
    return ScriptedTarget::send(To,
                                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  Fixture.addTarget("stock", "o1", Owner);
  Fixture.configure(1);
  EXPECT_TRUE(eventually([&] {
    return Fixture.exchange("GET", "/owned/1", "Shard-Key: 4711\r\n")
        .has("owned");
  }));
  // The scripted owner answers requests without checking grants.
  ASSERT_TRUE(eventually([&] { return Grants >= 1; }));
  EXPECT_TRUE(RecordedFirst);
  EXPECT_TRUE(Fixture.exchange("GET", "/owned/1").has("HTTP/1.1 400"));
  // The grant is renewed while the target exists.
  EXPECT_TRUE(eventually([&] { return Grants >= 3; }));
}

// Guards against a renewed grant that reaches another target which has taken
// over the address.
TEST(GatewayTest, GrantsNameTheirTargetAndPauseAfterAClosedConnection) {
  std::atomic<int> Grants = 0;
  std::atomic<bool> End = false;
  std::atomic<std::int64_t> EndedAt = 0;
  std::atomic<std::int64_t> NextAt = 0;
  const auto NowMs = [] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  };
  GatewayFixture Fixture;
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
  Fixture.addTarget("stock", "o1", Owner);
  Fixture.configure(1);
  ASSERT_TRUE(eventually([&] { return Grants >= 1; }));
  EXPECT_NE(Owner.requests().front().find("Expect-Instance: o1\r\n"),
            std::string::npos);
  End = true;
  ASSERT_TRUE(eventually([&] { return NextAt != 0; }));
  EXPECT_GE(NextAt - EndedAt, 1000);
}

auto reset(Socket &Connection) -> void {
  Connection.set_option(boost::asio::socket_base::linger(true, 0));
  Connection.close();
}

/// Accepts connections and resets each one at once, like a target that has too
/// many of them.
class ResettingTarget {
public:
  ResettingTarget()
      : Listener(Io, ScriptedTarget::Tcp::endpoint(
                         boost::asio::ip::address_v4::loopback(), 0)) {
    accept();
    Runner = std::thread([this] { Io.run(); });
  }
  ~ResettingTarget() {
    Io.stop();
    Runner.join();
  }
  auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(Listener.local_endpoint().port());
  }

private:
  auto accept() -> void {
    Listener.async_accept(
        [this](const boost::system::error_code &Failure, Socket Accepted) {
          if (Failure)
            return;
          reset(Accepted);
          accept();
        });
  }

  boost::asio::io_context Io;
  ScriptedTarget::Tcp::acceptor Listener;
  std::thread Runner;
};

// A request that never left the instance has not run, and the caller may repeat
// it. Whether the target's thread resets a connection before or after the
// request is sent depends on the machine; in the second case it is unknown.
TEST(GatewayTest, RequestOnAConnectionThatIsResetAtOnceIsReportedAsNotRun) {
  ResettingTarget Full;
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "full", Full.address());
  Fixture.configure(1);
  ASSERT_TRUE(eventually([&Fixture] {
    return Fixture.exchange("GET", "/nothing").has("HTTP/1.1 404");
  }));
  int Count = 0;
  EXPECT_TRUE(eventually([&] {
    const auto View = Fixture.exchange("POST", "/unsafe/1", "", "x",
                                       "r" + std::to_string(++Count));
    const bool Known = View.has("HTTP/1.1 503") && View.has("Btr-Run: not-run");
    EXPECT_TRUE(Known ||
                (View.has("HTTP/1.1 502") && View.has("Btr-Run: unknown")))
        << View.Bytes;
    return Known;
  }));
}

TEST(TargetConnectionTest, RequestOnAResetConnectionWasNotSent) {
  boost::asio::io_context Io;
  ScriptedTarget::Tcp::acceptor Listener(
      Io, ScriptedTarget::Tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                                        0));
  auto Connection = std::make_shared<TargetConnection>(
      Io.get_executor(), std::make_shared<BodyBudget>(1024));
  bool Connected = false;
  Connection->connect(Listener.local_endpoint(), 250ms, {},
                      [&Connected](bool Success) { Connected = Success; });
  Io.run_for(100ms);
  ASSERT_TRUE(Connected);
  Socket Accepted = Listener.accept();
  reset(Accepted);
  std::optional<ExchangeResult> Outcome;
  Connection->exchange(
      GatewayFixture::request("POST", "/", "a1"), "Attempt-Id", "a1", false,
      [&Outcome](ExchangeResult Result, const TargetResponse &) {
        Outcome = Result;
      });
  Io.restart();
  Io.run_for(100ms);
  EXPECT_EQ(Outcome, ExchangeResult::NotSent);
  Connection->close();
}

TEST(TargetConnectionTest, ResetOfANewConnectionIsSeenBeforeItIsUsed) {
  for (int Count = 0; Count < 20; ++Count) {
    // Both ends run on one thread, so the target resets the connection when it
    // has been established, however busy the machine is.
    boost::asio::io_context Io;
    ScriptedTarget::Tcp::acceptor Listener(
        Io, ScriptedTarget::Tcp::endpoint(
                boost::asio::ip::address_v4::loopback(), 0));
    Listener.async_accept(
        [](const boost::system::error_code &Failure, Socket Accepted) {
          ASSERT_FALSE(Failure);
          reset(Accepted);
        });
    auto Connection = std::make_shared<TargetConnection>(
        Io.get_executor(), std::make_shared<BodyBudget>(1024));
    std::optional<bool> Usable;
    Connection->connect(Listener.local_endpoint(), 250ms, {.AwaitReset = true},
                        [&Usable](bool Success) { Usable = Success; });
    Io.run_for(300ms);
    EXPECT_EQ(Usable, false);
    Connection->close();
  }
}

// A server in trouble sends bytes without end, in any part of a response. The
// exchange ends long before they fill the memory.
TEST(TargetConnectionTest, ResponseWithoutEndIsAbandoned) {
  constexpr std::size_t Budget = 1024UL * 1024;
  // Beyond the budget: the buffers of both sockets.
  constexpr std::size_t MostSent = 16 * Budget;
  for (const auto &[Name, Response] : endlessResponses()) {
    SCOPED_TRACE(Name);
    std::atomic<std::size_t> Sent = 0;
    ScriptedTarget Target(Response.script(Sent));
    boost::asio::io_context Io;
    auto Connection = std::make_shared<TargetConnection>(
        Io.get_executor(), std::make_shared<BodyBudget>(Budget));
    std::optional<ExchangeResult> Outcome;
    Connection->connect(
        *parseEndpoint(Target.address()), 250ms, {}, [&](bool Success) {
          ASSERT_TRUE(Success);
          Connection->exchange(
              GatewayFixture::request("GET", "/", "a1"), "Attempt-Id", "a1",
              false, [&](ExchangeResult Result, const TargetResponse &) {
                Outcome = Result;
                Connection->close();
              });
        });
    Io.run_for(10s);
    EXPECT_EQ(Outcome, ExchangeResult::Malformed);
    EXPECT_LE(Sent, MostSent);
    Connection->close();
  }
}

TEST(TargetConnectionTest, BodyBudgetHoldsOverAllConnections) {
  BodyBudget Budget(100);
  std::size_t First = 0;
  std::size_t Second = 0;
  EXPECT_TRUE(Budget.resize(First, 60));
  EXPECT_FALSE(Budget.resize(Second, 41));
  EXPECT_EQ(Second, 0U);
  EXPECT_TRUE(Budget.resize(Second, 40));
  EXPECT_TRUE(Budget.resize(First, 0));
  EXPECT_TRUE(Budget.resize(Second, 100));
}

// Guards against responses of sound targets that are dropped because faulty
// ones send bodies without end.
TEST(TargetConnectionTest, LargeBodiesLeaveRoomForSmallOnes) {
  constexpr std::size_t Limit = 4UL * 1024 * 1024;
  BodyBudget Budget(Limit);
  std::size_t Large = 0;
  while (Budget.resize(Large, Large + 64UL * 1024))
    ;
  EXPECT_GE(Large, Limit / 2);
  std::size_t Small = 0;
  EXPECT_TRUE(Budget.resize(Small, 64UL * 1024));
  std::size_t Medium = 0;
  EXPECT_FALSE(Budget.resize(Medium, 65UL * 1024));
}

// Guards against taking a late second copy of a rejection for the response to
// the same request when it is sent again: it would be run once more.
TEST(GatewayTest, SecondCopyOfARejectionIsNotTakenForTheNextResponse) {
  std::mutex Mutex;
  std::map<const Socket *, int> RequestsOn;
  bool Rejected = false;
  std::atomic<int> Runs = 0;
  ScriptedTarget Owner([&](Socket &To, const std::string &Request) {
    if (Request.starts_with("POST /v1/"))
      return ScriptedTarget::send(
          To, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    const std::string Id = GatewayFixture::requestId(Request);
    const std::string Rejection =
        GatewayFixture::response(Id, "", "Not-Executed: 1\r\n", 421);
    const std::lock_guard Guard(Mutex);
    if (!std::exchange(Rejected, true)) {
      ++RequestsOn[&To];
      return ScriptedTarget::send(To, Rejection);
    }
    ++Runs;
    return ScriptedTarget::send(To, (RequestsOn[&To] > 0 ? Rejection : "") +
                                        GatewayFixture::response(Id, "done"));
  });
  GatewayFixture Fixture;
  Fixture.addTarget("stock", "o1", Owner);
  Fixture.configure(1);
  ASSERT_TRUE(eventually([&] {
    return Fixture.exchange("GET", "/owned/1", "Shard-Key: 7\r\n").has("done");
  }));
  EXPECT_EQ(Runs, 1);
}

/// Sends orders to a scripted target and records how they end.
class OrderSenderTest : public testing::Test {
protected:
  static constexpr const char *Granted =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  OrderSenderTest() {
    Protocol.Headers = platform::headerNames();
    Protocol.Orders = {platform::encodeOrder, platform::readHandover};
    Order.Target = TargetId("t1");
    Order.HoldPeriod = 3s;
  }

  auto send(const ScriptedTarget &Target) -> void {
    TargetRecord Record;
    Record.Id = Order.Target;
    Record.Address = Target.address();
    Sender.send(Record, Order,
                [this](RangeOrderOutcome Outcome, const std::string &Handover) {
                  Outcomes.push_back(
                      std::string(RangeOrderOutcomeNames.name(Outcome)) + " " +
                      Handover);
                });
  }
  auto run(Duration Time) -> void {
    Io.restart();
    Io.run_for(Time);
  }

  boost::asio::io_context Io;
  PlatformProtocol Protocol;
  OrderSender Sender{Io, Protocol};
  RangeOrder Order;
  std::vector<std::string> Outcomes; ///< Outcome and handed-over state.
};

// Guards against a release that counts as done when a second copy of the
// response to a grant arrives.
TEST_F(OrderSenderTest, SecondCopyOfAGrantResponseIsNoResponseToARelease) {
  std::mutex Mutex;
  std::map<const Socket *, int> GrantsOn;
  ScriptedTarget Target([&](Socket &To, const std::string &Request) {
    const std::lock_guard Guard(Mutex);
    if (Request.starts_with("POST /v1/grant")) {
      ++GrantsOn[&To];
      return ScriptedTarget::send(To, Granted);
    }
    return ScriptedTarget::send(To,
                                (GrantsOn[&To] > 0 ? Granted : std::string()) +
                                    "HTTP/1.1 200 OK\r\nHandover: state\r\n"
                                    "Content-Length: 0\r\n\r\n");
  });
  send(Target);
  run(200ms);
  Order.Type = RangeOrder::Kind::Release;
  send(Target);
  run(200ms);
  EXPECT_EQ(Outcomes,
            (std::vector<std::string>{"accepted ", "accepted state"}));
}

// Guards against orders that are held up in a partition and arrive when others
// own the keys: after one was not answered, no other is sent on a connection
// that was opened before.
TEST_F(OrderSenderTest, NoOrderIsSentOnOldConnectionsOfAnUnresponsiveTarget) {
  std::mutex Mutex;
  std::set<const Socket *> Opened;
  std::vector<bool> OnOldConnection;
  std::atomic<bool> Silent = false;
  ScriptedTarget Target([&](Socket &To, const std::string &) {
    const std::lock_guard Guard(Mutex);
    const bool Known = !Opened.insert(&To).second;
    if (Silent) {
      OnOldConnection.push_back(Known);
      return true;
    }
    return ScriptedTarget::send(To, Granted);
  });
  // First grants, each on a connection of its own.
  for (int Count = 0; Count < 3; ++Count)
    send(Target);
  run(300ms);
  Silent = true;
  Order.Renewal = true;
  for (int Count = 0; Count < 2; ++Count) {
    send(Target);
    run(1000ms);
  }
  const std::lock_guard Guard(Mutex);
  EXPECT_EQ(OnOldConnection, (std::vector<bool>{true, false}));
}

// A grant for newly assigned keys opens a connection of its own. It is not
// delayed after a connection was lost while another one is intact.
TEST_F(OrderSenderTest, GrantIsSentWhileAnotherConnectionIsIntact) {
  std::atomic<bool> CloseNext = false;
  ScriptedTarget Target([&](Socket &To, const std::string &) {
    return !CloseNext.exchange(false) && ScriptedTarget::send(To, Granted);
  });
  for (const bool Lost : {false, true, false}) {
    CloseNext = Lost;
    send(Target);
    run(200ms);
  }
  EXPECT_EQ(Outcomes, (std::vector<std::string>{"accepted ", "unanswered ",
                                                "accepted "}));
}

// Guards against grants that reach a target after the end of the leader's
// authority, when another leader may have granted the keys to another target.
TEST_F(OrderSenderTest, OrderEndsWithTheAuthorityOfTheLeader) {
  std::atomic<bool> Closed = false;
  ScriptedTarget Target([&Closed](Socket &To, const std::string &) {
    char Byte = 0;
    boost::system::error_code Failure;
    To.read_some(boost::asio::buffer(&Byte, 1), Failure);
    Closed = static_cast<bool>(Failure);
    return false;
  });
  Order.AuthorityEnd = bootNow() + 100ms;
  send(Target);
  run(250ms);
  EXPECT_EQ(Outcomes, std::vector<std::string>{"unanswered "});
  EXPECT_TRUE(eventually([&Closed] { return Closed.load(); }));
}

// The same if the leader gets to send the order too late.
TEST_F(OrderSenderTest, OrderIsNotSentAfterTheAuthorityOfTheLeader) {
  ScriptedTarget Target(ScriptedTarget::answering(Granted));
  Order.AuthorityEnd = bootNow() + 20ms;
  send(Target);
  std::this_thread::sleep_for(50ms);
  run(200ms);
  EXPECT_EQ(Outcomes, std::vector<std::string>{"not-sent "});
  EXPECT_TRUE(Target.requests().empty());
}

// A planned stop under load: callers go on using open connections and opening
// new ones until the instance is gone. Whoever gets a connection gets a
// response to the first request on it, also when that arrives a moment after
// the connection.
TEST(GatewayTest, PlannedStopUnderLoadAnswersEveryAcceptedRequest) {
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    std::this_thread::sleep_for(20ms);
    return ScriptedTarget::send(
        To, GatewayFixture::response(GatewayFixture::requestId(Request), "ok"));
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  std::atomic<int> Answered = 0;
  std::atomic<int> CutOff = 0;
  constexpr int CallerCount = 6;
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  ::kill(::getpid(), SIGTERM);
  for (int Index = 0; Index < CallerCount; ++Index)
    Callers.emplace_back([&, Index] {
      for (int Count = 0;; ++Count) {
        boost::asio::io_context Io;
        Socket Caller(Io);
        boost::system::error_code Failure;
        Caller.connect(Fixture.endpoint(), Failure);
        if (Failure)
          return;
        if (Index % 2 == 0)
          std::this_thread::sleep_for(30ms);
        boost::asio::write(
            Caller,
            boost::asio::buffer(GatewayFixture::request(
                "GET", "/safe/1", std::to_string(Index * 100'000 + Count))),
            Failure);
        std::string Response;
        boost::asio::read(Caller, boost::asio::dynamic_buffer(Response),
                          Failure);
        ++(Response.starts_with("HTTP/1.1 ") ? Answered : CutOff);
      }
    });
  for (std::thread &Each : Callers)
    Each.join();
  EXPECT_GT(Answered, 100);
  EXPECT_EQ(CutOff, 0);
}

// Guards against a process that ends while its callers are still reading their
// responses, which input that arrives afterwards would reset.
TEST(GatewayTest, PlannedStopWaitsForCallersThatReadSlowly) {
  constexpr std::size_t BodySize = 1024UL * 1024;
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    const bool Slow = Request.starts_with("GET /safe/slow");
    if (Slow)
      std::this_thread::sleep_for(300ms);
    return ScriptedTarget::send(
        To, GatewayFixture::response(GatewayFixture::requestId(Request),
                                     std::string(Slow ? BodySize : 2, 'x')));
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  boost::asio::io_context Io;
  Socket Caller(Io);
  Caller.open(Fixture.endpoint().protocol());
  Caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  Caller.connect(Fixture.endpoint());
  boost::asio::write(Caller, boost::asio::buffer(GatewayFixture::request(
                                 "GET", "/safe/slow", "a1")));
  std::this_thread::sleep_for(100ms);
  ::kill(::getpid(), SIGTERM);
  std::thread Ending([&Fixture] { Fixture.waitForEnd(); });
  std::this_thread::sleep_for(3500ms);
  boost::system::error_code Failure;
  boost::asio::write(
      Caller,
      boost::asio::buffer(GatewayFixture::request("GET", "/safe/2", "a2")),
      Failure);
  std::string Bytes;
  boost::asio::read(Caller, boost::asio::dynamic_buffer(Bytes), Failure);
  Ending.join();
  EXPECT_EQ(Failure, boost::asio::error::eof);
  EXPECT_EQ(Bytes.size() - Bytes.find("\r\n\r\n") - 4, BodySize);
}

// Guards against requests that are passed on late in a planned stop and broken
// off at its end, among them some that must not be repeated. This one begins to
// arrive while connections are still accepted.
TEST(GatewayTest, RequestThatMayOutlastAPlannedStopIsRefusedAtOnce) {
  std::atomic<int> Runs = 0;
  ScriptedTarget Target([&Runs](Socket &To, const std::string &Request) {
    if (Request.starts_with("POST /unsafe/")) {
      ++Runs;
      std::this_thread::sleep_for(3s);
    }
    return ScriptedTarget::send(
        To, GatewayFixture::response(GatewayFixture::requestId(Request), "ok"));
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  auto Config = Fixture.store().value("config", "main").value();
  for (auto &Rule : Config["listeners"][0]["route_rules"])
    Rule["action"]["timeout_s"] = 5.0;
  Config["limits"]["header_timeout_s"] = 5.0;
  Config["version"] = "r2";
  Fixture.store().set("config", "main", Config);
  ASSERT_TRUE(Fixture.waitUntilServing());
  std::this_thread::sleep_for(300ms);
  ::kill(::getpid(), SIGTERM);
  RawCaller Caller = Fixture.connect();
  const std::string Request =
      GatewayFixture::request("POST", "/unsafe/1", "late", "", "x");
  Caller.send(Request.substr(0, 20));
  std::this_thread::sleep_for(3s);
  const auto SentAt = std::chrono::steady_clock::now();
  Caller.send(Request.substr(20));
  const auto View = Caller.readAll();
  EXPECT_TRUE(View.has("HTTP/1.1 503 ")) << View.Bytes;
  EXPECT_TRUE(View.has("Btr-Run: not-run")) << View.Bytes;
  EXPECT_TRUE(View.has("Retry-After: ")) << View.Bytes;
  EXPECT_LT(std::chrono::steady_clock::now() - SentAt, 1s);
  EXPECT_EQ(Runs, 0);
}

} // namespace
