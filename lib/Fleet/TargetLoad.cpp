#include "Fleet/TargetLoad.h"

#include <algorithm>
#include <cmath>

namespace buckthornring {

namespace {

/// Age at which a load report has lost 63% of its weight. Requests last 50 to
/// 500 ms, so an older report says little about the present queue.
constexpr double ReportLifetimeUs = 400'000;

/// Age up to which the reported momentary speed holds; shared machines change
/// speed several times a second.
constexpr Duration SlownessLifetime = std::chrono::milliseconds(250);

/// Weight of one latency in the moving average: about the last 10 answers.
constexpr double LatencyWeight = 0.1;

/// Weight of one outcome in the failure share: about the last 8 requests.
constexpr double FailureWeight = 0.125;

/// Factor by which waiting behind \p Queue requests prolongs an answer.
auto queueFactor(double Queue, std::uint32_t Slots) -> double {
  const double Places = std::max(1U, Slots);
  return 1 + std::max(0.0, Queue + 1 - Places) / Places;
}

} // namespace

auto TargetLoad::learn(Duration Latency, double QueueAtSend,
                       std::uint32_t Slots, double Weight) -> void {
  const double Sample =
      static_cast<double>(Latency.count()) / queueFactor(QueueAtSend, Slots);
  WorkUs = WorkUs == 0 ? Sample : WorkUs + Weight * (Sample - WorkUs);
}

auto TargetLoad::ended(std::optional<Duration> Latency, double QueueAtSend,
                       std::uint32_t Slots) -> void {
  if (InFlight > 0)
    --InFlight;
  if (Latency)
    learn(*Latency, QueueAtSend, Slots, LatencyWeight);
}

auto TargetLoad::abandoned(Duration Elapsed, double QueueAtSend,
                           std::uint32_t Slots) -> void {
  if (InFlight > 0)
    --InFlight;
  // The answer would have taken longer still, so a short wait says nothing.
  const double Sample =
      static_cast<double>(Elapsed.count()) / queueFactor(QueueAtSend, Slots);
  if (Sample > WorkUs)
    learn(Elapsed, QueueAtSend, Slots, LatencyWeight);
}

auto TargetLoad::reported(const LoadReport &Report, TimePoint Now) -> void {
  const double Total = Report.Running + Report.Waiting;
  Others = std::max(0.0, Total - InFlight);
  UsualOthers += 0.2 * (Others - UsualOthers);
  Slowness = Report.Slowness;
  ReportedAt = Now;
}

auto TargetLoad::failed() -> void {
  Failures += FailureWeight * (1 - Failures);
}

auto TargetLoad::succeeded() -> void { Failures -= FailureWeight * Failures; }

auto TargetLoad::queue(TimePoint Now) const -> double {
  if (ReportedAt == LongAgo)
    return InFlight;
  const double Age = static_cast<double>((Now - ReportedAt).count());
  const double Trust = std::exp(-Age / ReportLifetimeUs);
  return InFlight + Trust * Others + (1 - Trust) * UsualOthers;
}

auto TargetLoad::averageProcessingTime() const -> std::optional<Duration> {
  if (WorkUs == 0)
    return std::nullopt;
  return Duration(static_cast<std::int64_t>(WorkUs));
}

auto TargetLoad::work(TimePoint Now) const -> std::optional<Duration> {
  if (WorkUs == 0)
    return std::nullopt;
  const bool Fresh =
      ReportedAt != LongAgo && Now - ReportedAt < SlownessLifetime;
  // The average already holds the usual share of slow moments.
  const double Factor = Fresh ? std::clamp(Slowness, 0.7, 4.0) : 1.0;
  return Duration(static_cast<std::int64_t>(WorkUs * Factor));
}

} // namespace buckthornring
