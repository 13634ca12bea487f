#pragma once

#include "Common/JsonParts.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Result.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <vector>

namespace buckthornring {

/// The keys from From to To, both inclusive, and the target incarnation that
/// owns them.
struct KeyRange {
  std::uint32_t From = 0;
  std::uint32_t To = 0;
  TargetId Owner;                  ///< Empty: not assigned yet.
  std::int64_t OwnerStartedAt = 0; ///< TargetRecord::StartedAtMs of the owner.
  std::uint64_t Fence = 0;         ///< Fencing token of the owner's grant.
  /// Previous owner that may still hold the keys. Empty: there is none.
  TargetId PreviousOwner;
  std::int64_t PreviousOwnerStartedAt = 0;
  std::uint64_t PreviousOwnerFence = 0;

  auto width() const -> std::uint32_t { return To - From + 1; }
  friend auto operator==(const KeyRange &, const KeyRange &) -> bool = default;
};

/// The assignment of one service's keys to targets, as recorded in the store.
/// Ranges are sorted and cover all keys without overlap.
struct RangeRecord {
  /// Higher than every fencing token recorded so far.
  std::uint64_t NextFence = 1;
  /// Era of the store (see StoreRevision.h) in which its writer knew the store.
  /// A record of an earlier era than its revision's comes from a copy and may
  /// lack the last owners.
  std::uint64_t Era = 0;
  /// Era of a record that may not be the last one of its era. Never written.
  static constexpr std::uint64_t UnknownEra = ~std::uint64_t{0};
  /// Term of the leader that wrote it; two leaders may plan the same ranges.
  std::uint64_t WriterTerm = 0;
  std::vector<KeyRange> Ranges;

  /// Returns the range of \p Key, or null when there is none.
  auto find(std::uint32_t Key) const -> const KeyRange *;
  /// Whether the target owns any keys.
  auto isOwner(const TargetId &Target) const -> bool;

  /// Whether any key has an owner.
  auto hasOwner() const -> bool;

  /// Continues the record in a later era: its next fencing tokens are above all
  /// that lost records of earlier eras may hold.
  auto enterEra(std::uint64_t NewEra) -> void;

  auto json() const -> nlohmann::json;
  /// The parts of a recorded value that are read.
  static auto parts() -> JsonParts;
  /// Reads a value without looking at which keys its ranges cover.
  static auto read(const nlohmann::json &Value) -> Result<RangeRecord>;
  /// Fails with the reason when the value is not a valid record for \p Keys
  /// keys.
  static auto parse(const nlohmann::json &Value, std::uint32_t Keys)
      -> Result<RangeRecord>;

  /// Whether the ranges are sorted, cover all \p Keys keys once, and every
  /// fencing token is below NextFence.
  auto valid(std::uint32_t Keys) const -> bool;
};

} // namespace buckthornring
