#include "buckthornring/Routing/ColdStartRamp.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>

namespace buckthornring {

namespace {

constexpr double LatencyWeight = 0.1;

} // namespace

auto ColdStartRamp::silent(TimePoint Now) const -> bool {
  return LastAnswer != TimePoint::min() &&
         Now - LastAnswer > Settings.SilenceLimit;
}

auto ColdStartRamp::startRamp(TimePoint Now) -> void {
  ColdSince = Now;
  RestartSuspected = false;
  Average = 0;
}

auto ColdStartRamp::onHealthReport(const std::string &StartId,
                                   std::optional<Duration> Uptime,
                                   TimePoint Now) -> void {
  if (StartId != LastStartId) {
    FirstStart = LastStartId.empty();
    LastStartId = StartId;
    startRamp(Now);
  }
  LastAnswer = Now;
  RestartSuspected = false;
  // A target that was already known ramps up from the first report of its new
  // start, because it has spent its uptime without load.
  if (FirstStart && Uptime && *Uptime >= Settings.Ramp)
    ColdSince.reset();
}

auto ColdStartRamp::onResponse(Duration Latency, TimePoint Now) -> void {
  const auto Value = static_cast<double>(Latency.count());
  const bool Slow = Average > 0 && Value > Settings.SlowRatio * Average;
  if (silent(Now) && Slow)
    startRamp(Now);
  LastAnswer = Now;
  Average = Average == 0 ? Value : Average + LatencyWeight * (Value - Average);
}

auto ColdStartRamp::onFailure(TimePoint Now) -> void {
  if (silent(Now))
    startRamp(Now);
  // A restart breaks connections; until a health report shows the start
  // identifier, the target may be cold.
  RestartSuspected = true;
}

auto ColdStartRamp::allowance(TimePoint Now) const -> std::uint32_t {
  if (RestartSuspected || silent(Now))
    return 1;
  const Duration Ramp =
      Settings.Ramp + Settings.Ramp * Settings.DriftPerMille / 1000;
  if (!ColdSince || Now - *ColdSince >= Ramp)
    return Settings.Slots;
  const auto Elapsed = std::max((Now - *ColdSince).count(), Duration::rep(0));
  const auto Growth =
      static_cast<std::uint32_t>((Settings.Slots - 1) * Elapsed / Ramp.count());
  const std::uint32_t Allowed = 1 + Growth;
  invariant(Allowed <= Settings.Slots, "the allowance stays within the slots");
  return Allowed;
}

} // namespace buckthornring
