#pragma once

#include "buckthornring/Attempt/RetryBudget.h"
#include "buckthornring/Attempt/RunRecord.h"
#include "buckthornring/Common/Time.h"

#include <optional>

namespace buckthornring {

/// Decides when a second attempt runs beside a slow first one.
class HedgePolicy {
public:
  struct Options {
    double Share = 0.05; ///< Hedges per request.
    /// No hedge earlier than this: below it the hedge costs more than the wait.
    Duration MinimumDelay = std::chrono::milliseconds(5);
  };

  explicit HedgePolicy(Options Settings)
      : Settings(Settings), Budget({Settings.Share, 0}) {}
  HedgePolicy() : HedgePolicy(Options()) {}

  /// Counts a caller's request.
  auto recordRequest(TimePoint Now) -> void { Budget.recordRequest(Now); }

  /// Returns how long after its send a request is hedged, or nothing when it
  /// is not. \p TypicalHigh is a high quantile (p95) of the service's recent
  /// latency; nothing while there are too few observations.
  auto delay(const RunRecord &Record, std::optional<Duration> TypicalHigh) const
      -> std::optional<Duration>;

  /// To be called when the delay has passed. Takes one hedge from the budget
  /// and returns true when the hedge is to be sent: the request is idempotent,
  /// can be replayed and has exactly one live attempt and no answer yet.
  auto tryHedge(const RunRecord &Record, TimePoint Now) -> bool;

private:
  Options Settings;
  RetryBudget Budget;
};

} // namespace buckthornring
