#include "HedgeSimulation.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace buckthornring::measure {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t TargetCount = 24;
constexpr std::size_t InstanceCount = 9; // About 20 requests/s each.
constexpr std::uint32_t SlotCount = 2;
constexpr std::size_t QueueLimit = 8;
constexpr Duration MeanWork = milliseconds(94);
constexpr Duration Period = milliseconds(400);
constexpr Duration Transit = std::chrono::microseconds(500);
constexpr Duration TargetLatency = milliseconds(400);
constexpr Duration Deadline = milliseconds(1200);
constexpr Duration WaitLimit = TargetLatency / 8;
constexpr std::uint32_t MaxAttempts = 2;
constexpr double HeavyShare = 0.03;
constexpr double HeavyFactor = 7;
/// Of every 25 periods (10 s), frozen targets stand still from the 8th on.
constexpr std::int64_t FreezeCycle = 25;
constexpr std::int64_t FreezeFrom = 8;
constexpr std::int64_t FreezeUntil = 13;

const ServiceId Service("reads");

auto scaled(Duration Time, double Factor) -> Duration {
  return Duration(std::llround(static_cast<double>(Time.count()) * Factor));
}

auto periodOf(TimePoint Time) -> std::int64_t {
  return Time.time_since_epoch() / Period;
}

} // namespace

auto HedgeSimulation::Statistics::quantile(double Q) -> Duration {
  if (Times.empty())
    return Duration(0);
  const auto Rank =
      static_cast<std::ptrdiff_t>(Q * static_cast<double>(Times.size() - 1));
  std::nth_element(Times.begin(), Times.begin() + Rank, Times.end());
  return Times[static_cast<std::size_t>(Rank)];
}

HedgeSimulation::HedgeSimulation(const Options &Settings, std::uint64_t Seed)
    : Settings(Settings), Seed(Seed), Random(Seed), Servers(TargetCount) {
  for (std::size_t Index = 0; Index < TargetCount; ++Index)
    Servers[Index].Factor =
        0.5 + static_cast<double>(Index) / (TargetCount - 1);
  for (std::size_t Each = 0; Each < InstanceCount; ++Each) {
    Instance Added;
    Added.Table = std::make_unique<TargetTable>(
        TargetTable::Settings{InstanceId("i" + std::to_string(Each)),
                              DataCentreId("a")},
        Seed * 100 + Each);
    Added.Table->setFleetSize({InstanceCount, InstanceCount}, Events.now());
    Added.Retries =
        std::make_unique<RetryAllowance>(RetryLimit{.Slack = 170}, LongAgo);
    Added.Planner.setLimits(Settings.Limits);
    for (std::size_t Index = 0; Index < TargetCount; ++Index) {
      TargetRecord Record;
      Record.Id = TargetId(std::to_string(Index));
      Record.Service = Service;
      Record.DataCentre = DataCentreId("a");
      Record.Slots = SlotCount;
      Added.Table->apply(Record, Events.now());
    }
    Instances.push_back(std::move(Added));
  }
}

auto HedgeSimulation::run() -> Statistics {
  Events.after(Duration(0), [this] { arrive(); });
  Events.runUntil(Events.now() + Settings.Length + Deadline);
  return std::move(Result);
}

auto HedgeSimulation::arrive() -> void {
  const double Gap = -std::log(1 - Random.unit()) / Settings.RequestsPerSecond;
  const Duration Next = Duration(std::llround(Gap * 1e6));
  if (Events.now() + Next <
      TimePoint(std::chrono::seconds(100)) + Settings.Length)
    Events.after(Next, [this] { arrive(); });
  auto Current = std::make_shared<Request>();
  Current->Instance = Random.below(InstanceCount);
  Current->ArrivedAt = Events.now();
  Current->Work = drawWork();
  ++Result.Requests;
  Instance &Own = Instances[Current->Instance];
  Own.Retries->requestSeen(Events.now());
  Own.Planner.requestSeen(Service);
  Events.after(Deadline, [this, Current] {
    if (!Current->Done)
      finish(Current, Current->Active.empty(), false);
  });
  trySend(Current);
}

auto HedgeSimulation::drawWork() -> Duration {
  const double Usual =
      Settings.WorkTail ? (1 - HeavyShare * HeavyFactor) / (1 - HeavyShare) : 1;
  if (Settings.WorkTail && Random.chance(HeavyShare))
    return scaled(MeanWork, HeavyFactor);
  return scaled(MeanWork, Usual * (0.5 + Random.unit()));
}

auto HedgeSimulation::select(const Request &Current) -> TargetSelection {
  return Instances[Current.Instance].Table->select(
      {Service, true, TargetLatency, Current.Tried}, Events.now());
}

auto HedgeSimulation::trySend(const RequestPtr &Current) -> void {
  if (Current->Done)
    return;
  Instance &Own = Instances[Current->Instance];
  if (std::exchange(Current->Waiting, false))
    --Own.Waiting;
  const TargetSelection Selected = select(*Current);
  if (Selected.Target)
    return send(Current, Selected.Target, false);
  if (Events.now() - Current->ArrivedAt >= WaitLimit) {
    Current->Done = true; // Refused.
    return;
  }
  Current->Waiting = true;
  ++Own.Waiting;
  Events.after(milliseconds(10), [this, Current] { trySend(Current); });
}

auto HedgeSimulation::send(const RequestPtr &Current, const TargetPtr &To,
                           bool Hedge) -> void {
  auto Sent = std::make_shared<Attempt>();
  Sent->Parent = Current;
  Sent->Chosen = To;
  Sent->Server = std::stoul(To->Record.Id.str());
  Sent->QueueAtSend = To->Load.queue(Events.now());
  Sent->SentAt = Events.now();
  Sent->Hedge = Hedge;
  To->Load.sent();
  Current->Active.push_back(Sent);
  Current->Tried.push_back(To->Record.Id);
  ++Current->Sends;
  if (!Hedge)
    armHedge(Current, *Sent);
  Events.after(Transit, [this, Sent] { reach(Sent); });
}

auto HedgeSimulation::hedgeRequest(const Request &Current) const
    -> HedgeRequest {
  return {"/",   Service,
          true,  Current.Sends < MaxAttempts,
          false, Current.ArrivedAt + Deadline};
}

auto HedgeSimulation::armHedge(const RequestPtr &Current, const Attempt &First)
    -> void {
  Instance &Own = Instances[Current->Instance];
  if (Settings.HedgeRule == Rule::Off || Current->Sends >= MaxAttempts)
    return;
  if (Settings.HedgeRule != Rule::Planned) {
    const auto Expected =
        scaled(Own.Table->expectedTime(*First.Chosen, Events.now()), 1.5);
    Current->HedgeDelay = std::clamp(Expected, scaled(TargetLatency, 0.3),
                                     scaled(TargetLatency, 0.6));
  } else {
    const auto Delay = Own.Planner.delay(hedgeRequest(*Current), Events.now());
    if (!Delay)
      return;
    Current->HedgeDelay = *Delay;
  }
  Events.after(Current->HedgeDelay, [this, Current] {
    if (!Current->Done && Current->Active.size() == 1)
      sendHedge(Current);
  });
}

auto HedgeSimulation::sendHedge(const RequestPtr &Current) -> void {
  Instance &Own = Instances[Current->Instance];
  const TimePoint Now = Events.now();
  const TargetSelection Selected = select(*Current);
  HedgeTarget Other;
  if (Selected.Target)
    Other = {true, Selected.Target->Load.queue(Now), SlotCount,
             Selected.Expected, Own.Waiting > 0};
  const bool Former = Selected.Target && Current->Sends < MaxAttempts &&
                      Other.Queue < SlotCount &&
                      Now + Selected.Expected <= Current->ArrivedAt + Deadline;
  if (Settings.HedgeRule == Rule::Former
          ? !Former || !Own.Retries->tryTakeOptional(Now)
          : Own.Planner.decide(hedgeRequest(*Current), Other, *Own.Retries,
                               Now) != HedgeVerdict::Sent)
    return;
  ++Result.Hedges;
  Current->HedgeSentAt = Now;
  Current->HedgeExpected = Selected.Expected;
  send(Current, Selected.Target, true);
}

auto HedgeSimulation::giveUp(const AttemptPtr &Lost) -> void {
  Lost->GivenUp = true;
  const Duration Elapsed = Events.now() - Lost->SentAt;
  const Request &Parent = *Lost->Parent;
  Lost->Chosen->Load.abandoned(Elapsed, Lost->QueueAtSend, SlotCount);
  if (!Lost->Hedge && Parent.HedgeDelay > Duration(0) &&
      Elapsed >= Parent.HedgeDelay)
    Instances[Parent.Instance].Planner.attemptEnded(hedgeRequest(Parent),
                                                    Elapsed, Events.now());
  if (Settings.Cancellation)
    Events.after(Transit, [this, Lost] {
      if (!Lost->Ended)
        complete(Lost);
    });
}

auto HedgeSimulation::finish(const RequestPtr &Current, bool Answered,
                             bool ByHedge) -> void {
  Current->Done = true;
  Result.Answered += Answered ? 1 : 0;
  Result.Times.push_back(Events.now() - Current->ArrivedAt);
  if (Current->HedgeSentAt != LongAgo)
    Instances[Current->Instance].Planner.hedgeEnded(
        Service, Current->HedgeExpected, Events.now() - Current->HedgeSentAt,
        ByHedge);
  for (const AttemptPtr &Each : std::exchange(Current->Active, {}))
    giveUp(Each);
}

auto HedgeSimulation::slowness(std::size_t Index, std::int64_t At) const
    -> double {
  if (Index < Settings.FrozenTargets && At % FreezeCycle >= FreezeFrom &&
      At % FreezeCycle < FreezeUntil)
    return 0;
  const bool Slow = Index >= TargetCount / 2 &&
                    Index < TargetCount / 2 + Settings.SlowTargets;
  RandomSource Draw(Seed * 1'000'003 + Index * 100'003 +
                    static_cast<std::uint64_t>(At));
  return Servers[Index].Factor * (Slow ? 5 : 1) * (Draw.chance(0.2) ? 3 : 1);
}

auto HedgeSimulation::endTime(std::size_t Index, Duration Work) const
    -> TimePoint {
  TimePoint Time = Events.now();
  double Left = static_cast<double>(Work.count());
  while (true) {
    const std::int64_t At = periodOf(Time);
    const TimePoint PeriodEnd{(At + 1) * Period};
    const double Slow = slowness(Index, At);
    const auto Rest = static_cast<double>((PeriodEnd - Time).count());
    if (Slow > 0 && Left * Slow <= Rest)
      return Time + Duration(std::llround(Left * Slow));
    Left -= Slow > 0 ? Rest / Slow : 0;
    Time = PeriodEnd;
  }
}

auto HedgeSimulation::reach(const AttemptPtr &Arrived) -> void {
  Server &At = Servers[Arrived->Server];
  if (Arrived->GivenUp && Settings.Cancellation)
    return;
  if (At.Running >= SlotCount && At.Queue.size() >= QueueLimit) {
    Arrived->Ended = true;
    Events.after(Transit, [this, Arrived] {
      if (Arrived->GivenUp)
        return;
      const RequestPtr Current = Arrived->Parent;
      Arrived->Chosen->Load.ended(std::nullopt, 0, SlotCount);
      std::erase(Current->Active, Arrived);
      --Current->Sends;
      if (!Current->Active.empty())
        return;
      if (Instances[Current->Instance].Retries->tryTake(InstanceCount,
                                                        Events.now()))
        trySend(Current);
      else
        Current->Done = true;
    });
    return;
  }
  At.Queue.push_back(Arrived);
  startNext(Arrived->Server);
}

auto HedgeSimulation::startNext(std::size_t Index) -> void {
  Server &At = Servers[Index];
  while (At.Running < SlotCount && !At.Queue.empty()) {
    const AttemptPtr Next = At.Queue.front();
    At.Queue.pop_front();
    ++At.Running;
    Next->StartedAt = Events.now();
    const bool Fresh = Next->Hedge && Settings.DrawsAnew;
    const Duration Work = Fresh ? drawWork() : Next->Parent->Work;
    Events.at(endTime(Index, Work), [this, Next] {
      if (!Next->Ended)
        complete(Next);
    });
  }
}

auto HedgeSimulation::complete(const AttemptPtr &Current) -> void {
  Server &At = Servers[Current->Server];
  Current->Ended = true;
  if (Current->StartedAt == LongAgo) {
    std::erase(At.Queue, Current);
    return;
  }
  --At.Running;
  (Current->Hedge ? Result.ExtraTime : Result.TargetTime) +=
      Events.now() - Current->StartedAt;
  startNext(Current->Server);
  if (Random.chance(Settings.LostAnswers))
    return;
  LoadReport Load;
  Load.Running = At.Running;
  Load.Waiting = static_cast<std::uint32_t>(At.Queue.size());
  Load.Slots = SlotCount;
  const double Slow = slowness(Current->Server, periodOf(Events.now()));
  Load.Slowness = Slow / At.Factor;
  Events.after(Transit, [this, Current, Load] { answered(Current, Load); });
}

auto HedgeSimulation::answered(const AttemptPtr &Current,
                               const LoadReport &Load) -> void {
  if (Current->GivenUp)
    return;
  const Duration Time = Events.now() - Current->SentAt;
  Instance &Own = Instances[Current->Parent->Instance];
  Current->Chosen->Load.ended(Time, Current->QueueAtSend, SlotCount);
  Current->Chosen->Load.reported(Load, Events.now());
  Own.Table->answered(*Current->Chosen, Time);
  std::erase(Current->Parent->Active, Current);
  if (!Current->Hedge)
    Own.Planner.attemptEnded(hedgeRequest(*Current->Parent), Time,
                             Events.now());
  finish(Current->Parent, true, Current->Hedge);
}

} // namespace buckthornring::measure
