#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <string>

namespace buckthornring {

/// Record of a target in the directory, written by the target itself.
struct TargetRecord {
  TargetId Id;
  ServiceId Service;
  std::string Address; ///< IP address and port.
  DataCentreId DataCentre;
  std::string Version; ///< Version of the target's software.
  std::uint32_t Slots = 1;
  bool Draining = false;
  /// Remaining cold time when the record was written.
  Duration RemainingColdTime{0};
  /// Start of this incarnation of the target, as Unix time in ms. A record of
  /// the same id with another start time belongs to another incarnation.
  std::int64_t StartedAtMs = 0;
  /// Counts the records of one incarnation: a delayed write may leave an older
  /// record in the directory.
  std::uint64_t Sequence = 0;
};

/// Load of a target, as reported in a response or a health check.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 1;
  double Slowness = 1; ///< Current processing time relative to usual.
};

} // namespace buckthornring
