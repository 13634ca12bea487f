#pragma once

#include "buckthornring/Common/Result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>

namespace buckthornring {

/// The parts of a JSON value that its readers use.
struct JsonParts {
  static constexpr std::size_t NoLimit =
      std::numeric_limits<std::size_t>::max();

  /// Names of the members that are kept, in objects at any depth.
  std::set<std::string, std::less<>> Members = {};
  /// Containers within one another; a deeper one reads as null. 0: nothing is
  /// kept.
  std::size_t Depth = 0;
  /// Most values that are kept, containers included. A text with more is an
  /// error.
  std::size_t Values = NoLimit;
  /// A longer string is cut off.
  std::size_t StringBytes = NoLimit;
};

/// Parses a JSON text like parseJson() and keeps only \p Kept. The rest is
/// skipped while the text is parsed: a parsed value may take thirty times the
/// memory of its text.
auto parseJsonParts(std::string_view Text, const JsonParts &Kept)
    -> Result<nlohmann::json>;

} // namespace buckthornring
