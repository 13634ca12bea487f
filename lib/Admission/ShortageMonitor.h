#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace buckthornring {

/// Decisions on sends to owners of keys since the start of the process.
struct AdmissionCounts {
  std::uint64_t Admitted = 0;
  std::uint64_t LongQueue = 0;     ///< Tries held by the queue of the owner.
  std::uint64_t NarrowWindow = 0;  ///< Tries held by the SendWindow.
  std::uint64_t RefusedAtOnce = 0; ///< Requests that did not wait.
  std::uint64_t NotResent = 0;     ///< Rejected requests not sent again.
};

/// Detects when a service becomes short of room, and when that ends.
class ShortageMonitor {
public:
  struct Change {
    ServiceId Service;
    bool Short = false;
    std::uint32_t Requests = 0; ///< In the period that led to the change.
    std::uint32_t Refused = 0;  ///< Of them, for lack of room.
  };

  auto requestSeen(const ServiceId &Service) -> void {
    ++States[Service].Requests;
  }
  /// A request was refused because its targets lacked room.
  auto refused(const ServiceId &Service) -> void { ++States[Service].Refused; }

  /// Returns the changes since the last call. Called several times a second.
  auto changes(TimePoint Now) -> std::vector<Change>;

  /// Returns the counts of the last complete period, and whether the service is
  /// short of room.
  auto latest(const ServiceId &Service) const -> Change;

private:
  struct State {
    std::uint32_t Requests = 0;
    std::uint32_t Refused = 0;
    bool Short = false;
    std::uint32_t LatestRequests = 0; ///< In the last complete period.
    std::uint32_t LatestRefused = 0;
  };

  std::map<ServiceId, State> States;
  TimePoint PeriodBegin = LongAgo;
};

} // namespace buckthornring
