#pragma once

#include "buckthornring/IO/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <set>

namespace buckthornring {

struct HttpServerState : std::enable_shared_from_this<HttpServerState> {
  HttpServerState(boost::asio::io_context &Context, HttpServerOptions Options,
                  HttpServer::Handler OnRequest);

  auto accept() -> void;
  auto adopt(boost::asio::ip::tcp::socket Socket) -> void;
  auto drain() -> void;
  auto remove(const std::shared_ptr<HttpSession> &Session) -> void;
  auto checkDrained() -> void;

  boost::asio::ip::tcp::acceptor Acceptor;
  std::uint16_t Port = 0;
  boost::asio::steady_timer RetryTimer;
  boost::asio::steady_timer DrainTimer;
  HttpServerOptions Options;
  HttpServer::Handler OnRequest;
  std::set<std::shared_ptr<HttpSession>> Sessions;
  std::function<void()> OnDrained;
  bool Draining = false;
};

/// One accepted connection. Requests are handled one after another.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(boost::asio::ip::tcp::socket Socket,
              std::shared_ptr<HttpServerState> Server);

  auto start(Duration Delay) -> void;
  auto close() -> void;
  auto silence() -> void;
  auto closeWhenIdle() -> void;

  auto respond(std::uint64_t Number, const HttpResponse &Response,
               std::optional<std::size_t> BodyBytes) -> void;
  auto abort(std::uint64_t Number, bool Silently) -> void;
  auto watchDisconnect(std::uint64_t Number, std::function<void()> Callback)
      -> void;
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
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Refuses or closes unless another phase has begun within \p Limit.
  auto limitPhase(Duration Limit) -> void;
  auto beIdle() -> void;
  auto armReadable() -> void;
  auto onReadable() -> void;
  auto readHead() -> void;
  auto readBody() -> void;
  auto handle() -> void;
  auto refuse(boost::beast::error_code Code) -> void;
  auto refuse(HttpProtocolError Error) -> void;
  auto write(const HttpResponse &Response, std::size_t BodyBytes, bool KeepOpen)
      -> void;
  auto closeAfterAnswer() -> void;
  auto discardRest() -> void;

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  std::shared_ptr<HttpServerState> Server;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Request;
  std::string Wire;
  std::function<void()> OnDisconnect;
  std::uint64_t Exchange = 0;
  Phase Current = Phase::Idle;
  bool ReadableArmed = false;
  bool DataWaiting = false;
  bool IsHead = false;
  bool KeepAlive = false;
};

} // namespace buckthornring
