#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Result.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/IO/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace buckthornring {

/// How far an exchange came. Up to Connecting the server has seen nothing of
/// the request; from Writing on it may run it.
enum class HttpPhase {
  Connecting,
  Writing,
  Written,
  Receiving, ///< The response head has arrived.
  Done,
};

inline constexpr EnumNames<HttpPhase, 5>
    HttpPhaseNames({"connecting", "writing", "written", "answering", "done"});

/// Result of one exchange.
struct HttpOutcome {
  HttpPhase Phase = HttpPhase::Connecting; ///< Done exactly on success.
  HttpResponse Response{0, {}, {}};        ///< Status 0 unless Done.
  std::string Reason;                      ///< Why it failed, empty when Done.
  bool TimedOut = false;
  bool ReusedConnection = false;

  auto done() const -> bool { return Phase == HttpPhase::Done; }
  /// Whether the server can have seen any byte of the request.
  auto mayHaveRun() const -> bool { return Phase != HttpPhase::Connecting; }
};

struct HttpClientOptions {
  std::size_t MaxIdle = 8; ///< Kept-alive connections without an exchange.
  std::uint64_t BodyLimit = 8388608; ///< Bytes of a response.
};

/// Limits of one exchange.
struct HttpCallOptions {
  Duration TimeLimit = std::chrono::seconds(5); ///< Connecting included.
  /// Part of the time limit for opening a connection.
  Duration ConnectTimeout = std::chrono::seconds(5);
  bool FreshConnection = false; ///< Never use a kept-alive connection.
  /// A kept-alive connection that was idle for longer is not used.
  Duration MaxIdleTime = std::chrono::seconds(30);
  /// Called when the exchange enters a phase, Done excluded.
  std::function<void(HttpPhase)> OnPhase;
};

class HttpExchange;
struct HttpClientState;

/// Handle of an exchange in progress.
class HttpCall {
public:
  HttpCall() = default;
  explicit HttpCall(std::weak_ptr<HttpExchange> Exchange);

  /// Closes the connection and drops the callback. Without effect once the
  /// exchange has ended.
  auto cancel() -> void;

private:
  std::weak_ptr<HttpExchange> Exchange;
};

/// HTTP/1.1 client for one server, on one io_context that one thread runs. All
/// methods are called on that thread and callbacks run on it.
///
/// Each connection carries one exchange at a time and is kept alive only after
/// a complete response. A connection of a failed, late or cancelled exchange is
/// closed, so a late response cannot be taken for that of another request.
/// A response whose end is marked only by the closing of the connection counts
/// as cut short.
class HttpClient {
public:
  using Callback = std::function<void(HttpOutcome)>;

  /// \p Address is an IP address and port such as "127.0.0.1:8080". Returns an
  /// error when it is not.
  static auto create(boost::asio::io_context &Context,
                     const std::string &Address, HttpClientOptions Options = {})
      -> Result<std::unique_ptr<HttpClient>>;

  /// Cancels all exchanges without calling their callbacks.
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  auto operator=(const HttpClient &) -> HttpClient & = delete;

  /// Sends a request. \p OnOutcome is called exactly once, never from within
  /// this function, unless the call is cancelled.
  auto request(HttpRequest Request, HttpCallOptions Options, Callback OnOutcome)
      -> HttpCall;

  auto address() const -> const std::string &;
  auto idleConnections() const -> std::size_t;
  auto openExchanges() const -> std::size_t;
  auto closeIdle() -> void;

private:
  explicit HttpClient(std::shared_ptr<HttpClientState> State);

  std::shared_ptr<HttpClientState> State;
};

} // namespace buckthornring
