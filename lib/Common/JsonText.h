#pragma once

#include "buckthornring/Common/Result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace buckthornring {

/// Deepest nesting of a value that is read from outside. Values are copied,
/// compared and written recursively, so the stack has to hold any of them.
inline constexpr std::size_t MaxJsonDepth = 64;

/// Parses a JSON text. Fails if it is malformed, has a number that is out of
/// range or is nested deeper than MaxJsonDepth.
auto parseJson(std::string_view Text) -> Result<nlohmann::json>;

/// The same for CBOR, whose decoder is recursive too.
auto parseCbor(std::string_view Bytes) -> Result<nlohmann::json>;

/// One member of a JSON object. The value is not parsed yet.
struct JsonMember {
  std::string_view Name; ///< As written, with its escapes.
  std::string_view Value;
};

/// Members of an object, which are parsed one by one so that one that cannot be
/// read does not hide the others. Returns nullopt if \p Text is no object.
auto splitObject(std::string_view Text)
    -> std::optional<std::vector<JsonMember>>;

/// The same for the elements of an array.
auto splitArray(std::string_view Text)
    -> std::optional<std::vector<std::string_view>>;

} // namespace buckthornring
