#include "GrantHolder.h"

#include <algorithm>

namespace buckthornring::standin {

// The offset keeps senders from comparing the readings with their own clock.
auto GrantHolder::clockUs(std::int64_t SteadyUs) const -> std::int64_t {
  constexpr std::int64_t Offset = 86'400'000'000;
  return SteadyUs + Offset;
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
      Applied = 0;
      Floor = 0;
    }
    Reply.Refusal = applyLease(Message, NowUs);
  }
  Reply.Term = HighestTerm;
  Reply.Sequence = Message.Sequence;
  Reply.Applied = Applied;
  Reply.Start = Start;
  Reply.ClockUs = NowUs;
  Reply.Lapses = Lapses;
  Reply.Reported = Message.Report;
  if (Message.Report)
    for (const auto &[Slice, At] : Slices)
      Reply.Held.push_back({Slice, At});
  return Reply;
}

auto GrantHolder::applyLease(const LeaseMessage &Message, std::int64_t NowUs)
    -> LeaseRefusal {
  if (Message.Start != Start)
    return Message.Start.empty() ? LeaseRefusal::None
                                 : LeaseRefusal::OtherStart;
  const bool Newer = Message.Sequence > Floor;
  Floor = std::max(Floor, Message.Sequence);
  if (Message.LeaseUs == 0)
    return LeaseRefusal::None;
  const auto EndUs = Message.ClockUs + Message.LeaseUs;
  if (EndUs <= NowUs)
    return LeaseRefusal::Expired;
  LeaseEndUs = std::max(LeaseEndUs, EndUs);
  if (!Newer)
    return LeaseRefusal::None;
  for (const auto &Entry : Message.Grant)
    Slices[Entry.Slice] = Entry.At;
  for (const auto &Entry : Message.Release)
    Slices.erase(Entry.Slice);
  Applied = Message.Sequence;
  return LeaseRefusal::None;
}

auto GrantHolder::held(std::uint32_t Slice, std::int64_t SteadyUs)
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

// Slices dropped here stay dropped: a later renewal extends the lease only.
auto GrantHolder::expire(std::int64_t NowUs) -> void {
  if (Slices.empty() || NowUs < LeaseEndUs)
    return;
  Slices.clear();
  ++Lapses;
}

} // namespace buckthornring::standin
