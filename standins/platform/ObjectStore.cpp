#include "ObjectStore.h"

namespace buckthornring::standin {

auto ObjectStore::find(const std::string &Name) const -> const Object * {
  const auto Found = Objects.find(Name);
  return Found == Objects.end() || !Found->second.Value ? nullptr
                                                        : &Found->second;
}

auto ObjectStore::write(const std::string &Name, std::uint64_t Expected,
                        std::optional<std::string> Value) -> Written {
  const auto *Current = find(Name);
  const auto Version = Current == nullptr ? 0 : Current->Version;
  if (Version != Expected)
    return {false, Version};
  Objects[Name] = {++Revision, std::move(Value)};
  return {true, Revision};
}

auto ObjectStore::changes(const std::string &Prefix, std::uint64_t After) const
    -> std::vector<std::pair<std::string, const Object *>> {
  std::vector<std::pair<std::string, const Object *>> Found;
  for (auto At = Objects.lower_bound(Prefix);
       At != Objects.end() && At->first.starts_with(Prefix); ++At)
    if (At->second.Version > After && (After > 0 || At->second.Value))
      Found.emplace_back(At->first, &At->second);
  return Found;
}

} // namespace buckthornring::standin
