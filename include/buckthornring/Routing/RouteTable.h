#pragma once

#include "buckthornring/Config/Configuration.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthornring {

/// Routes of one configuration, matched by the longest path prefix.
class RouteTable {
public:
  /// Returns the value of a header, or nothing when the request has none.
  using HeaderLookup =
      std::function<std::optional<std::string_view>(std::string_view Name)>;

  /// Keeps pointers into \p Config, which must outlive the table.
  explicit RouteTable(const Configuration &Config);

  /// Returns the route whose prefix is the longest that \p Path starts with at
  /// a segment boundary ("/a" matches "/a" and "/a/b", not "/ab"), or null.
  ///
  /// Routes of \p Host take precedence over routes of any host.
  auto match(std::string_view Path, std::string_view Host = {}) const
      -> const RouteConfig *;

  /// Returns the request's key on \p Route, or nothing when it is missing,
  /// empty or has a malformed percent escape (RFC 3986, 2.1).
  ///
  /// \p Target is the request target, with the query. Keys from the path and
  /// the query are decoded, so that differently encoded forms of a key have one
  /// owner.
  static auto extractKey(const RouteConfig &Route, std::string_view Target,
                         const HeaderLookup &Header)
      -> std::optional<std::string>;

private:
  using RouteList = std::vector<const RouteConfig *>;

  /// Routes by host, "" for any host; the longest prefix comes first.
  std::unordered_map<std::string, RouteList> ByHost;
};

} // namespace buckthornring
