#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornring::measure {

/// How a value is compared with its target.
enum class Bound { AtMost, AtLeast };

/// One measured value; printed as one JSON line.
struct Measurement {
  std::string Measure;
  std::string Policy;
  std::uint64_t Seed = 0;
  double Value = 0;
  std::string Unit;
  double Target = 0;
  Bound Kind = Bound::AtMost;

  auto met() const -> bool {
    return Kind == Bound::AtMost ? Value <= Target : Value >= Target;
  }
};

using Measurements = std::vector<Measurement>;

// Measures of exclusive ownership.
auto measureOwnershipBalance() -> Measurements;
auto measureOwnershipRecovery() -> Measurements;
auto measureOwnershipViolations() -> Measurements;

// Measures of the request path.
auto measureTail() -> Measurements;
auto measureRecovery() -> Measurements;
auto measureDataCentre() -> Measurements;
auto measureFairness() -> Measurements;
auto measureRefusals() -> Measurements;
auto measureRateOvershoot() -> Measurements;
auto measureRateOvershootOfPolicies() -> Measurements;
auto measureColdOverload() -> Measurements;
auto measureRuns() -> Measurements;

// Slopes for docs/CAPACITY.md.
auto measureCapacity() -> Measurements;

} // namespace buckthornring::measure
