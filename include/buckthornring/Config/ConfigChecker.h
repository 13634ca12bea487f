#pragma once

#include "buckthornring/Config/Configuration.h"
#include "buckthornring/Config/SettingsDocument.h"

#include <cstdint>

namespace buckthornring {

/// Validates merged settings and converts them to a Configuration.
class ConfigChecker {
public:
  /// Checks the document as a whole and reports all errors at once: types,
  /// ranges, unknown keys, references to undefined names, and duplicates
  /// of values that must be unique (digests, target addresses, path prefixes).
  ///
  /// \p Generation becomes the generation of the configuration.
  static auto check(const SettingsDocument &Document, std::uint64_t Generation)
      -> Checked<Configuration>;
};

} // namespace buckthornring
