#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <map>
#include <vector>

namespace buckthornring {

enum class StalenessVerdict {
  Current, ///< The configuration was confirmed within the limit.
  Outage,  ///< Nobody reaches the platform, so nobody can withdraw a key.
  Stale,   ///< Possibly partitioned: refuse keyed requests (not-run).
};

inline constexpr EnumNames<StalenessVerdict, 3>
    StalenessVerdictNames({"current", "outage", "stale"});

/// Decides whether an instance may still trust its caller keys (docs/design.md,
/// 8). Open routes are served regardless.
class StalenessGuard {
public:
  /// \p ReportLifetime is how long a peer's report about the platform counts;
  /// links send one with each heartbeat (200 ms).
  explicit StalenessGuard(DataCentreId Own,
                          Duration ReportLifetime = std::chrono::seconds(1))
      : Own(std::move(Own)), ReportLifetime(ReportLifetime) {}

  /// Sets all configured data centres, including those taken out of service:
  /// a withdrawal can be issued from any of them.
  auto setDataCentres(std::vector<DataCentreId> All) -> void;

  /// The configuration in force was the platform's newest at \p At on the own
  /// clock: the send time of an own read, or the receipt of a peer's
  /// confirmation minus the age that it states.
  auto recordConfirmation(TimePoint At) -> void;

  /// A peer says whether it reaches the platform.
  auto recordPeerReport(const InstanceId &Peer, const DataCentreId &DataCentre,
                        bool ReachesPlatform, TimePoint Now) -> void;

  /// Judges for a workspace with \p Limit.
  auto evaluate(Duration Limit, TimePoint Now) const -> StalenessVerdict;

  /// Time since the last confirmation; the maximum before the first.
  auto confirmationAge(TimePoint Now) const -> Duration;

private:
  struct Report {
    DataCentreId DataCentre;
    bool ReachesPlatform;
    TimePoint At;
  };

  auto outage(TimePoint Now) const -> bool;

  DataCentreId Own;
  Duration ReportLifetime;
  std::vector<DataCentreId> Others;
  TimePoint LastConfirmed = TimePoint::min();
  std::map<InstanceId, Report> Reports;
};

} // namespace buckthornring
