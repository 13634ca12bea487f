#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornring::measure {

/// How a value is compared with the value required of it.
enum class Bound { AtMost, AtLeast };

/// One measured value; printed as one JSON line.
struct Measurement {
  std::string Measure;
  std::string Policy;
  std::uint64_t Seed = 0;
  double Value = 0;
  std::string Unit;
  double Target = 0; ///< Required value.
  Bound Comparison = Bound::AtMost;

  auto met() const -> bool {
    return Comparison == Bound::AtMost ? Value <= Target : Value >= Target;
  }
};

using Measurements = std::vector<Measurement>;

// Exclusive ownership of slices.
auto measureOwnershipBalance() -> Measurements;
auto measureOwnershipRecovery() -> Measurements;
auto measureOwnershipViolations() -> Measurements;

// Request path.
auto measureTailLatency() -> Measurements;
auto measureSlowTargetRecovery() -> Measurements;
auto measureDataCentreTakeOut() -> Measurements;
auto measureFairness() -> Measurements;
auto measureWrongfulRefusals() -> Measurements;
auto measureRateOvershoot() -> Measurements;
auto measureRateOvershootUnderOverload() -> Measurements;
auto measureColdStartOverload() -> Measurements;
auto measureExecutionErrors() -> Measurements;
auto measureHedging() -> Measurements;

// Admission at owners under overload.
auto measureOverload() -> Measurements;

// Growth with the size of the fleet, for docs/CAPACITY.md.
auto measureCapacity() -> Measurements;

} // namespace buckthornring::measure
