// The start and end of a leadership, its periodic work and the fleet size.

#include "Gateway/Leader.h"

#include "Fleet/StoreRevision.h"
#include "IO/BootClock.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

constexpr Duration PlanInterval = std::chrono::milliseconds(250);

/// Interval at which the recorded fleet size is compared with the actual one.
constexpr Duration FleetSizeInterval = std::chrono::seconds(3);

/// The recorded fleet size is replaced when it is below the actual size or
/// above this multiple of it. Too large a number is safe, since the parts of a
/// rate computed from it are too small.
constexpr std::uint32_t MaxRecordedSizeFactor = 2;

} // namespace

auto Leader::rangeObjectName(const ServiceId &Service) -> std::string {
  return std::string(RangeObjectPrefix) + Service.str();
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

auto Leader::fleetSizeObjectParts() -> JsonParts {
  constexpr std::size_t MaxValues = 16;
  return {.Members = {"instances", "ended_before"},
          .Depth = 1,
          .Values = MaxValues};
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

} // namespace buckthornring
