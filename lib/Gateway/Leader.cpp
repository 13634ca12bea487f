#include "Gateway/Leader.h"

#include "Fleet/StoreRevision.h"
#include "Gateway/ObjectEra.h"
#include "IO/BootClock.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

constexpr Duration PlanInterval = std::chrono::milliseconds(250);

/// Delay before a write of the ranges is repeated that was refused or got no
/// answer.
constexpr Duration WriteRetryDelay = std::chrono::milliseconds(400);

/// Unanswered releases at one time, over all targets of a service. Each one
/// occupies a connection.
constexpr std::uint32_t MaxPendingReleases = 48;

/// Instances in other data centres that each instance is told of, for the
/// exchange of load reports: enough to lose some of them.
constexpr std::size_t ContactsOfInstance = 4;

/// An instance that has not reported for this time is no longer counted as a
/// member of the fleet.
constexpr Duration MemberTimeout = std::chrono::seconds(6);

/// Time after the start of a leadership by which all instances have reported
/// several times.
constexpr Duration InitialReportPeriod = std::chrono::milliseconds(1000);

/// Minimum number of instances in a data centre for one of them to read the
/// store for all. The relay proves its contact with the store 2.5 times a
/// second, which costs as many calls as the watches of three instances on a day
/// with changes.
constexpr std::size_t MinRelayedInstances = 6;

/// Time after the start of a leadership by which each instance has reported
/// once, and the largest instances of each data centre are known.
constexpr Duration RelaySelectionDelay = std::chrono::milliseconds(500);

/// A relay that has not reported for this time is replaced.
constexpr Duration RelayTimeout = std::chrono::milliseconds(1300);

/// Interval at which the recorded fleet size is compared with the actual one.
constexpr Duration FleetSizeInterval = std::chrono::seconds(3);

/// The recorded fleet size is replaced when it is below the actual size or
/// above this multiple of it. Too large a number is safe, since the parts of a
/// rate computed from it are too small.
constexpr std::uint32_t MaxRecordedSizeFactor = 2;

/// Time without a newly registered target after which the first assignment is
/// made, so that targets that start together share the keys evenly.
constexpr Duration RegistrationQuietPeriod = std::chrono::milliseconds(700);

/// Weight of one report in the moving average of a target's time per request.
constexpr double WorkSmoothingFactor = 0.15;

/// Bound of the factor by which a target's speed against the mean raises or
/// lowers its capacity.
constexpr double MaxCapacityFactor = 2.5;

} // namespace

auto Leader::rangeObjectName(const ServiceId &Service) -> std::string {
  return "ranges." + Service.str();
}

auto Leader::start(LeaderInfo NewSelf, TimePoint ClaimSentAt,
                   bool StoreRestored, const EarlierLeaders &Earlier) -> void {
  Self = std::move(NewSelf);
  StartedAt = bootNow();
  TermTakenAt = StartedAt;
  if (Context.RolloutDecisions)
    Context.RolloutDecisions->reset();
  MayLackRecords = StoreRestored;
  ConfirmedAt = ClaimSentAt;
  RecordsStaleBefore = LongAgo;
  // All instances have reported by then.
  NextSizeCheckAt = StartedAt + FleetSizeInterval;
  Services.clear();
  Members.clear();
  OwnerPauses.clear();
  Rates = RateDivider();
  Reserve = RateReserve(Tolerance);
  OrderedServices.clear();
  Evidence.begin(Earlier, Self.Term, StartedAt);
  Evidence.ended(Self.Process, OrdersEndedAt);
  // Its address is used by one process at a time.
  for (const LeaderInfo &Each : Earlier.Leaders)
    if (Each.Address == Self.Address && Each.Process != Self.Process)
      Evidence.ended(Each.Process, CreatedAt);
  Context.Events.write(EventLine("leadership-taken")
                           .field("term", Self.Term)
                           .field("earlier_leaders", Earlier.Leaders.size())
                           .field("earlier_unknown", Earlier.MayBeMore));
}

auto Leader::continueAs(LeaderInfo NewSelf, TimePoint ClaimSentAt) -> void {
  const TimePoint Now = bootNow();
  // Another leader may have granted keys, and its records may be lost.
  const bool Lapsed = Now - ConfirmedAt > Times.AuthorityPeriod;
  TermTakenAt = Now;
  Self = std::move(NewSelf);
  Context.Events.write(EventLine("leadership-continued")
                           .field("term", Self.Term)
                           .field("era", eraOf(Self.Term))
                           .field("services_kept", !Lapsed));
  if (Lapsed) {
    Orders.clear();
    Services.clear();
  }
  for (auto &[Id, State] : Services)
    State.Keeper.claimedAgain(ConfirmedAt, Now);
  // Leaders whose claims are lost are unknown.
  Evidence.begin({}, Self.Term, Now);
  MayLackRecords = true;
  ConfirmedAt = std::max(ConfirmedAt, ClaimSentAt);
  NextSizeCheckAt = Now;
  // Answers to writes of the earlier term are ignored.
  for (auto &[Id, State] : Services) {
    State.WritePending = false;
    State.NextWriteAt = Now;
  }
}

auto Leader::stop() -> void {
  if (!leading())
    return;
  Context.Events.write(EventLine("leadership-left").field("term", Self.Term));
  Self = LeaderInfo();
  Orders.clear();
  OrdersEndedAt = bootNow();
  Services.clear();
}

auto Leader::answer(const AuthorityQuery &Query,
                    const std::string &OwnProcess) const -> AuthorityAnswer {
  // The process named was this one, or an earlier one at its address, which had
  // ended before this one opened its socket there.
  const TimePoint EndedAt =
      Query.Process == OwnProcess ? OrdersEndedAt : CreatedAt;
  constexpr Duration LongestAge = std::chrono::hours(24);
  const Duration Age = std::min(bootNow() - EndedAt, LongestAge);
  const bool Ended = Query.Process != OwnProcess || !leading();
  AuthorityAnswer Answer;
  Answer.Term = Query.Leader.Term;
  Answer.Process = Query.Process;
  Answer.Ended = Ended;
  Answer.LastOrderAgeMs =
      static_cast<std::uint32_t>(Age / std::chrono::milliseconds(1));
  if (Query.Process == OwnProcess)
    addOlderOrders(Answer);
  return Answer;
}

auto Leader::addOlderOrders(AuthorityAnswer &Answer) const -> void {
  for (const auto &[Target, EndedAt] : Orders.lastOrderEnds()) {
    const auto AgeMs = static_cast<std::uint32_t>((bootNow() - EndedAt) /
                                                  std::chrono::milliseconds(1));
    const Duration Older =
        std::chrono::milliseconds(AgeMs - Answer.LastOrderAgeMs);
    // The orders of other owners have ended within the last interval.
    if (AgeMs > Answer.LastOrderAgeMs && Older > Times.RenewInterval &&
        Answer.OlderOrderAgesMs.size() < MaxOlderOrderAges)
      Answer.OlderOrderAgesMs[Target] = AgeMs;
  }
}

auto Leader::askEarlierLeaders(TimePoint Now) -> void {
  for (const LeaderInfo &Each : Evidence.dueQueries(Now))
    Context.Send(Each.Address, AuthorityQuery{Self, Each.Process});
}

auto Leader::onAuthorityAnswer(const AuthorityAnswer &Answer) -> void {
  const TimePoint Now = bootNow();
  const bool WasKnown = Evidence.lastOrderEnds().has_value();
  if (!leading() || !Evidence.onAnswer(Answer, Now))
    return;
  Context.Events.write(
      EventLine("earlier-leader-ended")
          .field("process", Answer.Process)
          .field("term", Answer.Term)
          .field("last_order_age_ms", Answer.LastOrderAgeMs)
          .field("all_ended", Evidence.lastOrderEnds().has_value()));
  if (WasKnown)
    return;
  for (auto &[Id, State] : Services)
    applyEvidence(Id, State, Now);
}

auto Leader::applyEvidence(const ServiceId &Id, ServiceState &State,
                           TimePoint Now) -> void {
  const auto Ends = Evidence.lastOrderEnds();
  if (!Ends || !State.FirstTakeover)
    return;
  State.Keeper.earlierLeadersEnded(*Ends, Now);
  Context.Events.write(
      EventLine("earlier-grants-bounded")
          .field("service", Id.str())
          .field("left_ms", std::max(Ends->Latest + Times.maxHoldPeriod() - Now,
                                     Duration(0))));
}

auto Leader::resign() -> void {
  for (const auto &[Name, Other] : Members) {
    FleetReply Notice;
    Notice.Leader = Self;
    Notice.Resigned = true;
    if (Name != Self.Instance)
      Context.Send(Other.Address, Notice);
  }
  stop();
}

auto Leader::handleReport(const FleetReport &Report, const std::string &Address,
                          bool StoreReachable) -> FleetReply {
  const TimePoint Now = bootNow();
  if (Report.Leaving)
    Members.erase(Report.Instance);
  else
    Members[Report.Instance] = {Address,         Report.DataCentre,
                                Report.Capacity, Report.StoreReachable,
                                Report.Seen,     Now};
  std::erase_if(Members, [Now](const auto &Entry) {
    return Now - Entry.second.ReportedAt > MemberTimeout;
  });
  recordOwnerNotices(Report, Now);
  if (Context.RolloutDecisions)
    Context.RolloutDecisions->handleReport(Report.Instance, Report.Process,
                                           Report.Rollouts, Now);
  const RelayPair Relays = selectRelays(Report.DataCentre, Now);
  // The relay of a data centre also holds its shares of the rates: divided
  // among hundreds of instances, most rates would leave less than one token to
  // each.
  const std::string &SenderAddress =
      Report.Instance == Self.Instance ? Self.Address : Address;
  const bool HoldsShares =
      Relays.Primary.empty() || Relays.Primary == SenderAddress;
  if (HoldsShares)
    Rates.recordDemand(Report.Instance, Report.Demand,
                       std::chrono::milliseconds(Report.CountPeriodMs), Now);
  else
    Rates.remove(Report.Instance);
  Rates.expire(Now);
  // The leader reports to itself once per report interval, so the parts are
  // computed once per interval.
  if (Report.Instance == Self.Instance)
    Rates.recompute();
  for (const auto &[Id, Keys] : Report.Keys) {
    const auto Found = Services.find(Id);
    if (Found != Services.end())
      for (const std::uint32_t Key : Keys)
        Found->second.Load.add(Key, Now);
  }
  recordOwnerOutcomes(Report, Now);
  FleetReply Reply;
  Reply.Leader = Self;
  Reply.StoreReachable = StoreReachable;
  Reply.SharesValid = Now - StartedAt > InitialReportPeriod;
  Reply.RateHolders = std::max(1U, Rates.instances());
  if (HoldsShares) {
    const auto Parts = Rates.sharesOf(Report.Instance);
    Reply.WorkspaceShares = Parts.ByWorkspace;
    Reply.DefaultShare = Parts.DefaultShare;
  } else {
    Reply.RateKeeper = Relays.Primary;
  }
  Reply.Instances =
      std::max(Reply.RateHolders, static_cast<std::uint32_t>(Members.size()));
  Reply.InstancesInDataCentre = static_cast<std::uint32_t>(
      std::count_if(Members.begin(), Members.end(), [&](const auto &Entry) {
        return Entry.second.DataCentre == Report.DataCentre;
      }));
  Reply.Relay = Relays.Primary;
  Reply.BackupRelay = Relays.Backup;
  addContacts(Report, Reply);
  addNeighbours(Report, Reply);
  if (Context.RolloutDecisions)
    Reply.Rollouts = Context.RolloutDecisions->notices(Now);
  for (const auto &[Id, Other] : Members) {
    if (Other.StoreReachable && Now - Other.ReportedAt < RelayTimeout)
      Reply.LargestCapacity = std::max(Reply.LargestCapacity, Other.Capacity);
    const SeenRevisions &Seen = Other.Seen;
    const bool Newer = Seen.Configuration > Reply.Seen.Configuration ||
                       Seen.Targets > Reply.Seen.Targets ||
                       Seen.Evacuations > Reply.Seen.Evacuations;
    if (Newer && Id != Report.Instance)
      Reply.SeenByAddress = addressOf(Id, Other);
    Reply.Seen.Configuration =
        std::max(Reply.Seen.Configuration, Seen.Configuration);
    Reply.Seen.Targets = std::max(Reply.Seen.Targets, Seen.Targets);
    Reply.Seen.Evacuations = std::max(Reply.Seen.Evacuations, Seen.Evacuations);
  }
  return Reply;
}

auto Leader::recordOwnerNotices(const FleetReport &Report, TimePoint Now)
    -> void {
  std::erase_if(OwnerPauses,
                [Now](const auto &Entry) { return Now >= Entry.second.Until; });
  for (const auto &[Id, Notice] : Report.OwnerNotices) {
    const TargetPtr Target = Context.Targets.find(Id);
    if (!Target || Target->Record.StartedAtMs != Notice.StartedAtMs)
      continue;
    if (Notice.Leaving)
      Context.Announcements.recordReported(Target->Record, Report.Instance);
    const TimePoint Until = Now + std::chrono::milliseconds(Notice.PauseMs);
    OwnerPause &Known = OwnerPauses[Id];
    if (Known.StartedAt != Notice.StartedAtMs || Known.Until < Until)
      Known = {Notice.StartedAtMs, Until};
  }
}

auto Leader::handsKeysOver(const TargetState &Target, TimePoint Now) const
    -> bool {
  if (!Context.Targets.takesRequests(Target))
    return true;
  TimePoint Until = Target.Announced->pausedUntil();
  const auto Reported = OwnerPauses.find(Target.Record.Id);
  if (Reported != OwnerPauses.end() &&
      Reported->second.StartedAt == Target.Record.StartedAtMs)
    Until = std::max(Until, Reported->second.Until);
  return Until - Now >= MinPauseForHandover;
}

auto Leader::addressOf(const InstanceId &Id, const Member &Instance) const
    -> const std::string & {
  // A report of the leader to itself carries no sender address.
  return Id == Self.Instance ? Self.Address : Instance.Address;
}

auto Leader::selectRelays(const DataCentreId &DataCentre, TimePoint Now) const
    -> RelayPair {
  using Entry = std::pair<const InstanceId, Member>;
  const Entry *Best = nullptr;
  const Entry *Second = nullptr;
  std::size_t Count = 0;
  for (const Entry &Each : Members) {
    const Member &Candidate = Each.second;
    if (Candidate.DataCentre != DataCentre)
      continue;
    ++Count;
    if (!Candidate.StoreReachable || Now - Candidate.ReportedAt >= RelayTimeout)
      continue;
    if (!Best || Candidate.Capacity > Best->second.Capacity)
      Second = std::exchange(Best, &Each);
    else if (!Second || Candidate.Capacity > Second->second.Capacity)
      Second = &Each;
  }
  if (!Best || Count < MinRelayedInstances ||
      Now - StartedAt < RelaySelectionDelay)
    return {};
  return {addressOf(Best->first, Best->second),
          Second ? addressOf(Second->first, Second->second) : ""};
}

auto Leader::addNeighbours(const FleetReport &Report, FleetReply &Reply) const
    -> void {
  std::string Addresses;
  for (const auto &[Id, Other] : Members)
    if (Other.DataCentre == Report.DataCentre && Id != Report.Instance) {
      const std::string &Address = addressOf(Id, Other);
      Reply.Neighbours.push_back(Address);
      Addresses.append(Address).append(",");
    }
  for (const std::string &Contact : Reply.Contacts)
    Addresses.append(Contact).append(";");
  Reply.NeighboursVersion = std::hash<std::string>()(Addresses);
  if (Reply.NeighboursVersion != Report.KnownNeighboursVersion)
    return;
  Reply.Neighbours.clear();
  Reply.Contacts.clear();
}

auto Leader::addContacts(const FleetReport &Report, FleetReply &Reply) const
    -> void {
  std::vector<const std::string *> Outside;
  std::size_t Position = 0; ///< Of the receiver in its data centre.
  for (const auto &[Id, Other] : Members)
    if (Other.DataCentre != Report.DataCentre)
      Outside.push_back(&addressOf(Id, Other));
    else if (Id < Report.Instance)
      ++Position;
  const std::size_t Count = std::min(Outside.size(), ContactsOfInstance);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Reply.Contacts.push_back(
        *Outside[(Position + Index * Outside.size() / Count) % Outside.size()]);
}

auto Leader::membersOutside(const DataCentreId &DataCentre) const
    -> std::vector<std::string> {
  std::vector<std::string> Addresses;
  for (const auto &[Id, Other] : Members)
    if (Id != Self.Instance && Other.DataCentre != DataCentre)
      Addresses.push_back(Other.Address);
  return Addresses;
}

auto Leader::dataCentreOf(const std::string &Address) const -> DataCentreId {
  const auto Found =
      std::find_if(Members.begin(), Members.end(), [&](const auto &Entry) {
        return Entry.second.Address == Address;
      });
  return Found == Members.end() ? DataCentreId() : Found->second.DataCentre;
}

auto Leader::grantRate(const RateReserveRequest &Request,
                       const Configuration &Config) -> RateReserveReply {
  RateReserveReply Reply{Request.Workspace, 0, Request.Number};
  const auto Found = Config.Workspaces.find(Request.Workspace);
  if (leading() && Found != Config.Workspaces.end())
    Reply.Granted = Reserve.take(Request.Workspace, Found->second,
                                 Request.Wanted, Rates.instances(), bootNow());
  return Reply;
}

auto Leader::inOwnEra() const -> bool {
  return eraOf(Context.RouterObjectsFeed.revision()) == eraOf(Self.Term);
}

auto Leader::recordOf(const ServiceId &Id) const -> const StoredObject * {
  const auto &Objects = Context.RouterObjectsFeed.objects();
  const auto Found = Objects.find(rangeObjectName(Id));
  return Found == Objects.end() ? nullptr : &Found->second;
}

auto Leader::keepRecord(const ServiceId &Id, ServiceState &State) -> bool {
  const StoredObject *Object = recordOf(Id);
  const bool NewEra = eraOf(State.Keeper.revision()) != eraOf(Self.Term);
  // The last write of a replaced leader may take effect after the takeover.
  const bool Overwritten = recordOverwritten(Id, State);
  if (!NewEra && !Overwritten)
    return true;
  if (Object && !fromEarlierEra(*Object))
    return false;
  const std::uint64_t Revision =
      Object ? Object->Revision : makeRevision(eraOf(Self.Term), 0);
  rewriteRanges(Id, State, Revision);
  return true;
}

auto Leader::rewriteRanges(const ServiceId &Id, ServiceState &State,
                           std::uint64_t Revision) -> void {
  Context.Events.write(EventLine("ranges-rewritten")
                           .field("service", Id.str())
                           .field("era", eraOf(Revision))
                           .field("revision", Revision)
                           .field("reason", numberOf(Revision) == 0
                                                ? "no record in the store"
                                                : "earlier record in it"));
  State.Keeper.restored(Revision, bootNow());
}

auto Leader::recordToContinue(const ServiceId &Id, const ServiceConfig &Config)
    -> std::optional<RangeRecord> {
  const std::uint64_t Era = eraOf(Self.Term);
  const StoredObject *Object = recordOf(Id);
  Result<RangeRecord> Parsed =
      Object ? RangeRecord::parse(Object->Value, Config.NumberedKeys)
             : Result<RangeRecord>(RangeRecord());
  if (!Parsed)
    Context.Events.write(EventLine("ranges-unreadable")
                             .field("service", Id.str())
                             .field("reason", Parsed.error().message()));
  if (Object && !fromEarlierEra(*Object)) {
    // Without the recorded fencing tokens no safe grant can be made.
    return Parsed ? std::optional(std::move(Parsed).value()) : std::nullopt;
  }
  RangeRecord Newest = Parsed ? std::move(Parsed).value() : RangeRecord();
  const RangeRecord *Known = Context.NewestRanges(Id);
  if (Known && Known->valid(Config.NumberedKeys))
    Newest = *Known;
  if (!Object && !MayLackRecords && Newest.Ranges.empty()) {
    Newest.Era = Era;
    return Newest;
  }
  Context.Events.write(EventLine("ranges-incomplete")
                           .field("service", Id.str())
                           .field("written_in_era", Newest.Era)
                           .field("era", Era)
                           .field("reason", "the store may lack changes"));
  // The last record of this era may have been overwritten before it was read.
  if (Newest.Era == Era)
    Newest.Era = RangeRecord::UnknownEra;
  return Newest;
}

auto Leader::findOrLoadService(const ServiceId &Id, const ServiceConfig &Config)
    -> ServiceState * {
  const TimePoint Now = bootNow();
  const auto Existing = Services.find(Id);
  if (Existing != Services.end() && keepRecord(Id, Existing->second))
    return &Existing->second;
  if (Context.RouterObjectsFeed.confirmedAt() <= RecordsStaleBefore)
    return nullptr;
  Services.erase(Id);
  auto Recorded = recordToContinue(Id, Config);
  if (!Recorded)
    return nullptr;
  const StoredObject *Object = recordOf(Id);
  const std::uint64_t WriterTerm = Recorded->WriterTerm;
  auto &Added = Services
                    .try_emplace(Id, RangeAssigner(Config.NumberedKeys, Times),
                                 ++LastGeneration)
                    .first->second;
  Added.Keeper.takeOver(
      std::move(*Recorded),
      Object ? Object->Revision : makeRevision(eraOf(Self.Term), 0), Now);
  Added.FirstTakeover =
      !OrderedServices.contains(Id) && WriterTerm <= Self.Term;
  applyEvidence(Id, Added, Now);
  return &Added;
}

auto Leader::meanWorkMs(const ServiceState &State) const -> double {
  double Sum = 0;
  for (const auto &[Id, Work] : State.ProcessingTimeMs)
    Sum += Work;
  return State.ProcessingTimeMs.empty()
             ? 0
             : Sum / static_cast<double>(State.ProcessingTimeMs.size());
}

auto Leader::recordOwnerOutcomes(const FleetReport &Report, TimePoint Now)
    -> void {
  const auto StateOf = [this](const TargetId &Id) -> ServiceState * {
    const TargetPtr Target = Context.Targets.find(Id);
    const auto Found =
        Target ? Services.find(Target->Record.Service) : Services.end();
    return Found == Services.end() ? nullptr : &Found->second;
  };
  for (const auto &[Id, ProcessingTimeMs] : Report.ProcessingTimeMs)
    if (ServiceState *State = StateOf(Id)) {
      double &Average =
          State->ProcessingTimeMs.try_emplace(Id, ProcessingTimeMs)
              .first->second;
      Average += WorkSmoothingFactor * (ProcessingTimeMs - Average);
      // The number of successes is reported beside failures only.
      if (!Report.OwnerFailures.contains(Id))
        State->Failing.record(Id, {1, 0}, Now);
    }
  for (const auto &[Id, Outcomes] : Report.OwnerFailures)
    if (ServiceState *State = StateOf(Id))
      State->Failing.record(Id, Outcomes, Now);
}

auto Leader::updateFailingOwners(const ServiceId &Id, ServiceState &State,
                                 TimePoint Now) -> void {
  const std::size_t Targets = Context.Targets.targetsOfService(Id).size();
  for (const auto &[Target, Share, Length] : State.Failing.update(Targets, Now))
    Context.Events.write(EventLine("owner-excluded")
                             .field("service", Id.str())
                             .field("target", Target.str())
                             .field("failure_share", Share)
                             .field("duration_ms", Length));
}

auto Leader::buildView(const ServiceId &Id, const ServiceState &State,
                       TimePoint Now) const -> RangeAssigner::View {
  RangeAssigner::View View;
  const double Mean = meanWorkMs(State);
  View.ProcessingSeconds = Mean / 1000;
  bool AllCold = true;
  for (const TargetPtr &Target : Context.Targets.targetsOfService(Id)) {
    const TargetRecord &Record = Target->Record;
    View.Incarnations[Record.Id] = Record.StartedAtMs;
    const bool Disallowed =
        Context.Rollouts && !Context.Rollouts->mayOwnKeys(Record, Now);
    if (Disallowed || handsKeysOver(*Target, Now) ||
        State.Failing.excluded(Record.Id, Now)) {
      View.Leaving.insert(Record.Id);
      continue;
    }
    if (Now < Target->UnreachableUntil)
      continue;
    PlanTarget Candidate{Record.Id, Record.StartedAtMs,
                         static_cast<double>(Record.Slots), !Target->cold(Now)};
    const auto Work = State.ProcessingTimeMs.find(Record.Id);
    if (Work != State.ProcessingTimeMs.end())
      Candidate.Capacity *=
          std::clamp(Mean / std::max(1.0, Work->second), 1 / MaxCapacityFactor,
                     MaxCapacityFactor);
    AllCold = AllCold && !Candidate.TakesNewKeys;
    View.Targets.push_back(Candidate);
  }
  if (AllCold)
    for (PlanTarget &Each : View.Targets)
      Each.TakesNewKeys = true;
  return View;
}

auto Leader::tick(const Configuration &Config) -> void {
  if (!leading() || !Context.RouterObjectsFeed.loaded())
    return;
  const TimePoint Now = bootNow();
  if (!inOwnEra()) {
    // Owners keep their grants until this instance has claimed again.
    for (auto &[Id, State] : Services)
      sendOrders(Id, State, Now);
    return;
  }
  recordFleetSize(Now);
  askEarlierLeaders(Now);
  for (const auto &[Id, Settings] : Config.Services) {
    if (Settings.Kind != ServiceKind::Divided || Settings.NumberedKeys == 0)
      continue;
    ServiceState *State = findOrLoadService(Id, Settings);
    if (!State)
      continue;
    if (numberOf(State->Keeper.revision()) == 0 &&
        !State->Keeper.record().hasOwner() && !allRegistered(Id, Now))
      continue;
    if (Now >= State->NextPlanAt && !State->WritePending) {
      State->NextPlanAt = Now + PlanInterval;
      updateFailingOwners(Id, *State, Now);
      State->Keeper.plan(buildView(Id, *State, Now), State->Load, Now);
      logBalance(Id, *State);
    }
    if (State->Keeper.pendingWrite() && !State->WritePending &&
        Now >= State->NextWriteAt)
      writeRanges(Id, *State);
    sendOrders(Id, *State, Now);
  }
}

auto Leader::logBalance(const ServiceId &Id, const ServiceState &State)
    -> void {
  const MoveFigures &Figures = State.Keeper.figures();
  if (!State.Keeper.pendingWrite() || Figures.Moves + Figures.Joins == 0)
    return;
  Context.Events.write(
      EventLine("keys-balanced")
          .field("service", Id.str())
          .field("moves", Figures.Moves)
          .field("skipped", Figures.Skipped)
          .field("joins", Figures.Joins)
          .field("busy_keys", Figures.BusyKeys)
          .field("gain_ms",
                 static_cast<std::int64_t>(Figures.GainSeconds * 1e3))
          .field("cost_ms",
                 static_cast<std::int64_t>(Figures.CostSeconds * 1e3))
          .field("ranges", State.Keeper.pendingWrite()->Ranges.size()));
}

auto Leader::keysOutside(const ServiceId &Id, const std::string &To) const
    -> bool {
  const auto Found = Services.find(Id);
  if (Found == Services.end())
    return false;
  const auto &Ranges = Found->second.Keeper.record().Ranges;
  return std::any_of(Ranges.begin(), Ranges.end(), [&](const KeyRange &Range) {
    // A previous owner is recorded until the next one has its grant.
    for (const TargetId &Holder : {Range.Owner, Range.PreviousOwner}) {
      const TargetPtr Target = Context.Targets.find(Holder);
      if (Target && Target->Record.Version != To)
        return true;
    }
    return false;
  });
}

auto Leader::stepRollouts(const Configuration &Config, bool StoreReachable,
                          std::uint64_t Era) -> void {
  const TimePoint Now = bootNow();
  RolloutLeader::Fleet Current;
  Current.Leading = Now - StartedAt;
  for (const auto &[Id, Instance] : Members)
    Current.Members.insert(Id);
  Current.StoreReachable = StoreReachable;
  Current.Era = Era;
  Current.KeysOutside = [this](const ServiceId &Id, const std::string &To) {
    return keysOutside(Id, To);
  };
  Current.Divided = [&Config](const ServiceId &Id) {
    const auto Found = Config.Services.find(Id);
    return Found != Config.Services.end() &&
           Found->second.Kind == ServiceKind::Divided;
  };
  Context.RolloutDecisions->tick(Current, Now);
}

auto Leader::readFleetSize(const StoredObject &Object)
    -> Result<std::uint32_t> {
  const auto Size = Object.Value.find("instances");
  if (Size == Object.Value.end() || !Size->is_number_unsigned() ||
      !std::in_range<std::uint32_t>(Size->get<std::uint64_t>()))
    return Error("\"instances\" is missing or no unsigned 32-bit integer");
  return Size->get<std::uint32_t>();
}

auto Leader::readEndedBefore(const StoredObject &Object) -> std::uint64_t {
  const auto Term = Object.Value.find("ended_before");
  return Term != Object.Value.end() && Term->is_number_unsigned()
             ? Term->get<std::uint64_t>()
             : 0;
}

auto Leader::recordFleetSize(TimePoint Now) -> void {
  if (Now < NextSizeCheckAt)
    return;
  NextSizeCheckAt = Now + FleetSizeInterval;
  const auto Size = static_cast<std::uint32_t>(Members.size());
  const auto Object =
      Context.RouterObjectsFeed.objects().find(FleetSizeObjectName);
  const bool IsRecorded = Object != Context.RouterObjectsFeed.objects().end();
  // When all instances restart, nobody remembers when the terms began.
  const bool EarlierEnded =
      Now - TermTakenAt > Times.maxAuthorityPeriod() + Times.maxHoldPeriod();
  const std::uint64_t RecordedEnd =
      IsRecorded ? readEndedBefore(Object->second) : 0;
  const std::uint64_t EndedBefore =
      EarlierEnded ? Self.Term : std::min(RecordedEnd, Self.Term);
  if (IsRecorded) {
    const auto Recorded = readFleetSize(Object->second);
    if (Recorded && *Recorded >= Size &&
        *Recorded <= MaxRecordedSizeFactor * Size && EndedBefore == RecordedEnd)
      return;
  }
  Context.Store.write(
      Context.Protocol.Kinds.Own, FleetSizeObjectName,
      IsRecorded ? Object->second.Revision : 0,
      {{"instances", Size}, {"ended_before", EndedBefore}},
      [this, Size](const StoreWriteResult &Answer) {
        Context.Events.write(
            EventLine("fleet-size-written")
                .field("instances", Size)
                .field("status", StoreStatusNames.name(Answer.Status)));
      });
}

auto Leader::allRegistered(const ServiceId &Id, TimePoint Now) -> bool {
  Registration &Previous = Registrations[Id];
  const std::size_t Count = Context.Targets.targetsOfService(Id).size();
  if (Count != Previous.TargetCount)
    Previous = {Count, Now};
  return Count > 0 && Now - Previous.ChangedAt > RegistrationQuietPeriod;
}

auto Leader::recordToWrite(const ServiceState &State) const -> nlohmann::json {
  RangeRecord Record = *State.Keeper.pendingWrite();
  Record.WriterTerm = Self.Term;
  return Record.json();
}

auto Leader::writeRanges(const ServiceId &Id, ServiceState &State) -> void {
  State.WritePending = true;
  const TimePoint SentAt = bootNow();
  const std::uint64_t Recorded = State.Keeper.revision();
  Context.Store.write(
      Context.Protocol.Kinds.Own, rangeObjectName(Id),
      numberOf(Recorded) == 0 ? 0 : Recorded, recordToWrite(State),
      [this, Id, SentAt, Term = Self.Term,
       Generation = State.Generation](const StoreWriteResult &Answer) {
        const auto Found = Services.find(Id);
        if (Self.Term == Term && Found != Services.end() &&
            Found->second.Generation == Generation)
          onRangesWritten(Id, Found->second, Answer, SentAt);
      });
}

auto Leader::onRangesWritten(const ServiceId &Id, ServiceState &State,
                             const StoreWriteResult &Answer, TimePoint SentAt)
    -> void {
  const TimePoint Now = bootNow();
  State.WritePending = false;
  Context.Events.write(
      EventLine("ranges-written")
          .field("service", Id.str())
          .field("status", StoreStatusNames.name(Answer.Status))
          .field("ranges", State.Keeper.pendingWrite()->Ranges.size())
          .field("revision", Answer.Object ? Answer.Object->Revision : 0));
  const bool SameContents =
      Answer.Object && Answer.Object->Value == recordToWrite(State);
  const bool SameEra =
      Answer.Object && eraOf(Answer.Object->Revision) == eraOf(Self.Term);
  if (SameEra && (Answer.Status == StoreStatus::Done ||
                  (Answer.Status == StoreStatus::Conflict && SameContents))) {
    leadershipConfirmed(SentAt);
    State.Keeper.writeDone(Answer.Object->Revision, Now);
    return sendOrders(Id, State, Now);
  }
  onRangesNotWritten(Id, State, Answer);
}

auto Leader::onRangesNotWritten(const ServiceId &Id, ServiceState &State,
                                const StoreWriteResult &Answer) -> void {
  const TimePoint Now = bootNow();
  // The write may have taken effect; repeating it shows whether it did.
  State.NextWriteAt = Now + WriteRetryDelay;
  const bool Answered = Answer.Status == StoreStatus::Done ||
                        Answer.Status == StoreStatus::Conflict ||
                        Answer.Status == StoreStatus::Absent;
  if (!Answered)
    return;
  if (!Answer.Object || eraOf(Answer.Object->Revision) != eraOf(Self.Term))
    // The store was restored. Its objects tell how to continue.
    return Context.RefreshOwnFeed();
  if (fromEarlierEra(*Answer.Object))
    return rewriteRanges(Id, State, Answer.Object->Revision);
  onSuperseded(Id);
}

auto Leader::onSuperseded(const ServiceId &Id) -> void {
  Services.erase(Id);
  RecordsStaleBefore = bootNow();
  Context.RefreshOwnFeed();
}

auto Leader::recordOverwritten(const ServiceId &Id,
                               const ServiceState &State) const -> bool {
  const auto Object =
      Context.RouterObjectsFeed.objects().find(rangeObjectName(Id));
  return Object != Context.RouterObjectsFeed.objects().end() &&
         !State.WritePending && !State.Keeper.pendingWrite() &&
         Object->second.Revision > State.Keeper.revision();
}

auto Leader::sendOrders(const ServiceId &Id, ServiceState &State, TimePoint Now)
    -> void {
  for (const TargetId &Target : State.Keeper.involvedTargets())
    sendOrdersTo(Target, Id, State, Now);
}

auto Leader::sendOrdersTo(const TargetId &Target, const ServiceId &Id,
                          ServiceState &State, TimePoint Now) -> void {
  if (!State.PendingGrants.contains(Target))
    if (const auto Call = State.Keeper.nextGrant(Target, ConfirmedAt, Now)) {
      State.PendingGrants.insert(Target);
      sendOrder(Id, *Call);
    }
  while (State.PendingReleases < MaxPendingReleases) {
    const auto Call = State.Keeper.nextRelease(Target, ConfirmedAt, Now);
    if (!Call)
      break;
    ++State.PendingReleases;
    sendOrder(Id, *Call);
  }
}

auto Leader::sendOrder(const ServiceId &Id, const RangeOrder &Call) -> void {
  const TargetPtr Target = Context.Targets.find(Call.Target);
  const auto OnEnded =
      [this, Id, Call, Generation = Services.at(Id).Generation](
          RangeOrderOutcome Answer, const std::string &Handover) {
        const auto Found = Services.find(Id);
        if (Found != Services.end() && Found->second.Generation == Generation)
          onOrderEnded(Id, Call, Answer, Handover);
      };
  if (!Target || Target->Record.StartedAtMs != Call.StartedAt) {
    // The target has restarted since, or its record is gone, and its address
    // may belong to another target.
    boost::asio::post(Context.Io,
                      [OnEnded] { OnEnded(RangeOrderOutcome::NotSent, ""); });
    return;
  }
  if (!Call.PreviousOwner.empty())
    logFirstGrant(Id, Call);
  OrderedServices.insert(Id);
  Orders.send(Target->Record, Call, OnEnded);
}

auto Leader::logFirstGrant(const ServiceId &Id, const RangeOrder &Call)
    -> void {
  const TargetPtr Previous = Context.Targets.find(Call.PreviousOwner);
  Context.Events.write(
      EventLine("keys-granted")
          .field("service", Id.str())
          .field("target", Call.Target.str())
          .field("from", Call.From)
          .field("to", Call.To)
          .field("fence", Call.Fence)
          .field("previous_owner", Call.PreviousOwner.str())
          .field("previous_started_at", Call.PreviousOwnerStartedAt)
          .field("known_started_at",
                 Previous ? Previous->Record.StartedAtMs : 0)
          .field("previous_end", PreviousOwnerEndNames.name(Call.PreviousEnd))
          .field("hold_left_ms", Call.PreviousHoldLeft));
}

auto Leader::onOrderEnded(const ServiceId &Id, const RangeOrder &Call,
                          RangeOrderOutcome Answer, const std::string &Handover)
    -> void {
  ServiceState &State = Services.at(Id);
  const TimePoint Now = bootNow();
  const bool ReleasesWereFull = State.PendingReleases == MaxPendingReleases;
  if (Call.Type == RangeOrder::Kind::Grant)
    State.PendingGrants.erase(Call.Target);
  else
    --State.PendingReleases;
  State.Keeper.onOrderEnded(Call, Answer, Handover, Now);
  logOrder(Id, Call, Answer, !Handover.empty());
  // The target has accepted the fencing token of a later leader.
  if (Answer == RangeOrderOutcome::Refused)
    return onSuperseded(Id);
  announceGrants(Id, State);
  if (ReleasesWereFull && State.PendingReleases < MaxPendingReleases)
    return sendOrders(Id, State, Now);
  for (const TargetId &Target : State.Keeper.targetsAfter(Call))
    sendOrdersTo(Target, Id, State, Now);
}

auto Leader::logOrder(const ServiceId &Id, const RangeOrder &Call,
                      RangeOrderOutcome Answer, bool Handover) -> void {
  const bool Renewal = Answer == RangeOrderOutcome::Accepted &&
                       Call.Type == RangeOrder::Kind::Grant;
  // Failures are limited by the log: a leader that reaches no target would
  // otherwise write nothing else.
  if (Renewal || !Context.Events.admits(EventClass::Failure, bootNow()))
    return;
  Context.Events.write(EventLine("order-ended")
                           .field("service", Id.str())
                           .field("order", RangeOrderNames.name(Call.Type))
                           .field("target", Call.Target.str())
                           .field("from", Call.From)
                           .field("to", Call.To)
                           .field("fence", Call.Fence)
                           .field("answer", RangeOrderOutcomeNames.name(Answer))
                           .field("handover", Handover));
}

auto Leader::announceGrants(const ServiceId &Id, ServiceState &State) -> void {
  GrantNotice Notice;
  Notice.Term = Self.Term;
  Notice.Fences[Id] = State.Keeper.takeGranted();
  // Ranges whose owner did not change need no notice.
  std::erase_if(Notice.Fences[Id], [&State](std::uint64_t Fence) {
    for (const KeyRange &Range : State.Keeper.record().Ranges)
      if (Range.Fence == Fence)
        return Range.PreviousOwner.empty();
    return true;
  });
  if (Notice.Fences[Id].empty())
    return;
  Context.OnGranted(Notice);
  for (const auto &[Name, Other] : Members)
    if (Name != Self.Instance)
      Context.Send(Other.Address, Notice);
}

} // namespace buckthornring
