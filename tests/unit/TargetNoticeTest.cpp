#include "support/GatewayFixture.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;
using Socket = ScriptedTarget::Tcp::socket;

constexpr const char *Leaving = "Server-Leaving: 1\r\n";
constexpr const char *Granted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

auto isOrder(const std::string &Request) -> bool {
  return Request.starts_with("POST /v1/");
}

/// Number of requests at a target, without orders.
auto requestCount(const ScriptedTarget &Target) -> std::size_t {
  auto All = Target.requests();
  std::erase_if(All, isOrder);
  return All.size();
}

/// Script of a target that answers orders plainly and each request with the
/// status and the fields that are set at that moment.
class Answers {
public:
  auto set(int NewStatus, std::string NewFields) -> void {
    const std::lock_guard Guard(Mutex);
    Status = NewStatus;
    Fields = std::move(NewFields);
  }
  auto script() -> ScriptedTarget::Script {
    return [this](Socket &To, const std::string &Request) {
      if (isOrder(Request))
        return ScriptedTarget::send(To, Granted);
      const std::lock_guard Guard(Mutex);
      return ScriptedTarget::send(
          To, GatewayFixture::response(GatewayFixture::requestId(Request), "ok",
                                       Fields, Status));
    };
  }

private:
  std::mutex Mutex;
  int Status = 200;
  std::string Fields;
};

/// Sends requests to /safe/, pipelined on some connections and one by one on
/// others, all at the same time.
auto sendMany(GatewayFixture &Fixture, int Connections) -> void {
  std::vector<std::thread> Callers;
  Callers.reserve(static_cast<std::size_t>(Connections));
  for (int Index = 0; Index < Connections; ++Index)
    Callers.emplace_back([&Fixture, Index] {
      const std::string Id = "c" + std::to_string(Index) + "-";
      if (Index % 2 == 0) {
        Fixture.exchange("GET", "/safe/1", "", "", Id + "0");
        return;
      }
      boost::asio::io_context Io;
      Socket Connection(Io);
      Connection.connect(Fixture.endpoint());
      RawCaller Caller(std::move(Connection));
      Caller.send(GatewayFixture::request("GET", "/safe/1", Id + "1") +
                  GatewayFixture::request("GET", "/safe/2", Id + "2") +
                  GatewayFixture::request("GET", "/safe/3", Id + "3",
                                          "Connection: close\r\n"));
      Caller.readAll();
    });
  for (std::thread &Each : Callers)
    Each.join();
}

/// Sends requests until the target has received one. Returns whether it has.
auto reach(GatewayFixture &Fixture, const ScriptedTarget &Target) -> bool {
  return eventually([&] {
    sendMany(Fixture, 4);
    return requestCount(Target) > 0;
  });
}

auto retryAfter(const CallerView &View) -> double {
  const std::string Name = "Retry-After: ";
  const auto Position = View.Bytes.find(Name);
  return Position == std::string::npos
             ? 0
             : std::stod(View.Bytes.substr(Position + Name.size()));
}

// Guards against requests that go on to a target after it has announced in its
// responses that it leaves, until its record in the store says so too.
TEST(TargetNoticeTest, TargetThatAnnouncesItsLeavingGetsNoFurtherRequests) {
  Answers LeavingAnswers;
  LeavingAnswers.set(200, Leaving);
  ScriptedTarget First(LeavingAnswers.script());
  ScriptedTarget Second(GatewayFixture::answering());
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", First);
  Fixture.addTarget("pay", "t2", Second);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  ASSERT_TRUE(reach(Fixture, First));
  const std::size_t Before = requestCount(First);
  sendMany(Fixture, 12);
  // The announcement holds over later records, configurations and an outage.
  Fixture.addTarget("pay", "t1", First, "ready", 2);
  Fixture.configure(2);
  std::this_thread::sleep_for(100ms);
  sendMany(Fixture, 12);
  Fixture.store().setDown(true);
  std::this_thread::sleep_for(300ms);
  sendMany(Fixture, 12);
  Fixture.store().setDown(false);
  std::this_thread::sleep_for(300ms);
  sendMany(Fixture, 12);
  EXPECT_EQ(requestCount(First), Before);
}

// Guards against an announcement that is forgotten when the record disappears
// and returns, as from a restored copy of the store.
TEST(TargetNoticeTest, AnnouncementOutlivesTheRecordOfTheTarget) {
  Answers LeavingAnswers;
  LeavingAnswers.set(200, Leaving);
  ScriptedTarget First(LeavingAnswers.script());
  ScriptedTarget Second(GatewayFixture::answering());
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", First);
  Fixture.addTarget("pay", "t2", Second);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  ASSERT_TRUE(reach(Fixture, First));
  const std::size_t Before = requestCount(First);
  Fixture.store().remove("servers", "t1");
  std::this_thread::sleep_for(200ms);
  Fixture.addTarget("pay", "t1", First);
  std::this_thread::sleep_for(200ms);
  sendMany(Fixture, 24);
  EXPECT_EQ(requestCount(First), Before);
}

// Guards against requests that go on to a target that has turned one away and
// asked for a pause.
TEST(TargetNoticeTest, TargetThatAsksForAPauseGetsNoRequestsUntilItsEnd) {
  Answers PausingAnswers;
  PausingAnswers.set(503, "Not-Executed: 1\r\nRetry-After: 1.5\r\n");
  ScriptedTarget First(PausingAnswers.script());
  ScriptedTarget Second(GatewayFixture::answering());
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", First);
  Fixture.addTarget("pay", "t2", Second);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  ASSERT_TRUE(reach(Fixture, First));
  const auto PausedAt = Clock::now();
  const std::size_t Before = requestCount(First);
  while (Clock::now() - PausedAt < 1000ms)
    sendMany(Fixture, 8);
  EXPECT_EQ(requestCount(First), Before);
  PausingAnswers.set(200, "");
  EXPECT_TRUE(eventually([&] {
    sendMany(Fixture, 4);
    return requestCount(First) > Before;
  }));
}

// Guards against requests that wait, or are told to come back too early, when
// it is known that no target takes one.
TEST(TargetNoticeTest, RequestsAreRefusedAtOnceWhileAllTargetsPause) {
  Answers PausingAnswers;
  ScriptedTarget First(PausingAnswers.script());
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", First);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  PausingAnswers.set(503, "Not-Executed: 1\r\nRetry-After: 4\r\n");
  Fixture.exchange("GET", "/safe/1");
  const std::size_t Before = requestCount(First);
  for (const char *Path : {"/safe/2", "/unsafe/2"}) {
    const auto View = Fixture.exchange("POST", Path);
    EXPECT_TRUE(View.has("HTTP/1.1 503")) << View.Bytes;
    EXPECT_TRUE(View.has("Btr-Refusal: targets-paused")) << View.Bytes;
    EXPECT_TRUE(View.has("Btr-Run: not-run")) << View.Bytes;
    EXPECT_GT(retryAfter(View), 3.0) << View.Bytes;
    EXPECT_LE(retryAfter(View), 6.0) << View.Bytes;
  }
  EXPECT_EQ(requestCount(First), Before);
}

// Guards against requests that wait for an owner whose pause is too short for
// its keys to be moved, and ends after they would have stopped waiting.
TEST(TargetNoticeTest, RequestsForKeysOfABrieflyPausingOwnerAreRefusedAtOnce) {
  std::atomic<bool> Pauses = false;
  const auto Script = [&Pauses](Socket &To, const std::string &Request) {
    if (isOrder(Request))
      return ScriptedTarget::send(To, Granted);
    const std::string Id = GatewayFixture::requestId(Request);
    return ScriptedTarget::send(
        To, Pauses.exchange(false)
                ? GatewayFixture::response(
                      Id, "", "Not-Executed: 1\r\nRetry-After: 0.75\r\n", 503)
                : GatewayFixture::response(Id, "ok"));
  };
  ScriptedTarget First(Script);
  ScriptedTarget Second(Script);
  GatewayFixture Fixture;
  Fixture.addTarget("stock", "o1", First);
  Fixture.addTarget("stock", "o2", Second);
  Fixture.configure(1);
  const auto Ask = [&Fixture] {
    return Fixture.exchange("GET", "/owned/1", "Shard-Key: 7\r\n");
  };
  ASSERT_TRUE(eventually([&] { return Ask().has(" 200 "); }));
  Pauses = true;
  for (int Count = 0; Count < 2; ++Count) {
    const auto View = Ask();
    EXPECT_TRUE(View.has("Btr-Refusal: targets-paused")) << View.Bytes;
    EXPECT_GT(retryAfter(View), 0.3) << View.Bytes;
    EXPECT_LE(retryAfter(View), 1.0) << View.Bytes;
  }
  EXPECT_TRUE(eventually([&] { return Ask().has(" 200 "); }));
}

// Guards against keys that stay with an owner which has announced that it
// leaves, until its record says so. The announcement arrives with the answer to
// an order or to a request.
TEST(TargetNoticeTest, KeysOfALeavingOwnerAreHandedOver) {
  for (const bool InOrders : {true, false}) {
    std::atomic<bool> Announces = false;
    std::atomic<bool> Released = false;
    ScriptedTarget First([&](Socket &To, const std::string &Request) {
      const std::string Fields = Announces ? Leaving : "";
      if (Announces && Request.starts_with("POST /v1/release"))
        Released = true;
      if (isOrder(Request))
        return ScriptedTarget::send(To, "HTTP/1.1 200 OK\r\n" +
                                            (InOrders ? Fields : "") +
                                            "Content-Length: 0\r\n\r\n");
      return ScriptedTarget::send(
          To, GatewayFixture::response(GatewayFixture::requestId(Request),
                                       "first", InOrders ? "" : Fields));
    });
    Answers SoundAnswers;
    ScriptedTarget Second(SoundAnswers.script());
    GatewayFixture Fixture;
    Fixture.addTarget("stock", "o1", First);
    Fixture.addTarget("stock", "o2", Second);
    Fixture.configure(1);
    const auto AnswersOfAllKeys = [&Fixture](const std::string &Body) {
      int Count = 0;
      for (int Key = 0; Key < 65536; Key += 4096)
        Count += Fixture
                     .exchange("GET", "/owned/1",
                               "Shard-Key: " + std::to_string(Key) + "\r\n")
                     .has("\r\n\r\n" + Body);
      return Count;
    };
    ASSERT_TRUE(eventually([&] { return AnswersOfAllKeys("first") > 0; }));
    Announces = true;
    EXPECT_TRUE(eventually([&] { return AnswersOfAllKeys("ok") == 16; }))
        << InOrders;
    EXPECT_TRUE(Released) << InOrders;
  }
}

// A new target under the same id and address starts without what the earlier
// one has announced.
TEST(TargetNoticeTest, NewIncarnationStartsWithoutAnnouncements) {
  for (const char *Fields :
       {Leaving, "Not-Executed: 1\r\nRetry-After: 60\r\n"}) {
    Answers FirstAnswers;
    ScriptedTarget First(FirstAnswers.script());
    GatewayFixture Fixture;
    Fixture.addTarget("pay", "t1", First);
    Fixture.configure(1);
    ASSERT_TRUE(Fixture.waitUntilServing());
    FirstAnswers.set(503, Fields);
    Fixture.exchange("GET", "/safe/1");
    FirstAnswers.set(200, "");
    auto Record = *Fixture.store().value("servers", "t1");
    Record["born"] = 2000;
    Fixture.store().set("servers", "t1", Record);
    EXPECT_TRUE(eventually([&Fixture] {
      return Fixture.exchange("GET", "/safe/1").has("HTTP/1.1 200");
    })) << Fields;
  }
}

// Another target at the same address answers 421; what it announces does not
// concern the one that the request was meant for.
TEST(TargetNoticeTest, AnnouncementInAMisdirectedAnswerIsIgnored) {
  Answers FirstAnswers;
  ScriptedTarget First(FirstAnswers.script());
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", First);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  FirstAnswers.set(421, std::string("Not-Executed: 1\r\n") + Leaving);
  Fixture.exchange("GET", "/safe/1");
  FirstAnswers.set(200, "");
  EXPECT_TRUE(eventually([&Fixture] {
    return Fixture.exchange("GET", "/safe/1").has("HTTP/1.1 200");
  }));
}

// A pause that cannot be read is no pause.
TEST(TargetNoticeTest, UnreadablePauseIsIgnored) {
  for (const char *Value : {"-1", "9999999999", "soon", "1s", "",
                            "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    Answers FirstAnswers;
    ScriptedTarget First(FirstAnswers.script());
    GatewayFixture Fixture;
    Fixture.addTarget("pay", "t1", First);
    Fixture.configure(1);
    ASSERT_TRUE(Fixture.waitUntilServing());
    FirstAnswers.set(503, std::string("Not-Executed: 1\r\nRetry-After: ") +
                              Value + "\r\n");
    Fixture.exchange("GET", "/safe/1");
    FirstAnswers.set(200, "");
    EXPECT_TRUE(eventually([&Fixture] {
      return Fixture.exchange("GET", "/safe/1").has("HTTP/1.1 200");
    })) << Value;
  }
}

} // namespace
