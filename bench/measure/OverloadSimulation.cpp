#include "OverloadSimulation.h"

#include <algorithm>

namespace buckthornring::measure {

namespace {

constexpr std::size_t DataCentres = 4;

/// One-way delay between instances and owners, and between instances.
constexpr Duration NetworkDelay = std::chrono::microseconds(500);
/// Time from a refusal until the next try of a caller arrives.
constexpr Duration CallerRoundTrip = std::chrono::milliseconds(16);

// As in RequestFlow, Gateway and FleetMember.
constexpr int WaitDivisor = 2;
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

auto ownerId(std::size_t Index) -> TargetId {
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
      Instances(InstanceCount), Owners(OverloadScenario::OwnerCount) {
  RetryLimit Limit;
  Limit.Slack = RetrySlack;
  for (std::size_t Index = 0; Index < InstanceCount; ++Index) {
    TargetTable::Settings Settings;
    Settings.Instance = InstanceId("instance-" + std::to_string(Index));
    Settings.DataCentre = dataCentre(Index);
    Settings.Admission = Policy;
    Instance &Added = Instances[Index];
    Added.Table = std::make_unique<TargetTable>(Settings, Random.next());
    Added.Table->setFleetSize(
        {InstanceCount, static_cast<std::uint32_t>(neighbours(Index))},
        Events.now());
    Added.Retries = std::make_unique<RetryAllowance>(Limit, Events.now());
    for (std::size_t Owner = 0; Owner < Owners.size(); ++Owner) {
      TargetRecord Record;
      Record.Id = ownerId(Owner);
      Record.Service = Service;
      Record.DataCentre = dataCentre(Owner);
      Record.Slots = OverloadScenario::Slots;
      Added.Table->apply(Record, Events.now());
      Added.Owners.push_back(Added.Table->find(Record.Id));
    }
  }
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
  constexpr Duration DrainTime = std::chrono::seconds(3);
  Events.runUntil(OverloadScenario::End + DrainTime);
  return Result;
}

auto OverloadSimulation::arrive(const TryPtr &Request) -> void {
  Request->Instance = Scenario.instance(Instances.size(), Random);
  ++Result.Requests;
  if (Request->Number > 0 && !Request->Origin->Impatient)
    ++Result.Returned;
  const Owner &Requested = Owners[Request->Origin->Owner];
  Request->RoomAtArrival =
      Request->Number > 0 && !Request->Origin->Impatient &&
      !Scenario.sheds(Request->Origin->Owner, Events.now()) &&
      Requested.Running + Requested.Waiting.size() < OverloadScenario::Slots;
  if (Request->RoomAtArrival)
    ++Result.ReturnedToRoom;
  Instances[Request->Instance].Retries->requestSeen(Events.now());
  Events.at(Request->deadline(), [this, Request] {
    if (!Request->Done)
      refuse(Request);
  });
  sendOrWait(Request);
}

auto OverloadSimulation::sendOrWait(const TryPtr &Request) -> void {
  Instances[Request->Instance].Waiting.dispatchBefore(Service,
                                                      Request->kind().Priority);
  if (trySend(Request))
    return;
  if (Policy == OwnerAdmission::Windows && lacksRoom(*Request))
    return refuse(Request);
  // As in RequestFlow::waitForTarget.
  Request->WaitDeadline = std::min(
      Request->deadline(), Events.now() + Request->kind().Goal / WaitDivisor);
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
  const TargetSelection Selected =
      At.Table->selectOwner(At.Owners[Request->Origin->Owner], Now);
  if (!Selected.Target)
    return false;
  Request->Ticket = 0;
  At.Waiting.sent(Service, Request->kind().Priority);
  Request->SentAt = Now;
  Request->InFlight = true;
  Request->QueueAtSend = Selected.Target->Load.queue(Now);
  Selected.Target->Load.sent();
  Selected.Target->Window.sent();
  Events.after(NetworkDelay, [this, Request] { arriveAtOwner(Request); });
  return true;
}

auto OverloadSimulation::refuse(const TryPtr &Request) -> void {
  if (std::exchange(Request->Done, true))
    return;
  Instance &At = Instances[Request->Instance];
  if (Request->Ticket != 0)
    At.Waiting.remove(Service, Request->kind().Priority,
                      std::exchange(Request->Ticket, 0));
  if (std::exchange(Request->InFlight, false))
    At.Owners[Request->Origin->Owner]->Load.abandoned(
        Events.now() - Request->SentAt, Request->QueueAtSend,
        OverloadScenario::Slots);
  ++Result.Refused;
  if (Request->Number > 0 && !Request->Origin->Impatient)
    ++Result.RefusedAgain;
  if (Request->RoomAtArrival)
    ++Result.RefusedDespiteRoom;
  retryAsCaller(*Request, retryAfter(*Request));
  At.Waiting.dispatch();
}

auto OverloadSimulation::lacksRoom(const Try &Request) -> bool {
  const TimePoint Now = Events.now();
  const Instance &At = Instances[Request.Instance];
  const TargetState &Target = *At.Owners[Request.Origin->Owner];
  const Duration Until = At.Table->ownerOutlook(Target, Now).Until;
  return Target.Window.closed(Now) || Now + Until >= Request.deadline() ||
         Until > OutlookMargin * (Request.kind().Goal / WaitDivisor);
}

auto OverloadSimulation::retryAfter(const Try &Refused) -> Duration {
  const Duration Goal = Refused.kind().Goal;
  const Instance &At = Instances[Refused.Instance];
  TargetState &Target = *At.Owners[Refused.Origin->Owner];
  if (Policy == OwnerAdmission::EqualShares)
    return std::clamp<Duration>(Goal / 2, std::chrono::milliseconds(150),
                                std::chrono::milliseconds(1500));
  const TimePoint Now = Events.now();
  return Target.Returns.next(At.Table->ownerOutlook(Target, Now), Goal,
                             Refused.deadline() - Now, Now);
}

auto OverloadSimulation::retryAsCaller(const Try &Refused, Duration RetryAfter)
    -> void {
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
  Events.after(CallerRoundTrip + Pause, [this, Next] { arrive(Next); });
}

auto OverloadSimulation::arriveAtOwner(const TryPtr &Request) -> void {
  const std::size_t Index = Request->Origin->Owner;
  Owner &At = Owners[Index];
  if (Scenario.sheds(Index, Events.now()))
    return respond(Request, true);
  ++Result.OwnerArrivals;
  if (At.Waiting.size() >= OverloadScenario::QueueCapacity) {
    ++Result.TurnedAway;
    return respond(Request, true);
  }
  At.Waiting.push_back(Request);
  startNext(Index);
}

auto OverloadSimulation::startNext(std::size_t Index) -> void {
  Owner &At = Owners[Index];
  if (At.Waiting.empty() || At.Running >= OverloadScenario::Slots)
    return;
  const TryPtr Request = At.Waiting.front();
  At.Waiting.pop_front();
  ++At.Running;
  const double Work =
      Request->Origin->WorkUs * Scenario.slowness(Index, Events.now());
  Events.after(Duration(static_cast<std::int64_t>(Work)),
               [this, Request, Index] {
                 --Owners[Index].Running;
                 respond(Request, false);
                 startNext(Index);
               });
}

auto OverloadSimulation::respond(const TryPtr &Request, bool Rejected) -> void {
  const std::size_t Index = Request->Origin->Owner;
  LoadReport Load;
  Load.Running = static_cast<std::uint32_t>(Owners[Index].Running);
  Load.Waiting = static_cast<std::uint32_t>(Owners[Index].Waiting.size());
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
  const std::size_t Index = Request->Origin->Owner;
  TargetState &Target = *At.Owners[Index];
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
      Request->Done = true;
      const RequestKind &Kind = Request->kind();
      Result.Value +=
          Now - Request->Origin->At > Kind.Goal ? Kind.LateValue : Kind.Value;
    }
  }
  At.Waiting.dispatch();
}

auto OverloadSimulation::onRejected(const TryPtr &Request) -> void {
  const TimePoint Now = Events.now();
  Instances[Request->Instance].Owners[Request->Origin->Owner]->Window.rejected(
      Now);
  Request->NextSendAt = Now + OwnerRetryDelay;
  const bool Windows = Policy == OwnerAdmission::Windows;
  if (++Request->Rejections >=
          (Windows ? MaxRejectionsForRoom : MaxRejections) ||
      (Windows && lacksRoom(*Request)) ||
      !Instances[Request->Instance].Retries->tryTake(
          static_cast<std::uint32_t>(Instances.size()), Now))
    return refuse(Request);
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
        const TargetPtr Target = Instances[Other].Table->find(Id);
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
