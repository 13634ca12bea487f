#pragma once

#include "Fleet/RetryAllowance.h"
#include "Fleet/TargetTable.h"
#include "Hedge/HedgePlanner.h"
#include "buckthornring/Common/Random.h"
#include "support/EventQueue.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace buckthornring::measure {

/// Simulates instances that send the idempotent requests of one service to its
/// targets, with the TargetTable, RetryAllowance and HedgePlanner of the
/// product, in virtual time.
///
/// Targets have 2 slots and a queue of 8 more, and reject what exceeds it. A
/// fifth of the time each one is three times slower; this changes every 400 ms.
/// 3 in 100 requests take seven times the mean.
class HedgeSimulation {
public:
  enum class Rule {
    Off,
    Former,   ///< 1.5 times the expected time, within the retry limit only.
    Multiple, ///< The former delay within the limits of HedgePlanner.
    Planned,  ///< HedgePlanner.
  };
  struct Options {
    Rule HedgeRule = Rule::Planned;
    HedgeLimits Limits = HedgeLimits();
    double RequestsPerSecond = 187; ///< 38 in 100 of what targets bear.
    /// The work of a request is drawn anew at each target, instead of being
    /// the same at all.
    bool DrawsAnew = true;
    bool WorkTail = true;          ///< 3 in 100 requests take seven times.
    std::uint32_t SlowTargets = 0; ///< Five times slower throughout.
    /// Stand still for 2 of every 10 s.
    std::uint32_t FrozenTargets = 0;
    double LostAnswers = 0;   ///< Share of answers that never arrive.
    bool Cancellation = true; ///< Targets stop what an instance gives up.
    Duration Length = std::chrono::seconds(300);
  };
  struct Statistics {
    std::uint64_t Requests = 0;
    std::uint64_t Answered = 0;
    std::uint64_t Hedges = 0;
    Duration ExtraTime{0};  ///< That hedges held slots.
    Duration TargetTime{0}; ///< That other attempts held slots.
    /// Of answered requests, and the deadline for those that had no answer.
    std::vector<Duration> Times;

    auto quantile(double Q) -> Duration;
  };

  HedgeSimulation(const Options &Settings, std::uint64_t Seed);
  auto run() -> Statistics;

private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;
  struct Attempt {
    RequestPtr Parent;
    TargetPtr Chosen;
    std::size_t Server = 0;
    double QueueAtSend = 0;
    TimePoint SentAt;
    TimePoint StartedAt = LongAgo; ///< In a slot.
    bool Hedge = false;
    bool Ended = false;   ///< At the target.
    bool GivenUp = false; ///< By the instance.
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  struct Request {
    std::size_t Instance = 0;
    TimePoint ArrivedAt;
    Duration Work{0};
    std::vector<AttemptPtr> Active;
    std::vector<TargetId> Tried;
    std::uint32_t Sends = 0;
    Duration HedgeDelay{0};
    Duration HedgeExpected{0};
    TimePoint HedgeSentAt = LongAgo;
    bool Waiting = false;
    bool Done = false;
  };
  struct Server {
    double Factor = 1;
    std::uint32_t Running = 0;
    std::deque<AttemptPtr> Queue;
  };
  struct Instance {
    std::unique_ptr<TargetTable> Table;
    std::unique_ptr<RetryAllowance> Retries;
    HedgePlanner Planner;
    std::uint32_t Waiting = 0;
  };

  auto arrive() -> void;
  auto drawWork() -> Duration;
  auto trySend(const RequestPtr &Current) -> void;
  auto select(const Request &Current) -> TargetSelection;
  auto send(const RequestPtr &Current, const TargetPtr &To, bool Hedge) -> void;
  auto armHedge(const RequestPtr &Current, const Attempt &First) -> void;
  auto sendHedge(const RequestPtr &Current) -> void;
  auto hedgeRequest(const Request &Current) const -> HedgeRequest;
  auto finish(const RequestPtr &Current, bool Answered, bool ByHedge) -> void;
  auto giveUp(const AttemptPtr &Lost) -> void;

  // Targets.
  auto reach(const AttemptPtr &Arrived) -> void;
  auto startNext(std::size_t Index) -> void;
  auto endTime(std::size_t Index, Duration Work) const -> TimePoint;
  auto slowness(std::size_t Index, std::int64_t Period) const -> double;
  auto complete(const AttemptPtr &Current) -> void;
  auto answered(const AttemptPtr &Current, const LoadReport &Load) -> void;

  Options Settings;
  std::uint64_t Seed;
  RandomSource Random;
  testing::EventQueue Events{TimePoint(std::chrono::seconds(100))};
  std::vector<Server> Servers;
  std::vector<Instance> Instances;
  Statistics Result;
};

} // namespace buckthornring::measure
