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
  Escrow,         ///< Shares that follow the demand (the one in use).
  StaticDivision, ///< Baseline: each instance has an equal part.
  Unlimited,      ///< Baseline: no rate limit.
};

enum class QueuePolicy {
  DeficitRoundRobin, ///< The one in use.
  Fifo,              ///< Baseline: one queue for all workspaces.
};

/// Several instances that admit the requests of workspaces and queue them for
/// a shared number of slots, in virtual time.
class RateWorld {
public:
  struct Workspace {
    double Rate = 100;
    double Burst = 100;
    double Offered = 80; ///< Requests per second, Poisson.
  };
  struct Options {
    RatePolicy Rates = RatePolicy::Escrow;
    QueuePolicy Queueing = QueuePolicy::DeficitRoundRobin;
    std::size_t Instances = 10;
    double FirstInstancePart = 0.1; ///< Part of all traffic at instance 0.
    std::vector<Workspace> Workspaces;
    std::uint32_t Slots = 1000;
    Duration Service = std::chrono::milliseconds(20); ///< Mean, exponential.
    std::optional<std::size_t> LostInstance;
    bool LoseLeader = false;
    TimePoint LossAt{std::chrono::seconds(10)};
    TimePoint MeasureFrom{std::chrono::seconds(5)};
    TimePoint End{std::chrono::seconds(25)};
  };
  struct Tally {
    std::uint64_t Offered = 0;
    std::uint64_t WithinRate = 0; ///< Admitted by one ideal bucket.
    std::uint64_t Wrongful = 0;   ///< Of those, refused.
    std::uint64_t Served = 0;
    double Overshoot = 0; ///< Largest excess over burst + rate * t.
  };

  RateWorld(Options Settings, std::uint64_t Seed);
  auto run() -> std::vector<Tally>;

private:
  struct Request {
    std::size_t Instance = 0;
    std::size_t Workspace = 0;
    bool Counted = false;
    bool WithinRate = false;
    TimePoint Deadline;
  };
  struct Meter {
    TokenBucket Ideal;
    double Level = 0;
    TimePoint LevelAt;
  };
  struct Node {
    std::vector<AdmissionGate> Gates;
    std::vector<TokenBucket> Parts; ///< StaticDivision.
    FairQueue Waiting;
    bool Lost = false;
  };

  auto arrive(std::size_t Workspace) -> void;
  auto pickInstance() -> std::size_t;
  auto admit(std::uint64_t Ticket) -> void;
  auto refuse(std::uint64_t Ticket) -> void;
  auto offer(std::uint64_t Ticket) -> void;
  auto progress(std::size_t Instance, std::size_t Workspace) -> void;
  auto tick(std::size_t Instance) -> void;
  auto report(std::size_t Instance, std::size_t Workspace) -> void;
  auto startLedgers() -> void;
  auto lose() -> void;
  auto serve() -> void;

  Options Settings;
  RandomSource Random;
  testing::EventQueue Queue;
  std::vector<Node> Nodes;
  std::vector<Meter> Meters;
  std::vector<std::unique_ptr<ShareLedger>> Ledgers;
  std::uint64_t Term = 0;
  bool LeaderDown = false;
  std::map<std::uint64_t, Request> Open;
  std::uint64_t LastTicket = 0;
  std::uint32_t Busy = 0;
  std::size_t NextNode = 0;
  std::vector<Tally> Result;
};

} // namespace buckthornring::measure
