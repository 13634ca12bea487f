#include "Measurement.h"

#include "support/ColdStartSimulation.h"
#include "support/EscrowSimulation.h"
#include "support/RequestSimulation.h"

#include <algorithm>

namespace buckthornring::measure {

namespace {

using namespace buckthornring::testing;

constexpr std::uint64_t FirstSeed = 1;
// Each value covers this number of seeds, starting with FirstSeed.
constexpr std::uint64_t SeedCount = 200;

auto atMostZero(const char *Measure, const char *Policy, double Value,
                const char *Unit) -> Measurement {
  return {Measure, Policy, FirstSeed, Value, Unit, 0, Bound::AtMost};
}

auto sumCounts(RequestFault Policy) -> RequestSimulation::Counts {
  RequestSimulation::Counts Sum;
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    const auto Run = RequestSimulation(Policy, Seed).run();
    Sum.RanTwice += Run.RanTwice;
    Sum.FalseNotRun += Run.FalseNotRun;
    Sum.MismatchedResponses += Run.MismatchedResponses;
  }
  return Sum;
}

auto countColdOverloads(ColdStartPolicy Policy) -> double {
  std::uint64_t Sum = 0;
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    ColdStartSimulation Simulation(Policy, Seed);
    Simulation.run();
    Sum += Simulation.overloads();
  }
  return static_cast<double>(Sum);
}

auto worstOvershoot(EscrowFault Policy) -> double {
  double Worst = 0;
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    EscrowSimulation::Options Settings;
    Settings.Fault = Policy;
    EscrowSimulation Simulation(Settings, Seed);
    Simulation.run();
    Worst = std::max(Worst, Simulation.worstOvershoot());
  }
  // The rounding error of the sums over 15 s of virtual time is far below 1e-6.
  return Worst < 1e-6 ? 0 : Worst;
}

} // namespace

auto measureExecutionErrors() -> Measurements {
  Measurements Results;
  const std::vector<std::pair<const char *, RequestFault>> Policies = {
      {"phase-machine", RequestFault::None},
      {"retry-always", RequestFault::RetryAlways},
      {"record-per-attempt", RequestFault::RecordPerAttempt},
      {"reuse-abandoned", RequestFault::ReuseAbandoned}};
  for (const auto &[Name, Policy] : Policies) {
    const auto Sum = sumCounts(Policy);
    Results.push_back(atMostZero("runs.twice", Name,
                                 static_cast<double>(Sum.RanTwice),
                                 "requests per 200 seeds"));
    Results.push_back(atMostZero("not_run.false", Name,
                                 static_cast<double>(Sum.FalseNotRun),
                                 "requests per 200 seeds"));
    Results.push_back(atMostZero("answers.wrong", Name,
                                 static_cast<double>(Sum.MismatchedResponses),
                                 "requests per 200 seeds"));
  }
  return Results;
}

auto measureColdStartOverload() -> Measurements {
  return {atMostZero("cold.overload", "escrow",
                     countColdOverloads(ColdStartPolicy::Escrow),
                     "requests per 200 seeds"),
          atMostZero("cold.overload", "local-ramp",
                     countColdOverloads(ColdStartPolicy::LocalRamp),
                     "requests per 200 seeds"),
          atMostZero("cold.overload", "static-division",
                     countColdOverloads(ColdStartPolicy::StaticDivision),
                     "requests per 200 seeds")};
}

auto measureRateOvershoot() -> Measurements {
  return {atMostZero("rate.overshoot", "escrow",
                     worstOvershoot(EscrowFault::None),
                     "requests, worst of 200 seeds"),
          atMostZero("rate.overshoot", "escrow-without-takeover-wait",
                     worstOvershoot(EscrowFault::NoWaitOnTakeover),
                     "requests, worst of 200 seeds")};
}

} // namespace buckthornring::measure
