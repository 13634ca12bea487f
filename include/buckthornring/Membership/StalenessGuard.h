#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <map>
#include <vector>

namespace buckthornring {

enum class StalenessVerdict {
  Current, ///< The configuration was confirmed within the limit.
  Outage,  ///< No data centre reaches the platform: no key can be withdrawn.
  Stale,   ///< Possibly partitioned: requests with a key are refused (not-run).
};

inline constexpr EnumNames<StalenessVerdict, 3>
    StalenessVerdictNames({"current", "outage", "stale"});

/// Decides whether an instance may still trust its caller keys (docs/design.md,
/// section 8). Open routes are served regardless.
class StalenessGuard {
public:
  /// \p ReportLifetime is how long a peer's report on whether it reaches the
  /// platform is valid; links send one with each heartbeat (200 ms).
  explicit StalenessGuard(DataCentreId LocalDataCentre,
                          Duration ReportLifetime = std::chrono::seconds(1))
      : LocalDataCentre(std::move(LocalDataCentre)),
        ReportLifetime(ReportLifetime) {}

  /// Sets all configured data centres, including those taken out of service:
  /// a withdrawal can be issued from any of them.
  auto setDataCentres(std::vector<DataCentreId> All) -> void;

  /// Records that the configuration in force was the platform's newest at
  /// \p ConfirmedAt on the local clock: the send time of this instance's own
  /// read, or the receipt of a peer's confirmation minus the age that it
  /// states.
  auto recordConfirmation(TimePoint ConfirmedAt) -> void;

  /// Records a peer's report on whether it reaches the platform, and removes
  /// expired reports.
  auto recordPeerReport(const InstanceId &Peer, const DataCentreId &DataCentre,
                        bool ReachesPlatform, TimePoint Now) -> void;

  /// Returns the verdict for a workspace whose staleness limit is \p Limit.
  auto evaluate(Duration Limit, TimePoint Now) const -> StalenessVerdict;

  /// Returns the time since the last confirmation, or Duration::max() before
  /// the first.
  auto confirmationAge(TimePoint Now) const -> Duration;

private:
  struct Report {
    DataCentreId DataCentre;
    bool ReachesPlatform;
    TimePoint ReceivedAt;
  };

  auto isPlatformOutage(TimePoint Now) const -> bool;

  DataCentreId LocalDataCentre;
  Duration ReportLifetime;
  std::vector<DataCentreId> RemoteDataCentres;
  TimePoint LastConfirmedAt = TimePoint::min();
  std::map<InstanceId, Report> Reports;
};

} // namespace buckthornring
