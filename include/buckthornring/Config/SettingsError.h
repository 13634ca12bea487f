#pragma once

#include "buckthornring/Common/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace buckthornring {

/// Where a settings key was read.
struct SettingsOrigin {
  std::string File;
  std::uint32_t Line = 0; ///< Counted from one; zero when not known.
};

/// One mistake in a settings file.
struct SettingsError {
  SettingsOrigin Origin;
  std::string Key;     ///< Path of the key, "services/stock/slices".
  std::string Found;   ///< What the file holds.
  std::string Allowed; ///< What would be accepted.

  /// Returns "FILE:LINE: KEY: found FOUND, allowed: ALLOWED". The line and the
  /// key are left out when they are not known.
  auto text() const -> std::string;
};

/// Returns the errors one a line, without a final line break.
auto settingsErrorText(const std::vector<SettingsError> &Errors) -> std::string;

/// A checked value, or every reason why there is none.
template <class T>
struct [[nodiscard]] Checked {
  std::optional<T> Value;            ///< Set only when Errors is empty.
  std::vector<SettingsError> Errors; ///< In the order of the check.

  explicit operator bool() const { return Value.has_value(); }

  /// Returns the value, or one error that lists all errors one a line.
  auto result() && -> Result<T> {
    if (Value)
      return std::move(*Value);
    return Error(settingsErrorText(Errors));
  }
};

} // namespace buckthornring
