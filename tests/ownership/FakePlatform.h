#pragma once

#include "buckthornring/Common/Random.h"
#include "buckthornring/Ownership/OwnershipAction.h"

#include <map>
#include <string>
#include <vector>

namespace buckthornring::test {

/// Versioned objects with one global revision, and their history for stale
/// reads.
class FakePlatform {
public:
  auto read(const std::string &Name, bool Stale, RandomSource &Random) const
      -> std::optional<ObjectValue> {
    const auto Place = Objects.find(Name);
    if (Place == Objects.end())
      return std::nullopt;
    const auto &History = Place->second;
    if (!Stale)
      return History.back();
    // One before the first version stands for "absent".
    const auto Index = Random.below(History.size() + 1);
    if (Index == History.size())
      return std::nullopt;
    return History[Index];
  }

  auto write(const WriteObject &Request) -> WriteAnswer {
    auto &History = Objects[Request.Name];
    const std::uint64_t Current = History.empty() ? 0 : History.back().Version;
    if (Request.IfVersion.value_or(0) != Current)
      return {WriteAnswer::Kind::Conflict, Current};
    History.push_back({Request.Value, ++Revision});
    if (History.size() > 8)
      History.erase(History.begin());
    return {WriteAnswer::Kind::Written, Revision};
  }

private:
  std::map<std::string, std::vector<ObjectValue>> Objects;
  std::uint64_t Revision = 0;
};

} // namespace buckthornring::test
