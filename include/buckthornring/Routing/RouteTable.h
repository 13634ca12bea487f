#pragma once

#include "buckthornring/Config/Configuration.h"

#include <string_view>
#include <vector>

namespace buckthornring {

/// Routes of one configuration, matched by the longest path prefix.
class RouteTable {
public:
  /// Keeps pointers into \p Config, which must outlive the table.
  explicit RouteTable(const Configuration &Config);

  /// Returns the route whose prefix is the longest that \p Path starts with at
  /// a segment boundary ("/a" matches "/a" and "/a/b", not "/ab"), or null.
  auto match(std::string_view Path) const -> const RouteConfig *;

private:
  std::vector<const RouteConfig *> LongestFirst;
};

} // namespace buckthornring
