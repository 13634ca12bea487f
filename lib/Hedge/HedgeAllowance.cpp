#include "Hedge/HedgeAllowance.h"

#include <algorithm>

namespace buckthornring {

auto HedgeAllowance::requestSeen(const HedgeLimits &Limits) -> void {
  SavedHedges = std::min(SavedHedges + Limits.ExtraRequests, MaxSavedHedges);
}

auto HedgeAllowance::attemptEnded(const HedgeLimits &Limits, Duration Time)
    -> void {
  SavedTimeUs = std::min(SavedTimeUs + Limits.ExtraTime *
                                           static_cast<double>(Time.count()),
                         static_cast<double>(MaxSavedTime.count()));
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
