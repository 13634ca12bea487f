#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Config/SettingsDocument.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornring {

/// Whether a key has to be present.
enum class Presence {
  Required,
  Optional,
  Nullable, ///< It may also be null, which counts as absent.
};

/// Reads the keys of one settings object into variables, and reports each key
/// that is missing, unknown, of the wrong type or out of range.
///
/// A variable keeps its value when its key is absent or invalid.
class FieldReader {
public:
  using EntryReader = std::function<void(const std::string &, FieldReader &)>;

  /// Reads the root object. \p Errors receives the errors and must outlive this
  /// object.
  FieldReader(const SettingsDocument &Document,
              std::vector<SettingsError> &Errors);

  /// Whole number in [Min, Max].
  auto integer(const std::string &Key, std::uint32_t &Out, std::uint32_t Min,
               std::uint32_t Max, Presence Needed = Presence::Optional) -> void;

  /// Number in [Min, Max], whole or not.
  auto number(const std::string &Key, double &Out, double Min, double Max,
              Presence Needed = Presence::Optional) -> void;

  /// Whole number of milliseconds in [Min, Max].
  auto duration(const std::string &Key, Duration &Out, Duration Min,
                Duration Max) -> void;

  auto boolean(const std::string &Key, bool &Out) -> void;
  auto boolean(const std::string &Key, std::optional<bool> &Out) -> void;

  /// Text of 1 to 1,000 characters.
  auto text(const std::string &Key, std::string &Out,
            Presence Needed = Presence::Optional) -> void;

  /// Name made of 1 to 64 letters, digits, ".", "_" and "-", starting with a
  /// letter or a digit: it appears in headers and in object names.
  auto identifier(const std::string &Key, std::string &Out,
                  Presence Needed = Presence::Required) -> void;

  /// IP address and port, "127.0.0.1:80" or "[::1]:80". Port 0 (chosen by the
  /// kernel) is accepted only when \p MinPort is 0.
  auto address(const std::string &Key, std::string &Out, std::uint32_t MinPort,
               Presence Needed = Presence::Required) -> void;

  /// One of the names of an enum.
  template <class Enum, std::size_t Count>
  auto choice(const std::string &Key, const EnumNames<Enum, Count> &Names,
              Enum &Out, Presence Needed = Presence::Optional) -> void {
    std::vector<std::string_view> Texts;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Texts.push_back(Names.name(static_cast<Enum>(Index)));
    if (const auto Index = choiceIndex(Key, Texts, Needed))
      Out = static_cast<Enum>(*Index);
  }

  /// Reads the nested object of the key, when present.
  auto object(const std::string &Key,
              const std::function<void(FieldReader &)> &Read,
              Presence Needed = Presence::Optional) -> void;

  /// Reads an object whose keys are identifiers chosen by the operator.
  auto entries(const std::string &Key, const EntryReader &Read,
               Presence Needed = Presence::Optional) -> void;

  auto has(const std::string &Key) const -> bool;

  /// Reports an error of the key, with the value found there.
  auto report(const std::string &Key, std::string Allowed) -> void;
  /// Reports an error of the key with a description of what was found.
  auto report(const std::string &Key, std::string Found, std::string Allowed)
      -> void;

  /// Path of a key of this object.
  auto path(const std::string &Key) const -> std::string;

  /// Reports the keys that were not read.
  auto finish() -> void;

private:
  FieldReader(const FieldReader &Parent, const nlohmann::json &Value,
              std::string Path);

  /// Returns the value of the key, or null when it is absent.
  auto lookUp(const std::string &Key, Presence Needed)
      -> const nlohmann::json *;
  auto choiceIndex(const std::string &Key,
                   const std::vector<std::string_view> &Names, Presence Needed)
      -> std::optional<std::size_t>;

  const SettingsDocument &Document;
  std::vector<SettingsError> &Errors;
  const nlohmann::json &Value;
  std::string Path;
  std::set<std::string> ReadKeys;
};

} // namespace buckthornring
