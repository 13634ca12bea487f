#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Result.h"
#include "buckthornring/Ownership/Epoch.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornring {

/// Who owns one slice.
struct SliceAssignment {
  TargetId Owner; ///< Empty while nobody has ever owned the slice.
  TargetId Successor;
  Epoch At;
  /// False while the slice is being moved: instances send nothing.
  bool Serving = false;

  friend auto operator==(const SliceAssignment &, const SliceAssignment &)
      -> bool = default;
};

/// Changed slices between two versions of a map.
struct SliceDelta {
  struct Entry {
    std::uint32_t Slice = 0;
    SliceAssignment To;

    friend auto operator==(const Entry &, const Entry &) -> bool = default;
  };

  ServiceId Service;
  std::uint32_t Slices = 0;
  std::uint64_t Term = 0; ///< Term in which the versions were counted.
  std::uint64_t From = 0; ///< Zero: Entries hold every slice.
  std::uint64_t To = 0;
  std::vector<Entry> Entries;

  friend auto operator==(const SliceDelta &, const SliceDelta &)
      -> bool = default;
};

/// Assignment of the slices of one service, with versions within a term.
class SliceMap {
public:
  /// Slices in one platform object; 12 bytes each stay below the 1 MB limit.
  static constexpr std::uint32_t SegmentSlices = 8192;

  /// Fails unless \p Slices is a power of two from 1 to 65,536.
  static auto make(ServiceId Service, std::uint32_t Slices) -> Result<SliceMap>;

  /// Returns the slice of \p Key: the top bits of its XXH64 hash (seed 0).
  static auto sliceOf(std::string_view Key, std::uint32_t Slices)
      -> std::uint32_t;

  auto service() const -> const ServiceId & { return Service; }
  auto slices() const -> std::uint32_t {
    return static_cast<std::uint32_t>(Entries.size());
  }
  auto term() const -> std::uint64_t { return Term; }
  auto version() const -> std::uint64_t { return Version; }
  auto at(std::uint32_t Slice) const -> const SliceAssignment &;

  /// Changes one slice and raises the version. The epoch must not fall, and
  /// must rise when the owner changes.
  auto set(std::uint32_t Slice, SliceAssignment To) -> void;

  /// Starts counting versions from one in a higher term; later deltas from
  /// versions of a lower term are complete.
  auto beginTerm(std::uint64_t NewTerm) -> void;

  /// Returns the changes after \p Since. A version of another term, zero or
  /// one that is not known gives all slices.
  auto delta(std::uint64_t SinceTerm, std::uint64_t Since) const -> SliceDelta;

  /// Applies a delta. Returns false when it is old; fails when a version
  /// between was missed or the slice count differs.
  auto apply(const SliceDelta &Delta) -> Result<bool>;

  /// Version in which the slice changed last.
  auto changedAt(std::uint32_t Slice) const -> std::uint64_t {
    return ChangedAt[Slice];
  }

  auto segments() const -> std::uint32_t;

  /// Version in which any slice of the segment changed last.
  auto segmentChangedAt(std::uint32_t Segment) const -> std::uint64_t;

  /// Returns the JSON value of the platform object of one segment:
  /// {"service","slices","segment","term","targets":[names],
  ///  "entries":[[owner,successor,term,sequence]...]}, with indexes into
  /// targets or -1.
  auto segmentText(std::uint32_t Segment, std::uint64_t WriterTerm) const
      -> std::string;

  /// Reads a segment's entries, keeping for each slice the higher epoch.
  /// Returns the writer's term. Fails on malformed text or another service.
  auto loadSegment(std::string_view Text) -> Result<std::uint64_t>;

private:
  SliceMap(ServiceId Service, std::uint32_t Slices);

  ServiceId Service;
  std::uint64_t Term = 0;
  std::uint64_t Version = 0;
  std::vector<SliceAssignment> Entries;
  std::vector<std::uint64_t> ChangedAt; ///< Version of each slice's change.
};

/// Returns "assignments/DC/SERVICE/SEGMENT".
auto assignmentObjectName(const DataCentreId &DataCentre,
                          const ServiceId &Service, std::uint32_t Segment)
    -> std::string;

} // namespace buckthornring
