#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace buckthornring {

/// Names of an enum class whose values are consecutive and start at zero.
template <class Enum, std::size_t Count>
class EnumNames {
public:
  constexpr explicit EnumNames(std::array<std::string_view, Count> Names)
      : Names(Names) {}

  static constexpr auto size() -> std::size_t { return Count; }

  constexpr auto name(Enum Value) const -> std::string_view {
    return Names.at(static_cast<std::size_t>(Value));
  }

  /// Returns the value with the given name, or nothing when there is none.
  constexpr auto parse(std::string_view Name) const -> std::optional<Enum> {
    for (std::size_t Index = 0; Index < Count; ++Index)
      if (Names[Index] == Name)
        return static_cast<Enum>(Index);
    return std::nullopt;
  }

private:
  std::array<std::string_view, Count> Names;
};

} // namespace buckthornring
