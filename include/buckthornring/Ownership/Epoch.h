#pragma once

#include <compare>
#include <cstdint>

namespace buckthornring {

/// Fencing token of a slice. Rises strictly with each move: the term comes
/// from a conditional update at the platform, the sequence from the leader.
struct Epoch {
  std::uint64_t Term = 0;
  std::uint64_t Sequence = 0;

  friend auto operator==(const Epoch &, const Epoch &) -> bool = default;

  // Written out, since the linter reports a defaulted comparison (clang 14).
  friend auto operator<=>(const Epoch &Left, const Epoch &Right)
      -> std::strong_ordering {
    const auto ByTerm = Left.Term <=> Right.Term;
    return std::is_neq(ByTerm) ? ByTerm : Left.Sequence <=> Right.Sequence;
  }
};

} // namespace buckthornring
