#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Ownership/HomeMap.h"
#include "buckthornring/Ownership/OwnershipAction.h"

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace buckthornring {

/// Decides which slices of one service are homed in this data centre.
///
/// Only the leader of a slice's recorded home gives the slice away, and only
/// after no target of the data centre holds it any more, so two data centres
/// never own one slice. A new leader first writes its own term into the object:
/// the conditional update proves that it read the current version, and makes a
/// late write of the old leader fail.
class HomeKeeper {
public:
  struct Times {
    /// Interval of reads while the homes are as wanted.
    Duration ReadEvery = std::chrono::seconds(2);
    /// Interval of calls while slices have to move.
    Duration MoveEvery = std::chrono::milliseconds(200);
  };

  HomeKeeper(ServiceId Service, DataCentreId Self, Times Intervals);

  /// Takes the homes that the accepted configuration asks for.
  auto setWanted(HomeMap Map) -> void;

  /// Data centres of which the operator confirms that nothing runs there any
  /// more. Their slices are taken without release.
  auto setLost(std::set<DataCentreId> Confirmed) -> void {
    Lost = std::move(Confirmed);
    NextCall = TimePoint();
  }

  /// Reads or writes the object when due. \p Term is the term that this
  /// instance leads, or nothing. \p ReleasedAway tells that no target of this
  /// data centre holds a slice outside homes().
  auto tick(std::optional<std::uint64_t> Term, bool ReleasedAway, TimePoint Now,
            OwnershipActions &Actions) -> void;

  auto objectRead(const ReadAnswer &Answer) -> void;
  auto objectWritten(const WriteAnswer &Answer) -> void;

  /// True when this leader's term is recorded and no write has an unknown
  /// outcome. Only then may slices be granted by homes().
  auto confirmed() const -> bool { return Confirmed; }

  /// Slices that this data centre may own: recorded here, wanted here, and not
  /// given away by a write in progress. Meaningful while confirmed().
  auto homes() const -> std::vector<bool>;

private:
  auto leaving(std::uint32_t Slice) const -> bool;
  auto abandoned(std::uint32_t Slice) const -> bool;
  auto wantsWrite(bool ReleasedAway) const -> bool;
  auto write(bool ReleasedAway, OwnershipActions &Actions) -> void;

  ServiceId Service;
  DataCentreId Self;
  Times Intervals;
  HomeMap Wanted;
  std::set<DataCentreId> Lost;
  std::optional<HomeMap> Recorded;
  std::optional<std::uint64_t> Version; ///< Empty: the object is absent.
  bool Read = false; ///< Recorded and Version were read in this term.
  std::optional<std::uint64_t> LeadingTerm;
  bool Confirmed = false;
  std::optional<HomeMap> Writing;
  bool ReadPending = false;
  TimePoint NextCall;
};

} // namespace buckthornring
