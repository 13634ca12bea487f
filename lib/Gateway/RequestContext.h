#pragma once

#include "Fleet/KeyLoad.h"
#include "Fleet/KeyRanges.h"
#include "Fleet/RateShares.h"
#include "Fleet/RetryAllowance.h"
#include "Fleet/SplitBalancer.h"
#include "Fleet/TargetTable.h"
#include "Gateway/Protocol.h"
#include "Gateway/TargetConnectionPool.h"
#include "Gateway/WaitQueue.h"
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
#include <set>
#include <unordered_map>

namespace buckthornring {

/// A configuration in force, with its lookup tables.
struct ActiveConfig {
  explicit ActiveConfig(Configuration Accepted)
      : Config(std::move(Accepted)), Routes(Config), Keys(Config) {}
  ActiveConfig(const ActiveConfig &) = delete;
  auto operator=(const ActiveConfig &) -> ActiveConfig & = delete;

  Configuration Config;
  RouteTable Routes;
  CallerKeys Keys;
};

/// The owners of one service's keys as this instance knows them.
struct RangeView {
  RangeRecord Record;
  std::uint64_t Revision = 0;
  /// Fencing tokens whose owners changed and may not have their grants yet,
  /// with the time at which that was learned.
  std::unordered_map<std::uint64_t, TimePoint> MovingSince;
};

/// What the requests of one instance share. Used by one thread.
struct RequestContext {
  boost::asio::io_context &Io;
  const PlatformProtocol &Protocol;
  TargetTable &Targets;
  TargetPool &Pool;
  EventLog &Events;
  WaitQueue &WaitingRequests;
  RetryLimit RetryBounds;
  std::string Instance;

  std::shared_ptr<const ActiveConfig>
      CurrentConfig; ///< Null before the first one.
  std::unordered_map<ServiceId, RangeView> Ranges;
  std::unordered_map<ServiceId, RetryAllowance> Retries;
  RateShares Rates;
  SplitBalancer Splits;
  Counters::Stripe &Count;
  LatencyHistogram Latency;
  /// Keys requested since the last report to the leader.
  std::unordered_map<ServiceId, std::vector<std::uint32_t>> RequestedKeys;
  /// Owners that have answered since then.
  std::set<TargetId> RespondingOwners;
  /// Newest loads of targets that the neighbours have not been told yet.
  std::map<TargetId, LoadReport> UnsentLoads;
  /// Something was added to UnsentLoads.
  std::function<void()> OnLoadSeen;
  /// Asks the leader's reserve for one request of a workspace.
  std::function<void(const WorkspaceId &, std::function<void(bool)>)> AskRate;

  auto retries(const ServiceId &Service) -> RetryAllowance & {
    return Retries.try_emplace(Service, RetryBounds).first->second;
  }
};

} // namespace buckthornring
