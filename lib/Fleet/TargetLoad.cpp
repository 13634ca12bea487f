#include "Fleet/TargetLoad.h"

#include <algorithm>
#include <cmath>

namespace buckthornring {

namespace {

/// Age at which a load report has lost 63 % of its weight. Requests last 50 to
/// 500 ms, so an older report says little about the current queue.
constexpr double ReportDecayTimeUs = 400'000;

/// Age up to which a reported slowness is used: shared machines change their
/// speed several times a second.
constexpr Duration SlownessLifetime = std::chrono::milliseconds(250);

/// Weight of one latency in the moving average: about the last 10 responses.
constexpr double LatencyWeight = 0.1;

/// Weight of one outcome in the failure share: about the last 8 requests.
constexpr double FailureWeight = 0.125;

/// Factor by which waiting behind \p Queue requests prolongs the latency.
auto queueFactor(double Queue, std::uint32_t Slots) -> double {
  const double SlotCount = std::max(1U, Slots);
  return 1 + std::max(0.0, Queue + 1 - SlotCount) / SlotCount;
}

} // namespace

auto TargetLoad::updateProcessingTime(Duration Latency, double QueueAtSend,
                                      std::uint32_t Slots, double Weight)
    -> void {
  const double Sample =
      static_cast<double>(Latency.count()) / queueFactor(QueueAtSend, Slots);
  ProcessingTimeUs =
      ProcessingTimeUs == 0
          ? Sample
          : ProcessingTimeUs + Weight * (Sample - ProcessingTimeUs);
}

auto TargetLoad::ended(std::optional<Duration> Latency, double QueueAtSend,
                       std::uint32_t Slots) -> void {
  if (InFlight > 0)
    --InFlight;
  if (Latency)
    updateProcessingTime(*Latency, QueueAtSend, Slots, LatencyWeight);
}

auto TargetLoad::abandoned(Duration Elapsed, double QueueAtSend,
                           std::uint32_t Slots) -> void {
  if (InFlight > 0)
    --InFlight;
  // The response would have taken longer than this, so a short wait does not
  // show that the target is fast.
  const double Sample =
      static_cast<double>(Elapsed.count()) / queueFactor(QueueAtSend, Slots);
  if (Sample > ProcessingTimeUs)
    updateProcessingTime(Elapsed, QueueAtSend, Slots, LatencyWeight);
}

auto TargetLoad::reported(const LoadReport &Report, TimePoint Now) -> void {
  const double Total = Report.Running + Report.Waiting;
  OtherRequests = std::max(0.0, Total - InFlight);
  AverageOtherRequests += 0.2 * (OtherRequests - AverageOtherRequests);
  Slowness = Report.Slowness;
  ReportedAt = Now;
}

auto TargetLoad::failed() -> void {
  RecentFailureShare += FailureWeight * (1 - RecentFailureShare);
}

auto TargetLoad::succeeded() -> void {
  RecentFailureShare -= FailureWeight * RecentFailureShare;
}

auto TargetLoad::queue(TimePoint Now) const -> double {
  if (ReportedAt == LongAgo)
    return InFlight;
  const double Age = static_cast<double>((Now - ReportedAt).count());
  const double ReportWeight = std::exp(-Age / ReportDecayTimeUs);
  return InFlight + ReportWeight * OtherRequests +
         (1 - ReportWeight) * AverageOtherRequests;
}

auto TargetLoad::averageProcessingTime() const -> std::optional<Duration> {
  if (ProcessingTimeUs == 0)
    return std::nullopt;
  return Duration(static_cast<std::int64_t>(ProcessingTimeUs));
}

auto TargetLoad::processingTime(TimePoint Now) const
    -> std::optional<Duration> {
  if (ProcessingTimeUs == 0)
    return std::nullopt;
  const bool Fresh =
      ReportedAt != LongAgo && Now - ReportedAt < SlownessLifetime;
  // The average already includes the usual share of slow periods.
  const double Factor = Fresh ? std::clamp(Slowness, 0.7, 4.0) : 1.0;
  return Duration(static_cast<std::int64_t>(ProcessingTimeUs * Factor));
}

} // namespace buckthornring
