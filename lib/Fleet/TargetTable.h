#pragma once

#include "Fleet/SlidingWindowCounter.h"
#include "Fleet/TargetLoad.h"
#include "Fleet/TargetRecord.h"
#include "buckthornring/Common/Random.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace buckthornring {

/// Numbers of live instances, for limits that hold for all of them together.
struct FleetSize {
  std::uint32_t Instances = 0; ///< 0: not told by a leader yet.
  std::uint32_t InOwnDataCentre = 0;

  auto known() const -> bool { return Instances > 0; }
  /// Number to divide by where an estimate will do.
  auto estimatedInstances() const -> std::uint32_t {
    constexpr std::uint32_t LikelyAtMost = 16;
    return known() ? Instances : LikelyAtMost;
  }
};

/// How many requests per second a cold target of a service may get from the
/// whole fleet.
struct ColdLimit {
  double RequestsPerSecond = 0;
};

/// One target as this instance sees it.
struct TargetState {
  TargetRecord Record;
  TargetLoad Load;
  /// Longer than the second of the limit, as sends are delayed differently.
  SlidingCount Sends{std::chrono::milliseconds(1300)};
  TimePoint ColdUntil = LongAgo;
  TimePoint UnreachableUntil = LongAgo; ///< Unreachable up to this time.
  Duration Backoff{0};                  ///< Length of the next down time.
  /// Until then the target may have restarted without its record telling so
  /// yet; it counts as cold.
  TimePoint UnverifiedUntil = LongAgo;
  /// Missing from the directory, where its record may return until then: it may
  /// have lapsed in an outage.
  std::optional<TimePoint> MissingUntil;

  auto cold(TimePoint Now) const -> bool {
    return Now < UnverifiedUntil || Now < ColdUntil;
  }
};

using TargetPtr = std::shared_ptr<TargetState>;

/// What a request asks of a target.
struct TargetRequest {
  ServiceId Service;
  bool Idempotent = true;
  Duration TargetLatency = std::chrono::seconds(1);
  std::vector<TargetId> Avoided; ///< Tried before.
};

/// Why no target was selected.
enum class NoTargetReason {
  None, ///< The service has no target that takes requests.
  Busy, ///< All targets have as much work as they finish in time.
  Cold, ///< Only cold targets are left, at their limit.
  Down, ///< All targets are unreachable at the moment.
};

struct TargetSelection {
  TargetPtr Target; ///< Null: none.
  NoTargetReason Reason = NoTargetReason::None;
  Duration Expected{0}; ///< Estimated time to the answer.
};

/// The targets of all services, with the rules by which they take requests.
class TargetTable {
public:
  struct Settings {
    InstanceId Instance;
    DataCentreId DataCentre; ///< Of this instance.
    /// Longest time after a restart until the record tells it: a heartbeat
    /// interval of the targets and the delay of the store.
    Duration RecordDelay = std::chrono::milliseconds(2000);
  };

  TargetTable(Settings Given, std::uint64_t Seed)
      : Given(std::move(Given)), Random(Seed) {}

  // Directory.

  /// Adds or replaces a record. Returns whether it names a new life of the
  /// target.
  auto apply(const TargetRecord &Record, TimePoint Now) -> bool;
  /// A record has been removed. Until \p KeepUntil the target is kept, as the
  /// record may return.
  auto remove(const TargetId &Id, TimePoint KeepUntil, TimePoint Now) -> void;
  /// The directory as a whole; targets that it lacks are removed.
  auto replace(const std::vector<TargetRecord> &Records, TimePoint KeepUntil,
               TimePoint Now) -> void;
  /// Removes targets whose records have not returned. Returns whether any was.
  auto dropMissing(TimePoint Now) -> bool;

  auto setEvacuated(std::set<DataCentreId> DataCentres, TimePoint Now) -> void;
  auto evacuated() const -> const std::set<DataCentreId> & { return Evacuated; }
  auto setFleetSize(FleetSize Size) -> void { Fleet = Size; }
  auto fleetSize() const -> FleetSize { return Fleet; }
  auto setColdLimits(std::unordered_map<ServiceId, ColdLimit> Limits) -> void {
    ColdLimits = std::move(Limits);
  }

  auto find(const TargetId &Id) const -> TargetPtr;
  auto targetsOfService(const ServiceId &Service) const
      -> const std::vector<TargetPtr> &;
  auto all() const -> const std::unordered_map<TargetId, TargetPtr> & {
    return Targets;
  }

  // Requests.

  /// Returns the target with the shortest expected time, own data centre first.
  auto select(const TargetRequest &Wish, TimePoint Now) -> TargetSelection;
  /// The same for a request that only \p Target may run.
  auto selectOwner(const TargetPtr &Target, TimePoint Now) -> TargetSelection;

  /// Whether new requests may go to the target at all.
  auto takesRequests(const TargetState &Target) const -> bool;

  /// Expected time of a request at the target, waiting included.
  auto expectedTime(const TargetState &Target, TimePoint Now) const -> Duration;

  // Observations.

  auto answered(TargetState &Target, Duration Latency) -> void;
  /// No connection to the target could be opened.
  auto markUnreachable(TargetState &Target, TimePoint Now) -> void;
  auto reachable(TargetState &Target) -> void;

private:
  /// Requests that this instance may have at an owner of keys.
  auto ownShare(const TargetState &Target) const -> std::uint32_t;
  auto coldLimitReached(TargetState &Target, TimePoint Now) -> bool;
  /// Whether this instance is among a share of all instances, chosen at random
  /// for each life of a target.
  auto chosenFor(const TargetRecord &Target, double Share) const -> bool;
  auto erase(const TargetId &Id) -> void;
  auto typicalWork(const ServiceId &Service) const -> Duration;

  Settings Given;
  RandomSource Random;
  FleetSize Fleet;
  std::set<DataCentreId> Evacuated;
  std::unordered_map<ServiceId, ColdLimit> ColdLimits;
  std::unordered_map<TargetId, TargetPtr> Targets;
  std::unordered_map<ServiceId, std::vector<TargetPtr>> ByService;
  std::unordered_map<ServiceId, double> WorkUs; ///< Moving average.
};

} // namespace buckthornring
