#pragma once

#include "buckthornring/Config/Configuration.h"

#include <unordered_map>
#include <vector>

namespace buckthornring {

/// Distributes the requests of routes with a traffic split by smooth weighted
/// round robin, so that each service gets its share within few requests.
class SplitBalancer {
public:
  /// Returns the service for the next request of the route. The route must stay
  /// at its address until reset().
  auto next(const RouteConfig &Route) -> ServiceId {
    if (Route.Split.empty())
      return Route.Service;
    auto &CurrentWeights = WeightsByRoute[&Route];
    CurrentWeights.resize(Route.Split.size(), 0);
    std::int64_t Total = 0;
    std::size_t Selected = 0;
    for (std::size_t Index = 0; Index < Route.Split.size(); ++Index) {
      CurrentWeights[Index] += Route.Split[Index].Weight;
      Total += Route.Split[Index].Weight;
      if (CurrentWeights[Index] > CurrentWeights[Selected])
        Selected = Index;
    }
    CurrentWeights[Selected] -= Total;
    return Route.Split[Selected].Service;
  }

  /// Discards the state of all routes. To be called when their splits may have
  /// changed.
  auto reset() -> void { WeightsByRoute.clear(); }

private:
  std::unordered_map<const RouteConfig *, std::vector<std::int64_t>>
      WeightsByRoute;
};

} // namespace buckthornring
