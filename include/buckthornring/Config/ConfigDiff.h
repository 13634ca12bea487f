#pragma once

#include "buckthornring/Config/SettingsDocument.h"

#include <optional>
#include <string>
#include <vector>

namespace buckthornring {

/// One key that differs between two documents, with both values as JSON text.
struct ConfigDifference {
  std::string Key;
  std::optional<std::string> Before; ///< Nothing: the key was added.
  std::optional<std::string> After;  ///< Nothing: the key was removed.
};

/// Returns the differing keys in the order of their paths. Objects that both
/// documents have are compared key by key, other values as a whole.
auto configDiff(const SettingsDocument &Before, const SettingsDocument &After)
    -> std::vector<ConfigDifference>;

} // namespace buckthornring
