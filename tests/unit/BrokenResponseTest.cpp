#include "support/GatewayFixture.h"
#include "support/RequestPath.h"
#include "support/TargetExchange.h"

#include <gtest/gtest.h>

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

using namespace buckthornring;
using namespace buckthornring::test;

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

// Guards against a response with the status 000 that callers got as an answer.
TEST(BrokenResponseTest, InvalidStatusIsNoAnswerOfATarget) {
  expectMalformed(invalidStatuses());
  expectNotForwarded(invalidStatuses());
}

TEST(BrokenResponseTest, InvalidStatusIsNoAnswerOfATargetOfAnEntryInstance) {
  expectNotForwardedByEntry(invalidStatuses());
}

} // namespace
