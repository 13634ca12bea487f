#pragma once

#include "Common/JsonParts.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornring {

/// What the router reads of the objects in the store. Any writer may leave
/// objects that hold more, or that cannot be used; nothing of that is kept.
class ObjectSchema {
public:
  /// Objects of one kind that have the same content.
  struct Entry {
    std::string Name = {}; ///< Of the object.
    bool IsPrefix = false; ///< All names that begin with Name.
    JsonParts Value = {};
    JsonParts Status = {};
    /// Whether the value can be used. Empty: what is kept of any value is
    /// small.
    std::function<bool(const nlohmann::json &)> Accepts = {};
  };

  /// Objects with longer names are not read. Services, targets and data centres
  /// have names of at most 255 bytes.
  static constexpr std::size_t MaxNameBytes = 512;

  /// Strings of small objects. A string that is cut off there is longer than
  /// any name.
  static constexpr std::size_t MaxStringBytes = 512;

  auto add(const std::string &Kind, Entry Added) -> void;

  /// Reads what is used of an object's value: null of objects that are not
  /// used. Objects of a kind without entries are kept whole.
  auto readValue(std::string_view Kind, std::string_view Name,
                 std::string_view Text) const -> Result<nlohmann::json>;
  /// The same for its status. One that cannot be read is null.
  auto readStatus(std::string_view Kind, std::string_view Name,
                  std::string_view Text) const -> nlohmann::json;

private:
  /// Returns null if objects with this name are not used.
  auto find(const std::vector<Entry> &Entries, std::string_view Name) const
      -> const Entry *;

  std::map<std::string, std::vector<Entry>, std::less<>> Kinds;
};

} // namespace buckthornring
