#pragma once

#include "support/EventQueue.h"

#include "buckthornring/Common/Random.h"
#include "buckthornring/Limits/AdmissionGate.h"
#include "buckthornring/Limits/FairQueue.h"
#include "buckthornring/Limits/ShareLedger.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace buckthornring::measure {

enum class RatePolicy {
  Escrow,         ///< Shares that follow the demand, as in the router.
  StaticDivision, ///< Baseline: an equal, fixed share per instance.
  Unlimited,      ///< Baseline: no rate limit.
};

enum class QueuePolicy {
  DeficitRoundRobin, ///< As in the router.
  Fifo,              ///< Baseline: one queue for all workspaces.
};

/// Simulates instances in virtual time. They admit the requests of workspaces
/// and queue them for a common number of slots.
class RateSimulation {
public:
  struct Workspace {
    double Rate = 100;
    double Burst = 100;
    double Offered = 80; ///< Mean requests per second, Poisson arrivals.
  };
  struct Options {
    RatePolicy RateLimiting = RatePolicy::Escrow;
    QueuePolicy Queueing = QueuePolicy::DeficitRoundRobin;
    std::size_t Instances = 10;
    double FirstInstanceFraction = 0.1; ///< Of all traffic.
    std::vector<Workspace> Workspaces;
    std::uint32_t Slots = 1000;
    /// Mean of an exponential distribution.
    Duration ServiceTime = std::chrono::milliseconds(20);
    std::optional<std::size_t> LostInstance;
    bool LoseLeader = false;
    TimePoint LossAt{std::chrono::seconds(10)};
    TimePoint MeasureFrom{std::chrono::seconds(5)};
    TimePoint End{std::chrono::seconds(25)};
  };
  struct Statistics {
    std::uint64_t Offered = 0;
    std::uint64_t WithinRate = 0; ///< Admitted by one central token bucket.
    std::uint64_t Wrongful = 0;   ///< Within the rate, but refused.
    std::uint64_t Served = 0;
    double Overshoot = 0; ///< Largest excess over burst + rate * t.
  };

  RateSimulation(Options Settings, std::uint64_t Seed);
  auto run() -> std::vector<Statistics>;

private:
  struct Request {
    std::size_t InstanceIndex = 0;
    std::size_t WorkspaceIndex = 0;
    bool Counted = false;
    bool WithinRate = false;
    TimePoint Deadline;
  };
  /// Measures the admitted requests of one workspace at all instances.
  struct Meter {
    TokenBucket IdealBucket;
    double Level = 0; ///< Admitted requests, draining at the rate.
    TimePoint LevelUpdatedAt;
  };
  struct InstanceState {
    std::vector<AdmissionGate> Gates;
    std::vector<TokenBucket> LocalBuckets; ///< Used by StaticDivision only.
    FairQueue Pending;
    bool Lost = false;
  };

  auto scheduleArrival(std::size_t WorkspaceIndex) -> void;
  auto chooseInstance() -> std::size_t;
  auto admit(std::uint64_t Ticket) -> void;
  auto refuse(std::uint64_t Ticket) -> void;
  auto offer(std::uint64_t Ticket) -> void;
  auto advanceGate(std::size_t InstanceIndex, std::size_t WorkspaceIndex)
      -> void;
  auto tick(std::size_t InstanceIndex) -> void;
  auto requestShare(std::size_t InstanceIndex, std::size_t WorkspaceIndex)
      -> void;
  auto startLedgers() -> void;
  auto injectLoss() -> void;
  auto serve() -> void;

  Options Settings;
  RandomSource Random;
  testing::EventQueue Queue;
  std::vector<InstanceState> InstanceStates;
  std::vector<Meter> Meters;
  std::vector<std::unique_ptr<ShareLedger>> Ledgers;
  std::uint64_t Term = 0;
  bool LeaderDown = false;
  std::map<std::uint64_t, Request> OpenRequests;
  std::uint64_t LastTicket = 0;
  std::uint32_t BusySlots = 0;
  std::size_t NextInstance = 0;
  std::vector<Statistics> Results;
};

} // namespace buckthornring::measure
