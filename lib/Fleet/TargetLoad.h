#pragma once

#include "Fleet/TargetRecord.h"

#include <cstdint>
#include <optional>

namespace buckthornring {

/// Estimate of one target's queue and speed from the answers that this
/// instance has seen.
class TargetLoad {
public:
  /// A request was handed to the target.
  auto sent() -> void { ++InFlight; }

  /// A request ended. \p Latency is set when the target answered it.
  /// \p QueueAtSend is queue() when it was sent.
  auto ended(std::optional<Duration> Latency, double QueueAtSend,
             std::uint32_t Slots) -> void;

  /// A request was given up after \p Elapsed without an answer.
  auto abandoned(Duration Elapsed, double QueueAtSend, std::uint32_t Slots)
      -> void;

  auto reported(const LoadReport &Report, TimePoint Now) -> void;

  /// A request failed at the target although it was reachable.
  auto failed() -> void;
  auto succeeded() -> void;

  auto inFlight() const -> std::uint32_t { return InFlight; }
  /// Requests at the target, those of other instances included.
  auto queue(TimePoint Now) const -> double;
  /// Time of one request without waiting, or nothing before the first answer.
  auto work(TimePoint Now) const -> std::optional<Duration>;
  /// The same over many requests, without the momentary speed.
  auto averageProcessingTime() const -> std::optional<Duration>;
  /// Share of recent requests that failed, 0 to 1.
  auto failureShare() const -> double { return Failures; }

private:
  auto learn(Duration Latency, double QueueAtSend, std::uint32_t Slots,
             double Weight) -> void;

  std::uint32_t InFlight = 0;
  double Others = 0;      ///< Requests of other instances at the last report.
  double UsualOthers = 0; ///< Moving average of the above.
  TimePoint ReportedAt = LongAgo;
  double Slowness = 1;
  double WorkUs = 0; ///< 0: unknown.
  double Failures = 0;
};

} // namespace buckthornring
