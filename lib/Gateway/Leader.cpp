#include "Gateway/Leader.h"

#include "IO/BootClock.h"

#include <algorithm>

namespace buckthornring {

namespace {

constexpr Duration PlanInterval = std::chrono::milliseconds(250);

/// Wait before a write that was refused or got no answer is repeated.
constexpr Duration WriteRepeat = std::chrono::milliseconds(400);

/// Releases under way at the same time, over all targets of a service. Each has
/// a connection of its own.
constexpr std::uint32_t MaxReleases = 48;

/// An instance without reports for this time is no longer counted.
constexpr Duration MemberLifetime = std::chrono::seconds(6);

/// Time after the start in which all instances have reported several times.
constexpr Duration LearnTime = std::chrono::milliseconds(1000);

/// Instances of a data centre from which on one of them reads the store for
/// all: that one proves its contact to the store 2.5 times a second, which
/// costs as many calls as the watches of three instances on a day with changes.
constexpr std::size_t SmallestRelayed = 6;

/// An instance without reports for this time is replaced as a relay.
constexpr Duration RelaySilence = std::chrono::milliseconds(1300);

/// Interval in which the recorded size of the fleet is compared.
constexpr Duration SizeInterval = std::chrono::seconds(3);

/// A recorded size is replaced when it is below the size, or above this
/// multiple of it: parts of a rate computed from too large a number are safe.
constexpr std::uint32_t LargestSizeFactor = 2;

/// Time without a new target after which the first assignment is made, so that
/// targets that start together share the keys evenly.
constexpr Duration RegistrationPause = std::chrono::milliseconds(700);

/// Weight of one instance's observation of a target's speed.
constexpr double WorkWeight = 0.15;

/// Capacities of targets differ by at most this factor from the usual one.
constexpr double CapacitySpread = 2.5;

} // namespace

auto Leader::rangeObject(const ServiceId &Service) -> std::string {
  return "ranges." + Service.str();
}

auto Leader::start(LeaderInfo Given, TimePoint ProvedAt) -> void {
  Self = std::move(Given);
  StartedAt = bootNow();
  ConfirmedAt = ProvedAt;
  RecordsKnownAfter = LongAgo;
  // By then all instances have reported.
  RecordSizeAt = StartedAt + SizeInterval;
  Services.clear();
  Members.clear();
  Rates = RateDivider();
  Reserve = RateReserve(Tolerance);
  Around.Events.write(EventLine("leadership-taken").field("term", Self.Term));
}

auto Leader::stop() -> void {
  if (!leading())
    return;
  Around.Events.write(EventLine("leadership-left").field("term", Self.Term));
  Self = LeaderInfo();
  Orders.clear();
  Services.clear();
}

auto Leader::resign() -> void {
  for (const auto &[Name, Other] : Members) {
    FleetReply Last;
    Last.Leader = Self;
    Last.Resigned = true;
    if (Name != Self.Instance)
      Around.Send(Other.Address, Last);
  }
  stop();
}

auto Leader::report(const FleetReport &From, const std::string &Address,
                    bool StoreReachable) -> FleetReply {
  const TimePoint Now = bootNow();
  if (From.Leaving)
    Members.erase(From.Instance);
  else
    Members[From.Instance] = {Address,       From.DataCentre,
                              From.Capacity, From.StoreReachable,
                              From.Seen,     Now};
  std::erase_if(Members, [Now](const auto &Entry) {
    return Now - Entry.second.At > MemberLifetime;
  });
  Rates.reported(From.Instance, From.Demand,
                 std::chrono::milliseconds(From.SpanMs), Now);
  Rates.expire(Now);
  // The leader's own report comes once in each interval.
  if (From.Instance == Self.Instance)
    Rates.recompute();
  for (const auto &[Id, Keys] : From.Keys) {
    const auto Found = Services.find(Id);
    if (Found != Services.end())
      for (const std::uint32_t Key : Keys)
        Found->second.Load.add(Key, Now);
  }
  for (const auto &[Id, WorkMs] : From.WorkMs)
    if (const TargetPtr Target = Around.Targets.find(Id)) {
      const auto Found = Services.find(Target->Record.Service);
      if (Found == Services.end())
        continue;
      double &Average =
          Found->second.WorkMs.try_emplace(Id, WorkMs).first->second;
      Average += WorkWeight * (WorkMs - Average);
    }
  FleetReply Reply;
  Reply.Leader = Self;
  Reply.StoreReachable = StoreReachable;
  Reply.PartsKnown = Now - StartedAt > LearnTime;
  const auto Parts = Rates.partsOf(From.Instance);
  Reply.RateParts = Parts.ByWorkspace;
  Reply.OtherParts = Parts.Others;
  Reply.Instances =
      std::max(Parts.Instances, static_cast<std::uint32_t>(Members.size()));
  Reply.InDataCentre = static_cast<std::uint32_t>(
      std::count_if(Members.begin(), Members.end(), [&](const auto &Entry) {
        return Entry.second.DataCentre == From.DataCentre;
      }));
  Reply.Relay = relayOf(From.DataCentre, Now);
  addNeighbours(From, Reply);
  for (const auto &[Id, Other] : Members) {
    if (Other.StoreReachable && Now - Other.At < RelaySilence)
      Reply.LargestCapacity = std::max(Reply.LargestCapacity, Other.Capacity);
    const SeenChanges &Seen = Other.Seen;
    const bool Newer = Seen.Configuration > Reply.Seen.Configuration ||
                       Seen.Targets > Reply.Seen.Targets ||
                       Seen.Evacuations > Reply.Seen.Evacuations;
    if (Newer && Id != From.Instance)
      Reply.SeenFrom = Other.Address;
    Reply.Seen.Configuration =
        std::max(Reply.Seen.Configuration, Seen.Configuration);
    Reply.Seen.Targets = std::max(Reply.Seen.Targets, Seen.Targets);
    Reply.Seen.Evacuations = std::max(Reply.Seen.Evacuations, Seen.Evacuations);
  }
  return Reply;
}

auto Leader::addressOf(const InstanceId &Id, const Member &Of) const
    -> const std::string & {
  // The leader does not know its own address as others see it.
  return Id == Self.Instance ? Self.Address : Of.Address;
}

auto Leader::relayOf(const DataCentreId &DataCentre, TimePoint Now) const
    -> std::string {
  const std::pair<const InstanceId, Member> *Best = nullptr;
  std::size_t Count = 0;
  for (const auto &Entry : Members) {
    const Member &Each = Entry.second;
    if (Each.DataCentre != DataCentre)
      continue;
    ++Count;
    if (Each.StoreReachable && Now - Each.At < RelaySilence &&
        (!Best || Each.Capacity > Best->second.Capacity))
      Best = &Entry;
  }
  return Best && Count >= SmallestRelayed ? addressOf(Best->first, Best->second)
                                          : "";
}

auto Leader::addNeighbours(const FleetReport &From, FleetReply &Reply) const
    -> void {
  std::string All;
  for (const auto &[Id, Other] : Members)
    if (Other.DataCentre == From.DataCentre && Id != From.Instance) {
      const std::string &Address = addressOf(Id, Other);
      Reply.Neighbours.push_back(Address);
      All.append(Address).append(",");
    }
  Reply.NeighboursVersion = std::hash<std::string>()(All);
  if (Reply.NeighboursVersion == From.NeighboursKnown)
    Reply.Neighbours.clear();
}

auto Leader::takeRate(const RateQuestion &Question, const Configuration &Config)
    -> RateAnswer {
  RateAnswer Answer{Question.Workspace, 0, Question.Number};
  const auto Found = Config.Workspaces.find(Question.Workspace);
  if (leading() && Found != Config.Workspaces.end())
    Answer.Granted =
        Reserve.take(Question.Workspace, Found->second, Question.Wanted,
                     Rates.instances(), bootNow());
  return Answer;
}

auto Leader::serviceOf(const ServiceId &Id, const ServiceConfig &Config)
    -> Service * {
  const auto Known = Services.find(Id);
  // A replaced leader's last write may come after the takeover.
  if (Known != Services.end() && !overwritten(Id, Known->second))
    return &Known->second;
  if (Around.Own.confirmedAt() <= RecordsKnownAfter)
    return nullptr;
  Services.erase(Id);
  RangeRecord Recorded;
  std::uint64_t Revision = 0;
  const auto Object = Around.Own.objects().find(rangeObject(Id));
  if (Object != Around.Own.objects().end()) {
    auto Parsed = RangeRecord::parse(Object->second.Value, Config.NumberedKeys);
    if (!Parsed) {
      // Without the recorded tokens no safe grant can be made.
      Around.Events.write(EventLine("ranges-unreadable")
                              .field("service", Id.str())
                              .field("reason", Parsed.error().message()));
      return nullptr;
    }
    Recorded = std::move(Parsed).value();
    Revision = Object->second.Revision;
  }
  auto &Added = Services
                    .try_emplace(Id, RangeKeeper(Config.NumberedKeys, Times),
                                 ++LastService)
                    .first->second;
  Added.Keeper.takeOver(std::move(Recorded), Revision, bootNow());
  return &Added;
}

auto Leader::usualWorkMs(const Service &Own) const -> double {
  double Sum = 0;
  for (const auto &[Id, Work] : Own.WorkMs)
    Sum += Work;
  return Own.WorkMs.empty() ? 0 : Sum / static_cast<double>(Own.WorkMs.size());
}

auto Leader::viewOf(const ServiceId &Id, const Service &Own,
                    TimePoint Now) const -> RangeKeeper::View {
  RangeKeeper::View View;
  const double Usual = usualWorkMs(Own);
  View.WorkSeconds = Usual / 1000;
  bool AllCold = true;
  for (const TargetPtr &Target : Around.Targets.ofService(Id)) {
    const TargetRecord &Record = Target->Record;
    View.Lives[Record.Id] = Record.StartedAtMs;
    if (!Around.Targets.takesRequests(*Target)) {
      View.Leaving.insert(Record.Id);
      continue;
    }
    if (Now < Target->DownUntil)
      continue;
    PlanTarget Each{Record.Id, Record.StartedAtMs,
                    static_cast<double>(Record.Slots), !Target->cold(Now)};
    const auto Work = Own.WorkMs.find(Record.Id);
    if (Work != Own.WorkMs.end())
      Each.Capacity *= std::clamp(Usual / std::max(1.0, Work->second),
                                  1 / CapacitySpread, CapacitySpread);
    AllCold = AllCold && !Each.TakesNewKeys;
    View.Targets.push_back(Each);
  }
  if (AllCold)
    for (PlanTarget &Each : View.Targets)
      Each.TakesNewKeys = true;
  return View;
}

auto Leader::tick(const Configuration &Config) -> void {
  if (!leading() || !Around.Own.loaded())
    return;
  const TimePoint Now = bootNow();
  recordSize(Now);
  for (const auto &[Id, Settings] : Config.Services) {
    if (Settings.Kind != ServiceKind::Divided || Settings.NumberedKeys == 0)
      continue;
    Service *Own = serviceOf(Id, Settings);
    if (!Own)
      continue;
    if (Own->Keeper.revision() == 0 && !allRegistered(Id, Now))
      continue;
    if (Now >= Own->PlanAt && !Own->Writing) {
      Own->PlanAt = Now + PlanInterval;
      Own->Keeper.plan(viewOf(Id, *Own, Now), Own->Load, Now);
    }
    if (Own->Keeper.pendingWrite() && !Own->Writing && Now >= Own->WriteAt)
      write(Id, *Own);
    sendOrders(Id, *Own, Now);
  }
}

auto Leader::readSize(const StoredObject &Object) -> Result<std::uint32_t> {
  const auto Size = Object.Value.find("instances");
  if (Size == Object.Value.end() || !Size->is_number_unsigned())
    return Error("no number of instances");
  return Size->get<std::uint32_t>();
}

auto Leader::recordSize(TimePoint Now) -> void {
  if (Now < RecordSizeAt)
    return;
  RecordSizeAt = Now + SizeInterval;
  const auto Size = static_cast<std::uint32_t>(Members.size());
  const auto Object = Around.Own.objects().find(SizeObject);
  const bool Known = Object != Around.Own.objects().end();
  if (Known) {
    const auto Recorded = readSize(Object->second);
    if (Recorded && *Recorded >= Size && *Recorded <= LargestSizeFactor * Size)
      return;
  }
  Around.Store.write(
      Around.Protocol.Kinds.Own, SizeObject,
      Known ? Object->second.Revision : 0, {{"instances", Size}},
      [this, Size](const StoreWrite &Answer) {
        Around.Events.write(
            EventLine("fleet-size-written")
                .field("instances", Size)
                .field("status", StoreStatusNames.name(Answer.Status)));
      });
}

auto Leader::allRegistered(const ServiceId &Id, TimePoint Now) -> bool {
  Registration &Last = Registered[Id];
  const std::size_t Count = Around.Targets.ofService(Id).size();
  if (Count != Last.Targets)
    Last = {Count, Now};
  return Count > 0 && Now - Last.Since > RegistrationPause;
}

auto Leader::write(const ServiceId &Id, Service &Own) -> void {
  Own.Writing = true;
  const TimePoint SentAt = bootNow();
  Around.Store.write(
      Around.Protocol.Kinds.Own, rangeObject(Id), Own.Keeper.revision(),
      Own.Keeper.pendingWrite()->json(),
      [this, Id, SentAt, Term = Self.Term](const StoreWrite &Answer) {
        if (Self.Term == Term)
          writeEnded(Id, Answer, SentAt);
      });
}

auto Leader::writeEnded(const ServiceId &Id, const StoreWrite &Answer,
                        TimePoint SentAt) -> void {
  const auto Found = Services.find(Id);
  if (Found == Services.end())
    return;
  Service &Own = Found->second;
  const TimePoint Now = bootNow();
  Own.Writing = false;
  Around.Events.write(
      EventLine("ranges-written")
          .field("service", Id.str())
          .field("status", StoreStatusNames.name(Answer.Status))
          .field("ranges", Own.Keeper.pendingWrite()->Ranges.size())
          .field("revision", Answer.Object ? Answer.Object->Revision : 0));
  const bool Same = Answer.Object &&
                    Answer.Object->Value == Own.Keeper.pendingWrite()->json();
  if (Answer.Status == StoreStatus::Done ||
      (Answer.Status == StoreStatus::Conflict && Same)) {
    leadershipConfirmed(SentAt);
    Own.Keeper.writeDone(Answer.Object->Revision, Now);
    return sendOrders(Id, Own, Now);
  }
  if (Answer.Status != StoreStatus::Conflict) {
    // Whether it took effect is found out by writing it again.
    Own.WriteAt = Now + WriteRepeat;
    return;
  }
  superseded(Id);
}

auto Leader::superseded(const ServiceId &Id) -> void {
  Services.erase(Id);
  RecordsKnownAfter = bootNow();
  Around.Refresh();
}

auto Leader::overwritten(const ServiceId &Id, const Service &Own) const
    -> bool {
  const auto Object = Around.Own.objects().find(rangeObject(Id));
  return Object != Around.Own.objects().end() && !Own.Writing &&
         !Own.Keeper.pendingWrite() &&
         Object->second.Revision > Own.Keeper.revision();
}

auto Leader::sendOrders(const ServiceId &Id, Service &Own, TimePoint Now)
    -> void {
  for (const TargetId &Target : Own.Keeper.involved()) {
    if (!Own.Granting.contains(Target))
      if (const auto Call = Own.Keeper.nextGrant(Target, ConfirmedAt, Now)) {
        Own.Granting.insert(Target);
        order(Id, *Call);
      }
    while (Own.Releasing < MaxReleases) {
      const auto Call = Own.Keeper.nextRelease(Target, ConfirmedAt, Now);
      if (!Call)
        break;
      ++Own.Releasing;
      order(Id, *Call);
    }
  }
}

auto Leader::order(const ServiceId &Id, const RangeCall &Call) -> void {
  const TargetPtr Target = Around.Targets.find(Call.Target);
  const auto Ended = [this, Id, Call, Number = Services.at(Id).Number](
                         RangeAnswer Answer, const std::string &Handover) {
    const auto Found = Services.find(Id);
    if (Found != Services.end() && Found->second.Number == Number)
      orderEnded(Id, Call, Answer, Handover);
  };
  if (!Target || Target->Record.StartedAtMs != Call.StartedAt) {
    // This life is gone, and its address may belong to another target.
    boost::asio::post(Around.Io, [Ended] { Ended(RangeAnswer::NotSent, ""); });
    return;
  }
  Orders.send(Target->Record, Call, Ended);
}

auto Leader::orderEnded(const ServiceId &Id, const RangeCall &Call,
                        RangeAnswer Answer, const std::string &Handover)
    -> void {
  Service &Own = Services.at(Id);
  const TimePoint Now = bootNow();
  if (Call.What == RangeCall::Kind::Grant)
    Own.Granting.erase(Call.Target);
  else
    --Own.Releasing;
  Own.Keeper.callEnded(Call, Answer, Handover, Now);
  logOrder(Id, Call, Answer, !Handover.empty());
  // The target has accepted a later leader's token.
  if (Answer == RangeAnswer::Refused)
    return superseded(Id);
  announce(Id, Own);
  sendOrders(Id, Own, Now);
}

auto Leader::logOrder(const ServiceId &Id, const RangeCall &Call,
                      RangeAnswer Answer, bool Handover) -> void {
  const bool Renewal =
      Answer == RangeAnswer::Accepted && Call.What == RangeCall::Kind::Grant;
  // A leader that reaches no target would write nothing else.
  if (Renewal || !Around.Events.admits(EventClass::Failure, bootNow()))
    return;
  Around.Events.write(EventLine("order-ended")
                          .field("service", Id.str())
                          .field("order", RangeCallNames.name(Call.What))
                          .field("target", Call.Target.str())
                          .field("from", Call.From)
                          .field("to", Call.To)
                          .field("fence", Call.Fence)
                          .field("answer", RangeAnswerNames.name(Answer))
                          .field("handover", Handover));
}

auto Leader::announce(const ServiceId &Id, Service &Own) -> void {
  GrantNotice Notice;
  Notice.Term = Self.Term;
  Notice.Fences[Id] = Own.Keeper.takeGranted();
  // Owners that stay the same need no notice.
  std::erase_if(Notice.Fences[Id], [&Own](std::uint64_t Fence) {
    for (const KeyRange &Range : Own.Keeper.record().Ranges)
      if (Range.Fence == Fence)
        return Range.Donor.empty();
    return true;
  });
  if (Notice.Fences[Id].empty())
    return;
  Around.OnGranted(Notice);
  for (const auto &[Name, Other] : Members)
    if (Name != Self.Instance)
      Around.Send(Other.Address, Notice);
}

} // namespace buckthornring
