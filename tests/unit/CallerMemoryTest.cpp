#include "Gateway/CallerSession.h"
#include "IO/BootClock.h"
#include "support/CountingHandler.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// A caller's connection with a budget of its own.
class CallerMemoryTest : public testing::Test {
protected:
  static constexpr std::size_t Limit = 8'000'000;
  static constexpr std::size_t BodyBytes = 300'000;

  CallerMemoryTest()
      : Listener(Io, {boost::asio::ip::address_v4::loopback(), 0}), Caller(Io) {
    Limits.HeadTimeout = 100ms;
    Caller.connect(Listener.local_endpoint());
    Session = std::make_shared<CallerSession>(Listener.accept(), Handler,
                                              Limits, Budget);
    Session->start();
  }

  auto send(const std::string &Bytes) -> void {
    boost::asio::write(Caller, boost::asio::buffer(Bytes));
  }
  /// Sends a request with a body of BodyBytes, the last \p Missing not.
  auto sendBody(std::size_t Missing) -> void {
    send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(BodyBytes) + "\r\n\r\n" +
         std::string(BodyBytes - Missing, 'b'));
  }
  auto runFor(std::chrono::milliseconds Time) -> void {
    Io.restart();
    Io.run_for(Time);
  }
  template <class Condition>
  auto runUntil(Condition Holds) -> bool {
    const auto Deadline = std::chrono::steady_clock::now() + 5s;
    while (!Holds() && std::chrono::steady_clock::now() < Deadline) {
      Io.restart();
      Io.run_one_for(20ms);
    }
    return Holds();
  }
  auto readAll() -> std::string {
    std::string Bytes;
    bool Ended = false;
    boost::asio::async_read(Caller, boost::asio::dynamic_buffer(Bytes),
                            [&Ended](const boost::system::error_code &,
                                     std::size_t) { Ended = true; });
    EXPECT_TRUE(runUntil([&Ended] { return Ended; }));
    return Bytes;
  }

  RequestLimits Limits;
  boost::asio::io_context Io;
  tcp::acceptor Listener;
  tcp::socket Caller;
  CountingHandler Handler;
  std::shared_ptr<MemoryBudget> Budget = std::make_shared<MemoryBudget>(Limit);
  std::shared_ptr<CallerSession> Session;
};

} // namespace

// Guards against memory of a refused request that stays held while the
// connection ends, and against its being passed on.
TEST_F(CallerMemoryTest, ReleasedRequestIsRefusedAndNotPassedOn) {
  sendBody(1);
  ASSERT_TRUE(runUntil(
      [this] { return Session->memoryState(TimePoint()).Remaining == 1; }));
  EXPECT_EQ(Session->memoryState(TimePoint()).Use, MemoryUse::Receiving);
  EXPECT_GT(Budget->used(), BodyBytes - 1);
  Session->releaseMemory();
  EXPECT_LT(Budget->used(), 50'000U);
  EXPECT_NE(readAll().find("HTTP/1.1 503"), std::string::npos);
  EXPECT_EQ(Handler.Received, 0);
}

// Guards against requests that are lost, or read, while memory is short.
TEST_F(CallerMemoryTest, PausedRequestIsReadOnceMemoryIsFree) {
  Budget->add(Limit);
  sendBody(0);
  ASSERT_TRUE(runUntil([this] { return Budget->isShort(); }));
  runFor(50ms);
  EXPECT_EQ(Handler.Received, 0);
  Budget->remove(Limit);
  Budget->relieve(TimePoint(1h));
  EXPECT_TRUE(runUntil([this] { return Handler.Received == 1; }));
}

// Guards against 408 for a caller that was not slow, and against connections
// that wait for memory without end.
TEST_F(CallerMemoryTest, RequestThatWaitsForMemoryTooLongIsRefusedAs503) {
  Budget->add(Limit);
  sendBody(0);
  EXPECT_NE(readAll().find("HTTP/1.1 503"), std::string::npos);
  EXPECT_EQ(Handler.Received, 0);
  EXPECT_FALSE(Budget->isShort());
  Budget->remove(Limit);
}

// Guards against a caller that has stopped sending and does not count as
// stalled because its connection waits for memory, and against one that does
// although the connection does not read what it has sent.
TEST_F(CallerMemoryTest, PausedCallerCountsAsStalledOnlyWithoutInput) {
  Budget->add(Limit);
  send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nb");
  ASSERT_TRUE(runUntil([this] { return Budget->isShort(); }));
  EXPECT_GT(Session->memoryState(bootNow() + 10s).Stalled, 9s);
  send(std::string(900, 'b'));
  EXPECT_LT(Session->memoryState(bootNow() + 10s).Stalled, 9s);
  Budget->remove(Limit);
}

// Guards against a request behind a paused one that is taken for its body.
TEST_F(CallerMemoryTest, PipelinedRequestsBehindAPausedOneAreRead) {
  Budget->add(Limit);
  sendBody(0);
  send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(runUntil([this] { return Budget->isShort(); }));
  Budget->remove(Limit);
  Budget->relieve(TimePoint(1h));
  EXPECT_TRUE(runUntil([this] { return Handler.Received == 2; }));
}

// Guards against a drain that leaves a paused connection open for good.
TEST_F(CallerMemoryTest, DrainEndsAPausedConnectionAfterItsRequests) {
  send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(runUntil([this] { return Handler.Received == 1; }));
  Budget->add(Limit);
  sendBody(0);
  ASSERT_TRUE(runUntil([this] { return Budget->isShort(); }));
  Session->drain(false);
  runFor(20ms);
  CallerResponse Response;
  Response.Status = 200;
  Session->respond(Handler.LastNumber, std::move(Response));
  EXPECT_NE(readAll().find("Connection: close"), std::string::npos);
  EXPECT_EQ(Handler.Received, 1);
  Budget->remove(Limit);
}

// Guards against responses that are held for a caller that does not read them.
TEST_F(CallerMemoryTest, UnreadResponsesEndWithTheConnection) {
  send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(runUntil([this] { return Handler.Received == 1; }));
  CallerResponse Response;
  Response.Status = 200;
  Response.Body = BlockBuffer(Budget);
  Response.Body.append(std::string(32UL * 1024 * 1024, 'x'));
  Session->respond(Handler.LastNumber, std::move(Response));
  runFor(50ms);
  EXPECT_EQ(Session->memoryState(TimePoint()).Use, MemoryUse::Sending);
  EXPECT_LT(Budget->used(), 32UL * 1024 * 1024) << "freed while it is written";
  Session->releaseMemory();
  runFor(50ms);
  EXPECT_EQ(Handler.Ended, 1);
  EXPECT_EQ(Handler.Ending.Cause, SessionEnd::MemoryShort);
  Session.reset();
  EXPECT_EQ(Budget->used(), 0U);
}

// Guards against connections with a request that are closed for new ones.
TEST_F(CallerMemoryTest, OnlyConnectionsWithoutARequestAreDisplaced) {
  runFor(10ms);
  EXPECT_TRUE(Session->idleSince());
  send("GET /a HTTP");
  runFor(10ms);
  EXPECT_FALSE(Session->idleSince());
  send("/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(runUntil([this] { return Handler.Received == 1; }));
  EXPECT_FALSE(Session->idleSince());
  CallerResponse Response;
  Response.Status = 200;
  Session->respond(Handler.LastNumber, std::move(Response));
  ASSERT_TRUE(runUntil([this] { return Session->idleSince().has_value(); }));
  send("GET /b");
  EXPECT_FALSE(Session->displace());
  runFor(10ms);
  EXPECT_FALSE(Session->idleSince());
  send(" HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(runUntil([this] { return Handler.Received == 2; }));
  CallerResponse Second;
  Second.Status = 204;
  Session->respond(Handler.LastNumber, std::move(Second));
  ASSERT_TRUE(runUntil([this] { return Session->idleSince().has_value(); }));
  EXPECT_TRUE(Session->displace());
  EXPECT_EQ(Handler.Ending.Cause, SessionEnd::Displaced);
  EXPECT_TRUE(Handler.Ending.complete());
  EXPECT_NE(readAll().find(" 200 "), std::string::npos);
}
