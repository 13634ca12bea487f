#include "Measurement.h"
#include "OverloadSimulation.h"

#include <string>

namespace buckthornring::measure {

namespace {

constexpr std::uint64_t Seeds[] = {1, 2};
constexpr std::uint32_t FleetSizes[] = {1, 11, 71, 300, 600};

/// Requirements of docs/design/overload.md, part 2.
constexpr double MaxTurnedAwayPer100 = 3;
constexpr double MaxRefusedAgain = 0.1;

auto requiredGoodput(std::uint32_t Instances) -> double {
  if (Instances == 1)
    return 0.9;
  return Instances == 71 ? 0.85 : 0.8;
}

auto share(std::uint64_t Part, std::uint64_t Whole) -> double {
  return Whole == 0 ? 0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

} // namespace

auto measureOverload() -> Measurements {
  Measurements Results;
  for (std::size_t Index = 0; Index < LoadPatternNames.size(); ++Index)
    for (const std::uint64_t Seed : Seeds) {
      const auto Pattern = static_cast<LoadPattern>(Index);
      const OverloadScenario Scenario(Pattern, Seed);
      const double Ideal = idealValue(Scenario);
      for (const std::uint32_t Instances : FleetSizes) {
        const auto Run = OverloadSimulation(Scenario, Instances, Seed).run();
        const std::string Suffix = "." +
                                   std::string(LoadPatternNames.name(Pattern)) +
                                   "." + std::to_string(Instances);
        const std::string Policy = "current";
        Results.push_back({"overload.goodput" + Suffix, Policy, Seed,
                           Run.Value / Ideal, "ratio",
                           requiredGoodput(Instances), Bound::AtLeast});
        Results.push_back({"overload.turned_away" + Suffix, Policy, Seed,
                           100 * share(Run.TurnedAway, Run.OwnerArrivals),
                           "per 100 arrivals", MaxTurnedAwayPer100,
                           Bound::AtMost});
        Results.push_back({"overload.refused_again" + Suffix, Policy, Seed,
                           share(Run.RefusedAgain, Run.Returned), "ratio",
                           MaxRefusedAgain, Bound::AtMost});
        Results.push_back({"overload.refused" + Suffix, Policy, Seed,
                           100 * share(Run.Refused, Run.Requests),
                           "per 100 requests", 100, Bound::AtMost});
      }
    }
  return Results;
}

} // namespace buckthornring::measure
