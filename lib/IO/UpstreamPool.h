#pragma once

#include "IO/UpstreamConnection.h"
#include "buckthornring/Attempt/ConnectionPolicy.h"
#include "buckthornring/Common/Time.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornring {

/// Connection pool of one traffic thread for all targets, by target address.
///
/// Opens one connection at a time per target, since each costs the target about
/// 1 ms, and never more connections than the limit of the request.
class UpstreamPool {
public:
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;
  /// Receives a connection, or null when none could be opened.
  using Handler = std::function<void(ConnectionPtr)>;
  using Ticket = std::uint64_t;

  struct Options {
    Duration ConnectTimeout = std::chrono::seconds(1);
    ConnectionPolicy::Options Policy;
  };

  struct ConnectionRequest {
    std::string Address; ///< IP address and port.
    bool Idempotent;     ///< May use a connection that has been idle for long.
    std::size_t Limit;   ///< Limit on open connections to the target.
  };

  struct Totals {
    std::uint64_t Opened = 0;
    std::uint64_t OpenFailed = 0;
    std::uint64_t Reused = 0;
    std::uint64_t ClosedIdle = 0;
    std::uint64_t Open = 0;
  };

  UpstreamPool(boost::asio::any_io_executor Executor, Options Settings);

  /// Calls \p Done later, never from within this call. The ticket cancels it.
  auto acquire(const ConnectionRequest &Request, Handler Done) -> Ticket;
  auto cancel(const std::string &Address, Ticket Id) -> void;

  /// Returns a connection whose exchange is complete.
  auto release(const std::string &Address, const ConnectionPtr &Connection)
      -> void;

  /// Closes a connection with an unfinished exchange.
  auto discard(const std::string &Address, const ConnectionPtr &Connection)
      -> void;

  /// Closes connections that have been idle too long.
  auto closeIdle(TimePoint Now) -> void;
  auto closeAll() -> void;

  auto totals() const -> const Totals & { return Counters; }

private:
  struct Waiter {
    Ticket Id;
    ConnectionRequest Request;
    Handler Done;
  };
  struct TargetConnections {
    std::vector<ConnectionPtr> Idle;
    std::vector<ConnectionState> IdleStates; ///< Parallel to Idle.
    std::deque<Waiter> Waiting;
    std::size_t Open = 0; ///< Includes the one being opened.
    bool Connecting = false;
  };

  auto takeIdle(TargetConnections &Target, bool Idempotent) -> ConnectionPtr;
  auto removeIdle(TargetConnections &Target, std::size_t Index)
      -> ConnectionPtr;
  auto serveWaiting(const std::string &Address) -> void;
  auto startConnecting(const std::string &Address, TargetConnections &Target)
      -> void;
  auto connected(const std::string &Address, const ConnectionPtr &Connection,
                 bool Success) -> void;
  auto deliver(Waiter Next, ConnectionPtr Connection) -> void;

  boost::asio::any_io_executor Executor;
  Options Settings;
  ConnectionPolicy Policy;
  std::unordered_map<std::string, TargetConnections> Targets;
  Ticket LastTicket = 0;
  Totals Counters;
};

} // namespace buckthornring
