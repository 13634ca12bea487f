#include "Measurement.h"
#include "RateSimulation.h"

#include <algorithm>
#include <string>

namespace buckthornring::measure {

namespace {

// Eight workspaces, a few of them with a large rate (docs/design.md, 2).
auto makeWorkspaces(double OfferedFraction)
    -> std::vector<RateSimulation::Workspace> {
  std::vector<RateSimulation::Workspace> Workspaces;
  for (const double Rate :
       {400.0, 400.0, 200.0, 100.0, 100.0, 50.0, 50.0, 50.0})
    Workspaces.push_back({Rate, Rate, Rate * OfferedFraction});
  return Workspaces;
}

constexpr std::uint64_t Seeds[] = {1, 2, 3, 4, 5};

/// Returns the fraction of the requests within the rate that were refused.
auto wrongfulFraction(const std::vector<RateSimulation::Statistics> &Results)
    -> double {
  std::uint64_t WithinRate = 0;
  std::uint64_t Wrongful = 0;
  for (const auto &Each : Results) {
    WithinRate += Each.WithinRate;
    Wrongful += Each.Wrongful;
  }
  return WithinRate == 0
             ? 0
             : static_cast<double>(Wrongful) / static_cast<double>(WithinRate);
}

struct NamedRatePolicy {
  const char *Name;
  RatePolicy Policy;
};
constexpr NamedRatePolicy RatePolicies[] = {
    {"escrow", RatePolicy::Escrow},
    {"static-division", RatePolicy::StaticDivision}};

struct LossScenario {
  const char *Name;
  double FirstInstanceFraction;
  bool LoseInstance;
  bool LoseLeader;
  double Target;
};
constexpr LossScenario LossScenarios[] = {
    {"half-at-one", 0.5, false, false, 0.001},
    {"instance-lost", 0.1, true, false, 0.01},
    {"busiest-instance-lost", 0.5, true, false, 0.01},
    {"leader-lost", 0.1, true, true, 0.01}};

struct NamedPolicy {
  const char *Name;
  RatePolicy RateLimiting;
  QueuePolicy Queueing;
};
constexpr NamedPolicy Policies[] = {
    {"escrow+drr", RatePolicy::Escrow, QueuePolicy::DeficitRoundRobin},
    {"drr-only", RatePolicy::Unlimited, QueuePolicy::DeficitRoundRobin},
    {"static-division+drr", RatePolicy::StaticDivision,
     QueuePolicy::DeficitRoundRobin},
    {"fifo", RatePolicy::Unlimited, QueuePolicy::Fifo}};

auto fairnessOptions(const NamedPolicy &Policy) -> RateSimulation::Options {
  RateSimulation::Options Settings;
  Settings.RateLimiting = Policy.RateLimiting;
  Settings.Queueing = Policy.Queueing;
  Settings.FirstInstanceFraction = 0.3;
  Settings.Workspaces = makeWorkspaces(0.8);
  // 32 slots with a mean service time of 20 ms serve 1,600 requests/s. The
  // rates add up to 1,350 requests/s.
  Settings.Slots = 32;
  return Settings;
}

/// Returns the smallest served fraction of the other workspaces while the first
/// one sends 10 times its rate.
auto worstServedFraction(const NamedPolicy &Policy, std::uint64_t Seed)
    -> double {
  RateSimulation::Options Settings = fairnessOptions(Policy);
  Settings.Workspaces[0].Offered = 10 * Settings.Workspaces[0].Rate;
  const auto Results = RateSimulation(Settings, Seed).run();
  double Worst = 1;
  for (std::size_t Index = 1; Index < Results.size(); ++Index)
    Worst = std::min(Worst, static_cast<double>(Results[Index].Served) /
                                static_cast<double>(Results[Index].Offered));
  return Worst;
}

/// Returns the relative difference between the served requests of two
/// workspaces with equal rates that both send 3 times their rate.
auto servedDifference(const NamedPolicy &Policy, std::uint64_t Seed) -> double {
  RateSimulation::Options Settings = fairnessOptions(Policy);
  Settings.Workspaces[0].Offered = 3 * Settings.Workspaces[0].Rate;
  Settings.Workspaces[1].Offered = 3 * Settings.Workspaces[1].Rate;
  const auto Results = RateSimulation(Settings, Seed).run();
  const auto FirstServed = static_cast<double>(Results[0].Served);
  const auto SecondServed = static_cast<double>(Results[1].Served);
  return std::max(FirstServed, SecondServed) == 0
             ? 1
             : std::abs(FirstServed - SecondServed) /
                   std::max(FirstServed, SecondServed);
}

} // namespace

auto measureWrongfulRefusals() -> Measurements {
  Measurements Results;
  for (const LossScenario &Loss : LossScenarios)
    for (const NamedRatePolicy &Limiting : RatePolicies)
      for (const std::uint64_t Seed : Seeds) {
        RateSimulation::Options Settings;
        Settings.RateLimiting = Limiting.Policy;
        Settings.FirstInstanceFraction = Loss.FirstInstanceFraction;
        Settings.Workspaces = makeWorkspaces(0.8);
        if (Loss.LoseInstance)
          Settings.LostInstance = 0;
        Settings.LoseLeader = Loss.LoseLeader;
        const auto Statistics = RateSimulation(Settings, Seed).run();
        Results.push_back({"refusals.wrongful",
                           std::string(Limiting.Name) + "/" + Loss.Name, Seed,
                           wrongfulFraction(Statistics), "ratio", Loss.Target,
                           Bound::AtMost});
      }
  return Results;
}

/// Measures the overshoot when one workspace sends 10 times its rate, one
/// instance receives half of the traffic and the leader is lost.
auto measureRateOvershootUnderOverload() -> Measurements {
  Measurements Results;
  for (const NamedPolicy &Policy : Policies)
    for (const std::uint64_t Seed : Seeds) {
      RateSimulation::Options Settings = fairnessOptions(Policy);
      Settings.FirstInstanceFraction = 0.5;
      Settings.LoseLeader = true;
      Settings.Workspaces[0].Offered = 10 * Settings.Workspaces[0].Rate;
      double Worst = 0;
      for (const auto &Each : RateSimulation(Settings, Seed).run())
        Worst = std::max(Worst, Each.Overshoot);
      Results.push_back({"rate.overshoot",
                         std::string(Policy.Name) + "/overload", Seed, Worst,
                         "requests", 0, Bound::AtMost});
    }
  return Results;
}

auto measureFairness() -> Measurements {
  Measurements Results;
  for (const NamedPolicy &Policy : Policies)
    for (const std::uint64_t Seed : Seeds) {
      Results.push_back({"fairness.worst_share", Policy.Name, Seed,
                         worstServedFraction(Policy, Seed), "ratio", 0.95,
                         Bound::AtLeast});
      Results.push_back({"fairness.rival_difference", Policy.Name, Seed,
                         servedDifference(Policy, Seed), "ratio", 0.02,
                         Bound::AtMost});
    }
  return Results;
}

} // namespace buckthornring::measure
