#pragma once

#include "Fleet/KeyLoad.h"
#include "Fleet/KeyRanges.h"
#include "Fleet/RangePlanner.h"
#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace buckthornring {

/// Intervals and limits of the ownership protocol.
struct RangeTimes {
  /// Validity of a grant, from its arrival at the target.
  Duration HoldPeriod = std::chrono::seconds(3);
  Duration RenewInterval = std::chrono::milliseconds(1000);
  /// Delay before an order that got no answer is repeated.
  Duration RetryInterval = std::chrono::milliseconds(300);
  /// Time after the last confirmation of leadership during which orders of the
  /// leader may reach targets.
  Duration AuthorityPeriod = std::chrono::seconds(10);
  /// Fraction by which a target's clock may run slow.
  double ClockRateError = 0.02;
  /// Longest time after the end of a connection at which an order sent on it
  /// may still reach the target.
  Duration TransitLimit = std::chrono::milliseconds(150);

  /// Longest time from the end of a grant order (answered, or connection
  /// closed) until that grant has expired at the target.
  auto maxHoldPeriod() const -> Duration {
    return std::chrono::duration_cast<Duration>(HoldPeriod *
                                                (1 + ClockRateError)) +
           TransitLimit;
  }
  /// Longest AuthorityPeriod of another instance by the own clock, when both
  /// clocks are wrong.
  auto maxAuthorityPeriod() const -> Duration {
    return std::chrono::duration_cast<Duration>(AuthorityPeriod *
                                                (1 + 2 * ClockRateError));
  }
};

/// Why the previous owner of a range no longer holds its keys.
enum class PreviousOwnerEnd {
  None,      ///< It may still hold them.
  Absent,    ///< There was no previous owner.
  Restarted, ///< The owner is a later incarnation of it.
  Expired,   ///< Its last grant has certainly ended.
  Released,  ///< It has released the keys.
};

inline constexpr EnumNames<PreviousOwnerEnd, 5> PreviousOwnerEndNames(
    {"none", "absent", "restarted", "expired", "released"});

/// An ownership order to a target: grants it a key range or withdraws one.
struct RangeOrder {
  enum class Kind { Grant, Release };
  Kind Type = Kind::Grant;
  TargetId Target;
  std::int64_t StartedAt = 0; ///< Start time of the addressed incarnation.
  std::uint32_t From = 0;
  std::uint32_t To = 0;
  std::uint64_t Fence = 0;
  Duration HoldPeriod{0};
  /// End of the authority to send the order. It must not reach the target
  /// later, so its connection is reset by then if there is no response.
  TimePoint AuthorityEnd = TimePoint::max();
  std::string Handover; ///< State handed over by the previous owner.
  /// The target has accepted the same grant before.
  bool Renewal = false;
  /// The previous owner, in the first grant to the next one only.
  TargetId PreviousOwner;
  std::int64_t PreviousOwnerStartedAt = 0;
  PreviousOwnerEnd PreviousEnd = PreviousOwnerEnd::None;
  /// Time until the known grants of the previous owner have certainly ended.
  Duration PreviousHoldLeft{0};
};

inline constexpr EnumNames<RangeOrder::Kind, 2> RangeOrderNames({"grant",
                                                                 "release"});

enum class RangeOrderOutcome {
  Accepted,
  Refused,    ///< The target has seen a higher fencing token.
  Unanswered, ///< Sent without a usable answer; it may still take effect.
  NotSent,    ///< The target was not reached.
  /// Another target has the address now, so the order had no effect.
  Misdirected,
};

inline constexpr EnumNames<RangeOrderOutcome, 5> RangeOrderOutcomeNames(
    {"accepted", "refused", "unanswered", "not-sent", "misdirected"});

/// When the last orders of earlier leaders had been answered, or their
/// connections reset.
struct EarlierOrderEnds {
  TimePoint Latest = LongAgo;
  /// For targets that got no order after an earlier time.
  std::map<TargetId, TimePoint> ByTarget;

  auto of(const TargetId &Target) const -> TimePoint {
    const auto Found = ByTarget.find(Target);
    return Found == ByTarget.end() ? Latest : Found->second;
  }
};

/// Assigns the keys of one service to targets. Used by the current leader.
///
/// Each change of owners is written to the store, conditional on the revision,
/// before any target is told. A new owner gets its grant only when the previous
/// owner has released the keys, is an earlier incarnation of it, or its grant
/// has certainly expired. A new leader first gives all ranges higher fencing
/// tokens, so that targets refuse orders that an earlier leader still sends.
class RangeAssigner {
public:
  RangeAssigner(std::uint32_t Keys, RangeTimes Times)
      : Keys(Keys), Times(Times) {}

  /// Starts leading with the recorded state. The number of \p Revision is 0
  /// when nothing is recorded in its era. A record of an earlier era than the
  /// revision's may lack the last owners: nothing is granted before all grants
  /// of earlier leaders have certainly ended. Nothing is written either, so
  /// that another leader that takes over meanwhile waits as well.
  auto takeOver(RangeRecord Recorded, std::uint64_t Revision, TimePoint Now)
      -> void;

  /// No earlier leader has sent an order since \p Ends, and none ever will:
  /// after takeOver(), only the grants that they may have sent until then
  /// are waited for. Has no effect on a record that may lack owners, or after
  /// restored(), since leaders may be unknown then.
  auto earlierLeadersEnded(const EarlierOrderEnds &Ends, TimePoint Now) -> void;

  /// Goes on leading after the store was restored, or after a late write of an
  /// earlier era has replaced the record: the known state is written again.
  /// Owners keep their fencing tokens, so their grants go on meanwhile. \p
  /// Revision is that of the object in the store. A later leader's claim and
  /// changes may be lost: the record keeps its earlier era, so that it is
  /// incomplete for other leaders, and no keys change owners, until all owners
  /// have accepted their tokens again or all earlier grants have ended.
  ///
  /// After an absence longer than a grant, a later leader may have moved keys
  /// of owners that only this one reaches. Grants are then renewed by the
  /// earlier proof of leadership only, and the record is taken over like that
  /// of another leader.
  auto restored(std::uint64_t Revision, TimePoint Now) -> void;

  /// The leadership was lost and claimed again. \p LastConfirmedAt is when it
  /// was last confirmed before.
  auto claimedAgain(TimePoint LastConfirmedAt, TimePoint Now) -> void;

  struct View {
    std::vector<PlanTarget> Targets;
    double ProcessingSeconds = 0; ///< RangePlanner::Input::ProcessingSeconds.
    /// Start time of each target in the directory. May be older than the
    /// ranges.
    std::unordered_map<TargetId, std::int64_t> Incarnations;
    /// Draining targets: their keys are withdrawn while they still answer.
    std::set<TargetId> Leaving;
  };

  /// Plans changes of owners. To be called at intervals and when targets
  /// change.
  auto plan(View NewView, const KeyLoad &Load, TimePoint Now) -> void;

  /// Returns the record to be written to the store if its revision is still
  /// revision(), or nothing.
  auto pendingWrite() const -> const std::optional<RangeRecord> & {
    return Proposed;
  }
  auto revision() const -> std::uint64_t { return Revision; }
  auto writeDone(std::uint64_t NewRevision, TimePoint Now) -> void;
  /// The store refused the write; the change is planned again.
  auto writeRefused() -> void;

  /// Returns the next order to the target that is due, or nothing. The caller
  /// must not have more than one grant to a target in flight; releases may be
  /// in flight beside it. \p ConfirmedAt is when leadership was last confirmed.
  auto nextGrant(const TargetId &Target, TimePoint ConfirmedAt, TimePoint Now)
      -> std::optional<RangeOrder>;
  auto nextRelease(const TargetId &Target, TimePoint ConfirmedAt, TimePoint Now)
      -> std::optional<RangeOrder>;
  auto onOrderEnded(const RangeOrder &Order, RangeOrderOutcome Outcome,
                    const std::string &Handover, TimePoint Now) -> void;

  /// Returns the owners of all ranges, and the previous owners of ranges whose
  /// owner has not been sent a grant.
  auto involvedTargets() const -> std::set<TargetId>;
  /// Returns the targets for which further orders may be due since \p Ended has
  /// ended: its own, and the owners of the keys that it names.
  auto targetsAfter(const RangeOrder &Ended) const -> std::set<TargetId>;
  /// Whether the target has not answered orders for longer than
  /// NoResponseTimeout. False again some time after the last failed order, so
  /// that the target is retried.
  auto unresponsive(const TargetId &Target, TimePoint Now) const -> bool;

  /// Returns the fencing tokens of new owners that have received their first
  /// grants since the last call.
  auto takeGranted() -> std::vector<std::uint64_t> {
    return std::exchange(NewlyGranted, {});
  }

  auto record() const -> const RangeRecord & { return Current; }
  /// Of the last plan.
  auto figures() const -> const MoveFigures & { return Figures; }

private:
  /// State of one recorded range, as known to this leader.
  struct State {
    /// Latest time until which the owner may hold the keys.
    TimePoint HoldEnd = LongAgo;
    /// Latest time until which an unanswered grant may let the owner hold the
    /// keys.
    TimePoint UnansweredHoldEnd = LongAgo;
    /// The same, for grants of this leader only.
    TimePoint OwnUnansweredHoldEnd = LongAgo;
    TimePoint PreviousHoldEnd = LongAgo;
    TimePoint PreviousUnansweredHoldEnd = LongAgo;
    /// HoldEnd and PreviousHoldEnd by the grants of this leader only.
    TimePoint OwnHoldEnd = LongAgo;
    TimePoint OwnPreviousHoldEnd = LongAgo;
    TimePoint NextGrantAt = LongAgo;
    /// The range is not moved before.
    TimePoint MovableFrom = LongAgo;
    TimePoint NextReleaseAt = LongAgo;
    bool GrantInFlight = false; ///< A grant to the owner is in flight.
    /// That grant was sent before the store was restored, so its answer does
    /// not tell whether the owner has seen later tokens since.
    bool SentBeforeRestoration = false;
    bool PreviousGrantInFlight = false; ///< The same for the previous owner.
    /// A grant was sent to the owner, or an earlier leader may have sent one.
    bool GrantSent = false;
    bool GrantAccepted = false; ///< The owner has accepted a grant.
    /// The owner accepted a grant of this leader before the takeover, so it may
    /// be renewed until RenewUntil.
    bool Renewable = false;
    bool ReleaseInFlight = false; ///< A release order is in flight.
    bool Released = false;
    std::string Handover;
  };

  /// Whether an order to the target has just failed. All ranges of the target
  /// wait then; otherwise a leader that cannot reach the targets would spend
  /// all its time on repeats.
  auto inRetryPause(const TargetId &Target, TimePoint Now) const -> bool;
  auto previousOwnerEnd(const KeyRange &Range, const State &RangeState,
                        TimePoint Now) const -> PreviousOwnerEnd;
  auto previousOwnerGone(const KeyRange &Range, const State &RangeState,
                         TimePoint Now) const -> bool {
    return previousOwnerEnd(Range, RangeState, Now) != PreviousOwnerEnd::None;
  }
  /// Whether the record of the previous owner shows a later incarnation.
  auto restarted(const KeyRange &Range) const -> bool;
  /// Whether the ranges name a later incarnation of the target than its record,
  /// which may still hold keys.
  auto recordedLater(const PlanTarget &Target, TimePoint Now) const -> bool;
  auto movable(const KeyRange &Range, const State &RangeState,
               TimePoint Now) const -> bool;
  auto stateOf(const RangeRecord &Record, const KeyRange &Range) const -> State;
  /// Indices of the ranges of which the target is the owner or previous owner.
  auto rangesOf(const TargetId &Target) const
      -> const std::vector<std::size_t> &;
  /// Updates RangesByTarget. To be called when Current.Ranges has changed.
  auto indexRanges() -> void;
  /// Returns the record without the previous owners that can no longer hold
  /// keys, for ranges whose owner has accepted a grant.
  auto withoutGonePreviousOwners(TimePoint Now) const -> RangeRecord;
  /// Whether a later leader's changes may be lost (see restored()).
  auto unconfirmed() const -> bool;
  /// Proposes the record as complete in the era of the store once it is.
  auto confirmRecord(TimePoint Now) -> void;
  /// Takes the own record over like that of another leader, but renews the
  /// grants of its owners until RenewUntil.
  auto takeOverOwnRecord(std::uint64_t AtRevision, TimePoint Now) -> void;
  /// Time until which this leader may send orders.
  auto authorityEnd(TimePoint ConfirmedAt) const -> TimePoint;
  /// Whether this leader may renew the range's grant while it waits for earlier
  /// owners.
  auto renewableWhileWaiting(const State &RangeState, TimePoint Now) const
      -> bool;
  /// Whether the pending record moves or splits the range or changes its
  /// fencing token.
  auto changedByProposal(const KeyRange &Range) const -> bool;
  auto recordNoResponse(const TargetId &Target, RangeOrderOutcome Outcome,
                        TimePoint Now) -> void;
  auto onGrantEnded(const RangeOrder &Order, RangeOrderOutcome Outcome,
                    TimePoint Now) -> void;
  auto onReleaseEnded(const RangeOrder &Order, RangeOrderOutcome Outcome,
                      const std::string &Handover, TimePoint Now) -> void;

  std::uint32_t Keys;
  RangeTimes Times;
  RangeRecord Current;
  std::vector<State> States; ///< Parallel to Current.Ranges.
  /// Each order looks for the ranges of one target, and the number of orders
  /// grows with that of all ranges.
  std::unordered_map<TargetId, std::vector<std::size_t>> RangesByTarget;
  std::uint64_t Revision = 0;
  std::optional<RangeRecord> Proposed;
  bool TakingOver = false;
  /// The record may lack owners; their grants last until EarlierOwnersUntil.
  bool WaitingForEarlierOwners = false;
  /// Also the latest time until which the record stays unconfirmed.
  TimePoint EarlierOwnersUntil = LongAgo;
  /// All leaders before the takeover are recorded.
  bool EarlierLeadersKnown = false;
  /// Latest confirmation of leadership that an order was based on.
  TimePoint LastConfirmedAt = LongAgo;
  /// End of the authority before an absence of the store that was longer than
  /// a grant; LongAgo: there was none.
  TimePoint RenewUntil = LongAgo;
  TimePoint ChangedAt = LongAgo;
  View CurrentView;
  MoveFigures Figures;
  struct NoResponsePeriod {
    TimePoint FirstAt;
    TimePoint LastAt;
  };
  std::unordered_map<TargetId, NoResponsePeriod> NoResponse;
  std::vector<std::uint64_t> NewlyGranted;
};

} // namespace buckthornring
