#pragma once

#include "Admission/LoadNews.h"
#include "Fleet/CrashSuspects.h"
#include "Fleet/FailingOwners.h"
#include "Fleet/KeyLoad.h"
#include "Fleet/KeyRanges.h"
#include "Fleet/RateShares.h"
#include "Fleet/RetryAllowance.h"
#include "Fleet/SlidingWindowMaximum.h"
#include "Fleet/SplitBalancer.h"
#include "Fleet/TargetTable.h"
#include "Gateway/AnnouncementRecorder.h"
#include "Gateway/CrashMonitor.h"
#include "Gateway/Protocol.h"
#include "Gateway/RolloutAgent.h"
#include "Gateway/TargetConnectionPool.h"
#include "Gateway/WaitQueue.h"
#include "Hedge/HedgePlanner.h"
#include "IO/EventLog.h"
#include "buckthornring/Config/CallerKeys.h"
#include "buckthornring/Config/Configuration.h"
#include "buckthornring/Observe/Counters.h"
#include "buckthornring/Observe/LatencyHistogram.h"
#include "buckthornring/Routing/RouteTable.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace buckthornring {

/// The configuration in force, with its lookup tables.
struct ActiveConfig {
  explicit ActiveConfig(Configuration Accepted)
      : Config(std::move(Accepted)), Routes(Config), Keys(Config) {}
  ActiveConfig(const ActiveConfig &) = delete;
  auto operator=(const ActiveConfig &) -> ActiveConfig & = delete;

  Configuration Config;
  RouteTable Routes;
  CallerKeys Keys;
};

/// The owners of one service's keys, as last read by this instance.
struct RangeView {
  RangeRecord Record;
  std::uint64_t Revision = 0;
  /// Revision of the last record that was written in an earlier era.
  std::uint64_t VoidRevision = 0;
  /// Fencing tokens of key ranges whose new owners may not have their grants
  /// yet, with the time at which this instance read the change.
  std::unordered_map<std::uint64_t, TimePoint> MovingSince;
};

/// The last part of a planned stop. A request that has not been sent to a
/// target by its begin is sent only if it ends before the instance does.
struct StopWindow {
  TimePoint Begin;
  TimePoint End; ///< Requests that are still in progress are broken off.
};

/// State shared by the requests of one instance. Used by one thread.
struct RequestContext {
  boost::asio::io_context &Io;
  const PlatformProtocol &Protocol;
  TargetTable &Targets;
  TargetConnectionPool &Pool;
  EventLog &Events;
  WaitQueue &WaitingRequests;
  AnnouncementRecorder &Announcements;
  CrashSuspects &Suspects;
  CrashMonitor &Crashes;
  RetryLimit RetryBounds;
  /// No retry uses the slack of the limit before.
  TimePoint RetrySlackFrom;
  /// Sizes of the fleet, over the window of the retry limit.
  SlidingWindowMaximum<std::uint32_t> RecentInstances;
  std::string Instance;

  std::shared_ptr<const ActiveConfig>
      CurrentConfig; ///< Null before the first configuration.
  std::unordered_map<ServiceId, RangeView> Ranges;
  std::unordered_map<ServiceId, RetryAllowance> Retries;
  RateShares Rates;
  SplitBalancer Splits;
  Counters::Stripe &CounterStripe;
  LatencyHistogram Latency;
  /// Keys requested since the last report to the leader.
  std::unordered_map<ServiceId, std::vector<std::uint32_t>> RequestedKeys;
  /// Outcomes at owners of keys since the last report to the leader.
  std::map<TargetId, OutcomeCounts> OwnerOutcomes;
  /// Latest loads of targets that have not been passed on yet.
  LoadNews UnsentLoads;
  /// Called after a load was added to UnsentLoads.
  std::function<void()> OnLoadAdded;
  /// Requests the admission of one request of a workspace from the leader's
  /// reserve of the rate limit.
  std::function<void(const WorkspaceId &, std::function<void(bool)>)>
      RequestRateFromReserve;

  /// Whether another instance has read a newer configuration than this one.
  std::function<bool()> ConfigurationOutdated = [] { return false; };
  /// Null: the deployment has no rollouts.
  RolloutAgent *Rollouts = nullptr;
  /// Set when a planned stop begins.
  std::optional<StopWindow> Stop = std::nullopt;
  HedgePlanner Hedges = HedgePlanner();
  ShortageMonitor Shortages = {};

  auto retries(const ServiceId &Service) -> RetryAllowance & {
    return Retries.try_emplace(Service, RetryBounds, RetrySlackFrom)
        .first->second;
  }

  /// Takes one retry of the service if it is within this instance's part of the
  /// limit.
  auto tryTakeRetry(const ServiceId &Service, TimePoint Now) -> bool {
    return retries(Service).tryTake(
        RecentInstances.maximum(Targets.fleetSize().estimatedInstances(), Now),
        Now);
  }
};

} // namespace buckthornring
