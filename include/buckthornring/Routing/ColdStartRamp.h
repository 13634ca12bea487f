#pragma once

#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthornring {

/// Limits the concurrent requests of the whole data centre to one target while
/// the target may be cold.
///
/// Kept by the leader, which lends the allowance to instances as a share of
/// ShareKind::Units.
class ColdStartRamp {
public:
  struct Options {
    std::uint32_t Slots = 4;
    Duration Ramp = std::chrono::seconds(10);
    /// Largest difference between the rates of two clocks, in thousandths; the
    /// target's ramp may run slower than the leader's clock.
    std::int64_t DriftPerMille = 10;
    /// Time without a response after which the target may have restarted.
    Duration SilenceLimit = std::chrono::seconds(1);
    /// After a silence, a response slower than the earlier average by more than
    /// this factor shows a cold start.
    double SlowRatio = 3;
  };

  /// A target that was never seen counts as cold.
  ColdStartRamp(Options Settings, TimePoint Now)
      : Settings(Settings), ColdSince(Now) {}

  /// Handles a health report. Reports must be passed in the order of the polls.
  /// \p StartId changes with each start of the target. \p Uptime lets a new
  /// leader recognise a warm target; without it the first report starts a ramp.
  auto onHealthReport(const std::string &StartId,
                      std::optional<Duration> Uptime, TimePoint Now) -> void;

  /// Handles a response of the target to a request.
  auto onResponse(Duration Latency, TimePoint Now) -> void;

  /// Handles a refusal (shed) or a lost connection.
  auto onFailure(TimePoint Now) -> void;

  /// Starts a new ramp, for a target that returns from a drain, an ejection or
  /// a data centre that was taken out.
  auto startRamp(TimePoint Now) -> void;

  /// Returns the allowance: 1 at the start of the ramp, all slots at its end.
  /// While a restart is possible (silence, broken connection) it is 1 until a
  /// health report.
  auto allowance(TimePoint Now) const -> std::uint32_t;

  /// The start identifier that the allowance applies to; empty before the first
  /// report.
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
  bool RestartSuspected = false;
};

} // namespace buckthornring
