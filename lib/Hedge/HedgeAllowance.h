#pragma once

#include "buckthornring/Common/Time.h"

namespace buckthornring {

/// Limits on the extra work of hedges. Set by the operator.
struct HedgeLimits {
  double ExtraRequests = 0.02; ///< Hedges per request of the service.
  /// Time that hedges run, per time that first attempts of the service run.
  double ExtraTime = 0.02;

  auto off() const -> bool { return ExtraRequests <= 0 || ExtraTime <= 0; }
};

/// This instance's part of the limits on the hedges of one service.
///
/// Requests and their times earn the allowance and hedges spend it, so both
/// shares hold over the life of the process at each instance, and with that
/// over the fleet without messages. At most a small part is saved up, so that
/// a service that was quiet cannot spend hours of it at once.
class HedgeAllowance {
public:
  /// Slow responses come in groups, when a target is slow. With 2, hedges used
  /// 1.3 instead of 1.6 of an allowed 2 in 100 in virtual time.
  static constexpr double MaxSavedHedges = 4;
  /// Four hedges of services whose requests take half a second.
  static constexpr Duration MaxSavedTime = std::chrono::seconds(2);

  auto requestSeen(const HedgeLimits &Limits) -> void;
  /// An attempt that is no hedge has taken \p Time at its target.
  auto attemptEnded(const HedgeLimits &Limits, Duration Time) -> void;

  auto hasRequest() const -> bool { return SavedHedges >= 1; }
  auto hasTime(Duration Expected) const -> bool {
    return SavedTimeUs >= static_cast<double>(Expected.count());
  }

  /// A hedge is sent that is expected to run for \p Expected.
  auto take(Duration Expected) -> void;
  /// The hedge has run for \p Actual instead.
  auto settle(Duration Expected, Duration Actual) -> void;

private:
  double SavedHedges = 0;
  double SavedTimeUs = 0; ///< Below zero after hedges that ran long.
};

} // namespace buckthornring
