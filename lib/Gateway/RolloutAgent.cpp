#include "Gateway/RolloutAgent.h"

#include "Fleet/StoreRevision.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace buckthornring {

namespace {

/// Time after the start for which requests wait for the orders to be read.
/// Beyond it the store does not answer, and each version is used.
constexpr Duration LoadWait = std::chrono::seconds(3);

/// Targets of the new version that own keys in `compare`, as a part of the
/// exposure share of the old ones: a range may get more requests than others.
constexpr double KeyTargetShare = 0.5;

} // namespace

auto RolloutAgent::Service::recordOfOrder() const -> const RolloutRecord * {
  if (!Order || !Record || Record->To != Order->To ||
      Record->Length != Order->Length)
    return nullptr;
  // A record of an earlier order of the same version must not count. The
  // status write changes the revision of the order.
  const bool Running =
      Order->State == RolloutState::Running && Order->StateOf == Order->To;
  return Running || Record->Order == Order->Revision ? &*Record : nullptr;
}

auto RolloutAgent::find(const ServiceId &Id) const -> const Service * {
  const auto Found = All.find(Id);
  return Found == All.end() ? nullptr : &Found->second;
}

auto RolloutAgent::setOrders(const std::map<ServiceId, RolloutOrder> &Readable,
                             TimePoint Now) -> void {
  Loaded = true;
  for (const auto &[Id, State] : All)
    if (!Readable.contains(Id))
      setOrder(Id, std::nullopt, Now);
  for (const auto &[Id, Order] : Readable)
    setOrder(Id, Order, Now);
}

auto RolloutAgent::setOrder(const ServiceId &Id,
                            const std::optional<RolloutOrder> &Order,
                            TimePoint Now) -> void {
  refresh(Now);
  Service &State = All[Id];
  if (!Order && !State.Order)
    return;
  if (Order && State.Order && Order->Revision <= State.Order->Revision)
    return;
  // An order of the same fields without the status of the earlier one is new.
  const bool StatusLost =
      Order && State.Order && Order->State == RolloutState::None &&
      State.Order->State != RolloutState::None &&
      eraOf(Order->Revision) == eraOf(State.Order->Revision);
  const bool SameOrder = Order && State.Order && !State.Order->ended() &&
                         !StatusLost && Order->To == State.Order->To &&
                         Order->Length == State.Order->Length;
  State.Order = Order;
  State.Admission.setOrder(Order);
  if (!Order || Order->ended()) {
    State.Share.reset();
  } else if (!SameOrder) {
    State.OrderSeenAt = Now;
    State.Share.emplace(Order->To, Bounds, Instance);
  }
  useRecord(State);
  if (!SameOrder)
    Events.write(EventLine("rollout-order")
                     .field("service", Id.str())
                     .field("to", Order ? Order->To : "")
                     .field("length_ms", Order ? Order->Length : Duration(0))
                     .field("ended", !Order || Order->ended())
                     .field("base", State.Admission.base())
                     .field("revision", Order ? Order->Revision : 0));
}

auto RolloutAgent::setRecord(const ServiceId &Id, const RolloutRecord &Record,
                             std::uint64_t Revision, TimePoint Now) -> void {
  Service &State = All[Id];
  if (Revision <= State.RecordRevision)
    return;
  State.Record = Record;
  State.RecordRevision = Revision;
  State.RecordReadAt = Now;
  useRecord(State);
}

auto RolloutAgent::useRecord(Service &State) -> void {
  const RolloutRecord *Record = State.recordOfOrder();
  if (!Record)
    return;
  State.Admission.setBase(Record->Base);
  if (State.Share)
    State.Share->recorded({Record->Order, Record->To, Record->Stage, 0, 0});
}

auto RolloutAgent::tick(TimePoint Now) -> void {
  Outdated = true;
  refresh(Now);
}

auto RolloutAgent::refresh(TimePoint Now) -> void {
  if (!std::exchange(Outdated, false))
    return;
  std::map<ServiceId, SlotsByVersion> Ready;
  for (const auto &[Id, Target] : Targets.all())
    if (Targets.takesRequests(*Target))
      Ready[Target->Record.Service][Target->Record.Version] +=
          Target->Record.Slots;
  for (const auto &[Id, Slots] : Ready)
    All.try_emplace(Id);
  for (auto &[Id, State] : All) {
    State.Admission.observe(Ready[Id], Now);
    State.Compared.clear();
  }
}

auto RolloutAgent::reports(TimePoint Now) const
    -> std::map<ServiceId, RolloutReport> {
  std::map<ServiceId, RolloutReport> Out;
  for (const auto &[Id, State] : All) {
    if (!State.Share)
      continue;
    RolloutReport Report = State.Share->report();
    Report.Age = Now - State.OrderSeenAt;
    Report.SeenRevision = State.Order->Revision;
    for (const TargetPtr &Target : Targets.targetsOfService(Id))
      if (Target->Record.Version != State.Share->to())
        Report.RunningAtOld += Target->Load.inFlight();
    Out[Id] = std::move(Report);
  }
  return Out;
}

auto RolloutAgent::setNotices(const std::map<ServiceId, RolloutNotice> &Notices,
                              TimePoint Now) -> void {
  for (const auto &[Id, Notice] : Notices) {
    const auto Found = All.find(Id);
    if (Found == All.end() || !Found->second.Share)
      continue;
    RolloutShare &Share = *Found->second.Share;
    const RolloutStage Before = Share.stage();
    Share.decided(Notice, Now);
    if (Share.stage() != Before)
      Events.write(EventLine("rollout-stage-followed")
                       .field("service", Id.str())
                       .field("to", Notice.To)
                       .field("order", Notice.Order)
                       .field("stage", RolloutStageNames.name(Share.stage())));
  }
}

// All instances choose the same targets, so that few of them get the usual
// load and badness under load shows.
auto RolloutAgent::compared(const ServiceId &Id, Service &State, TimePoint Now)
    -> const std::set<TargetId> & {
  const RolloutShare &Share = *State.Share;
  if (!State.Compared.empty() && State.ComparedPeriod == Share.period() &&
      State.ComparedShare == Share.sharePpm())
    return State.Compared;
  State.ComparedPeriod = Share.period();
  State.ComparedShare = Share.sharePpm();
  State.Compared.clear();
  const auto [New, Old] = targetsOf(Id, Share.to());
  std::vector<bool> Cold;
  for (const TargetId &Each : New) {
    const TargetPtr Target = Targets.find(Each);
    Cold.push_back(!Target || Target->cold(Now));
  }
  for (const std::size_t Position : Share.compared(Cold, Old))
    State.Compared.insert(New[Position]);
  return State.Compared;
}

auto RolloutAgent::targetsOf(const ServiceId &Id, const std::string &To) const
    -> std::pair<std::vector<TargetId>, std::size_t> {
  std::vector<std::pair<std::size_t, TargetId>> New;
  std::size_t Old = 0;
  for (const TargetPtr &Target : Targets.targetsOfService(Id)) {
    const TargetRecord &Record = Target->Record;
    if (!Targets.takesRequests(*Target))
      continue;
    if (Record.Version == To)
      New.emplace_back(std::hash<std::string>()(Record.Id.str()), Record.Id);
    else
      ++Old;
  }
  std::sort(New.begin(), New.end());
  std::vector<TargetId> Sorted;
  Sorted.reserve(New.size());
  for (const auto &[Hash, Target] : New)
    Sorted.push_back(Target);
  return {std::move(Sorted), Old};
}

auto RolloutAgent::select(TargetTable &Table, TargetRequest Request,
                          bool FirstSend, TimePoint Now) -> TargetSelection {
  if (!Loaded && Now - StartedAt < LoadWait)
    return {};
  refresh(Now);
  const auto Found = All.find(Request.Service);
  if (Found == All.end())
    return Table.select(Request, Now);
  Service &State = Found->second;
  if (FirstSend && State.Share &&
      State.Share->mayCompare(Targets.fleetSize().Instances, Now)) {
    const std::set<TargetId> &Few = compared(Request.Service, State, Now);
    Request.Admits = [&Few](const TargetRecord &Record) {
      return Few.contains(Record.Id);
    };
    TargetSelection Selected = Table.select(Request, Now);
    // A queue at the few targets would look like a slow version.
    if (Selected.Target &&
        Selected.Target->Load.queue(Now) < Selected.Target->Record.Slots)
      return Selected;
  }
  const VersionRule Rule = State.Admission.rule(State.stage());
  if (Rule.admitsAll())
    Request.Admits = nullptr;
  else
    Request.Admits = [&Rule](const TargetRecord &Record) {
      return Rule.admits(Record.Version);
    };
  return Table.select(Request, Now);
}

auto RolloutAgent::admitsOwner(const TargetRecord &Owner, TimePoint Now)
    -> bool {
  refresh(Now);
  const Service *State = find(Owner.Service);
  if (!State || State->Admission.rule(State->stage()).admits(Owner.Version))
    return true;
  if (!State->Share)
    return false;
  // Until its keys have moved, the old owner alone can run their requests.
  if (State->stage() == RolloutStage::Complete)
    return true;
  return Owner.Version == State->Share->to() &&
         State->Share->mayServeKey(Targets.fleetSize().Instances, Now);
}

auto RolloutAgent::mayOwnKeys(const TargetRecord &Target, TimePoint Now)
    -> bool {
  refresh(Now);
  const auto Found = All.find(Target.Service);
  if (Found == All.end())
    return true;
  Service &State = Found->second;
  if (State.Admission.rule(State.stage()).admits(Target.Version))
    return true;
  if (!State.Share || !State.Share->comparing(Now) ||
      State.Share->sharePpm() == 0)
    return false;
  // Always the same few, since keys that move cost time.
  const auto [New, Old] = targetsOf(Target.Service, State.Share->to());
  const auto Few = std::max<std::size_t>(
      1, static_cast<std::size_t>(KeyTargetShare * Bounds.ExposureShare *
                                  static_cast<double>(Old)));
  const auto Position = std::find(New.begin(), New.end(), Target.Id);
  return static_cast<std::size_t>(Position - New.begin()) < Few &&
         Position != New.end();
}

auto RolloutAgent::sent(const TargetRecord &Target, bool FirstSend) -> void {
  const auto Found = All.find(Target.Service);
  if (Found == All.end())
    return;
  Service &State = Found->second;
  ++State.SendsByVersion[Target.Version];
  if (!State.Share)
    return;
  if (FirstSend)
    State.Share->requestSent();
  if (Target.Version == State.Share->to() &&
      State.stage() != RolloutStage::Complete)
    State.Share->sentToNew();
}

auto RolloutAgent::ended(const TargetRecord &Target, const std::string &Route,
                         const RolloutResult &Result) -> void {
  const auto Found = All.find(Target.Service);
  if (Found != All.end() && Found->second.Share)
    Found->second.Share->ended(Target.Version, Route, Result);
}

auto RolloutAgent::countMalformed(const std::string &Name,
                                  const std::string &Reason) -> void {
  ++Malformed;
  Events.write(
      EventLine("rollout-ignored").field("name", Name).field("reason", Reason));
}

} // namespace buckthornring
