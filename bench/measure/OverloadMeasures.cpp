#include "Measurement.h"
#include "OverloadSimulation.h"

#include <string>
#include <utility>

namespace buckthornring::measure {

namespace {

constexpr std::uint64_t Seeds[] = {1, 2};
constexpr std::uint32_t MaxInstancesOfOtherSeeds = 71;
constexpr std::uint32_t FleetSizes[] = {1, 11, 71, 300, 600};

struct AdmissionPolicy {
  const char *Name;
  OwnerAdmission Admission;
};
constexpr AdmissionPolicy Policies[] = {
    {"current", OwnerAdmission::EqualShares},
    {"windows", OwnerAdmission::Windows}};

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

struct MeasuredCase {
  LoadPattern Pattern;
  std::uint64_t Seed;
  std::uint32_t Instances;
};

auto measureCase(const OverloadScenario &Scenario, double Ideal,
                 const AdmissionPolicy &Policy, const MeasuredCase &Case)
    -> Measurements {
  const auto Run =
      OverloadSimulation(Scenario, Policy.Admission, Case.Instances, Case.Seed)
          .run();
  const std::string Suffix = (Scenario.divided() ? "." : ".undivided.") +
                             std::string(LoadPatternNames.name(Case.Pattern)) +
                             "." + std::to_string(Case.Instances);
  return {{"overload.goodput" + Suffix, Policy.Name, Case.Seed,
           Run.Value / Ideal, "ratio", requiredGoodput(Case.Instances),
           Bound::AtLeast},
          {"overload.turned_away" + Suffix, Policy.Name, Case.Seed,
           100 * share(Run.TurnedAway, Run.Arrivals), "per 100 arrivals",
           MaxTurnedAwayPer100, Bound::AtMost},
          {"overload.refused_again" + Suffix, Policy.Name, Case.Seed,
           share(Run.RefusedAgain, Run.Returned), "ratio", MaxRefusedAgain,
           Bound::AtMost},
          {"overload.refused_with_room" + Suffix, Policy.Name, Case.Seed,
           share(Run.RefusedDespiteRoom, Run.ReturnedToRoom), "ratio",
           MaxRefusedAgain, Bound::AtMost},
          {"overload.refused" + Suffix, Policy.Name, Case.Seed,
           100 * share(Run.Refused, Run.Requests), "per 100 requests", 100,
           Bound::AtMost},
          {"overload.failed" + Suffix, Policy.Name, Case.Seed,
           100 * share(Run.Failed, Run.Requests), "per 100 requests", 100,
           Bound::AtMost},
          {"overload.rejected" + Suffix, Policy.Name, Case.Seed,
           100 * share(Run.TurnedAway + Run.Shed, Run.Arrivals + Run.Shed),
           "per 100 arrivals", 100, Bound::AtMost}};
}

// Large fleets take most of the time.
auto measured(std::uint64_t Seed, std::uint32_t Instances) -> bool {
  return Seed == Seeds[0] || Instances <= MaxInstancesOfOtherSeeds;
}

auto append(Measurements Added, Measurements &Results) -> void {
  for (Measurement &Value : Added)
    Results.push_back(std::move(Value));
}

auto measureDivided(LoadPattern Pattern, Measurements &Results) -> void {
  for (const std::uint64_t Seed : Seeds) {
    const OverloadScenario Scenario(Pattern, Seed);
    const double Ideal = idealValue(Scenario);
    for (const AdmissionPolicy &Policy : Policies)
      for (const std::uint32_t Instances : FleetSizes)
        if (measured(Seed, Instances))
          append(
              measureCase(Scenario, Ideal, Policy, {Pattern, Seed, Instances}),
              Results);
  }
}

auto measureUndivided(LoadPattern Pattern, Measurements &Results) -> void {
  for (const std::uint64_t Seed : Seeds)
    for (const std::uint32_t Instances : FleetSizes) {
      if (!measured(Seed, Instances))
        continue;
      const OverloadScenario Scenario(
          Pattern, Seed, ServiceDivision::Undivided,
          OverloadScenario::undividedTargets(Instances));
      append(measureCase(Scenario, idealValue(Scenario), Policies[1],
                         {Pattern, Seed, Instances}),
             Results);
    }
}

} // namespace

auto measureOverload() -> Measurements {
  Measurements Results;
  for (std::size_t Index = 0; Index < LoadPatternNames.size(); ++Index) {
    const auto Pattern = static_cast<LoadPattern>(Index);
    measureDivided(Pattern, Results);
    // Keys have no meaning for the other service.
    if (Pattern != LoadPattern::HotKey)
      measureUndivided(Pattern, Results);
  }
  return Results;
}

} // namespace buckthornring::measure
