#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace buckthornring {

/// Temporarily excludes failing and slow targets of one service from selection.
class Ejector {
public:
  struct Options {
    std::uint32_t ConsecutiveFailures = 5;
    /// A target is an outlier when its average latency is this many times the
    /// median of the service's targets.
    double OutlierRatio = 3;
    /// Smallest difference from the median that makes an outlier; a smaller one
    /// does not justify the loss of capacity.
    Duration OutlierMinimum = std::chrono::milliseconds(5);
    /// Doubles with each ejection that soon follows another one, up to the
    /// maximum.
    Duration FirstEjectionPeriod = std::chrono::seconds(5);
    Duration MaxEjectionPeriod = std::chrono::seconds(60);
  };

  explicit Ejector(Options Settings) : Settings(Settings) {}
  Ejector() : Ejector(Options()) {}

  /// Sets the service's targets. The state of targets that remain is kept.
  auto setTargets(const std::vector<TargetId> &Targets) -> void;

  auto recordSuccess(const TargetId &Target, Duration Latency, TimePoint Now)
      -> void;

  /// Records a lost connection or a missed deadline. A refusal with Btr-Refusal
  /// is not a failure: the target works.
  auto recordFailure(const TargetId &Target, TimePoint Now) -> void;

  /// Records a request that has run for \p Age and is not finished.
  auto recordUnfinished(const TargetId &Target, Duration Age) -> void;

  /// Ejects outliers and returns the targets whose ejection has ended; these
  /// are treated as after a cold start. Call it at least every 100 ms.
  auto evaluate(TimePoint Now) -> std::vector<TargetId>;

  auto ejected(const TargetId &Target) const -> bool;
  auto ejectedCount() const -> std::size_t;

private:
  struct State {
    std::uint32_t Failures = 0;
    double Average = 0; ///< Microseconds; 0 before the first observation.
    std::uint32_t ObservationCount = 0;
    std::uint32_t Ejections = 0;
    std::optional<TimePoint> EjectedUntil;
    TimePoint ReturnedAt = TimePoint::min();
  };

  auto eject(State &Target, TimePoint Now) -> void;
  auto medianLatency() const -> double;

  Options Settings;
  std::map<TargetId, State> Targets;
};

} // namespace buckthornring
