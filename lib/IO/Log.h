#pragma once

#include <string>
#include <string_view>

namespace buckthornring {

/// Log of one component. Each line on standard error holds the time, the level
/// and the component's fixed prefix. Safe to use from several threads.
class Log {
public:
  /// \p Component is the prefix, for example "traffic".
  explicit Log(std::string_view Component);

  auto info(std::string_view Text) const -> void;
  auto warning(std::string_view Text) const -> void;
  auto error(std::string_view Text) const -> void;

private:
  std::string Prefix;
};

} // namespace buckthornring
