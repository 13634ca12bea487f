#pragma once

#include "buckthornring/Config/SettingsDocument.h"

#include <string>
#include <string_view>

namespace buckthornring {

/// Reads JSON with comments ("//" and "/* */") and keeps the line of each key.
class SettingsReader {
public:
  /// Largest number of nested objects and arrays, the root included. Limits the
  /// recursion of code that walks the value, for example to write it as JSON.
  static constexpr std::size_t MaxDepth = 32;

  /// Reads one text whose root is an object. \p File is its name in
  /// errors and in the origins of the document.
  ///
  /// Errors: duplicate keys, which are collected; a syntax error, nesting
  /// deeper than MaxDepth or a root that is not an object, which end the
  /// reading. With any error there is no document.
  static auto read(std::string_view Text, const std::string &File)
      -> Checked<SettingsDocument>;
};

} // namespace buckthornring
