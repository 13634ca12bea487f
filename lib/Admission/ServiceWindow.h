#pragma once

#include <cstdint>

namespace buckthornring {

/// Load of an undivided service's targets, as known to one instance.
struct ServiceLoad {
  double Slots = 0;    ///< Of the targets that take requests now.
  double Requests = 0; ///< Estimated number of requests at these targets.
  std::uint32_t InFlight = 0; ///< Of this instance, at all targets.
  bool Reported = false;      ///< Whether a target has reported lately.

  auto perSlot() const -> double { return Slots > 0 ? Requests / Slots : 0; }
};

/// Returns how many requests one of \p Instances instances may have in flight
/// at all targets of an undivided service together.
///
/// The queue of one target is known 100 ms too late, so instances that go by it
/// alone fill the targets that seem to be free. An equal share of the requests
/// that all targets bear bounds what arrives without messages. The mean load of
/// all targets changes slowly enough to be known: below the load at which
/// targets become busy the window is wider, so that an instance with more
/// callers than others can use what they leave.
auto serviceWindow(const ServiceLoad &Load, std::uint32_t Instances) -> double;

} // namespace buckthornring
