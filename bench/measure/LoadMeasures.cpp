#include "Measurement.h"
#include "TrafficSimulation.h"

namespace buckthornring::measure {

namespace {

constexpr std::uint64_t Seeds[] = {1, 2, 3};

constexpr TrafficSimulation::Policy Policies[] = {
    {"two-choices+eject+hedge", ChooserKind::TwoChoices, true, true, true},
    {"two-choices", ChooserKind::TwoChoices, false, false, true},
    {"random", ChooserKind::Random, false, false, true},
    {"round-robin", ChooserKind::RoundRobin, false, false, true},
    {"least-in-flight", ChooserKind::LeastInFlight, false, false, true}};

auto ratio(Duration Value, Duration Base) -> double {
  return Base.count() == 0 ? 0
                           : static_cast<double>(Value.count()) /
                                 static_cast<double>(Base.count());
}

} // namespace

auto measureTailLatency() -> Measurements {
  Measurements Results;
  for (const auto &Policy : Policies)
    for (const std::uint64_t Seed : Seeds) {
      TrafficSimulation::Options Settings;
      Settings.RoutingPolicy = Policy;
      const auto Baseline = TrafficSimulation(Settings, Seed).run();
      Settings.SlowTarget = 3;
      const auto WithSlowTarget = TrafficSimulation(Settings, Seed).run();
      const double ExtraAttempts =
          static_cast<double>(WithSlowTarget.Attempts) /
              static_cast<double>(WithSlowTarget.Requests) -
          1;
      Results.push_back({"tail.p99_ratio", Policy.Name, Seed,
                         ratio(WithSlowTarget.P99, Baseline.P99), "ratio", 1.5,
                         Bound::AtMost});
      Results.push_back({"tail.extra_requests", Policy.Name, Seed,
                         ExtraAttempts, "ratio", 0.05, Bound::AtMost});
      Results.push_back({"tail.p99_without_slow_ms", Policy.Name, Seed,
                         static_cast<double>(Baseline.P99.count()) / 1000, "ms",
                         50, Bound::AtMost});
    }
  return Results;
}

/// Measures how much traffic a target that was slow for 5 s receives 10 to 15 s
/// after its recovery.
auto measureSlowTargetRecovery() -> Measurements {
  Measurements Results;
  for (const auto &Policy : Policies)
    for (const double Factor : {2.5, 10.0})
      for (const std::uint64_t Seed : Seeds) {
        TrafficSimulation::Options Settings;
        Settings.RoutingPolicy = Policy;
        Settings.SlowTarget = 3;
        Settings.SlowFactor = Factor;
        Settings.SlowUntil = TimePoint(std::chrono::seconds(10));
        // The load is light, so that a target is not chosen only because the
        // others are busy.
        Settings.RequestsPerSecond = 1500;
        const auto Recovered = TrafficSimulation(Settings, Seed).run();
        const double Fraction =
            static_cast<double>(Recovered.FinalAttemptsOnSlow) /
            static_cast<double>(Recovered.FinalAttempts);
        Results.push_back(
            {Factor > 5 ? "load.recovered_share_10x"
                        : "load.recovered_share_2.5x",
             Policy.Name, Seed,
             Fraction * static_cast<double>(Settings.TargetsPerDataCentre),
             "ratio", 0.5, Bound::AtLeast});
      }
  return Results;
}

auto measureDataCentreTakeOut() -> Measurements {
  Measurements Results;
  for (const auto &Policy : Policies)
    for (const std::uint64_t Seed : Seeds) {
      TrafficSimulation::Options Settings;
      Settings.RoutingPolicy = Policy;
      Settings.DataCentres = 4;
      Settings.InstancesPerDataCentre = 3;
      Settings.RequestsPerSecond = 12000;
      Settings.MeasureFrom = TimePoint(std::chrono::seconds(6));
      Settings.End = TimePoint(std::chrono::seconds(21));
      const auto Baseline = TrafficSimulation(Settings, Seed).run();
      Settings.TakenOutAt = TimePoint(std::chrono::seconds(6));
      Settings.BroughtBackAt = TimePoint(std::chrono::seconds(12));
      const auto WithTakeOut = TrafficSimulation(Settings, Seed).run();
      Results.push_back(
          {"dc.stop_s", Policy.Name, Seed,
           static_cast<double>(WithTakeOut.StopTime.count()) / 1e6, "s", 2,
           Bound::AtMost});
      Results.push_back({"dc.requests_lost", Policy.Name, Seed,
                         static_cast<double>(WithTakeOut.Lost), "requests", 0,
                         Bound::AtMost});
      Results.push_back({"dc.p99_ratio", Policy.Name, Seed,
                         ratio(WithTakeOut.P99, Baseline.P99), "ratio", 2,
                         Bound::AtMost});
    }
  return Results;
}

} // namespace buckthornring::measure
