#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

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
    TargetId To;
    /// Change sequence of the release; zero until it was sent.
    std::uint64_t ReleaseSequence = 0;
    /// Map version in which the slice stopped serving.
    std::uint64_t RevokedVersion = 0;
    /// Map version that records the new owner.
    std::uint64_t RecordedVersion = 0;
    TimePoint Since;
  };

  /// Starts a move. A slice that is already moving only changes its new owner,
  /// and only while it is Releasing. Returns whether the move was accepted.
  auto start(std::uint32_t Slice, const TargetId &From, const TargetId &To,
             TimePoint Now) -> bool;

  auto moving(std::uint32_t Slice) const -> bool;
  auto find(std::uint32_t Slice) const -> const Move *;
  auto moves() const -> const std::map<std::uint32_t, Move> &;

  auto releaseSent(std::uint32_t Slice, std::uint64_t Sequence) -> void;
  auto revokedIn(std::uint32_t Slice, std::uint64_t Version) -> void;

  /// The old owner released the slice or cannot hold it any more.
  auto ownerCleared(std::uint32_t Slice, std::uint64_t RecordedVersion) -> void;

  /// The new owner is recorded: ends the move.
  auto recorded(std::uint32_t Slice) -> void;

  /// Gives up a move that has not left Releasing.
  auto cancel(std::uint32_t Slice) -> void;
  auto clear() -> void;

private:
  std::map<std::uint32_t, Move> Moves;
};

} // namespace buckthornring
