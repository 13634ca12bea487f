#pragma once

#include "buckthornring/Ownership/LeaseMessage.h"
#include "buckthornring/Ownership/OwnershipTimes.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace buckthornring::test {

/// A verified target's side of the lease protocol, as LeaseMessage.h states it.
class FakeTarget {
public:
  FakeTarget(std::string Start, SafetySwitches Switches)
      : Start(std::move(Start)), Switches(Switches) {}

  auto handle(const LeaseMessage &Message, TimePoint Now) -> LeaseReply {
    expire(Now);
    LeaseReply Reply;
    Reply.Refusal = apply(Message, Now);
    Reply.Term = Term;
    Reply.Sequence = Message.Sequence;
    Reply.Applied = Applied;
    Reply.Start = Start;
    Reply.ClockUs = Now.time_since_epoch().count();
    Reply.Reported = Message.Report;
    if (Message.Report)
      for (const auto &[Slice, At] : Held)
        Reply.Held.push_back({Slice, At});
    Reply.Running.assign(Running.begin(), Running.end());
    Reply.Lapses = Lapses;
    return Reply;
  }

  /// True when a request with this epoch would be run now.
  auto runs(std::uint32_t Slice, TimePoint Now) -> bool {
    expire(Now);
    return Held.contains(Slice);
  }

  auto held(TimePoint Now) -> const std::map<std::uint32_t, Epoch> & {
    expire(Now);
    return Held;
  }

  auto finishRunning() -> void { Running.clear(); }

private:
  auto expire(TimePoint Now) -> void {
    if (Held.empty() || Now < LeaseEnd)
      return;
    Held.clear();
    ++Lapses;
  }

  auto apply(const LeaseMessage &Message, TimePoint Now) -> LeaseRefusal {
    if (Message.Term < Term && Switches.Fencing)
      return LeaseRefusal::StaleTerm;
    if (Message.Term > Term) {
      Term = Message.Term;
      Floor = 0;
      Applied = 0;
    }
    if (Message.Start != Start)
      return Message.Start.empty() ? LeaseRefusal::None
                                   : LeaseRefusal::OtherStart;
    const bool Newer = Message.Sequence > Floor;
    Floor = std::max(Floor, Message.Sequence);
    if (Message.LeaseUs == 0)
      return LeaseRefusal::None;
    const TimePoint From =
        Switches.EchoedClock ? TimePoint(Duration(Message.ClockUs)) : Now;
    const TimePoint End = From + Duration(Message.LeaseUs);
    if (End <= Now)
      return LeaseRefusal::Expired;
    LeaseEnd = std::max(LeaseEnd, End);
    if (!Newer)
      return LeaseRefusal::None;
    for (const SliceEpoch &Each : Message.Grant) {
      Held[Each.Slice] = Each.At;
      Running.erase(Each.Slice);
    }
    for (const SliceEpoch &Each : Message.Release)
      if (Held.erase(Each.Slice) > 0)
        Running.insert(Each.Slice);
    Applied = Message.Sequence;
    return LeaseRefusal::None;
  }

  std::string Start;
  SafetySwitches Switches;
  std::uint64_t Term = 0;
  std::uint64_t Floor = 0;
  std::uint64_t Applied = 0;
  std::uint64_t Lapses = 0;
  TimePoint LeaseEnd;
  std::map<std::uint32_t, Epoch> Held;
  std::set<std::uint32_t> Running;
};

} // namespace buckthornring::test
