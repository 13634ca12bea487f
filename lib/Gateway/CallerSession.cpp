#include "Gateway/CallerSession.h"

#include "IO/BootClock.h"
#include "IO/SocketOptions.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <optional>

namespace buckthornring {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Requests of one connection that are answered at the same time. Reading goes
/// on when one of them is done.
constexpr std::size_t MaxPipelined = 16;

/// Time for a request's body, in multiples of the configured time for its head;
/// the configuration limits the body's size only.
constexpr int BodyTimeFactor = 4;

/// Time in which a caller has to read an answer.
constexpr Duration WriteStall = std::chrono::seconds(5);

/// Time for the caller to read the last answer before the socket is closed; a
/// close with unread input would reset the connection (RFC 9112, 9.6).
constexpr Duration LingerTime = std::chrono::milliseconds(500);

/// A caller's connection without acknowledgements for this long is dead.
constexpr Duration CallerSilence = std::chrono::seconds(5);

using Parser = http::request_parser<http::string_body>;

auto statusOf(const error_code &Failure) -> unsigned {
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

auto readHeadOf(const Parser &From) -> RequestHead {
  RequestHead Head;
  const auto &Message = From.get();
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

} // namespace

struct CallerSession::State {
  struct Slot {
    std::uint64_t Number;
    bool KeepAlive;
    bool HeadOnly;
    std::optional<CallerAnswer> Answer;
  };

  State(asio::ip::tcp::socket Socket, CallerHandler &Handler,
        const RequestLimits &Limits)
      : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
        WriteTimer(this->Socket.get_executor()), Handler(Handler),
        Limits(Limits) {}

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  asio::steady_timer WriteTimer;
  CallerHandler &Handler;
  RequestLimits Limits;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Request;
  std::uint64_t TimerRound = 0;
  RequestHead Head;
  TimePoint HeadAt;
  std::deque<Slot> Slots;
  std::string Out;
  std::uint64_t LastNumber = 0;
  bool Reading = false;
  bool TimedOut = false;
  bool Writing = false;
  bool Draining = false;
  bool StopReading = false; ///< No request is read any more.
  bool Ended = false;
};

CallerSession::CallerSession(asio::ip::tcp::socket Socket,
                             CallerHandler &Handler,
                             const RequestLimits &Limits)
    : Io(std::make_unique<State>(std::move(Socket), Handler, Limits)) {}

CallerSession::~CallerSession() = default;

auto CallerSession::start() -> void {
  enableDeadPeerDetection(Io->Socket, CallerSilence);
  readHead();
}

auto CallerSession::armTimer(Duration Limit) -> void {
  Io->TimedOut = false;
  Io->Timer.expires_after(Limit);
  Io->Timer.async_wait([Weak = weak_from_this(),
                        Round = ++Io->TimerRound](const error_code &Cancelled) {
    const auto Self = Weak.lock();
    // The wait may have ended while this call was already queued.
    if (Cancelled || !Self || Self->Io->Ended || Self->Io->TimerRound != Round)
      return;
    Self->Io->TimedOut = true;
    error_code Ignored;
    Self->Io->Socket.cancel(Ignored);
  });
}

auto CallerSession::disarmTimer() -> void {
  ++Io->TimerRound;
  Io->Timer.cancel();
}

auto CallerSession::readHead() -> void {
  if (Io->Ended || Io->StopReading || Io->Reading ||
      Io->Slots.size() >= MaxPipelined)
    return;
  Io->Reading = true;
  Io->Request.emplace();
  Io->Request->header_limit(Io->Limits.HeadBytes);
  Io->Request->body_limit(Io->Limits.BodyBytes);
  // A caller that waits for answers is not idle.
  if (Io->Slots.empty())
    armTimer(Io->Buffer.size() > 0 ? Io->Limits.HeadTimeout
                                   : Io->Limits.IdleTimeout);
  else
    disarmTimer();
  http::async_read_header(
      Io->Socket, Io->Buffer, *Io->Request,
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        State &Io = *Self->Io;
        Io.Reading = false;
        if (Io.Ended)
          return;
        Self->disarmTimer();
        if (Io.TimedOut && Failure == asio::error::operation_aborted)
          return Io.Request->got_some() ? Self->failRead(408)
                                        : Self->close(false);
        if (Failure)
          return Self->failRead(statusOf(Failure));
        Self->gotHead();
      });
}

auto CallerSession::gotHead() -> void {
  Io->HeadAt = bootNow();
  Io->Head = readHeadOf(*Io->Request);
  for (const auto &[Name, Value] : Io->Head.Fields)
    if (sameHeaderName(Name, "Transfer-Encoding") &&
        !sameHeaderName(Value, "chunked"))
      return failRead(400);
  if (Io->Request->is_done())
    return gotRequest();
  armTimer(Io->Limits.HeadTimeout * BodyTimeFactor);
  if (!Io->Head.ExpectsContinue || !Io->Slots.empty() || Io->Writing)
    return readBody();
  Io->Out = "HTTP/1.1 100 Continue\r\n\r\n";
  Io->Writing = true;
  asio::async_write(
      Io->Socket, asio::buffer(Io->Out),
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        Self->Io->Writing = false;
        if (Self->Io->Ended)
          return;
        if (Failure)
          return Self->left();
        Self->readBody();
      });
}

auto CallerSession::readBody() -> void {
  Io->Reading = true;
  http::async_read(
      Io->Socket, Io->Buffer, *Io->Request,
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        State &Io = *Self->Io;
        Io.Reading = false;
        if (Io.Ended)
          return;
        if (Io.TimedOut && Failure == asio::error::operation_aborted)
          return Self->failRead(408);
        if (Failure)
          return Self->failRead(statusOf(Failure));
        Self->gotRequest();
      });
}

auto CallerSession::gotRequest() -> void {
  disarmTimer();
  // An instance without processor time reads requests after their callers have
  // given up.
  if (Io->Buffer.size() == 0 && endedByPeer(Io->Socket))
    return left();
  CallerRequest Request;
  Request.Head = std::move(Io->Head);
  Request.Body = std::move(Io->Request->get().body());
  Request.ReceivedAt = Io->HeadAt;
  const std::uint64_t Number = ++Io->LastNumber;
  const bool KeepAlive = Io->Request->keep_alive();
  Io->Slots.push_back(
      {Number, KeepAlive, Request.Head.Method == "HEAD", std::nullopt});
  if (!KeepAlive)
    Io->StopReading = true;
  Io->Handler.received(shared_from_this(), Number, std::move(Request));
  if (!KeepAlive)
    return watchForLeaving();
  readHead();
}

auto CallerSession::watchForLeaving() -> void {
  if (Io->Ended || Io->Buffer.size() > 0)
    return;
  Io->Socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [Self = shared_from_this()](const error_code &Failure) {
                          if (!Failure && !Self->Io->Ended &&
                              endedByPeer(Self->Io->Socket))
                            Self->left();
                        });
}

auto CallerSession::failRead(unsigned Status) -> void {
  if (Status == 0)
    return left();
  Io->StopReading = true;
  const std::uint64_t Number = ++Io->LastNumber;
  Io->Slots.push_back({Number, false, false, Io->Handler.unreadable(Status)});
  flush();
}

auto CallerSession::answer(std::uint64_t Number, CallerAnswer Answer) -> void {
  for (State::Slot &Slot : Io->Slots)
    if (Slot.Number == Number && !Slot.Answer) {
      Slot.Answer = std::move(Answer);
      return flush();
    }
}

auto CallerSession::flush() -> void {
  if (Io->Ended || Io->Writing)
    return;
  Io->Out.clear();
  bool Close = false;
  while (!Io->Slots.empty() && Io->Slots.front().Answer && !Close) {
    const State::Slot Slot = std::move(Io->Slots.front());
    Io->Slots.pop_front();
    if (Slot.Answer->Abort)
      return close(true);
    Close = !Slot.KeepAlive || (Io->Draining && Io->Slots.empty());
    Io->Out.append("HTTP/1.1 ")
        .append(std::to_string(Slot.Answer->Status))
        .append(" ")
        .append(http::obsolete_reason(
            static_cast<http::status>(Slot.Answer->Status)))
        .append("\r\n");
    for (const auto &[Name, Value] : Slot.Answer->Fields)
      appendField(Io->Out, Name, Value);
    if (Slot.Answer->Status != 204 && Slot.Answer->Status != 304)
      appendField(Io->Out, "Content-Length",
                  std::to_string(Slot.Answer->Body.size()));
    if (Close)
      appendField(Io->Out, "Connection", "close");
    Io->Out.append("\r\n");
    if (!Slot.HeadOnly)
      Io->Out.append(Slot.Answer->Body);
  }
  if (Io->Out.empty())
    return;
  Io->Writing = true;
  Io->WriteTimer.expires_after(WriteStall);
  Io->WriteTimer.async_wait(
      [Weak = weak_from_this()](const error_code &Cancelled) {
        const auto Self = Weak.lock();
        if (!Cancelled && Self && !Self->Io->Ended)
          Self->left();
      });
  asio::async_write(Io->Socket, asio::buffer(Io->Out),
                    [Self = shared_from_this(),
                     Close](const error_code &Failure, std::size_t) {
                      Self->Io->Writing = false;
                      Self->Io->WriteTimer.cancel();
                      if (Self->Io->Ended)
                        return;
                      if (Failure)
                        return Self->left();
                      Self->written(Close);
                    });
}

auto CallerSession::written(bool Close) -> void {
  if (Close) {
    Io->StopReading = true;
    return close(false);
  }
  flush();
  if (Io->Ended)
    return;
  if (Io->Reading && Io->Slots.empty() && !Io->Writing)
    armTimer(Io->Limits.IdleTimeout);
  readHead();
}

auto CallerSession::drain(bool CloseIdle) -> void {
  Io->Draining = true;
  const bool Idle = Io->Slots.empty() && !Io->Writing &&
                    !(Io->Request && Io->Request->got_some());
  if (CloseIdle && Idle)
    close(false);
}

auto CallerSession::left() -> void { close(true); }

auto CallerSession::close(bool Reset) -> void {
  if (std::exchange(Io->Ended, true))
    return;
  const auto Self = shared_from_this();
  Io->Timer.cancel();
  Io->WriteTimer.cancel();
  error_code Ignored;
  if (Reset) {
    Io->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    Io->Socket.close(Ignored);
  } else {
    Io->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    Io->Timer.expires_after(LingerTime);
    Io->Timer.async_wait([Self](const error_code &) {
      error_code IgnoredToo;
      Self->Io->Socket.close(IgnoredToo);
    });
  }
  const auto Slots = std::exchange(Io->Slots, {});
  for (const State::Slot &Slot : Slots)
    if (!Slot.Answer)
      Io->Handler.callerLeft(*this, Slot.Number);
  Io->Handler.sessionEnded(Self);
}

} // namespace buckthornring
