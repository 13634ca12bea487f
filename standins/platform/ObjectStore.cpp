#include "ObjectStore.h"

namespace buckthornring::standin {

auto ObjectStore::find(const std::string &Name) const -> const Object * {
  const auto Found = Objects.find(Name);
  return Found == Objects.end() || !Found->second.Value ? nullptr
                                                        : &Found->second;
}

auto ObjectStore::write(const std::string &Name, std::uint64_t Expected,
                        std::optional<std::string> Value) -> WriteResult {
  const auto *Current = find(Name);
  const auto Version = Current == nullptr ? 0 : Current->Version;
  if (Version != Expected)
    return {false, Version};
  Objects[Name] = {++Revision, std::move(Value)};
  return {true, Revision};
}

auto ObjectStore::changes(const std::string &Prefix,
                          std::uint64_t AfterRevision) const
    -> std::vector<std::pair<std::string, const Object *>> {
  std::vector<std::pair<std::string, const Object *>> Changed;
  for (auto Candidate = Objects.lower_bound(Prefix);
       Candidate != Objects.end() && Candidate->first.starts_with(Prefix);
       ++Candidate)
    if (Candidate->second.Version > AfterRevision &&
        (AfterRevision > 0 || Candidate->second.Value))
      Changed.emplace_back(Candidate->first, &Candidate->second);
  return Changed;
}

} // namespace buckthornring::standin
