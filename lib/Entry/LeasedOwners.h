#pragma once

#include "Entry/OwnershipDriver.h"
#include "Entry/SliceOwnerSource.h"

namespace buckthornring {

/// Owners as recorded by the data centre's leader. A slice that is moving, or
/// that is homed elsewhere, has no owner here.
class LeasedOwners final : public SliceOwnerSource {
public:
  explicit LeasedOwners(const OwnershipDriver &Driver) : Driver(Driver) {}

  auto owners(const ServiceView &Service) const
      -> std::vector<SliceOwner> override;

private:
  const OwnershipDriver &Driver;
};

} // namespace buckthornring
