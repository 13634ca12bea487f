#include "Entry/SliceOwnerSource.h"

#include <xxhash.h>

namespace buckthornring {

auto RendezvousOwners::owners(const ServiceView &Service) const
    -> std::vector<SliceOwner> {
  std::vector<SliceOwner> Owners(Service.Config->Slices);
  for (std::uint32_t Slice = 0; Slice < Owners.size(); ++Slice) {
    std::uint64_t Highest = 0;
    for (std::uint32_t Index = 0; Index < Service.Targets.size(); ++Index) {
      const TargetView &Target = Service.Targets[Index];
      if (!Target.Available || !Target.Local)
        continue;
      const std::string &Name = Target.Id.str();
      const std::uint64_t Score = XXH64(Name.data(), Name.size(), Slice + 1);
      if (Owners[Slice].Target != SliceOwner::None && Score <= Highest)
        continue;
      Highest = Score;
      Owners[Slice] = {Index, Epoch{1, 1}};
    }
  }
  return Owners;
}

} // namespace buckthornring
