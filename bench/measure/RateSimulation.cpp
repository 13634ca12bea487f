#include "RateSimulation.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace buckthornring::measure {

namespace {

constexpr Duration LinkDelay = std::chrono::microseconds(500);
constexpr Duration Tick = std::chrono::milliseconds(1);
constexpr Duration RequestDeadline = std::chrono::seconds(1);
// The deputy takes over in about 0.8 s (docs/design.md, 10).
constexpr Duration Takeover = std::chrono::milliseconds(800);
constexpr Duration LossWindow = std::chrono::seconds(5);

auto milli(double Value) -> MilliUnits {
  return static_cast<MilliUnits>(Value * OneUnit);
}

auto laneName(std::size_t Workspace, QueuePolicy Queueing) -> WorkspaceId {
  return WorkspaceId(Queueing == QueuePolicy::Fifo ? "all"
                                                   : std::to_string(Workspace));
}

} // namespace

RateWorld::RateWorld(Options NewSettings, std::uint64_t Seed)
    : Settings(std::move(NewSettings)), Random(Seed),
      Queue(TimePoint(Duration(0))), Result(Settings.Workspaces.size()) {
  const TimePoint Now = Queue.now();
  const auto Count = static_cast<double>(Settings.Instances);
  for (const Workspace &Each : Settings.Workspaces)
    Meters.push_back({TokenBucket(milli(Each.Rate), milli(Each.Burst),
                                  milli(Each.Burst), Now),
                      0, Now});
  startLedgers();
  for (std::size_t I = 0; I < Settings.Instances; ++I) {
    Node New;
    for (std::size_t W = 0; W < Settings.Workspaces.size(); ++W) {
      const Workspace &Each = Settings.Workspaces[W];
      ShareHolder Holder("i" + std::to_string(I), ShareKind::Rate, 1, Now);
      Holder.follow(Term);
      New.Gates.emplace_back(AdmissionGate::Options(), Holder);
      New.Parts.emplace_back(milli(Each.Rate / Count),
                             milli(Each.Burst / Count), 0, Now);
      const bool Fifo = Settings.Queueing == QueuePolicy::Fifo;
      New.Waiting.configure(laneName(W, Settings.Queueing),
                            {1, Fifo ? 512U : 64U});
    }
    Nodes.push_back(std::move(New));
  }
}

auto RateWorld::startLedgers() -> void {
  ++Term;
  Ledgers.clear();
  for (const Workspace &Each : Settings.Workspaces)
    Ledgers.push_back(std::make_unique<ShareLedger>(
        ShareLedger::Options(),
        ShareAmount{milli(Each.Rate), milli(Each.Burst)}, Term, Queue.now()));
}

auto RateWorld::run() -> std::vector<Tally> {
  for (std::size_t W = 0; W < Settings.Workspaces.size(); ++W)
    arrive(W);
  for (std::size_t I = 0; I < Settings.Instances; ++I)
    tick(I);
  if (Settings.LostInstance || Settings.LoseLeader)
    Queue.at(Settings.LossAt, [this] { lose(); });
  Queue.runUntil(Settings.End);
  return Result;
}

auto RateWorld::lose() -> void {
  if (Settings.LostInstance)
    Nodes[*Settings.LostInstance].Lost = true;
  if (!Settings.LoseLeader)
    return;
  LeaderDown = true;
  Queue.after(Takeover, [this] {
    LeaderDown = false;
    startLedgers();
    for (Node &Each : Nodes)
      for (AdmissionGate &Gate : Each.Gates)
        Gate.share().follow(Term);
  });
}

auto RateWorld::pickInstance() -> std::size_t {
  while (true) {
    const std::size_t Pick = Random.chance(Settings.FirstInstancePart)
                                 ? 0
                                 : 1 + Random.below(Settings.Instances - 1);
    if (!Nodes[Pick].Lost)
      return Pick;
  }
}

auto RateWorld::arrive(std::size_t Workspace) -> void {
  const double Rate = Settings.Workspaces[Workspace].Offered;
  const double Gap = -std::log(1 - Random.unit()) / Rate * 1e6;
  Queue.after(Duration(static_cast<std::int64_t>(Gap) + 1), [this, Workspace] {
    arrive(Workspace);
    const TimePoint Now = Queue.now();
    Request New;
    New.Instance = pickInstance();
    New.Workspace = Workspace;
    New.Deadline = Now + RequestDeadline;
    const bool Lossy = Settings.LostInstance || Settings.LoseLeader;
    New.Counted =
        Lossy ? Now >= Settings.LossAt && Now < Settings.LossAt + LossWindow
              : Now >= Settings.MeasureFrom;
    New.WithinRate = Meters[Workspace].Ideal.tryTake(OneUnit, Now);
    Tally &Sum = Result[Workspace];
    Sum.Offered += New.Counted ? 1 : 0;
    Sum.WithinRate += New.Counted && New.WithinRate ? 1 : 0;
    Open.emplace(++LastTicket, New);
    offer(LastTicket);
  });
}

auto RateWorld::offer(std::uint64_t Ticket) -> void {
  const Request &Of = Open.at(Ticket);
  Node &At = Nodes[Of.Instance];
  const TimePoint Now = Queue.now();
  if (Settings.Rates == RatePolicy::Unlimited) {
    admit(Ticket);
    return;
  }
  if (Settings.Rates == RatePolicy::StaticDivision) {
    if (At.Parts[Of.Workspace].tryTake(OneUnit, Now))
      admit(Ticket);
    else
      refuse(Ticket);
    return;
  }
  AdmissionGate &Gate = At.Gates[Of.Workspace];
  const auto Answer = Gate.offer(Ticket, Of.Deadline, Now);
  if (Answer == AdmissionGate::Answer::Admit)
    admit(Ticket);
  if (Answer == AdmissionGate::Answer::Refuse)
    refuse(Ticket);
}

auto RateWorld::refuse(std::uint64_t Ticket) -> void {
  const Request &Of = Open.at(Ticket);
  if (Of.Counted && Of.WithinRate)
    ++Result[Of.Workspace].Wrongful;
  Open.erase(Ticket);
}

auto RateWorld::admit(std::uint64_t Ticket) -> void {
  const Request &Of = Open.at(Ticket);
  const Workspace &Limits = Settings.Workspaces[Of.Workspace];
  Meter &Seen = Meters[Of.Workspace];
  const double Elapsed =
      std::chrono::duration<double>(Queue.now() - Seen.LevelAt).count();
  Seen.Level = std::max(Seen.Level - Limits.Rate * Elapsed, 0.0) + 1;
  Seen.LevelAt = Queue.now();
  double &Worst = Result[Of.Workspace].Overshoot;
  Worst = std::max(Worst, Seen.Level - Limits.Burst);
  if (!Nodes[Of.Instance].Waiting.push(
          laneName(Of.Workspace, Settings.Queueing), Ticket)) {
    refuse(Ticket);
    return;
  }
  serve();
}

auto RateWorld::serve() -> void {
  std::size_t Empty = 0;
  while (Busy < Settings.Slots && Empty < Nodes.size()) {
    Node &At = Nodes[NextNode++ % Nodes.size()];
    const auto Ticket = At.Waiting.pop();
    if (!Ticket) {
      ++Empty;
      continue;
    }
    Empty = 0;
    const Request Of = Open.at(*Ticket);
    if (Of.Deadline <= Queue.now()) {
      refuse(*Ticket);
      continue;
    }
    Open.erase(*Ticket);
    ++Busy;
    const double Mean = static_cast<double>(Settings.Service.count());
    const double Time = -std::log(1 - Random.unit()) * Mean;
    Queue.after(Duration(static_cast<std::int64_t>(Time) + 1), [this, Of] {
      --Busy;
      if (Of.Counted)
        ++Result[Of.Workspace].Served;
      serve();
    });
  }
}

auto RateWorld::tick(std::size_t Instance) -> void {
  if (Settings.Rates != RatePolicy::Escrow || Nodes[Instance].Lost)
    return;
  Queue.after(Tick, [this, Instance] { tick(Instance); });
  for (std::size_t W = 0; W < Settings.Workspaces.size(); ++W) {
    AdmissionGate &Gate = Nodes[Instance].Gates[W];
    if (Gate.waiting() > 0)
      progress(Instance, W);
    if (Gate.share().reportDue(Queue.now()))
      report(Instance, W);
  }
}

auto RateWorld::progress(std::size_t Instance, std::size_t Workspace) -> void {
  const auto Changes = Nodes[Instance].Gates[Workspace].advance(Queue.now());
  for (const std::uint64_t Ticket : Changes.Admitted)
    admit(Ticket);
  for (const std::uint64_t Ticket : Changes.Refused)
    refuse(Ticket);
}

auto RateWorld::report(std::size_t Instance, std::size_t Workspace) -> void {
  const ShareRequest Sent =
      Nodes[Instance].Gates[Workspace].share().makeRequest(Queue.now());
  Queue.after(LinkDelay, [this, Instance, Workspace, Sent] {
    if (LeaderDown)
      return;
    const auto Grant = Ledgers[Workspace]->handle(Sent, Queue.now());
    if (!Grant)
      return;
    Queue.after(LinkDelay, [this, Instance, Workspace, Grant = *Grant] {
      if (Nodes[Instance].Lost)
        return;
      Nodes[Instance].Gates[Workspace].share().apply(Grant, Queue.now());
      progress(Instance, Workspace);
    });
  });
}

} // namespace buckthornring::measure
