#pragma once

#include "buckthornring/Attempt/RetryBudget.h"
#include "buckthornring/Attempt/RunRecord.h"
#include "buckthornring/Common/Time.h"

#include <optional>

namespace buckthornring {

/// Decides when to start a second attempt in parallel with a slow first one.
class HedgePolicy {
public:
  struct Options {
    double Ratio = 0.05; ///< Hedges per request.
    /// Shortest delay of a hedge; an earlier hedge costs more than the wait.
    Duration MinimumDelay = std::chrono::milliseconds(5);
  };

  explicit HedgePolicy(Options Settings)
      : Settings(Settings), Budget({Settings.Ratio, 0}) {}
  HedgePolicy() : HedgePolicy(Options()) {}

  /// Counts a caller's request.
  auto recordRequest(TimePoint Now) -> void { Budget.recordRequest(Now); }

  /// Returns how long after its send a request is hedged, or nothing if it is
  /// not. \p LatencyP95 is the 95th percentile of the service's recent latency;
  /// nothing while there are too few observations.
  auto delay(const RunRecord &Record, std::optional<Duration> LatencyP95) const
      -> std::optional<Duration>;

  /// To be called when the delay has passed. Takes one hedge from the budget
  /// and returns true if the hedge is to be sent: the request is idempotent,
  /// can be replayed, has exactly one live attempt and no response yet.
  auto tryHedge(const RunRecord &Record, TimePoint Now) -> bool;

private:
  Options Settings;
  RetryBudget Budget;
};

} // namespace buckthornring
