#pragma once

#include "IO/HttpWire.h"
#include "IO/MessageParser.h"
#include "IO/PeerWatch.h"
#include "IO/ResponseBuffer.h"
#include "buckthornring/IO/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <set>

namespace buckthornring {

/// A kept-alive connection that carries no exchange.
struct IdleConnection {
  boost::asio::ip::tcp::socket Socket;
  std::chrono::steady_clock::time_point IdleSince;
};

struct HttpClientState {
  HttpClientState(boost::asio::io_context &Context,
                  boost::asio::ip::tcp::endpoint Endpoint, std::string Address,
                  HttpClientOptions Options)
      : Context(Context), Endpoint(std::move(Endpoint)),
        Address(std::move(Address)), Options(std::move(Options)) {}

  /// Takes the most recently used idle connection that is still usable.
  auto takeIdle(Duration MaxAge) -> std::optional<boost::asio::ip::tcp::socket>;

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::endpoint Endpoint;
  std::string Address;
  HttpClientOptions Options;
  std::vector<IdleConnection> IdleConnections;
  std::set<std::shared_ptr<HttpExchange>> Exchanges;
};

/// One request and its response on one connection.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
  HttpExchange(std::shared_ptr<HttpClientState> Client, HttpRequest Request,
               HttpCallOptions Options, HttpClient::Callback OnOutcome);

  auto start() -> void;
  auto cancel() -> void;
  auto receiving() const -> bool {
    return !Finished && Outcome.Phase == HttpPhase::Receiving;
  }

private:
  using Parser = MessageParser<false, boost::beast::http::string_body>;

  /// Fails the exchange if it has not ended \p SinceStart after its start.
  auto armTimer(Duration SinceStart) -> void;
  /// Fails the exchange if no part of the body arrives within the stall limit,
  /// or if the transfer takes too long.
  auto armStallTimer() -> void;
  auto enterPhase(HttpPhase Phase) -> void;
  auto connect() -> void;
  auto write() -> void;
  auto readHead() -> void;
  auto readBody() -> void;
  /// Reads the body in parts and notes the arrival of each.
  auto readBodyPart() -> void;
  auto succeed() -> void;
  auto fail(const std::string &Reason) -> void;
  /// Fails the exchange since the response cannot be read.
  auto reject(const std::string &Reason) -> void;
  auto onReadFailed(const char *What, const boost::system::error_code &Failure)
      -> void;
  auto finish() -> void;

  std::shared_ptr<HttpClientState> Client;
  HttpRequest Request;
  HttpCallOptions Options;
  HttpClient::Callback OnOutcome;
  boost::asio::ip::tcp::socket Socket;
  PeerWatch Watch;
  boost::asio::steady_timer Timer;
  ResponseBuffer Buffer{MaxUnparsedBytes};
  std::optional<Parser> Response;
  HttpHeaders Fields; ///< Of the response's head, without trailer fields.
  std::string Output;
  std::chrono::steady_clock::time_point StartedAt;
  std::chrono::steady_clock::time_point BodyBegunAt;
  bool PartArrived = false; ///< Since the stall timer was armed.
  int InterimResponses = 0;
  HttpOutcome Outcome;
  bool Finished = false;
};

} // namespace buckthornring
