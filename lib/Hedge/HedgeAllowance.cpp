#include "Hedge/HedgeAllowance.h"

#include <algorithm>

namespace buckthornring {

namespace {

/// Part of the time of attempts that earns allowance. Attempts also wait in
/// the queues of targets; with all of their time, hedges ran for 2.4 instead of
/// 2 in 100 of the targets' time in virtual time.
constexpr double EarningShare = 0.8;

} // namespace

auto HedgeAllowance::requestSeen(const HedgeLimits &Limits) -> void {
  SavedHedges = std::min(SavedHedges + Limits.ExtraRequests, MaxSavedHedges);
}

auto HedgeAllowance::attemptEnded(const HedgeLimits &Limits, Duration Time)
    -> void {
  const double Earned =
      EarningShare * Limits.ExtraTime * static_cast<double>(Time.count());
  SavedTimeUs =
      std::min(SavedTimeUs + Earned, static_cast<double>(MaxSavedTime.count()));
}

auto HedgeAllowance::take(Duration Expected) -> void {
  SavedHedges -= 1;
  SavedTimeUs -= static_cast<double>(Expected.count());
}

auto HedgeAllowance::settle(Duration Expected, Duration Actual) -> void {
  SavedTimeUs =
      std::min(SavedTimeUs + static_cast<double>((Expected - Actual).count()),
               static_cast<double>(MaxSavedTime.count()));
}

} // namespace buckthornring
