#pragma once

#include "buckthornring/Common/Ids.h"

#include <cstdint>
#include <map>

namespace buckthornring {

/// Phases of a slice that changes its owner.
enum class MovePhase {
  Releasing, ///< The old owner is asked to release, or its lease runs out.
  Recording, ///< Nobody holds the slice; the new owner is being recorded.
};

/// Moves in progress of one service: release before grant.
///
/// A move leaves Releasing only through ownerCleared(), and Recording only
/// through recorded(); the new owner is granted nothing before.
class MoveTracker {
public:
  struct Move {
    MovePhase Phase = MovePhase::Releasing;
    TargetId From; ///< Empty when no target can hold the slice.
    TargetId To;   ///< Empty: chosen when the slice is free.
    /// The old owner was silent and is not asked; the end of its lease counts.
    bool OwnerLost = false;
    /// Map version in which the slice stopped serving.
    std::uint64_t RevokedVersion = 0;
    /// Map version that records the new owner.
    std::uint64_t RecordedVersion = 0;
  };

  /// Starts a move of a slice that is not moving.
  auto start(std::uint32_t Slice, Move Planned) -> void;

  auto moving(std::uint32_t Slice) const -> bool;
  auto moves() const -> const std::map<std::uint32_t, Move> & { return Moves; }

  /// The old owner holds nothing any more, for example after its restart.
  auto ownerGone(const TargetId &From) -> void;

  /// Nobody holds the slice; the new owner is in the given map version.
  auto ownerCleared(std::uint32_t Slice, const TargetId &To,
                    std::uint64_t RecordedVersion) -> void;

  /// The new owner is recorded: ends the move.
  auto recorded(std::uint32_t Slice) -> void;

  /// Gives up a move that has not left Releasing.
  auto cancel(std::uint32_t Slice) -> void;
  auto clear() -> void { Moves.clear(); }

private:
  std::map<std::uint32_t, Move> Moves;
};

} // namespace buckthornring
