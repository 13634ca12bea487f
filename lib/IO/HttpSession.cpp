#include "HttpSession.h"

#include "HttpWire.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <sys/socket.h>

namespace buckthornring {

namespace http = boost::beast::http;
using boost::beast::error_code;

namespace {

constexpr auto LingerTimeout = std::chrono::seconds(1);
constexpr std::size_t DiscardChunkBytes = 16384;

auto protocolError(error_code Code) -> HttpProtocolError {
  if (Code == http::error::header_limit)
    return HttpProtocolError::HeadTooLarge;
  if (Code == http::error::body_limit)
    return HttpProtocolError::BodyTooLarge;
  return HttpProtocolError::Malformed;
}

} // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket Socket,
                         std::shared_ptr<HttpServerState> Server)
    : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
      Server(std::move(Server)), Buffer(this->Server->Options.BufferLimit),
      Number(++this->Server->OpenedSessions) {}

auto HttpSession::start(Duration Delay) -> void {
  error_code Ignored;
  Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  if (Delay <= Duration::zero()) {
    becomeIdle();
    return;
  }
  Timer.expires_after(Delay);
  Timer.async_wait([Self = shared_from_this()](error_code Code) {
    if (!Code && Self->CurrentPhase == Phase::Idle)
      Self->becomeIdle();
  });
}

auto HttpSession::close() -> void {
  if (CurrentPhase == Phase::Closed)
    return;
  CurrentPhase = Phase::Closed;
  ++CurrentExchange;
  OnDisconnect = nullptr;
  Timer.cancel();
  error_code Ignored;
  Socket.close(Ignored);
  Server->remove(shared_from_this());
}

auto HttpSession::silence() -> void {
  if (CurrentPhase == Phase::Closed)
    return;
  CurrentPhase = Phase::Silent;
  ++CurrentExchange;
  OnDisconnect = nullptr;
  Timer.cancel();
  error_code Ignored;
  Socket.cancel(Ignored);
}

auto HttpSession::closeWhenIdle() -> void {
  KeepAlive = false;
  if (CurrentPhase == Phase::Idle || CurrentPhase == Phase::Silent)
    close();
}

auto HttpSession::setPhaseTimeout(Duration Limit) -> void {
  Timer.expires_after(Limit);
  Timer.async_wait([Self = shared_from_this(),
                    LimitedPhase = CurrentPhase](error_code Cancelled) {
    if (Cancelled || Self->CurrentPhase != LimitedPhase ||
        Self->Timer.expiry() > std::chrono::steady_clock::now())
      return;
    if (LimitedPhase != Phase::Reading) {
      Self->close();
      return;
    }
    error_code Ignored;
    Self->Socket.cancel(Ignored);
    Self->refuse(HttpProtocolError::TooSlow);
  });
}

auto HttpSession::becomeIdle() -> void {
  CurrentPhase = Phase::Idle;
  if (DataWaiting || Buffer.size() > 0) {
    DataWaiting = false;
    readHead();
    return;
  }
  waitReadable();
}

// One wait detects both the next request and a disconnect of the caller while a
// request is handled.
auto HttpSession::waitReadable() -> void {
  if (WaitingReadable)
    return;
  WaitingReadable = true;
  Socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                    [Self = shared_from_this()](error_code Code) {
                      Self->WaitingReadable = false;
                      if (!Code)
                        Self->onReadable();
                    });
}

auto HttpSession::onReadable() -> void {
  if (CurrentPhase == Phase::Idle) {
    readHead();
    return;
  }
  if (CurrentPhase != Phase::Handling)
    return;
  char Byte = 0;
  const auto Count =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0 || (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))) {
    DataWaiting = Count > 0;
    return;
  }
  auto Callback = std::move(OnDisconnect);
  close();
  if (Callback)
    Callback();
}

auto HttpSession::readHead() -> void {
  CurrentPhase = Phase::Reading;
  Request.emplace();
  Request->limitFields(Server->Options.HeadLimit);
  Request->body_limit(Server->Options.BodyLimit);
  setPhaseTimeout(Server->Options.ReadTimeout);
  read(ParseUntil::HeadDone, &HttpSession::readBody);
}

auto HttpSession::read(ParseUntil End, Step Next) -> void {
  asyncParse(Socket, Buffer, *Request, End,
             [Self = shared_from_this(), Next](error_code Code) {
               if (Self->CurrentPhase != Phase::Reading)
                 return;
               if (Code)
                 Self->refuse(Code);
               else
                 ((*Self).*Next)();
             });
}

auto HttpSession::readBody() -> void {
  if (sameHeaderName(Request->get()[http::field::expect], "100-continue")) {
    static constexpr std::string_view Continue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(
        Socket, boost::asio::buffer(Continue),
        [Self = shared_from_this()](error_code Code, std::size_t) {
          if (Code && Self->CurrentPhase == Phase::Reading)
            Self->close();
        });
  }
  read(ParseUntil::Done, &HttpSession::handle);
}

auto HttpSession::handle() -> void {
  Timer.cancel();
  CurrentPhase = Phase::Handling;
  auto &Message = Request->get();
  HttpRequest Incoming;
  Incoming.Method = std::string(Message.method_string());
  Incoming.Target = std::string(Message.target());
  Incoming.Headers = readFields(Message.base());
  Incoming.Body = std::move(Message.body());
  IsHeadRequest = Message.method() == http::verb::head;
  KeepAlive = Message.keep_alive();
  const auto ExchangeNumber = ++CurrentExchange;
  if (Buffer.size() == 0)
    waitReadable();
  // The handler may respond, and even close the connection, before it returns.
  auto OnRequest = Server->OnRequest;
  OnRequest(std::move(Incoming),
            HttpResponder(shared_from_this(), ExchangeNumber));
}

auto HttpSession::refuse(error_code Code) -> void {
  const bool IsParseError =
      Code.category() == make_error_code(http::error::bad_method).category();
  if (Code == http::error::end_of_stream || !IsParseError)
    close();
  else
    refuse(protocolError(Code));
}

auto HttpSession::refuse(HttpProtocolError Error) -> void {
  ++CurrentExchange;
  IsHeadRequest = false;
  const auto Response = Server->Options.OnProtocolError
                            ? Server->Options.OnProtocolError(Error)
                            : HttpServer::errorResponse(Error);
  write(Response, Response.Body.size(), false);
}

auto HttpSession::respond(std::uint64_t ExchangeNumber,
                          const HttpResponse &Response,
                          std::optional<std::size_t> BodyBytes) -> void {
  if (ExchangeNumber != CurrentExchange || CurrentPhase != Phase::Handling)
    return;
  OnDisconnect = nullptr;
  const bool Complete = !BodyBytes.has_value();
  write(Response, Complete ? Response.Body.size() : *BodyBytes,
        Complete && KeepAlive && !Server->Draining);
}

auto HttpSession::abort(std::uint64_t ExchangeNumber, bool KeepOpen) -> void {
  if (ExchangeNumber != CurrentExchange || CurrentPhase != Phase::Handling)
    return;
  if (KeepOpen)
    silence();
  else
    close();
}

auto HttpSession::watchDisconnect(std::uint64_t ExchangeNumber,
                                  std::function<void()> Callback) -> void {
  if (ExchangeNumber == CurrentExchange && CurrentPhase == Phase::Handling)
    OnDisconnect = std::move(Callback);
}

auto HttpSession::write(const HttpResponse &Response, std::size_t BodyBytes,
                        bool KeepOpen) -> void {
  CurrentPhase = Phase::Writing;
  const auto Reason =
      http::obsolete_reason(http::int_to_status(Response.Status));
  Output = "HTTP/1.1 " + std::to_string(Response.Status) + ' ' +
           std::string(Reason) + "\r\n";
  appendFields(Output, Response.Headers);
  auto Length = std::to_string(Response.Body.size());
  if (const auto Declared = Response.Headers.find("Content-Length");
      IsHeadRequest && Declared.has_value())
    Length = std::string(*Declared);
  if (Response.Status != 204 && Response.Status != 304)
    Output.append("Content-Length: ").append(Length).append("\r\n");
  Output.append(KeepOpen ? "\r\n" : "Connection: close\r\n\r\n");
  if (!IsHeadRequest)
    Output.append(Response.Body, 0, BodyBytes);
  setPhaseTimeout(Server->Options.WriteTimeout);
  boost::asio::async_write(
      Socket, boost::asio::buffer(Output),
      [Self = shared_from_this(), KeepOpen](error_code Code, std::size_t) {
        if (Self->CurrentPhase != Phase::Writing)
          return;
        Self->Timer.cancel();
        if (Code)
          Self->close();
        else if (KeepOpen)
          Self->becomeIdle();
        else
          Self->closeAfterResponse();
      });
}

// Closing a socket with unread data resets the connection, and a reset can
// discard the response before the caller has read it.
auto HttpSession::closeAfterResponse() -> void {
  CurrentPhase = Phase::Closing;
  error_code Ignored;
  Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
  setPhaseTimeout(LingerTimeout);
  discardInput();
}

auto HttpSession::discardInput() -> void {
  Buffer.clear();
  Socket.async_read_some(
      Buffer.prepare(DiscardChunkBytes),
      [Self = shared_from_this()](error_code Code, std::size_t) {
        if (Self->CurrentPhase != Phase::Closing)
          return;
        if (Code)
          Self->close();
        else
          Self->discardInput();
      });
}

HttpResponder::HttpResponder(std::shared_ptr<HttpSession> Session,
                             std::uint64_t Exchange)
    : Session(std::move(Session)), Exchange(Exchange) {}

auto HttpResponder::respond(HttpResponse Response) const -> void {
  boost::asio::dispatch(
      Session->executor(),
      [Session = Session, Exchange = Exchange, Response = std::move(Response)] {
        Session->respond(Exchange, Response, std::nullopt);
      });
}

auto HttpResponder::respondTruncated(HttpResponse Response,
                                     std::size_t BodyBytes) const -> void {
  boost::asio::dispatch(Session->executor(),
                        [Session = Session, Exchange = Exchange, BodyBytes,
                         Response = std::move(Response)] {
                          Session->respond(Exchange, Response, BodyBytes);
                        });
}

auto HttpResponder::abort() const -> void {
  boost::asio::dispatch(Session->executor(),
                        [Session = Session, Exchange = Exchange] {
                          Session->abort(Exchange, false);
                        });
}

auto HttpResponder::silence() const -> void {
  boost::asio::dispatch(Session->executor(),
                        [Session = Session, Exchange = Exchange] {
                          Session->abort(Exchange, true);
                        });
}

auto HttpResponder::onDisconnect(std::function<void()> Callback) const -> void {
  boost::asio::dispatch(
      Session->executor(), [Session = Session, Exchange = Exchange,
                            Callback = std::move(Callback)]() mutable {
        Session->watchDisconnect(Exchange, std::move(Callback));
      });
}

} // namespace buckthornring
