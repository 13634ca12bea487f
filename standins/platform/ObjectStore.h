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
    std::optional<std::string> Value; ///< Empty when the object is deleted.
  };

  /// Result of a conditional write.
  struct WriteResult {
    bool Applied = false;
    std::uint64_t Version = 0; ///< New version if applied, else the current
                               ///< one; 0: absent.
  };

  /// Returns the object, or a null pointer when it is absent or deleted.
  auto find(const std::string &Name) const -> const Object *;
  /// Writes if the current version is \p Expected, where 0 means absent. An
  /// empty \p Value deletes the object.
  auto write(const std::string &Name, std::uint64_t Expected,
             std::optional<std::string> Value) -> WriteResult;
  /// Returns the objects whose names begin with \p Prefix and whose versions
  /// are above \p AfterRevision. Deleted objects are left out when it is 0.
  auto changes(const std::string &Prefix, std::uint64_t AfterRevision) const
      -> std::vector<std::pair<std::string, const Object *>>;
  auto revision() const -> std::uint64_t { return Revision; }

private:
  std::map<std::string, Object> Objects;
  std::uint64_t Revision = 0;
};

} // namespace buckthornring::standin
