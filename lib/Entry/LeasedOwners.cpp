#include "Entry/LeasedOwners.h"

#include <unordered_map>

namespace buckthornring {

auto LeasedOwners::owners(const ServiceView &Service) const
    -> std::vector<SliceOwner> {
  std::vector<SliceOwner> Owners(Service.Config->Slices);
  const SliceMap *Map = Driver.routing().map(Service.Id);
  if (Map == nullptr || Map->slices() != Owners.size())
    return Owners;

  std::unordered_map<TargetId, std::uint32_t> Indexes;
  for (std::uint32_t Index = 0; Index < Service.Targets.size(); ++Index)
    Indexes[Service.Targets[Index].Id] = Index;
  for (std::uint32_t Slice = 0; Slice < Owners.size(); ++Slice) {
    const SliceAssignment &Assigned = Map->at(Slice);
    const auto Found = Indexes.find(Assigned.Owner);
    if (Assigned.Serving && Found != Indexes.end())
      Owners[Slice] = {Found->second, Assigned.At};
  }
  return Owners;
}

} // namespace buckthornring
