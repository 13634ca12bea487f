#pragma once

#include "buckthornring/Common/Result.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/IO/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace buckthornring {

class HttpSession;
struct HttpServerState;

/// Responds to one request, at any later time and from any thread. Copies refer
/// to the same request; only the first response is sent.
class HttpResponder {
public:
  HttpResponder(std::shared_ptr<HttpSession> Session, std::uint64_t Exchange);

  auto respond(HttpResponse Response) const -> void;
  /// Sends only the first \p BodyBytes of the body, with the Content-Length of
  /// the whole one, and closes the connection.
  auto respondTruncated(HttpResponse Response, std::size_t BodyBytes) const
      -> void;
  /// Closes the connection without a response.
  auto abort() const -> void;
  /// Keeps the connection open but never reads or writes it again.
  auto silence() const -> void;
  /// Calls \p Callback on the server's thread when the caller closes its
  /// connection before the response is given.
  auto onDisconnect(std::function<void()> Callback) const -> void;

private:
  std::shared_ptr<HttpSession> Session;
  std::uint64_t Exchange;
};

/// Why a request was rejected before it reached the handler.
enum class HttpProtocolError { Malformed, HeadTooLarge, BodyTooLarge, TooSlow };

struct HttpServerOptions {
  std::string Address = "127.0.0.1"; ///< IP address.
  std::uint16_t Port = 0;            ///< 0: chosen by the kernel.
  /// Lets several servers, one per thread, share one port.
  bool ReusePort = false;
  std::uint32_t HeadLimit = 16384;   ///< Bytes.
  std::uint64_t BodyLimit = 1048576; ///< Bytes.
  /// Most bytes that are held before they are parsed: heads, and extensions and
  /// trailers of bodies in chunks.
  std::size_t BufferLimit = 128UL * 1024;
  /// Beyond this number, the connection that was opened first of those without
  /// a request so far is closed for a new one, or the new one if there is none.
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
  /// From the first to the last byte of a request.
  Duration ReadTimeout = std::chrono::seconds(10);
  Duration WriteTimeout = std::chrono::seconds(30); ///< For one response.
  /// How long idle connections stay open after drain(), so that requests
  /// already in transit are served.
  Duration DrainGracePeriod = std::chrono::milliseconds(300);
  /// Called for each new connection with the number of open ones, the new one
  /// included. Returns the time before the connection is read, or nothing to
  /// close it at once.
  std::function<std::optional<Duration>(std::size_t Open)> OnConnect;
  /// Builds the response to a request that is rejected before it reaches the
  /// handler. By default HttpServer::errorResponse(). The connection is closed
  /// after the response.
  std::function<HttpResponse(HttpProtocolError)> OnProtocolError;
};

/// HTTP/1.1 server on one io_context that one thread runs. The handler is
/// called on that thread and may respond later.
class HttpServer {
public:
  using Handler = std::function<void(HttpRequest, HttpResponder)>;

  /// Returns a listening server, or the reason when the address cannot be
  /// bound.
  static auto start(boost::asio::io_context &Context, HttpServerOptions Options,
                    Handler OnRequest) -> Result<std::unique_ptr<HttpServer>>;

  /// 400, 413 or 408 with an empty body.
  static auto errorResponse(HttpProtocolError Error) -> HttpResponse;

  /// Closes the listener and all connections.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;

  auto port() const -> std::uint16_t;
  auto openConnections() const -> std::size_t;

  /// Stops accepting. Requests in progress, and those that arrive on open
  /// connections within DrainGracePeriod, receive a response with "Connection:
  /// close"; then idle connections are closed. \p OnDrained is called once when
  /// no connection is left.
  auto drain(std::function<void()> OnDrained) -> void;
  /// Closes all open connections at once and keeps listening.
  auto closeConnections() -> void;
  /// Simulates a middlebox that lost its connection state: the open connections
  /// stay open but are never read or written again, while new connections work.
  auto silenceConnections() -> void;

private:
  explicit HttpServer(std::shared_ptr<HttpServerState> State);

  std::shared_ptr<HttpServerState> State;
};

} // namespace buckthornring
