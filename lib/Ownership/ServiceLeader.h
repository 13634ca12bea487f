#pragma once

#include "Ownership/AssignmentStore.h"
#include "Ownership/GrantQueue.h"
#include "Ownership/OwnershipContext.h"
#include "Ownership/SliceLoad.h"
#include "buckthornring/Ownership/AssignmentPlanner.h"
#include "buckthornring/Ownership/LeaseTable.h"
#include "buckthornring/Ownership/MoveTracker.h"

#include <map>
#include <set>

namespace buckthornring {

/// Ownership of one service's slices: the leader's work, and the deputy's copy.
class ServiceLeader {
public:
  ServiceLeader(OwnedService Service, SliceMap Map, OwnershipContext &Context);

  auto configure(OwnedService Service) -> void;
  auto service() const -> const OwnedService & { return Service; }

  /// The term rose. \p WasLeader and \p OldTerm describe the term before.
  auto enterTerm(bool WasLeader, std::uint64_t OldTerm, TimePoint Now) -> void;

  auto tickLeader(TimePoint Now, OwnershipActions &Actions) -> void;
  auto tickDeputy(TimePoint Now, OwnershipActions &Actions) -> void;

  auto leaseReply(const TargetId &Target, const LeaseReply &Reply,
                  TimePoint Now) -> void;
  auto targetAlive(const TargetId &Target, TimePoint Now) -> void;
  auto confirmTargetLost(const TargetId &Target, TimePoint Now) -> void;

  /// Deputy: takes a copy and returns the acknowledgement.
  auto copy(const AssignmentCopy &Message) -> AssignmentCopyAck;

  auto store() -> AssignmentStore & { return Store; }
  auto store() const -> const AssignmentStore & { return Store; }
  auto load() -> SliceLoad & { return Load; }
  auto map() const -> const SliceMap & { return Map; }
  auto editableMap() -> SliceMap & { return Map; }
  auto moves() const -> const MoveTracker & { return Moves; }
  auto verified() const -> bool {
    return Service.Verification == TargetVerification::Verified;
  }
  /// True when instances may use the map for unverified targets.
  auto routable() const -> bool;
  auto acknowledged(std::uint32_t Slice) const -> bool;
  auto waiting() const -> std::uint32_t;
  auto releasedAway() const -> bool;

private:
  /// What a leader knows about who holds the slices.
  enum class Knowledge {
    Fencing,    ///< Others may still move slices: nothing is renewed.
    Collecting, ///< Nobody else moves slices; targets report what they hold.
    Resolved,   ///< Every slice is held by its owner in the map or by nobody.
  };

  auto home(std::uint32_t Slice) const -> bool;
  auto known(const TargetId &Target) const -> bool;
  auto alive(const TargetId &Target, TimePoint Now) const -> bool;
  auto usable(const TargetId &Target, TimePoint Now) const -> bool;
  auto lost(const TargetId &Target, TimePoint Now) const -> bool;
  auto clearAt(const TargetId &Target) const -> std::optional<TimePoint>;
  auto routingClearAt() const -> std::optional<TimePoint>;
  auto resume() -> void;
  auto setServing(std::uint32_t Slice, bool Serving) -> void;
  auto grantAll(const TargetId &Target) -> void;

  auto resolve(TimePoint Now) -> void;
  auto fenced(TimePoint Now) const -> bool;
  auto takeReport(const TargetId &Target) -> void;
  auto accounted(TimePoint Now) const -> bool;

  auto startMove(std::uint32_t Slice, const TargetId &To, bool OwnerLost)
      -> void;
  auto startMoves(TimePoint Now) -> void;
  auto hasUnowned(TimePoint Now) const -> bool;
  auto balanceCheckDue(TimePoint Now) -> bool;
  auto planMoves(TimePoint Now) -> void;
  auto cancelReturned(TimePoint Now) -> void;
  auto progressMoves(TimePoint Now) -> void;
  auto cleared(std::uint32_t Slice, const MoveTracker::Move &Move,
               TimePoint Now) const -> bool;
  auto recordOwner(std::uint32_t Slice, const TargetId &To) -> void;
  auto recorded(std::uint32_t Slice, const MoveTracker::Move &Move) const
      -> bool;
  auto plannerInput(TimePoint Now) const -> AssignmentPlanner::Input;
  auto updateSuccessors(TimePoint Now) -> void;
  auto chooseTarget(std::uint32_t Slice, TimePoint Now) const -> TargetId;

  auto sendLeases(TimePoint Now, OwnershipActions &Actions) -> void;
  auto leaseMessage(const TargetId &Target, TimePoint Now) -> LeaseMessage;
  auto mayChange(const LeaseMessage &Message, TimePoint Now) -> bool;

  OwnedService Service;
  OwnershipContext &Context;
  SliceMap Map;
  AssignmentStore Store;
  LeaseTable Leases;
  MoveTracker Moves;
  GrantQueue Grants;
  SliceLoad Load;
  AssignmentPlanner Planner;
  std::vector<TargetId> Targets; ///< Configured or still owning slices, sorted.
  Knowledge State = Knowledge::Fencing;
  std::set<TargetId> Reported; ///< Targets whose report was taken over.
  std::uint64_t CopyTerm = 0;
  bool CopyResolved = false;
  TimePoint TermSince;
  TimePoint BalancedAt;
  TimePoint BalanceCheckedAt;
  TimePoint SuccessorsAt;
  std::map<TargetId, TimePoint> SentAt;
  std::map<TargetId, TimePoint> HeardAt; ///< Unverified targets.
};

} // namespace buckthornring
