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

/// Rendezvous hash over the available local targets, with one fixed epoch.
/// Every instance with the same view computes the same owners, but nothing
/// guards a change of view; it serves a single instance only.
class RendezvousOwners final : public SliceOwnerSource {
public:
  auto owners(const ServiceView &Service) const
      -> std::vector<SliceOwner> override;
};

} // namespace buckthornring
