#include "Measurement.h"
#include "RateSimulation.h"

#include <algorithm>
#include <string>

namespace buckthornring::measure {

namespace {

// Eight workspaces, a few of them large (docs/design.md, 2).
auto workspaces(double OfferedPart) -> std::vector<RateWorld::Workspace> {
  std::vector<RateWorld::Workspace> All;
  for (const double Rate :
       {400.0, 400.0, 200.0, 100.0, 100.0, 50.0, 50.0, 50.0})
    All.push_back({Rate, Rate, Rate * OfferedPart});
  return All;
}

constexpr std::uint64_t Seeds[] = {1, 2, 3, 4, 5};

auto wrongfulPart(const std::vector<RateWorld::Tally> &All) -> double {
  std::uint64_t Within = 0;
  std::uint64_t Wrongful = 0;
  for (const auto &Each : All) {
    Within += Each.WithinRate;
    Wrongful += Each.Wrongful;
  }
  return Within == 0
             ? 0
             : static_cast<double>(Wrongful) / static_cast<double>(Within);
}

struct NamedRates {
  const char *Name;
  RatePolicy Policy;
};
constexpr NamedRates RatePolicies[] = {
    {"escrow", RatePolicy::Escrow},
    {"static-division", RatePolicy::StaticDivision}};

struct NamedLoss {
  const char *Name;
  double FirstPart;
  bool LoseInstance;
  bool LoseLeader;
  double Target;
};
constexpr NamedLoss Losses[] = {
    {"half-at-one", 0.5, false, false, 0.001},
    {"instance-lost", 0.1, true, false, 0.01},
    {"busiest-instance-lost", 0.5, true, false, 0.01},
    {"leader-lost", 0.1, true, true, 0.01}};

struct NamedService {
  const char *Name;
  RatePolicy Rates;
  QueuePolicy Queueing;
};
constexpr NamedService ServicePolicies[] = {
    {"escrow+drr", RatePolicy::Escrow, QueuePolicy::DeficitRoundRobin},
    {"drr-only", RatePolicy::Unlimited, QueuePolicy::DeficitRoundRobin},
    {"static-division+drr", RatePolicy::StaticDivision,
     QueuePolicy::DeficitRoundRobin},
    {"fifo", RatePolicy::Unlimited, QueuePolicy::Fifo}};

auto fairnessOptions(const NamedService &Policy) -> RateWorld::Options {
  RateWorld::Options Settings;
  Settings.Rates = Policy.Rates;
  Settings.Queueing = Policy.Queueing;
  Settings.FirstInstancePart = 0.3;
  Settings.Workspaces = workspaces(0.8);
  // 32 slots of 20 ms serve 1,600 requests/s; the rates add up to 1,350.
  Settings.Slots = 32;
  return Settings;
}

auto worstShare(const NamedService &Policy, std::uint64_t Seed) -> double {
  RateWorld::Options Settings = fairnessOptions(Policy);
  Settings.Workspaces[0].Offered = 10 * Settings.Workspaces[0].Rate;
  const auto All = RateWorld(Settings, Seed).run();
  double Worst = 1;
  for (std::size_t W = 1; W < All.size(); ++W)
    Worst = std::min(Worst, static_cast<double>(All[W].Served) /
                                static_cast<double>(All[W].Offered));
  return Worst;
}

auto rivalDifference(const NamedService &Policy, std::uint64_t Seed) -> double {
  RateWorld::Options Settings = fairnessOptions(Policy);
  Settings.Workspaces[0].Offered = 3 * Settings.Workspaces[0].Rate;
  Settings.Workspaces[1].Offered = 3 * Settings.Workspaces[1].Rate;
  const auto All = RateWorld(Settings, Seed).run();
  const auto A = static_cast<double>(All[0].Served);
  const auto B = static_cast<double>(All[1].Served);
  return std::max(A, B) == 0 ? 1 : std::abs(A - B) / std::max(A, B);
}

} // namespace

auto measureRefusals() -> Measurements {
  Measurements All;
  for (const NamedLoss &Loss : Losses)
    for (const NamedRates &Rates : RatePolicies)
      for (const std::uint64_t Seed : Seeds) {
        RateWorld::Options Settings;
        Settings.Rates = Rates.Policy;
        Settings.FirstInstancePart = Loss.FirstPart;
        Settings.Workspaces = workspaces(0.8);
        if (Loss.LoseInstance)
          Settings.LostInstance = 0;
        Settings.LoseLeader = Loss.LoseLeader;
        const auto Run = RateWorld(Settings, Seed).run();
        All.push_back({"refusals.wrongful",
                       std::string(Rates.Name) + "/" + Loss.Name, Seed,
                       wrongfulPart(Run), "ratio", Loss.Target, Bound::AtMost});
      }
  return All;
}

/// One workspace sends 10 times its rate, half of the traffic is at one
/// instance, and the leader is lost.
auto measureRateOvershootOfPolicies() -> Measurements {
  Measurements All;
  for (const NamedService &Policy : ServicePolicies)
    for (const std::uint64_t Seed : Seeds) {
      RateWorld::Options Settings = fairnessOptions(Policy);
      Settings.FirstInstancePart = 0.5;
      Settings.LoseLeader = true;
      Settings.Workspaces[0].Offered = 10 * Settings.Workspaces[0].Rate;
      double Worst = 0;
      for (const auto &Each : RateWorld(Settings, Seed).run())
        Worst = std::max(Worst, Each.Overshoot);
      All.push_back({"rate.overshoot", std::string(Policy.Name) + "/overload",
                     Seed, Worst, "requests", 0, Bound::AtMost});
    }
  return All;
}

auto measureFairness() -> Measurements {
  Measurements All;
  for (const NamedService &Policy : ServicePolicies)
    for (const std::uint64_t Seed : Seeds) {
      All.push_back({"fairness.worst_share", Policy.Name, Seed,
                     worstShare(Policy, Seed), "ratio", 0.95, Bound::AtLeast});
      All.push_back({"fairness.rival_difference", Policy.Name, Seed,
                     rivalDifference(Policy, Seed), "ratio", 0.02,
                     Bound::AtMost});
    }
  return All;
}

} // namespace buckthornring::measure
