#pragma once

#include "buckthornring/Config/Configuration.h"

#include <unordered_map>
#include <vector>

namespace buckthornring {

/// Distributes the requests of split routes by smooth weighted round robin, so
/// that each part's share is met over few requests.
class SplitBalancer {
public:
  /// Returns the service for the next request of the route, which must stay in
  /// place until reset().
  auto next(const RouteConfig &Route) -> ServiceId {
    if (Route.Split.empty())
      return Route.Service;
    auto &Credits = ByRoute[&Route];
    Credits.resize(Route.Split.size(), 0);
    std::int64_t Total = 0;
    std::size_t Best = 0;
    for (std::size_t Part = 0; Part < Route.Split.size(); ++Part) {
      Credits[Part] += Route.Split[Part].Weight;
      Total += Route.Split[Part].Weight;
      if (Credits[Part] > Credits[Best])
        Best = Part;
    }
    Credits[Best] -= Total;
    return Route.Split[Best].Service;
  }

  /// Forgets the state of all routes, as their parts may have changed.
  auto reset() -> void { ByRoute.clear(); }

private:
  std::unordered_map<const RouteConfig *, std::vector<std::int64_t>> ByRoute;
};

} // namespace buckthornring
