#pragma once

#include "IO/AsyncParse.h"
#include "IO/HttpWire.h"
#include "buckthornring/IO/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <set>

namespace buckthornring {

struct HttpServerState : std::enable_shared_from_this<HttpServerState> {
  HttpServerState(boost::asio::io_context &Context, HttpServerOptions Options,
                  HttpServer::Handler OnRequest);

  auto accept() -> void;
  auto startSession(boost::asio::ip::tcp::socket Socket) -> void;
  auto drain() -> void;
  auto remove(const std::shared_ptr<HttpSession> &Session) -> void;
  /// Whether one more connection may be open.
  auto makeRoom() -> bool;
  auto checkDrained() -> void;

  boost::asio::ip::tcp::acceptor Acceptor;
  std::uint16_t Port = 0;
  boost::asio::steady_timer RetryTimer;
  boost::asio::steady_timer DrainTimer;
  HttpServerOptions Options;
  HttpServer::Handler OnRequest;
  std::set<std::shared_ptr<HttpSession>> Sessions;
  std::uint64_t OpenedSessions = 0;
  std::function<void()> OnDrained;
  bool Draining = false;
};

/// One accepted connection. Requests are handled one after another.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(boost::asio::ip::tcp::socket Socket,
              std::shared_ptr<HttpServerState> Server);

  /// Position in the order in which the connections were opened.
  auto number() const -> std::uint64_t { return Number; }

  auto start(Duration Delay) -> void;
  auto close() -> void;
  auto silence() -> void;
  auto closeWhenIdle() -> void;

  auto respond(std::uint64_t ExchangeNumber, const HttpResponse &Response,
               std::optional<std::size_t> BodyBytes) -> void;
  auto abort(std::uint64_t ExchangeNumber, bool KeepOpen) -> void;
  auto watchDisconnect(std::uint64_t ExchangeNumber,
                       std::function<void()> Callback) -> void;
  /// Whether no byte has been read on it.
  auto unused() const -> bool {
    return CurrentExchange == 0 && CurrentPhase == Phase::Idle;
  }
  auto executor() { return Socket.get_executor(); }

private:
  enum class Phase {
    Idle,
    Reading,
    Handling,
    Writing,
    Closing,
    Silent,
    Closed
  };
  using Parser = MessageParser<true, boost::beast::http::string_body>;

  /// Rejects the request or closes the connection unless another phase has
  /// begun within \p Limit.
  auto setPhaseTimeout(Duration Limit) -> void;
  auto becomeIdle() -> void;
  auto waitReadable() -> void;
  auto onReadable() -> void;
  using Step = auto(HttpSession::*)() -> void;
  auto readHead() -> void;
  /// Reads the request as far as \p End and calls \p Next, or refuses it.
  auto read(ParseUntil End, Step Next) -> void;
  auto readBody() -> void;
  auto handle() -> void;
  auto refuse(boost::beast::error_code Code) -> void;
  auto refuse(HttpProtocolError Error) -> void;
  auto write(const HttpResponse &Response, std::size_t BodyBytes, bool KeepOpen)
      -> void;
  auto closeAfterResponse() -> void;
  auto discardInput() -> void;

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  std::shared_ptr<HttpServerState> Server;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Request;
  std::string Output;
  std::function<void()> OnDisconnect;
  std::uint64_t Number;
  std::uint64_t CurrentExchange = 0;
  Phase CurrentPhase = Phase::Idle;
  bool WaitingReadable = false;
  bool DataWaiting = false;
  bool IsHeadRequest = false;
  bool KeepAlive = false;
};

} // namespace buckthornring
