#include "Memory/MemoryBudget.h"

#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <tuple>

namespace buckthornring {

/// A connection that could give its memory back.
struct MemoryBudget::Candidate {
  MemoryHolder *Holder;
  MemoryHolder::State State;

  auto stalled() const -> bool { return State.Stalled >= StallPeriod; }
  auto ordinary() const -> bool { return State.Bytes <= OrdinaryBytes; }
  /// Larger ranks give back first.
  auto rank() const {
    const double Idleness = static_cast<double>(State.Bytes) *
                            static_cast<double>(State.Stalled.count());
    return std::make_tuple(!ordinary(), stalled(), stalled() ? Idleness : 0.0,
                           State.Remaining);
  }
};

auto MemoryBudget::limitFor(double MachineBytes) -> std::size_t {
  if (MachineBytes <= 0)
    return 0;
  const auto Usable = static_cast<std::size_t>(UsableShare * MachineBytes);
  return std::max(Usable, ProcessBytes + MinLimit) - ProcessBytes;
}

auto MemoryBudget::add(std::size_t Bytes) -> void {
  Used += Bytes;
  Peak = std::max(Peak, Used);
}

auto MemoryBudget::remove(std::size_t Bytes) -> void {
  invariant(Bytes <= Used, "more memory given back than taken");
  Used -= Bytes;
}

auto MemoryBudget::enter(MemoryHolder &Holder) -> void {
  Holders.push_back(&Holder);
}

auto MemoryBudget::leave(MemoryHolder &Holder) -> void {
  const auto Found = std::find(Holders.begin(), Holders.end(), &Holder);
  if (Found != Holders.end()) {
    *Found = Holders.back();
    Holders.pop_back();
  }
  std::erase_if(Waiting, [&Holder](const Waiter &Each) {
    return Each.Holder == &Holder;
  });
}

auto MemoryBudget::fits(std::size_t Held, std::size_t Wanted) const -> bool {
  if (Limit == 0)
    return true;
  const std::size_t Available =
      Held + Wanted > OrdinaryBytes ? Limit - Limit / ReserveDivisor : Limit;
  return Used + Wanted <= Available;
}

auto MemoryBudget::mayReceive(MemoryHolder &Holder, std::size_t Held,
                              std::size_t Wanted) -> bool {
  // Those that wait already come first, except before ordinary requests.
  const bool Ordinary = Held + Wanted <= OrdinaryBytes;
  if (fits(Held, Wanted) && (Ordinary || Resuming || Waiting.empty()))
    return true;
  if (Waiting.empty()) {
    ++Totals.Shortages;
    LastRelief = LongAgo;
  }
  ++Totals.Waits;
  Waiting.push_back({&Holder, Held, Wanted});
  if (Waiting.size() == 1 && OnShort)
    OnShort();
  return false;
}

auto MemoryBudget::relieve(TimePoint Now) -> void {
  if (Waiting.empty()) {
    LastRelief = LongAgo;
    return;
  }
  if (LastRelief == LongAgo)
    restartWait(Now);
  if (resumeWaiting())
    return restartWait(Now);
  if (Used + Limit / ProgressDivisor <= StuckBytes) {
    StuckSince = Now;
    StuckBytes = Used;
  }
  if (Now - LastRelief < WaitPeriod)
    return;
  LastRelief = Now;
  releaseSome(Now);
  resumeWaiting();
}

auto MemoryBudget::restartWait(TimePoint Now) -> void {
  LastRelief = StuckSince = Now;
  StuckBytes = Used;
}

auto MemoryBudget::resumeWaiting() -> bool {
  bool Resumed = false;
  const std::size_t Before = Waiting.size();
  // A resumed connection that still has no room waits again at the end.
  for (std::size_t Count = 0; Count < Before && !Waiting.empty(); ++Count) {
    const Waiter First = Waiting.front();
    if (!fits(First.Held, First.Wanted))
      break;
    Waiting.erase(Waiting.begin());
    const auto Known = std::find(Holders.begin(), Holders.end(), First.Holder);
    if (Known == Holders.end())
      continue;
    Resumed = true;
    Resuming = true;
    First.Holder->resumeReceiving();
    Resuming = false;
  }
  return Resumed;
}

auto MemoryBudget::candidates(TimePoint Now) const -> std::vector<Candidate> {
  std::vector<Candidate> Found;
  for (MemoryHolder *Holder : Holders) {
    const Candidate Each{Holder, Holder->memoryState(Now)};
    if (Each.State.Use != MemoryUse::Idle && Each.State.Bytes > 0 &&
        (!Each.ordinary() || Each.stalled()))
      Found.push_back(Each);
  }
  std::sort(Found.begin(), Found.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return Left.rank() > Right.rank();
            });
  return Found;
}

auto MemoryBudget::ordinaryWaiting(TimePoint Now) const
    -> std::vector<Candidate> {
  std::vector<Candidate> Found;
  for (const Waiter &Each : Waiting) {
    const Candidate Waits{Each.Holder, Each.Holder->memoryState(Now)};
    if (Waits.State.Use == MemoryUse::Receiving && Waits.ordinary() &&
        Waits.State.Bytes > 0)
      Found.push_back(Waits);
  }
  std::stable_sort(Found.begin(), Found.end(),
                   [](const Candidate &Left, const Candidate &Right) {
                     return Left.State.Remaining > Right.State.Remaining;
                   });
  return Found;
}

auto MemoryBudget::releaseSome(TimePoint Now) -> void {
  if (!release(candidates(Now)) && Now - StuckSince >= OrdinaryWaitPeriod)
    release(ordinaryWaiting(Now));
}

auto MemoryBudget::release(const std::vector<Candidate> &Order) -> bool {
  // What is given back lasts for a while, so that most of those that wait can
  // complete.
  const std::size_t Goal = Limit / ReserveDivisor;
  std::size_t Released = 0;
  for (const Candidate &Each : Order) {
    if (Released >= Goal)
      break;
    // An earlier release may have ended it.
    if (std::find(Holders.begin(), Holders.end(), Each.Holder) == Holders.end())
      continue;
    const std::size_t Before = Used;
    Each.Holder->releaseMemory();
    ++Totals.Released;
    const std::size_t Freed = Before - std::min(Before, Used);
    Totals.ReleasedBytes += Freed;
    Released += Freed;
  }
  return Released > 0;
}

} // namespace buckthornring
