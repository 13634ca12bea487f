#include "IO/Endpoint.h"
#include "IO/UpstreamConnection.h"
#include "buckthornring/IO/HttpClient.h"
#include "support/EndlessResponses.h"
#include "support/GatewayFixture.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

/// The limits of the connections and the buffers of both sockets.
constexpr std::size_t MostSent = 24UL * 1024 * 1024;

// Guards against bytes without end that fill the memory of the process: an HTTP
// client held any part of a response that it could not parse yet.
TEST(EndlessResponseTest, ClientAbandonsIt) {
  for (const auto &[Name, Response] : endlessResponses()) {
    SCOPED_TRACE(Name);
    std::atomic<std::size_t> Sent = 0;
    ScriptedTarget Target(Response.script(Sent));
    boost::asio::io_context Io;
    const auto Client = HttpClient::create(Io, Target.address()).value();
    std::optional<HttpOutcome> Outcome;
    HttpRequest Request;
    Request.Target = "/health";
    Client->request(Request, {},
                    [&](HttpOutcome Result) { Outcome = std::move(Result); });
    Io.run_for(10s);
    ASSERT_TRUE(Outcome);
    // Other clients do not match responses by an id.
    EXPECT_EQ(Outcome->done(), Name == "other responses");
    EXPECT_FALSE(Outcome->TimedOut);
    EXPECT_LE(Sent, MostSent);
  }
}

/// Reads a response as far as \p Parts parts of its body.
class ResponseReader {
public:
  ResponseReader(std::shared_ptr<UpstreamConnection> Connection, int Parts)
      : Connection(std::move(Connection)), Parts(Parts) {}

  auto start() -> void {
    Connection->beginExchange(false);
    Connection->write(GatewayFixture::request("GET", "/", "a1"), {},
                      [this](bool) { readHead(); });
  }
  auto ended() const -> bool { return Ended; }

private:
  auto readHead() -> void {
    Connection->readHead(
        [this](bool Success) { return Success ? readBody() : end(); });
  }
  auto readBody() -> void {
    if (Parts-- == 0 || Connection->responseDone())
      return end();
    Connection->readBody([this](bool Success, std::string_view, bool Complete) {
      return Success && !Complete ? readBody() : end();
    });
  }
  auto end() -> void { Ended = true; }

  std::shared_ptr<UpstreamConnection> Connection;
  int Parts;
  bool Ended = false;
};

// The same for responses that are passed on while they arrive: no more is read
// than the caller takes.
TEST(EndlessResponseTest, NoMoreIsReadThanIsPassedOn) {
  for (const auto &[Name, Response] : endlessResponses()) {
    SCOPED_TRACE(Name);
    std::atomic<std::size_t> Sent = 0;
    ScriptedTarget Target(Response.script(Sent));
    boost::asio::io_context Io;
    const auto Connection =
        std::make_shared<UpstreamConnection>(Io.get_executor());
    ResponseReader Reader(Connection, 8);
    Connection->connect(*parseEndpoint(Target.address()), 250ms,
                        [&Reader](bool Success) {
                          ASSERT_TRUE(Success);
                          Reader.start();
                        });
    Io.run_for(2s);
    EXPECT_TRUE(Reader.ended());
    EXPECT_LE(Sent, MostSent);
    Connection->close();
  }
}

// Guards against requests that fail because a target of another service sends
// bytes without end.
TEST(EndlessResponseTest, RequestsToOtherTargetsAreServed) {
  ScriptedTarget Sound(GatewayFixture::answering("sound"));
  std::atomic<std::size_t> Sent = 0;
  const auto Endless = endlessResponses();
  std::atomic<int> Count = 0;
  ScriptedTarget Faulty([&](ScriptedTarget::Tcp::socket &To,
                            const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    if (Id == "ping")
      return ScriptedTarget::send(To, GatewayFixture::response(Id, "ok"));
    auto Response =
        std::next(Endless.begin(), Count++ % static_cast<int>(Endless.size()))
            ->second;
    return Response.script(Sent)(To, Request);
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Sound);
  Fixture.addTarget("other", "t2", Faulty);
  Fixture.configure(1, "other");
  ASSERT_TRUE(Fixture.waitUntilServing());
  std::atomic<bool> Done = false;
  constexpr int CallerCount = 6;
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (int Index = 0; Index < CallerCount; ++Index)
    Callers.emplace_back([&] {
      while (!Done)
        Fixture.exchange("GET", "/safe/1");
    });
  int Served = 0;
  constexpr int Requests = 300;
  for (int Index = 0; Index < Requests; ++Index)
    if (Fixture.exchange("POST", "/unsafe/1", "", "x").has("sound"))
      ++Served;
  Done = true;
  for (std::thread &Each : Callers)
    Each.join();
  EXPECT_EQ(Served, Requests);
  EXPECT_GT(Count, CallerCount);
}

} // namespace
