#include "TrafficSimulation.h"

#include <algorithm>
#include <cmath>

namespace buckthornring::measure {

namespace {

constexpr std::uint32_t Slots = 4;
constexpr Duration ReportInterval = std::chrono::milliseconds(200);
constexpr Duration ReportLag = std::chrono::seconds(1);
constexpr Duration Tick = std::chrono::milliseconds(20);
constexpr Duration RequestDeadline = std::chrono::seconds(5);
constexpr Duration LocalLink = std::chrono::microseconds(250);
constexpr Duration RemoteLink = std::chrono::microseconds(1250);
// A change reaches the instances with the next heartbeats of watch and tree.
constexpr Duration ChangeDelay = std::chrono::milliseconds(500);
constexpr double BaseMicros = 2000;
constexpr double ExtraMicros = 3000;
constexpr Duration ColdRamp = std::chrono::seconds(10);
// A cold target above its allowance collapses: each request takes this much
// longer.
constexpr double ColdPenalty = 10;

} // namespace

TrafficWorld::TrafficWorld(Options NewSettings, std::uint64_t Seed)
    : Settings(NewSettings), Random(Seed), Queue(TimePoint(Duration(0))),
      Targets(Settings.DataCentres * Settings.TargetsEach),
      Instances(Settings.DataCentres * Settings.InstancesEach) {
  for (std::size_t T = 0; T < Targets.size(); ++T) {
    Targets[T].DataCentre = T / Settings.TargetsEach;
    Names.emplace_back("t" + std::to_string(T));
  }
  for (std::size_t I = 0; I < Instances.size(); ++I) {
    Instances[I].DataCentre = I / Settings.InstancesEach;
    Instances[I].Views.resize(Targets.size());
    Instances[I].Chooser = TargetChooser::make(Settings.Rules.Chooser);
    Instances[I].Guard.setTargets(Names);
  }
}

TrafficWorld::~TrafficWorld() {
  // Requests and their attempts refer to each other.
  for (Instance &Each : Instances)
    for (const TryPtr &Running : Each.Running)
      Running->For->Tries.clear();
}

auto TrafficWorld::run() -> Tally {
  arrive();
  reportLoads();
  for (std::size_t I = 0; I < Instances.size(); ++I)
    tick(I);
  if (Settings.TakenOutAt) {
    Queue.at(*Settings.TakenOutAt, [this] { applyTakeOut(true); });
    Queue.at(Settings.BroughtBackAt, [this] { applyTakeOut(false); });
  }
  Queue.runUntil(Settings.End);
  Result.Lost = Result.Requests - Result.Answered;
  std::sort(Latencies.begin(), Latencies.end());
  if (!Latencies.empty()) {
    Result.P50 = Latencies[Latencies.size() / 2];
    Result.P99 = Latencies[Latencies.size() * 99 / 100];
  }
  return Result;
}

auto TrafficWorld::applyTakeOut(bool Out) -> void {
  for (Target &Each : Targets)
    if (!Out && Each.DataCentre == 0)
      Each.ColdSince = Queue.now();
  for (Instance &Each : Instances) {
    const auto Delay = Duration(static_cast<std::int64_t>(
        Random.below(static_cast<std::uint64_t>(ChangeDelay.count()))));
    Queue.after(Delay, [this, &Each, Out] {
      Each.FirstTakenOut = Out;
      for (std::size_t T = 0; T < Settings.TargetsEach && !Out; ++T) {
        // The part of the allowance that this instance holds.
        ColdStartRamp::Options Ramp;
        Each.Views[T].Ramp.emplace(Ramp, Queue.now());
      }
    });
  }
}

auto TrafficWorld::reportLoads() -> void {
  for (std::size_t T = 0; T < Targets.size(); ++T) {
    const double Load = static_cast<double>(Targets[T].Busy) / Slots;
    Queue.after(ReportLag, [this, T, Load] { Targets[T].Reported = Load; });
  }
  Queue.after(ReportInterval, [this] { reportLoads(); });
}

auto TrafficWorld::tick(std::size_t Index) -> void {
  Queue.after(Tick, [this, Index] { tick(Index); });
  Instance &At = Instances[Index];
  for (const TryPtr &Each : At.Running) {
    const Duration Age = Queue.now() - Each->Begun;
    At.Views[Each->Target].Latency.observeUnfinished(Age, Queue.now());
    At.Guard.recordUnfinished(Names[Each->Target], Age);
  }
  if (!Settings.Rules.Eject)
    return;
  for (const TargetId &Back : At.Guard.evaluate(Queue.now())) {
    const auto T = static_cast<std::size_t>(
        std::find(Names.begin(), Names.end(), Back) - Names.begin());
    At.Views[T].Ramp.emplace(ColdStartRamp::Options(), Queue.now());
  }
}

auto TrafficWorld::arrive() -> void {
  const double Gap =
      -std::log(1 - Random.unit()) / Settings.RequestsPerSecond * 1e6;
  Queue.after(Duration(static_cast<std::int64_t>(Gap) + 1), [this] {
    arrive();
    auto New = std::make_shared<Request>(Random.chance(0.7));
    New->Instance = Random.below(Instances.size());
    New->Begun = Queue.now();
    New->Counted = Queue.now() >= Settings.MeasureFrom &&
                   Queue.now() < Settings.End - RequestDeadline / 5;
    Result.Requests += New->Counted ? 1 : 0;
    Instance &At = Instances[New->Instance];
    At.Hedging.recordRequest(Queue.now());
    start(New);
    if (!Settings.Rules.Hedge)
      return;
    if (const auto Delay =
            At.Hedging.delay(New->Record, At.Service.latencyP95()))
      Queue.after(*Delay, [this, New] {
        if (Instances[New->Instance].Hedging.tryHedge(New->Record, Queue.now()))
          start(New);
      });
  });
}

auto TrafficWorld::usable(Instance &At, std::size_t T, TimePoint Now) -> bool {
  if (At.FirstTakenOut && Targets[T].DataCentre == 0)
    return false;
  if (Settings.Rules.Eject && At.Guard.ejected(Names[T]))
    return false;
  View &Seen = At.Views[T];
  if (!Settings.Rules.Ramp || !Seen.Ramp || !Seen.Ramp->cold(Now))
    return true;
  // The leader lends one unit of the allowance at a time, in turns.
  const auto Turn =
      static_cast<std::size_t>(Now.time_since_epoch() / (10 * Tick));
  const std::size_t Own =
      static_cast<std::size_t>(&At - Instances.data()) % Settings.InstancesEach;
  const std::size_t Holder = (Own + Turn) % Settings.InstancesEach;
  return Holder < Seen.Ramp->allowance(Now) && Seen.InFlight == 0;
}

auto TrafficWorld::candidates(Instance &At, std::optional<std::size_t> Except)
    -> std::vector<std::size_t> {
  std::vector<std::size_t> Local;
  std::vector<std::size_t> Remote;
  for (std::size_t T = 0; T < Targets.size(); ++T)
    if (T != Except && usable(At, T, Queue.now()))
      (Targets[T].DataCentre == At.DataCentre ? Local : Remote).push_back(T);
  return Local.empty() ? Remote : Local;
}

auto TrafficWorld::start(const std::shared_ptr<Request> &Of) -> void {
  Instance &At = Instances[Of->Instance];
  std::optional<std::size_t> Except;
  if (!Of->Tries.empty())
    Except = Of->Tries.front()->Target;
  const std::vector<std::size_t> Usable = candidates(At, Except);
  std::vector<TargetCandidate> Seen;
  Seen.reserve(Usable.size());
  for (const std::size_t T : Usable)
    Seen.push_back({At.Views[T].InFlight,
                    At.Views[T].Latency.average(Queue.now()),
                    Targets[T].Reported});
  const auto Choice = At.Chooser->choose(Seen, Random);
  if (!Choice) {
    settle(Of, false);
    return;
  }
  auto New = std::make_shared<Try>();
  New->For = Of;
  New->Phase = std::make_unique<Attempt>(Of->Record);
  New->Target = Usable[*Choice];
  New->Begun = Queue.now();
  Of->Tries.push_back(New);
  At.Running.push_back(New);
  ++At.Views[New->Target].InFlight;
  Result.Attempts += Of->Counted ? 1 : 0;
  New->Phase->targetChosen();
  New->Phase->writeStarted();
  New->Phase->requestWritten();
  Queue.after(linkDelay(New), [this, New] { enqueue(New); });
}

auto TrafficWorld::linkDelay(const TryPtr &Of) const -> Duration {
  const bool Local =
      Targets[Of->Target].DataCentre == Instances[Of->For->Instance].DataCentre;
  return Local ? LocalLink : RemoteLink;
}

auto TrafficWorld::enqueue(const TryPtr &Of) -> void {
  if (Settings.TakenOutAt && Targets[Of->Target].DataCentre == 0 &&
      Queue.now() > *Settings.TakenOutAt &&
      Queue.now() < Settings.BroughtBackAt)
    Result.StopTime = Queue.now() - *Settings.TakenOutAt;
  if (Queue.now() >= Settings.End - std::chrono::seconds(5)) {
    ++Result.LastOnAll;
    Result.LastOnSlow += Settings.SlowTarget == Of->Target ? 1 : 0;
  }
  Targets[Of->Target].Waiting.push_back(Of);
  work(Of->Target);
}

auto TrafficWorld::serviceTime(std::size_t T) -> Duration {
  double Micros = BaseMicros - std::log(1 - Random.unit()) * ExtraMicros;
  if (Settings.SlowTarget == T && Queue.now() >= Settings.SlowFrom &&
      Queue.now() < Settings.SlowUntil)
    Micros *= Settings.SlowFactor;
  const Target &Of = Targets[T];
  const Duration Up = Of.ColdSince == TimePoint::min()
                          ? ColdRamp
                          : std::min(Queue.now() - Of.ColdSince, ColdRamp);
  const auto Allowed =
      1 + static_cast<std::uint32_t>((Slots - 1) * Up / ColdRamp);
  if (Of.Busy > Allowed)
    Micros *= ColdPenalty;
  return Duration(static_cast<std::int64_t>(Micros));
}

auto TrafficWorld::work(std::size_t T) -> void {
  Target &Of = Targets[T];
  while (Of.Busy < Slots && !Of.Waiting.empty()) {
    const TryPtr Next = Of.Waiting.front();
    Of.Waiting.pop_front();
    // Cancelled work is withdrawn before it runs.
    if (Next->Phase->phase() == AttemptPhase::Done)
      continue;
    ++Of.Busy;
    Queue.after(serviceTime(T), [this, Next, T] {
      --Targets[T].Busy;
      Queue.after(linkDelay(Next), [this, Next] { finish(Next); });
      work(T);
    });
  }
}

auto TrafficWorld::finish(const TryPtr &Of) -> void {
  if (Of->Phase->phase() == AttemptPhase::Done)
    return;
  const auto Head = Of->Phase->responseHead();
  Instance &At = Instances[Of->For->Instance];
  const Duration Latency = Queue.now() - Of->Begun;
  At.Views[Of->Target].Latency.observe(Latency, Queue.now());
  At.Service.observe(Latency, Queue.now());
  At.Guard.recordSuccess(Names[Of->Target], Latency, Queue.now());
  if (Head.Action == AttemptAction::Forward)
    Of->Phase->responseEnd();
  leave(Of);
  settle(Of->For, Head.Action == AttemptAction::Forward);
}

auto TrafficWorld::leave(const TryPtr &Of) -> void {
  Instance &At = Instances[Of->For->Instance];
  --At.Views[Of->Target].InFlight;
  std::erase(At.Running, Of);
}

auto TrafficWorld::settle(const std::shared_ptr<Request> &Of, bool Answered)
    -> void {
  if (Of->Settled)
    return;
  Of->Settled = true;
  const auto Others = std::exchange(Of->Tries, {});
  for (const TryPtr &Each : Others)
    if (Each->Phase->phase() != AttemptPhase::Done) {
      // The time that the abandoned attempt took so far is an observation.
      const Duration Age = Queue.now() - Each->Begun;
      Instance &At = Instances[Of->Instance];
      At.Views[Each->Target].Latency.observeUnfinished(Age, Queue.now());
      At.Guard.recordUnfinished(Names[Each->Target], Age);
      Each->Phase->superseded();
      leave(Each);
    }
  if (!Of->Counted)
    return;
  Result.Answered += Answered ? 1 : 0;
  if (Answered)
    Latencies.push_back(Queue.now() - Of->Begun);
}

} // namespace buckthornring::measure
