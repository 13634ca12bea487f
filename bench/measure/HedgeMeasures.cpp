#include "HedgeSimulation.h"
#include "Measurement.h"

#include <string>

namespace buckthornring::measure {

namespace {

using Rule = HedgeSimulation::Rule;

constexpr std::uint64_t Seeds[] = {1, 2, 3};

struct Pattern {
  const char *Name;
  HedgeSimulation::Options Settings;
};

auto patterns() -> std::vector<Pattern> {
  return {{"tail-drawn-anew", {}},
          {"tail-repeats", {.DrawsAnew = false}},
          {"no-tail", {.WorkTail = false}},
          {"slow-targets", {.DrawsAnew = false, .SlowTargets = 2}},
          {"frozen-targets", {.DrawsAnew = false, .FrozenTargets = 2}},
          {"lost-answers", {.DrawsAnew = false, .LostAnswers = 0.01}},
          {"overload", {.RequestsPerSecond = 600}},
          {"no-cancellation", {.Cancellation = false}}};
}

struct Policy {
  const char *Name;
  Rule HedgeRule;
  double Limit; ///< Of requests and of time.
};

/// The first one is the base of the comparison.
constexpr Policy Policies[] = {{"off", Rule::Off, 0},
                               {"former", Rule::Former, 0.02},
                               {"multiple", Rule::Multiple, 0.02},
                               {"planned", Rule::Planned, 0.02},
                               {"planned-5%", Rule::Planned, 0.05}};

auto milliseconds(Duration Time) -> double {
  return static_cast<double>(Time.count()) / 1000;
}

} // namespace

auto measureHedging() -> Measurements {
  Measurements Results;
  for (const Pattern &Each : patterns())
    for (const std::uint64_t Seed : Seeds) {
      Duration P99Off{0};
      for (const Policy &Chosen : Policies) {
        HedgeSimulation::Options Settings = Each.Settings;
        Settings.HedgeRule = Chosen.HedgeRule;
        Settings.Limits = {Chosen.Limit, Chosen.Limit};
        auto Found = HedgeSimulation(Settings, Seed).run();
        const auto Add = [&](const char *Name, double Value, const char *Unit,
                             double Target, Bound Comparison) {
          Results.push_back({std::string("hedging.") + Each.Name + "." + Name,
                             Chosen.Name, Seed, Value, Unit, Target,
                             Comparison});
        };
        const Duration P99 = Found.quantile(0.99);
        if (Chosen.HedgeRule == Rule::Off)
          P99Off = P99;
        const auto Requests = static_cast<double>(Found.Requests);
        Add("p50", milliseconds(Found.quantile(0.5)), "ms", 0, Bound::AtLeast);
        // The former rule had no limit of its own; what it reaches is compared.
        Add("p99", milliseconds(P99), "ms", milliseconds(P99Off),
            Bound::AtMost);
        Add("p999", milliseconds(Found.quantile(0.999)), "ms", 0,
            Bound::AtLeast);
        Add("answered", static_cast<double>(Found.Answered) / Requests, "ratio",
            0, Bound::AtLeast);
        Add("extra_requests", static_cast<double>(Found.Hedges) / Requests,
            "ratio", Settings.Limits.ExtraRequests, Bound::AtMost);
        Add("extra_time",
            static_cast<double>(Found.ExtraTime.count()) /
                static_cast<double>(Found.TargetTime.count()),
            "ratio", Settings.Limits.ExtraTime, Bound::AtMost);
      }
    }
  return Results;
}

} // namespace buckthornring::measure
