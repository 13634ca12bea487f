#include "Measurement.h"

#include "support/ColdStartSimulation.h"
#include "support/EscrowSimulation.h"
#include "support/RequestSimulation.h"

#include <algorithm>

namespace buckthornring::measure {

namespace {

using namespace buckthornring::testing;

constexpr std::uint64_t FirstSeed = 1;
// Values are over the seeds from the first one.
constexpr std::uint64_t Schedules = 200;

auto zero(const char *Measure, const char *Policy, double Value,
          const char *Unit) -> Measurement {
  return {Measure, Policy, FirstSeed, Value, Unit, 0, Bound::AtMost};
}

auto sumRuns(RequestFault Policy) -> RequestSimulation::Counts {
  RequestSimulation::Counts Sum;
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    const auto Run = RequestSimulation(Policy, Seed).run();
    Sum.RanTwice += Run.RanTwice;
    Sum.FalseNotRun += Run.FalseNotRun;
    Sum.MismatchedResponses += Run.MismatchedResponses;
  }
  return Sum;
}

auto coldOverloads(ColdStartPolicy Policy) -> double {
  std::uint64_t Sum = 0;
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    ColdStartSimulation World(Policy, Seed);
    World.run();
    Sum += World.overloads();
  }
  return static_cast<double>(Sum);
}

auto worstOvershoot(EscrowFault Policy) -> double {
  double Worst = 0;
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    EscrowSimulation::Options Settings;
    Settings.Fault = Policy;
    EscrowSimulation World(Settings, Seed);
    World.run();
    Worst = std::max(Worst, World.worstOvershoot());
  }
  // Sums of doubles over 15 s of virtual time are exact to far below this.
  return Worst < 1e-6 ? 0 : Worst;
}

} // namespace

auto measureRuns() -> Measurements {
  Measurements All;
  const std::vector<std::pair<const char *, RequestFault>> Policies = {
      {"phase-machine", RequestFault::None},
      {"retry-always", RequestFault::RetryAlways},
      {"record-per-attempt", RequestFault::RecordPerAttempt},
      {"reuse-abandoned", RequestFault::ReuseAbandoned}};
  for (const auto &[Name, Policy] : Policies) {
    const auto Sum = sumRuns(Policy);
    All.push_back(zero("runs.twice", Name, static_cast<double>(Sum.RanTwice),
                       "requests per 200 seeds"));
    All.push_back(zero("not_run.false", Name,
                       static_cast<double>(Sum.FalseNotRun),
                       "requests per 200 seeds"));
    All.push_back(zero("answers.wrong", Name,
                       static_cast<double>(Sum.MismatchedResponses),
                       "requests per 200 seeds"));
  }
  return All;
}

auto measureColdOverload() -> Measurements {
  return {
      zero("cold.overload", "escrow", coldOverloads(ColdStartPolicy::Escrow),
           "requests per 200 seeds"),
      zero("cold.overload", "local-ramp",
           coldOverloads(ColdStartPolicy::LocalRamp), "requests per 200 seeds"),
      zero("cold.overload", "static-division",
           coldOverloads(ColdStartPolicy::StaticDivision),
           "requests per 200 seeds")};
}

auto measureRateOvershoot() -> Measurements {
  return {zero("rate.overshoot", "escrow", worstOvershoot(EscrowFault::None),
               "requests, worst of 200 seeds"),
          zero("rate.overshoot", "escrow-without-takeover-wait",
               worstOvershoot(EscrowFault::NoWaitOnTakeover),
               "requests, worst of 200 seeds")};
}

} // namespace buckthornring::measure
