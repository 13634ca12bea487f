#include "buckthornring/Config/ConfigDiff.h"

#include <nlohmann/json.hpp>

#include <set>

namespace buckthornring {

namespace {

using nlohmann::json;

auto text(const json *Value) -> std::optional<std::string> {
  return Value == nullptr ? std::nullopt : std::optional(Value->dump());
}

auto member(const json &Object, const std::string &Key) -> const json * {
  const auto Found = Object.find(Key);
  return Found == Object.end() ? nullptr : &*Found;
}

/// The depth of the recursion is bounded by SettingsReader::MaxDepth.
auto compare(const json &Before, const json &After, const std::string &Path,
             std::vector<ConfigDifference> &Out) -> void {
  std::set<std::string> Keys;
  for (const auto &Each : Before.items())
    Keys.insert(Each.key());
  for (const auto &Each : After.items())
    Keys.insert(Each.key());
  for (const auto &Key : Keys) {
    std::string Full = Path;
    Full.append(Path.empty() ? "" : "/").append(Key);
    const auto *Old = member(Before, Key);
    const auto *New = member(After, Key);
    if (Old != nullptr && New != nullptr && *Old == *New)
      continue;
    if (Old != nullptr && New != nullptr && Old->is_object() &&
        New->is_object())
      compare(*Old, *New, Full, Out);
    else
      Out.push_back({std::move(Full), text(Old), text(New)});
  }
}

} // namespace

auto configDiff(const SettingsDocument &Before, const SettingsDocument &After)
    -> std::vector<ConfigDifference> {
  std::vector<ConfigDifference> Out;
  compare(Before.value(), After.value(), "", Out);
  return Out;
}

} // namespace buckthornring
