#pragma once

#include "buckthornring/Config/Configuration.h"
#include "buckthornring/Config/SettingsDocument.h"

#include <cstdint>

namespace buckthornring {

/// Turns merged settings into a checked Configuration.
class ConfigChecker {
public:
  /// Checks the document as a whole and reports all errors at once: types,
  /// ranges, unknown keys, references to undefined names, and values that
  /// must differ (digests, target addresses, path prefixes).
  ///
  /// \p Generation becomes the generation of the configuration.
  static auto check(const SettingsDocument &Document, std::uint64_t Generation)
      -> Checked<Configuration>;
};

} // namespace buckthornring
