#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring::standin {

/// Versioned objects in memory. Versions come from one increasing revision.
class ObjectStore {
public:
  struct Object {
    std::uint64_t Version = 0;
    std::optional<std::string> Value; ///< Nothing when deleted.
  };

  /// Result of a conditional write.
  struct Written {
    bool Applied = false;
    std::uint64_t Version = 0; ///< New version, or the current one; 0: absent.
  };

  /// Returns the object, or nothing when it is absent or deleted.
  auto find(const std::string &Name) const -> const Object *;
  /// Writes when the current version is \p Expected; 0 stands for absent.
  auto write(const std::string &Name, std::uint64_t Expected,
             std::optional<std::string> Value) -> Written;
  /// Returns the objects under \p Prefix newer than \p After. Deleted objects
  /// are left out when \p After is 0.
  auto changes(const std::string &Prefix, std::uint64_t After) const
      -> std::vector<std::pair<std::string, const Object *>>;
  auto revision() const -> std::uint64_t { return Revision; }

private:
  std::map<std::string, Object> Objects;
  std::uint64_t Revision = 0;
};

} // namespace buckthornring::standin
