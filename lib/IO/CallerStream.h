#pragma once

#include "IO/MessageHead.h"
#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Time.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace buckthornring {

/// Limits on one caller's connection.
struct CallerLimits {
  std::size_t HeadBytes = std::size_t{16} * 1024;
  std::uint64_t BodyBytes = 16ULL * 1024 * 1024;
  Duration IdleTimeout = std::chrono::seconds(60); ///< Between requests.
  Duration HeadTimeout = std::chrono::seconds(10); ///< First to last head byte.
  /// Between two reads of a body.
  Duration BodyReadTimeout = std::chrono::seconds(10);
  Duration WriteTimeout = std::chrono::seconds(10); ///< For one write.
};

/// Result of reading from a caller.
enum class ReadOutcome {
  Ok,
  Closed,
  Idle,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
  SlowSender,
};

/// One caller's HTTP/1.1 connection: parses requests and writes serialized
/// responses.
///
/// All calls come from the thread of the socket's executor; handlers run there
/// too. One read and one write may be outstanding at a time.
class CallerStream : public std::enable_shared_from_this<CallerStream> {
public:
  using ReadHandler = std::function<void(ReadOutcome)>;
  using BodyHandler = std::function<void(ReadOutcome, std::string_view)>;
  using WriteHandler = std::function<void(bool)>;

  CallerStream(boost::asio::ip::tcp::socket Socket, const CallerLimits &Limits);
  ~CallerStream();
  CallerStream(const CallerStream &) = delete;
  auto operator=(const CallerStream &) -> CallerStream & = delete;

  /// Reads the next request's head into head().
  auto readHead(ReadHandler Done) -> void;
  auto head() -> RequestHead &;
  auto keepAlive() const -> bool;

  /// Whether a request has begun to arrive and has not been read completely.
  auto receiving() const -> bool;

  /// Whether the current request's body has been read to its end.
  auto bodyDone() const -> bool;

  /// Reads more of the body. The view is valid until the next read.
  auto readBody(BodyHandler Done) -> void;

  /// Writes \p Head and \p Body in one operation. \p Body must stay valid until
  /// the handler runs.
  auto write(std::string Head, std::string_view Body, WriteHandler Done)
      -> void;

  /// Whether a write has failed because the caller did not read in time.
  auto writeTimedOut() const -> bool;

  /// Calls \p OnClosed once when the caller closes its connection. Data of a
  /// further request ends the watch without a call.
  auto watchForClose(std::function<void()> OnClosed) -> void;
  auto stopWatching() -> void;

  /// Closes after the caller has had time to read what was written: an
  /// immediate close with unread request bytes would reset the connection and
  /// discard the response (RFC 9112, section 9.6).
  auto closeGracefully() -> void;

  /// Resets the connection, so that the caller sees a failure and never a
  /// complete response.
  auto abort() -> void;

private:
  struct State;
  std::unique_ptr<State> Impl;

  auto continueHead(ReadHandler Done) -> void;
  auto armTimer(Duration Limit) -> void;
  auto discardUntilClosed(std::size_t Remaining) -> void;
};

} // namespace buckthornring
