#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace buckthornring {

/// Takes failing and slow targets of one service out of selection for a while.
class Ejector {
public:
  struct Options {
    std::uint32_t ConsecutiveFailures = 5;
    /// A target is an outlier when its average latency is this many times the
    /// median of the service's targets.
    double OutlierRatio = 3;
    /// Smaller differences are no reason to lose capacity.
    Duration OutlierMinimum = std::chrono::milliseconds(5);
    /// Doubles with each ejection that follows soon, up to the maximum.
    Duration FirstEjection = std::chrono::seconds(5);
    Duration LongestEjection = std::chrono::seconds(60);
  };

  explicit Ejector(Options Settings) : Settings(Settings) {}
  Ejector() : Ejector(Options()) {}

  /// Sets the service's targets. State of kept targets stays.
  auto setTargets(const std::vector<TargetId> &Targets) -> void;

  auto recordSuccess(const TargetId &Target, Duration Latency, TimePoint Now)
      -> void;

  /// A lost connection or a missed deadline. A refusal with Btr-Refusal is no
  /// failure: the target works.
  auto recordFailure(const TargetId &Target, TimePoint Now) -> void;

  /// A request that has run for \p Age and is not finished.
  auto recordUnfinished(const TargetId &Target, Duration Age) -> void;

  /// Ejects outliers and returns targets whose time is over: these come back
  /// as after a cold start. Call every 100 ms or more often.
  auto evaluate(TimePoint Now) -> std::vector<TargetId>;

  auto ejected(const TargetId &Target) const -> bool;
  auto ejectedCount() const -> std::size_t;

private:
  struct State {
    std::uint32_t Failures = 0;
    double Average = 0; ///< Microseconds; 0 before the first observation.
    std::uint32_t Observed = 0;
    std::uint32_t Ejections = 0;
    std::optional<TimePoint> EjectedUntil;
    TimePoint ReturnedAt = TimePoint::min();
  };

  auto eject(State &Of, TimePoint Now) -> void;
  auto medianLatency() const -> double;

  Options Settings;
  std::map<TargetId, State> Targets;
};

} // namespace buckthornring
