#include "Gateway/CallerSession.h"

#include "IO/BootClock.h"
#include "IO/HttpWire.h"
#include "IO/SocketOptions.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <deque>
#include <optional>

namespace buckthornring {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Requests of one connection that may be in progress at the same time. Reading
/// continues when one of them has been answered.
constexpr std::size_t MaxPipelinedRequests = 16;

/// Time-out for reading a request's body, as a multiple of the configured
/// time-out for its head; the configuration limits only the size of the body.
constexpr int BodyTimeoutFactor = 4;

/// Time within which a caller has to read a part of a response.
constexpr Duration WriteTimeout = std::chrono::seconds(5);

/// Time within which a write to a caller has to complete. Bounds the time for
/// which slow readers occupy memory.
constexpr Duration MaxWriteTime = std::chrono::seconds(60);

/// A caller's connection counts as dead after this time without
/// acknowledgements.
constexpr Duration CallerSilenceTimeout = std::chrono::seconds(5);

using Parser = http::request_parser<http::string_body>;

auto readErrorStatus(const error_code &Failure) -> unsigned {
  if (Failure == http::error::header_limit)
    return 431;
  if (Failure == http::error::body_limit)
    return 413;
  static const auto &HttpCategory =
      make_error_code(http::error::bad_method).category();
  const bool Ended = Failure == http::error::end_of_stream ||
                     Failure == http::error::partial_message;
  return Failure.category() == HttpCategory && !Ended ? 400 : 0;
}

auto toRequestHead(const Parser &Source) -> RequestHead {
  RequestHead Head;
  const auto &Message = Source.get();
  Head.Method = std::string(Message.method_string());
  Head.Target = std::string(Message.target());
  for (const auto &Field : Message) {
    const std::string Name(Field.name_string());
    const std::string Value(Field.value());
    if (sameHeaderName(Name, "Expect") && sameHeaderName(Value, "100-continue"))
      Head.ExpectsContinue = true;
    Head.Fields.add(Name, Value);
  }
  return Head;
}

/// Appends a response with its framing. \p UntilClose: its body ends with the
/// connection.
auto appendResponse(std::string &Output, const CallerResponse &Response,
                    bool HeadOnly, bool UntilClose, bool Close) -> void {
  Output.append("HTTP/1.1 ")
      .append(std::to_string(Response.Status))
      .append(" ")
      .append(http::obsolete_reason(static_cast<http::status>(Response.Status)))
      .append("\r\n");
  for (const auto &[Name, Value] : Response.Fields)
    appendField(Output, Name, Value);
  if (Response.Status != 204 && Response.Status != 304 && !UntilClose)
    appendField(Output, "Content-Length", std::to_string(Response.Body.size()));
  if (Close)
    appendField(Output, "Connection", "close");
  Output.append("\r\n");
  if (!HeadOnly)
    Output.append(Response.Body);
}

} // namespace

struct CallerSession::State {
  struct PendingResponse {
    std::uint64_t RequestNumber;
    bool HeadOnly;
    std::optional<CallerResponse> Response;
  };

  State(asio::ip::tcp::socket Socket, CallerHandler &Handler,
        const RequestLimits &Limits)
      : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
        WriteTimer(this->Socket.get_executor()), Handler(Handler),
        Limits(Limits),
        Buffer(std::max(MaxUnparsedBytes, 2 * std::size_t{Limits.HeadBytes})) {}

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  asio::steady_timer WriteTimer;
  CallerHandler &Handler;
  RequestLimits Limits;
  asio::cancellation_signal ReadCancellation;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> RequestParser;
  std::uint64_t TimerGeneration = 0;
  RequestHead Head;
  TimePoint HeadReceivedAt;
  std::deque<PendingResponse> PendingResponses;
  std::string Output;
  std::size_t WrittenBefore = 0; ///< Bytes of all earlier responses.
  std::size_t WrittenBytes = 0;  ///< Of Output, as far as the system took them.
  TimePoint WriteStartedAt = LongAgo;
  std::uint64_t LastRequestNumber = 0;
  bool Reading = false;
  bool TimedOut = false;
  bool Idle = false; ///< The timer counts the time without a request.
  bool TimerExtended = false;
  bool Writing = false;
  bool Draining = false;
  /// The last request has been read: none is read after it, and the connection
  /// is closed after its response.
  bool LastRequestRead = false;
  bool Ended = false;
  SessionEnding Ending;
  /// Input has arrived since the last check of the linger time.
  bool InputDiscarded = false;
  TimePoint LingerUntil = LongAgo;
  std::size_t LingerAcknowledged = 0; ///< acknowledgedBytes() of that check.
};

CallerSession::CallerSession(asio::ip::tcp::socket Socket,
                             CallerHandler &Handler,
                             const RequestLimits &Limits)
    : Pimpl(std::make_unique<State>(std::move(Socket), Handler, Limits)) {}

CallerSession::~CallerSession() = default;

auto CallerSession::start() -> void {
  enableDeadPeerDetection(Pimpl->Socket, CallerSilenceTimeout);
  readHead();
}

auto CallerSession::armTimer(Duration Timeout) -> void {
  Pimpl->TimedOut = false;
  Pimpl->Idle = false;
  Pimpl->TimerExtended = false;
  Pimpl->Timer.expires_after(Timeout);
  Pimpl->Timer.async_wait(
      [Weak = weak_from_this(),
       Generation = ++Pimpl->TimerGeneration](const error_code &Cancelled) {
        const auto Self = Weak.lock();
        // The timer may have been cancelled after this handler was queued.
        if (Cancelled || !Self || Self->Pimpl->Ended ||
            Self->Pimpl->TimerGeneration != Generation)
          return;
        Self->onTimerExpired();
      });
}

auto CallerSession::armHeadTimer() -> void {
  const bool Began =
      Pimpl->Buffer.size() > 0 || Pimpl->RequestParser->got_some();
  armTimer(Began ? Pimpl->Limits.HeadTimeout : Pimpl->Limits.IdleTimeout);
  Pimpl->Idle = !Began;
}

auto CallerSession::onTimerExpired() -> void {
  // An instance that is short of processor time may handle the timer before
  // input that has arrived in time.
  const bool Unread = hasUnreadInput(Pimpl->Socket);
  if (Pimpl->Idle && (Unread || Pimpl->RequestParser->got_some()))
    return armTimer(Pimpl->Limits.HeadTimeout);
  if (Unread && !Pimpl->TimerExtended) {
    armTimer(Pimpl->Limits.HeadTimeout);
    Pimpl->TimerExtended = true;
    return;
  }
  Pimpl->TimedOut = true;
  cancelRead();
}

auto CallerSession::disarmTimer() -> void {
  ++Pimpl->TimerGeneration;
  Pimpl->Idle = false;
  Pimpl->Timer.cancel();
}

// The response that is being written is not affected.
auto CallerSession::cancelRead() -> void {
  Pimpl->ReadCancellation.emit(asio::cancellation_type::terminal);
}

auto CallerSession::onLastRequestRead() -> void {
  if (std::exchange(Pimpl->LastRequestRead, true))
    return;
  disarmTimer();
  // A further request that has arrived in part was not passed on, and its
  // caller sends it again.
  if (Pimpl->Reading)
    cancelRead();
  else
    watchForDisconnect();
}

auto CallerSession::setLimits(const RequestLimits &Limits) -> void {
  const Duration Longer = Limits.IdleTimeout - Pimpl->Limits.IdleTimeout;
  Pimpl->Limits = Limits;
  if (Pimpl->Ended || !Pimpl->Reading || Pimpl->RequestParser->got_some())
    return;
  limitParser();
  if (!Pimpl->Idle || Longer <= Duration(0))
    return;
  armTimer(std::chrono::duration_cast<Duration>(
               Pimpl->Timer.expiry() - std::chrono::steady_clock::now()) +
           Longer);
  Pimpl->Idle = true;
}

auto CallerSession::limitParser() -> void {
  Pimpl->RequestParser->header_limit(Pimpl->Limits.HeadBytes);
  Pimpl->RequestParser->body_limit(Pimpl->Limits.BodyBytes);
  Pimpl->Buffer.max_size(std::max(Pimpl->Buffer.max_size(),
                                  2 * std::size_t{Pimpl->Limits.HeadBytes}));
}

auto CallerSession::readHead() -> void {
  if (Pimpl->Ended || Pimpl->LastRequestRead || Pimpl->Reading ||
      Pimpl->PendingResponses.size() >= MaxPipelinedRequests)
    return;
  Pimpl->Reading = true;
  Pimpl->RequestParser.emplace();
  limitParser();
  // A connection with responses to be written is not idle.
  if (Pimpl->PendingResponses.empty() && !Pimpl->Writing)
    armHeadTimer();
  else
    disarmTimer();
  http::async_read_header(
      Pimpl->Socket, Pimpl->Buffer, *Pimpl->RequestParser,
      asio::bind_cancellation_slot(
          Pimpl->ReadCancellation.slot(),
          [Self = shared_from_this()](const error_code &Failure, std::size_t) {
            if (!Self->continueReading(Failure))
              return;
            State &Current = *Self->Pimpl;
            Self->disarmTimer();
            if (Current.TimedOut && Failure == asio::error::operation_aborted)
              return Current.RequestParser->got_some()
                         ? Self->failRead(408)
                         : Self->close(false, SessionEnd::IdleTimeout);
            if (Failure)
              return Self->failRead(readErrorStatus(Failure));
            Self->onHeadRead();
          }));
}

auto CallerSession::continueReading(const error_code &Failure) -> bool {
  Pimpl->Reading = false;
  if (Pimpl->Ended)
    return false;
  if (!Pimpl->LastRequestRead)
    return true;
  if (Failure && Failure != asio::error::operation_aborted)
    onDisconnected();
  else
    watchForDisconnect();
  return false;
}

auto CallerSession::onHeadRead() -> void {
  Pimpl->HeadReceivedAt = bootNow();
  Pimpl->Head = toRequestHead(*Pimpl->RequestParser);
  for (const auto &[Name, Value] : Pimpl->Head.Fields)
    if (sameHeaderName(Name, "Transfer-Encoding") &&
        !sameHeaderName(Value, "chunked"))
      return failRead(400);
  if (Pimpl->RequestParser->is_done())
    return onRequestRead();
  armTimer(Pimpl->Limits.HeadTimeout * BodyTimeoutFactor);
  if (!Pimpl->Head.ExpectsContinue || !Pimpl->PendingResponses.empty() ||
      Pimpl->Writing)
    return readBody();
  Pimpl->Output = "HTTP/1.1 100 Continue\r\n\r\n";
  Pimpl->Writing = true;
  asio::async_write(
      Pimpl->Socket, asio::buffer(Pimpl->Output),
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        Self->Pimpl->Writing = false;
        if (Self->Pimpl->Ended)
          return;
        if (Failure)
          return Self->onDisconnected();
        Self->readBody();
      });
}

auto CallerSession::readBody() -> void {
  Pimpl->Reading = true;
  http::async_read(
      Pimpl->Socket, Pimpl->Buffer, *Pimpl->RequestParser,
      asio::bind_cancellation_slot(
          Pimpl->ReadCancellation.slot(),
          [Self = shared_from_this()](const error_code &Failure, std::size_t) {
            if (!Self->continueReading(Failure))
              return;
            if (Self->Pimpl->TimedOut &&
                Failure == asio::error::operation_aborted)
              return Self->failRead(408);
            if (Failure)
              return Self->failRead(readErrorStatus(Failure));
            Self->onRequestRead();
          }));
}

auto CallerSession::onRequestRead() -> void {
  disarmTimer();
  // An instance that is short of processor time may read a request only after
  // its caller has disconnected.
  if (Pimpl->Buffer.size() == 0 && endedByPeer(Pimpl->Socket))
    return onDisconnected();
  CallerRequest Request;
  Request.Head = std::move(Pimpl->Head);
  Request.Body = std::move(Pimpl->RequestParser->get().body());
  Request.ReceivedAt = Pimpl->HeadReceivedAt;
  const std::uint64_t RequestNumber = ++Pimpl->LastRequestNumber;
  const bool KeepAlive = Pimpl->RequestParser->keep_alive();
  Pimpl->PendingResponses.push_back(
      {RequestNumber, Request.Head.Method == "HEAD", std::nullopt});
  if (!KeepAlive || Pimpl->Draining)
    onLastRequestRead();
  Pimpl->Handler.onRequest(shared_from_this(), RequestNumber,
                           std::move(Request));
  readHead();
}

auto CallerSession::watchForDisconnect() -> void {
  if (Pimpl->Ended || Pimpl->Buffer.size() > 0)
    return;
  Pimpl->Socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this()](const error_code &Failure) {
        if (!Failure && !Self->Pimpl->Ended && endedByPeer(Self->Pimpl->Socket))
          Self->onDisconnected();
      });
}

auto CallerSession::failRead(unsigned Status) -> void {
  if (Status == 0)
    return onDisconnected();
  const std::uint64_t RequestNumber = ++Pimpl->LastRequestNumber;
  Pimpl->PendingResponses.push_back(
      {RequestNumber, false, Pimpl->Handler.makeErrorResponse(Status)});
  onLastRequestRead();
  flush();
}

auto CallerSession::respond(std::uint64_t RequestNumber,
                            CallerResponse Response) -> void {
  for (State::PendingResponse &Pending : Pimpl->PendingResponses)
    if (Pending.RequestNumber == RequestNumber && !Pending.Response) {
      Pending.Response = std::move(Response);
      return flush();
    }
}

auto CallerSession::flush() -> void {
  if (Pimpl->Ended || Pimpl->Writing)
    return;
  Pimpl->Output.clear();
  bool Close = false;
  bool EndsUnframed = false;
  while (!Pimpl->PendingResponses.empty() &&
         Pimpl->PendingResponses.front().Response && !Close) {
    const State::PendingResponse Pending =
        std::move(Pimpl->PendingResponses.front());
    Pimpl->PendingResponses.pop_front();
    if (Pending.Response->Abort)
      return close(true, SessionEnd::Aborted);
    // Requests behind it may be running already, and the end of the connection
    // would lose their responses.
    const bool UntilClose =
        Pending.Response->EndsWithClose && Pimpl->PendingResponses.empty();
    if (UntilClose)
      onLastRequestRead();
    EndsUnframed = UntilClose;
    Close = Pimpl->LastRequestRead && Pimpl->PendingResponses.empty();
    appendResponse(Pimpl->Output, *Pending.Response, Pending.HeadOnly,
                   UntilClose, Close);
  }
  if (Pimpl->Output.empty())
    return;
  Pimpl->Writing = true;
  if (EndsUnframed)
    setResetOnClose(true);
  Pimpl->WrittenBytes = 0;
  Pimpl->WriteStartedAt = bootNow();
  armWriteTimer(acknowledgedBytes());
  const auto ObserveProgress =
      [Self = shared_from_this()](const error_code &Failure,
                                  std::size_t Written) {
        Self->Pimpl->WrittenBytes = Written;
        return asio::transfer_all()(Failure, Written);
      };
  asio::async_write(Pimpl->Socket, asio::buffer(Pimpl->Output), ObserveProgress,
                    [Self = shared_from_this(),
                     Close](const error_code &Failure, std::size_t) {
                      State &Current = *Self->Pimpl;
                      Current.Writing = false;
                      Current.WriteTimer.cancel();
                      Current.WrittenBefore +=
                          std::exchange(Current.WrittenBytes, 0);
                      if (Current.Ended)
                        return;
                      if (Failure)
                        return Self->onDisconnected();
                      Self->onWritten(Close);
                    });
}

auto CallerSession::acknowledgedBytes() -> std::size_t {
  const std::size_t Written = Pimpl->WrittenBefore + Pimpl->WrittenBytes;
  return Written - std::min(Written, unacknowledgedBytes(Pimpl->Socket));
}

auto CallerSession::armWriteTimer(std::size_t Acknowledged) -> void {
  Pimpl->WriteTimer.expires_after(WriteTimeout);
  Pimpl->WriteTimer.async_wait(
      [Weak = weak_from_this(), Acknowledged](const error_code &Cancelled) {
        const auto Self = Weak.lock();
        if (Cancelled || !Self || Self->Pimpl->Ended || !Self->Pimpl->Writing)
          return;
        State &Current = *Self->Pimpl;
        const std::size_t Now = Self->acknowledgedBytes();
        if (Now <= Acknowledged ||
            bootNow() - Current.WriteStartedAt >= MaxWriteTime)
          return Self->close(true, SessionEnd::WriteTimeout);
        Self->armWriteTimer(Now);
      });
}

// The orderly end of the connection is the only end of a response without a
// length, and the system ends the connections of a killed process in order too.
auto CallerSession::setResetOnClose(bool Reset) -> void {
  error_code Ignored;
  Pimpl->Socket.set_option(asio::socket_base::linger(Reset, 0), Ignored);
}

auto CallerSession::onWritten(bool Close) -> void {
  if (Close)
    return close(false, SessionEnd::LastResponse);
  flush();
  if (Pimpl->Ended)
    return;
  if (Pimpl->Reading && !Pimpl->RequestParser->is_header_done() &&
      Pimpl->PendingResponses.empty() && !Pimpl->Writing)
    armHeadTimer();
  readHead();
}

auto CallerSession::drain(bool CloseIdle) -> void {
  if (Pimpl->Ended)
    return;
  Pimpl->Draining = true;
  if (!Pimpl->PendingResponses.empty())
    onLastRequestRead();
  const bool Idle =
      Pimpl->PendingResponses.empty() && !Pimpl->Writing &&
      !(Pimpl->RequestParser && Pimpl->RequestParser->got_some()) &&
      !hasUnreadInput(Pimpl->Socket);
  if (CloseIdle && Idle)
    close(false, SessionEnd::Drained);
}

auto CallerSession::onDisconnected() -> void {
  close(true, SessionEnd::CallerLeft);
}

auto CallerSession::ending() const -> const SessionEnding & {
  return Pimpl->Ending;
}

auto CallerSession::close(bool Reset, SessionEnd Cause) -> void {
  if (std::exchange(Pimpl->Ended, true))
    return;
  Pimpl->Ending = {Cause, Pimpl->PendingResponses.size(), Pimpl->Writing,
                   (Pimpl->Reading && Pimpl->RequestParser->got_some()) ||
                       Pimpl->Buffer.size() > 0 ||
                       hasUnreadInput(Pimpl->Socket)};
  const auto Self = shared_from_this();
  Pimpl->Timer.cancel();
  Pimpl->WriteTimer.cancel();
  error_code Ignored;
  setResetOnClose(Reset);
  if (!Reset) {
    Pimpl->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    cancelRead();
    discardInput(std::make_shared<DiscardedInput>());
    Pimpl->LingerUntil = bootNow() + WriteTimeout;
    Pimpl->LingerAcknowledged = acknowledgedBytes();
    closeAfterLinger();
  }
  const auto PendingResponses = std::exchange(Pimpl->PendingResponses, {});
  for (const State::PendingResponse &Pending : PendingResponses)
    if (!Pending.Response)
      Pimpl->Handler.onCallerDisconnected(*this, Pending.RequestNumber);
  Pimpl->Handler.onSessionEnded(Self);
  if (Reset)
    closeSocket();
}

auto CallerSession::closeSocket() -> void {
  if (!Pimpl->Socket.is_open())
    return;
  error_code Ignored;
  Pimpl->Socket.close(Ignored);
  Pimpl->Handler.onSocketClosed();
}

auto CallerSession::discardInput(const std::shared_ptr<DiscardedInput> &Input)
    -> void {
  Pimpl->Socket.async_read_some(asio::buffer(*Input),
                                [Self = shared_from_this(), Input](
                                    const error_code &Failure, std::size_t) {
                                  if (!Failure) {
                                    Self->Pimpl->InputDiscarded = true;
                                    return Self->discardInput(Input);
                                  }
                                  Self->Pimpl->Timer.cancel();
                                  Self->closeSocket();
                                });
}

auto CallerSession::closeAfterLinger() -> void {
  Pimpl->Timer.expires_after(LingerTimeout);
  Pimpl->Timer.async_wait([Self = shared_from_this()](
                              const error_code &Cancelled) {
    if (Cancelled)
      return;
    State &Current = *Self->Pimpl;
    const TimePoint Now = bootNow();
    const std::size_t Acknowledged = Self->acknowledgedBytes();
    if (std::exchange(Current.LingerAcknowledged, Acknowledged) < Acknowledged)
      Current.LingerUntil =
          std::min(Now + WriteTimeout, Current.WriteStartedAt + MaxWriteTime);
    const bool Sending = std::exchange(Current.InputDiscarded, false);
    if ((Sending || hasUnsentOutput(Current.Socket)) &&
        Now < Current.LingerUntil)
      return Self->closeAfterLinger();
    Self->closeSocket();
  });
}

} // namespace buckthornring
