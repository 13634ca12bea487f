#pragma once

#include "buckthornring/Limits/ShareMessages.h"

#include <string>

namespace buckthornring {

/// Carries share requests of the traffic threads to the giver of a quantity.
/// Called by all traffic threads; grants come back through
/// TrafficThread::applyGrant().
class ShareChannel {
public:
  virtual ~ShareChannel() = default;

  /// \p Quantity names the fleet-wide quantity, "rate/WORKSPACE".
  virtual auto send(const std::string &Quantity, const ShareRequest &Request)
      -> void = 0;
};

} // namespace buckthornring
