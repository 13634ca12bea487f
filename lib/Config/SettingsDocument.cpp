#include "buckthornring/Config/SettingsDocument.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace buckthornring {

SettingsDocument::SettingsDocument(nlohmann::json Value, OriginMap Origins)
    : Value(std::make_shared<const nlohmann::json>(std::move(Value))),
      Origins(std::move(Origins)) {}

auto SettingsDocument::origin(const std::string &Path) const -> SettingsOrigin {
  std::string Current = Path;
  while (true) {
    const auto Found = Origins.find(Current);
    if (Found != Origins.end())
      return Found->second;
    if (Current.empty())
      return {};
    const auto Slash = Current.rfind('/');
    Current.resize(Slash == std::string::npos ? 0 : Slash);
  }
}

auto SettingsDocument::canonicalText() const -> std::string {
  return Value->dump();
}

} // namespace buckthornring
