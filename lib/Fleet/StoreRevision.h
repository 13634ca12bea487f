#pragma once

#include <cstdint>

namespace buckthornring {

/// A store that is restored from a copy gives out revisions again. It counts
/// these restorations as its era. Revisions in the router are made of the era
/// and the store's number, so that they always rise.
inline constexpr unsigned RevisionNumberBits = 40;

constexpr auto makeRevision(std::uint64_t Era, std::uint64_t Number)
    -> std::uint64_t {
  return Era << RevisionNumberBits | Number;
}

constexpr auto eraOf(std::uint64_t Revision) -> std::uint64_t {
  return Revision >> RevisionNumberBits;
}

/// Returns the revision as the store itself numbers it.
constexpr auto numberOf(std::uint64_t Revision) -> std::uint64_t {
  return Revision & ((std::uint64_t{1} << RevisionNumberBits) - 1);
}

} // namespace buckthornring
