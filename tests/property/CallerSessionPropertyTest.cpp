#include "Gateway/CallerSession.h"
#include "Seeds.h"
#include "buckthornring/Common/Random.h"
#include "support/CountingHandler.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

namespace http = boost::beast::http;

/// Keeps the requests that were passed on.
class RecordingHandler final : public CountingHandler {
public:
  struct Request {
    std::uint64_t Number;
    bool HeadOnly;
  };

  auto onRequest(const std::shared_ptr<CallerSession> &Session,
                 std::uint64_t Number, CallerRequest Passed) -> void override {
    PassedOn.push_back({Number, Passed.Head.Method == "HEAD"});
    Unanswered.push_back(Number);
    CountingHandler::onRequest(Session, Number, std::move(Passed));
  }

  std::vector<Request> PassedOn;
  std::vector<std::uint64_t> Unanswered;
};

/// Whether a session is played with limits of a few milliseconds that change,
/// by a process that is short of processor time.
enum class TimeLimits { Long, Short };

/// One generated session: a caller that pipelines, targets that answer in any
/// order, and a planned stop at any moment.
class GeneratedSession {
public:
  GeneratedSession(std::uint64_t Seed, TimeLimits Limits)
      : Random(Seed), Limits(Limits),
        Listener(Io, {boost::asio::ip::address_v4::loopback(), 0}), Caller(Io) {
    Caller.connect(Listener.local_endpoint());
    Caller.non_blocking(true);
    Session = std::make_shared<CallerSession>(Listener.accept(), Handler,
                                              RequestLimits());
    if (Limits == TimeLimits::Short)
      Session->setLimits(shortLimits());
    const auto Count = 1 + Random.below(Limits == TimeLimits::Short ? 24 : 8);
    for (std::uint64_t Index = 0; Index < Count; ++Index)
      Unsent += request();
  }

  auto play() -> void {
    Session->start();
    for (int Step = 0; Step < 200 && !CallerEnd; ++Step) {
      if (Random.chance(0.5))
        sendPart();
      if (Limits == TimeLimits::Short)
        answerInBursts();
      else if (Random.chance(0.3))
        answerAny();
      if (Random.chance(Limits == TimeLimits::Short ? 0.002 : 0.02))
        Session->drain(Random.chance(0.3));
      if (Random.chance(0.5))
        readPart();
      if (Limits == TimeLimits::Short && Random.chance(0.1))
        Session->setLimits(shortLimits());
      if (Limits == TimeLimits::Short && Random.chance(0.1))
        std::this_thread::sleep_for(milliseconds(8));
      Io.restart();
      Io.poll();
    }
    const auto Deadline = std::chrono::steady_clock::now() + 5s;
    while (!CallerEnd && std::chrono::steady_clock::now() < Deadline) {
      while (!Handler.Unanswered.empty())
        answerAny();
      Session->drain(true);
      readPart();
      Io.restart();
      Io.poll();
    }
  }

  auto check() const -> void {
    EXPECT_EQ(CallerEnd, boost::asio::error::eof);
    EXPECT_EQ(Handler.Disconnected, 0);
    boost::asio::const_buffer Rest = boost::asio::buffer(Received);
    for (const RecordingHandler::Request &Each : Handler.PassedOn) {
      http::response_parser<http::string_body> Parser;
      Parser.body_limit(boost::none);
      Parser.eager(true);
      Parser.skip(Each.HeadOnly);
      error_code Failure;
      Rest += Parser.put(Rest, Failure);
      if (!Parser.is_done() && Parser.need_eof())
        Parser.put_eof(Failure);
      ASSERT_TRUE(Parser.is_done())
          << "request " << Each.Number << ": " << Failure.message();
      EXPECT_EQ(Parser.get()["X-Number"], std::to_string(Each.Number));
      const std::size_t Size = Each.HeadOnly ? 0 : Bodies.at(Each.Number);
      EXPECT_EQ(Parser.get().body().size(), Size);
    }
  }

private:
  auto milliseconds(std::uint64_t Most) -> std::chrono::milliseconds {
    return std::chrono::milliseconds(1 + Random.below(Most));
  }
  auto shortLimits() -> RequestLimits {
    RequestLimits Short;
    Short.IdleTimeout = milliseconds(8);
    Short.HeadTimeout = milliseconds(8);
    return Short;
  }
  auto request() -> std::string {
    const std::string Fields = "Host: h\r\n";
    // Most sessions with short limits are to reach them.
    if (Limits == TimeLimits::Short && Random.chance(0.9))
      return "GET / HTTP/1.1\r\n" + Fields + "\r\n";
    switch (Random.below(12)) {
    case 0:
      return "HEAD / HTTP/1.1\r\n" + Fields + "\r\n";
    case 1:
      return "POST / HTTP/1.1\r\n" + Fields + "Content-Length: 4\r\n\r\nbody";
    case 2:
      return "POST / HTTP/1.1\r\n" + Fields +
             "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    case 3:
      return "GET / HTTP/1.1\r\n" + Fields + "Connection: close\r\n\r\n";
    case 4:
      return "GET / HTTP/1.0\r\n" + Fields + "\r\n";
    case 5:
      return Random.chance(0.3) ? "\x01 no request\r\n\r\n"
                                : "GET / HTTP/1.1\r\n" + Fields + "\r\n";
    default:
      return "GET / HTTP/1.1\r\n" + Fields + "\r\n";
    }
  }
  auto sendPart() -> void {
    if (Unsent.empty())
      return;
    error_code Ignored;
    const std::size_t Size = 1 + Random.below(120);
    Unsent.erase(0, Caller.write_some(
                        boost::asio::buffer(Unsent.substr(0, Size)), Ignored));
  }
  auto answerAny() -> void {
    if (Handler.Unanswered.empty())
      return;
    const auto Chosen =
        Handler.Unanswered.begin() +
        static_cast<std::ptrdiff_t>(Random.below(Handler.Unanswered.size()));
    const std::uint64_t Number = *Chosen;
    Handler.Unanswered.erase(Chosen);
    CallerResponse Response;
    Response.Status = 200;
    Response.Fields.add("X-Number", std::to_string(Number));
    // The larger one exceeds the buffers of both sockets.
    Response.Body =
        std::string(Random.chance(0.2) ? 8UL * 1024 * 1024 : 10, 'x');
    Response.EndsWithClose = Random.chance(0.2);
    Bodies[Number] = Response.Body.size();
    Session->respond(Number, std::move(Response));
  }
  /// Lets the session reach the most requests that it reads at the same time.
  auto answerInBursts() -> void {
    if (Random.chance(0.03))
      while (!Handler.Unanswered.empty())
        answerAny();
  }
  auto readPart() -> void {
    std::string Part(256UL * 1024, ' ');
    error_code Failure;
    Part.resize(Caller.read_some(boost::asio::buffer(Part), Failure));
    Received += Part;
    if (Failure && Failure != boost::asio::error::would_block)
      CallerEnd = Failure;
  }

  RandomSource Random;
  TimeLimits Limits;
  boost::asio::io_context Io;
  tcp::acceptor Listener;
  tcp::socket Caller;
  RecordingHandler Handler;
  std::shared_ptr<CallerSession> Session;
  std::string Unsent;
  std::string Received;
  std::optional<error_code> CallerEnd;
  std::map<std::uint64_t, std::size_t> Bodies; ///< Sizes, by request number.
};

// Guards against requests that are passed on to a target and lose their
// responses because their connection ends before.
TEST(CallerSessionPropertyTest, EveryRequestThatIsPassedOnIsAnswered) {
  test::forEachSeed(
      "CallerSessionPropertyTest.EveryRequestThatIsPassedOnIsAnswered", 200,
      [](std::uint64_t Seed) {
        GeneratedSession Session(Seed, TimeLimits::Long);
        Session.play();
        Session.check();
      });
}

// Guards against time-outs that end a connection before the responses to its
// requests.
TEST(CallerSessionPropertyTest, TimeLimitsKeepRequestsThatArePassedOn) {
  test::forEachSeed(
      "CallerSessionPropertyTest.TimeLimitsKeepRequestsThatArePassedOn", 100,
      [](std::uint64_t Seed) {
        GeneratedSession Session(Seed, TimeLimits::Short);
        Session.play();
        Session.check();
      });
}

} // namespace
