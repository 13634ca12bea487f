#pragma once

#include "buckthornring/Common/Result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornring {

/// Deepest nesting of a value that is read from outside. Values are copied,
/// compared and written recursively, so the stack has to hold any of them.
inline constexpr std::size_t MaxJsonDepth = 64;

/// Parses a JSON text. Fails if it is malformed, has a number that is out of
/// range or is nested deeper than MaxJsonDepth.
auto parseJson(std::string_view Text) -> Result<nlohmann::json>;

/// The same for CBOR, whose decoder is recursive too. Fails also on text that
/// is not UTF-8, which the decoder does not check.
auto parseCbor(std::string_view Bytes) -> Result<nlohmann::json>;

/// Message of an exception of the JSON library, cut off: those of the parser
/// quote the last token, which may be as long as the text.
auto jsonError(const nlohmann::json::exception &Failure) -> Error;

/// Writes a value as a JSON text. Bytes that are not UTF-8 are replaced, where
/// Json::dump would throw.
auto writeJson(const nlohmann::json &Value) -> std::string;

/// Whether \p Bytes is a well-formed UTF-8 text.
auto isUtf8(std::string_view Bytes) -> bool;

/// Returns an integer of a JSON or CBOR value. Throws Json::exception if the
/// value is none or out of the type's range, where Json::get would convert it
/// to another number.
template <class Integer>
auto integer(const nlohmann::json &Value) -> Integer {
  const bool InRange =
      Value.is_number_unsigned()
          ? std::in_range<Integer>(Value.get<std::uint64_t>())
          : Value.is_number_integer() &&
                std::in_range<Integer>(Value.get<std::int64_t>());
  if (!InRange)
    throw nlohmann::json::other_error::create(501, "no integer in range",
                                              &Value);
  return Value.get<Integer>();
}

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
