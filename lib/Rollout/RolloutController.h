#pragma once

#include "Rollout/RolloutRecord.h"
#include "Rollout/VersionTest.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace buckthornring {

/// The leader's decisions on one rollout: its stage, the share of requests that
/// may go to the new version, and the verdict.
///
/// A stage is in force once it is recorded in the store, except `stopped`,
/// which is in force at once. Time is counted by the leader's clock since the
/// order and continued from the record by the next leader.
class RolloutController {
public:
  RolloutController(RolloutOrder Order, const RolloutBounds &Bounds,
                    bool Divided, std::string Base, TimePoint SeenAt);

  /// Continues from the record of an earlier leader. \p ReadAt is when it was
  /// read.
  auto continueFrom(const RolloutRecord &Record, TimePoint ReadAt) -> void;

  /// The store holds a record that another leader has written.
  auto adopt(const RolloutRecord &Record, TimePoint Now) -> void;

  auto order() const -> const RolloutOrder & { return Order; }
  auto id() const -> std::uint64_t { return Id; }

  /// Records the report of an instance; \p Process identifies its start.
  auto recordReport(const InstanceId &Instance, const std::string &Process,
                    const RolloutReport &Report, TimePoint Now) -> void;

  struct View {
    std::uint32_t OldSlots = 0;     ///< Of ready targets of other versions.
    std::uint32_t NewSlots = 0;     ///< Of ready targets of the new version.
    std::uint32_t WarmNewSlots = 0; ///< Of those that are not cold.
    bool KeysAtOld = false;         ///< Other versions own keys of the service.
    bool StoreReachable = true;
    /// All instances that report to the leader, which has led for long enough
    /// to know them.
    bool MembersKnown = false;
    std::set<InstanceId> Members;
  };
  /// Decides anew.
  auto step(const View &Current, TimePoint Now) -> void;

  /// The record to be written before a decision takes effect, or nothing.
  auto pendingRecord(TimePoint Now) const -> std::optional<RolloutRecord>;
  /// The store has the record.
  auto recorded(const RolloutRecord &Record, TimePoint Now) -> void;

  /// The decision in force.
  auto notice(TimePoint Now) const -> RolloutNotice;
  /// State that the status of the order should tell now.
  auto dueState() const -> RolloutState;

  auto stage() const -> RolloutStage { return Stage; }
  auto elapsed(TimePoint Now) const -> Duration { return Now - StartedAt; }
  /// Why the rollout was stopped, or why it waits.
  auto cause() const -> const std::string & { return Cause; }
  auto comparison() const -> const VersionComparison & { return Latest; }
  /// Route of the comparison; empty: all routes.
  auto comparedRoute() const -> const std::string & { return LatestRoute; }

  struct Totals {
    std::uint32_t Requests = 0;
    std::uint32_t SentToNew = 0;
    OutcomesByRoute Old;
    OutcomesByRoute New;
  };
  /// Sums over all instances.
  auto totals() const -> const Totals & { return Sums; }

private:
  struct Reported {
    std::string Process;
    RolloutReport Latest;
    /// Counts of earlier processes of the instance.
    Totals Earlier;
    TimePoint At = LongAgo;
  };

  /// Takes over the time since the order from an instance that knows it longer.
  auto learnAge(const RolloutReport &Report, TimePoint Now) -> void;
  /// Another leader has decided on a stage that is not left again.
  auto follow(RolloutStage Other, TimePoint Now) -> void;
  auto sumReports() -> void;
  auto keepSnapshot(TimePoint Now) -> void;
  /// Whether the new version is bad by the reports of the last \p Span; null:
  /// by all of them.
  auto badSince(const Totals *Earlier, Duration Span, Strictness Wanted)
      -> bool;
  /// Largest number of failures within a span that one crash may have caused.
  auto failuresOfACrash(Duration Span) const -> std::uint32_t;
  auto snapshotBefore(TimePoint Time) const -> const Totals *;
  auto isBad(Strictness Wanted, TimePoint Now) -> bool;
  auto badInComplete(TimePoint Now) -> bool;
  auto stepCompare(const View &Current, TimePoint Now) -> void;
  auto stepComplete(const View &Current, TimePoint Now) -> void;
  auto enoughEvidence() const -> bool;
  auto mayCompare(const View &Current, TimePoint Now) const -> bool;
  auto moveTo(RolloutStage Next, std::string Reason, TimePoint Now) -> void;
  auto completionTime() const -> Duration;
  auto latestCompletion() const -> Duration;
  auto allLeftOld(const View &Current, TimePoint Now) const -> bool;

  RolloutOrder Order;
  std::uint64_t Id;
  RolloutBounds Bounds;
  bool Divided;
  std::string Base;
  TimePoint StartedAt;
  RolloutStage Stage = RolloutStage::Hold;   ///< Decided.
  RolloutStage InForce = RolloutStage::Hold; ///< Recorded, or `stopped`.
  std::optional<RolloutStage> Written;       ///< Last recorded one.
  TimePoint InForceAt = LongAgo;
  std::uint32_t SharePpm = 0;
  std::string Cause;
  bool Succeeded = false;
  std::map<InstanceId, Reported> Reports;
  Totals Sums;
  std::deque<std::pair<TimePoint, Totals>> Snapshots;
  std::optional<Totals> BeforeComplete;
  /// Failures of the new version that each snapshot added.
  std::vector<std::uint32_t> NewFailures;
  VersionComparison Latest;
  std::string LatestRoute;
};

} // namespace buckthornring
