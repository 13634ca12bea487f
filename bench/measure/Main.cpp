#include "Measurement.h"

#include <nlohmann/json.hpp>

#include <array>
#include <iostream>
#include <string_view>

using namespace buckthornring::measure;

namespace {

struct Registered {
  std::string_view Name;
  auto(*Run)() -> Measurements;
};

constexpr std::array<Registered, 13> Registry = {{
    {"ownership-balance", measureOwnershipBalance},
    {"ownership-recovery", measureOwnershipRecovery},
    {"ownership-violations", measureOwnershipViolations},
    {"tail", measureTail},
    {"recovery", measureRecovery},
    {"dc", measureDataCentre},
    {"fairness", measureFairness},
    {"refusals", measureRefusals},
    {"rate", measureRateOvershoot},
    {"rate", measureRateOvershootOfPolicies},
    {"cold", measureColdOverload},
    {"runs", measureRuns},
    {"capacity", measureCapacity},
}};

auto print(const Measurement &Each) -> void {
  nlohmann::ordered_json Line;
  Line["measure"] = Each.Measure;
  Line["policy"] = Each.Policy;
  Line["seed"] = Each.Seed;
  Line["value"] = Each.Value;
  Line["unit"] = Each.Unit;
  Line["target"] = Each.Target;
  Line["met"] = Each.met();
  std::cout << Line.dump() << '\n';
}

} // namespace

/// Usage: bench_measure [NAME...]; without names, all measures run.
auto main(int Count, char **Arguments) -> int {
  for (const Registered &Entry : Registry) {
    bool Wanted = Count == 1;
    for (int I = 1; I < Count; ++I)
      Wanted = Wanted || Entry.Name == Arguments[I];
    if (!Wanted)
      continue;
    for (const Measurement &Each : Entry.Run())
      print(Each);
  }
  return 0;
}
