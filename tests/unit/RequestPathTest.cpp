#include "support/RequestPath.h"

#include <gtest/gtest.h>

#include <thread>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string Shed = "HTTP/1.1 503 Service Unavailable\r\n"
                         "Btr-Refusal: shed\r\nContent-Length: 0\r\n\r\n";

auto closing() -> ScriptedTarget::Script {
  return
      [](ScriptedTarget::Tcp::socket &, const std::string &) { return false; };
}

// Guards against a caller key that reaches a target, and against forged fields
// that only the router may set.
TEST(RequestPathTest, StripsCallerKeysAndForgedFields) {
  ScriptedTarget Target(ScriptedTarget::answering(Ok));
  RequestPath Path;
  Path.addTarget("pay", "p1", Target);
  Path.publish();
  const auto View = Path.exchange("GET", "/pay/1",
                                  "Authorization: Bearer secret\r\n"
                                  "X-Caller-Key: secret\r\n"
                                  "Btr-Workspace: other\r\n"
                                  "Connection: X-Hop\r\nX-Hop: 1\r\n"
                                  "Idempotency-Key: 7\r\n");
  ASSERT_TRUE(View.has("200 OK")) << View.Bytes;
  ASSERT_EQ(Target.requests().size(), 1U);
  const std::string Seen = Target.requests().front();
  EXPECT_EQ(Seen.find("secret"), std::string::npos) << Seen;
  EXPECT_EQ(Seen.find("other"), std::string::npos) << Seen;
  EXPECT_EQ(Seen.find("X-Hop"), std::string::npos) << Seen;
  EXPECT_NE(Seen.find("Btr-Workspace: acme"), std::string::npos) << Seen;
  EXPECT_NE(Seen.find("Idempotency-Key: 7"), std::string::npos) << Seen;
}

// Guards against a second run of a non-idempotent request whose connection
// broke after it was sent.
TEST(RequestPathTest, NonIdempotentRequestIsSentOnce) {
  ScriptedTarget First(closing());
  ScriptedTarget Second(closing());
  RequestPath Path;
  Path.addTarget("pay", "p1", First);
  Path.addTarget("pay", "p2", Second);
  Path.publish();
  const auto View = Path.exchange("POST", "/pay/1", RequestPath::Key, "body");
  EXPECT_TRUE(View.has("Btr-Refusal: connection-lost")) << View.Bytes;
  EXPECT_TRUE(View.has("Btr-Run: unknown"));
  EXPECT_EQ(First.requests().size() + Second.requests().size(), 1U);
}

// Guards against an idempotent request that is given up although another
// target can answer it.
TEST(RequestPathTest, IdempotentRequestIsRetriedElsewhere) {
  ScriptedTarget Broken(closing());
  ScriptedTarget Working(ScriptedTarget::answering(Ok));
  RequestPath Path;
  Path.addTarget("pay", "p1", Broken);
  Path.addTarget("pay", "p2", Working);
  Path.publish();
  for (int I = 0; I < 4; ++I) {
    const auto View = Path.exchange("PUT", "/pay/1", RequestPath::Key, "body");
    EXPECT_TRUE(View.has("200 OK")) << View.Bytes;
  }
}

// Guards against a refused non-idempotent request that is not tried again: the
// target says that it did not run it.
TEST(RequestPathTest, RefusedRequestIsRetriedWithItsBody) {
  ScriptedTarget Refusing(ScriptedTarget::answering(Shed));
  ScriptedTarget Working(ScriptedTarget::answering(Ok));
  RequestPath Path;
  Path.addTarget("pay", "p1", Refusing);
  Path.addTarget("pay", "p2", Working);
  Path.publish();
  for (int I = 0; I < 4; ++I) {
    const auto View = Path.exchange("POST", "/pay/1", RequestPath::Key, "body");
    EXPECT_TRUE(View.has("200 OK")) << View.Bytes;
  }
  for (const std::string &Seen : Working.requests())
    EXPECT_TRUE(Seen.ends_with("\r\n\r\nbody")) << Seen;
}

// Guards against an answer "unknown" where every target refused.
TEST(RequestPathTest, AllTargetsRefusingIsNotRun) {
  ScriptedTarget Refusing(ScriptedTarget::answering(Shed));
  RequestPath Path;
  Path.addTarget("pay", "p1", Refusing);
  Path.publish();
  const auto View = Path.exchange("POST", "/pay/1", RequestPath::Key, "body");
  EXPECT_TRUE(View.has("Btr-Refusal: target-shed")) << View.Bytes;
  EXPECT_TRUE(View.has("Btr-Run: not-run"));
}

// Guards against a truncated answer that looks complete to the caller.
TEST(RequestPathTest, CutAnswerResetsTheCaller) {
  for (const char *Framing : {"Content-Length: 100", "Transfer-Encoding: "
                                                     "chunked"}) {
    ScriptedTarget Target(
        [Framing](ScriptedTarget::Tcp::socket &To, const std::string &) {
          ScriptedTarget::send(To, std::string("HTTP/1.1 200 OK\r\n") +
                                       Framing + "\r\n\r\n4\r\npart");
          return false;
        });
    RequestPath Path;
    Path.addTarget("pay", "p1", Target);
    Path.publish();
    const auto View = Path.exchange("GET", "/pay/1", RequestPath::Key);
    EXPECT_TRUE(View.Reset) << Framing << ": " << View.Bytes;
    EXPECT_FALSE(View.Closed);
    EXPECT_EQ(Path.totals().of(RequestOutcome::Aborted), 1U);
  }
}

// Guards against an answer without a length: its end cannot be told from a
// break.
TEST(RequestPathTest, AnswerWithoutLengthIsNotForwarded) {
  ScriptedTarget Target(
      [](ScriptedTarget::Tcp::socket &To, const std::string &) {
        ScriptedTarget::send(To, "HTTP/1.1 200 OK\r\n\r\nall?");
        return false;
      });
  RequestPath Path;
  Path.addTarget("pay", "p1", Target);
  Path.publish();
  const auto View = Path.exchange("POST", "/pay/1", RequestPath::Key, "b");
  EXPECT_TRUE(View.has("Btr-Refusal: connection-lost")) << View.Bytes;
  EXPECT_TRUE(View.has("Btr-Run: unknown"));
}

// Guards against a late answer of one request that is given to another one.
TEST(RequestPathTest, AbandonedConnectionIsNotReused) {
  ScriptedTarget Target(
      [](ScriptedTarget::Tcp::socket &To, const std::string &Request) {
        if (Request.starts_with("POST /control"))
          return ScriptedTarget::send(
              To, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        const bool Late = Request.find("/pay/late") != std::string::npos;
        if (Late)
          std::this_thread::sleep_for(300ms);
        const std::string Body = Late ? "late" : "fast";
        return ScriptedTarget::send(
            To, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + Body);
      });
  RequestPath Path;
  Path.addTarget("pay", "p1", Target);
  Path.publish();
  const auto Refused = Path.exchange(
      "POST", "/pay/late",
      std::string(RequestPath::Key) + "Btr-Deadline-Ms: 100\r\n", "b");
  EXPECT_TRUE(Refused.has("Btr-Refusal: deadline-exceeded")) << Refused.Bytes;
  EXPECT_TRUE(Refused.has("Btr-Run: unknown"));
  for (int I = 0; I < 5; ++I) {
    const auto View = Path.exchange("POST", "/pay/x", RequestPath::Key, "b");
    EXPECT_TRUE(View.Bytes.ends_with("\r\n\r\nfast")) << View.Bytes;
  }
  EXPECT_TRUE(eventually([&] {
    for (const std::string &Seen : Target.requests())
      if (Seen.starts_with("POST /control/cancel"))
        return true;
    return false;
  }));
}

// Guards against a non-idempotent request on a connection that may have gone
// silent: no answer would come, and it could not be repeated.
TEST(RequestPathTest, LongIdleConnectionIsNotUsedForNonIdempotentRequests) {
  ScriptedTarget Target(ScriptedTarget::answering(Ok));
  TrafficOptions Options;
  Options.Pool.Policy.MaxIdleNonIdempotent = 50ms;
  RequestPath Path(Options);
  Path.addTarget("pay", "p1", Target);
  Path.publish();
  Path.exchange("POST", "/pay/1", RequestPath::Key, "b");
  Path.exchange("POST", "/pay/1", RequestPath::Key, "b");
  EXPECT_EQ(Target.connections(), 1U);
  std::this_thread::sleep_for(100ms);
  Path.exchange("GET", "/pay/1", RequestPath::Key);
  EXPECT_EQ(Target.connections(), 1U);
  std::this_thread::sleep_for(100ms);
  Path.exchange("POST", "/pay/1", RequestPath::Key, "b");
  EXPECT_EQ(Target.connections(), 2U);
}

// Guards against a withdrawn key that keeps working on an open connection, and
// against an answer that goes on for it.
TEST(RequestPathTest, WithdrawnKeyStopsOnOpenConnections) {
  ScriptedTarget Target([](ScriptedTarget::Tcp::socket &To,
                           const std::string &Request) {
    if (Request.find("/pay/long") == std::string::npos)
      return ScriptedTarget::send(To, Ok);
    ScriptedTarget::send(To,
                         "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
    return true;
  });
  RequestPath Path;
  Path.addTarget("pay", "p1", Target);
  Path.publish();
  RawCaller Idle = Path.connect();
  const std::string Head =
      std::string(" HTTP/1.1\r\nHost: h\r\n") + RequestPath::Key + "\r\n";
  Idle.send("GET /pay/1" + Head);
  EXPECT_TRUE(Idle.readUntil("ok").has("200 OK"));
  RawCaller Busy = Path.connect();
  Busy.send("GET /pay/long" + Head);
  EXPECT_TRUE(Busy.readUntil("part").has("200 OK"));
  Path.config().CallerKeys["k1"].Withdrawn = true;
  Path.publish();
  EXPECT_TRUE(Busy.readAll().Reset);
  Idle.send("GET /pay/1" + Head);
  const auto View = Idle.readUntil("\r\n\r\n");
  EXPECT_TRUE(View.has("401")) << View.Bytes;
  EXPECT_TRUE(View.has("Btr-Refusal: withdrawn-caller-key"));
}

// Guards against work that a target does for a caller that has left.
TEST(RequestPathTest, LeavingCallerCancelsAtTheTarget) {
  std::atomic<bool> Answer = false;
  ScriptedTarget Target(
      [&Answer](ScriptedTarget::Tcp::socket &To, const std::string &Request) {
        if (Request.starts_with("POST /control/cancel"))
          return ScriptedTarget::send(
              To, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        while (!Answer)
          std::this_thread::sleep_for(1ms);
        return false;
      });
  RequestPath Path;
  Path.addTarget("pay", "p1", Target);
  Path.publish();
  {
    RawCaller Caller = Path.connect();
    Caller.send(std::string("POST /pay/1 HTTP/1.1\r\nHost: h\r\n") +
                RequestPath::Key + "Content-Length: 1\r\n\r\nb");
    EXPECT_TRUE(eventually([&] { return Target.requests().size() == 1; }));
    Caller.close();
  }
  EXPECT_TRUE(eventually([&] { return Target.requests().size() == 2; }));
  Answer = true;
  EXPECT_TRUE(Target.requests().back().starts_with("POST /control/cancel"));
  EXPECT_EQ(Path.totals().of(RequestOutcome::CallerLeft), 1U);
}

// Guards against a request for a slice that was revoked after it was planned.
TEST(RequestPathTest, OwnedKeyIsSentWithItsEpochAndCounted) {
  ScriptedTarget Target(ScriptedTarget::answering(Ok));
  RequestPath Path;
  Path.addTarget("stock", "s1", Target);
  auto Table = std::make_shared<InFlightTable>(256);
  Path.inFlight()[ServiceId("stock")] = Table;
  Path.publish();
  const auto View = Path.exchange("POST", "/stock/k1", RequestPath::Key, "b");
  ASSERT_TRUE(View.has("200 OK")) << View.Bytes;
  EXPECT_NE(Target.requests().front().find("Btr-Epoch: 3.7\r\n"),
            std::string::npos);
  EXPECT_TRUE(eventually([&] { return Table->counts().empty(); }));
}

// Guards against an idempotent request that waits for a frozen owner although
// its slice has moved.
TEST(RequestPathTest, IdempotentRequestFollowsItsSlice) {
  std::atomic<bool> Ending = false;
  ScriptedTarget Frozen(
      [&Ending](ScriptedTarget::Tcp::socket &, const std::string &) {
        while (!Ending)
          std::this_thread::sleep_for(1ms);
        return false;
      });
  ScriptedTarget Working(ScriptedTarget::answering(Ok));
  RequestPath Path;
  Path.addTarget("stock", "s1", Frozen);
  Path.publish();
  const std::string Head = std::string(" /stock/k1 HTTP/1.1\r\nHost: h\r\n") +
                           RequestPath::Key + "Btr-Deadline-Ms: 1000\r\n";
  RawCaller Reader = Path.connect();
  Reader.send("GET" + Head + "\r\n");
  RawCaller Writer = Path.connect();
  Writer.send("POST" + Head + "Content-Length: 1\r\n\r\nb");
  EXPECT_TRUE(eventually([&] { return Frozen.requests().size() == 2; }));
  Path.config().Services[ServiceId("stock")].Targets.clear();
  Path.addTarget("stock", "s2", Working);
  Path.publish({3, 8});
  EXPECT_TRUE(Reader.readUntil("ok").has("200 OK"));
  EXPECT_TRUE(Writer.readUntil("\r\n\r\n").has("Btr-Run: unknown"));
  EXPECT_EQ(Working.requests().size(), 1U);
  Ending = true;
}

// Guards against a second attempt that starts after the first one has answered:
// it waited for a slot of the new owner.
TEST(RequestPathTest, AnswerEndsTheWaitForTheNewOwner) {
  std::atomic<bool> FirstAnswers = false;
  std::atomic<bool> FirstEnds = false;
  std::atomic<bool> SecondAnswers = false;
  ScriptedTarget First([&](ScriptedTarget::Tcp::socket &To,
                           const std::string &) {
    while (!FirstAnswers)
      std::this_thread::sleep_for(1ms);
    ScriptedTarget::send(To,
                         "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart");
    while (!FirstEnds)
      std::this_thread::sleep_for(1ms);
    return ScriptedTarget::send(To, "rest");
  });
  ScriptedTarget Second(
      [&](ScriptedTarget::Tcp::socket &To, const std::string &) {
        while (!SecondAnswers)
          std::this_thread::sleep_for(1ms);
        return ScriptedTarget::send(To, Ok);
      });
  RequestPath Path;
  ServiceConfig &Stock = Path.config().Services[ServiceId("stock")];
  Stock.SlotsPerTarget = 1;
  const std::string Head =
      std::string(" /stock/k1 HTTP/1.1\r\nHost: h\r\n") + RequestPath::Key;
  Path.addTarget("stock", "s2", Second);
  Path.publish({3, 7});
  RawCaller Occupant = Path.connect();
  Occupant.send("POST" + Head + "Content-Length: 1\r\n\r\nb");
  EXPECT_TRUE(eventually([&] { return Second.requests().size() == 1; }));
  Path.addTarget("stock", "s1", First);
  Path.publish({3, 8});
  RawCaller Reader = Path.connect();
  Reader.send("GET" + Head + "\r\n");
  EXPECT_TRUE(eventually([&] { return First.requests().size() == 1; }));
  Stock.Targets.erase(TargetId("s1"));
  Path.publish({3, 9});
  EXPECT_TRUE(eventually(
      [&] { return Path.thread().events().value(EntryEvent::SlotWait) == 1; }));
  FirstAnswers = true;
  EXPECT_TRUE(Reader.readUntil("part").has("200 OK"));
  SecondAnswers = true;
  EXPECT_TRUE(Occupant.readUntil("ok").has("200 OK"));
  FirstEnds = true;
  EXPECT_TRUE(Reader.readUntil("rest").has("rest"));
  const auto After = Path.exchange("GET", "/stock/k1", RequestPath::Key);
  EXPECT_TRUE(After.has("200 OK")) << After.Bytes;
  EXPECT_EQ(Second.requests().size(), 2U);
}

// Guards against an answer from an owner whose lease has ended: it comes under
// another epoch than was sent.
TEST(RequestPathTest, AnswerOfAnotherEpochIsNotForwarded) {
  ScriptedTarget Target(ScriptedTarget::answering(
      "HTTP/1.1 200 OK\r\nBtr-Epoch: 3.6\r\nContent-Length: 2\r\n\r\nok"));
  RequestPath Path;
  Path.addTarget("stock", "s1", Target);
  Path.publish();
  const auto View = Path.exchange("POST", "/stock/k1", RequestPath::Key, "b");
  EXPECT_TRUE(View.has("Btr-Run: unknown")) << View.Bytes;
  EXPECT_FALSE(View.has("200 OK"));
}

// Guards against a request to an unverified target without a routing lease.
TEST(RequestPathTest, UnverifiedTargetNeedsTheRoutingLease) {
  ScriptedTarget Target(ScriptedTarget::answering(Ok));
  RequestPath Path;
  Path.addTarget("stock", "s1", Target);
  ServiceConfig &Stock = Path.config().Services[ServiceId("stock")];
  Stock.Verification = TargetVerification::Unverified;
  Stock.DefaultDeadline = 300ms;
  Path.inFlight()[ServiceId("stock")] = std::make_shared<InFlightTable>(256);
  Path.publish();
  const auto View = Path.exchange("POST", "/stock/k1", RequestPath::Key, "b");
  EXPECT_TRUE(View.has("Btr-Run: not-run")) << View.Bytes;
  EXPECT_TRUE(Target.requests().empty());
}

// Guards against a head or body without limit, and against refusals that leave
// the connection in an unclear state.
TEST(RequestPathTest, LimitsOnHeadAndBody) {
  ScriptedTarget Target(ScriptedTarget::answering(Ok));
  TrafficOptions Options;
  Options.Caller.HeadBytes = 1000;
  Options.Caller.BodyBytes = 1000;
  RequestPath Path(Options);
  Path.addTarget("pay", "p1", Target);
  Path.publish();
  const auto Head =
      Path.exchange("GET", "/pay/" + std::string(2000, 'x'), RequestPath::Key);
  EXPECT_TRUE(Head.has("413") && Head.has("head-too-large")) << Head.Bytes;
  EXPECT_TRUE(Head.Closed);
  const auto Body =
      Path.exchange("POST", "/pay/1", RequestPath::Key, std::string(2000, 'x'));
  EXPECT_TRUE(Body.has("413") && Body.has("body-too-large")) << Body.Bytes;
  EXPECT_TRUE(Body.has("Btr-Run: not-run"));
  EXPECT_TRUE(Target.requests().empty());
}

// Guards against slow senders that hold a connection or a slot for ever.
TEST(RequestPathTest, SlowSendersAreRefused) {
  ScriptedTarget Target(ScriptedTarget::answering(Ok));
  TrafficOptions Options;
  Options.Caller.HeadTimeout = 100ms;
  Options.Caller.BodyReadTimeout = 100ms;
  Options.Caller.IdleTimeout = 200ms;
  RequestPath Path(Options);
  Path.addTarget("pay", "p1", Target);
  Path.publish();
  RawCaller SlowHead = Path.connect();
  SlowHead.send("GET /pay/1 HTTP/1.1\r\nHo");
  EXPECT_TRUE(SlowHead.readAll().has("Btr-Refusal: slow-sender"));
  RawCaller SlowBody = Path.connect();
  SlowBody.send(std::string("POST /pay/1 HTTP/1.1\r\nHost: h\r\n") +
                RequestPath::Key + "Content-Length: 10\r\n\r\npart");
  EXPECT_TRUE(SlowBody.readAll().has("Btr-Refusal: slow-sender"));
  RawCaller Idle = Path.connect();
  const auto View = Idle.readAll();
  EXPECT_TRUE(View.Closed);
  EXPECT_EQ(View.Bytes, "");
  const EntryCounters &Events = Path.thread().events();
  EXPECT_EQ(Events.value(EntryEvent::CallerSlowHead), 1U);
  EXPECT_EQ(Events.value(EntryEvent::CallerSlowBody), 1U);
  EXPECT_EQ(Events.value(EntryEvent::CallerIdle), 1U);
}

// Guards against more concurrent requests at a target than it has slots.
TEST(RequestPathTest, SlotsLimitConcurrentRequests) {
  std::atomic<int> Running = 0;
  std::atomic<int> Most = 0;
  ScriptedTarget Target(
      [&](ScriptedTarget::Tcp::socket &To, const std::string &) {
        const int Now = ++Running;
        int Seen = Most;
        while (Now > Seen && !Most.compare_exchange_weak(Seen, Now)) {
        }
        std::this_thread::sleep_for(20ms);
        --Running;
        return ScriptedTarget::send(To, Ok);
      });
  RequestPath Path;
  Path.config().Services[ServiceId("pay")].SlotsPerTarget = 2;
  Path.addTarget("pay", "p1", Target);
  Path.publish();
  std::vector<RawCaller> Callers;
  for (int I = 0; I < 10; ++I) {
    Callers.push_back(Path.connect());
    Callers.back().send(std::string("POST /pay/1 HTTP/1.1\r\nHost: h\r\n") +
                        RequestPath::Key + "Content-Length: 1\r\n\r\nb");
  }
  for (RawCaller &Caller : Callers)
    EXPECT_TRUE(Caller.readUntil("ok").has("200 OK"));
  EXPECT_EQ(Most, 2);
}

// Guards against a queue without bound: requests beyond it are refused.
TEST(RequestPathTest, FullQueueIsRefused) {
  std::atomic<bool> Open = false;
  ScriptedTarget Target(
      [&](ScriptedTarget::Tcp::socket &To, const std::string &) {
        while (!Open)
          std::this_thread::sleep_for(1ms);
        return ScriptedTarget::send(To, Ok);
      });
  RequestPath Path;
  Path.config().Services[ServiceId("pay")].SlotsPerTarget = 1;
  Path.config().Workspaces[WorkspaceId("acme")].QueueLimit = 2;
  Path.addTarget("pay", "p1", Target);
  Path.publish();
  std::vector<RawCaller> Callers;
  for (int I = 0; I < 5; ++I) {
    Callers.push_back(Path.connect());
    Callers.back().send(std::string("POST /pay/1 HTTP/1.1\r\nHost: h\r\n") +
                        RequestPath::Key + "Content-Length: 1\r\n\r\nb");
  }
  EXPECT_TRUE(eventually(
      [&] { return Path.totals().of(RefusalReason::QueueFull) == 2; }));
  Open = true;
  int Answered = 0;
  for (RawCaller &Caller : Callers)
    Answered += Caller.readUntil("\r\n\r\n").has("200 OK") ? 1 : 0;
  EXPECT_EQ(Answered, 3);
}

// Guards against a streamed body that is sent twice, cut or out of order.
TEST(RequestPathTest, LongBodiesAreStreamed) {
  ScriptedTarget Target(ScriptedTarget::answering(Ok));
  RequestPath Path;
  Path.addTarget("pay", "p1", Target);
  Path.publish();
  std::string Body;
  while (Body.size() < 400'000)
    Body += std::to_string(Body.size()) + ",";
  const auto View = Path.exchange("POST", "/pay/1", RequestPath::Key, Body);
  ASSERT_TRUE(View.has("200 OK")) << View.Bytes;
  ASSERT_EQ(Target.requests().size(), 1U);
  EXPECT_TRUE(Target.requests().front().ends_with("\r\n\r\n" + Body));
}

// Guards against a shutdown that cuts off a running request or a request that
// arrives on a connection that was idle.
TEST(RequestPathTest, ShutdownFinishesRequests) {
  ScriptedTarget Target(
      [](ScriptedTarget::Tcp::socket &To, const std::string &) {
        std::this_thread::sleep_for(200ms);
        return ScriptedTarget::send(To, Ok);
      });
  RequestPath Path;
  Path.addTarget("pay", "p1", Target);
  Path.publish();
  const std::string Request =
      std::string("POST /pay/1 HTTP/1.1\r\nHost: h\r\n") + RequestPath::Key +
      "Content-Length: 1\r\n\r\nb";
  RawCaller Running = Path.connect();
  RawCaller Late = Path.connect();
  RawCaller Idle = Path.connect();
  Running.send(Request);
  EXPECT_TRUE(eventually([&] { return Target.requests().size() == 1; }));
  std::atomic<bool> Drained = false;
  Path.thread().shutDown([&] { Drained = true; });
  Late.send(Request);
  const auto RunningView = Running.readAll();
  EXPECT_TRUE(RunningView.has("200 OK") && RunningView.Closed)
      << RunningView.Bytes;
  const auto LateView = Late.readAll();
  EXPECT_TRUE(LateView.has("200 OK") && LateView.Closed) << LateView.Bytes;
  EXPECT_TRUE(LateView.has("Connection: close"));
  EXPECT_TRUE(Idle.readAll().Closed);
  EXPECT_TRUE(eventually([&] { return Drained.load(); }));
}

} // namespace
