#include "Ownership/AssignmentStore.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

// Limits the platform writes of one segment; changes meanwhile are combined.
constexpr Duration WriteEvery = std::chrono::milliseconds(100);

} // namespace

AssignmentStore::AssignmentStore(OwnershipContext &Context, const SliceMap &Map)
    : Context(Context), Segments(Map.segments()) {
  for (std::uint32_t Index = 0; Index < Map.segments(); ++Index)
    Segments[Index].Name =
        assignmentObjectName(Context.Identity.DataCentre, Map.service(), Index);
}

auto AssignmentStore::beginTerm(bool Load) -> void {
  DeputyVersion = 0;
  SentVersion = 0;
  for (Segment &Each : Segments) {
    Each.Written = 0;
    Each.Writing = 0;
    Each.Read = Each.Read && !Load;
    Each.Loading = Load;
  }
}

auto AssignmentStore::loaded() const -> bool {
  return std::all_of(Segments.begin(), Segments.end(),
                     [](const Segment &Each) { return Each.Read; });
}

auto AssignmentStore::sendCopy(const SliceMap &Map, bool Resolved,
                               TimePoint Now, OwnershipActions &Actions)
    -> void {
  const TermRecord &Record = Context.Term.record();
  if (Context.Term.withoutDeputy() || DeputyVersion >= Map.version())
    return;
  if (SentVersion >= Map.version() && Now < SentAt + Context.Times.RenewEvery)
    return;
  SentVersion = Map.version();
  SentAt = Now;
  Actions.push_back(
      SendLink{Record.Deputy,
               AssignmentCopy{Record.Term, Map.delta(Map.term(), DeputyVersion),
                              Resolved}});
}

auto AssignmentStore::tick(const SliceMap &Map, bool Resolved, TimePoint Now,
                           OwnershipActions &Actions) -> void {
  sendCopy(Map, Resolved, Now, Actions);
  for (std::uint32_t Index = 0; Index < Segments.size(); ++Index) {
    Segment &Each = Segments[Index];
    const Duration Every = Context.Term.platformAnswers()
                               ? WriteEvery
                               : Context.Times.PlatformRetry;
    if (Each.Busy || Now < Each.TriedAt + Every)
      continue;
    if (!Each.Read) {
      Each.Busy = true;
      Each.TriedAt = Now;
      Actions.push_back(ReadObject{Each.Name});
    } else if (Resolved && Map.segmentChangedAt(Index) > Each.Written) {
      Each.Busy = true;
      Each.TriedAt = Now;
      Each.Writing = Map.version();
      std::optional<std::uint64_t> Base;
      if (Each.ObjectVersion != 0)
        Base = Each.ObjectVersion;
      Actions.push_back(
          WriteObject{Each.Name, Map.segmentText(Index, Map.term()), Base});
    }
  }
}

auto AssignmentStore::copied(const AssignmentCopyAck &Message) -> void {
  if (Message.NeedsFullCopy)
    DeputyVersion = 0;
  else
    DeputyVersion = std::max(DeputyVersion, Message.Version);
}

auto AssignmentStore::objectRead(std::uint32_t Index, const ReadAnswer &Answer,
                                 SliceMap &Map) -> void {
  Segment &Each = Segments[Index];
  Each.Busy = false;
  if (!Answer.Answered)
    return;
  Each.Read = true;
  // Only the first answer is merged, also when it is a stale "absent": later
  // ones would bring back owners after the map was resolved.
  const bool Merge = std::exchange(Each.Loading, false);
  if (!Answer.Found || Answer.Found->Version < Each.ObjectVersion)
    return;
  Each.ObjectVersion = Answer.Found->Version;
  SliceMap Stored = Map;
  const auto WriterTerm = Stored.loadSegment(Answer.Found->Value);
  if (!WriterTerm)
    return;
  // An object written in a higher term proves a later leader.
  Context.Term.learnTerm(*WriterTerm);
  // A leader with a complete map ignores what the platform has beyond it: those
  // changes were never acted on.
  if (Merge && *WriterTerm < Map.term())
    Map = std::move(Stored);
}

auto AssignmentStore::objectWritten(std::uint32_t Index,
                                    const WriteAnswer &Answer) -> void {
  Segment &Each = Segments[Index];
  Each.Busy = false;
  if (Answer.Outcome == WriteAnswer::Kind::Written) {
    Each.ObjectVersion = Answer.Version;
    Each.Written = std::max(Each.Written, Each.Writing);
  } else if (Answer.Outcome != WriteAnswer::Kind::NotSent) {
    // The version must be read again, also when an answer was lost after the
    // write took effect.
    Each.Read = false;
    Each.TriedAt = TimePoint();
  }
}

auto AssignmentStore::recorded(const SliceMap &Map, std::uint32_t Slice) const
    -> bool {
  const std::uint64_t Version = Map.changedAt(Slice);
  return (!Context.Term.withoutDeputy() && atDeputy(Version)) ||
         atPlatform(Slice, Version);
}

} // namespace buckthornring
