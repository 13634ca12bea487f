#include "Ownership/ServiceLeader.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>

namespace buckthornring {

ServiceLeader::ServiceLeader(OwnedService Service, SliceMap Map,
                             OwnershipContext &Context)
    : Context(Context), Map(std::move(Map)), Store(Context, this->Map),
      Leases(Context.Times, Context.Switches), Load(this->Map.slices()),
      Planner(AssignmentPlanner::Options()) {
  configure(std::move(Service));
}

auto ServiceLeader::configure(OwnedService Changed) -> void {
  Service = std::move(Changed);
  std::set<TargetId> All;
  for (const auto &[Target, Serving] : Service.Targets)
    All.insert(Target);
  // A target that left the configuration is asked to release first.
  for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice)
    if (!Map.at(Slice).Owner.empty())
      All.insert(Map.at(Slice).Owner);
  Targets.assign(All.begin(), All.end());
  for (const TargetId &Target : Targets)
    Leases.add(Target);
}

auto ServiceLeader::home(std::uint32_t Slice) const -> bool {
  return Service.Home.empty() || Service.Home[Slice];
}

auto ServiceLeader::known(const TargetId &Target) const -> bool {
  return std::binary_search(Targets.begin(), Targets.end(), Target);
}

auto ServiceLeader::alive(const TargetId &Target, TimePoint Now) const -> bool {
  if (verified())
    return known(Target) && Leases.alive(Target, Now);
  const auto Place = HeardAt.find(Target);
  return Place != HeardAt.end() &&
         Now < Place->second + 3 * Context.Times.RenewEvery;
}

auto ServiceLeader::usable(const TargetId &Target, TimePoint Now) const
    -> bool {
  const auto Place = Service.Targets.find(Target);
  return Place != Service.Targets.end() &&
         Place->second == ServingState::InService && alive(Target, Now);
}

auto ServiceLeader::lost(const TargetId &Target, TimePoint Now) const -> bool {
  return !alive(Target, Now) && Now >= TermSince + 3 * Context.Times.RenewEvery;
}

/// Returns the time from which the target holds no slice, if it stays silent.
auto ServiceLeader::clearAt(const TargetId &Target) const
    -> std::optional<TimePoint> {
  if (!Context.Switches.LeaseWait)
    return TimePoint();
  if (Service.ConfirmedLost.contains(Target) && !Leases.acknowledged(Target))
    return TimePoint();
  TimePoint Clear = Leases.leaseEnd(Target);
  const Duration Lease = Context.stretched(Context.Times.TargetLease);
  if (Context.Term.lapsedAt())
    Clear = std::max(Clear, *Context.Term.lapsedAt() + Lease);
  // A target that acknowledged refuses all earlier leaders and deputies.
  if (Leases.acknowledged(Target) || !Context.Switches.Fencing)
    return Clear;
  const auto Silent = Context.Term.silentAt();
  if (!Silent)
    return std::nullopt;
  return std::max(Clear, *Silent + Lease);
}

/// Returns the time from which no routing lease of an earlier leader, and no
/// request sent under it, exists.
auto ServiceLeader::routingClearAt() const -> std::optional<TimePoint> {
  if (!Context.Switches.RoutingLeaseWait)
    return TimePoint();
  const Duration Tail = Context.stretched(Context.Times.RoutingLease) +
                        Context.stretched(Service.MaxDeadline);
  std::optional<TimePoint> Clear = Context.Term.silentAt();
  if (!Clear)
    return std::nullopt;
  if (!Context.Term.previous().empty())
    Clear = *Clear + Tail;
  if (Context.Term.lapsedAt())
    Clear = std::max(*Clear, *Context.Term.lapsedAt() + Tail);
  return Clear;
}

auto ServiceLeader::setServing(std::uint32_t Slice, bool Serving) -> void {
  SliceAssignment Changed = Map.at(Slice);
  Changed.Serving = Serving;
  Map.set(Slice, std::move(Changed));
}

auto ServiceLeader::grantAll(const TargetId &Target) -> void {
  for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice)
    // A slice that does not serve is moving, or its holder is not known yet.
    if (Map.at(Slice).Owner == Target && Map.at(Slice).Serving)
      Grants.grant(Target, Slice);
}

auto ServiceLeader::enterTerm(bool WasLeader, std::uint64_t OldTerm,
                              TimePoint Now) -> void {
  const TermKeeper &Term = Context.Term;
  Leases.beginTerm(Term.record().Term);
  Moves.clear();
  Grants.clear();
  SentAt.clear();
  Reported.clear();
  if (Term.role() != TermRole::Leader)
    return;
  TermSince = Now;
  const bool Copied = CopyTerm == OldTerm && OldTerm != 0 && CopyResolved;
  const bool Continues = WasLeader && State == Knowledge::Resolved;
  Map.beginTerm(Term.record().Term);
  Store.beginTerm(!Copied && !Continues);
  configure(Service);
  if (Copied || Continues) {
    resume();
    return;
  }
  State = Knowledge::Fencing;
  for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice)
    setServing(Slice, false);
}

/// Continues with a complete map: only the owner in the map can hold a slice.
/// A move that was under way has either released the old owner, which gets the
/// slice again, or recorded the new one, which gets it now.
auto ServiceLeader::resume() -> void {
  State = Knowledge::Resolved;
  for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice) {
    const TargetId &Owner = Map.at(Slice).Owner;
    setServing(Slice, !Owner.empty());
    if (!Owner.empty())
      Grants.grant(Owner, Slice);
  }
}

auto ServiceLeader::fenced(TimePoint Now) const -> bool {
  if (!Context.Switches.Fencing || !Context.Switches.FenceBeforeKeep)
    return true;
  const auto Silent = verified() ? Context.Term.silentAt() : routingClearAt();
  if (Silent && Now >= *Silent)
    return true;
  return verified() &&
         std::all_of(Targets.begin(), Targets.end(), [&](const auto &Target) {
           return Leases.acknowledged(Target) ||
                  Service.ConfirmedLost.contains(Target);
         });
}

auto ServiceLeader::accounted(TimePoint Now) const -> bool {
  if (!verified())
    return true;
  return std::all_of(Targets.begin(), Targets.end(), [&](const auto &Target) {
    const auto Clear = clearAt(Target);
    return Reported.contains(Target) || (Clear && Now >= *Clear);
  });
}

/// Keeps what a target holds. Nobody else can hold those slices.
auto ServiceLeader::takeReport(const TargetId &Target) -> void {
  Reported.insert(Target);
  for (const auto &[Slice, At] : *Leases.report(Target)) {
    if (Slice >= Map.slices() || Moves.moving(Slice))
      continue;
    const SliceAssignment &Known = Map.at(Slice);
    if (At > Known.At || (At == Known.At && Known.Owner == Target)) {
      Map.set(Slice, {Target, Known.Successor, At, true});
      continue;
    }
    // Recorded for another owner, or reported by two: released first.
    setServing(Slice, false);
    MoveTracker::Move Release;
    Release.From = Target;
    Release.RevokedVersion = Map.version();
    Moves.start(Slice, Release);
    Grants.release(Target, Slice);
  }
}

/// Finds out who holds which slice after a takeover without a complete copy.
auto ServiceLeader::resolve(TimePoint Now) -> void {
  if (State == Knowledge::Fencing) {
    if (!Store.loaded() || !fenced(Now))
      return;
    State = Knowledge::Collecting;
    configure(Service);
    Leases.clearReports();
    SentAt.clear();
  }
  for (const TargetId &Target : Targets)
    if (verified() && Leases.report(Target) && !Reported.contains(Target))
      takeReport(Target);
  if (!accounted(Now))
    return;
  State = Knowledge::Resolved;
  Store.copyAgain();
  for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice) {
    if (Map.at(Slice).Serving || Moves.moving(Slice) ||
        Map.at(Slice).Owner.empty())
      continue;
    // Held by nobody. The recorded owner may be an old one, so it is preferred
    // but does not stay recorded; the epoch passes any that was granted.
    MoveTracker::Move Again;
    Again.To = Map.at(Slice).Owner;
    Map.set(Slice, {TargetId(),
                    Again.To,
                    {Context.Term.record().Term, ++Context.Sequence},
                    false});
    Again.RevokedVersion = Map.version();
    Moves.start(Slice, Again);
  }
}

auto ServiceLeader::tickLeader(TimePoint Now, OwnershipActions &Actions)
    -> void {
  Load.decay(Now);
  if (State != Knowledge::Resolved)
    resolve(Now);
  if (State == Knowledge::Resolved && Service.HomeConfirmed &&
      Context.Term.mayMove(Now)) {
    cancelReturned(Now);
    startMoves(Now);
    planMoves(Now);
    updateSuccessors(Now);
    progressMoves(Now);
  }
  Store.tick(Map, State == Knowledge::Resolved, Now, Actions);
  if (verified())
    sendLeases(Now, Actions);
}

auto ServiceLeader::tickDeputy(TimePoint Now, OwnershipActions &Actions)
    -> void {
  if (!verified())
    return;
  for (const TargetId &Target : Targets) {
    TimePoint &Sent = SentAt[Target];
    if (Now < Sent + Context.Times.RenewEvery && !Leases.start(Target).empty())
      continue;
    if (Now < Sent + Context.Times.RenewEvery / 3)
      continue;
    Sent = Now;
    LeaseMessage Message;
    Message.Target = Target;
    Message.Service = Service.Id;
    Message.Sender = Context.Identity.Self;
    Message.Term = Context.Term.record().Term;
    Leases.sent(Message, true);
    Actions.push_back(SendLease{std::move(Message)});
  }
}

auto ServiceLeader::leaseReply(const TargetId &Target, const LeaseReply &Reply,
                               TimePoint Now) -> void {
  if (!known(Target))
    return;
  const bool HadStart = !Leases.start(Target).empty();
  const auto Effect = Leases.reply(Target, Reply, Now);
  if (Effect == LeaseTable::ReplyEffect::HigherTerm)
    Context.Term.learnTerm(Reply.Term);
  if (Effect == LeaseTable::ReplyEffect::HigherTerm ||
      Effect == LeaseTable::ReplyEffect::Ignored ||
      Context.Term.role() != TermRole::Leader)
    return;
  if (!HadStart)
    SentAt.erase(Target); // The first lease follows at once.
  if (Effect == LeaseTable::ReplyEffect::Restarted) {
    Grants.forget(Target);
    Moves.ownerGone(Target);
    Reported.insert(Target);
    grantAll(Target);
    SentAt.erase(Target);
    return;
  }
  Grants.applied(Target, Reply.Applied);
  if (Effect == LeaseTable::ReplyEffect::Lapsed)
    grantAll(Target);
}

auto ServiceLeader::targetAlive(const TargetId &Target, TimePoint Now) -> void {
  HeardAt[Target] = Now;
}

auto ServiceLeader::confirmTargetLost(const TargetId &Target, TimePoint Now)
    -> void {
  // A target that answers is not lost.
  if (!verified() || !known(Target) || Leases.alive(Target, Now))
    return;
  Leases.confirmLost(Target, Now);
  Grants.forget(Target);
}

auto ServiceLeader::copy(const AssignmentCopy &Message) -> AssignmentCopyAck {
  AssignmentCopyAck Answer{Message.Term, Message.Delta.Service, 0, false};
  const auto Applied = Map.apply(Message.Delta);
  if (!Applied) {
    Answer.NeedsFullCopy = true;
    return Answer;
  }
  CopyTerm = Message.Term;
  if (*Applied || Message.Delta.To == Map.version())
    CopyResolved = Message.Resolved;
  configure(Service);
  Answer.Version = Map.version();
  return Answer;
}

auto ServiceLeader::routable() const -> bool {
  return !verified() &&
         (State == Knowledge::Resolved ||
          (Context.Term.role() == TermRole::Deputy && CopyResolved &&
           CopyTerm == Context.Term.record().Term));
}

auto ServiceLeader::acknowledged(std::uint32_t Slice) const -> bool {
  return State == Knowledge::Resolved && !Moves.moving(Slice) &&
         !Map.at(Slice).Owner.empty() && Store.recorded(Map, Slice);
}

auto ServiceLeader::waiting() const -> std::uint32_t {
  std::uint32_t Count = 0;
  for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice)
    if (home(Slice) && !Map.at(Slice).Serving)
      ++Count;
  return Count;
}

auto ServiceLeader::releasedAway() const -> bool {
  for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice)
    if (!home(Slice) && !Map.at(Slice).Owner.empty())
      return false;
  return State == Knowledge::Resolved;
}

} // namespace buckthornring
