#pragma once

#include "Admission/ReturnTimes.h"
#include "Admission/SendWindow.h"
#include "Admission/ServiceWindow.h"
#include "Admission/ShortageMonitor.h"
#include "Fleet/DataCentreReach.h"
#include "Fleet/SlidingWindowCounter.h"
#include "Fleet/TargetAnnouncements.h"
#include "Fleet/TargetLoad.h"
#include "Fleet/TargetRecord.h"
#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Random.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace buckthornring {

/// Number of live instances, for limits that apply to all of them together.
struct FleetSize {
  std::uint32_t Instances = 0; ///< 0: no leader has reported it yet.
  std::uint32_t InOwnDataCentre = 0;

  auto operator==(const FleetSize &) const -> bool = default;
  auto known() const -> bool { return Instances > 0; }
  /// Returns the number of instances, or a default where an estimate is enough.
  auto estimatedInstances() const -> std::uint32_t {
    constexpr std::uint32_t DefaultInstances = 16;
    return known() ? Instances : DefaultInstances;
  }
};

/// Requests per second that a cold target of a service may get from all
/// instances together.
struct ColdLimit {
  double RequestsPerSecond = 0;
};

/// State of one target as known to this instance.
struct TargetState {
  TargetRecord Record;
  TargetLoad Load;
  SendWindow Window{0}; ///< For owners of keys.
  ReturnTimes Returns{0};
  /// Requests sent recently. The window is longer than the 1 s of the cold
  /// limit, since requests arrive with different delays.
  SlidingWindowCounter Sends{std::chrono::milliseconds(1300)};
  TimePoint ColdUntil = LongAgo;
  TimePoint UnreachableUntil = LongAgo; ///< No attempts before then.
  Duration Backoff{0};                  ///< Length of the latest pause.
  /// Until then the target may have restarted without an updated record; it
  /// counts as cold.
  TimePoint UnverifiedUntil = LongAgo;
  /// Set while the target is missing from the directory: it is kept until then,
  /// since its record may have expired in a store outage and return.
  std::optional<TimePoint> MissingUntil;
  /// Never null.
  AnnouncementTable::Entry Announced = std::make_shared<TargetAnnouncements>();

  /// Records a load report that this or another instance has received. Returns
  /// false, and changes nothing, if a newer one is known.
  auto reported(const LoadReport &Report, TimePoint ReportedAt, TimePoint Now)
      -> bool {
    if (ReportedAt <= Load.reportedAt())
      return false;
    Load.reported(Report, ReportedAt);
    Window.reported(Report, Now);
    return true;
  }
  auto cold(TimePoint Now) const -> bool {
    return Now < UnverifiedUntil || Now < ColdUntil;
  }
};

using TargetPtr = std::shared_ptr<TargetState>;

/// Criteria by which a target is selected for a request.
struct TargetRequest {
  ServiceId Service;
  bool Idempotent = true;
  Duration TargetLatency = std::chrono::seconds(1);
  std::vector<TargetId> ExcludedTargets; ///< Already tried.
  /// Whether a target's version may get the request; empty: all may.
  std::function<bool(const TargetRecord &)> Admits = nullptr;
};

/// Why no target was selected.
enum class NoTargetReason {
  None,   ///< No target of the service takes requests.
  Down,   ///< All targets that take requests are currently unreachable.
  Paused, ///< Only targets that have asked for a pause and unreachable ones
          ///< are left.
  Cold,   ///< Only cold targets at their rate limit and those above are left.
  Busy,   ///< Some targets are at their request limit; none can take one now.
};

inline constexpr EnumNames<NoTargetReason, 5>
    NoTargetReasonNames({"none", "down", "paused", "cold", "busy"});

/// How a target compares for a request.
struct TargetAssessment {
  /// Draining, leaving, in an evacuated data centre or already tried.
  bool Excluded = false;
  NoTargetReason Reason = NoTargetReason::None; ///< Why it cannot take it now.
  Duration Expected{0};
  double CostUs = 0; ///< By which targets are compared.
};

/// What a call of TargetTable::announced() has changed.
struct AnnouncementChange {
  bool Leaving = false; ///< The target has begun to leave.
  bool Paused = false;  ///< The target has begun to pause.
};

struct TargetSelection {
  TargetPtr Target; ///< Null: none.
  NoTargetReason Reason = NoTargetReason::None;
  Duration Expected{0}; ///< Expected time until the response.
  /// End of the pause of an owner of keys; LongAgo: it does not pause.
  TimePoint OwnerPausedUntil = LongAgo;
};

/// How the requests of this instance at an owner of keys are limited.
enum class OwnerAdmission {
  Windows,     ///< By SendWindow.
  EqualShares, ///< By a fixed share of the owner's limit, for comparison.
};

/// The targets of all services, and the selection of a target for a request.
class TargetTable {
public:
  struct Settings {
    InstanceId Instance;
    DataCentreId DataCentre; ///< Data centre of this instance.
    /// Longest time after a restart of a target until its record shows the
    /// restart: one heartbeat interval of the targets plus the delay of the
    /// store.
    Duration RecordDelay = std::chrono::milliseconds(2000);
    OwnerAdmission Admission = OwnerAdmission::Windows;
  };

  TargetTable(Settings TableSettings, std::uint64_t Seed)
      : TableSettings(std::move(TableSettings)), Random(Seed) {}

  /// Returns a table with copies of all targets, which selects as this one
  /// would. What a selection changes in it does not change this one.
  auto copy() const -> TargetTable;

  // Directory.

  /// Adds or replaces a record. Returns whether it belongs to a new incarnation
  /// of the target. A record of a target that has left is not used if it is no
  /// newer than the last one.
  auto apply(const TargetRecord &Record, TimePoint Now) -> bool;
  /// Handles the removal of a record. The target is kept until \p KeepUntil,
  /// since the record may return.
  auto remove(const TargetId &Id, TimePoint KeepUntil, TimePoint Now) -> void;
  /// Replaces all records; targets that are not listed are removed.
  auto replace(const std::vector<TargetRecord> &Records, TimePoint KeepUntil,
               TimePoint Now) -> void;
  /// Removes targets whose records have not returned in time. Returns whether
  /// any target was removed.
  auto dropMissing(TimePoint Now) -> bool;
  /// Uses targets that had left and whose records have stayed in the directory
  /// since for longer than a record that is not renewed. Returns whether any
  /// target was added.
  auto readmitDeparted(TimePoint Now) -> bool;

  auto setEvacuated(std::set<DataCentreId> DataCentres, TimePoint Now) -> void;
  auto evacuated() const -> const std::set<DataCentreId> & { return Evacuated; }
  auto setFleetSize(FleetSize Size, TimePoint Now) -> void;
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

  /// Targets of the service that have announced something that is in force.
  auto announcing(const ServiceId &Service, TimePoint Now) const
      -> std::vector<TargetPtr>;

  // Requests.

  /// Returns the target with the lowest cost: its expected time plus penalties,
  /// among them one for other data centres.
  auto select(const TargetRequest &Request, TimePoint Now) -> TargetSelection;
  /// Returns how select() sees the target.
  auto assess(TargetState &Target, const TargetRequest &Request, TimePoint Now)
      -> TargetAssessment;
  /// Selects \p Target, the owner of the request's key, if it takes the request
  /// now.
  auto selectOwner(const TargetPtr &Target, TimePoint Now) -> TargetSelection;

  /// When the owner of a key is expected to have room for one more request of
  /// this instance.
  auto ownerOutlook(const TargetState &Target, TimePoint Now) const
      -> RoomOutlook;

  /// The load of all targets of an undivided service. Computed anew every 10
  /// ms.
  auto serviceLoad(const ServiceId &Service, TimePoint Now) -> ServiceLoad;
  /// Whether this instance may have one more request in flight at the targets
  /// of an undivided service.
  auto serviceAdmits(const ServiceId &Service, TimePoint Now) -> bool;

  /// Estimates over the owners of keys that this instance has sent to.
  struct OwnerEstimates {
    double SmallestWindow = 0; ///< 0: none.
    double LongestQueue = 0;
  };
  auto ownerEstimates(TimePoint Now) const -> OwnerEstimates;
  auto admissionCounts() -> AdmissionCounts & { return Counts; }
  auto admissionCounts() const -> const AdmissionCounts & { return Counts; }

  /// When all reachable targets of the service that take requests have asked
  /// for a pause: the time at which the first target takes requests again.
  auto allPausedUntil(const ServiceId &Service, TimePoint Now) const
      -> std::optional<TimePoint>;

  /// Whether new requests may be sent to the target at all.
  auto takesRequests(const TargetState &Target) const -> bool;

  /// Expected time of a request at the target, including waiting.
  auto expectedTime(const TargetState &Target, TimePoint Now) const -> Duration;

  // Observations.

  auto answered(TargetState &Target, Duration Latency) -> void;
  /// Records that a request is about to be sent to the target.
  auto sending(TargetState &Target, TimePoint Now) -> void;
  /// Records that no connection to the target could be opened.
  auto markUnreachable(TargetState &Target, TimePoint Now) -> void;
  /// Records that the target has accepted a connection or responded.
  auto connected(const TargetState &Target) -> void;
  auto markReachable(TargetState &Target) -> void;
  /// Time until which nothing is sent to the target because it, or its whole
  /// data centre, cannot be reached; in the past: it can.
  auto unreachableUntil(const TargetState &Target, TimePoint Now) const
      -> TimePoint;
  /// Whether a request for a key of \p Owner that waits until \p WaitEnd will
  /// find it unreachable all the time.
  auto ownerUnreachable(const TargetState &Owner, TimePoint WaitEnd,
                        TimePoint Now) const -> bool;
  /// Records what the incarnation \p Target has announced in a response.
  auto announced(const TargetRecord &Target, const TargetNotices &Notices,
                 TimePoint Now) -> AnnouncementChange;

private:
  /// A target that has left. The directory may bring back a record of it.
  struct Departure {
    TargetRecord Last;
    TimePoint ForgetAt;
    /// The record that came back; it is used at ForgetAt.
    std::optional<TargetRecord> Returned;
  };

  /// Whether this instance may have one more request in flight at an owner of
  /// keys.
  auto ownerAdmits(TargetState &Target, TimePoint Now) -> bool;
  /// Number of requests that one instance may have in flight at an owner of
  /// keys when it knows nothing of the others: more than an equal share of \p
  /// QueuePerSlot.
  auto ownerShare(const TargetState &Target, double QueuePerSlot) const
      -> double;
  /// Whether the target has as many requests of this instance as it is to get
  /// soon after a pause.
  auto returnLimitReached(const TargetState &Target, TimePoint Now) const
      -> bool;
  auto coldLimitReached(TargetState &Target, TimePoint Now) -> bool;
  /// Requests that this instance may send to a cold target within the window of
  /// TargetState::Sends, out of \p UsableLimit of all instances.
  auto coldShare(const TargetRecord &Target, const FleetSize &Size,
                 double UsableLimit) const -> double;
  /// Number of targets that a request compares, in the own data centre and in
  /// all others.
  auto sampleSize(const std::vector<TargetPtr> &Candidates) const
      -> std::uint32_t;
  /// Whether the target is not considered for the request at all.
  auto excluded(const TargetState &Target, const TargetRequest &Request) const
      -> bool;
  /// Why the target cannot take the request now, or None.
  auto unavailable(TargetState &Target, const TargetRequest &Request,
                   TimePoint Now) -> NoTargetReason;
  auto cost(const TargetState &Target, const TargetRequest &Request,
            Duration ExpectedTime, TimePoint Now) -> double;
  /// Whether this instance is in a pseudo-random subset of all instances of
  /// relative size \p Share, chosen for each incarnation of a target.
  auto isChosenSender(const TargetRecord &Target, double Share) const -> bool;
  auto erase(const TargetId &Id) -> void;
  /// Erases the target and remembers that it has left.
  auto depart(const TargetId &Id, TimePoint Now) -> void;
  /// Whether the record is no news of a target that has left.
  auto hasDeparted(const TargetRecord &Record, TimePoint Now) -> bool;
  /// The directory has no record of the target that had left.
  auto forgetReturned(Departure &Departed, TimePoint Now) -> void;
  auto typicalProcessingTime(const ServiceId &Service) const -> Duration;
  /// Processing time of the target, or that of its service before the first
  /// response.
  auto processingTime(const TargetState &Target, TimePoint Now) const
      -> Duration;

  struct KnownServiceLoad {
    TimePoint ComputedAt = LongAgo;
    ServiceLoad Load;
  };

  Settings TableSettings;
  RandomSource Random;
  std::unordered_map<ServiceId, KnownServiceLoad> ServiceLoads;
  AdmissionCounts Counts;
  FleetSize Fleet;
  /// Sizes that were replaced recently, and when.
  std::vector<std::pair<TimePoint, FleetSize>> ReplacedSizes;
  std::set<DataCentreId> Evacuated;
  DataCentreReach Reach;
  std::unordered_map<ServiceId, ColdLimit> ColdLimits;
  std::unordered_map<TargetId, TargetPtr> Targets;
  std::unordered_map<TargetId, Departure> Departures;
  AnnouncementTable Announcements;
  std::unordered_map<ServiceId, std::vector<TargetPtr>> ByService;
  std::unordered_map<ServiceId, double> ProcessingTimeUs; ///< Moving average.
};

} // namespace buckthornring
