#include "GrantHolder.h"

#include <algorithm>

namespace buckthornring::standin {

// The offset makes the readings incomparable with a sender's own clock.
auto GrantHolder::clockUs(std::int64_t SteadyUs) const -> std::int64_t {
  constexpr std::int64_t OffsetUs = 86'400'000'000;
  return SteadyUs + OffsetUs;
}

auto GrantHolder::apply(const LeaseMessage &Message, std::int64_t SteadyUs)
    -> LeaseReply {
  const auto NowUs = clockUs(SteadyUs);
  expire(NowUs);
  LeaseReply Reply;
  if (Message.Term < HighestTerm) {
    Reply.Refusal = LeaseRefusal::StaleTerm;
  } else {
    if (Message.Term > HighestTerm) {
      HighestTerm = Message.Term;
      AppliedSequence = 0;
      HighestSequence = 0;
    }
    Reply.Refusal = applyLease(Message, NowUs);
  }
  Reply.Term = HighestTerm;
  Reply.Sequence = Message.Sequence;
  Reply.Applied = AppliedSequence;
  Reply.Start = StartId;
  Reply.ClockUs = NowUs;
  Reply.Lapses = LapseCount;
  Reply.Reported = Message.Report;
  if (Message.Report)
    for (const auto &[Slice, HeldEpoch] : Slices)
      Reply.Held.push_back({Slice, HeldEpoch});
  return Reply;
}

auto GrantHolder::applyLease(const LeaseMessage &Message, std::int64_t NowUs)
    -> LeaseRefusal {
  if (Message.Start != StartId)
    return Message.Start.empty() ? LeaseRefusal::None
                                 : LeaseRefusal::OtherStart;
  const bool IsNew = Message.Sequence > HighestSequence;
  HighestSequence = std::max(HighestSequence, Message.Sequence);
  if (Message.LeaseUs == 0)
    return LeaseRefusal::None;
  const auto EndUs = Message.ClockUs + Message.LeaseUs;
  if (EndUs <= NowUs)
    return LeaseRefusal::Expired;
  LeaseEndUs = std::max(LeaseEndUs, EndUs);
  if (!IsNew)
    return LeaseRefusal::None;
  for (const auto &Entry : Message.Grant)
    Slices[Entry.Slice] = Entry.At;
  for (const auto &Entry : Message.Release)
    Slices.erase(Entry.Slice);
  AppliedSequence = Message.Sequence;
  return LeaseRefusal::None;
}

auto GrantHolder::heldEpoch(std::uint32_t Slice, std::int64_t SteadyUs)
    -> std::optional<Epoch> {
  expire(clockUs(SteadyUs));
  const auto Found = Slices.find(Slice);
  if (Found == Slices.end())
    return std::nullopt;
  return Found->second;
}

auto GrantHolder::heldCount(std::int64_t SteadyUs) -> std::size_t {
  expire(clockUs(SteadyUs));
  return Slices.size();
}

// A later renewal extends the lease but does not restore the slices dropped
// here.
auto GrantHolder::expire(std::int64_t NowUs) -> void {
  if (Slices.empty() || NowUs < LeaseEndUs)
    return;
  Slices.clear();
  ++LapseCount;
}

} // namespace buckthornring::standin
