#include "buckthornring/IO/HttpClient.h"
#include "buckthornring/IO/HttpServer.h"
#include "support/ScriptedTarget.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <thread>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

struct HttpTest : testing::Test {
  auto serve(HttpServer::Handler OnRequest, HttpServerOptions Options = {})
      -> void {
    Server =
        HttpServer::start(Context, std::move(Options), std::move(OnRequest))
            .value();
    Client = HttpClient::create(Context,
                                "127.0.0.1:" + std::to_string(Server->port()))
                 .value();
  }

  auto call(HttpRequest Request, HttpCallOptions Options = {}) -> HttpOutcome {
    std::optional<HttpOutcome> Result;
    Client->request(
        std::move(Request), std::move(Options),
        [&Result](HttpOutcome Outcome) { Result = std::move(Outcome); });
    runUntil([&Result] { return Result.has_value(); });
    return Result.value_or(HttpOutcome{});
  }

  auto runUntil(const std::function<bool()> &Condition) -> void {
    const auto Limit = std::chrono::steady_clock::now() + 10s;
    while (!Condition() && std::chrono::steady_clock::now() < Limit) {
      Context.restart();
      Context.run_one_for(10ms);
    }
    EXPECT_TRUE(Condition());
  }

  boost::asio::io_context Context{1};
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<HttpClient> Client;
};

auto get(std::string Target) -> HttpRequest {
  HttpRequest Request;
  Request.Target = std::move(Target);
  return Request;
}

// Guards against lost fields or bodies, and against opening a connection for
// each request.
TEST_F(HttpTest, RequestsShareAKeptAliveConnection) {
  serve([](const HttpRequest &Request, const HttpResponder &Responder) {
    HttpResponse Response;
    Response.Headers.add("X-Method", Request.Method);
    Response.Headers.add("X-Query", Request.query("a b").value_or("none"));
    Response.Body = Request.Body;
    Responder.respond(Response);
  });
  auto Request = get("/path?x=1&a%20b=c%2Fd");
  Request.Method = "POST";
  Request.Body = std::string(100000, 'z');
  for (int I = 0; I < 3; ++I) {
    const auto Outcome = call(Request);
    ASSERT_TRUE(Outcome.done()) << Outcome.Reason;
    EXPECT_EQ(Outcome.Response.Body, Request.Body);
    EXPECT_EQ(Outcome.Response.Headers.find("x-query"), "c/d");
    EXPECT_EQ(Outcome.ReusedConnection, I > 0);
  }
  EXPECT_EQ(Server->openConnections(), 1U);
}

// Guards against matching a late response to the next request.
TEST_F(HttpTest, LateResponseIsNeverGivenToAnotherRequest) {
  std::vector<HttpResponder> Late;
  serve([&Late](const HttpRequest &Request, const HttpResponder &Responder) {
    if (Request.path() == "/late")
      Late.push_back(Responder);
    else
      Responder.respond({200, {}, std::string(Request.path())});
  });
  HttpCallOptions Short;
  Short.TimeLimit = 50ms;
  const auto Timed = call(get("/late"), Short);
  EXPECT_TRUE(Timed.TimedOut);
  EXPECT_EQ(Timed.Phase, HttpPhase::Written);
  EXPECT_EQ(Timed.Response.Status, 0U);
  ASSERT_EQ(Late.size(), 1U);
  Late.front().respond({200, {}, "late"});
  const auto Next = call(get("/next"));
  ASSERT_TRUE(Next.done());
  EXPECT_EQ(Next.Response.Body, "/next");
  EXPECT_FALSE(Next.ReusedConnection);
}

// Guards against treating a truncated response as complete.
TEST_F(HttpTest, TruncatedResponseIsAFailure) {
  serve([](const HttpRequest &, const HttpResponder &Responder) {
    Responder.respondTruncated({200, {}, "complete body"}, 5);
  });
  const auto Outcome = call(get("/"));
  EXPECT_FALSE(Outcome.done());
  EXPECT_EQ(Outcome.Phase, HttpPhase::Receiving);
}

// Guards against reporting a request as possibly executed when its connection
// was refused.
TEST_F(HttpTest, RefusedConnectionIsReportedAsNotSent) {
  serve([](const HttpRequest &, const HttpResponder &) {});
  Server.reset();
  const auto Outcome = call(get("/"));
  EXPECT_EQ(Outcome.Phase, HttpPhase::Connecting);
  EXPECT_FALSE(Outcome.mayHaveRun());
}

// Guards against treating a response that is delimited by the closing of the
// connection as complete.
TEST_F(HttpTest, ResponseWithoutLengthIsAFailure) {
  using boost::asio::ip::tcp;
  tcp::acceptor Acceptor(
      Context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  Acceptor.async_accept([](boost::system::error_code, tcp::socket Peer) {
    boost::asio::write(Peer,
                       boost::asio::buffer("HTTP/1.1 200 OK\r\n\r\nhalf", 23));
  });
  Client = HttpClient::create(
               Context,
               "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port()))
               .value();
  const auto Outcome = call(get("/"));
  EXPECT_FALSE(Outcome.done());
}

// Guards against passing malformed or oversized requests to the handler.
TEST_F(HttpTest, ProtocolErrorsAreAnsweredBeforeTheHandler) {
  HttpServerOptions Options;
  Options.BodyLimit = 100;
  Options.HeadLimit = 1000;
  int Handled = 0;
  serve(
      [&Handled](const HttpRequest &, const HttpResponder &Responder) {
        ++Handled;
        Responder.respond({});
      },
      Options);
  auto Large = get("/");
  Large.Method = "PUT";
  Large.Body = std::string(2000000, 'x');
  const auto TooLarge = call(Large);
  EXPECT_EQ(TooLarge.Response.Status, 413U) << TooLarge.Reason;
  auto Long = get("/");
  Long.Headers.add("X-Long", std::string(2000, 'x'));
  EXPECT_EQ(call(Long).Response.Status, 413U);
  auto Malformed = get("/a b");
  EXPECT_EQ(call(Malformed).Response.Status, 400U);
  EXPECT_EQ(Handled, 0);
}

// Guards against a slow sender that occupies its connection indefinitely.
TEST_F(HttpTest, SlowSenderIsAnsweredAndClosed) {
  using boost::asio::ip::tcp;
  HttpServerOptions Options;
  Options.ReadTimeout = 50ms;
  serve([](const HttpRequest &,
           const HttpResponder &) { ADD_FAILURE() << "handled"; },
        Options);
  tcp::socket Sender(Context);
  Sender.connect({boost::asio::ip::make_address("127.0.0.1"), Server->port()});
  boost::asio::write(Sender, boost::asio::buffer("GET / HTTP/1.1\r\nHos", 19));
  std::string ReceivedText;
  bool Ended = false;
  boost::asio::async_read(Sender, boost::asio::dynamic_buffer(ReceivedText),
                          [&Ended](auto, std::size_t) { Ended = true; });
  runUntil([&Ended] { return Ended; });
  EXPECT_EQ(ReceivedText.substr(0, 12), "HTTP/1.1 408");
}

// Guards against a graceful stop that aborts requests in progress.
TEST_F(HttpTest, DrainCompletesRequestsInProgress) {
  std::vector<HttpResponder> Waiting;
  HttpServerOptions Options;
  Options.DrainGracePeriod = 20ms;
  serve(
      [&Waiting](const HttpRequest &, const HttpResponder &Responder) {
        Waiting.push_back(Responder);
      },
      Options);
  std::optional<HttpOutcome> Result;
  Client->request(get("/"), {}, [&Result](HttpOutcome Outcome) {
    Result = std::move(Outcome);
  });
  runUntil([&Waiting] { return !Waiting.empty(); });
  bool Drained = false;
  Server->drain([&Drained] { Drained = true; });
  boost::asio::steady_timer Later(Context, 100ms);
  Later.async_wait([&Waiting](auto) {
    Waiting.front().respond({200, {}, "whole"});
  });
  runUntil([&] { return Drained && Result.has_value(); });
  ASSERT_TRUE(Result.has_value());
  EXPECT_TRUE(Result->done()) << Result->Reason;
  EXPECT_EQ(Result->Response.Body, "whole");
  EXPECT_EQ(call(get("/")).Phase, HttpPhase::Connecting);
}

// Guards against continuing to work for a caller that has disconnected.
TEST_F(HttpTest, CallerDisconnectIsReported) {
  bool Disconnected = false;
  bool Handled = false;
  serve([&](const HttpRequest &, const HttpResponder &Responder) {
    Handled = true;
    Responder.onDisconnect([&Disconnected] { Disconnected = true; });
  });
  auto Call = Client->request(get("/"), {}, [](const HttpOutcome &) {
    ADD_FAILURE() << "a cancelled call has no outcome";
  });
  runUntil([&Handled] { return Handled; });
  Call.cancel();
  runUntil([&Disconnected] { return Disconnected; });
}

// Guards against a silent connection that prevents new ones.
TEST_F(HttpTest, NewConnectionsWorkBesideSilentOnes) {
  serve([](const HttpRequest &, const HttpResponder &Responder) {
    Responder.respond({});
  });
  EXPECT_TRUE(call(get("/")).done());
  Server->silenceConnections();
  HttpCallOptions Options;
  Options.TimeLimit = 50ms;
  EXPECT_TRUE(call(get("/"), Options).TimedOut);
  const auto Next = call(get("/"));
  EXPECT_TRUE(Next.done());
  EXPECT_FALSE(Next.ReusedConnection);
}

/// Sends the head of a response with a long body, then a byte of it at a time
/// until \p Bytes are sent.
auto trickling(int Bytes) -> ScriptedTarget::Script {
  return [Bytes](ScriptedTarget::Tcp::socket &Socket, const std::string &) {
    bool Open = ScriptedTarget::send(
        Socket, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
    for (int Sent = 0; Open && Sent < Bytes; ++Sent) {
      Open = ScriptedTarget::send(Socket, "x");
      std::this_thread::sleep_for(20ms);
    }
    return Open;
  };
}

// Guards against waiting for the rest of a response that has stalled.
TEST_F(HttpTest, StalledResponseIsGivenUp) {
  ScriptedTarget Peer(trickling(5));
  Client = HttpClient::create(Context, Peer.address()).value();
  HttpCallOptions Options;
  Options.StallTimeout = 200ms;
  const auto Begun = std::chrono::steady_clock::now();
  const auto Outcome = call(get("/"), Options);
  EXPECT_TRUE(Outcome.TimedOut);
  EXPECT_EQ(Outcome.Reason, "response stalled");
  EXPECT_LE(std::chrono::steady_clock::now() - Begun, 2s);
}

// Guards against a response without end that arrives one byte at a time.
TEST_F(HttpTest, ResponseThatArrivesTooSlowlyIsGivenUp) {
  ScriptedTarget Peer(trickling(1000));
  Client = HttpClient::create(Context, Peer.address()).value();
  HttpCallOptions Options;
  Options.StallTimeout = 200ms;
  Options.TransferLimit = 600ms;
  const auto Begun = std::chrono::steady_clock::now();
  const auto Outcome = call(get("/"), Options);
  EXPECT_TRUE(Outcome.TimedOut);
  EXPECT_LE(std::chrono::steady_clock::now() - Begun, 2s);
}

} // namespace
