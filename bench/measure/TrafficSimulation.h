#pragma once

#include "support/EventQueue.h"

#include "buckthornring/Attempt/Attempt.h"
#include "buckthornring/Attempt/HedgePolicy.h"
#include "buckthornring/Common/Random.h"
#include "buckthornring/Routing/ColdStartRamp.h"
#include "buckthornring/Routing/Ejector.h"
#include "buckthornring/Routing/LatencyTracker.h"
#include "buckthornring/Routing/TargetChooser.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace buckthornring::measure {

/// Simulates instances that send the requests of one undivided service to its
/// targets, in virtual time. Targets have slots and a queue; their load reports
/// reach the instances with a delay.
class TrafficSimulation {
public:
  struct Policy {
    const char *Name = "";
    ChooserKind Chooser = ChooserKind::TwoChoices;
    bool Hedge = true;
    bool Eject = true;
    bool Ramp = true;
  };
  struct Options {
    Policy RoutingPolicy;
    std::size_t DataCentres = 1;
    std::size_t InstancesPerDataCentre = 10;
    std::size_t TargetsPerDataCentre = 10;
    double RequestsPerSecond = 4000;
    std::optional<std::size_t> SlowTarget;
    double SlowFactor = 10;
    TimePoint SlowFrom{std::chrono::seconds(5)};
    TimePoint SlowUntil = TimePoint::max();
    /// Times at which data centre 0 is taken out of service and brought back.
    std::optional<TimePoint> TakenOutAt;
    TimePoint BroughtBackAt = TimePoint::max();
    TimePoint MeasureFrom{std::chrono::seconds(5)};
    TimePoint End{std::chrono::seconds(25)};
  };
  struct Statistics {
    std::uint64_t Requests = 0;
    std::uint64_t Attempts = 0;
    std::uint64_t Completed = 0;
    std::uint64_t Lost = 0; ///< Refused, or no response by the end.
    Duration P50{};
    Duration P99{};
    /// Time from the take-out command to the last attempt that reached a target
    /// of data centre 0.
    Duration StopTime{};
    /// Attempts on the slow target and on all targets in the last 5 s of the
    /// run.
    std::uint64_t FinalAttemptsOnSlow = 0;
    std::uint64_t FinalAttempts = 0;
  };

  TrafficSimulation(Options Settings, std::uint64_t Seed);
  ~TrafficSimulation();
  TrafficSimulation(const TrafficSimulation &) = delete;
  auto operator=(const TrafficSimulation &) -> TrafficSimulation & = delete;
  auto run() -> Statistics;

private:
  struct Request;
  struct SimulatedAttempt {
    std::shared_ptr<Request> Parent;
    std::unique_ptr<Attempt> StateMachine;
    std::size_t Target = 0;
    TimePoint StartedAt;
  };
  using AttemptPtr = std::shared_ptr<SimulatedAttempt>;
  struct Request {
    explicit Request(bool Idempotent) : Record(Idempotent) {}
    RunRecord Record;
    std::size_t Instance = 0;
    TimePoint StartedAt;
    bool Counted = false; ///< Started within the measured period.
    bool Settled = false;
    std::vector<AttemptPtr> Attempts;
  };
  struct Target {
    std::size_t DataCentre = 0;
    std::uint32_t BusySlots = 0;
    std::deque<AttemptPtr> Pending;
    TimePoint ColdSince = TimePoint::min(); ///< The minimum: not cold.
    double ReportedLoad = 0;
  };
  /// What one instance knows about one target.
  struct TargetView {
    std::uint32_t InFlight = 0;
    LatencyTracker Latency;
    std::optional<ColdStartRamp> Ramp;
  };
  struct Instance {
    std::size_t DataCentre = 0;
    std::vector<TargetView> TargetViews;
    std::unique_ptr<TargetChooser> Chooser;
    Ejector TargetEjector;
    HedgePolicy Hedging;
    LatencyTracker ServiceLatency;
    std::vector<AttemptPtr> RunningAttempts;
    bool FirstDataCentreTakenOut = false; ///< As known to this instance.
  };

  auto scheduleArrival() -> void;
  auto tick(std::size_t Index) -> void;
  auto reportLoads() -> void;
  auto applyTakeOut(bool Out) -> void;
  auto isUsable(Instance &Self, std::size_t TargetIndex, TimePoint Now) -> bool;
  auto candidates(Instance &Self, std::optional<std::size_t> Excluded)
      -> std::vector<std::size_t>;
  auto startAttempt(const std::shared_ptr<Request> &Parent) -> void;
  auto enqueue(const AttemptPtr &Current) -> void;
  auto startPending(std::size_t TargetIndex) -> void;
  auto finish(const AttemptPtr &Current) -> void;
  auto removeRunning(const AttemptPtr &Current) -> void;
  auto completeRequest(const std::shared_ptr<Request> &Parent, bool Completed)
      -> void;
  auto serviceTime(std::size_t TargetIndex) -> Duration;
  auto linkDelay(const AttemptPtr &Current) const -> Duration;

  Options Settings;
  RandomSource Random;
  testing::EventQueue Queue;
  std::vector<Target> Targets;
  std::vector<Instance> Instances;
  std::vector<TargetId> Names;
  std::vector<Duration> Latencies;
  Statistics Result;
};

} // namespace buckthornring::measure
