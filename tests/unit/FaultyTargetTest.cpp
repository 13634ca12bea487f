#include "Gateway/OrderSender.h"
#include "HeaderFields.h"
#include "Records.h"
#include "support/GatewayFixture.h"
#include "support/TargetExchange.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Socket = ScriptedTarget::Tcp::socket;

constexpr const char *OrderAccepted =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

auto rejection(const std::string &IdField) -> std::string {
  return "HTTP/1.1 503 X\r\n" + IdField +
         "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

auto requestsWithId(const ScriptedTarget &Target, const std::string &Id)
    -> std::size_t {
  const auto All = Target.requests();
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [&Id](const std::string &Request) {
        return GatewayFixture::requestId(Request) == Id;
      }));
}

// Guards against an earlier rejection that a target sends once more on a kept
// connection and that counts as the response to the next request: its caller
// would be told that it has not run, or it would run twice.
TEST(FaultyTargetTest, SecondCopyOfARejectionIsNoResponseToTheNextRequest) {
  enum class Moment { WithTheFirst, WhileIdle, WithTheNextResponse };
  for (const std::string &Copy : {rejection("Attempt-Id: early\r\n"),
                                  rejection(""), rejection("Attempt-Id: \r\n")})
    for (const Moment Sent : {Moment::WithTheFirst, Moment::WhileIdle,
                              Moment::WithTheNextResponse}) {
      SCOPED_TRACE(Copy + " " + std::to_string(static_cast<int>(Sent)));
      std::mutex Mutex;
      std::set<const Socket *> Rejecting;
      bool RejectNext = true;
      ScriptedTarget Target([&](Socket &To, const std::string &Request) {
        const std::string Id = GatewayFixture::requestId(Request);
        const std::lock_guard Guard(Mutex);
        if (Id == "early" && std::exchange(RejectNext, false)) {
          Rejecting.insert(&To);
          const std::string First = rejection("Attempt-Id: early\r\n");
          ScriptedTarget::send(To, Sent == Moment::WithTheFirst ? First + Copy
                                                                : First);
          std::this_thread::sleep_for(5ms);
          return Sent != Moment::WhileIdle || ScriptedTarget::send(To, Copy);
        }
        const bool Repeat =
            Sent == Moment::WithTheNextResponse && Rejecting.contains(&To);
        return ScriptedTarget::send(To, (Repeat ? Copy : "") +
                                            GatewayFixture::response(Id, "ok"));
      });
      GatewayFixture Fixture;
      Fixture.addTarget("pay", "t1", Target);
      Fixture.configure(1);
      ASSERT_TRUE(Fixture.waitUntilServing());
      Fixture.exchange("POST", "/unsafe/1", "", "x", "early");
      const auto View =
          Fixture.exchange("POST", "/unsafe/2", "", "x", "second");
      EXPECT_TRUE(View.has("HTTP/1.1 200")) << View.Bytes;
      EXPECT_EQ(requestsWithId(Target, "second"), 1U);
    }
}

// The same for a request without an id, whose response cannot be told from
// another one without an id.
TEST(FaultyTargetTest, SecondCopyOfARejectionIsNoResponseToARequestWithoutId) {
  std::mutex Mutex;
  std::set<const Socket *> Rejecting;
  std::atomic<int> Runs = 0;
  ScriptedTarget Target([&](Socket &To, const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    const std::lock_guard Guard(Mutex);
    if (Request.starts_with("POST /unsafe/1"))
      return Rejecting.insert(&To).second
                 ? ScriptedTarget::send(To, rejection("Attempt-Id: early\r\n"))
                 : true;
    if (!Request.starts_with("POST /unsafe/2"))
      return ScriptedTarget::send(To, GatewayFixture::response(Id, "ok"));
    ++Runs;
    return ScriptedTarget::send(
        To, (Rejecting.contains(&To) ? rejection("") : "") +
                "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
                "Content-Length: 4\r\n\r\ndone");
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  Fixture.exchange("POST", "/unsafe/1", "", "x", "early");
  RawCaller Caller = Fixture.connect();
  Caller.send("POST /unsafe/2 HTTP/1.1\r\nHost: h\r\nApi-Key: secret\r\n"
              "Content-Length: 1\r\nConnection: close\r\n\r\nx");
  const auto View = Caller.readAll();
  EXPECT_TRUE(View.has("done")) << View.Bytes;
  EXPECT_EQ(Runs, 1);
}

// Guards against a copy of the rejection of a request that arrives on another
// kept connection, on which the request was sent again: it would run twice.
TEST(FaultyTargetTest, RejectedRequestIsSentAgainOnANewConnection) {
  std::mutex Mutex;
  std::set<const Socket *> Kept;
  bool Rejected = false;
  std::atomic<int> Runs = 0;
  ScriptedTarget Owner([&](Socket &To, const std::string &Request) {
    if (Request.starts_with("POST /v1/"))
      return ScriptedTarget::send(To, OrderAccepted);
    const std::string Id = GatewayFixture::requestId(Request);
    if (Id != "again") {
      std::this_thread::sleep_for(50ms);
      const std::lock_guard Guard(Mutex);
      Kept.insert(&To);
      return ScriptedTarget::send(To, GatewayFixture::response(Id, "ok"));
    }
    const std::string Rejection = rejection("Attempt-Id: again\r\n");
    const std::lock_guard Guard(Mutex);
    if (!std::exchange(Rejected, true))
      return ScriptedTarget::send(To, Rejection);
    ++Runs;
    return ScriptedTarget::send(To, (Kept.contains(&To) ? Rejection : "") +
                                        GatewayFixture::response(Id, "done"));
  });
  GatewayFixture Fixture;
  Fixture.addTarget("stock", "o1", Owner);
  Fixture.configure(1);
  // Time for a second send within the wait of a request for its owner.
  auto Config = Fixture.store().value("config", "main").value();
  for (auto &Rule : Config["listeners"][0]["route_rules"])
    Rule["target_latency_s"] = 0.8;
  Config["version"] = "r2";
  Fixture.store().set("config", "main", Config);
  const std::string Key = "Shard-Key: 7\r\n";
  // An owner gets concurrent requests once the size of the fleet is known.
  ASSERT_TRUE(eventually([&] {
    std::vector<RawCaller> Callers;
    for (int Count = 0; Count < 3; ++Count) {
      Callers.push_back(Fixture.connect());
      Callers.back().send(GatewayFixture::request(
          "GET", "/owned/1", "c" + std::to_string(Count), Key));
    }
    for (RawCaller &Caller : Callers)
      Caller.readUntil("\r\n\r\n");
    const std::lock_guard Guard(Mutex);
    return Kept.size() >= 2;
  }));
  const auto View = Fixture.exchange("GET", "/owned/1", Key, "", "again");
  EXPECT_TRUE(View.has("done")) << View.Bytes;
  EXPECT_EQ(Runs, 1);
}

/// Sends renewals to a target, one after the other. Returns their outcomes.
auto outcomesOfOrders(const std::string &Address, int Count)
    -> std::vector<RangeOrderOutcome> {
  boost::asio::io_context Io;
  PlatformProtocol Protocol;
  Protocol.Headers = platform::headerNames();
  Protocol.Orders = {platform::encodeOrder, platform::readHandover};
  OrderSender Sender(Io, Protocol);
  TargetRecord Record;
  Record.Id = TargetId("t1");
  Record.Address = Address;
  RangeOrder Order;
  Order.Target = Record.Id;
  Order.HoldPeriod = 3s;
  Order.Renewal = true;
  std::vector<RangeOrderOutcome> Outcomes;
  for (int Sent = 0; Sent < Count; ++Sent) {
    Sender.send(Record, Order,
                [&Outcomes](RangeOrderOutcome Outcome, const std::string &) {
                  Outcomes.push_back(Outcome);
                });
    Io.restart();
    Io.run_for(200ms);
  }
  return Outcomes;
}

// Guards against an earlier refusal of an order that counts as the response to
// the next one: the leader would take a holder of keys for none.
TEST(FaultyTargetTest, SecondCopyOfARefusalIsNoResponseToTheNextOrder) {
  std::mutex Mutex;
  std::set<const Socket *> Refusing;
  int Orders = 0;
  ScriptedTarget Target([&](Socket &To, const std::string &) {
    const std::string Refusal =
        "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
    const std::lock_guard Guard(Mutex);
    if (++Orders == 1) {
      Refusing.insert(&To);
      return ScriptedTarget::send(To, Refusal);
    }
    return ScriptedTarget::send(To, (Refusing.contains(&To) ? Refusal : "") +
                                        std::string(OrderAccepted));
  });
  EXPECT_EQ(outcomesOfOrders(Target.address(), 2),
            (std::vector<RangeOrderOutcome>{RangeOrderOutcome::Refused,
                                            RangeOrderOutcome::Accepted}));
}

// Guards against a leader that gives up all its knowledge of a service because
// another target has taken over the address of a lost owner: keys of owners
// that it did not reach had no owner for 13 s.
TEST(FaultyTargetTest, OrderToAnAddressOfAnotherTargetIsNotRefused) {
  ScriptedTarget Target([](Socket &To, const std::string &) {
    return ScriptedTarget::send(
        To, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
  });
  EXPECT_EQ(outcomesOfOrders(Target.address(), 1),
            std::vector{RangeOrderOutcome::Misdirected});
}

// Guards against a response with the status 000 that counts as a refusal: the
// leader would take a holder of keys for none.
TEST(FaultyTargetTest, ResponseWithAnInvalidStatusLeavesAnOrderUnanswered) {
  ScriptedTarget Target([](Socket &To, const std::string &) {
    return ScriptedTarget::send(To,
                                "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n");
  });
  EXPECT_EQ(outcomesOfOrders(Target.address(), 1),
            std::vector{RangeOrderOutcome::Unanswered});
}

// Guards against a response that ends anywhere before its end, in its head or
// in its body, and counts as complete.
TEST(FaultyTargetTest, ResponseCutAtAnyByteIsNotComplete) {
  const std::string Fields = "Attempt-Id: a1\r\nResponse-Signature: s\r\n";
  const std::string Chunked = "HTTP/1.1 200 OK\r\n" + Fields +
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "5\r\nwhole\r\na;e=1\r\n0123456789\r\n0\r\n";
  struct Case {
    std::string Text;
    bool HeadOnly = false;
  };
  const std::map<std::string, Case> Cases = {
      {"length",
       {"HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: 5\r\n\r\nwhole"}},
      {"empty body",
       {"HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: 0\r\n\r\n"}},
      {"chunked", {Chunked + "\r\n"}},
      {"trailer", {Chunked + "X-Sum: 1\r\n\r\n"}},
      {"head only",
       {"HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: 5\r\n\r\n", true}},
      {"204", {"HTTP/1.1 204 No Content\r\n" + Fields + "\r\n"}},
      {"304", {"HTTP/1.1 304 Not Modified\r\n" + Fields + "\r\n"}},
      {"interim response first",
       {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n" + Fields +
        "Content-Length: 1\r\n\r\nx"}}};
  for (const auto &[Name, Each] : Cases) {
    SCOPED_TRACE(Name);
    EXPECT_EQ(
        exchangeWithTarget({Each.Text}, AfterResponse::Close, Each.HeadOnly),
        ExchangeResult::Answered);
    for (std::size_t Size = 0; Size < Each.Text.size(); ++Size)
      for (const auto End : {AfterResponse::Close, AfterResponse::Reset})
        EXPECT_EQ(
            exchangeWithTarget({Each.Text.substr(0, Size)}, End, Each.HeadOnly),
            ExchangeResult::Lost)
            << Size;
  }
}

// Guards against responses behind a cut one that move up to its place.
TEST(FaultyTargetTest, ResponseCutInItsHeadKeepsItsPlaceInTheOrder) {
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    const std::string Whole = GatewayFixture::response(Id, "body-" + Id + ";");
    if (Id != "p2")
      return ScriptedTarget::send(To, Whole);
    ScriptedTarget::send(To, Whole.substr(0, Whole.find("Content-Length")));
    return false;
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  RawCaller Caller = Fixture.connect();
  for (const char *Id : {"p1", "p2", "p3"})
    Caller.send(GatewayFixture::request("GET", "/safe/1", Id));
  const auto View = Caller.readUntil("body-p3;");
  const auto First = View.Bytes.find("body-p1;");
  const auto Cut = View.Bytes.find("HTTP/1.1 502");
  const auto Third = View.Bytes.find("body-p3;");
  ASSERT_NE(Third, std::string::npos) << View.Bytes;
  ASSERT_NE(Cut, std::string::npos) << View.Bytes;
  EXPECT_LT(First, Cut);
  EXPECT_LT(Cut, Third);
}

// Guards against ending a caller's kept connection because a target ends its
// own, or sends more or less than a response.
TEST(FaultyTargetTest, EndOfATargetConnectionKeepsThatOfTheCaller) {
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    const std::string Whole = GatewayFixture::response(
        Id, "body-" + Id + ";", Id == "p1" ? "Connection: close\r\n" : "");
    if (Id == "p3") {
      ScriptedTarget::send(To, Whole.substr(0, Whole.size() - 2));
      return false;
    }
    ScriptedTarget::send(To, Id == "p2" ? Whole + "extra" : Whole);
    return Id != "p1";
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  RawCaller Caller = Fixture.connect();
  for (const std::string Id : {"p1", "p2", "p4"}) {
    Caller.send(GatewayFixture::request("GET", "/safe/1", Id));
    EXPECT_TRUE(Caller.readUntil("body-" + Id + ";").has(" 200 ")) << Id;
  }
  Caller.send(GatewayFixture::request("POST", "/unsafe/1", "p3", "", "x"));
  EXPECT_TRUE(Caller.readUntil("\r\n\r\n").has(" 502 "));
  Caller.send(GatewayFixture::request("GET", "/safe/1", "p5"));
  EXPECT_TRUE(Caller.readUntil("body-p5;").has(" 200 "));
}

// Guards against a response without a length whose end nobody can tell from a
// failure of the target, and that callers got as a whole one.
TEST(FaultyTargetTest, ResponseWithoutLengthIsNotForwardedWithOne) {
  for (const std::string Body : {"", "shor"}) {
    SCOPED_TRACE(Body);
    ScriptedTarget Target([&Body](Socket &To, const std::string &Request) {
      const std::string Id = GatewayFixture::requestId(Request);
      if (Id == "ping")
        return ScriptedTarget::send(To, GatewayFixture::response(Id, "ok"));
      std::string Response = "HTTP/1.1 200 OK\r\nAttempt-Id: ";
      Response.append(Id)
          .append("\r\nResponse-Signature: s\r\n\r\n")
          .append(Body);
      ScriptedTarget::send(To, Response);
      return false;
    });
    GatewayFixture Fixture;
    Fixture.addTarget("pay", "t1", Target);
    Fixture.configure(1);
    ASSERT_TRUE(Fixture.waitUntilServing());
    RawCaller Caller = Fixture.connect();
    Caller.send(GatewayFixture::request("POST", "/unsafe/1", "a1", "", "x"));
    const auto View = Caller.readAll();
    EXPECT_TRUE(View.Closed);
    EXPECT_FALSE(View.has("Content-Length")) << View.Bytes;
    EXPECT_FALSE(View.has("Transfer-Encoding")) << View.Bytes;
  }
}

// Guards against responses to pipelined requests that are lost because one
// without a length before them ends the caller's connection.
TEST(FaultyTargetTest, ResponseWithoutLengthDoesNotLoseThoseBehindIt) {
  ScriptedTarget Target([](Socket &To, const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    if (Id != "p1")
      return ScriptedTarget::send(
          To, GatewayFixture::response(Id, "body-" + Id + ";"));
    ScriptedTarget::send(To, "HTTP/1.1 200 OK\r\nAttempt-Id: p1\r\n"
                             "Response-Signature: s\r\n\r\nbody-p1;");
    return false;
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  RawCaller Caller = Fixture.connect();
  Caller.send(GatewayFixture::request("GET", "/safe/1", "p1") +
              GatewayFixture::request("GET", "/safe/1", "p2") +
              GatewayFixture::request("GET", "/safe/1", "p3"));
  const auto View = Caller.readUntil("body-p3;");
  EXPECT_TRUE(View.has("body-p1;")) << View.Bytes;
  EXPECT_TRUE(View.has("body-p2;")) << View.Bytes;
  EXPECT_TRUE(View.has("body-p3;")) << View.Bytes;
}

// Guards against a response to a release whose handed-over state is no text: it
// ended the leading instance, and with it all requests that it was processing.
TEST(FaultyTargetTest, HandoverThatIsNoTextDoesNotEndTheLeader) {
  std::atomic<int> Released = 0;
  std::atomic<int> GrantsAfter = 0;
  const auto Owner = [&](Socket &To, const std::string &Request) {
    if (Request.starts_with("POST /v1/grant") && Released > 0)
      ++GrantsAfter;
    if (Request.starts_with("POST /v1/grant"))
      return ScriptedTarget::send(To, OrderAccepted);
    if (Request.starts_with("POST /v1/release")) {
      ++Released;
      return ScriptedTarget::send(
          To, "HTTP/1.1 200 OK\r\nHandover: 5c0e\xff\xfe\r\n"
              "Content-Length: 0\r\n\r\n");
    }
    return ScriptedTarget::send(
        To,
        GatewayFixture::response(GatewayFixture::requestId(Request), "done"));
  };
  ScriptedTarget Leaving(Owner);
  ScriptedTarget Staying(Owner);
  GatewayFixture Fixture;
  Fixture.addTarget("stock", "o1", Leaving);
  Fixture.configure(1);
  const auto Serves = [&Fixture] {
    return Fixture.exchange("GET", "/owned/1", "Shard-Key: 7\r\n").has("done");
  };
  ASSERT_TRUE(eventually(Serves));
  Fixture.addTarget("stock", "o2", Staying);
  Fixture.addTarget("stock", "o1", Leaving, "draining", 2);
  ASSERT_TRUE(eventually([&] { return Released > 0; }));
  EXPECT_TRUE(eventually([&] { return GrantsAfter > 0; }));
  EXPECT_TRUE(eventually(Serves));
  const std::string Metrics = Fixture.askAsPeer("/metrics");
  EXPECT_NE(Metrics.find("\"unreadable-handover\"} "), std::string::npos);
  EXPECT_EQ(Metrics.find("\"unreadable-handover\"} 0"), std::string::npos);
}

// Guards against an owner that fails all requests while its health is good and
// keeps its keys: errors come at once, so it even counted as the fastest owner
// and got the busiest keys.
TEST(FaultyTargetTest, KeysOfAnOwnerThatFailsRequestsMove) {
  const auto Responding = [](int Status) {
    return [Status](Socket &To, const std::string &Request) {
      if (Request.starts_with("POST /v1/"))
        return ScriptedTarget::send(To, OrderAccepted);
      return ScriptedTarget::send(
          To, GatewayFixture::response(GatewayFixture::requestId(Request),
                                       "done", "", Status));
    };
  };
  ScriptedTarget Failing(Responding(500));
  ScriptedTarget Sound(Responding(200));
  GatewayFixture Fixture;
  Fixture.addTarget("stock", "o1", Failing);
  Fixture.configure(1);
  // Balancing alone gives the new target a part of the keys.
  const auto AllKeysGet = [&Fixture](const char *Status) {
    for (const char *Key : {"7", "20000", "40000", "65000"})
      if (!Fixture
               .exchange("GET", "/owned/1",
                         "Shard-Key: " + std::string(Key) + "\r\n")
               .has(Status))
        return false;
    return true;
  };
  ASSERT_TRUE(eventually([&] { return AllKeysGet("HTTP/1.1 500"); }));
  Fixture.addTarget("stock", "o2", Sound);
  EXPECT_TRUE(eventually([&] { return AllKeysGet("HTTP/1.1 200"); }));
}

} // namespace
