#pragma once

#include "Entry/RoutingSnapshot.h"
#include "buckthornring/Common/Time.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace buckthornring {

/// The newest routing snapshot of a process. The control thread publishes, the
/// traffic threads compare with it right before they send to an owned slice.
///
/// Sequentially consistent; see InFlightTable.
class Publication {
public:
  auto publish(std::shared_ptr<const RoutingSnapshot> Next) -> void {
    const std::uint64_t Version = Next->Version;
    {
      const std::lock_guard Guard(Lock);
      Newest = std::move(Next);
    }
    Number.store(Version);
  }

  auto version() const -> std::uint64_t { return Number.load(); }

  auto latest() const -> std::shared_ptr<const RoutingSnapshot> {
    const std::lock_guard Guard(Lock);
    return Newest;
  }

  /// End of the instance's routing lease. Kept outside the snapshot, since it
  /// moves with every heartbeat.
  auto setLeaseEnd(TimePoint End) -> void {
    LeaseEnd.store(End.time_since_epoch().count());
  }
  auto leaseEnd() const -> TimePoint {
    return TimePoint(Duration(LeaseEnd.load()));
  }

private:
  mutable std::mutex Lock;
  std::shared_ptr<const RoutingSnapshot> Newest;
  std::atomic<std::uint64_t> Number = 0;
  std::atomic<Duration::rep> LeaseEnd = 0;
};

} // namespace buckthornring
