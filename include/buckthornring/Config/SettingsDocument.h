#pragma once

#include "buckthornring/Config/SettingsError.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>

namespace buckthornring {

/// A JSON value together with the file and line of each of its keys.
class SettingsDocument {
public:
  /// Origins by key path: the names from the root, joined with "/". Items of
  /// an array are named by their index. The root's path is empty.
  using OriginMap = std::map<std::string, SettingsOrigin, std::less<>>;

  SettingsDocument(nlohmann::json Value, OriginMap Origins);

  auto value() const -> const nlohmann::json & { return *Value; }
  auto origins() const -> const OriginMap & { return Origins; }

  /// Returns the origin of the path, or that of its nearest known ancestor.
  auto origin(const std::string &Path) const -> SettingsOrigin;

  /// Returns the value as JSON text with sorted keys and no white space, so
  /// that equal values have equal texts.
  auto canonicalText() const -> std::string;

private:
  std::shared_ptr<const nlohmann::json> Value;
  OriginMap Origins;
};

} // namespace buckthornring
