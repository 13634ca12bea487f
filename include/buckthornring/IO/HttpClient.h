#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Result.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/IO/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace buckthornring {

/// Progress of an exchange. In phase Connecting the server has received nothing
/// of the request; from Writing on it may execute it.
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
  /// Done if and only if the exchange succeeded.
  HttpPhase Phase = HttpPhase::Connecting;
  HttpResponse Response{0, {}, {}}; ///< Status 0 unless Done.
  std::string Reason;               ///< Reason of the failure, empty when Done.
  bool TimedOut = false;
  bool ReusedConnection = false;

  auto done() const -> bool { return Phase == HttpPhase::Done; }
  /// Whether the server may have received any byte of the request.
  auto mayHaveRun() const -> bool { return Phase != HttpPhase::Connecting; }
};

struct HttpClientOptions {
  /// Limit on kept-alive connections that carry no exchange.
  std::size_t MaxIdleConnections = 8;
  std::uint64_t BodyLimit = 8388608; ///< Largest response body in bytes.
  /// Called before the callback of an exchange whose response cannot be read,
  /// with the server's address and the reason.
  std::function<void(const std::string &, const std::string &)> OnUnreadable;
};

/// Limits of one exchange.
struct HttpCallOptions {
  /// For the whole exchange, connecting included. With a StallTimeout: until
  /// the head of the response.
  Duration TimeLimit = std::chrono::seconds(5);
  /// If set, the body of the response may take TransferLimit in all, as long as
  /// a part of it arrives in each span of this length.
  std::optional<Duration> StallTimeout;
  /// A transfer that has not ended by then is too slow to be of use. It also
  /// ends a body that never does.
  Duration TransferLimit = std::chrono::seconds(10);
  /// Limit for opening the connection, included in TimeLimit.
  Duration ConnectTimeout = std::chrono::seconds(5);
  bool NewConnection = false; ///< Do not use a kept-alive connection.
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

  /// Closes the connection and drops the callback. Has no effect once the
  /// exchange has ended.
  auto cancel() -> void;
  /// Whether the response is arriving: its head has, its end has not.
  auto receiving() const -> bool;

private:
  std::weak_ptr<HttpExchange> Exchange;
};

/// HTTP/1.1 client for one server, on one io_context that one thread runs. All
/// methods are called on that thread and callbacks run on it.
///
/// Each connection carries one exchange at a time and is kept alive only after
/// a complete response. The connection of a failed, timed-out or cancelled
/// exchange is closed, so that a late response is never matched to another
/// request. A response that is delimited only by the closing of the connection
/// is treated as truncated. One with a status outside of 200 to 599, or with a
/// folded line in its head, is a failure. Trailer fields are not read.
class HttpClient {
public:
  using Callback = std::function<void(HttpOutcome)>;

  /// Fails when \p Address is not an IP address and port such as
  /// "127.0.0.1:8080".
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
