#pragma once

#include "Ownership/RoutingTable.h"
#include "buckthornring/Ownership/LeaderCore.h"
#include "buckthornring/Ownership/TermKeeper.h"

#include <cstdint>

namespace buckthornring {

/// What the services of one LeaderCore share.
struct OwnershipContext {
  LeaderCore::Identity Identity;
  OwnershipTimes Times;
  SafetySwitches Switches;
  TermKeeper Term;
  RoutingTable Routing;
  /// Numbers epochs and lease messages of the current term.
  std::uint64_t Sequence = 0;

  auto stretched(Duration Span) const -> Duration {
    const double Factor = Switches.DriftBound ? 1 + Times.Drift : 1;
    return Duration(static_cast<Duration::rep>(
               static_cast<double>(Span.count()) * Factor)) +
           Duration(1);
  }
};

} // namespace buckthornring
