#include "buckthornring/Config/ConfigFolder.h"

#include "buckthornring/Config/SettingsReader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

using OriginMap = SettingsDocument::OriginMap;

auto join(const std::string &Path, const std::string &Key) -> std::string {
  return Path.empty() ? Key : Path + "/" + Key;
}

/// Removes the origins of a replaced value and of everything below it.
auto eraseSubtree(OriginMap &Origins, const std::string &Path) -> void {
  Origins.erase(Path);
  const auto Prefix = Path + "/";
  auto Each = Origins.lower_bound(Prefix);
  while (Each != Origins.end() && Each->first.starts_with(Prefix))
    Each = Origins.erase(Each);
}

auto copySubtree(const OriginMap &From, const std::string &Path, OriginMap &To)
    -> void {
  if (const auto Found = From.find(Path); Found != From.end())
    To[Path] = Found->second;
  const auto Prefix = Path + "/";
  for (auto Each = From.lower_bound(Prefix);
       Each != From.end() && Each->first.starts_with(Prefix); ++Each)
    To[Each->first] = Each->second;
}

/// Merge in progress. The depth of the recursion is bounded by
/// SettingsReader::MaxDepth.
class Merge {
public:
  Merge(nlohmann::json &Value, OriginMap &Origins)
      : Root(Value), Origins(Origins) {}

  auto add(const SettingsDocument &Later) -> void {
    add(Root, Later.value(), "", Later.origins());
  }

private:
  auto add(nlohmann::json &Into, const nlohmann::json &From,
           const std::string &Path, const OriginMap &FromOrigins) -> void {
    for (const auto &[Key, Field] : From.items()) {
      const auto ChildPath = join(Path, Key);
      const auto Found = Into.find(Key);
      if (Found != Into.end() && Found->is_object() && Field.is_object()) {
        add(*Found, Field, ChildPath, FromOrigins);
        continue;
      }
      Into[Key] = Field;
      eraseSubtree(Origins, ChildPath);
      copySubtree(FromOrigins, ChildPath, Origins);
    }
  }

  nlohmann::json &Root;
  OriginMap &Origins;
};

} // namespace

auto ConfigFolder::merge(std::vector<SettingsFile> Files)
    -> Checked<SettingsDocument> {
  std::vector<SettingsError> Errors;
  if (Files.empty())
    Errors.push_back({{"configuration", 0}, "", "no files", "*.json files"});
  std::sort(Files.begin(), Files.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Name < Right.Name;
            });
  nlohmann::json Value = nlohmann::json::object();
  OriginMap Origins;
  Merge Merged(Value, Origins);
  const SettingsFile *Previous = nullptr;
  for (const auto &File : Files) {
    if (Previous != nullptr && Previous->Name == File.Name)
      Errors.push_back(
          {{File.Name, 0}, "", "a duplicate file name", "each name once"});
    Previous = &File;
    auto Read = SettingsReader::read(File.Text, File.Name);
    if (Read) {
      Origins.try_emplace("", SettingsOrigin{File.Name, 1});
      Merged.add(*Read.Value);
    }
    Errors.insert(Errors.end(), Read.Errors.begin(), Read.Errors.end());
  }
  if (!Errors.empty())
    return {std::nullopt, std::move(Errors)};
  return {SettingsDocument(std::move(Value), std::move(Origins)), {}};
}

} // namespace buckthornring
