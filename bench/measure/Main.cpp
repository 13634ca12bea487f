#include "Measurement.h"

#include <nlohmann/json.hpp>

#include <array>
#include <iostream>
#include <string_view>

using namespace buckthornring::measure;

namespace {

struct RegisteredMeasure {
  std::string_view Name;
  auto(*Run)() -> Measurements;
};

constexpr std::array<RegisteredMeasure, 15> Registry = {{
    {"ownership-balance", measureOwnershipBalance},
    {"ownership-recovery", measureOwnershipRecovery},
    {"ownership-violations", measureOwnershipViolations},
    {"tail", measureTailLatency},
    {"recovery", measureSlowTargetRecovery},
    {"dc", measureDataCentreTakeOut},
    {"fairness", measureFairness},
    {"refusals", measureWrongfulRefusals},
    {"rate", measureRateOvershoot},
    {"rate", measureRateOvershootUnderOverload},
    {"cold", measureColdStartOverload},
    {"runs", measureExecutionErrors},
    {"overload", measureOverload},
    {"capacity", measureCapacity},
    {"hedging", measureHedging},
}};

auto print(const Measurement &Result) -> void {
  nlohmann::ordered_json Line;
  Line["measure"] = Result.Measure;
  Line["policy"] = Result.Policy;
  Line["seed"] = Result.Seed;
  Line["value"] = Result.Value;
  Line["unit"] = Result.Unit;
  Line["target"] = Result.Target;
  Line["met"] = Result.met();
  std::cout << Line.dump() << '\n';
}

} // namespace

/// Usage: bench_measure [NAME...]. Runs the named measures, or all of them
/// without names.
auto main(int Count, char **Arguments) -> int {
  for (const RegisteredMeasure &Entry : Registry) {
    bool Selected = Count == 1;
    for (int I = 1; I < Count; ++I)
      Selected = Selected || Entry.Name == Arguments[I];
    if (!Selected)
      continue;
    for (const Measurement &Result : Entry.Run())
      print(Result);
  }
  return 0;
}
