#include "Admission/ShortageMonitor.h"

#include <utility>

namespace buckthornring {

namespace {

/// Length of a period: long enough for some requests of a small instance.
constexpr Duration Period = std::chrono::seconds(2);

/// A service is short of room when at least this part of its requests, and this
/// number, is refused in a period. In calm, 1 to 3 of 100 requests are refused
/// for owners that are slow for a moment ("bench_measure overload").
constexpr double ShortShare = 0.1;
constexpr std::uint32_t MinRefused = 3;

/// The shortage has ended when less than this part is refused.
constexpr double EndShare = 0.04;

} // namespace

auto ShortageMonitor::changes(TimePoint Now) -> std::vector<Change> {
  if (Now - PeriodBegin < Period)
    return {};
  PeriodBegin = Now;
  std::vector<Change> Changes;
  for (auto &[Service, Current] : States) {
    const double Refused = Current.Refused;
    const double Requests = Current.Requests;
    const bool Begins = !Current.Short && Current.Refused >= MinRefused &&
                        Refused >= ShortShare * Requests;
    const bool Ends = Current.Short && Refused <= EndShare * Requests;
    if (Begins || Ends) {
      Current.Short = Begins;
      Changes.push_back({Service, Begins, Current.Requests, Current.Refused});
    }
    Current.LatestRequests = std::exchange(Current.Requests, 0);
    Current.LatestRefused = std::exchange(Current.Refused, 0);
  }
  return Changes;
}

auto ShortageMonitor::latest(const ServiceId &Service) const -> Change {
  const auto Known = States.find(Service);
  if (Known == States.end())
    return {Service};
  const State &Current = Known->second;
  return {Service, Current.Short, Current.LatestRequests,
          Current.LatestRefused};
}

} // namespace buckthornring
