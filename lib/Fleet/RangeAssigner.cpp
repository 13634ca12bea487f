#include "Fleet/RangeAssigner.h"

#include "Fleet/StoreRevision.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>

namespace buckthornring {

namespace {

/// Time from the end of the first order that got no answer or could not be
/// sent, without an answer since, after which the target's keys are assigned to
/// others. Longer than RestartDetectionPeriod (OrderSender.cpp), in which no
/// new connection is opened to a target that closed one.
constexpr Duration NoResponseTimeout = std::chrono::milliseconds(1600);

/// Delay between orders to a target that has not answered for
/// NoResponseTimeout.
constexpr Duration UnresponsiveRetryInterval = std::chrono::milliseconds(1000);

/// Number of ranges that may be changing owners while further ranges are moved
/// to balance the load: MinMovingRanges or one per TargetsPerMovingRange
/// targets, whichever is more.
constexpr std::size_t MinMovingRanges = 3;
constexpr std::size_t TargetsPerMovingRange = 4;

/// Time without a recorded change after which a record without the previous
/// owners that can no longer hold keys is written. Until then a new leader
/// would still wait for them; removing each at once would double the writes.
constexpr Duration SettlePeriod = std::chrono::milliseconds(800);

/// Time after a restoration of the store within which the owners should have
/// accepted their grants again. No keys are moved from those that have not.
constexpr Duration ReacceptancePeriod = std::chrono::milliseconds(2000);

/// Time after the last failed order until an unresponsive target is tried
/// again.
constexpr Duration UnresponsivePeriod = std::chrono::seconds(4);

/// Bound of the fencing tokens that lost records of one era have given out
/// beyond those of the newest known record.
constexpr std::uint64_t MaxLostTokens = std::uint64_t{1} << 20;

/// Returns the record with new fencing tokens and with adjacent ranges of one
/// owner joined.
auto withNewFences(const RangeRecord &Old) -> RangeRecord {
  RangeRecord Next;
  Next.NextFence = Old.NextFence;
  Next.Era = Old.Era;
  for (const KeyRange &Range : Old.Ranges) {
    KeyRange *Previous = Next.Ranges.empty() ? nullptr : &Next.Ranges.back();
    if (Previous && Previous->Owner == Range.Owner &&
        Previous->OwnerStartedAt == Range.OwnerStartedAt &&
        Previous->PreviousOwner.empty() && Range.PreviousOwner.empty()) {
      Previous->To = Range.To;
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
  NoResponse.clear();
  if (Recorded.Ranges.empty()) {
    KeyRange All;
    All.To = Keys - 1;
    Recorded.Ranges = {All};
  }
  Current = std::move(Recorded);
  const std::uint64_t Era = eraOf(AtRevision);
  // Earlier owners that the copy lacks may hold keys until then.
  WaitingForEarlierOwners = Current.Era != Era;
  EarlierOwnersUntil = Now + Times.maxAuthorityPeriod() + Times.maxHoldPeriod();
  Current.enterEra(Era);
  if (WaitingForEarlierOwners)
    Current.NextFence += MaxLostTokens;
  // An earlier leader may renew grants until its authority ends, at owners and
  // at previous owners.
  State Unknown;
  Unknown.HoldEnd = EarlierOwnersUntil;
  Unknown.UnansweredHoldEnd = Unknown.HoldEnd;
  Unknown.PreviousHoldEnd = Unknown.HoldEnd;
  Unknown.PreviousUnansweredHoldEnd = Unknown.HoldEnd;
  Unknown.GrantSent = true;
  States.assign(Current.Ranges.size(), Unknown);
  for (std::size_t Index = 0; Index < States.size(); ++Index)
    if (Current.Ranges[Index].Owner.empty())
      States[Index] = State();
  indexRanges();
  Proposed.reset();
  TakingOver = numberOf(AtRevision) != 0 || WaitingForEarlierOwners;
  if (TakingOver && !WaitingForEarlierOwners)
    Proposed = withNewFences(Current);
  EarlierLeadersKnown = !WaitingForEarlierOwners;
}

auto RangeAssigner::earlierLeadersEnded(const EarlierOrderEnds &Ends,
                                        TimePoint Now) -> void {
  const TimePoint Previous = EarlierOwnersUntil;
  const TimePoint Latest = Ends.Latest + Times.maxHoldPeriod();
  // Before that, no own grant ends as late as Previous, so a time that is equal
  // to it comes from the takeover.
  if (!EarlierLeadersKnown || Latest >= Previous ||
      Now + Times.maxHoldPeriod() >= Previous)
    return;
  EarlierOwnersUntil = Latest;
  for (std::size_t Index = 0; Index < States.size(); ++Index) {
    const KeyRange &Range = Current.Ranges[Index];
    State &Each = States[Index];
    const auto Shorten = [&](TimePoint &End, const TargetId &Target,
                             TimePoint OwnEnd) {
      if (End == Previous)
        End = std::max(Ends.of(Target) + Times.maxHoldPeriod(), OwnEnd);
    };
    Shorten(Each.HoldEnd, Range.Owner, Each.OwnHoldEnd);
    Shorten(Each.UnansweredHoldEnd, Range.Owner, Each.OwnHoldEnd);
    Shorten(Each.PreviousHoldEnd, Range.PreviousOwner, Each.OwnPreviousHoldEnd);
    Shorten(Each.PreviousUnansweredHoldEnd, Range.PreviousOwner,
            Each.OwnPreviousHoldEnd);
  }
}

auto RangeAssigner::restored(std::uint64_t AtRevision, TimePoint Now) -> void {
  EarlierLeadersKnown = false;
  // The authority of a leader whose claim the copy lacks ends by then.
  const TimePoint Latest =
      Now + Times.maxAuthorityPeriod() + Times.maxHoldPeriod();
  if (WaitingForEarlierOwners) {
    Revision = AtRevision;
    EarlierOwnersUntil = Latest;
    return Current.enterEra(eraOf(AtRevision));
  }
  // A change of an earlier leader may have taken effect and be lost.
  if (TakingOver) {
    Current.Era = RangeRecord::UnknownEra;
    return takeOver(std::move(Current), AtRevision, Now);
  }
  claimedAgain(LastConfirmedAt, Now);
  if (RenewUntil != LongAgo)
    return takeOverOwnRecord(AtRevision, Now);
  Revision = AtRevision;
  Proposed = Current;
  ChangedAt = Now;
  EarlierOwnersUntil = Latest;
  // An owner that accepts its earlier token has not seen those of a leader
  // whose claim is lost. Without such an answer it may have released its keys.
  for (State &Each : States) {
    if (!Each.GrantSent) {
      Each.PreviousHoldEnd = Latest;
      Each.PreviousUnansweredHoldEnd = Latest;
      continue;
    }
    Each.HoldEnd = Latest;
    Each.UnansweredHoldEnd = Latest;
    Each.GrantAccepted = false;
    Each.SentBeforeRestoration = Each.GrantInFlight;
    Each.NextGrantAt = LongAgo;
    Each.MovableFrom = Now + ReacceptancePeriod;
  }
}

auto RangeAssigner::claimedAgain(TimePoint Before, TimePoint Now) -> void {
  // A later leader grants keys of an owner that it does not reach only after
  // the earlier authority and grant, and only by a claim that is older than a
  // grant when the store goes away. A later proof does not extend the first
  // end: that leader's authority may not have ended yet.
  if (RenewUntil == LongAgo && Now - Before > Times.maxHoldPeriod())
    RenewUntil = Before + Times.AuthorityPeriod;
}

auto RangeAssigner::takeOverOwnRecord(std::uint64_t AtRevision, TimePoint Now)
    -> void {
  std::vector<bool> Renewable;
  for (const State &Each : States)
    Renewable.push_back(Each.GrantAccepted);
  Current.Era = RangeRecord::UnknownEra;
  takeOver(std::move(Current), AtRevision, Now);
  EarlierLeadersKnown = false;
  for (std::size_t Index = 0; Index < States.size(); ++Index)
    States[Index].Renewable = Renewable[Index];
}

auto RangeAssigner::renewableWhileWaiting(const State &RangeState,
                                          TimePoint Now) const -> bool {
  return WaitingForEarlierOwners && RangeState.Renewable && Now <= RenewUntil;
}

auto RangeAssigner::unconfirmed() const -> bool {
  return Current.Era != eraOf(Revision);
}

auto RangeAssigner::confirmRecord(TimePoint Now) -> void {
  const bool AllAccepted =
      std::all_of(States.begin(), States.end(),
                  [](const State &Each) { return Each.GrantAccepted; });
  if (!AllAccepted && Now <= EarlierOwnersUntil)
    return;
  Proposed = Current;
  Proposed->enterEra(eraOf(Revision));
}

auto RangeAssigner::stateOf(const RangeRecord &Record,
                            const KeyRange &Range) const -> State {
  for (std::size_t Index = 0; Index < Record.Ranges.size(); ++Index) {
    const KeyRange &Old = Record.Ranges[Index];
    if (Range.From < Old.From || Range.To > Old.To)
      continue;
    State RangeState = States[Index];
    if (Range.Fence == Old.Fence)
      return RangeState;
    if (Range.Owner == Old.Owner &&
        Range.OwnerStartedAt == Old.OwnerStartedAt) {
      RangeState.NextGrantAt = LongAgo;
      return RangeState;
    }
    State Moved;
    // RangePlanner makes a replaced owner the previous owner, so this is true
    // only if the range had no owner.
    const bool SamePreviousOwner =
        Range.PreviousOwner == Old.PreviousOwner &&
        Range.PreviousOwnerFence == Old.PreviousOwnerFence;
    Moved.PreviousHoldEnd =
        SamePreviousOwner ? RangeState.PreviousHoldEnd : RangeState.HoldEnd;
    Moved.PreviousGrantInFlight = SamePreviousOwner
                                      ? RangeState.PreviousGrantInFlight
                                      : RangeState.GrantInFlight;
    Moved.PreviousUnansweredHoldEnd = SamePreviousOwner
                                          ? RangeState.PreviousUnansweredHoldEnd
                                          : RangeState.UnansweredHoldEnd;
    // The owner may hold the keys by grants to its earlier incarnation.
    Moved.OwnPreviousHoldEnd = SamePreviousOwner ? RangeState.OwnPreviousHoldEnd
                                                 : RangeState.OwnHoldEnd;
    if (!SamePreviousOwner && Old.PreviousOwner == Old.Owner) {
      Moved.PreviousHoldEnd =
          std::max(Moved.PreviousHoldEnd, RangeState.PreviousHoldEnd);
      Moved.OwnPreviousHoldEnd =
          std::max(Moved.OwnPreviousHoldEnd, RangeState.OwnPreviousHoldEnd);
    }
    if (Range.PreviousOwner == Range.Owner)
      Moved.PreviousHoldEnd =
          std::max(Moved.PreviousHoldEnd, EarlierOwnersUntil);
    Moved.Released = SamePreviousOwner && RangeState.Released;
    Moved.Handover = SamePreviousOwner ? RangeState.Handover : "";
    return Moved;
  }
  // Several adjacent ranges were joined: the latest time of each applies.
  State Joined;
  for (std::size_t Index = 0; Index < Record.Ranges.size(); ++Index) {
    const KeyRange &Old = Record.Ranges[Index];
    if (Old.To < Range.From || Old.From > Range.To)
      continue;
    Joined.HoldEnd = std::max(Joined.HoldEnd, States[Index].HoldEnd);
    Joined.MovableFrom =
        std::max(Joined.MovableFrom, States[Index].MovableFrom);
    Joined.UnansweredHoldEnd =
        std::max(Joined.UnansweredHoldEnd, States[Index].UnansweredHoldEnd);
    Joined.OwnUnansweredHoldEnd = std::max(Joined.OwnUnansweredHoldEnd,
                                           States[Index].OwnUnansweredHoldEnd);
    Joined.OwnHoldEnd = std::max(Joined.OwnHoldEnd, States[Index].OwnHoldEnd);
    Joined.GrantSent = Joined.GrantSent || States[Index].GrantSent;
    Joined.GrantInFlight = Joined.GrantInFlight || States[Index].GrantInFlight;
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
  indexRanges();
  Proposed.reset();
  ChangedAt = Now;
  Revision = NewRevision;
  TakingOver = false;
}

auto RangeAssigner::writeRefused() -> void { Proposed.reset(); }

auto RangeAssigner::previousOwnerEnd(const KeyRange &Range,
                                     const State &RangeState,
                                     TimePoint Now) const -> PreviousOwnerEnd {
  if (Range.PreviousOwner.empty())
    return PreviousOwnerEnd::Absent;
  if (RangeState.PreviousGrantInFlight)
    return PreviousOwnerEnd::None;
  if (Range.PreviousOwner == Range.Owner)
    return PreviousOwnerEnd::Restarted;
  // Orders name no incarnation, so a restarted target may have accepted those
  // meant for the earlier one, also of earlier leaders: it does not know the
  // fencing tokens.
  const bool Restarted = restarted(Range);
  const TimePoint HoldEnd =
      Restarted ? std::max(RangeState.PreviousHoldEnd, EarlierOwnersUntil)
                : RangeState.PreviousHoldEnd;
  if (Now > HoldEnd)
    return PreviousOwnerEnd::Expired;
  return RangeState.Released && !Restarted &&
                 Now > RangeState.PreviousUnansweredHoldEnd
             ? PreviousOwnerEnd::Released
             : PreviousOwnerEnd::None;
}

auto RangeAssigner::restarted(const KeyRange &Range) const -> bool {
  const auto Incarnation = CurrentView.Incarnations.find(Range.PreviousOwner);
  return Incarnation != CurrentView.Incarnations.end() &&
         Incarnation->second > Range.PreviousOwnerStartedAt;
}

auto RangeAssigner::recordedLater(const PlanTarget &Target, TimePoint Now) const
    -> bool {
  for (std::size_t Index = 0; Index < Current.Ranges.size(); ++Index) {
    const KeyRange &Range = Current.Ranges[Index];
    const State &RangeState = States[Index];
    if (Range.Owner == Target.Id && Range.OwnerStartedAt > Target.StartedAt &&
        Now <= RangeState.HoldEnd)
      return true;
    if (Range.PreviousOwner == Target.Id &&
        Range.PreviousOwnerStartedAt > Target.StartedAt &&
        Now <= RangeState.PreviousHoldEnd)
      return true;
  }
  return false;
}

auto RangeAssigner::movable(const KeyRange &Range, const State &RangeState,
                            TimePoint Now) const -> bool {
  // The target records may be older than the ranges; a next owner would have
  // to wait for the grant anyway.
  const auto Incarnation = CurrentView.Incarnations.find(Range.Owner);
  const bool OlderRecord = Incarnation != CurrentView.Incarnations.end() &&
                           Incarnation->second < Range.OwnerStartedAt;
  return Now >= RangeState.MovableFrom &&
         (!OlderRecord || Now > RangeState.HoldEnd) &&
         previousOwnerGone(Range, RangeState, Now);
}

auto RangeAssigner::plan(View NewView, const KeyLoad &Load, TimePoint Now)
    -> void {
  CurrentView = std::move(NewView);
  Figures = MoveFigures();
  if (Proposed || (WaitingForEarlierOwners && Now <= EarlierOwnersUntil))
    return;
  if (std::exchange(WaitingForEarlierOwners, false)) {
    RenewUntil = LongAgo;
    Proposed = withNewFences(Current);
    return;
  }
  if (unconfirmed())
    return confirmRecord(Now);
  std::erase_if(CurrentView.Targets, [&](const PlanTarget &Target) {
    return unresponsive(Target.Id, Now) || recordedLater(Target, Now);
  });
  const auto Movable = [&](const KeyRange &Range) {
    for (std::size_t Index = 0; Index < Current.Ranges.size(); ++Index)
      if (Current.Ranges[Index] == Range)
        return movable(Range, States[Index], Now);
    return false;
  };
  const auto MovingRanges = std::count_if(
      Current.Ranges.begin(), Current.Ranges.end(), [&](const KeyRange &Range) {
        const State &RangeState = States[&Range - Current.Ranges.data()];
        return !previousOwnerGone(Range, RangeState, Now) ||
               !RangeState.GrantSent;
      });
  const std::size_t MaxMovingRanges = std::max(
      MinMovingRanges, CurrentView.Targets.size() / TargetsPerMovingRange);
  const bool MayBalance =
      static_cast<std::size_t>(MovingRanges) <= MaxMovingRanges;
  const RangeRecord Base = withoutGonePreviousOwners(Now);
  const auto MovableInCurrent = [&](const KeyRange &Range) {
    const KeyRange *CurrentRange = Current.find(Range.From);
    return CurrentRange && Movable(*CurrentRange);
  };
  auto Next = RangePlanner::plan(
      {Base, CurrentView.Targets, Load, Keys, CurrentView.ProcessingSeconds,
       MovableInCurrent, MayBalance, Now - ChangedAt > SettlePeriod, &Figures});
  if (Next)
    Proposed = std::move(Next);
  else if (Base.Ranges != Current.Ranges && Now - ChangedAt > SettlePeriod)
    Proposed = Base;
}

auto RangeAssigner::withoutGonePreviousOwners(TimePoint Now) const
    -> RangeRecord {
  RangeRecord Out = Current;
  for (std::size_t Index = 0; Index < States.size(); ++Index) {
    KeyRange &Range = Out.Ranges[Index];
    if (!States[Index].GrantAccepted ||
        !previousOwnerGone(Range, States[Index], Now))
      continue;
    Range.PreviousOwner = TargetId();
    Range.PreviousOwnerStartedAt = 0;
    Range.PreviousOwnerFence = 0;
  }
  return Out;
}

auto RangeAssigner::changedByProposal(const KeyRange &Range) const -> bool {
  if (!Proposed)
    return false;
  // The proposed record may already be in the store although the write has not
  // been answered, so grants that it replaces are not renewed.
  for (const KeyRange &Next : Proposed->Ranges)
    if (Next.From <= Range.To && Next.To >= Range.From &&
        (Next.Owner != Range.Owner || Next.From > Range.From ||
         Next.To < Range.To || Next.Fence != Range.Fence))
      return true;
  return false;
}

auto RangeAssigner::authorityEnd(TimePoint ConfirmedAt) const -> TimePoint {
  if (TakingOver)
    return LongAgo;
  const TimePoint End = ConfirmedAt + Times.AuthorityPeriod;
  return RenewUntil == LongAgo ? End : std::min(End, RenewUntil);
}

auto RangeAssigner::nextRelease(const TargetId &Target, TimePoint ConfirmedAt,
                                TimePoint Now) -> std::optional<RangeOrder> {
  const TimePoint AuthorityEnd = authorityEnd(ConfirmedAt);
  if (Now > AuthorityEnd)
    return std::nullopt;
  for (const std::size_t Index : rangesOf(Target)) {
    const KeyRange &Range = Current.Ranges[Index];
    State &RangeState = States[Index];
    if (Range.PreviousOwner != Target || Range.Owner == Target ||
        restarted(Range) || RangeState.Released || RangeState.ReleaseInFlight ||
        RangeState.PreviousGrantInFlight || RangeState.GrantSent ||
        Now < RangeState.NextReleaseAt || Now > RangeState.PreviousHoldEnd)
      continue;
    RangeState.ReleaseInFlight = true;
    RangeOrder Order;
    Order.Type = RangeOrder::Kind::Release;
    Order.Target = Target;
    Order.StartedAt = Range.PreviousOwnerStartedAt;
    Order.From = Range.From;
    Order.To = Range.To;
    Order.Fence = Range.PreviousOwnerFence;
    Order.AuthorityEnd = AuthorityEnd;
    return Order;
  }
  return std::nullopt;
}

auto RangeAssigner::nextGrant(const TargetId &Target, TimePoint ConfirmedAt,
                              TimePoint Now) -> std::optional<RangeOrder> {
  LastConfirmedAt = std::max(LastConfirmedAt, ConfirmedAt);
  if (inRetryPause(Target, Now))
    return std::nullopt;
  const TimePoint AuthorityEnd = authorityEnd(ConfirmedAt);
  const auto Incarnation = CurrentView.Incarnations.find(Target);
  for (const std::size_t Index : rangesOf(Target)) {
    const KeyRange &Range = Current.Ranges[Index];
    State &RangeState = States[Index];
    if (Range.Owner != Target || Now < RangeState.NextGrantAt)
      continue;
    const bool RenewsWhileWaiting = renewableWhileWaiting(RangeState, Now);
    if (!RenewsWhileWaiting &&
        (Now > AuthorityEnd || !previousOwnerGone(Range, RangeState, Now) ||
         changedByProposal(Range)))
      continue;
    // A restarted target needs a recorded assignment to its new incarnation.
    if (Incarnation != CurrentView.Incarnations.end() &&
        Incarnation->second != Range.OwnerStartedAt)
      continue;
    if (!RangeState.GrantSent &&
        (unconfirmed() || CurrentView.Leaving.contains(Target)))
      continue;
    RangeOrder Order;
    if (!std::exchange(RangeState.GrantSent, true) &&
        !Range.PreviousOwner.empty()) {
      Order.PreviousOwner = Range.PreviousOwner;
      Order.PreviousOwnerStartedAt = Range.PreviousOwnerStartedAt;
      Order.PreviousEnd = previousOwnerEnd(Range, RangeState, Now);
      Order.PreviousHoldLeft =
          std::max(RangeState.PreviousHoldEnd - Now, Duration(0));
    }
    RangeState.GrantInFlight = true;
    Order.Target = Target;
    Order.StartedAt = Range.OwnerStartedAt;
    Order.From = Range.From;
    Order.To = Range.To;
    Order.Fence = Range.Fence;
    Order.HoldPeriod = Times.HoldPeriod;
    Order.AuthorityEnd = RenewsWhileWaiting ? RenewUntil : AuthorityEnd;
    Order.Handover = RangeState.Handover;
    Order.Renewal = RangeState.GrantAccepted;
    return Order;
  }
  return std::nullopt;
}

auto RangeAssigner::onGrantEnded(const RangeOrder &Order,
                                 RangeOrderOutcome Outcome, TimePoint Now)
    -> void {
  // The ranges may have been split or moved while the order was in flight.
  for (const std::size_t Index : rangesOf(Order.Target)) {
    const KeyRange &Range = Current.Ranges[Index];
    State &RangeState = States[Index];
    if (Range.To < Order.From || Range.From > Order.To)
      continue;
    const bool Present =
        Range.Owner == Order.Target && Range.Fence == Order.Fence;
    // The range may have been joined or have got a new token since.
    const bool WasOwner = !Present && Range.PreviousOwner == Order.Target &&
                          Range.PreviousOwnerFence >= Order.Fence;
    const bool Owns = Present || (!WasOwner && Range.Owner == Order.Target &&
                                  Range.Fence > Order.Fence);
    if (!Owns && !WasOwner)
      continue;
    (Owns ? RangeState.GrantInFlight : RangeState.PreviousGrantInFlight) =
        false;
    TimePoint &End = Owns ? RangeState.HoldEnd : RangeState.PreviousHoldEnd;
    TimePoint &UnansweredEnd = Owns ? RangeState.UnansweredHoldEnd
                                    : RangeState.PreviousUnansweredHoldEnd;
    const TimePoint Latest = Now + Times.maxHoldPeriod();
    const bool SentEarlier =
        Owns && std::exchange(RangeState.SentBeforeRestoration, false);
    if (Present && !SentEarlier && Outcome == RangeOrderOutcome::Accepted &&
        !std::exchange(RangeState.GrantAccepted, true)) {
      NewlyGranted.push_back(Range.Fence);
      // From now on the owner refuses orders of earlier leaders, so only grants
      // of this leader count.
      UnansweredEnd = RangeState.OwnUnansweredHoldEnd;
      End = UnansweredEnd;
      RangeState.MovableFrom = LongAgo;
    }
    if (Outcome == RangeOrderOutcome::Accepted ||
        Outcome == RangeOrderOutcome::Unanswered) {
      End = std::max(End, Latest);
      (Owns ? RangeState.OwnHoldEnd : RangeState.OwnPreviousHoldEnd) = Latest;
    }
    if (Outcome == RangeOrderOutcome::Unanswered) {
      UnansweredEnd = std::max(UnansweredEnd, Latest);
      if (Owns)
        RangeState.OwnUnansweredHoldEnd = Latest;
    }
    if (Present)
      RangeState.NextGrantAt =
          Now + (Outcome == RangeOrderOutcome::Accepted ? Times.RenewInterval
                                                        : Times.RetryInterval);
  }
}

auto RangeAssigner::onReleaseEnded(const RangeOrder &Order,
                                   RangeOrderOutcome Outcome,
                                   const std::string &Handover, TimePoint Now)
    -> void {
  for (const std::size_t Index : rangesOf(Order.Target)) {
    const KeyRange &Range = Current.Ranges[Index];
    State &RangeState = States[Index];
    if (Range.PreviousOwner != Order.Target ||
        Range.PreviousOwnerFence != Order.Fence || Range.From < Order.From ||
        Range.To > Order.To)
      continue;
    RangeState.ReleaseInFlight = false;
    RangeState.NextReleaseAt = Now + Times.RetryInterval;
    if (Outcome != RangeOrderOutcome::Accepted)
      continue;
    RangeState.Released = true;
    RangeState.Handover = Handover;
  }
}

auto RangeAssigner::onOrderEnded(const RangeOrder &Order,
                                 RangeOrderOutcome Outcome,
                                 const std::string &Handover, TimePoint Now)
    -> void {
  if (Outcome == RangeOrderOutcome::Accepted ||
      Outcome == RangeOrderOutcome::Refused)
    NoResponse.erase(Order.Target);
  else
    recordNoResponse(Order.Target, Outcome, Now);
  if (Order.Type == RangeOrder::Kind::Grant)
    onGrantEnded(Order, Outcome, Now);
  else
    onReleaseEnded(Order, Outcome, Handover, Now);
}

auto RangeAssigner::recordNoResponse(const TargetId &Target,
                                     RangeOrderOutcome Outcome, TimePoint Now)
    -> void {
  NoResponsePeriod &Period =
      NoResponse.try_emplace(Target, NoResponsePeriod{Now, Now}).first->second;
  Period.LastAt = Now;
  // A target whose address belongs to another one has ended.
  if (Outcome == RangeOrderOutcome::Misdirected)
    Period.FirstAt = std::min(Period.FirstAt, Now - 2 * NoResponseTimeout);
}

auto RangeAssigner::inRetryPause(const TargetId &Target, TimePoint Now) const
    -> bool {
  const auto Found = NoResponse.find(Target);
  if (Found == NoResponse.end())
    return false;
  const bool Unresponsive =
      Found->second.LastAt - Found->second.FirstAt > NoResponseTimeout;
  return Now - Found->second.LastAt <
         (Unresponsive ? UnresponsiveRetryInterval : Times.RetryInterval);
}

auto RangeAssigner::unresponsive(const TargetId &Target, TimePoint Now) const
    -> bool {
  const auto Found = NoResponse.find(Target);
  return Found != NoResponse.end() &&
         Now - Found->second.LastAt < UnresponsivePeriod &&
         Now - Found->second.FirstAt > NoResponseTimeout;
}

auto RangeAssigner::rangesOf(const TargetId &Target) const
    -> const std::vector<std::size_t> & {
  static const std::vector<std::size_t> None;
  const auto Found = RangesByTarget.find(Target);
  return Found == RangesByTarget.end() ? None : Found->second;
}

auto RangeAssigner::indexRanges() -> void {
  RangesByTarget.clear();
  for (std::size_t Index = 0; Index < Current.Ranges.size(); ++Index) {
    const KeyRange &Range = Current.Ranges[Index];
    RangesByTarget[Range.Owner].push_back(Index);
    if (Range.PreviousOwner != Range.Owner)
      RangesByTarget[Range.PreviousOwner].push_back(Index);
  }
  RangesByTarget.erase(TargetId());
}

auto RangeAssigner::targetsAfter(const RangeOrder &Ended) const
    -> std::set<TargetId> {
  std::set<TargetId> Out = {Ended.Target};
  for (const std::size_t Index : rangesOf(Ended.Target)) {
    const KeyRange &Range = Current.Ranges[Index];
    if (Range.From <= Ended.To && Range.To >= Ended.From &&
        !Range.Owner.empty())
      Out.insert(Range.Owner);
  }
  return Out;
}

auto RangeAssigner::involvedTargets() const -> std::set<TargetId> {
  std::set<TargetId> Out;
  for (std::size_t Index = 0; Index < Current.Ranges.size(); ++Index) {
    if (!Current.Ranges[Index].Owner.empty())
      Out.insert(Current.Ranges[Index].Owner);
    if (!Current.Ranges[Index].PreviousOwner.empty() &&
        !States[Index].GrantSent)
      Out.insert(Current.Ranges[Index].PreviousOwner);
  }
  return Out;
}

} // namespace buckthornring
