#include "Admission/ServiceWindow.h"

#include <algorithm>

namespace buckthornring {

namespace {

// The constants below were selected with "bench_measure overload" for 1 to 600
// instances (docs/design/admission.md).

/// Requests per slot that all instances may have in flight together while the
/// targets are busy. In a surge with 300 instances, a share of 3 with a
/// BusyLoad of 1.75 rejected 11.5 instead of 12.9 of 100 arrivals, but cost
/// 0.003 of the goodput.
constexpr double BusyShare = 3.25;

/// Requests per slot from which the targets count as busy.
constexpr double BusyLoad = 1.5;

/// Requests per slot by which the window is wider for each request per slot
/// below BusyLoad.
constexpr double Widening = 8;

} // namespace

auto serviceWindow(const ServiceLoad &Load, std::uint32_t Instances) -> double {
  const double Idle = std::max(0.0, BusyLoad - Load.perSlot());
  return (BusyShare + Widening * Idle) * Load.Slots / std::max(1U, Instances);
}

} // namespace buckthornring
