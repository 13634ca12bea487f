#include "Fleet/RangeAssigner.h"

#include "buckthornring/Common/Invariant.h"

#include <algorithm>

namespace buckthornring {

namespace {

/// Time without an answer to any order after which a target's keys are planned
/// elsewhere. Longer than the pause after a connection that the target ended.
constexpr Duration SilenceLimit = std::chrono::milliseconds(1600);

/// Wait between orders to a target that has been silent for that time.
constexpr Duration SilentRepeat = std::chrono::milliseconds(1000);

/// Ranges on the move beside which the load may still be evened out: at least
/// some, and a part of the number of targets.
constexpr std::size_t FewestMoving = 3;
constexpr std::size_t MovingDivisor = 4;

/// Time after the last change at which it is recorded that the moves are over.
/// A new leader waits for the donors of unfinished moves; recording the end of
/// each move would double the writes.
constexpr Duration SettleTime = std::chrono::milliseconds(800);

/// Time after the last failed order after which a silent target is tried again.
constexpr Duration SilenceMemory = std::chrono::seconds(4);

/// Gives all ranges new fencing tokens and joins neighbours of one owner.
auto renumbered(const RangeRecord &Old) -> RangeRecord {
  RangeRecord Next;
  Next.NextFence = Old.NextFence;
  for (const KeyRange &Range : Old.Ranges) {
    KeyRange *Last = Next.Ranges.empty() ? nullptr : &Next.Ranges.back();
    if (Last && Last->Owner == Range.Owner &&
        Last->OwnerStartedAt == Range.OwnerStartedAt &&
        Last->PreviousOwner.empty() && Range.PreviousOwner.empty()) {
      Last->To = Range.To;
      continue;
    }
    Next.Ranges.push_back(Range);
    Next.Ranges.back().Fence = Next.NextFence++;
  }
  return Next;
}

} // namespace

auto RangeAssigner::takeOver(RangeRecord Recorded, std::uint64_t AtRevision,
                             TimePoint Now) -> void {
  Revision = AtRevision;
  ChangedAt = Now;
  Silent.clear();
  if (Recorded.Ranges.empty()) {
    KeyRange All;
    All.To = Keys - 1;
    Recorded.Ranges = {All};
  }
  Current = std::move(Recorded);
  // Any earlier leader may renew what it knows until its authority ends, at
  // owners and at donors.
  State Unknown;
  Unknown.HoldEnd = Now + Times.Authority + Times.longestHold();
  Unknown.StrayEnd = Unknown.HoldEnd;
  Unknown.DonorHoldEnd = Unknown.HoldEnd;
  Unknown.DonorStrayEnd = Unknown.HoldEnd;
  Unknown.Sent = true;
  States.assign(Current.Ranges.size(), Unknown);
  for (std::size_t Index = 0; Index < States.size(); ++Index)
    if (Current.Ranges[Index].Owner.empty())
      States[Index] = State();
  Proposed.reset();
  TakingOver = AtRevision != 0;
  if (TakingOver)
    Proposed = renumbered(Current);
}

auto RangeAssigner::stateOf(const RangeRecord &Record,
                            const KeyRange &Range) const -> State {
  for (std::size_t Index = 0; Index < Record.Ranges.size(); ++Index) {
    const KeyRange &Old = Record.Ranges[Index];
    if (Range.From < Old.From || Range.To > Old.To)
      continue;
    State Known = States[Index];
    if (Range.Fence == Old.Fence)
      return Known;
    if (Range.Owner == Old.Owner &&
        Range.OwnerStartedAt == Old.OwnerStartedAt) {
      Known.NextAt = LongAgo;
      return Known;
    }
    State Moved;
    // An owner that was never told keeps the donor before it in place.
    const bool SameDonor = Range.PreviousOwner == Old.PreviousOwner &&
                           Range.DonorFence == Old.DonorFence;
    Moved.DonorHoldEnd = SameDonor ? Known.DonorHoldEnd : Known.HoldEnd;
    Moved.DonorInFlight = SameDonor ? Known.DonorInFlight : Known.InFlight;
    Moved.DonorStrayEnd = SameDonor ? Known.DonorStrayEnd : Known.StrayEnd;
    Moved.Released = SameDonor && Known.Released;
    Moved.Handover = SameDonor ? Known.Handover : "";
    return Moved;
  }
  // Joined neighbours: the latest of their times holds for all.
  State Joined;
  for (std::size_t Index = 0; Index < Record.Ranges.size(); ++Index) {
    const KeyRange &Old = Record.Ranges[Index];
    if (Old.To < Range.From || Old.From > Range.To)
      continue;
    Joined.HoldEnd = std::max(Joined.HoldEnd, States[Index].HoldEnd);
    Joined.StrayEnd = std::max(Joined.StrayEnd, States[Index].StrayEnd);
    Joined.Sent = Joined.Sent || States[Index].Sent;
    Joined.InFlight = Joined.InFlight || States[Index].InFlight;
  }
  return Joined;
}

auto RangeAssigner::writeDone(std::uint64_t NewRevision, TimePoint Now)
    -> void {
  invariant(Proposed.has_value(), "a record was being written");
  std::vector<State> Next;
  for (const KeyRange &Range : Proposed->Ranges)
    Next.push_back(stateOf(Current, Range));
  Current = std::move(*Proposed);
  States = std::move(Next);
  Proposed.reset();
  ChangedAt = Now;
  Revision = NewRevision;
  TakingOver = false;
}

auto RangeAssigner::writeRefused() -> void { Proposed.reset(); }

auto RangeAssigner::donorGone(const KeyRange &Range, const State &Known,
                              TimePoint Now) const -> bool {
  if (Range.PreviousOwner.empty())
    return true;
  // A new life of the donor holds nothing of the old one's.
  const auto Life = Seen.Incarnations.find(Range.PreviousOwner);
  if (Life != Seen.Incarnations.end() && Life->second != Range.DonorStartedAt)
    return true;
  if (Known.DonorInFlight)
    return false;
  if (Now > Known.DonorHoldEnd)
    return true;
  return Known.Released && Now > Known.DonorStrayEnd;
}

auto RangeAssigner::plan(View Given, const KeyLoad &Load, TimePoint Now)
    -> void {
  Seen = std::move(Given);
  if (Proposed)
    return;
  std::erase_if(Seen.Targets, [&](const PlanTarget &Target) {
    return unresponsive(Target.Id, Now);
  });
  const auto Movable = [&](const KeyRange &Range) {
    for (std::size_t Index = 0; Index < Current.Ranges.size(); ++Index)
      if (Current.Ranges[Index] == Range)
        return donorGone(Range, States[Index], Now);
    return false;
  };
  const auto Moving = std::count_if(
      Current.Ranges.begin(), Current.Ranges.end(), [&](const KeyRange &Range) {
        const State &Known = States[&Range - Current.Ranges.data()];
        return !donorGone(Range, Known, Now) || !Known.Sent;
      });
  const std::size_t MaxMoving =
      std::max(FewestMoving, Seen.Targets.size() / MovingDivisor);
  const bool Settled = static_cast<std::size_t>(Moving) <= MaxMoving;
  const RangeRecord Base = withoutSettledDonors(Now);
  const auto MovableIn = [&](const KeyRange &Range) {
    const KeyRange *Own = Current.find(Range.From);
    return Own && Movable(*Own);
  };
  auto Next = RangePlanner::plan({Base, Seen.Targets, Load, Keys,
                                  Seen.ProcessingSeconds, MovableIn, Settled});
  if (Next)
    Proposed = std::move(Next);
  else if (Base.Ranges != Current.Ranges && Now - ChangedAt > SettleTime)
    Proposed = Base;
}

auto RangeAssigner::withoutSettledDonors(TimePoint Now) const -> RangeRecord {
  RangeRecord Out = Current;
  for (std::size_t Index = 0; Index < States.size(); ++Index) {
    KeyRange &Range = Out.Ranges[Index];
    if (!States[Index].Accepted || !donorGone(Range, States[Index], Now))
      continue;
    Range.PreviousOwner = TargetId();
    Range.DonorStartedAt = 0;
    Range.DonorFence = 0;
  }
  return Out;
}

auto RangeAssigner::proposedAway(const KeyRange &Range) const -> bool {
  if (!Proposed)
    return false;
  // The record may already be in force without an answer, so nothing is
  // renewed that it takes away.
  for (const KeyRange &Next : Proposed->Ranges)
    if (Next.From <= Range.To && Next.To >= Range.From &&
        (Next.Owner != Range.Owner || Next.From > Range.From ||
         Next.To < Range.To || Next.Fence != Range.Fence))
      return true;
  return false;
}

auto RangeAssigner::hasAuthority(TimePoint ConfirmedAt, TimePoint Now) const
    -> bool {
  return !TakingOver && Now - ConfirmedAt <= Times.Authority;
}

auto RangeAssigner::nextRelease(const TargetId &Target, TimePoint ConfirmedAt,
                                TimePoint Now) -> std::optional<RangeOrder> {
  if (!hasAuthority(ConfirmedAt, Now))
    return std::nullopt;
  for (std::size_t Index = 0; Index < Current.Ranges.size(); ++Index) {
    const KeyRange &Range = Current.Ranges[Index];
    State &Known = States[Index];
    if (Range.PreviousOwner != Target || Known.Released || Known.Releasing ||
        Known.DonorInFlight || Known.Sent || Now < Known.ReleaseAt ||
        Now > Known.DonorHoldEnd)
      continue;
    Known.Releasing = true;
    RangeOrder Call;
    Call.Type = RangeOrder::Kind::Release;
    Call.Target = Target;
    Call.StartedAt = Range.DonorStartedAt;
    Call.From = Range.From;
    Call.To = Range.To;
    Call.Fence = Range.DonorFence;
    return Call;
  }
  return std::nullopt;
}

auto RangeAssigner::nextGrant(const TargetId &Target, TimePoint ConfirmedAt,
                              TimePoint Now) -> std::optional<RangeOrder> {
  if (!hasAuthority(ConfirmedAt, Now) || paused(Target, Now))
    return std::nullopt;
  const auto Life = Seen.Incarnations.find(Target);
  for (std::size_t Index = 0; Index < Current.Ranges.size(); ++Index) {
    const KeyRange &Range = Current.Ranges[Index];
    State &Known = States[Index];
    if (Range.Owner != Target || Now < Known.NextAt ||
        !donorGone(Range, Known, Now) || proposedAway(Range))
      continue;
    // Another life of the target needs a recorded assignment of its own.
    if (Life != Seen.Incarnations.end() && Life->second != Range.OwnerStartedAt)
      continue;
    if (Seen.Leaving.contains(Target) && !Known.Sent)
      continue;
    Known.Sent = true;
    Known.InFlight = true;
    RangeOrder Call;
    Call.Target = Target;
    Call.StartedAt = Range.OwnerStartedAt;
    Call.From = Range.From;
    Call.To = Range.To;
    Call.Fence = Range.Fence;
    Call.HoldPeriod = Times.HoldPeriod;
    Call.Handover = Known.Handover;
    return Call;
  }
  return std::nullopt;
}

auto RangeAssigner::granted(const RangeOrder &Call, RangeOrderOutcome Answer,
                            TimePoint Now) -> void {
  // The ranges may have been split or moved while the call was under way.
  for (std::size_t Index = 0; Index < Current.Ranges.size(); ++Index) {
    const KeyRange &Range = Current.Ranges[Index];
    State &Known = States[Index];
    if (Range.To < Call.From || Range.From > Call.To)
      continue;
    const bool Owns = Range.Owner == Call.Target && Range.Fence == Call.Fence;
    const bool Gave =
        Range.PreviousOwner == Call.Target && Range.DonorFence == Call.Fence;
    if (!Owns && !Gave)
      continue;
    (Owns ? Known.InFlight : Known.DonorInFlight) = false;
    TimePoint &End = Owns ? Known.HoldEnd : Known.DonorHoldEnd;
    TimePoint &Stray = Owns ? Known.StrayEnd : Known.DonorStrayEnd;
    const TimePoint Latest = Now + Times.longestHold();
    if (Owns && Answer == RangeOrderOutcome::Accepted &&
        !std::exchange(Known.Accepted, true)) {
      Granted.push_back(Range.Fence);
      // From now on the owner refuses what earlier leaders send, so only this
      // leader's calls count.
      Stray = Known.OwnStrayEnd;
      End = Stray;
    }
    if (Answer == RangeOrderOutcome::Accepted ||
        Answer == RangeOrderOutcome::Unanswered)
      End = std::max(End, Latest);
    if (Answer == RangeOrderOutcome::Unanswered) {
      Stray = std::max(Stray, Latest);
      if (Owns)
        Known.OwnStrayEnd = Latest;
    }
    if (Owns)
      Known.NextAt =
          Now + (Answer == RangeOrderOutcome::Accepted ? Times.RenewEvery
                                                       : Times.RepeatAfter);
  }
}

auto RangeAssigner::released(const RangeOrder &Call, RangeOrderOutcome Answer,
                             const std::string &Handover, TimePoint Now)
    -> void {
  for (std::size_t Index = 0; Index < Current.Ranges.size(); ++Index) {
    const KeyRange &Range = Current.Ranges[Index];
    State &Known = States[Index];
    if (Range.PreviousOwner != Call.Target || Range.DonorFence != Call.Fence ||
        Range.From < Call.From || Range.To > Call.To)
      continue;
    Known.Releasing = false;
    Known.ReleaseAt = Now + Times.RepeatAfter;
    if (Answer != RangeOrderOutcome::Accepted)
      continue;
    Known.Released = true;
    Known.Handover = Handover;
  }
}

auto RangeAssigner::onOrderEnded(const RangeOrder &Call,
                                 RangeOrderOutcome Answer,
                                 const std::string &Handover, TimePoint Now)
    -> void {
  if (Answer == RangeOrderOutcome::Accepted ||
      Answer == RangeOrderOutcome::Refused)
    Silent.erase(Call.Target);
  else
    Silent.try_emplace(Call.Target, Silence{Now, Now}).first->second.Last = Now;
  if (Call.Type == RangeOrder::Kind::Grant)
    granted(Call, Answer, Now);
  else
    released(Call, Answer, Handover, Now);
}

auto RangeAssigner::paused(const TargetId &Target, TimePoint Now) const
    -> bool {
  const auto Found = Silent.find(Target);
  if (Found == Silent.end())
    return false;
  const bool Long = Found->second.Last - Found->second.Since > SilenceLimit;
  return Now - Found->second.Last < (Long ? SilentRepeat : Times.RepeatAfter);
}

auto RangeAssigner::unresponsive(const TargetId &Target, TimePoint Now) const
    -> bool {
  const auto Found = Silent.find(Target);
  return Found != Silent.end() && Now - Found->second.Last < SilenceMemory &&
         Now - Found->second.Since > SilenceLimit;
}

auto RangeAssigner::involvedTargets() const -> std::set<TargetId> {
  std::set<TargetId> Out;
  for (std::size_t Index = 0; Index < Current.Ranges.size(); ++Index) {
    if (!Current.Ranges[Index].Owner.empty())
      Out.insert(Current.Ranges[Index].Owner);
    if (!Current.Ranges[Index].PreviousOwner.empty() && !States[Index].Sent)
      Out.insert(Current.Ranges[Index].PreviousOwner);
  }
  return Out;
}

} // namespace buckthornring
