#include "Store.h"
#include "buckthornring/IO/HttpClient.h"
#include "support/GatewayFixture.h"
#include "support/RequestPath.h"
#include "support/TargetExchange.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>
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
const std::string Chunked =
    "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";
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

/// Lines that begin with a blank, as if a name did.
auto foldedLines() -> Responses {
  return {{"blank", Ok + Fields + " X-Noise: 1\r\n" + Sized},
          {"tab", Ok + Fields + "\tX-Noise: 1\r\n" + Sized},
          {"nothing else", Ok + Fields + " \r\n" + Sized},
          {"length", Ok + Fields + " " + Sized},
          {"chunked", Ok + Fields + " " + Chunked + "\r\n"},
          {"interim response",
           "HTTP/1.1 102 Processing\r\nA: 1\r\n X-Noise: 1\r\n\r\n" + Sound}};
}

auto foldedTrailers() -> Responses {
  return {{"blank", Ok + Fields + Chunked + "A: 1\r\n X-Noise: 1\r\n\r\n"},
          {"tab", Ok + Fields + Chunked + "A: 1\r\n\tX-Noise: 1\r\n\r\n"}};
}

/// The bytes that are blank or control bytes.
auto invalidBytes() -> std::string {
  std::string Bytes = "\x7f";
  for (char Byte = 0; Byte <= ' '; ++Byte)
    Bytes += Byte;
  return Bytes;
}

/// Names of fields with one of \p Bytes at any place, in a head, in that of an
/// interim response and after a chunked body.
auto invalidNames(const std::string &Bytes) -> Responses {
  Responses All;
  for (const char Byte : Bytes) {
    const std::string Text(1, Byte);
    const std::map<std::string, std::string> Names = {
        {"begin", Text + "X-Noise"},
        {"middle", "X-" + Text + "Noise"},
        {"end", "X-Noise" + Text}};
    for (const auto &[Place, Name] : Names) {
      const std::string Line = Name + ": 1\r\n";
      const std::string Case = join(
          {"byte ", std::to_string(Byte), " at the ", Place, " of a name, "});
      All[Case + "head"] = join({Ok, Line, Fields, Sized});
      All[Case + "interim response"] =
          join({"HTTP/1.1 102 Processing\r\n", Line, "\r\n", Sound});
      All[Case + "trailer"] = join({Ok, Fields, Chunked, Line, "\r\n"});
    }
  }
  All["length"] = Ok + Fields + "Content-Length : 5\r\n\r\nwhole";
  All["encoding"] =
      Ok + Fields +
      "Transfer-Encoding\x01: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
  return All;
}

auto isTrailer(const Responses::value_type &Each) -> bool {
  return Each.first.ends_with("trailer");
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

// Guards against a line that is appended to the value of the field before it.
// Callers got it there, and with a length or an encoding in it a body that was
// not the target's.
TEST(BrokenResponseTest, FoldedLineIsNoAnswerOfATarget) {
  expectMalformed(foldedLines());
  expectMalformed(foldedTrailers());
  expectNotForwarded(foldedLines());
  expectNotForwarded(foldedTrailers());
}

TEST(BrokenResponseTest, FoldedLineIsFoundInAnyParts) {
  for (const Responses &All : {foldedLines(), foldedTrailers()})
    for (const auto &[Name, Text] : All) {
      SCOPED_TRACE(Name);
      for (std::size_t Size = 1; Size < Text.size(); ++Size)
        EXPECT_EQ(exchangeWithTarget({Text.substr(0, Size), Text.substr(Size)},
                                     AfterResponse::StayOpen),
                  ExchangeResult::Malformed)
            << Size;
    }
}

// Guards against a body that is taken for fields.
TEST(BrokenResponseTest, BlankAtTheBeginOfALineOfABodyIsNoFault) {
  const std::string Body = "a\r\n b\r\n\tc";
  const std::string Head = Ok + Fields;
  const std::string ChunkedHead = Head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Text :
       {join({Head, "Content-Length: 9\r\n\r\n", Body}),
        join({ChunkedHead, "9\r\n", Body, "\r\n0\r\n\r\n"}),
        join({ChunkedHead, "3;e=1\r\na\r\n\r\n6\r\n", Body.substr(3),
              "\r\n0\r\nA: 1\r\n\r\n"})})
    for (std::size_t Size = 1; Size < Text.size(); ++Size)
      EXPECT_EQ(exchangeWithTarget({Text.substr(0, Size), Text.substr(Size)},
                                   AfterResponse::StayOpen),
                ExchangeResult::Answered)
          << Text << Size;
}

TEST(BrokenResponseTest, FoldedLineIsNoAnswerOfATargetOfAnEntryInstance) {
  expectNotForwardedByEntry(foldedLines());
}

TEST(BrokenResponseTest, FoldedLineIsNoAnswerOfTheStore) {
  expectNoOutcome(foldedLines());
}

// Guards against fields after a body that replace or change those of the head.
TEST(BrokenResponseTest, TrailerFieldsOfTheStoreAreNotRead) {
  for (const auto &[Name, Text] : foldedTrailers()) {
    SCOPED_TRACE(Name);
    const HttpOutcome Outcome = callOutcome(Text);
    EXPECT_EQ(Outcome.Response.Headers.find("Attempt-Id"), "a1");
    EXPECT_FALSE(Outcome.Response.Headers.contains("A"));
  }
}

// Guards against a name with a blank or a control byte, which hides a length or
// an encoding from one reader and shows it to the next.
TEST(BrokenResponseTest, InvalidNameIsNoAnswer) {
  expectMalformed(invalidNames(invalidBytes()));
  expectNoOutcome(invalidNames(invalidBytes()));
  expectNotForwarded(invalidNames(" \x01"));
}

TEST(BrokenResponseTest, InvalidNameIsNoAnswerOfATargetOfAnEntryInstance) {
  Responses Heads = invalidNames(invalidBytes());
  std::erase_if(Heads, isTrailer);
  expectNotForwardedByEntry(Heads);
}

// Responses are passed on while they arrive. Fields after the body are not, and
// a fault in them breaks the response off.
TEST(BrokenResponseTest, EntryInstanceForwardsNoTrailerFields) {
  const auto Forwarded = [](const std::string &Response) {
    ScriptedTarget Target(ScriptedTarget::answering(Response));
    RequestPath Path;
    Path.addTarget("pay", "p1", Target);
    Path.publish();
    auto View = Path.exchange("POST", "/pay/1", RequestPath::Key, "b");
    EXPECT_TRUE(View.has("HTTP/1.1 200 ")) << View.Bytes;
    EXPECT_FALSE(View.has("Noise")) << View.Bytes;
    return View;
  };
  for (const auto &[Name, Text] : foldedTrailers())
    EXPECT_TRUE(Forwarded(Text).has("whole\r\n0\r\n\r\n")) << Name;
  Responses Trailers = invalidNames(invalidBytes());
  std::erase_if(Trailers, std::not_fn(isTrailer));
  for (const auto &[Name, Text] : Trailers)
    EXPECT_TRUE(Forwarded(Text).Reset) << Name;
}

} // namespace
