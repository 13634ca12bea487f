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

/// The instances worth contacting, from the platform's lagging list and from
/// peers themselves. It decides whom to contact, never who owns or leads.
class Roster {
public:
  explicit Roster(InstanceId Own) : Own(std::move(Own)) {}

  /// Replaces the platform's list. An entry that the list lacks stays while
  /// its instance was heard within the last 10 s.
  auto applyList(const std::vector<InstanceEntry> &List, TimePoint Now) -> void;

  /// A peer was heard on a link. What it says about itself is newer than the
  /// list: a leaving peer stays leaving when the list still has it as live.
  auto heard(const InstanceEntry &Peer, TimePoint Now) -> void;

  auto find(const InstanceId &Id) const -> std::optional<InstanceEntry>;

  /// Returns the live peers of \p DataCentre in the order of their names,
  /// without the own instance.
  auto livePeers(const DataCentreId &DataCentre) const
      -> std::vector<InstanceEntry>;

  auto size() const -> std::size_t { return Entries.size(); }

private:
  struct Known {
    InstanceEntry Entry;
    bool Listed = false;
    std::optional<TimePoint> Heard;
  };

  InstanceId Own;
  std::map<InstanceId, Known> Entries;
};

} // namespace buckthornring
