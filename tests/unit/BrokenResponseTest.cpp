#include "Store.h"
#include "buckthornring/IO/HttpClient.h"
#include "support/GatewayFixture.h"
#include "support/RequestPath.h"
#include "support/TargetExchange.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Socket = ScriptedTarget::Tcp::socket;

/// Responses to the request "a1" by the name of their fault.
using Responses = std::map<std::string, std::string>;

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Fields = "Attempt-Id: a1\r\nResponse-Signature: s\r\n";
const std::string Sized = "Content-Length: 5\r\n\r\nwhole";
const std::string Sound = Ok + Fields + Sized;

auto join(std::initializer_list<std::string_view> Parts) -> std::string {
  std::string Text;
  for (const std::string_view Part : Parts)
    Text.append(Part);
  return Text;
}

auto invalidStatuses() -> Responses {
  Responses All;
  for (const char *Status : {"000", "001", "099", "600", "999"})
    All[Status] = join({"HTTP/1.1 ", Status, " X\r\n", Fields, Sized});
  All["without a length"] = "HTTP/1.1 000 X\r\n" + Fields + "\r\nwhole";
  All["before the response"] =
      "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + Sound;
  return All;
}

/// Expects that none of the responses counts as an answer of a target, at once
/// and not only when the target closes the connection.
auto expectMalformed(const Responses &All) -> void {
  for (const auto &[Name, Text] : All) {
    SCOPED_TRACE(Name);
    EXPECT_EQ(exchangeWithTarget({Text}, AfterResponse::StayOpen),
              ExchangeResult::Malformed);
  }
}

/// Expects that callers of a gateway get no part of the responses, and that the
/// gateway promises nothing: the request may have run.
auto expectNotForwarded(const Responses &All) -> void {
  std::string Broken;
  ScriptedTarget Target([&](Socket &To, const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    if (Id != "a1")
      return ScriptedTarget::send(To, GatewayFixture::response(Id, "ok"));
    ScriptedTarget::send(To, Broken);
    return false;
  });
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  for (const auto &[Name, Text] : All)
    for (const char *Path : {"/safe/1", "/unsafe/1"}) {
      SCOPED_TRACE(join({Name, " ", Path}));
      Broken = Text;
      const auto View = Fixture.exchange("POST", Path, "", "x");
      EXPECT_TRUE(View.has("HTTP/1.1 502 ")) << View.Bytes;
      EXPECT_FALSE(View.has("whole")) << View.Bytes;
      EXPECT_FALSE(View.has("X-Noise")) << View.Bytes;
    }
}

/// Expects the same of the instances of the project's own platform.
auto expectNotForwardedByEntry(const Responses &All) -> void {
  for (const auto &[Name, Text] : All) {
    SCOPED_TRACE(Name);
    ScriptedTarget Target(ScriptedTarget::answering(Text));
    RequestPath Path;
    Path.addTarget("pay", "p1", Target);
    Path.publish();
    const auto View = Path.exchange("POST", "/pay/1", RequestPath::Key, "b");
    EXPECT_TRUE(View.has("Btr-Refusal: connection-lost")) << View.Bytes;
    EXPECT_TRUE(View.has("Btr-Run: unknown")) << View.Bytes;
    EXPECT_FALSE(View.has("whole")) << View.Bytes;
    EXPECT_FALSE(View.has("X-Noise")) << View.Bytes;
  }
}

/// Outcome of a call to the store or to another instance.
auto callOutcome(const std::string &Response) -> HttpOutcome {
  ScriptedTarget Server(ScriptedTarget::answering(Response));
  boost::asio::io_context Io;
  const auto Client = HttpClient::create(Io, Server.address()).value();
  std::optional<HttpOutcome> Result;
  Client->request({}, {}, [&](HttpOutcome Outcome) {
    Result = std::move(Outcome);
    Io.stop();
  });
  Io.run_for(10s);
  EXPECT_TRUE(Result);
  return Result.value_or(HttpOutcome());
}

auto expectNoOutcome(const Responses &All) -> void {
  for (const auto &[Name, Text] : All) {
    SCOPED_TRACE(Name);
    const HttpOutcome Outcome = callOutcome(Text);
    EXPECT_FALSE(Outcome.done()) << Outcome.Response.Status;
    EXPECT_FALSE(Outcome.TimedOut);
    EXPECT_TRUE(Outcome.mayHaveRun());
  }
}

// Guards against a response with the status 000 that callers got as an answer.
TEST(BrokenResponseTest, InvalidStatusIsNoAnswerOfATarget) {
  expectMalformed(invalidStatuses());
  expectNotForwarded(invalidStatuses());
}

TEST(BrokenResponseTest, InvalidStatusIsNoAnswerOfATargetOfAnEntryInstance) {
  expectNotForwardedByEntry(invalidStatuses());
}

// Guards against a write that counts as refused although its effect is unknown.
TEST(BrokenResponseTest, InvalidStatusIsNoAnswerOfTheStore) {
  Responses All = invalidStatuses();
  // Only to be sent when the client asks to change the protocol.
  All["101"] = "HTTP/1.1 101 Switching Protocols\r\n\r\n";
  expectNoOutcome(All);
  ScriptedTarget Server(ScriptedTarget::answering(All["000"]));
  boost::asio::io_context Io;
  const auto Store = platform::Store::create(Io, Server.address()).value();
  std::optional<StoreStatus> Written;
  std::optional<StoreStatus> Listed;
  Store->write("things", "main", 1, {}, [&](const StoreWriteResult &Result) {
    Written = Result.Status;
  });
  Store->list("things",
              [&](const StoreChanges &Changes) { Listed = Changes.Status; });
  Io.run_for(5s);
  EXPECT_EQ(Written, StoreStatus::Unknown);
  EXPECT_EQ(Listed, StoreStatus::Unreachable);
}

} // namespace
