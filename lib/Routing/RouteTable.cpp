#include "buckthornring/Routing/RouteTable.h"

#include <algorithm>

namespace buckthornring {

namespace {

auto covers(std::string_view Prefix, std::string_view Path) -> bool {
  if (!Path.starts_with(Prefix))
    return false;
  return Path.size() == Prefix.size() || Prefix.ends_with('/') ||
         Path[Prefix.size()] == '/';
}

} // namespace

RouteTable::RouteTable(const Configuration &Config) {
  for (const auto &[Name, Route] : Config.Routes)
    LongestFirst.push_back(&Route);
  std::stable_sort(LongestFirst.begin(), LongestFirst.end(),
                   [](const RouteConfig *First, const RouteConfig *Second) {
                     return First->PathPrefix.size() >
                            Second->PathPrefix.size();
                   });
}

auto RouteTable::match(std::string_view Path) const -> const RouteConfig * {
  for (const RouteConfig *Route : LongestFirst)
    if (covers(Route->PathPrefix, Path))
      return Route;
  return nullptr;
}

} // namespace buckthornring
