#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace buckthornring {

/// Text identifier with a distinct type for each kind of object.
template <class Tag>
class Id {
public:
  Id() = default;
  explicit Id(std::string Text) : Text(std::move(Text)) {}

  auto str() const -> const std::string & { return Text; }
  auto empty() const -> bool { return Text.empty(); }

  friend auto operator==(const Id &, const Id &) -> bool = default;
  // The linter's compiler (clang 14) reports the code that it generates for a
  // defaulted comparison.
  // NOLINTBEGIN(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const Id &, const Id &)
      -> std::strong_ordering = default;
  // NOLINTEND(modernize-use-nullptr,readability-identifier-naming)

private:
  std::string Text;
};

using InstanceId = Id<struct InstanceTag>;
using TargetId = Id<struct TargetTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using ServiceId = Id<struct ServiceTag>;
using DataCentreId = Id<struct DataCentreTag>;

} // namespace buckthornring

template <class Tag>
struct std::hash<buckthornring::Id<Tag>> {
  auto operator()(const buckthornring::Id<Tag> &Value) const -> std::size_t {
    return std::hash<std::string>()(Value.str());
  }
};
