#pragma once

#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace buckthornring {

/// State of one pooled connection to a target.
struct ConnectionState {
  TimePoint IdleSince;
  /// An exchange was begun and its response has not been read to the end.
  bool ExchangeOpen = false;
};

/// Chooses between a reused and a new connection, so that no response is
/// matched to another request and no non-idempotent request is lost on a
/// connection that has failed silently.
class ConnectionPolicy {
public:
  struct Options {
    /// Idle time after which a connection may have failed silently, so that it
    /// carries idempotent requests only.
    Duration MaxIdleNonIdempotent = std::chrono::seconds(1);
    /// Idle time after which a connection is closed. Below the usual 60 s
    /// keep-alive timeout of servers, whose close would race with a request.
    Duration MaxIdle = std::chrono::seconds(30);
  };

  explicit ConnectionPolicy(Options Settings) : Settings(Settings) {}
  ConnectionPolicy() : ConnectionPolicy(Options()) {}

  /// True when \p Connection may carry a new request.
  auto canReuse(const ConnectionState &Connection, bool Idempotent,
                TimePoint Now) const -> bool;

  /// Returns the index of the most recently used suitable connection, or
  /// nothing when a new one is needed.
  auto choose(std::span<const ConnectionState> Idle, bool Idempotent,
              TimePoint Now) const -> std::optional<std::size_t>;

  /// True when \p Connection is to be closed instead of kept in the pool.
  auto mustClose(const ConnectionState &Connection, TimePoint Now) const
      -> bool;

private:
  Options Settings;
};

} // namespace buckthornring
