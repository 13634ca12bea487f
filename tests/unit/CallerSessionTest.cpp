#include "Gateway/CallerSession.h"
#include "support/CountingHandler.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

class CallerSessionTest : public testing::Test {
protected:
  /// Larger than the buffers of both sockets.
  static constexpr std::size_t LargeBody = 16UL * 1024 * 1024;

  explicit CallerSessionTest(const RequestLimits &Limits = RequestLimits())
      : Listener(Io, {boost::asio::ip::address_v4::loopback(), 0}), Caller(Io) {
    Caller.connect(Listener.local_endpoint());
    Session =
        std::make_shared<CallerSession>(Listener.accept(), Handler, Limits);
  }

  /// Sends a request for \p Path and waits until it has been read.
  auto sendRequest(const std::string &Path) -> std::uint64_t {
    const int Before = Handler.Received;
    send("GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(runUntil([&] { return Handler.Received > Before; }));
    return Handler.LastNumber;
  }
  auto answer(std::uint64_t Number, const std::string &Body,
              bool EndsWithClose = false) -> void {
    CallerResponse Response;
    Response.Status = 200;
    Response.Body = Body;
    Response.EndsWithClose = EndsWithClose;
    Session->respond(Number, std::move(Response));
  }
  auto runFor(std::chrono::milliseconds Time) -> void {
    Io.restart();
    Io.run_for(Time);
  }
  /// Reads until the connection ends, which has to happen in order.
  auto readAll() -> std::string {
    std::string Bytes;
    std::optional<boost::system::error_code> End;
    boost::asio::async_read(Caller, boost::asio::dynamic_buffer(Bytes),
                            [&End](const boost::system::error_code &Failure,
                                   std::size_t) { End = Failure; });
    EXPECT_TRUE(runUntil([&End] { return End.has_value(); }));
    EXPECT_EQ(End, boost::asio::error::eof);
    return Bytes;
  }

  auto send(const std::string &Bytes) -> void {
    boost::asio::write(Caller, boost::asio::buffer(Bytes));
  }
  /// Runs the session until the condition holds.
  template <class Condition>
  auto runUntil(Condition Holds) -> bool {
    const auto Deadline = std::chrono::steady_clock::now() + 5s;
    while (!Holds() && std::chrono::steady_clock::now() < Deadline) {
      Io.restart();
      Io.run_one_for(100ms);
    }
    return Holds();
  }

  /// Sends a second request while the first one gets a large response.
  auto expectNothingIsReadBehind() -> void {
    runFor(50ms);
    send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    runFor(50ms);
    EXPECT_EQ(Handler.Received, 1);
    // The unread request must not make the end of the connection a reset
    // either, by which the caller would lose the rest of the response.
    const std::string Bytes = readAll();
    EXPECT_EQ(Bytes.size() - Bytes.find("\r\n\r\n") - 4, LargeBody);
  }

  boost::asio::io_context Io;
  tcp::acceptor Listener;
  tcp::socket Caller;
  CountingHandler Handler;
  std::shared_ptr<CallerSession> Session;
};

// Guards against sending a request to a target although its caller has
// disconnected. An instance that is short of processor time may read a request
// only after that.
TEST_F(CallerSessionTest, RequestOfADisconnectedCallerIsNotHandled) {
  send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  Caller.close();
  Session->start();
  EXPECT_TRUE(runUntil([this] { return Handler.Ended == 1; }));
  EXPECT_EQ(Handler.Received, 0);
}

// Guards against missing a disconnect on a connection from which no further
// request is read.
TEST_F(CallerSessionTest, DisconnectAfterTheLastRequestIsDetected) {
  Session->start();
  send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  ASSERT_TRUE(runUntil([this] { return Handler.Received == 1; }));
  Caller.close();
  EXPECT_TRUE(runUntil([this] { return Handler.Disconnected == 1; }));
  EXPECT_EQ(Handler.Ended, 1);
}

// Bytes after the last request are not read and do not end the request.
TEST_F(CallerSessionTest, TrailingBytesAreNotTakenForADisconnect) {
  Session->start();
  send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /b ");
  ASSERT_TRUE(runUntil([this] { return Handler.Received == 1; }));
  send("HTTP/1.1\r\n");
  Io.restart();
  Io.run_for(200ms);
  EXPECT_EQ(Handler.Disconnected, 0);
  EXPECT_EQ(Handler.Received, 1);
}

// Guards against a planned stop that closes a connection on which a request
// has just arrived.
TEST_F(CallerSessionTest, DrainAnswersARequestThatWasNotReadYet) {
  Session->start();
  Io.poll();
  send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  Session->drain(true);
  EXPECT_TRUE(runUntil([this] { return Handler.Received == 1; }));
  EXPECT_EQ(Handler.Ended, 0);
}

// Guards against a planned stop that never closes the connection of a caller
// that always has a further request in progress: its requests were broken off
// at the end of the grace period.
TEST_F(CallerSessionTest, DrainEndsTheConnectionOfAPipeliningCaller) {
  Session->start();
  const std::uint64_t First = sendRequest("/a");
  const std::uint64_t Second = sendRequest("/b");
  Session->drain(false);
  send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
  answer(First, "first");
  runFor(50ms);
  answer(Second, "second");
  const std::string Bytes = readAll();
  EXPECT_NE(Bytes.find("Connection: close\r\n\r\nsecond"), std::string::npos)
      << Bytes;
  EXPECT_EQ(Bytes.find("Connection: close"), Bytes.rfind("Connection: close"));
  EXPECT_EQ(Handler.Received, 2);
  EXPECT_EQ(Handler.Disconnected, 0);
}

// Guards against requests that run and are never answered: they were read while
// a response that closes the connection was being written.
TEST_F(CallerSessionTest, NoRequestIsReadBehindAResponseWithoutLength) {
  Session->start();
  answer(sendRequest("/a"), std::string(LargeBody, 'x'), true);
  expectNothingIsReadBehind();
  EXPECT_EQ(Handler.Disconnected, 0);
}

// The same for a response that closes the connection in a planned stop.
TEST_F(CallerSessionTest, NoRequestIsReadBehindTheLastOneOfADrain) {
  Session->start();
  Session->drain(false);
  answer(sendRequest("/a"), std::string(LargeBody, 'x'));
  expectNothingIsReadBehind();
}

// Guards against a reset of a connection whose caller has not read yet that the
// response is the last one, and sends further requests.
TEST_F(CallerSessionTest, CallerThatStillSendsIsNotReset) {
  Session->start();
  Session->drain(false);
  answer(sendRequest("/a"), "last");
  boost::system::error_code Failure;
  for (int Count = 0; Count < 8; ++Count) {
    runFor(200ms);
    boost::asio::write(Caller,
                       boost::asio::buffer(std::string("GET /b HTTP/1.1\r\n")),
                       Failure);
    EXPECT_FALSE(Failure);
  }
  EXPECT_TRUE(readAll().ends_with("last"));
}

// Guards against parts of a request without end that fill the memory.
TEST_F(CallerSessionTest, RequestWithoutEndIsRefused) {
  Session->start();
  send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;e=");
  const std::string Part(64UL * 1024, 'a');
  Caller.non_blocking(true);
  for (int Count = 0; Count < 500 && Handler.Ended == 0; ++Count) {
    boost::system::error_code Ignored;
    Caller.write_some(boost::asio::buffer(Part), Ignored);
    Io.restart();
    Io.poll();
  }
  EXPECT_EQ(Handler.Ended, 1);
  EXPECT_EQ(Handler.Received, 0);
}

TEST_F(CallerSessionTest, EndingTellsWhatWasLeftUndone) {
  Session->start();
  sendRequest("/a");
  sendRequest("/b");
  Caller.close();
  ASSERT_TRUE(runUntil([this] { return Handler.Ended == 1; }));
  EXPECT_EQ(Handler.Ending.Cause, SessionEnd::CallerLeft);
  EXPECT_EQ(Handler.Ending.UnansweredRequests, 2U);
  EXPECT_FALSE(Handler.Ending.ResponseCut);
  EXPECT_FALSE(Handler.Ending.UnreadInput);
  EXPECT_FALSE(Handler.Ending.complete());
}

TEST_F(CallerSessionTest, EndingOfAnAnsweredConnectionIsComplete) {
  Session->start();
  Session->drain(false);
  answer(sendRequest("/a"), "a");
  ASSERT_TRUE(runUntil([this] { return Handler.Ended == 1; }));
  EXPECT_EQ(Handler.Ending.Cause, SessionEnd::LastResponse);
  EXPECT_TRUE(Handler.Ending.complete());
}

class ImpatientCallerSessionTest : public CallerSessionTest {
protected:
  ImpatientCallerSessionTest() : CallerSessionTest(limits()) {}

  static auto limits() -> RequestLimits {
    RequestLimits Limits;
    Limits.HeadTimeout = 50ms;
    return Limits;
  }
};

// Guards against a time-out of a slow upload that breaks off the response to an
// earlier request.
TEST_F(ImpatientCallerSessionTest, TimeoutOfAnUploadKeepsEarlierResponses) {
  Session->start();
  answer(sendRequest("/a"), std::string(LargeBody, 'x'));
  send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\npart");
  runFor(500ms);
  const std::string Bytes = readAll();
  EXPECT_GT(Bytes.size(), LargeBody);
  EXPECT_NE(Bytes.find("HTTP/1.1 408 "), std::string::npos);
}

class IdleCallerSessionTest : public CallerSessionTest {
protected:
  IdleCallerSessionTest() : CallerSessionTest(limits()) {}

  static auto limits() -> RequestLimits {
    RequestLimits Limits;
    Limits.HeadTimeout = 300ms;
    Limits.IdleTimeout = 200ms;
    return Limits;
  }

  /// Sends \p Bytes after the timer of the session has expired, and before the
  /// session is told so.
  auto sendAsTimerExpires(const std::string &Bytes,
                          std::chrono::milliseconds Timeout) -> void {
    boost::asio::steady_timer Sooner(Io, 10ms);
    Sooner.async_wait([&](const boost::system::error_code &) { send(Bytes); });
    std::this_thread::sleep_for(Timeout + 20ms);
    runFor(20ms);
  }
};

// Guards against closing a connection on which a request has just arrived when
// an instance that is short of processor time handles the timer first.
TEST_F(IdleCallerSessionTest, IdleTimeoutKeepsARequestThatWasNotReadYet) {
  Session->start();
  Io.poll();
  sendAsTimerExpires("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 200ms);
  EXPECT_TRUE(runUntil([this] { return Handler.Received == 1; }));
  EXPECT_EQ(Handler.Ended, 0);
}

// The same for the rest of a request's head.
TEST_F(IdleCallerSessionTest, HeadTimeoutKeepsAHeadThatWasNotReadYet) {
  Session->start();
  answer(sendRequest("/a"), "a");
  send("GET /b HTTP/1.1\r\n");
  runFor(250ms);
  sendAsTimerExpires("Host: h\r\n\r\n", 300ms);
  EXPECT_TRUE(runUntil([this] { return Handler.Received == 2; }));
  EXPECT_EQ(Handler.Ended, 0);
}

// Guards against counting the idle time of a connection as time for the head.
TEST_F(IdleCallerSessionTest, HeadHasItsFullTimeAfterAnIdleTime) {
  Session->start();
  runFor(150ms);
  send("GET /a HTTP/1.1\r\n");
  runFor(150ms);
  send("Host: h\r\n\r\n");
  EXPECT_TRUE(runUntil([this] { return Handler.Received == 1; }));
}

TEST_F(IdleCallerSessionTest, IdleConnectionIsClosed) {
  Session->start();
  EXPECT_EQ(readAll(), "");
  EXPECT_EQ(Handler.Ended, 1);
}

// Guards against heads without end.
TEST_F(IdleCallerSessionTest, SlowHeadIsRefused) {
  Session->start();
  send("GET /a HTTP/1.1\r\n");
  const std::string Field = "X: y\r\n";
  for (int Count = 0; Count < 20 && Handler.Ended == 0; ++Count) {
    boost::system::error_code Ignored;
    Caller.write_some(boost::asio::buffer(Field), Ignored);
    runFor(50ms);
  }
  EXPECT_EQ(Handler.Ended, 1);
  EXPECT_EQ(Handler.Received, 0);
  EXPECT_NE(readAll().find("HTTP/1.1 408 "), std::string::npos);
}

// Guards against an idle time-out that breaks off the response to the last of
// several requests, at the most that are in progress at the same time.
TEST_F(IdleCallerSessionTest, ConnectionIsNotIdleWhileAResponseIsWritten) {
  Session->start();
  std::uint64_t Last = 0;
  for (int Count = 0; Count < 16; ++Count)
    Last = sendRequest("/a");
  for (std::uint64_t Number = Last - 15; Number < Last; ++Number)
    answer(Number, "a");
  answer(Last, std::string(LargeBody, 'x'));
  runFor(500ms);
  EXPECT_GT(readAll().size(), LargeBody);
}

// Guards against the idle time-out replacing the time-out of an upload when an
// earlier response has been written.
TEST_F(IdleCallerSessionTest, EarlierResponseKeepsTheTimeoutOfAnUpload) {
  Session->start();
  const std::uint64_t First = sendRequest("/a");
  send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\npart");
  runFor(50ms);
  answer(First, "a");
  runFor(600ms);
  send("part");
  EXPECT_TRUE(runUntil([this] { return Handler.Received == 2; }));
}

// Guards against breaking off a response because its caller reads it slowly.
TEST_F(CallerSessionTest, SlowReaderGetsTheWholeResponse) {
  Session->start();
  answer(sendRequest("/a"), std::string(2 * LargeBody, 'x'));
  std::string Bytes;
  std::string Part(2'500'000, ' ');
  while (Bytes.size() < 2 * LargeBody && Handler.Ended == 0) {
    runFor(500ms);
    boost::system::error_code Failure;
    Caller.non_blocking(true);
    const auto Count =
        boost::asio::read(Caller, boost::asio::buffer(Part), Failure);
    Bytes.append(Part, 0, Count);
    if (Failure && Failure != boost::asio::error::would_block)
      break;
  }
  EXPECT_GT(Bytes.size(), 2 * LargeBody);
  EXPECT_EQ(Handler.Ended, 0);
}

// Guards against breaking off a response because its caller is still reading an
// earlier one, which the system has taken but not delivered.
TEST_F(CallerSessionTest, SlowReaderOfAnEarlierResponseGetsTheNextOne) {
  Caller.set_option(boost::asio::socket_base::receive_buffer_size(64 * 1024));
  Session->start();
  const std::uint64_t First = sendRequest("/a");
  const std::uint64_t Second = sendRequest("/b");
  const std::size_t FirstBody = 2'000'000;
  answer(First, std::string(FirstBody, 'x'));
  answer(Second, std::string(LargeBody, 'y'));
  std::size_t Bytes = 0;
  std::string Part(10'000, ' ');
  boost::system::error_code Failure;
  Caller.non_blocking(true);
  for (int Count = 0; Count < 150 && Handler.Ended == 0; ++Count) {
    runFor(50ms);
    Bytes += boost::asio::read(Caller, boost::asio::buffer(Part), Failure);
    if (Failure && Failure != boost::asio::error::would_block)
      break;
  }
  EXPECT_EQ(Handler.Ended, 0) << "after " << Bytes << " bytes";
}

// The same when the response is the last one of a connection on which its
// caller goes on sending.
TEST_F(CallerSessionTest, SlowReaderThatStillSendsGetsTheLastResponse) {
  Caller.set_option(boost::asio::socket_base::receive_buffer_size(64 * 1024));
  Session->start();
  Session->drain(false);
  const std::size_t Body = 2'000'000;
  answer(sendRequest("/a"), std::string(Body, 'x'));
  std::size_t Bytes = 0;
  std::string Part(10'000, ' ');
  boost::system::error_code Failure;
  Caller.non_blocking(true);
  for (int Count = 0; Count < 250 && Bytes < Body; ++Count) {
    runFor(50ms);
    Caller.write_some(boost::asio::buffer("x", 1), Failure);
    if (Failure)
      break;
    Bytes += boost::asio::read(Caller, boost::asio::buffer(Part), Failure);
    if (Failure && Failure != boost::asio::error::would_block)
      break;
  }
  EXPECT_GE(Bytes, Body) << Failure.message();
}

/// Serves one connection and answers its first request with a large response
/// without a length. Runs until the process is killed.
auto serveWithoutLength(int ListeningSocket) -> void {
  boost::asio::io_context Io;
  tcp::acceptor Listener(Io, tcp::v4(), ListeningSocket);
  CountingHandler Handler;
  const auto Session = std::make_shared<CallerSession>(
      Listener.accept(), Handler, RequestLimits());
  Session->start();
  while (Handler.Received == 0)
    Io.run_one();
  CallerResponse Response;
  Response.Status = 200;
  Response.Body = std::string(16UL * 1024 * 1024, 'x');
  Response.EndsWithClose = true;
  Session->respond(Handler.LastNumber, std::move(Response));
  while (true)
    Io.run_one_for(1s);
}

// Guards against a response without a length that looks complete although the
// process was killed while it wrote it.
TEST(CallerSessionEndTest, KilledProcessResetsAResponseWithoutLength) {
  boost::asio::io_context Io;
  tcp::acceptor Listener(Io, {boost::asio::ip::address_v4::loopback(), 0});
  const ::pid_t Process = ::fork();
  ASSERT_GE(Process, 0);
  if (Process == 0) {
    serveWithoutLength(::dup(Listener.native_handle()));
    ::_exit(0);
  }
  tcp::socket Caller(Io);
  Caller.connect(Listener.local_endpoint());
  boost::asio::write(Caller, boost::asio::buffer(std::string(
                                 "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
  std::string Bytes(1000, ' ');
  boost::asio::read(Caller, boost::asio::buffer(Bytes));
  EXPECT_EQ(Bytes.find("Content-Length"), std::string::npos);
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
  boost::system::error_code End;
  boost::asio::read(Caller, boost::asio::dynamic_buffer(Bytes), End);
  EXPECT_EQ(End, boost::asio::error::connection_reset);
}

} // namespace
