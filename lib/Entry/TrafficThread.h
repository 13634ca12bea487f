#pragma once

#include "Entry/AttemptRunner.h"
#include "Entry/EntryCounters.h"
#include "Entry/RoutingSnapshot.h"
#include "IO/CallerStream.h"
#include "IO/UpstreamPool.h"
#include "buckthornring/Attempt/RetryBudget.h"
#include "buckthornring/Common/Random.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>

namespace buckthornring {

class CallerConnection;
class HttpClient;

/// Settings of the request path.
struct TrafficOptions {
  std::string InstanceName; ///< Start of every request identifier.
  CallerLimits Caller;
  UpstreamPool::Options Pool;
  /// Body bytes kept for another attempt; a longer body is sent once.
  std::size_t ReplayBytes = std::size_t{64} * 1024;
  /// Time in which callers may use idle connections after a shutdown began.
  Duration IdleGrace = std::chrono::milliseconds(500);
};

/// One thread of the request path. Owns its callers' connections, their
/// requests and its connections to targets; reads the published snapshot.
///
/// Only post(), publish(), shutDown(), adopt() and counters() may be called
/// from other threads.
class TrafficThread {
public:
  TrafficThread(std::size_t Number, TrafficOptions Settings);
  ~TrafficThread();
  TrafficThread(const TrafficThread &) = delete;
  auto operator=(const TrafficThread &) -> TrafficThread & = delete;

  auto start() -> void;
  /// Stops the thread and waits for its end. Open requests are cut off.
  auto stop() -> void;

  auto publish(std::shared_ptr<const RoutingSnapshot> Next) -> void;
  /// Takes over a connection whose socket belongs to context().
  auto adopt(boost::asio::ip::tcp::socket Socket) -> void;
  /// Finishes running requests, then calls \p Done on this thread.
  auto shutDown(std::function<void()> Done) -> void;

  auto context() -> boost::asio::io_context & { return Io; }
  auto counters() -> EntryCounters & { return Counters; }
  auto connections() const -> std::size_t { return OpenConnections.load(); }

  // The remaining functions are for the thread itself.
  auto options() const -> const TrafficOptions & { return Settings; }
  auto snapshot() const -> const std::shared_ptr<const RoutingSnapshot> & {
    return Snapshot;
  }
  auto pool() -> UpstreamPool & { return Pool; }
  auto random() -> RandomSource & { return Random; }
  auto retryBudget(const WorkspaceId &Workspace) -> RetryBudget &;
  auto nextRequestId() -> std::string;
  auto shuttingDown() const -> bool { return ShuttingDown; }

  /// Own requests in flight at \p Target.
  auto inFlight(const TargetId &Target) const -> std::uint32_t;
  auto attemptStarted(const AttemptJob &Job) -> void;
  auto attemptEnded(const AttemptJob &Job, TimePoint SentAt,
                    const AttemptOutcome &Outcome) -> void;
  /// Withdraws a request from its target.
  auto cancelAtTarget(const std::string &Address, const std::string &RequestId)
      -> void;
  auto connectionEnded(const std::shared_ptr<CallerConnection> &Connection)
      -> void;

private:
  auto tick() -> void;
  auto checkDrained() -> void;

  std::size_t Number;
  TrafficOptions Settings;
  boost::asio::io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  boost::asio::steady_timer Timer;
  UpstreamPool Pool;
  RandomSource Random;
  std::shared_ptr<const RoutingSnapshot> Snapshot;
  std::unordered_set<std::shared_ptr<CallerConnection>> Connections;
  std::unordered_map<WorkspaceId, RetryBudget> Budgets;
  std::unordered_map<TargetId, std::uint32_t> InFlight;
  std::unordered_map<std::string, std::unique_ptr<HttpClient>> Controls;
  std::function<void()> Drained;
  bool ShuttingDown = false;
  std::uint64_t RequestCount = 0;
  EntryCounters Counters;
  std::atomic<std::size_t> OpenConnections = 0;
  std::thread Thread;
};

} // namespace buckthornring
