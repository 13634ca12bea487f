// Moves and lease messages of ServiceLeader, apart from takeover and copies.
#include "Ownership/ServiceLeader.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>

namespace buckthornring {

namespace {

// Balance moves are few in steady operation (at most 1% a minute) and faster
// when a target carries far more than its share.
constexpr Duration BalanceEvery = std::chrono::seconds(60);
constexpr Duration UrgentEvery = std::chrono::seconds(5);
constexpr double UrgentImbalance = 1.5;
// Computing the imbalance takes time in proportion to the slices.
constexpr Duration BalanceCheckEvery = std::chrono::seconds(1);
constexpr Duration SuccessorsEvery = std::chrono::seconds(1);

auto indexOf(const std::vector<TargetId> &Targets, const TargetId &Target)
    -> std::size_t {
  const auto Place = std::lower_bound(Targets.begin(), Targets.end(), Target);
  if (Target.empty() || Place == Targets.end() || *Place != Target)
    return AssignmentPlanner::None;
  return static_cast<std::size_t>(Place - Targets.begin());
}

} // namespace

auto ServiceLeader::plannerInput(TimePoint Now) const
    -> AssignmentPlanner::Input {
  AssignmentPlanner::Input Input;
  Input.Load = Load.values();
  Input.Owner.resize(Map.slices());
  for (const TargetId &Target : Targets)
    Input.Available.push_back(usable(Target, Now));
  for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice)
    Input.Owner[Slice] = indexOf(Targets, Map.at(Slice).Owner);
  for (const auto &[Slice, Move] : Moves.moves())
    if (!Move.To.empty())
      Input.Owner[Slice] = indexOf(Targets, Move.To);
  return Input;
}

auto ServiceLeader::startMove(std::uint32_t Slice, const TargetId &To,
                              bool OwnerLost) -> void {
  MoveTracker::Move Move;
  Move.From = Map.at(Slice).Owner;
  Move.To = To;
  Move.OwnerLost = OwnerLost;
  if (Map.at(Slice).Serving)
    setServing(Slice, false);
  Move.RevokedVersion = Map.version();
  Moves.start(Slice, Move);
  if (Move.From.empty() || !verified())
    return;
  Grants.release(Move.From, Slice);
}

/// Starts the moves that are not a matter of balance.
auto ServiceLeader::startMoves(TimePoint Now) -> void {
  // The owners are few, the slices many: each owner is judged once.
  std::set<TargetId> Lost;
  for (const TargetId &Target : Targets)
    if (lost(Target, Now))
      Lost.insert(Target);
  for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice) {
    const TargetId &Owner = Map.at(Slice).Owner;
    const bool Leaves = !home(Slice);
    const bool OwnerLost = !Lost.empty() && Lost.contains(Owner);
    if ((Leaves || OwnerLost) && !Owner.empty() && !Moves.moving(Slice))
      startMove(Slice, TargetId(), !Leaves);
  }
}

/// Returns whether a slice needs an owner, or has one that is to be drained.
auto ServiceLeader::hasUnowned(TimePoint Now) const -> bool {
  std::set<TargetId> Draining;
  for (const TargetId &Target : Targets)
    if (!usable(Target, Now) && alive(Target, Now))
      Draining.insert(Target);
  for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice) {
    const TargetId &Owner = Map.at(Slice).Owner;
    const bool Needs =
        Owner.empty() || (!Draining.empty() && Draining.contains(Owner));
    if (Needs && home(Slice) && !Moves.moving(Slice))
      return true;
  }
  return false;
}

auto ServiceLeader::balanceCheckDue(TimePoint Now) -> bool {
  if (!Moves.moves().empty() || Now < BalancedAt + UrgentEvery ||
      Now < BalanceCheckedAt + BalanceCheckEvery)
    return false;
  BalanceCheckedAt = Now;
  return true;
}

auto ServiceLeader::planMoves(TimePoint Now) -> void {
  const bool Unowned = hasUnowned(Now);
  if (!Unowned && !balanceCheckDue(Now))
    return;
  const AssignmentPlanner::Input Input = plannerInput(Now);
  const bool Urgent = AssignmentPlanner::imbalance(Input) > UrgentImbalance;
  if (!Unowned && Now < BalancedAt + (Urgent ? UrgentEvery : BalanceEvery))
    return;
  if (!Unowned)
    BalancedAt = Now;
  AssignmentPlanner::Options Options;
  if (Urgent)
    Options.MoveShare = 0.05;
  // A drained target hands its slices over one batch at a time.
  const std::size_t Batch = std::max<std::size_t>(8, Map.slices() / 16);
  for (const auto &Planned : AssignmentPlanner(Options).plan(Input)) {
    const TargetId &Owner = Map.at(Planned.Slice).Owner;
    if (!home(Planned.Slice) || Moves.moving(Planned.Slice))
      continue;
    if (!Owner.empty() && Moves.moves().size() >= Batch)
      continue;
    // A silent owner is either lost, which startMoves() handles, or was not
    // heard yet in this term.
    if (!Owner.empty() && !alive(Owner, Now))
      continue;
    startMove(Planned.Slice, Targets[Planned.To], false);
  }
}

auto ServiceLeader::updateSuccessors(TimePoint Now) -> void {
  if (Now < SuccessorsAt + SuccessorsEvery)
    return;
  SuccessorsAt = Now;
  const AssignmentPlanner::Input Input = plannerInput(Now);
  std::vector<std::size_t> Current;
  for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice)
    Current.push_back(indexOf(Targets, Map.at(Slice).Successor));
  const auto Next = Planner.successors(Input, Current);
  for (std::uint32_t Slice = 0; Slice < Map.slices(); ++Slice) {
    if (Moves.moving(Slice) || Map.at(Slice).Owner.empty() ||
        Next[Slice] == Current[Slice])
      continue;
    SliceAssignment Changed = Map.at(Slice);
    Changed.Successor = Next[Slice] == AssignmentPlanner::None
                            ? TargetId()
                            : Targets[Next[Slice]];
    Map.set(Slice, std::move(Changed));
  }
}

/// A lost owner that answers before its lease ended keeps its slices.
auto ServiceLeader::cancelReturned(TimePoint Now) -> void {
  std::vector<std::uint32_t> Returned;
  for (const auto &[Slice, Move] : Moves.moves())
    if (Move.Phase == MovePhase::Releasing && Move.OwnerLost &&
        !Move.From.empty() && usable(Move.From, Now) && home(Slice))
      Returned.push_back(Slice);
  for (const std::uint32_t Slice : Returned) {
    Grants.grant(Map.at(Slice).Owner, Slice);
    Moves.cancel(Slice);
    setServing(Slice, true);
  }
}

/// Returns whether nobody can run a request for the slice any more.
auto ServiceLeader::cleared(std::uint32_t Slice, const MoveTracker::Move &Move,
                            TimePoint Now) const -> bool {
  const SafetySwitches &Switches = Context.Switches;
  if (!verified()) {
    if (!Switches.ReleaseBeforeGrant)
      return true;
    const auto Earlier = routingClearAt();
    return Earlier && Now >= *Earlier &&
           Context.Routing.cleared(Service.Id, Slice, Map.term(),
                                   Move.RevokedVersion, Service.MaxDeadline,
                                   Now);
  }
  if (Move.From.empty() || !known(Move.From))
    return true;
  if (!Move.OwnerLost && !Switches.ReleaseBeforeGrant)
    return true;
  if (Leases.acknowledged(Move.From) && Grants.released(Move.From, Slice) &&
      !Leases.running(Move.From).contains(Slice))
    return true;
  // While the target is renewed its lease end moves on.
  const auto Clear = clearAt(Move.From);
  return Clear && Now >= *Clear;
}

auto ServiceLeader::chooseTarget(std::uint32_t Slice, TimePoint Now) const
    -> TargetId {
  const TargetId &Successor = Map.at(Slice).Successor;
  if (usable(Successor, Now))
    return Successor;
  AssignmentPlanner::Input Input = plannerInput(Now);
  Input.Owner[Slice] = AssignmentPlanner::None;
  for (const auto &Planned : Planner.plan(Input))
    if (Planned.Slice == Slice)
      return Targets[Planned.To];
  return TargetId();
}

auto ServiceLeader::recordOwner(std::uint32_t Slice, const TargetId &To)
    -> void {
  const Epoch Next{Context.Term.record().Term, ++Context.Sequence};
  TargetId Successor = Map.at(Slice).Successor;
  if (Successor == To)
    Successor = TargetId();
  Map.set(Slice, {To, Successor, Next, false});
  Moves.ownerCleared(Slice, To, Map.version());
}

/// Returns whether the new owner is known to somebody besides this leader.
auto ServiceLeader::recorded(std::uint32_t Slice,
                             const MoveTracker::Move &Move) const -> bool {
  if (!Context.Switches.CopyBeforeAct)
    return true;
  if (!Context.Term.withoutDeputy())
    return Store.atDeputy(Move.RecordedVersion);
  // Without deputy and platform a verified target itself reports the slice to
  // a later leader.
  return Store.atPlatform(Slice, Move.RecordedVersion) ||
         (verified() && !Context.Term.platformAnswers());
}

auto ServiceLeader::progressMoves(TimePoint Now) -> void {
  const auto Copy = Moves.moves();
  for (const auto &[Slice, Move] : Copy) {
    if (Move.Phase == MovePhase::Releasing) {
      if (!cleared(Slice, Move, Now))
        continue;
      const bool Fit = !Move.To.empty() && usable(Move.To, Now);
      const TargetId To = !home(Slice) ? TargetId()
                          : Fit        ? Move.To
                                       : chooseTarget(Slice, Now);
      if (To.empty() && home(Slice))
        continue;
      recordOwner(Slice, To);
      continue;
    }
    if (!recorded(Slice, Move))
      continue;
    Moves.recorded(Slice);
    if (Move.To.empty())
      continue;
    setServing(Slice, true);
    if (verified())
      Grants.grant(Move.To, Slice);
  }
}

auto ServiceLeader::leaseMessage(const TargetId &Target, TimePoint Now)
    -> LeaseMessage {
  LeaseMessage Message;
  Message.Target = Target;
  Message.Service = Service.Id;
  Message.Sender = Context.Identity.Self;
  Message.Term = Context.Term.record().Term;
  Message.Sequence = ++Context.Sequence;
  Message.Report = State == Knowledge::Collecting && !Reported.contains(Target);
  const bool Known = State == Knowledge::Resolved || Reported.contains(Target);
  Leases.sent(Message, Known && Context.Term.mayRenew(Now));
  if (mayChange(Message, Now))
    Grants.fill(Message, Map);
  else
    Grants.skip(Target);
  return Message;
}

/// Returns whether a message may carry grants and releases.
auto ServiceLeader::mayChange(const LeaseMessage &Message, TimePoint Now)
    -> bool {
  if (Message.LeaseUs == 0 || !Context.Term.mayMove(Now))
    return false;
  // A process start that appeared after the last proof may not know the term
  // of a leader that replaced this one.
  const auto Proved = Context.Term.provedAt();
  if (!Context.Switches.ProofAfterRestart)
    return true;
  if (Proved && Leases.startSeen(Message.Target) < *Proved)
    return true;
  Context.Term.requestProof();
  return false;
}

auto ServiceLeader::sendLeases(TimePoint Now, OwnershipActions &Actions)
    -> void {
  for (const TargetId &Target : Targets) {
    const auto Sent = SentAt.find(Target);
    const bool Due =
        Sent == SentAt.end() || Now >= Sent->second + Context.Times.RenewEvery;
    if (!Due && !(Grants.unsent(Target) && Context.Term.mayMove(Now) &&
                  Now >= Sent->second + Context.Times.RenewEvery / 8))
      continue;
    SentAt[Target] = Now;
    Actions.push_back(SendLease{leaseMessage(Target, Now)});
  }
}

} // namespace buckthornring
