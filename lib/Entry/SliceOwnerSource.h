#pragma once

#include "Entry/RoutingSnapshot.h"

#include <vector>

namespace buckthornring {

/// Decides which target owns each slice of a divided service.
class SliceOwnerSource {
public:
  virtual ~SliceOwnerSource() = default;

  /// Returns one entry per slice of \p Service.
  virtual auto owners(const ServiceView &Service) const
      -> std::vector<SliceOwner> = 0;
};

} // namespace buckthornring
