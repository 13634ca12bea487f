#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace buckthornring::standin {

/// Instance list in which each change becomes visible only after a lag.
class InstanceList {
public:
  using Time = std::chrono::steady_clock::time_point;

  /// Records an entry, or its removal when \p Entry is null.
  auto set(const std::string &Id, nlohmann::json Entry, Time Now) -> void;
  auto list(Time Now, std::chrono::milliseconds Lag) const -> nlohmann::json;

private:
  std::map<std::string, std::vector<std::pair<Time, nlohmann::json>>> Entries;
};

} // namespace buckthornring::standin
