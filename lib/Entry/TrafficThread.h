#pragma once

#include "Entry/AttemptRunner.h"
#include "Entry/Dispatcher.h"
#include "Entry/EntryCounters.h"
#include "Entry/Publication.h"
#include "Entry/RateGate.h"
#include "Entry/RoutingSnapshot.h"
#include "Entry/TargetStats.h"
#include "IO/CallerStream.h"
#include "IO/Log.h"
#include "IO/UnreadableLog.h"
#include "IO/UpstreamPool.h"
#include "buckthornring/Attempt/HedgePolicy.h"
#include "buckthornring/Attempt/RetryBudget.h"
#include "buckthornring/Common/Random.h"
#include "buckthornring/Observe/Counters.h"
#include "buckthornring/Observe/LatencyHistogram.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

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

/// What all traffic threads of a process share. Outlives them.
struct TrafficShared {
  Counters &Totals;
  Publication &Published;
  /// Null: rates are not limited.
  ShareChannel *Shares = nullptr;
  /// Makes thread \p Thread serve its waiting requests.
  std::function<void(std::size_t Thread, const ServiceId &)> Wake;
};

/// One thread of the request path. Owns its callers' connections, their
/// requests and its connections to targets; reads the published snapshot.
class TrafficThread {
public:
  TrafficThread(std::size_t Number, TrafficOptions Settings,
                const TrafficShared &Shared);
  ~TrafficThread();
  TrafficThread(const TrafficThread &) = delete;
  auto operator=(const TrafficThread &) -> TrafficThread & = delete;

  // Functions for other threads.
  /// Name under which the thread asks for shares.
  auto holderName() const -> std::string;
  auto start() -> void;
  /// Stops the thread and waits for its end. Open requests are cut off.
  auto stop() -> void;
  /// Takes a snapshot that was published before.
  auto publish(std::shared_ptr<const RoutingSnapshot> Next) -> void;
  /// Takes over a connection whose socket belongs to context().
  auto adopt(boost::asio::ip::tcp::socket Socket) -> void;
  /// Finishes running requests, then calls \p Done on this thread.
  auto shutDown(std::function<void()> Done) -> void;
  /// Follows a giver of shares with a higher term.
  auto followShares(std::uint64_t Term) -> void;
  auto applyGrant(const std::string &Quantity, const ShareGrant &Grant) -> void;
  /// Serves requests that wait for a slot.
  auto wake(const ServiceId &Service) -> void;
  auto context() -> boost::asio::io_context & { return Io; }
  auto events() const -> const EntryCounters & { return Events; }
  auto latency() const -> const LatencyHistogram & { return Latency; }
  auto connections() const -> std::size_t { return OpenConnections.load(); }

  // Functions for the thread itself.
  auto options() const -> const TrafficOptions & { return Settings; }
  auto snapshot() const -> const std::shared_ptr<const RoutingSnapshot> & {
    return Snapshot;
  }
  auto pool() -> UpstreamPool & { return Pool; }
  auto dispatcher() -> Dispatcher & { return Slots; }
  auto rates() -> RateGate & { return Rates; }
  auto stats() -> TargetStats & { return Stats; }
  auto counters() -> Counters::Stripe & { return Stripe; }
  auto unreadable() -> UnreadableLog & { return Unreadable; }
  auto events() -> EntryCounters & { return Events; }
  auto latency() -> LatencyHistogram & { return Latency; }
  auto retryBudget(const WorkspaceId &Workspace) -> RetryBudget &;
  auto hedges(const ServiceId &Service) -> HedgePolicy &;
  auto nextRequestId() -> std::string;
  auto shuttingDown() const -> bool { return ShuttingDown; }

  auto attemptStarted(const AttemptJob &Job) -> std::uint64_t;
  auto attemptEnded(const AttemptJob &Job, std::uint64_t Number,
                    TargetStats::End How, std::optional<Duration> Latency)
      -> void;
  /// Called right before the first byte is sent. Returns whether the owner of
  /// the job's slice may get it now; then \p Counted is the table in which the
  /// request is counted, if there is one.
  auto beginSlice(const AttemptJob &Job,
                  std::shared_ptr<InFlightTable> &Counted) -> bool;
  /// \p MayStillRun keeps the slice in flight for the service's longest
  /// deadline: a target may still run a request that was given up.
  auto endSlice(const AttemptJob &Job,
                const std::shared_ptr<InFlightTable> &Counted, bool MayStillRun)
      -> void;
  /// Withdraws a request from its target.
  auto cancelAtTarget(const std::string &Address, const std::string &RequestId)
      -> void;
  auto connectionEnded(const std::shared_ptr<CallerConnection> &Connection)
      -> void;

private:
  struct SliceEnd {
    TimePoint At;
    std::shared_ptr<InFlightTable> Table;
    std::uint32_t Slice;
  };

  auto takeSnapshot(std::shared_ptr<const RoutingSnapshot> Next) -> void;
  auto tick() -> void;
  auto tickStats(TimePoint Now) -> void;
  auto mayStillSend(const AttemptJob &Job) const -> bool;
  auto endSlices(TimePoint Now) -> void;
  auto checkDrained() -> void;

  std::size_t Number;
  TrafficOptions Settings;
  Log Journal{"traffic"};
  UnreadableLog Unreadable{"traffic"};
  TrafficShared Shared;
  boost::asio::io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  boost::asio::steady_timer Timer;
  UpstreamPool Pool;
  RandomSource Random;
  TargetStats Stats;
  Dispatcher Slots;
  RateGate Rates;
  Counters::Stripe &Stripe;
  EntryCounters Events;
  LatencyHistogram Latency;
  std::shared_ptr<const RoutingSnapshot> Snapshot;
  std::unordered_set<std::shared_ptr<CallerConnection>> Connections;
  std::unordered_map<WorkspaceId, RetryBudget> Budgets;
  std::unordered_map<ServiceId, HedgePolicy> Hedges;
  std::unordered_map<std::string, std::unique_ptr<HttpClient>> Controls;
  std::vector<SliceEnd> SliceEnds;
  TimePoint StatsDue;
  TimePoint IdleDue;
  std::function<void()> Drained;
  bool ShuttingDown = false;
  std::uint64_t RequestCount = 0;
  std::atomic<std::size_t> OpenConnections = 0;
  std::thread Thread;
};

} // namespace buckthornring
