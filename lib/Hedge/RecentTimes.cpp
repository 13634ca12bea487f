#include "Hedge/RecentTimes.h"

#include <utility>

namespace buckthornring {

auto RecentTimes::record(Duration Time, TimePoint Now) -> void {
  if (Now - CurrentSince >= HalfPeriod) {
    Previous = expired(Now) ? LatencyHistogram() : std::move(Current);
    Current = LatencyHistogram();
    CurrentSince = Now;
  }
  Current.record(Time);
}

auto RecentTimes::quantile(double Q, TimePoint Now) const
    -> std::optional<Duration> {
  if (expired(Now))
    return std::nullopt;
  LatencyHistogram Both;
  Both.merge(Current);
  if (Now - CurrentSince < HalfPeriod)
    Both.merge(Previous);
  if (Both.count() < MinSamples)
    return std::nullopt;
  return Both.quantile(Q);
}

} // namespace buckthornring
