#include "OverloadSimulation.h"

#include <algorithm>

namespace buckthornring::measure {

namespace {

constexpr std::size_t DataCentres = OverloadScenario::DataCentres;

/// One-way delay between instances and owners, and between instances.
constexpr Duration NetworkDelay = std::chrono::microseconds(500);
/// Time from a refusal until the next try of a caller arrives.
constexpr Duration CallerRoundTrip = std::chrono::milliseconds(16);

// As in RequestFlow, RequestSelection, Gateway and FleetMember.
constexpr int OwnerWaitDivisor = 2;
constexpr int WaitDivisor = 8;
constexpr Duration MinWaitLimit = std::chrono::milliseconds(30);
constexpr std::uint32_t MaxAttempts = 3;
constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);
constexpr Duration SilenceTimeout = std::chrono::milliseconds(1000);
constexpr std::uint32_t MaxRejections = 4;
constexpr std::uint32_t MaxRejectionsForRoom = 2;
constexpr int OutlookMargin = 2;
constexpr Duration OwnerRetryDelay = std::chrono::milliseconds(120);
constexpr Duration DispatchRetryInterval = std::chrono::milliseconds(25);
constexpr Duration LoadNoticeInterval = std::chrono::milliseconds(40);
constexpr std::size_t LoadNoticeNeighbours = 2;
constexpr double LoadNoticeContactShare = 0.5;

/// Slack of the retry limit of order entry.
constexpr double RetrySlack = 170;

/// A caller waits for Retry-After up to this part of the time that it has left.
constexpr int WaitedShareDivisor = 3;
constexpr std::uint32_t PatientRetries = 1;
constexpr std::uint32_t ImpatientRetries = 5;

const ServiceId Service("reads");

/// Time from a change of a target until the instances read its new record.
constexpr Duration DirectoryDelay = std::chrono::milliseconds(300);

auto targetId(std::size_t Index) -> TargetId {
  return TargetId("owner-" + std::to_string(Index));
}

auto dataCentre(std::size_t Index) -> DataCentreId {
  return DataCentreId("dc" + std::to_string(Index % DataCentres));
}

} // namespace

OverloadSimulation::OverloadSimulation(const OverloadScenario &Scenario,
                                       OwnerAdmission Policy,
                                       std::uint32_t InstanceCount,
                                       std::uint64_t Seed)
    : Scenario(Scenario), Policy(Policy), Random(Seed),
      Instances(InstanceCount), Targets(Scenario.targetCount()) {
  for (std::size_t Index = 0; Index < Targets.size(); ++Index)
    TargetIndexes[targetId(Index)] = Index;
  for (std::size_t Index = 0; Index < InstanceCount; ++Index)
    startInstance(Index);
}

auto OverloadSimulation::startInstance(std::size_t Index) -> void {
  RetryLimit Limit;
  Limit.Slack = RetrySlack;
  TargetTable::Settings Settings;
  Settings.Instance = InstanceId("instance-" + std::to_string(Index));
  Settings.DataCentre = dataCentre(Index);
  Settings.Admission = Policy;
  Instance &Added = Instances[Index];
  Added = Instance();
  Added.Table = std::make_unique<TargetTable>(Settings, Random.next());
  Added.Table->setFleetSize({static_cast<std::uint32_t>(Instances.size()),
                             static_cast<std::uint32_t>(neighbours(Index))},
                            Events.now());
  Added.Table->setColdLimits({{Service, {OverloadScenario::ColdRate}}});
  Added.Retries = std::make_unique<RetryAllowance>(Limit, Events.now());
  for (std::size_t Target = 0; Target < Targets.size(); ++Target) {
    Added.Table->apply(record(Target), Events.now());
    Added.Owners.push_back(Added.Table->find(targetId(Target)));
  }
}

auto OverloadSimulation::record(std::size_t Index) const -> TargetRecord {
  TargetRecord Record;
  Record.Id = targetId(Index);
  Record.Service = Service;
  Record.DataCentre = dataCentre(Index);
  Record.Slots = OverloadScenario::Slots;
  Record.StartedAtMs = Targets[Index].Incarnation;
  if (Scenario.cold(Index, Events.now()))
    Record.RemainingColdTime = Scenario.targetsReturnAt() +
                               OverloadScenario::ColdPeriod - Events.now();
  return Record;
}

auto OverloadSimulation::neighbours(std::size_t Index) const -> std::size_t {
  return (Instances.size() + DataCentres - 1 - Index % DataCentres) /
         DataCentres;
}

auto OverloadSimulation::run() -> Statistics {
  for (const OverloadScenario::Arrival &Origin : Scenario.arrivals())
    Events.at(Origin.At, [this, &Origin] {
      auto Request = std::make_shared<Try>();
      Request->Origin = &Origin;
      arrive(Request);
    });
  scheduleLosses();
  constexpr Duration DrainTime = std::chrono::seconds(3);
  Events.runUntil(Scenario.end() + DrainTime);
  return Result;
}

auto OverloadSimulation::scheduleLosses() -> void {
  for (std::size_t Index = 0; Index < Targets.size(); ++Index) {
    if (!Scenario.losesTarget(Index))
      continue;
    Events.at(Scenario.lostAt(), [this, Index] { loseTarget(Index); });
    Events.at(Scenario.targetsReturnAt() + DirectoryDelay,
              [this, Index] { returnTarget(Index); });
  }
  for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
    if (!Scenario.losesInstance(Index, Instances.size()))
      continue;
    Events.at(Scenario.lostAt(), [this, Index] { loseInstance(Index); });
    Events.at(Scenario.instancesReturnAt(),
              [this, Index] { startInstance(Index); });
  }
}

auto OverloadSimulation::loseTarget(std::size_t Index) -> void {
  Target &Lost = Targets[Index];
  ++Lost.Incarnation;
  auto Requests = std::exchange(Lost.Running, {});
  for (const TryPtr &Request : std::exchange(Lost.Waiting, {}))
    Requests.push_back(Request);
  const Duration Delay =
      Scenario.lossIsSilent() ? SilenceTimeout : NetworkDelay;
  for (const TryPtr &Request : Requests)
    Events.after(Delay, [this, Request] { onFailed(Request); });
}

auto OverloadSimulation::returnTarget(std::size_t Index) -> void {
  for (Instance &At : Instances) {
    At.Table->apply(record(Index), Events.now());
    At.Owners[Index] = At.Table->find(targetId(Index));
    At.Waiting.dispatch();
  }
}

auto OverloadSimulation::loseInstance(std::size_t Index) -> void {
  for (const auto &[Id, Request] : std::exchange(Instances[Index].Active, {})) {
    Request->Done = true;
    Request->InFlight = false;
    ++Result.Failed;
    if (Request->kind().Idempotent)
      retryAsCaller(*Request, Duration(0), false);
  }
  startInstance(Index);
}

auto OverloadSimulation::selectInstance() -> std::size_t {
  const TimePoint Now = Events.now();
  const bool AnyLost =
      Now >= Scenario.lostAt() && Now < Scenario.instancesReturnAt();
  std::size_t Selected = Scenario.instance(Instances.size(), Random);
  while (AnyLost && Scenario.losesInstance(Selected, Instances.size()))
    Selected = Scenario.instance(Instances.size(), Random);
  return Selected;
}

auto OverloadSimulation::roomFor(const Try &Request) const -> bool {
  const auto Free = [this](std::size_t Index) {
    const Target &At = Targets[Index];
    return Scenario.shedShare(Index, Events.now()) == 0 &&
           !Scenario.down(Index, Events.now()) &&
           At.Running.size() + At.Waiting.size() < OverloadScenario::Slots;
  };
  if (Scenario.divided())
    return Free(Request.Origin->Owner);
  for (std::size_t Index = 0; Index < Targets.size(); ++Index)
    if (Free(Index))
      return true;
  return false;
}

auto OverloadSimulation::arrive(const TryPtr &Request) -> void {
  Request->Id = ++LastTry;
  Request->Instance = selectInstance();
  Instances[Request->Instance].Active[Request->Id] = Request;
  ++Result.Requests;
  const bool Returns = Request->AfterRefusal && !Request->Origin->Impatient;
  if (Returns)
    ++Result.Returned;
  Request->RoomAtArrival = Returns && roomFor(*Request);
  if (Request->RoomAtArrival)
    ++Result.ReturnedToRoom;
  Instances[Request->Instance].Retries->requestSeen(Events.now());
  Events.at(Request->deadline(), [this, Request] {
    if (!Request->Done)
      refuse(Request);
  });
  sendOrWait(Request);
}

auto OverloadSimulation::waitLimit(const Try &Request) const -> Duration {
  return std::max(MinWaitLimit,
                  Request.kind().Goal /
                      (Scenario.divided() ? OwnerWaitDivisor : WaitDivisor));
}

auto OverloadSimulation::sendOrWait(const TryPtr &Request) -> void {
  Instances[Request->Instance].Waiting.dispatchBefore(Service,
                                                      Request->kind().Priority);
  if (trySend(Request))
    return;
  if (Policy == OwnerAdmission::Windows && lacksRoom(*Request))
    return refuse(Request);
  // As in RequestFlow::waitForTarget.
  Request->WaitDeadline =
      std::min(Request->deadline(), Events.now() + waitLimit(*Request));
  Instance &At = Instances[Request->Instance];
  Request->Ticket =
      At.Waiting.add(Service, Request->kind().Priority,
                     [this, Request] { return trySend(Request); });
  Events.at(Request->WaitDeadline, [this, Request, Ticket = Request->Ticket] {
    if (Request->Ticket == Ticket)
      refuse(Request);
  });
  armDispatch(Request->Instance);
}

auto OverloadSimulation::armDispatch(std::size_t Index) -> void {
  Instance &At = Instances[Index];
  if (At.Waiting.empty() || std::exchange(At.DispatchArmed, true))
    return;
  Events.after(DispatchRetryInterval, [this, Index] {
    Instances[Index].DispatchArmed = false;
    Instances[Index].Waiting.dispatch();
    armDispatch(Index);
  });
}

auto OverloadSimulation::trySend(const TryPtr &Request) -> bool {
  const TimePoint Now = Events.now();
  if (Request->Done)
    return true;
  if (Now < Request->NextSendAt)
    return false;
  Instance &At = Instances[Request->Instance];
  const TargetSelection Selected = selectTarget(*Request);
  if (!Selected.Target)
    return false;
  Request->Ticket = 0;
  At.Waiting.sent(Service, Request->kind().Priority);
  Request->SentAt = Now;
  Request->InFlight = true;
  Request->SentTo = Selected.Target;
  Request->Target = TargetIndexes.at(Selected.Target->Record.Id);
  if (!Scenario.divided())
    Request->Tried.push_back(Selected.Target->Record.Id);
  Request->QueueAtSend = Selected.Target->Load.queue(Now);
  Selected.Target->Load.sent();
  Selected.Target->Window.sent();
  Selected.Target->Sends.add(Now);
  Events.after(NetworkDelay, [this, Request] { arriveAtTarget(Request); });
  return true;
}

auto OverloadSimulation::selectTarget(const Try &Request) -> TargetSelection {
  Instance &At = Instances[Request.Instance];
  if (Scenario.divided())
    return At.Table->selectOwner(At.Owners[Request.Origin->Owner],
                                 Events.now());
  return At.Table->select({Service, Request.kind().Idempotent,
                           Request.kind().Goal, Request.Tried, nullptr},
                          Events.now());
}

auto OverloadSimulation::end(const TryPtr &Request) -> bool {
  if (std::exchange(Request->Done, true))
    return false;
  Instance &At = Instances[Request->Instance];
  At.Active.erase(Request->Id);
  if (Request->Ticket != 0)
    At.Waiting.remove(Service, Request->kind().Priority,
                      std::exchange(Request->Ticket, 0));
  if (std::exchange(Request->InFlight, false))
    Request->SentTo->Load.abandoned(Events.now() - Request->SentAt,
                                    Request->QueueAtSend,
                                    OverloadScenario::Slots);
  return true;
}

auto OverloadSimulation::fail(const TryPtr &Request) -> void {
  if (!end(Request))
    return;
  ++Result.Failed;
  if (Request->kind().Idempotent)
    retryAsCaller(*Request, Duration(0), false);
  Instances[Request->Instance].Waiting.dispatch();
}

auto OverloadSimulation::refuse(const TryPtr &Request) -> void {
  if (!end(Request))
    return;
  ++Result.Refused;
  if (Request->AfterRefusal && !Request->Origin->Impatient)
    ++Result.RefusedAgain;
  if (Request->RoomAtArrival)
    ++Result.RefusedDespiteRoom;
  retryAsCaller(*Request, retryAfter(*Request), true);
  Instances[Request->Instance].Waiting.dispatch();
}

auto OverloadSimulation::lacksRoom(const Try &Request) -> bool {
  if (!Scenario.divided())
    return false;
  const TimePoint Now = Events.now();
  const Instance &At = Instances[Request.Instance];
  const TargetState &Target = *At.Owners[Request.Origin->Owner];
  const Duration Until = At.Table->ownerOutlook(Target, Now).Until;
  return Target.Window.closed(Now) || Now + Until >= Request.deadline() ||
         Until > OutlookMargin * waitLimit(Request);
}

auto OverloadSimulation::retryAfter(const Try &Refused) -> Duration {
  const Duration Goal = Refused.kind().Goal;
  if (Policy == OwnerAdmission::EqualShares || !Scenario.divided())
    return std::clamp<Duration>(Goal / 2, std::chrono::milliseconds(150),
                                std::chrono::milliseconds(1500));
  const TimePoint Now = Events.now();
  const Instance &At = Instances[Refused.Instance];
  TargetState &Target = *At.Owners[Refused.Origin->Owner];
  return Target.Returns.next(At.Table->ownerOutlook(Target, Now), Goal,
                             Refused.deadline() - Now, Now);
}

auto OverloadSimulation::retryAsCaller(const Try &Refused, Duration RetryAfter,
                                       bool AfterRefusal) -> void {
  const bool Impatient = Refused.Origin->Impatient;
  if (Refused.Number >= (Impatient ? ImpatientRetries : PatientRetries))
    return;
  const Duration Left = Refused.deadline() - Events.now() - CallerRoundTrip;
  if (Left <= Duration(0))
    return;
  const Duration Pause =
      Impatient ? Duration(0) : std::min(RetryAfter, Left / WaitedShareDivisor);
  auto Next = std::make_shared<Try>();
  Next->Origin = Refused.Origin;
  Next->Number = Refused.Number + 1;
  Next->AfterRefusal = AfterRefusal;
  Events.after(CallerRoundTrip + Pause, [this, Next] { arrive(Next); });
}

auto OverloadSimulation::arriveAtTarget(const TryPtr &Request) -> void {
  const std::size_t Index = Request->Target;
  const TimePoint Now = Events.now();
  if (Scenario.down(Index, Now)) {
    const Duration Delay =
        Scenario.lossIsSilent() ? ConnectTimeout : NetworkDelay;
    Events.after(Delay, [this, Request] { onUnreachable(Request); });
    return;
  }
  const double ShedShare = Scenario.shedShare(Index, Now);
  if (ShedShare >= 1 || (ShedShare > 0 && Random.chance(ShedShare))) {
    ++Result.Shed;
    return respond(Request, true);
  }
  Target &At = Targets[Index];
  ++Result.Arrivals;
  if (At.Waiting.size() >= OverloadScenario::QueueCapacity) {
    ++Result.TurnedAway;
    return respond(Request, true);
  }
  At.Waiting.push_back(Request);
  startNext(Index);
}

auto OverloadSimulation::startNext(std::size_t Index) -> void {
  Target &At = Targets[Index];
  if (At.Waiting.empty() || At.Running.size() >= OverloadScenario::Slots)
    return;
  const TryPtr Request = At.Waiting.front();
  At.Waiting.pop_front();
  At.Running.push_back(Request);
  const double Work =
      Request->Origin->WorkUs * Scenario.slowness(Index, Events.now());
  Events.after(
      Duration(static_cast<std::int64_t>(Work)),
      [this, Request, Index, Incarnation = At.Incarnation] {
        if (Targets[Index].Incarnation != Incarnation)
          return;
        std::erase(Targets[Index].Running, Request);
        const double FailureShare = Scenario.failureShare(Index, Events.now());
        if (FailureShare > 0 && Random.chance(FailureShare))
          Events.after(NetworkDelay, [this, Request] { onFailed(Request); });
        else
          respond(Request, false);
        startNext(Index);
      });
}

auto OverloadSimulation::respond(const TryPtr &Request, bool Rejected) -> void {
  const std::size_t Index = Request->Target;
  LoadReport Load;
  Load.Running = static_cast<std::uint32_t>(Targets[Index].Running.size());
  Load.Waiting = static_cast<std::uint32_t>(Targets[Index].Waiting.size());
  Load.Slots = OverloadScenario::Slots;
  Load.Slowness = Scenario.noise(Index, Events.now());
  Events.after(NetworkDelay, [this, Request, Rejected, Load] {
    onResponse(Request, Rejected, Load);
  });
}

auto OverloadSimulation::onResponse(const TryPtr &Request, bool Rejected,
                                    const LoadReport &Load) -> void {
  const TimePoint Now = Events.now();
  Instance &At = Instances[Request->Instance];
  TargetState &Target = *Request->SentTo;
  // A request that was given up at its deadline has left the load already.
  if (std::exchange(Request->InFlight, false)) {
    const Duration Latency = Now - Request->SentAt;
    Target.Load.ended(Rejected ? std::nullopt : std::optional(Latency),
                      Request->QueueAtSend, OverloadScenario::Slots);
    Target.reported(Load, Now, Now);
    At.UnsentLoads.add(Target.Record.Id, Load, Now);
    At.UnsentLatest[Target.Record.Id] = {Load, Duration(0)};
    scheduleLoadNotice(Request->Instance);
    if (Rejected) {
      onRejected(Request);
    } else {
      At.Table->answered(Target, Latency);
      end(Request);
      const RequestKind &Kind = Request->kind();
      Result.Value +=
          Now - Request->Origin->At > Kind.Goal ? Kind.LateValue : Kind.Value;
    }
  }
  At.Waiting.dispatch();
}

auto OverloadSimulation::onRejected(const TryPtr &Request) -> void {
  const TimePoint Now = Events.now();
  TargetState &Target = *Request->SentTo;
  if (Scenario.divided()) {
    Target.Window.rejected(Now);
    Request->NextSendAt = Now + OwnerRetryDelay;
  } else {
    Target.Load.failed();
  }
  const bool Windows = Policy == OwnerAdmission::Windows && Scenario.divided();
  if (++Request->Rejections >=
          (Windows ? MaxRejectionsForRoom : MaxRejections) ||
      (Windows && lacksRoom(*Request)) ||
      !Instances[Request->Instance].Retries->tryTake(
          static_cast<std::uint32_t>(Instances.size()), Now))
    return refuse(Request);
  sendOrWait(Request);
}

auto OverloadSimulation::onUnreachable(const TryPtr &Request) -> void {
  if (!std::exchange(Request->InFlight, false))
    return;
  const TimePoint Now = Events.now();
  Instances[Request->Instance].Table->markUnreachable(*Request->SentTo, Now);
  Request->SentTo->Load.abandoned(Duration(0), Request->QueueAtSend,
                                  OverloadScenario::Slots);
  sendOrWait(Request);
}

auto OverloadSimulation::onFailed(const TryPtr &Request) -> void {
  if (!std::exchange(Request->InFlight, false))
    return;
  const TimePoint Now = Events.now();
  Request->SentTo->Load.failed();
  Request->SentTo->Load.abandoned(Now - Request->SentAt, Request->QueueAtSend,
                                  OverloadScenario::Slots);
  if (!Request->kind().Idempotent || ++Request->Runs >= MaxAttempts ||
      !Instances[Request->Instance].Retries->tryTake(
          static_cast<std::uint32_t>(Instances.size()), Now))
    return fail(Request);
  sendOrWait(Request);
}

auto OverloadSimulation::scheduleLoadNotice(std::size_t Index) -> void {
  Instance &At = Instances[Index];
  if (Instances.size() < 2 || At.UnsentLoads.empty() ||
      std::exchange(At.NoticeArmed, true))
    return;
  // Before SendWindow, notices went to all neighbours, at an interval that grew
  // with their number.
  const std::size_t Factor =
      Policy == OwnerAdmission::EqualShares
          ? std::max<std::size_t>(1, (neighbours(Index) - 1) / 4)
          : 1;
  Events.after(LoadNoticeInterval * Factor, [this, Index] {
    Instances[Index].NoticeArmed = false;
    sendLoadNotice(Index);
  });
}

auto OverloadSimulation::noticeReceivers(std::size_t Index)
    -> std::vector<std::size_t> {
  const std::size_t Near = neighbours(Index) - 1;
  const std::size_t Far = Instances.size() - Near - 1;
  std::vector<std::size_t> Receivers;
  const bool ToAll =
      Policy == OwnerAdmission::EqualShares || Near <= LoadNoticeNeighbours;
  const std::size_t First = ToAll ? 0 : Random.below(Near);
  const std::size_t Second = ToAll ? 0 : Random.below(Near - 1);
  std::size_t Position = 0;
  for (std::size_t Other = Index % DataCentres; Other < Instances.size();
       Other += DataCentres) {
    if (Other == Index)
      continue;
    if (ToAll || Position == First ||
        Position == (Second < First ? Second : Second + 1))
      Receivers.push_back(Other);
    ++Position;
  }
  if (Policy == OwnerAdmission::Windows && Far > 0 &&
      (Random.chance(LoadNoticeContactShare) || Receivers.empty())) {
    std::size_t Other = Random.below(Instances.size());
    while (Other % DataCentres == Index % DataCentres)
      Other = Random.below(Instances.size());
    Receivers.push_back(Other);
  }
  return Receivers;
}

auto OverloadSimulation::sendLoadNotice(std::size_t Index) -> void {
  auto Loads = Instances[Index].UnsentLoads.take(Events.now());
  auto Latest = std::exchange(Instances[Index].UnsentLatest, {});
  if (Policy == OwnerAdmission::EqualShares) {
    Loads = std::move(Latest);
    Instances[Index].UnsentLoads.clear();
  }
  scheduleLoadNotice(Index);
  Events.after(NetworkDelay, [this, Receivers = noticeReceivers(Index),
                              Loads = std::move(Loads), SentAt = Events.now()] {
    for (const std::size_t Other : Receivers) {
      for (const auto &[Id, Known] : Loads) {
        const TargetPtr &Target = Instances[Other].Owners[TargetIndexes.at(Id)];
        const TimePoint ReportedAt = SentAt - Known.Age;
        if (Policy == OwnerAdmission::EqualShares)
          Target->Load.reported(Known.Load, Events.now());
        else if (Target->reported(Known.Load, ReportedAt, Events.now()))
          Instances[Other].UnsentLoads.add(Id, Known.Load, ReportedAt);
      }
      scheduleLoadNotice(Other);
      Instances[Other].Waiting.dispatch();
    }
  });
}

} // namespace buckthornring::measure
