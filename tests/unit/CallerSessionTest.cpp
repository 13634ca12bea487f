#include "Gateway/CallerSession.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace buckthornring;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Counts the callbacks of a session and leaves all requests unanswered.
class CountingHandler final : public CallerHandler {
public:
  auto onRequest(const std::shared_ptr<CallerSession> &, std::uint64_t,
                 CallerRequest) -> void override {
    ++Received;
  }
  auto onCallerDisconnected(const CallerSession &, std::uint64_t)
      -> void override {
    ++Disconnected;
  }
  auto makeErrorResponse(unsigned) -> CallerResponse override { return {}; }
  auto onSessionEnded(const std::shared_ptr<CallerSession> &) -> void override {
    ++Ended;
  }

  int Received = 0;
  int Disconnected = 0;
  int Ended = 0;
};

class CallerSessionTest : public testing::Test {
protected:
  CallerSessionTest()
      : Listener(Io, {boost::asio::ip::address_v4::loopback(), 0}), Caller(Io) {
    Caller.connect(Listener.local_endpoint());
    Session = std::make_shared<CallerSession>(Listener.accept(), Handler,
                                              RequestLimits());
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

} // namespace
