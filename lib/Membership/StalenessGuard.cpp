#include "buckthornring/Membership/StalenessGuard.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

auto StalenessGuard::setDataCentres(std::vector<DataCentreId> All) -> void {
  std::erase(All, Own);
  Others = std::move(All);
}

auto StalenessGuard::recordConfirmation(TimePoint At) -> void {
  LastConfirmed = std::max(LastConfirmed, At);
}

auto StalenessGuard::recordPeerReport(const InstanceId &Peer,
                                      const DataCentreId &DataCentre,
                                      bool ReachesPlatform, TimePoint Now)
    -> void {
  Reports.insert_or_assign(Peer, Report{DataCentre, ReachesPlatform, Now});
  std::erase_if(Reports, [&](const auto &Entry) {
    return Now - Entry.second.At > ReportLifetime;
  });
}

auto StalenessGuard::confirmationAge(TimePoint Now) const -> Duration {
  if (LastConfirmed == TimePoint::min())
    return Duration::max();
  return Now - LastConfirmed;
}

auto StalenessGuard::outage(TimePoint Now) const -> bool {
  // With a single data centre nobody outside can tell a partition from an
  // outage.
  if (Others.empty())
    return false;
  std::vector<DataCentreId> Heard;
  for (const auto &[Peer, Each] : Reports) {
    if (Now - Each.At > ReportLifetime)
      continue;
    if (Each.ReachesPlatform)
      return false;
    Heard.push_back(Each.DataCentre);
  }
  return std::all_of(Others.begin(), Others.end(), [&](const auto &Other) {
    return std::find(Heard.begin(), Heard.end(), Other) != Heard.end();
  });
}

auto StalenessGuard::evaluate(Duration Limit, TimePoint Now) const
    -> StalenessVerdict {
  // Without any confirmed configuration there are no keys to trust.
  if (LastConfirmed == TimePoint::min())
    return StalenessVerdict::Stale;
  if (confirmationAge(Now) <= Limit)
    return StalenessVerdict::Current;
  return outage(Now) ? StalenessVerdict::Outage : StalenessVerdict::Stale;
}

} // namespace buckthornring
