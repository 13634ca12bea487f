#pragma once

#include "buckthornring/Common/Ids.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>

namespace buckthornring {

/// Requests of all traffic threads at one target.
struct TargetGate {
  std::atomic<std::uint32_t> InUse = 0;

  /// Takes a slot when fewer than \p Limit are in use.
  auto tryEnter(std::uint32_t Limit) -> bool {
    std::uint32_t Seen = InUse.load();
    while (Seen < Limit)
      if (InUse.compare_exchange_weak(Seen, Seen + 1))
        return true;
    return false;
  }
  auto leave() -> void { --InUse; }
};

/// Traffic threads with requests that wait for a slot of one service, a bit
/// for each thread.
struct ServiceGate {
  static constexpr std::size_t MaxThreads = 64;

  std::atomic<std::uint64_t> Waiting = 0;
};

/// Gates by name. They outlive snapshots, so that slots in use stay counted
/// over a change of configuration. Owned by the control thread.
class GateTable {
public:
  auto service(const ServiceId &Service) -> std::shared_ptr<ServiceGate> {
    return made(Services[Service]);
  }
  auto target(const ServiceId &Service, const TargetId &Target)
      -> std::shared_ptr<TargetGate> {
    return made(Targets[{Service, Target}]);
  }

private:
  template <class Gate>
  static auto made(std::shared_ptr<Gate> &Slot) -> std::shared_ptr<Gate> {
    if (!Slot)
      Slot = std::make_shared<Gate>();
    return Slot;
  }

  std::map<ServiceId, std::shared_ptr<ServiceGate>> Services;
  std::map<std::pair<ServiceId, TargetId>, std::shared_ptr<TargetGate>> Targets;
};

} // namespace buckthornring
