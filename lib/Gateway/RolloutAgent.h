#pragma once

#include "Fleet/TargetTable.h"
#include "Gateway/Protocol.h"
#include "IO/EventLog.h"
#include "Rollout/RolloutRecord.h"
#include "Rollout/RolloutShare.h"
#include "Rollout/VersionAdmission.h"

#include <map>
#include <optional>
#include <set>

namespace buckthornring {

/// One instance's part in rollouts: selects targets by version, counts what
/// becomes of the requests and reports it to the leader.
class RolloutAgent {
public:
  RolloutAgent(TargetTable &Targets, EventLog &Events,
               const RolloutBounds &Bounds, InstanceId Instance,
               TimePoint StartedAt)
      : Targets(Targets), Events(Events), Bounds(Bounds),
        Instance(std::move(Instance)), StartedAt(StartedAt) {}

  // What the store holds.

  /// All orders that can be read; replaces the earlier ones.
  auto setOrders(const std::map<ServiceId, RolloutOrder> &Readable,
                 TimePoint Now) -> void;
  auto setOrder(const ServiceId &Service,
                const std::optional<RolloutOrder> &Order, TimePoint Now)
      -> void;
  /// The leader's record of a rollout has been read.
  auto setRecord(const ServiceId &Service, const RolloutRecord &Record,
                 std::uint64_t Revision, TimePoint Now) -> void;
  /// The targets or their records have changed.
  auto onTargetsChanged() -> void { Outdated = true; }
  auto tick(TimePoint Now) -> void;

  // The leader.

  auto reports(TimePoint Now) const -> std::map<ServiceId, RolloutReport>;
  auto setNotices(const std::map<ServiceId, RolloutNotice> &Notices,
                  TimePoint Now) -> void;

  // Requests.

  /// Selects a target of an allowed version. \p FirstSend: the request has not
  /// been sent to a target yet, so it may go to a version under comparison.
  /// \p Table is the table of targets or a copy of it.
  auto select(TargetTable &Table, TargetRequest Request, bool FirstSend,
              TimePoint Now) -> TargetSelection;
  /// Whether the owner of a key may get a request.
  auto admitsOwner(const TargetRecord &Owner, TimePoint Now) -> bool;
  auto sent(const TargetRecord &Target, bool FirstSend) -> void;
  auto ended(const TargetRecord &Target, const std::string &Route,
             const RolloutResult &Result) -> void;

  // State, also for the leader and the operator.

  struct Service {
    VersionAdmission Admission;
    std::optional<RolloutOrder> Order;
    TimePoint OrderSeenAt = LongAgo;
    std::optional<RolloutShare> Share; ///< While the order has not ended.
    std::optional<RolloutRecord> Record;
    std::uint64_t RecordRevision = 0;
    TimePoint RecordReadAt = LongAgo;
    std::set<TargetId> Compared; ///< Targets of the new version in use.
    std::uint32_t ComparedPeriod = 0;
    std::uint32_t ComparedShare = 0;
    std::map<std::string, std::uint64_t> SendsByVersion;

    /// Whether the record belongs to the order.
    auto recordOfOrder() const -> const RolloutRecord *;
    auto stage() const -> RolloutStage {
      return Share ? Share->stage() : RolloutStage::Hold;
    }
  };
  auto services() const -> const std::map<ServiceId, Service> & { return All; }
  auto find(const ServiceId &Id) const -> const Service *;
  /// Whether a target of a divided service may own keys now.
  auto mayOwnKeys(const TargetRecord &Target, TimePoint Now) -> bool;

  /// Entries of the kind that named no order.
  auto malformed() const -> std::uint64_t { return Malformed; }
  auto countMalformed(const std::string &Name, const std::string &Reason)
      -> void;

private:
  auto refresh(TimePoint Now) -> void;
  auto useRecord(Service &State) -> void;
  /// Ready targets of the version, in the same order at all instances, and the
  /// number of those of other versions.
  auto targetsOf(const ServiceId &Id, const std::string &To) const
      -> std::pair<std::vector<TargetId>, std::size_t>;
  auto compared(const ServiceId &Id, Service &State, TimePoint Now)
      -> const std::set<TargetId> &;

  TargetTable &Targets;
  EventLog &Events;
  RolloutBounds Bounds;
  InstanceId Instance;
  TimePoint StartedAt;
  bool Loaded = false;
  bool Outdated = true;
  std::uint64_t Malformed = 0;
  std::map<ServiceId, Service> All;
};

} // namespace buckthornring
