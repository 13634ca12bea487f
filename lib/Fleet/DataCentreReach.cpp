#include "Fleet/DataCentreReach.h"

namespace buckthornring {

auto DataCentreReach::failed(const DataCentreId &DataCentre,
                             const TargetId &Target, TimePoint Now) -> void {
  Failures &Known = ByDataCentre[DataCentre];
  if (!Known.outOfReach() && Now - Known.First > FailurePeriod) {
    Known.Targets.clear();
    Known.First = Now;
  }
  Known.Targets.insert(Target);
  Known.NextProbe = Now + ProbeInterval;
}

auto DataCentreReach::reached(const DataCentreId &DataCentre) -> void {
  ByDataCentre.erase(DataCentre);
}

auto DataCentreReach::unreachableUntil(const DataCentreId &DataCentre,
                                       TimePoint Now) const -> TimePoint {
  const auto Found = ByDataCentre.find(DataCentre);
  if (Found == ByDataCentre.end() || !Found->second.outOfReach() ||
      Now >= Found->second.NextProbe)
    return LongAgo;
  return Found->second.NextProbe;
}

auto DataCentreReach::sent(const DataCentreId &DataCentre, TimePoint Now)
    -> void {
  const auto Found = ByDataCentre.find(DataCentre);
  if (Found != ByDataCentre.end() && Found->second.outOfReach())
    Found->second.NextProbe = Now + ProbeInterval;
}

} // namespace buckthornring
