#include "Measurement.h"
#include "TrafficSimulation.h"

namespace buckthornring::measure {

namespace {

constexpr std::uint64_t Seeds[] = {1, 2, 3};

constexpr TrafficWorld::Policy Policies[] = {
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

auto measureTail() -> Measurements {
  Measurements All;
  for (const auto &Policy : Policies)
    for (const std::uint64_t Seed : Seeds) {
      TrafficWorld::Options Settings;
      Settings.Rules = Policy;
      const auto Even = TrafficWorld(Settings, Seed).run();
      Settings.SlowTarget = 3;
      const auto Slow = TrafficWorld(Settings, Seed).run();
      const double Extra = static_cast<double>(Slow.Attempts) /
                               static_cast<double>(Slow.Requests) -
                           1;
      All.push_back({"tail.p99_ratio", Policy.Name, Seed,
                     ratio(Slow.P99, Even.P99), "ratio", 1.5, Bound::AtMost});
      All.push_back({"tail.extra_requests", Policy.Name, Seed, Extra, "ratio",
                     0.05, Bound::AtMost});
      All.push_back({"tail.p99_without_slow_ms", Policy.Name, Seed,
                     static_cast<double>(Even.P99.count()) / 1000, "ms", 50,
                     Bound::AtMost});
    }
  return All;
}

/// Use of a target that was slow for 5 s, 10 to 15 s after it has recovered.
auto measureRecovery() -> Measurements {
  Measurements All;
  for (const auto &Policy : Policies)
    for (const double Factor : {2.5, 10.0})
      for (const std::uint64_t Seed : Seeds) {
        TrafficWorld::Options Settings;
        Settings.Rules = Policy;
        Settings.SlowTarget = 3;
        Settings.SlowFactor = Factor;
        Settings.SlowUntil = TimePoint(std::chrono::seconds(10));
        // Light load: a target is not chosen merely because others are busy.
        Settings.RequestsPerSecond = 1500;
        const auto Run = TrafficWorld(Settings, Seed).run();
        const double Part = static_cast<double>(Run.LastOnSlow) /
                            static_cast<double>(Run.LastOnAll);
        All.push_back({Factor > 5 ? "load.recovered_share_10x"
                                  : "load.recovered_share_2.5x",
                       Policy.Name, Seed,
                       Part * static_cast<double>(Settings.TargetsEach),
                       "ratio", 0.5, Bound::AtLeast});
      }
  return All;
}

auto measureDataCentre() -> Measurements {
  Measurements All;
  for (const auto &Policy : Policies)
    for (const std::uint64_t Seed : Seeds) {
      TrafficWorld::Options Settings;
      Settings.Rules = Policy;
      Settings.DataCentres = 4;
      Settings.InstancesEach = 3;
      Settings.RequestsPerSecond = 12000;
      Settings.MeasureFrom = TimePoint(std::chrono::seconds(6));
      Settings.End = TimePoint(std::chrono::seconds(21));
      const auto Even = TrafficWorld(Settings, Seed).run();
      Settings.TakenOutAt = TimePoint(std::chrono::seconds(6));
      Settings.BroughtBackAt = TimePoint(std::chrono::seconds(12));
      const auto Moved = TrafficWorld(Settings, Seed).run();
      All.push_back({"dc.stop_s", Policy.Name, Seed,
                     static_cast<double>(Moved.StopTime.count()) / 1e6, "s", 2,
                     Bound::AtMost});
      All.push_back({"dc.requests_lost", Policy.Name, Seed,
                     static_cast<double>(Moved.Lost), "requests", 0,
                     Bound::AtMost});
      All.push_back({"dc.p99_ratio", Policy.Name, Seed,
                     ratio(Moved.P99, Even.P99), "ratio", 2, Bound::AtMost});
    }
  return All;
}

} // namespace buckthornring::measure
