#pragma once

#include "Ownership/OwnershipContext.h"
#include "buckthornring/Ownership/OwnershipAction.h"
#include "buckthornring/Ownership/SliceMap.h"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornring {

/// Copies of one service's assignments: at the platform and at the deputy.
class AssignmentStore {
public:
  AssignmentStore(OwnershipContext &Context, const SliceMap &Map);

  /// Starts a term; \p Load asks for the platform's copy to be read first.
  auto beginTerm(bool Load) -> void;

  /// True when every segment was read since beginTerm().
  auto loaded() const -> bool;

  /// Sends what is due: reads, writes and the copy to the deputy.
  auto tick(const SliceMap &Map, bool Resolved, TimePoint Now,
            OwnershipActions &Actions) -> void;

  /// Forgets the deputy's acknowledgements, so that it gets a copy again.
  auto copyAgain() -> void { DeputyVersion = 0; }

  auto copied(const AssignmentCopyAck &Message) -> void;
  auto objectRead(std::uint32_t Segment, const ReadAnswer &Answer,
                  SliceMap &Map) -> void;
  auto objectWritten(std::uint32_t Segment, const WriteAnswer &Answer) -> void;

  /// True when deputy or platform has the slice's last change.
  auto recorded(const SliceMap &Map, std::uint32_t Slice) const -> bool;
  auto atDeputy(std::uint64_t Version) const -> bool {
    return DeputyVersion >= Version;
  }
  auto atPlatform(std::uint32_t Slice, std::uint64_t Version) const -> bool {
    return Segments[Slice / SliceMap::SegmentSlices].Written >= Version;
  }

private:
  struct Segment {
    std::string Name;
    std::uint64_t ObjectVersion = 0;
    std::uint64_t Written = 0; ///< Map version at the platform.
    std::uint64_t Writing = 0; ///< Map version being written.
    bool Busy = false;
    bool Read = false;    ///< The object's version is known.
    bool Loading = false; ///< The next value read is merged into the map.
    TimePoint TriedAt;
  };

  auto sendCopy(const SliceMap &Map, bool Resolved, TimePoint Now,
                OwnershipActions &Actions) -> void;

  OwnershipContext &Context;
  std::vector<Segment> Segments;
  std::uint64_t DeputyVersion = 0;
  std::uint64_t SentVersion = 0;
  TimePoint SentAt;
};

} // namespace buckthornring
