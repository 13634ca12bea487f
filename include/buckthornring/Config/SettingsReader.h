#pragma once

#include "buckthornring/Config/SettingsDocument.h"

#include <string>
#include <string_view>

namespace buckthornring {

/// Reads JSON with comments ("//" and "/* */") and keeps the line of each key.
class SettingsReader {
public:
  /// Nesting limit. Bounds the stack of recursive writers of JSON.
  static constexpr std::size_t MaxDepth = 32;

  /// Reads one text whose root is an object. \p File names it in errors.
  ///
  /// Errors: a syntax error (reading ends there), duplicate keys, nesting
  /// deeper than MaxDepth, a root that is not an object.
  static auto read(std::string_view Text, const std::string &File)
      -> Checked<SettingsDocument>;
};

} // namespace buckthornring
