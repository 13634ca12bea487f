#include "Gateway/MachineLimits.h"

#include <algorithm>
#include <fstream>
#include <sys/resource.h>

namespace buckthornring {

namespace {

/// The system's limit on a resource; 0: none.
auto resourceLimit(int Resource) -> double {
  rlimit Limit{};
  const auto Kind = static_cast<__rlimit_resource_t>(Resource);
  if (::getrlimit(Kind, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return 0;
  return static_cast<double>(Limit.rlim_cur);
}

/// The limit of the process's control group; 0: none.
auto controlGroupLimit() -> double {
  std::ifstream File("/sys/fs/cgroup/memory.max");
  double Bytes = 0;
  return File >> Bytes ? Bytes : 0;
}

} // namespace

auto memoryLimit(const GatewaySettings &Settings) -> double {
  if (Settings.MemoryMb > 0)
    return Settings.MemoryMb * 1e6;
  const double Group = controlGroupLimit();
  const double Address = resourceLimit(RLIMIT_AS);
  if (Group <= 0 || Address <= 0)
    return std::max(Group, Address);
  return std::min(Group, Address);
}

auto descriptorLimit(const GatewaySettings &Settings) -> std::size_t {
  const double Set = Settings.MaxDescriptors;
  return static_cast<std::size_t>(Set > 0 ? Set : resourceLimit(RLIMIT_NOFILE));
}

} // namespace buckthornring
