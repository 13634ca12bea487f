#include "RateSimulation.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace buckthornring::measure {

namespace {

constexpr Duration LinkDelay = std::chrono::microseconds(500);
constexpr Duration TickInterval = std::chrono::milliseconds(1);
constexpr Duration RequestTimeout = std::chrono::seconds(1);
// The deputy takes over in about 0.8 s (docs/design.md, 10).
constexpr Duration TakeoverDelay = std::chrono::milliseconds(800);
// Requests are counted for this long after the loss.
constexpr Duration LossMeasurementPeriod = std::chrono::seconds(5);

auto milliUnits(double Value) -> MilliUnits {
  return static_cast<MilliUnits>(Value * OneUnit);
}

auto queueKey(std::size_t WorkspaceIndex, QueuePolicy Queueing) -> WorkspaceId {
  return WorkspaceId(
      Queueing == QueuePolicy::Fifo ? "all" : std::to_string(WorkspaceIndex));
}

} // namespace

RateSimulation::RateSimulation(Options NewSettings, std::uint64_t Seed)
    : Settings(std::move(NewSettings)), Random(Seed),
      Queue(TimePoint(Duration(0))), Results(Settings.Workspaces.size()) {
  const TimePoint Now = Queue.now();
  const auto Count = static_cast<double>(Settings.Instances);
  for (const Workspace &Each : Settings.Workspaces)
    Meters.push_back({TokenBucket(milliUnits(Each.Rate), milliUnits(Each.Burst),
                                  milliUnits(Each.Burst), Now),
                      0, Now});
  startLedgers();
  for (std::size_t I = 0; I < Settings.Instances; ++I) {
    InstanceState State;
    for (std::size_t WorkspaceIndex = 0;
         WorkspaceIndex < Settings.Workspaces.size(); ++WorkspaceIndex) {
      const Workspace &Each = Settings.Workspaces[WorkspaceIndex];
      ShareHolder Holder("i" + std::to_string(I), ShareKind::Rate, 1, Now);
      Holder.follow(Term);
      State.Gates.emplace_back(AdmissionGate::Options(), Holder);
      State.LocalBuckets.emplace_back(milliUnits(Each.Rate / Count),
                                      milliUnits(Each.Burst / Count), 0, Now);
      const bool Fifo = Settings.Queueing == QueuePolicy::Fifo;
      State.Pending.configure(queueKey(WorkspaceIndex, Settings.Queueing),
                              {1, Fifo ? 512U : 64U});
    }
    InstanceStates.push_back(std::move(State));
  }
}

auto RateSimulation::startLedgers() -> void {
  ++Term;
  Ledgers.clear();
  for (const Workspace &Each : Settings.Workspaces)
    Ledgers.push_back(std::make_unique<ShareLedger>(
        ShareLedger::Options(),
        ShareAmount{milliUnits(Each.Rate), milliUnits(Each.Burst)}, Term,
        Queue.now()));
}

auto RateSimulation::run() -> std::vector<Statistics> {
  for (std::size_t WorkspaceIndex = 0;
       WorkspaceIndex < Settings.Workspaces.size(); ++WorkspaceIndex)
    scheduleArrival(WorkspaceIndex);
  for (std::size_t I = 0; I < Settings.Instances; ++I)
    tick(I);
  if (Settings.LostInstance || Settings.LoseLeader)
    Queue.at(Settings.LossAt, [this] { injectLoss(); });
  Queue.runUntil(Settings.End);
  return Results;
}

auto RateSimulation::injectLoss() -> void {
  if (Settings.LostInstance)
    InstanceStates[*Settings.LostInstance].Lost = true;
  if (!Settings.LoseLeader)
    return;
  LeaderDown = true;
  Queue.after(TakeoverDelay, [this] {
    LeaderDown = false;
    startLedgers();
    for (InstanceState &Each : InstanceStates)
      for (AdmissionGate &Gate : Each.Gates)
        Gate.share().follow(Term);
  });
}

auto RateSimulation::chooseInstance() -> std::size_t {
  while (true) {
    const std::size_t Chosen = Random.chance(Settings.FirstInstanceFraction)
                                   ? 0
                                   : 1 + Random.below(Settings.Instances - 1);
    if (!InstanceStates[Chosen].Lost)
      return Chosen;
  }
}

auto RateSimulation::scheduleArrival(std::size_t WorkspaceIndex) -> void {
  const double Rate = Settings.Workspaces[WorkspaceIndex].Offered;
  const double IntervalMicroseconds = -std::log(1 - Random.unit()) / Rate * 1e6;
  Queue.after(
      Duration(static_cast<std::int64_t>(IntervalMicroseconds) + 1),
      [this, WorkspaceIndex] {
        scheduleArrival(WorkspaceIndex);
        const TimePoint Now = Queue.now();
        Request Arriving;
        Arriving.InstanceIndex = chooseInstance();
        Arriving.WorkspaceIndex = WorkspaceIndex;
        Arriving.Deadline = Now + RequestTimeout;
        const bool LossInjected = Settings.LostInstance || Settings.LoseLeader;
        Arriving.Counted =
            LossInjected ? Now >= Settings.LossAt &&
                               Now < Settings.LossAt + LossMeasurementPeriod
                         : Now >= Settings.MeasureFrom;
        Arriving.WithinRate =
            Meters[WorkspaceIndex].IdealBucket.tryTake(OneUnit, Now);
        Statistics &Totals = Results[WorkspaceIndex];
        Totals.Offered += Arriving.Counted ? 1 : 0;
        Totals.WithinRate += Arriving.Counted && Arriving.WithinRate ? 1 : 0;
        OpenRequests.emplace(++LastTicket, Arriving);
        offer(LastTicket);
      });
}

auto RateSimulation::offer(std::uint64_t Ticket) -> void {
  const Request &Arriving = OpenRequests.at(Ticket);
  InstanceState &Instance = InstanceStates[Arriving.InstanceIndex];
  const TimePoint Now = Queue.now();
  if (Settings.RateLimiting == RatePolicy::Unlimited) {
    admit(Ticket);
    return;
  }
  if (Settings.RateLimiting == RatePolicy::StaticDivision) {
    if (Instance.LocalBuckets[Arriving.WorkspaceIndex].tryTake(OneUnit, Now))
      admit(Ticket);
    else
      refuse(Ticket);
    return;
  }
  AdmissionGate &Gate = Instance.Gates[Arriving.WorkspaceIndex];
  const auto Decision = Gate.offer(Ticket, Arriving.Deadline, Now);
  if (Decision == AdmissionGate::Answer::Admit)
    admit(Ticket);
  if (Decision == AdmissionGate::Answer::Refuse)
    refuse(Ticket);
}

auto RateSimulation::refuse(std::uint64_t Ticket) -> void {
  const Request &Refused = OpenRequests.at(Ticket);
  if (Refused.Counted && Refused.WithinRate)
    ++Results[Refused.WorkspaceIndex].Wrongful;
  OpenRequests.erase(Ticket);
}

auto RateSimulation::admit(std::uint64_t Ticket) -> void {
  const Request &Admitted = OpenRequests.at(Ticket);
  const Workspace &Limits = Settings.Workspaces[Admitted.WorkspaceIndex];
  Meter &RateMeter = Meters[Admitted.WorkspaceIndex];
  const double Elapsed =
      std::chrono::duration<double>(Queue.now() - RateMeter.LevelUpdatedAt)
          .count();
  RateMeter.Level = std::max(RateMeter.Level - Limits.Rate * Elapsed, 0.0) + 1;
  RateMeter.LevelUpdatedAt = Queue.now();
  double &Worst = Results[Admitted.WorkspaceIndex].Overshoot;
  Worst = std::max(Worst, RateMeter.Level - Limits.Burst);
  if (!InstanceStates[Admitted.InstanceIndex].Pending.push(
          queueKey(Admitted.WorkspaceIndex, Settings.Queueing), Ticket)) {
    refuse(Ticket);
    return;
  }
  serve();
}

auto RateSimulation::serve() -> void {
  std::size_t EmptyQueues = 0;
  while (BusySlots < Settings.Slots && EmptyQueues < InstanceStates.size()) {
    InstanceState &Instance =
        InstanceStates[NextInstance++ % InstanceStates.size()];
    const auto Ticket = Instance.Pending.pop();
    if (!Ticket) {
      ++EmptyQueues;
      continue;
    }
    EmptyQueues = 0;
    const Request Next = OpenRequests.at(*Ticket);
    if (Next.Deadline <= Queue.now()) {
      refuse(*Ticket);
      continue;
    }
    OpenRequests.erase(*Ticket);
    ++BusySlots;
    const double MeanMicroseconds =
        static_cast<double>(Settings.ServiceTime.count());
    const double ServiceMicroseconds =
        -std::log(1 - Random.unit()) * MeanMicroseconds;
    Queue.after(Duration(static_cast<std::int64_t>(ServiceMicroseconds) + 1),
                [this, Next] {
                  --BusySlots;
                  if (Next.Counted)
                    ++Results[Next.WorkspaceIndex].Served;
                  serve();
                });
  }
}

auto RateSimulation::tick(std::size_t InstanceIndex) -> void {
  if (Settings.RateLimiting != RatePolicy::Escrow ||
      InstanceStates[InstanceIndex].Lost)
    return;
  Queue.after(TickInterval, [this, InstanceIndex] { tick(InstanceIndex); });
  for (std::size_t WorkspaceIndex = 0;
       WorkspaceIndex < Settings.Workspaces.size(); ++WorkspaceIndex) {
    AdmissionGate &Gate = InstanceStates[InstanceIndex].Gates[WorkspaceIndex];
    if (Gate.waiting() > 0)
      advanceGate(InstanceIndex, WorkspaceIndex);
    if (Gate.share().reportDue(Queue.now()))
      requestShare(InstanceIndex, WorkspaceIndex);
  }
}

auto RateSimulation::advanceGate(std::size_t InstanceIndex,
                                 std::size_t WorkspaceIndex) -> void {
  const auto Changes =
      InstanceStates[InstanceIndex].Gates[WorkspaceIndex].advance(Queue.now());
  for (const std::uint64_t Ticket : Changes.Admitted)
    admit(Ticket);
  for (const std::uint64_t Ticket : Changes.Refused)
    refuse(Ticket);
}

auto RateSimulation::requestShare(std::size_t InstanceIndex,
                                  std::size_t WorkspaceIndex) -> void {
  const ShareRequest Request =
      InstanceStates[InstanceIndex].Gates[WorkspaceIndex].share().makeRequest(
          Queue.now());
  Queue.after(LinkDelay, [this, InstanceIndex, WorkspaceIndex, Request] {
    if (LeaderDown)
      return;
    const auto Grant = Ledgers[WorkspaceIndex]->handle(Request, Queue.now());
    if (!Grant)
      return;
    Queue.after(
        LinkDelay, [this, InstanceIndex, WorkspaceIndex, Grant = *Grant] {
          if (InstanceStates[InstanceIndex].Lost)
            return;
          InstanceStates[InstanceIndex].Gates[WorkspaceIndex].share().apply(
              Grant, Queue.now());
          advanceGate(InstanceIndex, WorkspaceIndex);
        });
  });
}

} // namespace buckthornring::measure
