#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring {

enum class InstanceState { Live, Leaving };

inline constexpr EnumNames<InstanceState, 2> InstanceStateNames({"live",
                                                                 "leaving"});

struct InstanceEntry {
  InstanceId Id;
  std::string Address; ///< IP address and port of its link server.
  DataCentreId DataCentre;
  InstanceState State = InstanceState::Live;
};

/// The instances to contact, as known from the platform's list, which lags, and
/// from the peers themselves. It never decides ownership or leadership.
class Roster {
public:
  explicit Roster(InstanceId LocalInstance)
      : LocalInstance(std::move(LocalInstance)) {}

  /// Replaces the platform's list. An entry that is missing from the list is
  /// kept while its instance was heard within the last 10 s.
  auto applyList(const std::vector<InstanceEntry> &List, TimePoint Now) -> void;

  /// Records what a peer reports about itself on a link. This is newer than the
  /// list: a leaving peer stays leaving while the list still has it as live.
  auto recordPeer(const InstanceEntry &Peer, TimePoint Now) -> void;

  auto find(const InstanceId &Id) const -> std::optional<InstanceEntry>;

  /// Returns the live peers in \p DataCentre, ordered by name, without the
  /// local instance.
  auto livePeers(const DataCentreId &DataCentre) const
      -> std::vector<InstanceEntry>;

  auto size() const -> std::size_t { return Entries.size(); }

private:
  struct TrackedInstance {
    InstanceEntry Entry;
    bool Listed = false;
    std::optional<TimePoint> LastHeardAt;
  };

  InstanceId LocalInstance;
  std::map<InstanceId, TrackedInstance> Entries;
};

} // namespace buckthornring
