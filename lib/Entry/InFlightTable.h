#pragma once

#include "buckthornring/Common/Ids.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace buckthornring {

/// Requests in flight per slice, counted by the traffic threads and read by
/// the control thread.
///
/// A traffic thread counts a request first and then checks that the snapshot
/// it planned with is still the published one; the control thread publishes a
/// revocation first and then reads the counts. Both use sequentially
/// consistent operations, so either the thread sees the revocation or the
/// control thread sees the request.
class InFlightTable {
public:
  explicit InFlightTable(std::uint32_t Slices) : Counts(Slices) {}

  auto begin(std::uint32_t Slice) -> void { ++Counts[Slice]; }
  auto end(std::uint32_t Slice) -> void { --Counts[Slice]; }

  /// Returns the slices with requests in flight and their counts.
  auto counts() const -> std::map<std::uint32_t, std::uint32_t> {
    std::map<std::uint32_t, std::uint32_t> Busy;
    for (std::uint32_t Slice = 0; Slice < Counts.size(); ++Slice)
      if (const std::uint32_t Count = Counts[Slice]; Count != 0)
        Busy[Slice] = Count;
    return Busy;
  }

private:
  std::vector<std::atomic<std::uint32_t>> Counts;
};

/// One table per divided service; kept over configuration changes, so that a
/// request that began before a change is still counted after it.
using InFlightTables = std::map<ServiceId, std::shared_ptr<InFlightTable>>;

} // namespace buckthornring
