#pragma once

#include "Fleet/TargetRecord.h"

#include <cstdint>
#include <optional>

namespace buckthornring {

/// Estimates the queue and the speed of one target from the responses that this
/// instance has received.
class TargetLoad {
public:
  /// A request was sent to the target.
  auto sent() -> void { ++InFlight; }

  /// A request ended. \p Latency is set when the target responded. \p
  /// QueueAtSend is the value of queue() when the request was sent.
  auto ended(std::optional<Duration> Latency, double QueueAtSend,
             std::uint32_t Slots) -> void;

  /// A request was abandoned after \p Elapsed without a response.
  auto abandoned(Duration Elapsed, double QueueAtSend, std::uint32_t Slots)
      -> void;

  auto reported(const LoadReport &Report, TimePoint Now) -> void;

  /// Time of the last report; LongAgo: none.
  auto reportedAt() const -> TimePoint { return ReportedAt; }

  /// A request failed at the target although the target was reachable.
  auto failed() -> void;
  auto succeeded() -> void;

  auto inFlight() const -> std::uint32_t { return InFlight; }
  /// Estimated number of requests at the target, those of other instances
  /// included.
  auto queue(TimePoint Now) const -> double;
  /// Current processing time of one request without waiting, or nothing before
  /// the first response.
  auto processingTime(TimePoint Now) const -> std::optional<Duration>;
  /// The average over many requests, without the current slowness.
  auto averageProcessingTime() const -> std::optional<Duration>;
  /// Share of recent requests that failed, from 0 to 1.
  auto failureShare() const -> double { return RecentFailureShare; }

private:
  auto updateProcessingTime(Duration Latency, double QueueAtSend,
                            std::uint32_t Slots, double Weight) -> void;

  std::uint32_t InFlight = 0;
  double OtherRequests = 0; ///< Requests of other instances at the last report.
  double AverageOtherRequests = 0; ///< Moving average of OtherRequests.
  TimePoint ReportedAt = LongAgo;
  double Slowness = 1;
  double ProcessingTimeUs = 0; ///< 0: unknown.
  double RecentFailureShare = 0;
};

} // namespace buckthornring
