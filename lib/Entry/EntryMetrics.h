#pragma once

#include "Entry/TrafficThread.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace buckthornring {

/// Returns the counters of all threads together as Prometheus text.
auto entryMetrics(const std::vector<std::unique_ptr<TrafficThread>> &Threads,
                  const Counters &Totals, std::uint64_t RejectedCallers)
    -> std::string;

} // namespace buckthornring
