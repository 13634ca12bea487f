// The records of key ranges that the leader reads, plans and writes.

#include "Gateway/Leader.h"

#include "Fleet/StoreRevision.h"
#include "Gateway/ObjectEra.h"
#include "IO/BootClock.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

/// Delay before a write of the ranges is repeated that was refused or got no
/// answer.
constexpr Duration WriteRetryDelay = std::chrono::milliseconds(400);

/// Time without a newly registered target after which the first assignment is
/// made, so that targets that start together share the keys evenly.
constexpr Duration RegistrationQuietPeriod = std::chrono::milliseconds(700);

/// Bound of the factor by which a target's speed against the mean raises or
/// lowers its capacity.
constexpr double MaxCapacityFactor = 2.5;

} // namespace

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

} // namespace buckthornring
