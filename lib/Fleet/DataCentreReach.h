#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <cstddef>
#include <set>
#include <unordered_map>

namespace buckthornring {

/// Tells from the connections of this instance to targets which data centres it
/// cannot reach, as after a network partition or a loss of power.
///
/// An instance sends to each target of a large service only once in seconds, so
/// nearly every request for a lost data centre would meet a target that is not
/// known to be unreachable and would wait for its connection time-out.
class DataCentreReach {
public:
  /// Targets that have to fail in a row, without any other response from their
  /// data centre: single targets crash, also two at a time.
  static constexpr std::size_t MinFailedTargets = 3;
  /// Failures count together if they lie within this period.
  static constexpr Duration FailurePeriod = std::chrono::seconds(2);
  /// Time after the last failed connection until one request is sent as a probe
  /// again.
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(300);

  /// No connection to the target could be opened.
  auto failed(const DataCentreId &DataCentre, const TargetId &Target,
              TimePoint Now) -> void;
  /// A target of the data centre accepted a connection or responded.
  auto reached(const DataCentreId &DataCentre) -> void;

  /// Time of the next probe if the data centre is out of reach; LongAgo
  /// otherwise, and if the next request is to be the probe.
  auto unreachableUntil(const DataCentreId &DataCentre, TimePoint Now) const
      -> TimePoint;
  /// A request is sent to the data centre. While it is out of reach, no other
  /// one follows before the next interval.
  auto sent(const DataCentreId &DataCentre, TimePoint Now) -> void;

private:
  struct Failures {
    std::set<TargetId> Targets;
    TimePoint First = LongAgo;
    TimePoint NextProbe = LongAgo;

    auto outOfReach() const -> bool {
      return Targets.size() >= MinFailedTargets;
    }
  };

  std::unordered_map<DataCentreId, Failures> ByDataCentre;
};

} // namespace buckthornring
