#include "TrafficSimulation.h"

#include <algorithm>
#include <cmath>

namespace buckthornring::measure {

namespace {

constexpr std::uint32_t SlotsPerTarget = 4;
constexpr Duration ReportInterval = std::chrono::milliseconds(200);
constexpr Duration ReportDelay = std::chrono::seconds(1);
constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration RequestTimeout = std::chrono::seconds(5);
constexpr Duration LocalLinkDelay = std::chrono::microseconds(250);
constexpr Duration RemoteLinkDelay = std::chrono::microseconds(1250);
// A change reaches an instance with the next heartbeats of the watch and of the
// tree, within this time.
constexpr Duration MaxChangeDelay = std::chrono::milliseconds(500);
constexpr double BaseServiceMicroseconds = 2000;
constexpr double MeanExtraMicroseconds = 3000;
constexpr Duration ColdRampPeriod = std::chrono::seconds(10);
// A cold target that runs more requests than its allowance is overloaded: its
// service times grow by this factor.
constexpr double ColdOverloadFactor = 10;

} // namespace

TrafficSimulation::TrafficSimulation(Options NewSettings, std::uint64_t Seed)
    : Settings(NewSettings), Random(Seed), Queue(TimePoint(Duration(0))),
      Targets(Settings.DataCentres * Settings.TargetsPerDataCentre),
      Instances(Settings.DataCentres * Settings.InstancesPerDataCentre) {
  for (std::size_t TargetIndex = 0; TargetIndex < Targets.size();
       ++TargetIndex) {
    Targets[TargetIndex].DataCentre =
        TargetIndex / Settings.TargetsPerDataCentre;
    Names.emplace_back("t" + std::to_string(TargetIndex));
  }
  for (std::size_t I = 0; I < Instances.size(); ++I) {
    Instances[I].DataCentre = I / Settings.InstancesPerDataCentre;
    Instances[I].TargetViews.resize(Targets.size());
    Instances[I].Chooser = TargetChooser::make(Settings.RoutingPolicy.Chooser);
    Instances[I].TargetEjector.setTargets(Names);
  }
}

TrafficSimulation::~TrafficSimulation() {
  // Breaks the reference cycles between requests and their attempts.
  for (Instance &Each : Instances)
    for (const AttemptPtr &Current : Each.RunningAttempts)
      Current->Parent->Attempts.clear();
}

auto TrafficSimulation::run() -> Statistics {
  scheduleArrival();
  reportLoads();
  for (std::size_t I = 0; I < Instances.size(); ++I)
    tick(I);
  if (Settings.TakenOutAt) {
    Queue.at(*Settings.TakenOutAt, [this] { applyTakeOut(true); });
    Queue.at(Settings.BroughtBackAt, [this] { applyTakeOut(false); });
  }
  Queue.runUntil(Settings.End);
  Result.Lost = Result.Requests - Result.Completed;
  std::sort(Latencies.begin(), Latencies.end());
  if (!Latencies.empty()) {
    Result.P50 = Latencies[Latencies.size() / 2];
    Result.P99 = Latencies[Latencies.size() * 99 / 100];
  }
  return Result;
}

auto TrafficSimulation::applyTakeOut(bool Out) -> void {
  for (Target &Each : Targets)
    if (!Out && Each.DataCentre == 0)
      Each.ColdSince = Queue.now();
  for (Instance &Each : Instances) {
    const auto Delay = Duration(static_cast<std::int64_t>(
        Random.below(static_cast<std::uint64_t>(MaxChangeDelay.count()))));
    Queue.after(Delay, [this, &Each, Out] {
      Each.FirstDataCentreTakenOut = Out;
      for (std::size_t TargetIndex = 0;
           TargetIndex < Settings.TargetsPerDataCentre && !Out; ++TargetIndex) {
        // Limits this instance to its part of the target's allowance.
        ColdStartRamp::Options Ramp;
        Each.TargetViews[TargetIndex].Ramp.emplace(Ramp, Queue.now());
      }
    });
  }
}

auto TrafficSimulation::reportLoads() -> void {
  for (std::size_t TargetIndex = 0; TargetIndex < Targets.size();
       ++TargetIndex) {
    const double Load =
        static_cast<double>(Targets[TargetIndex].BusySlots) / SlotsPerTarget;
    Queue.after(ReportDelay, [this, TargetIndex, Load] {
      Targets[TargetIndex].ReportedLoad = Load;
    });
  }
  Queue.after(ReportInterval, [this] { reportLoads(); });
}

auto TrafficSimulation::tick(std::size_t Index) -> void {
  Queue.after(TickInterval, [this, Index] { tick(Index); });
  Instance &Self = Instances[Index];
  for (const AttemptPtr &Each : Self.RunningAttempts) {
    const Duration Age = Queue.now() - Each->StartedAt;
    Self.TargetViews[Each->Target].Latency.observeUnfinished(Age, Queue.now());
    Self.TargetEjector.recordUnfinished(Names[Each->Target], Age);
  }
  if (!Settings.RoutingPolicy.Eject)
    return;
  for (const TargetId &Restored : Self.TargetEjector.evaluate(Queue.now())) {
    const auto TargetIndex = static_cast<std::size_t>(
        std::find(Names.begin(), Names.end(), Restored) - Names.begin());
    Self.TargetViews[TargetIndex].Ramp.emplace(ColdStartRamp::Options(),
                                               Queue.now());
  }
}

auto TrafficSimulation::scheduleArrival() -> void {
  const double IntervalMicroseconds =
      -std::log(1 - Random.unit()) / Settings.RequestsPerSecond * 1e6;
  Queue.after(
      Duration(static_cast<std::int64_t>(IntervalMicroseconds) + 1), [this] {
        scheduleArrival();
        auto NewRequest = std::make_shared<Request>(Random.chance(0.7));
        NewRequest->Instance = Random.below(Instances.size());
        NewRequest->StartedAt = Queue.now();
        NewRequest->Counted = Queue.now() >= Settings.MeasureFrom &&
                              Queue.now() < Settings.End - RequestTimeout / 5;
        Result.Requests += NewRequest->Counted ? 1 : 0;
        Instance &Origin = Instances[NewRequest->Instance];
        Origin.Hedging.recordRequest(Queue.now());
        startAttempt(NewRequest);
        if (!Settings.RoutingPolicy.Hedge)
          return;
        if (const auto Delay = Origin.Hedging.delay(
                NewRequest->Record, Origin.ServiceLatency.latencyP95()))
          Queue.after(*Delay, [this, NewRequest] {
            if (Instances[NewRequest->Instance].Hedging.tryHedge(
                    NewRequest->Record, Queue.now()))
              startAttempt(NewRequest);
          });
      });
}

auto TrafficSimulation::isUsable(Instance &Self, std::size_t TargetIndex,
                                 TimePoint Now) -> bool {
  if (Self.FirstDataCentreTakenOut && Targets[TargetIndex].DataCentre == 0)
    return false;
  if (Settings.RoutingPolicy.Eject &&
      Self.TargetEjector.ejected(Names[TargetIndex]))
    return false;
  TargetView &View = Self.TargetViews[TargetIndex];
  if (!Settings.RoutingPolicy.Ramp || !View.Ramp || !View.Ramp->cold(Now))
    return true;
  // The leader lends each unit of the allowance to one instance at a time, in
  // turns.
  const auto Turn =
      static_cast<std::size_t>(Now.time_since_epoch() / (10 * TickInterval));
  const std::size_t Position =
      static_cast<std::size_t>(&Self - Instances.data()) %
      Settings.InstancesPerDataCentre;
  const std::size_t Holder =
      (Position + Turn) % Settings.InstancesPerDataCentre;
  return Holder < View.Ramp->allowance(Now) && View.InFlight == 0;
}

auto TrafficSimulation::candidates(Instance &Self,
                                   std::optional<std::size_t> Excluded)
    -> std::vector<std::size_t> {
  std::vector<std::size_t> Local;
  std::vector<std::size_t> Remote;
  for (std::size_t TargetIndex = 0; TargetIndex < Targets.size(); ++TargetIndex)
    if (TargetIndex != Excluded && isUsable(Self, TargetIndex, Queue.now()))
      (Targets[TargetIndex].DataCentre == Self.DataCentre ? Local : Remote)
          .push_back(TargetIndex);
  return Local.empty() ? Remote : Local;
}

auto TrafficSimulation::startAttempt(const std::shared_ptr<Request> &Parent)
    -> void {
  Instance &Origin = Instances[Parent->Instance];
  std::optional<std::size_t> Excluded;
  if (!Parent->Attempts.empty())
    Excluded = Parent->Attempts.front()->Target;
  const std::vector<std::size_t> UsableTargets = candidates(Origin, Excluded);
  std::vector<TargetCandidate> Candidates;
  Candidates.reserve(UsableTargets.size());
  for (const std::size_t TargetIndex : UsableTargets)
    Candidates.push_back(
        {Origin.TargetViews[TargetIndex].InFlight,
         Origin.TargetViews[TargetIndex].Latency.average(Queue.now()),
         Targets[TargetIndex].ReportedLoad});
  const auto Choice = Origin.Chooser->choose(Candidates, Random);
  if (!Choice) {
    completeRequest(Parent, false);
    return;
  }
  auto NewAttempt = std::make_shared<SimulatedAttempt>();
  NewAttempt->Parent = Parent;
  NewAttempt->StateMachine = std::make_unique<Attempt>(Parent->Record);
  NewAttempt->Target = UsableTargets[*Choice];
  NewAttempt->StartedAt = Queue.now();
  Parent->Attempts.push_back(NewAttempt);
  Origin.RunningAttempts.push_back(NewAttempt);
  ++Origin.TargetViews[NewAttempt->Target].InFlight;
  Result.Attempts += Parent->Counted ? 1 : 0;
  NewAttempt->StateMachine->targetChosen();
  NewAttempt->StateMachine->writeStarted();
  NewAttempt->StateMachine->requestWritten();
  Queue.after(linkDelay(NewAttempt),
              [this, NewAttempt] { enqueue(NewAttempt); });
}

auto TrafficSimulation::linkDelay(const AttemptPtr &Current) const -> Duration {
  const bool Local = Targets[Current->Target].DataCentre ==
                     Instances[Current->Parent->Instance].DataCentre;
  return Local ? LocalLinkDelay : RemoteLinkDelay;
}

auto TrafficSimulation::enqueue(const AttemptPtr &Current) -> void {
  if (Settings.TakenOutAt && Targets[Current->Target].DataCentre == 0 &&
      Queue.now() > *Settings.TakenOutAt &&
      Queue.now() < Settings.BroughtBackAt)
    Result.StopTime = Queue.now() - *Settings.TakenOutAt;
  if (Queue.now() >= Settings.End - std::chrono::seconds(5)) {
    ++Result.FinalAttempts;
    Result.FinalAttemptsOnSlow +=
        Settings.SlowTarget == Current->Target ? 1 : 0;
  }
  Targets[Current->Target].Pending.push_back(Current);
  startPending(Current->Target);
}

auto TrafficSimulation::serviceTime(std::size_t TargetIndex) -> Duration {
  double Microseconds = BaseServiceMicroseconds -
                        std::log(1 - Random.unit()) * MeanExtraMicroseconds;
  if (Settings.SlowTarget == TargetIndex && Queue.now() >= Settings.SlowFrom &&
      Queue.now() < Settings.SlowUntil)
    Microseconds *= Settings.SlowFactor;
  const Target &State = Targets[TargetIndex];
  const Duration RampTime =
      State.ColdSince == TimePoint::min()
          ? ColdRampPeriod
          : std::min(Queue.now() - State.ColdSince, ColdRampPeriod);
  const auto Allowed =
      1 + static_cast<std::uint32_t>((SlotsPerTarget - 1) * RampTime /
                                     ColdRampPeriod);
  if (State.BusySlots > Allowed)
    Microseconds *= ColdOverloadFactor;
  return Duration(static_cast<std::int64_t>(Microseconds));
}

auto TrafficSimulation::startPending(std::size_t TargetIndex) -> void {
  Target &State = Targets[TargetIndex];
  while (State.BusySlots < SlotsPerTarget && !State.Pending.empty()) {
    const AttemptPtr Next = State.Pending.front();
    State.Pending.pop_front();
    // A cancelled attempt is removed from the queue and does not run.
    if (Next->StateMachine->phase() == AttemptPhase::Done)
      continue;
    ++State.BusySlots;
    Queue.after(serviceTime(TargetIndex), [this, Next, TargetIndex] {
      --Targets[TargetIndex].BusySlots;
      Queue.after(linkDelay(Next), [this, Next] { finish(Next); });
      startPending(TargetIndex);
    });
  }
}

auto TrafficSimulation::finish(const AttemptPtr &Current) -> void {
  if (Current->StateMachine->phase() == AttemptPhase::Done)
    return;
  const auto Head = Current->StateMachine->responseHead();
  Instance &Origin = Instances[Current->Parent->Instance];
  const Duration Latency = Queue.now() - Current->StartedAt;
  Origin.TargetViews[Current->Target].Latency.observe(Latency, Queue.now());
  Origin.ServiceLatency.observe(Latency, Queue.now());
  Origin.TargetEjector.recordSuccess(Names[Current->Target], Latency,
                                     Queue.now());
  if (Head.Action == AttemptAction::Forward)
    Current->StateMachine->responseEnd();
  removeRunning(Current);
  completeRequest(Current->Parent, Head.Action == AttemptAction::Forward);
}

auto TrafficSimulation::removeRunning(const AttemptPtr &Current) -> void {
  Instance &Origin = Instances[Current->Parent->Instance];
  --Origin.TargetViews[Current->Target].InFlight;
  std::erase(Origin.RunningAttempts, Current);
}

auto TrafficSimulation::completeRequest(const std::shared_ptr<Request> &Parent,
                                        bool Completed) -> void {
  if (Parent->Settled)
    return;
  Parent->Settled = true;
  const auto Unfinished = std::exchange(Parent->Attempts, {});
  for (const AttemptPtr &Each : Unfinished)
    if (Each->StateMachine->phase() != AttemptPhase::Done) {
      // The age of the abandoned attempt is a lower bound of its latency.
      const Duration Age = Queue.now() - Each->StartedAt;
      Instance &Origin = Instances[Parent->Instance];
      Origin.TargetViews[Each->Target].Latency.observeUnfinished(Age,
                                                                 Queue.now());
      Origin.TargetEjector.recordUnfinished(Names[Each->Target], Age);
      Each->StateMachine->superseded();
      removeRunning(Each);
    }
  if (!Parent->Counted)
    return;
  Result.Completed += Completed ? 1 : 0;
  if (Completed)
    Latencies.push_back(Queue.now() - Parent->StartedAt);
}

} // namespace buckthornring::measure
