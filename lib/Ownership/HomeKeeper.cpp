#include "buckthornring/Ownership/HomeKeeper.h"

#include "buckthornring/Common/Invariant.h"

#include <utility>

namespace buckthornring {

HomeKeeper::HomeKeeper(ServiceId Service, DataCentreId Self, Times Intervals)
    : Service(std::move(Service)), Self(std::move(Self)), Intervals(Intervals) {
}

auto HomeKeeper::setWanted(HomeMap Map) -> void {
  Wanted = std::move(Map);
  NextCall = TimePoint();
}

auto HomeKeeper::tick(std::optional<std::uint64_t> Term, bool ReleasedAway,
                      TimePoint Now, OwnershipActions &Actions) -> void {
  if (Term != LeadingTerm) {
    // A leader that replaced its deputy led the term before as well, so no
    // other leader can have written in between.
    const bool Continues = Term && LeadingTerm && *Term == *LeadingTerm + 1;
    LeadingTerm = Term;
    Confirmed = Confirmed && Continues;
    Read = false;
    NextCall = Now;
  }
  if (!LeadingTerm || Wanted.slices() == 0 || ReadPending || Writing)
    return;
  if (Read && wantsWrite(ReleasedAway))
    return write(ReleasedAway, Actions);
  if (Now < NextCall)
    return;
  NextCall = Now + (Confirmed ? Intervals.ReadEvery : Intervals.MoveEvery);
  ReadPending = true;
  Actions.emplace_back(ReadObject{homeObjectName(Service)});
}

auto HomeKeeper::objectRead(const ReadAnswer &Answer) -> void {
  ReadPending = false;
  if (!Answer.Answered)
    return;
  if (!Answer.Found) {
    Read = !Recorded;
    return;
  }
  // A stale read must not replace what is already known; the conditional
  // update with the older version would only fail.
  if (!Version || Answer.Found->Version > *Version) {
    auto Parsed = HomeMap::parse(Answer.Found->Value);
    if (!Parsed || Parsed->slices() != Wanted.slices())
      return;
    Recorded = std::move(Parsed).value();
    Version = Answer.Found->Version;
  }
  Read = true;
}

auto HomeKeeper::objectWritten(const WriteAnswer &Answer) -> void {
  auto Attempt = std::exchange(Writing, std::nullopt);
  invariant(Attempt.has_value(), "a home write is answered once");
  if (Answer.Outcome != WriteAnswer::Kind::Written) {
    // The write may still take effect. Only the next successful conditional
    // update shows what is recorded.
    Confirmed = false;
    Read = false;
    return;
  }
  Recorded = std::move(Attempt);
  Version = Answer.Version;
  Confirmed = LeadingTerm && Recorded->writerTerm(Self) == *LeadingTerm;
}

auto HomeKeeper::homes() const -> std::vector<bool> {
  std::vector<bool> Own(Wanted.slices(), false);
  if (!Recorded || Recorded->slices() != Wanted.slices())
    return Own;
  for (std::uint32_t Slice = 0; Slice < Wanted.slices(); ++Slice)
    Own[Slice] = Recorded->home(Slice) == Self && !leaving(Slice) &&
                 (!Writing || Writing->home(Slice) == Self);
  return Own;
}

auto HomeKeeper::leaving(std::uint32_t Slice) const -> bool {
  return Recorded->home(Slice) == Self && Wanted.home(Slice) != Self &&
         !Wanted.home(Slice).empty();
}

/// Whether the slice is recorded for a lost data centre and wanted here.
auto HomeKeeper::abandoned(std::uint32_t Slice) const -> bool {
  return Wanted.home(Slice) == Self && Lost.contains(Recorded->home(Slice));
}

auto HomeKeeper::wantsWrite(bool ReleasedAway) const -> bool {
  if (!Recorded || !Confirmed)
    return true;
  for (std::uint32_t Slice = 0; Slice < Wanted.slices(); ++Slice)
    if ((ReleasedAway && leaving(Slice)) || abandoned(Slice))
      return true;
  return false;
}

auto HomeKeeper::write(bool ReleasedAway, OwnershipActions &Actions) -> void {
  HomeMap Next = Recorded ? *Recorded : Wanted;
  // Slices are given away only in a term that is already recorded: before, an
  // older leader of this data centre may still grant them.
  for (std::uint32_t Slice = 0; Confirmed && Slice < Next.slices(); ++Slice)
    if ((ReleasedAway && leaving(Slice)) || abandoned(Slice))
      Next.setHome(Slice, Wanted.home(Slice));
  Next.setWriterTerm(Self, *LeadingTerm);
  Writing = Next;
  Actions.emplace_back(
      WriteObject{homeObjectName(Service), Next.text(), Version});
}

} // namespace buckthornring
