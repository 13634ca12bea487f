#pragma once

#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthornring {

/// How many concurrent requests one target may get from the whole data centre.
///
/// Kept by the leader, which lends the allowance to instances as a share of
/// ShareKind::Units.
class ColdStartRamp {
public:
  struct Options {
    std::uint32_t Slots = 4;
    Duration Ramp = std::chrono::seconds(10);
    /// Largest rate difference of two clocks, in thousandths; the target's
    /// ramp may run slower than the leader's clock.
    std::int64_t DriftPerMille = 10;
    /// Without an answer for this long, the target may have restarted.
    Duration SilenceLimit = std::chrono::seconds(1);
    /// After a silence, an answer this many times slower than before it shows
    /// a cold start.
    double SlowRatio = 3;
  };

  /// A target that was never seen is taken as cold.
  ColdStartRamp(Options Settings, TimePoint Now)
      : Settings(Settings), ColdSince(Now) {}

  /// A health report, in the order of the polls. \p StartId changes with each
  /// start of the target. \p Uptime lets a new leader recognise a warm target;
  /// without it the first report starts a ramp.
  auto onHealthReport(const std::string &StartId,
                      std::optional<Duration> Uptime, TimePoint Now) -> void;

  /// An answer of the target to a request, with its latency.
  auto onResponse(Duration Latency, TimePoint Now) -> void;

  /// A refusal (shed) or a lost connection.
  auto troubled(TimePoint Now) -> void;

  /// The target returns from a drain, an ejection or a taken-out data centre.
  auto restart(TimePoint Now) -> void;

  /// Returns the allowance: 1 at the start of the ramp, all slots at its end.
  /// While a restart is possible (silence, broken connection) it is 1 until a
  /// health report.
  auto allowance(TimePoint Now) const -> std::uint32_t;

  /// The start identifier that the allowance is for; empty before a report.
  auto startId() const -> const std::string & { return LastStartId; }

  auto cold(TimePoint Now) const -> bool {
    return allowance(Now) < Settings.Slots;
  }

private:
  auto silent(TimePoint Now) const -> bool;

  Options Settings;
  std::string LastStartId;
  bool FirstStart = true;             ///< No other start identifier was seen.
  std::optional<TimePoint> ColdSince; ///< Nothing once warm.
  TimePoint LastAnswer = TimePoint::min();
  double Average = 0; ///< Microseconds.
  bool Suspect = false;
};

} // namespace buckthornring
