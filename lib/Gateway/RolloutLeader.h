#pragma once

#include "Gateway/Protocol.h"
#include "Gateway/RolloutAgent.h"
#include "Gateway/StoreFeed.h"
#include "Rollout/RolloutController.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>

namespace buckthornring {

/// Decides on the rollouts of all services while this instance leads, records
/// each stage in the store and writes the status of the orders.
class RolloutLeader {
public:
  struct LeaderContext {
    ObjectStore &Store;
    const PlatformProtocol &Protocol;
    TargetTable &Targets;
    EventLog &Events;
    RolloutAgent &Agent; ///< Of this instance.
    const StoreFeed &RouterObjectsFeed;
    RolloutBounds Bounds;
    /// Reads the router's own objects and the orders again.
    std::function<void()> RefreshFeeds;
    /// An order as the store holds it after its status was written.
    std::function<void(const StoredObject &)> OnOrderWritten;
  };

  explicit RolloutLeader(LeaderContext Context) : Context(std::move(Context)) {}

  /// Name of the object that holds the state of a service's rollout.
  static auto recordName(const ServiceId &Service) -> std::string;
  static constexpr std::string_view RecordPrefix = "rollout.";

  /// This instance no longer leads, or leads anew.
  auto reset() -> void;

  struct Fleet {
    /// Time for which this instance has led.
    Duration Leading{0};
    std::set<InstanceId> Members;
    bool StoreReachable = false;
    std::uint64_t Era = 0; ///< Of the store.
    /// Whether targets of other versions own keys of the service.
    std::function<bool(const ServiceId &, const std::string &To)> KeysOutside;
    std::function<bool(const ServiceId &)> Divided;
  };
  auto tick(const Fleet &Current, TimePoint Now) -> void;

  auto handleReport(const InstanceId &Instance, const std::string &Process,
                    const std::map<ServiceId, RolloutReport> &Reports,
                    TimePoint Now) -> void;
  auto notices(TimePoint Now) const -> std::map<ServiceId, RolloutNotice>;

  /// State of all rollouts for the operator.
  auto stateJson(TimePoint Now) const -> nlohmann::json;

private:
  struct Rollout {
    Rollout(RolloutController Control, std::uint64_t Number)
        : Control(std::move(Control)), Number(Number) {}

    RolloutController Control;
    std::uint64_t Number; ///< Tells late answers to an earlier one.
    bool RecordPending = false;
    bool StatusPending = false;
    TimePoint NextRecordAt = LongAgo;
    TimePoint NextStatusAt = LongAgo;
    std::uint64_t RecordRevision = 0; ///< Of the last write of this leader.
    std::uint64_t StatusRevision = 0; ///< The same of the order.
    RolloutStage LoggedStage = RolloutStage::Hold;
  };

  auto findOrBegin(const ServiceId &Id, const RolloutAgent::Service &Known,
                   bool Divided, TimePoint Now) -> Rollout &;
  auto changed(const Rollout &Led, const RolloutOrder &Order) const -> bool;
  auto viewOf(const ServiceId &Id, const Rollout &Led, const Fleet &Current,
              TimePoint Now) const -> RolloutController::View;
  auto writeRecord(const ServiceId &Id, Rollout &Led, const Fleet &Current,
                   TimePoint Now) -> void;
  auto writeStatus(const ServiceId &Id, Rollout &Led, const RolloutOrder &Order,
                   TimePoint Now) -> void;
  auto find(const ServiceId &Id, std::uint64_t Number) -> Rollout *;
  auto logStage(const ServiceId &Id, Rollout &Led, TimePoint Now) -> void;

  LeaderContext Context;
  std::map<ServiceId, Rollout> Rollouts;
  std::uint64_t LastNumber = 0;
};

} // namespace buckthornring
