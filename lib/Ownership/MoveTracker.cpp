#include "buckthornring/Ownership/MoveTracker.h"
#include "buckthornring/Common/Invariant.h"

namespace buckthornring {

auto MoveTracker::start(std::uint32_t Slice, Move Planned) -> void {
  invariant(Planned.Phase == MovePhase::Releasing,
            "a move starts with the release");
  const bool Added = Moves.emplace(Slice, std::move(Planned)).second;
  invariant(Added, "a slice has one move at a time");
}

auto MoveTracker::moving(std::uint32_t Slice) const -> bool {
  return Moves.contains(Slice);
}

auto MoveTracker::ownerGone(const TargetId &From) -> void {
  for (auto &[Slice, Each] : Moves)
    if (Each.Phase == MovePhase::Releasing && Each.From == From)
      Each.From = TargetId();
}

auto MoveTracker::ownerCleared(std::uint32_t Slice, const TargetId &To,
                               std::uint64_t RecordedVersion) -> void {
  Move &Each = Moves.at(Slice);
  invariant(Each.Phase == MovePhase::Releasing,
            "a slice is released once in a move");
  Each.Phase = MovePhase::Recording;
  Each.From = TargetId();
  Each.To = To;
  Each.RecordedVersion = RecordedVersion;
}

auto MoveTracker::recorded(std::uint32_t Slice) -> void {
  invariant(Moves.at(Slice).Phase == MovePhase::Recording,
            "a slice is granted only after its release");
  Moves.erase(Slice);
}

auto MoveTracker::cancel(std::uint32_t Slice) -> void {
  invariant(Moves.at(Slice).Phase == MovePhase::Releasing,
            "a recorded move is not cancelled");
  Moves.erase(Slice);
}

} // namespace buckthornring
