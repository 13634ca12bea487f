#include "HttpExchange.h"

#include "HttpWire.h"
#include "IO/AsyncParse.h"
#include "IO/SocketOptions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace {

/// A connection is dead when sent data stays unacknowledged for this long.
constexpr Duration UnacknowledgedTimeout = std::chrono::seconds(2);

} // namespace

auto HttpClientState::takeIdle(Duration MaxAge) -> std::optional<tcp::socket> {
  while (!IdleConnections.empty()) {
    auto Candidate = std::move(IdleConnections.back());
    IdleConnections.pop_back();
    if (std::chrono::steady_clock::now() - Candidate.IdleSince <= MaxAge &&
        !brokenWhileIdle(Candidate.Socket))
      return std::move(Candidate.Socket);
  }
  return std::nullopt;
}

HttpExchange::HttpExchange(std::shared_ptr<HttpClientState> Client,
                           HttpRequest Request, HttpCallOptions Options,
                           HttpClient::Callback OnOutcome)
    : Client(std::move(Client)), Request(std::move(Request)),
      Options(std::move(Options)), OnOutcome(std::move(OnOutcome)),
      Socket(this->Client->Context), Watch(Socket, UnacknowledgedTimeout),
      Timer(this->Client->Context) {}

auto HttpExchange::start() -> void {
  StartedAt = std::chrono::steady_clock::now();
  armTimer(Options.TimeLimit);
  if (!Options.NewConnection)
    if (auto Reused = Client->takeIdle(Options.MaxIdleTime)) {
      Socket = std::move(*Reused);
      Outcome.ReusedConnection = true;
      boost::asio::post(Socket.get_executor(), [Self = shared_from_this()] {
        if (!Self->Finished)
          Self->write();
      });
      return;
    }
  connect();
}

auto HttpExchange::armTimer(Duration SinceStart) -> void {
  Timer.expires_at(StartedAt + SinceStart);
  Timer.async_wait([Self = shared_from_this()](error_code Cancelled) {
    // The timer may have been re-armed after this handler was queued.
    if (Cancelled || Self->Finished ||
        Self->Timer.expiry() > std::chrono::steady_clock::now())
      return;
    Self->Outcome.TimedOut = true;
    Self->fail("time limit exceeded");
  });
}

// The timer is not armed again for each part, since parts may be small.
auto HttpExchange::armStallTimer() -> void {
  PartArrived = false;
  const auto TransferEnd = BodyBegunAt + Options.TransferLimit;
  const auto StallEnd =
      std::chrono::steady_clock::now() + *Options.StallTimeout;
  Timer.expires_at(std::min(TransferEnd, StallEnd));
  Timer.async_wait(
      [Self = shared_from_this(), TransferEnd](error_code Cancelled) {
        if (Cancelled || Self->Finished)
          return;
        if (Self->PartArrived && std::chrono::steady_clock::now() < TransferEnd)
          return Self->armStallTimer();
        Self->Outcome.TimedOut = true;
        Self->fail(Self->PartArrived ? "transfer limit exceeded"
                                     : "response stalled");
      });
}

auto HttpExchange::cancel() -> void {
  if (Finished)
    return;
  // The callback may hold the client, whose end cancels its exchanges: it is
  // destroyed only after this one has finished.
  const auto Dropped = std::exchange(OnOutcome, nullptr);
  fail("cancelled");
}

auto HttpExchange::enterPhase(HttpPhase Phase) -> void {
  Outcome.Phase = Phase;
  if (Options.OnPhase)
    Options.OnPhase(Phase);
}

auto HttpExchange::connect() -> void {
  if (Options.ConnectTimeout < Options.TimeLimit)
    armTimer(Options.ConnectTimeout);
  Socket.async_connect(
      Client->Endpoint, [Self = shared_from_this()](error_code Code) {
        if (Self->Finished)
          return;
        if (Code) {
          Self->fail("cannot connect: " + Code.message());
          return;
        }
        if (Self->Options.ConnectTimeout < Self->Options.TimeLimit)
          Self->armTimer(Self->Options.TimeLimit);
        Self->write();
      });
}

auto HttpExchange::write() -> void {
  Output = Request.Method + ' ' + Request.Target + " HTTP/1.1\r\n";
  if (!Request.Headers.contains("Host"))
    Output.append("Host: ").append(Client->Address).append("\r\n");
  appendFields(Output, Request.Headers);
  if (!Request.Body.empty() || Request.Method == "POST" ||
      Request.Method == "PUT" || Request.Method == "PATCH")
    Output.append("Content-Length: ")
        .append(std::to_string(Request.Body.size()))
        .append("\r\n");
  Output.append("\r\n").append(Request.Body);
  enterPhase(HttpPhase::Writing);
  if (Finished)
    return;
  Watch.start(weak_from_this(), [this] {
    if (!Finished)
      fail("nothing acknowledged");
  });
  Watch.onSendBegan();
  boost::asio::async_write(
      Socket, boost::asio::buffer(Output),
      [Self = shared_from_this()](error_code Code, std::size_t) {
        Self->Watch.onSendEnded();
        if (Self->Finished)
          return;
        if (Code) {
          Self->fail("connection lost while writing: " + Code.message());
          return;
        }
        Self->enterPhase(HttpPhase::Written);
        if (!Self->Finished)
          Self->readHead();
      });
}

auto HttpExchange::readHead() -> void {
  Response.emplace();
  Response->body_limit(Client->Options.BodyLimit);
  Response->skip(Request.Method == "HEAD");
  asyncParse(Socket, Buffer, *Response, ParseUntil::HeadDone,
             [Self = shared_from_this()](error_code Code) {
               if (Self->Finished)
                 return;
               if (Code)
                 return Self->onReadFailed("no response", Code);
               if (Self->Buffer.takeFoldedLine())
                 return Self->reject("folded line in the response's head");
               const auto Status = Self->Response->get().result_int();
               if (isInterimStatus(Status) && Status != 101) {
                 if (++Self->InterimResponses > MaxInterimResponses)
                   return Self->reject("too many interim responses");
                 return Self->readHead();
               }
               if (!isFinalStatus(Status))
                 return Self->reject("invalid status " +
                                     std::to_string(Status));
               Self->Fields = readFields(Self->Response->get().base());
               Self->enterPhase(HttpPhase::Receiving);
               if (!Self->Finished)
                 Self->readBody();
             });
}

auto HttpExchange::readBody() -> void {
  if (Response->need_eof() && !Response->is_done())
    return reject("response has neither a length nor chunked encoding");
  if (Options.StallTimeout) {
    BodyBegunAt = std::chrono::steady_clock::now();
    armStallTimer();
    return readBodyPart();
  }
  asyncParse(Socket, Buffer, *Response, ParseUntil::Done,
             [Self = shared_from_this()](error_code Code) {
               if (Self->Finished)
                 return;
               if (Code)
                 Self->onReadFailed("response truncated", Code);
               else
                 Self->succeed();
             });
}

auto HttpExchange::readBodyPart() -> void {
  if (Response->is_done())
    return succeed();
  asyncParse(Socket, Buffer, *Response, ParseUntil::NextPart,
             [Self = shared_from_this()](error_code Code) {
               if (Self->Finished)
                 return;
               if (Code)
                 return Self->onReadFailed("response truncated", Code);
               Self->PartArrived = true;
               Self->readBodyPart();
             });
}

auto HttpExchange::succeed() -> void {
  auto &Message = Response->get();
  Outcome.Phase = HttpPhase::Done;
  Outcome.Response.Status = Message.result_int();
  Outcome.Response.Headers = std::move(Fields);
  Outcome.Response.Body = std::move(Message.body());
  if (Response->keep_alive() && Buffer.size() == 0 &&
      Client->IdleConnections.size() < Client->Options.MaxIdleConnections)
    Client->IdleConnections.push_back(
        {std::move(Socket), std::chrono::steady_clock::now()});
  finish();
}

auto HttpExchange::fail(const std::string &Reason) -> void {
  Outcome.Reason = Reason;
  finish();
}

auto HttpExchange::reject(const std::string &Reason) -> void {
  if (Client->Options.OnUnreadable)
    Client->Options.OnUnreadable(Client->Address, Reason);
  fail(Reason);
}

auto HttpExchange::onReadFailed(const char *What, const error_code &Failure)
    -> void {
  const std::string Reason = std::string(What) + ": " + Failure.message();
  if (isUnreadable(Failure))
    reject(Reason);
  else
    fail(Reason);
}

auto HttpExchange::finish() -> void {
  const auto Self = shared_from_this();
  Finished = true;
  Timer.cancel();
  Watch.stop();
  error_code Ignored;
  if (Socket.is_open())
    Socket.close(Ignored);
  Client->Exchanges.erase(Self);
  auto Callback = std::move(OnOutcome);
  OnOutcome = nullptr;
  if (Callback)
    Callback(std::move(Outcome));
}

} // namespace buckthornring
