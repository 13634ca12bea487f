#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace buckthornring {

/// Returns the value as one short line for an error message. Objects and
/// arrays are named, not printed.
auto shortText(const nlohmann::json &Value) -> std::string;

/// Returns the text with control and non-ASCII bytes replaced by "?" and cut
/// at 60 characters.
auto printable(std::string_view Text) -> std::string;

} // namespace buckthornring
