#pragma once

#include "Fleet/KeyLoad.h"
#include "Fleet/KeyRanges.h"
#include "Fleet/RangePlanner.h"
#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Time.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace buckthornring {

/// Times of the ownership protocol.
struct RangeTimes {
  /// Length of a grant, from its arrival at the target.
  Duration HoldPeriod = std::chrono::seconds(3);
  Duration RenewEvery = std::chrono::milliseconds(1000);
  /// Wait before a call that got no answer is repeated.
  Duration RepeatAfter = std::chrono::milliseconds(300);
  /// Time since the last proof of leadership during which grants are renewed.
  Duration Authority = std::chrono::seconds(10);
  double ClockError = 0.02; ///< A target's clock may run slow by this part.
  /// Longest time from the end of a call's connection to its arrival.
  Duration Transit = std::chrono::milliseconds(150);

  /// Time after which a grant that arrived at the latest by now has ended.
  auto longestHold() const -> Duration {
    return std::chrono::duration_cast<Duration>(HoldPeriod * (1 + ClockError)) +
           Transit;
  }
};

/// An order to a target.
struct RangeOrder {
  enum class Kind { Grant, Release };
  Kind Type = Kind::Grant;
  TargetId Target;
  std::int64_t StartedAt = 0; ///< Life of the target that is meant.
  std::uint32_t From = 0;
  std::uint32_t To = 0;
  std::uint64_t Fence = 0;
  Duration HoldPeriod{0};
  std::string Handover; ///< State of the previous owner, if known.
};

inline constexpr EnumNames<RangeOrder::Kind, 2> RangeOrderNames({"grant",
                                                                 "release"});

enum class RangeOrderOutcome {
  Accepted,
  Refused,    ///< A higher fencing token was seen.
  Unanswered, ///< The connection was closed; the call may still take effect.
  NotSent,    ///< The target was not reached.
};

inline constexpr EnumNames<RangeOrderOutcome, 4>
    RangeOrderOutcomeNames({"accepted", "refused", "unanswered", "not-sent"});

/// Keeps the keys of one service owned, as the current leader.
///
/// Each change of owners is recorded in the store, under a condition, before
/// any target hears of it. A new owner gets its grant only when the previous
/// one has released the keys, has started anew without them, or its grant has
/// certainly ended. A new leader first gives all ranges higher fencing tokens,
/// so that targets refuse what an earlier leader still sends.
class RangeAssigner {
public:
  RangeAssigner(std::uint32_t Keys, RangeTimes Times)
      : Keys(Keys), Times(Times) {}

  /// Starts leading from the recorded state; \p Revision 0: none is recorded.
  auto takeOver(RangeRecord Recorded, std::uint64_t Revision, TimePoint Now)
      -> void;

  struct View {
    std::vector<PlanTarget> Targets;
    double ProcessingSeconds = 0; ///< RangePlanner::Input::ProcessingSeconds.
    /// Start time by id of all targets in the directory.
    std::unordered_map<TargetId, std::int64_t> Incarnations;
    /// Targets from which keys are to be withdrawn while they still answer.
    std::set<TargetId> Leaving;
  };

  /// Plans changes. Call at intervals and when targets change.
  auto plan(View Seen, const KeyLoad &Load, TimePoint Now) -> void;

  /// A record to be written to the store when it has revision(), or nothing.
  auto pendingWrite() const -> const std::optional<RangeRecord> & {
    return Proposed;
  }
  auto revision() const -> std::uint64_t { return Revision; }
  auto writeDone(std::uint64_t NewRevision, TimePoint Now) -> void;
  /// Nothing was written; the change is planned anew.
  auto writeRefused() -> void;

  /// Returns the next order to the target that is due, or nothing. The caller
  /// has at most one grant to a target under way; releases may wait beside it.
  /// \p ConfirmedAt is when the leadership was last proved.
  auto nextGrant(const TargetId &Target, TimePoint ConfirmedAt, TimePoint Now)
      -> std::optional<RangeOrder>;
  auto nextRelease(const TargetId &Target, TimePoint ConfirmedAt, TimePoint Now)
      -> std::optional<RangeOrder>;
  auto onOrderEnded(const RangeOrder &Call, RangeOrderOutcome Answer,
                    const std::string &Handover, TimePoint Now) -> void;

  /// Targets that have or get ranges, and donors.
  auto involvedTargets() const -> std::set<TargetId>;
  /// Whether the target has left orders unanswered for long. Forgotten some
  /// time after the last failure, so that the target is tried again.
  auto unresponsive(const TargetId &Target, TimePoint Now) const -> bool;

  /// Returns the fencing tokens of new owners that have received their first
  /// grants since the last call.
  auto takeGranted() -> std::vector<std::uint64_t> {
    return std::exchange(Granted, {});
  }

  auto record() const -> const RangeRecord & { return Current; }

private:
  /// What this leader knows of one recorded range.
  struct State {
    /// Latest time up to which the owner may hold the keys.
    TimePoint HoldEnd = LongAgo;
    /// Latest effect of a grant to the owner that got no answer.
    TimePoint StrayEnd = LongAgo;
    TimePoint OwnStrayEnd = LongAgo; ///< Of this leader's grants.
    TimePoint DonorHoldEnd = LongAgo;
    TimePoint DonorStrayEnd = LongAgo;
    TimePoint NextAt = LongAgo;
    TimePoint ReleaseAt = LongAgo;
    bool InFlight = false;      ///< A grant to the owner is under way.
    bool DonorInFlight = false; ///< The same for the donor.
    bool Sent = false;          ///< A grant was sent to the owner.
    bool Accepted = false;      ///< The owner has accepted a grant.
    bool Releasing = false;     ///< A release is under way at the donor.
    bool Released = false;
    std::string Handover;
  };

  /// Whether the target has just failed to answer. All its ranges wait, or a
  /// leader without a way to the targets would send nothing but repeats.
  auto paused(const TargetId &Target, TimePoint Now) const -> bool;
  auto donorGone(const KeyRange &Range, const State &Known, TimePoint Now) const
      -> bool;
  auto stateOf(const RangeRecord &Record, const KeyRange &Range) const -> State;
  /// The record without the donors that can hold nothing any more.
  auto withoutSettledDonors(TimePoint Now) const -> RangeRecord;
  /// Whether this leader may still give orders.
  auto hasAuthority(TimePoint ConfirmedAt, TimePoint Now) const -> bool;
  auto proposedAway(const KeyRange &Range) const -> bool;
  auto granted(const RangeOrder &Call, RangeOrderOutcome Answer, TimePoint Now)
      -> void;
  auto released(const RangeOrder &Call, RangeOrderOutcome Answer,
                const std::string &Handover, TimePoint Now) -> void;

  std::uint32_t Keys;
  RangeTimes Times;
  RangeRecord Current;
  std::vector<State> States; ///< Parallel to Current.Ranges.
  std::uint64_t Revision = 0;
  std::optional<RangeRecord> Proposed;
  bool TakingOver = false;
  TimePoint ChangedAt = LongAgo;
  View Seen;
  struct Silence {
    TimePoint Since;
    TimePoint Last;
  };
  std::unordered_map<TargetId, Silence> Silent;
  std::vector<std::uint64_t> Granted;
};

} // namespace buckthornring
