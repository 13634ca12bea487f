#include "buckthornring/Membership/StalenessGuard.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

auto StalenessGuard::setDataCentres(std::vector<DataCentreId> All) -> void {
  std::erase(All, LocalDataCentre);
  RemoteDataCentres = std::move(All);
}

auto StalenessGuard::recordConfirmation(TimePoint ConfirmedAt) -> void {
  LastConfirmedAt = std::max(LastConfirmedAt, ConfirmedAt);
}

auto StalenessGuard::recordPeerReport(const InstanceId &Peer,
                                      const DataCentreId &DataCentre,
                                      bool ReachesPlatform, TimePoint Now)
    -> void {
  Reports.insert_or_assign(Peer, Report{DataCentre, ReachesPlatform, Now});
  std::erase_if(Reports, [&](const auto &Entry) {
    return Now - Entry.second.ReceivedAt > ReportLifetime;
  });
}

auto StalenessGuard::confirmationAge(TimePoint Now) const -> Duration {
  if (LastConfirmedAt == TimePoint::min())
    return Duration::max();
  return Now - LastConfirmedAt;
}

auto StalenessGuard::isPlatformOutage(TimePoint Now) const -> bool {
  // With a single data centre there are no reports from outside that could
  // distinguish a partition from an outage.
  if (RemoteDataCentres.empty())
    return false;
  std::vector<DataCentreId> UnreachableFrom;
  for (const auto &[Peer, PeerReport] : Reports) {
    if (Now - PeerReport.ReceivedAt > ReportLifetime)
      continue;
    if (PeerReport.ReachesPlatform)
      return false;
    UnreachableFrom.push_back(PeerReport.DataCentre);
  }
  return std::all_of(RemoteDataCentres.begin(), RemoteDataCentres.end(),
                     [&](const auto &Other) {
                       return std::find(UnreachableFrom.begin(),
                                        UnreachableFrom.end(),
                                        Other) != UnreachableFrom.end();
                     });
}

auto StalenessGuard::evaluate(Duration Limit, TimePoint Now) const
    -> StalenessVerdict {
  // Without any confirmed configuration there are no keys to trust.
  if (LastConfirmedAt == TimePoint::min())
    return StalenessVerdict::Stale;
  if (confirmationAge(Now) <= Limit)
    return StalenessVerdict::Current;
  return isPlatformOutage(Now) ? StalenessVerdict::Outage
                               : StalenessVerdict::Stale;
}

} // namespace buckthornring
