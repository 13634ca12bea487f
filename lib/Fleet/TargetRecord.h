#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <string>

namespace buckthornring {

/// What a target says of itself in the directory.
struct TargetRecord {
  TargetId Id;
  ServiceId Service;
  std::string Address; ///< IP address and port.
  DataCentreId DataCentre;
  std::string Version; ///< Version of the target's software.
  std::uint32_t Slots = 1;
  bool Draining = false;
  Duration RemainingColdTime{
      0}; ///< Remaining cold time when the record was written.
  /// Start of this life of the target, Unix time in ms. An id with another
  /// start names another life.
  std::int64_t StartedAtMs = 0;
  /// Counts the records of one life. A late write may leave an older one.
  std::uint64_t Sequence = 0;
};

/// A target's load as told in an answer or a health check.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 1;
  double Slowness = 1; ///< Duration of work at this moment; 1 is usual.
};

} // namespace buckthornring
