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

/// Instances that send the requests of one undivided service to its targets,
/// in virtual time. Targets have slots and a queue; load reports arrive late.
class TrafficWorld {
public:
  struct Policy {
    const char *Name = "";
    ChooserKind Chooser = ChooserKind::TwoChoices;
    bool Hedge = true;
    bool Eject = true;
    bool Ramp = true;
  };
  struct Options {
    Policy Rules;
    std::size_t DataCentres = 1;
    std::size_t InstancesEach = 10;
    std::size_t TargetsEach = 10;
    double RequestsPerSecond = 4000;
    std::optional<std::size_t> SlowTarget;
    double SlowFactor = 10;
    TimePoint SlowFrom{std::chrono::seconds(5)};
    TimePoint SlowUntil = TimePoint::max();
    /// Data centre 0 is taken out and brought back at these times.
    std::optional<TimePoint> TakenOutAt;
    TimePoint BroughtBackAt = TimePoint::max();
    TimePoint MeasureFrom{std::chrono::seconds(5)};
    TimePoint End{std::chrono::seconds(25)};
  };
  struct Tally {
    std::uint64_t Requests = 0;
    std::uint64_t Attempts = 0;
    std::uint64_t Answered = 0;
    std::uint64_t Lost = 0; ///< Refused or past the deadline.
    Duration P50{};
    Duration P99{};
    /// Time from the take-out command to the last start of new work there.
    Duration StopTime{};
    /// Attempts on the slow target and on all targets in the last 5 s.
    std::uint64_t LastOnSlow = 0;
    std::uint64_t LastOnAll = 0;
  };

  TrafficWorld(Options Settings, std::uint64_t Seed);
  ~TrafficWorld();
  TrafficWorld(const TrafficWorld &) = delete;
  auto operator=(const TrafficWorld &) -> TrafficWorld & = delete;
  auto run() -> Tally;

private:
  struct Request;
  struct Try {
    std::shared_ptr<Request> For;
    std::unique_ptr<Attempt> Phase;
    std::size_t Target = 0;
    TimePoint Begun;
  };
  using TryPtr = std::shared_ptr<Try>;
  struct Request {
    explicit Request(bool Idempotent) : Record(Idempotent) {}
    RunRecord Record;
    std::size_t Instance = 0;
    TimePoint Begun;
    bool Counted = false;
    bool Settled = false;
    std::vector<TryPtr> Tries;
  };
  struct Target {
    std::size_t DataCentre = 0;
    std::uint32_t Busy = 0;
    std::deque<TryPtr> Waiting;
    TimePoint ColdSince = TimePoint::min();
    double Reported = 0;
  };
  struct View {
    std::uint32_t InFlight = 0;
    LatencyTracker Latency;
    std::optional<ColdStartRamp> Ramp;
  };
  struct Instance {
    std::size_t DataCentre = 0;
    std::vector<View> Views;
    std::unique_ptr<TargetChooser> Chooser;
    Ejector Guard;
    HedgePolicy Hedging;
    LatencyTracker Service;
    std::vector<TryPtr> Running;
    bool FirstTakenOut = false; ///< Knows that data centre 0 is taken out.
  };

  auto arrive() -> void;
  auto tick(std::size_t Index) -> void;
  auto reportLoads() -> void;
  auto applyTakeOut(bool Out) -> void;
  auto usable(Instance &At, std::size_t TargetIndex, TimePoint Now) -> bool;
  auto candidates(Instance &At, std::optional<std::size_t> Except)
      -> std::vector<std::size_t>;
  auto start(const std::shared_ptr<Request> &Of) -> void;
  auto enqueue(const TryPtr &Of) -> void;
  auto work(std::size_t TargetIndex) -> void;
  auto finish(const TryPtr &Of) -> void;
  auto leave(const TryPtr &Of) -> void;
  auto settle(const std::shared_ptr<Request> &Of, bool Answered) -> void;
  auto serviceTime(std::size_t TargetIndex) -> Duration;
  auto linkDelay(const TryPtr &Of) const -> Duration;

  Options Settings;
  RandomSource Random;
  testing::EventQueue Queue;
  std::vector<Target> Targets;
  std::vector<Instance> Instances;
  std::vector<TargetId> Names;
  std::vector<Duration> Latencies;
  Tally Result;
};

} // namespace buckthornring::measure
