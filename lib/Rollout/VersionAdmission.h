#pragma once

#include "Rollout/Rollout.h"

#include <optional>
#include <set>
#include <string>

namespace buckthornring {

/// Versions that a service's requests may run on.
struct VersionRule {
  bool Deny = true; ///< Whether Versions are the denied or the only allowed.
  std::set<std::string> Versions;

  auto admits(const std::string &Version) const -> bool {
    return Versions.contains(Version) != Deny;
  }
  auto admitsAll() const -> bool { return Deny && Versions.empty(); }

  friend auto operator==(const VersionRule &, const VersionRule &)
      -> bool = default;
};

/// Slots of a service's targets that are not draining, by version.
using SlotsByVersion = std::map<std::string, std::uint32_t>;

/// Decides which versions the requests of one service may run on, before,
/// during and after an order.
///
/// Without an order each version is used, so that targets can be replaced one
/// after another. Only a version that appears beside the first one, while none
/// of the targets of the first one is missing, waits for an order.
class VersionAdmission {
public:
  /// The targets of the service that are not draining have changed, or some
  /// time has passed.
  auto observe(SlotsByVersion Ready, TimePoint Now) -> void;

  /// The order in the store; nothing: there is none that can be read.
  auto setOrder(const std::optional<RolloutOrder> &Current) -> void;

  /// The version in use before the order, as the leader has recorded it.
  auto setBase(const std::string &Version) -> void;
  auto base() const -> const std::string & { return Base; }

  /// Returns the versions that requests may run on. \p Stage is that of the
  /// order; the requests that `compare` sends to the new version are not
  /// included.
  auto rule(RolloutStage Stage) const -> VersionRule;

private:
  auto has(const std::string &Version) const -> bool {
    return Ready.contains(Version);
  }
  auto baseRule() const -> VersionRule;
  auto chooseBase() -> void;

  SlotsByVersion Ready;
  std::optional<RolloutOrder> Order;
  std::string Base;
  bool BaseOrdered = false; ///< Known from an order or its record.
  std::uint32_t MostBaseSlots = 0;
  std::optional<TimePoint> FirstSeenAt;
  std::set<std::string> Initial;  ///< Versions when the service was first seen.
  std::set<std::string> Rejected; ///< By a rollback, or an order taken back.
};

} // namespace buckthornring
