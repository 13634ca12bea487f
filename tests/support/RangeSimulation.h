#pragma once

#include "Fleet/RangeAssigner.h"
#include "buckthornring/Common/Random.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring {

/// Faults of one schedule.
struct RangeFaults {
  double LostOrder = 0.02;     ///< The order never arrives.
  double LostAnswer = 0.02;    ///< The order arrives, its answer does not.
  double LateOrder = 0.02;     ///< Accepted on arrival, takes effect later.
  double LostWrite = 0.05;     ///< The write's answer is lost.
  double LeaderChange = 0.002; ///< In each step of 10 ms.
  double TargetRestart = 0.002;
  double TargetCut = 0.002; ///< Unreachable for some seconds.
  double TargetDrain = 0.001;
};

/// Keepers of several leaders, targets that hold keys, and the store, in
/// virtual time. Checks after each step that no key has two holders.
class RangeWorld {
public:
  static constexpr std::uint32_t Keys = 256;
  static constexpr Duration Timeout = std::chrono::milliseconds(500);
  static constexpr Duration StoreMemory = std::chrono::milliseconds(700);

  RangeWorld(std::uint64_t Seed, RangeFaults Faults, RangeTimes Times = {})
      : Random(Seed), Faults(Faults), Times(Times) {
    for (int Index = 0; Index < 5; ++Index)
      Targets["t" + std::to_string(Index)].Id = "t" + std::to_string(Index);
    changeLeader();
  }

  /// Runs \p Steps of 10 ms. Returns the first violation, or nothing.
  auto run(int Steps) -> std::optional<std::string> {
    for (int Step = 0; Step < Steps; ++Step) {
      Now += std::chrono::milliseconds(10);
      disturb();
      deliver();
      for (const auto &Each : Leaders)
        lead(*Each);
      if (auto Violation = check())
        return Violation;
      countServed();
    }
    return std::nullopt;
  }

  /// Stops all faults, so that the keys settle.
  auto calm() -> void {
    Faults = {0, 0, 0, 0, 0, 0, 0, 0};
    for (auto &[Id, Each] : Targets) {
      Each.CutUntil = LongAgo;
      Each.Draining = false;
    }
  }

  /// Share of the keys with a holder, over all steps.
  auto servedShare() const -> double {
    return Steps == 0 ? 0 : Served / static_cast<double>(Steps);
  }
  auto servedNow() const -> double { return heldKeys() / double{Keys}; }

private:
  struct Target {
    std::string Id;
    std::int64_t Life = 1;
    double ClockRate = 1; ///< Length of a granted second; up to 1.02.
    std::map<std::uint32_t, std::uint64_t> Fences;
    std::map<std::uint32_t, TimePoint> HeldUntil;
    TimePoint CutUntil = LongAgo;
    bool Draining = false;
  };
  struct Process {
    explicit Process(RangeTimes Times) : Keeper(Keys, Times) {}

    RangeAssigner Keeper;
    KeyLoad Load;
    TimePoint ConfirmedAt;
    TimePoint PlanAt = LongAgo;
    std::set<TargetId> Granting;
    bool Writing = false;
    bool Stopped = false;
    bool CutOff = false; ///< No longer the leader, without knowing it.
    TimePoint CutOffAt = LongAgo;
  };
  using ProcessPtr = std::shared_ptr<Process>;

  auto changeLeader() -> void {
    for (const auto &Each : Leaders) {
      if (!std::exchange(Each->CutOff, true))
        Each->CutOffAt = Now;
    }
    if (Leaders.size() > 2)
      Leaders.pop_front();
    auto Next = std::make_shared<Process>(Times);
    Next->ConfirmedAt = Now;
    Next->Keeper.takeOver(Recorded, Revision, Now);
    Leaders.push_back(std::move(Next));
  }

  auto disturb() -> void {
    if (Random.chance(Faults.LeaderChange))
      changeLeader();
    for (auto &[Id, Each] : Targets) {
      if (Random.chance(Faults.TargetRestart)) {
        const std::int64_t Life = Each.Life + 1;
        const double Rate = Each.ClockRate;
        Each = Target();
        Each.Id = Id;
        Each.Life = Life;
        Each.ClockRate = Rate;
      }
      if (Random.chance(Faults.TargetCut))
        Each.CutUntil = Now + std::chrono::milliseconds(Random.below(6000));
      if (Random.chance(Faults.TargetDrain))
        Each.Draining = !Each.Draining;
      Each.ClockRate = 1 + 0.02 * static_cast<double>(Random.below(2));
    }
  }

  auto lead(Process &Own) -> void {
    if (Own.Stopped)
      return;
    if (!Own.CutOff) {
      Own.ConfirmedAt = Now;
      // A replaced leader's last write may have come after the takeover.
      if (!Own.Writing && Revision > Own.Keeper.revision())
        Own.Keeper.takeOver(Recorded, Revision, Now);
    }
    if (Now >= Own.PlanAt) {
      Own.PlanAt = Now + std::chrono::milliseconds(250);
      Own.Load.add(static_cast<std::uint32_t>(Random.below(20)), Now);
      Own.Keeper.plan(view(), Own.Load, Now);
    }
    if (Own.Keeper.pendingWrite() && !Own.Writing)
      write(Own);
    for (const TargetId &Id : Own.Keeper.involvedTargets()) {
      if (!Own.Granting.contains(Id))
        if (const auto Call = Own.Keeper.nextGrant(Id, Own.ConfirmedAt, Now)) {
          Own.Granting.insert(Id);
          order(Own, *Call);
        }
      if (const auto Call = Own.Keeper.nextRelease(Id, Own.ConfirmedAt, Now))
        order(Own, *Call);
    }
  }

  auto view() const -> RangeAssigner::View {
    RangeAssigner::View View;
    for (const auto &[Id, Each] : Targets) {
      View.Incarnations[TargetId(Id)] = Each.Life;
      if (Each.Draining)
        View.Leaving.insert(TargetId(Id));
      else
        View.Targets.push_back({TargetId(Id), Each.Life, 4, true});
    }
    return View;
  }

  auto write(Process &Own) -> void {
    Own.Writing = true;
    // A replaced leader reaches the store for a moment at most, then learns
    // that it was replaced or is cut off.
    if (Own.CutOff && Now - Own.CutOffAt > StoreMemory)
      return;
    const RangeRecord Wanted = *Own.Keeper.pendingWrite();
    const std::uint64_t Expected = Own.Keeper.revision();
    const auto Weak = find(Own);
    at(delay(), [this, Weak, Wanted, Expected] {
      const bool Same = Recorded.Ranges == Wanted.Ranges &&
                        Recorded.NextFence == Wanted.NextFence;
      const bool Holds = Expected == Revision;
      if (Holds) {
        Recorded = Wanted;
        ++Revision;
      }
      const bool Done = Holds || Same;
      const std::uint64_t At = Revision;
      const bool Lost = Random.chance(Faults.LostWrite);
      const RangeRecord Held = Recorded;
      at(delay(), [this, Weak, Done, At, Lost, Held] {
        const auto Own = Weak.lock();
        if (!Own)
          return;
        Own->Writing = false;
        if (Lost)
          return;
        if (Done)
          Own->Keeper.writeDone(At, Now);
        else if (Own->CutOff)
          Own->Stopped = true; // The leader object told it.
        else
          Own->Keeper.takeOver(Held, At, Now);
      });
    });
  }

  auto order(Process &Own, const RangeOrder &Call) -> void {
    const auto Weak = find(Own);
    const auto Finish = [this, Weak, Call](Duration After,
                                           RangeOrderOutcome Answer,
                                           const std::string &Handover) {
      at(After, [this, Weak, Call, Answer, Handover] {
        const auto Own = Weak.lock();
        if (!Own)
          return;
        if (Call.Type == RangeOrder::Kind::Grant)
          Own->Granting.erase(Call.Target);
        Own->Keeper.onOrderEnded(Call, Answer, Handover, Now);
      });
    };
    const Target &To = Targets.at(Call.Target.str());
    if (To.Life != Call.StartedAt || Now < To.CutUntil)
      return Finish(Timeout, RangeOrderOutcome::NotSent, "");
    if (Random.chance(Faults.LostOrder))
      return Finish(Timeout, RangeOrderOutcome::Unanswered, "");
    const bool AnswerLost = Random.chance(Faults.LostAnswer);
    const bool Late =
        Call.Type == RangeOrder::Kind::Grant && Random.chance(Faults.LateOrder);
    at(delay(), [this, Call, AnswerLost, Late, Finish] {
      const TimePoint Arrived = Now;
      if (Late) {
        at(std::chrono::milliseconds(500 + Random.below(4000)),
           [this, Call, Arrived] { apply(Call, Arrived); });
        return Finish(Timeout, RangeOrderOutcome::Unanswered, "");
      }
      const RangeOrderOutcome Answer = apply(Call, Arrived);
      Finish(AnswerLost ? Timeout : delay(),
             AnswerLost ? RangeOrderOutcome::Unanswered : Answer, "state");
    });
  }

  /// What a target does with an order that arrived at \p Arrived.
  auto apply(const RangeOrder &Call, TimePoint Arrived) -> RangeOrderOutcome {
    Target &To = Targets.at(Call.Target.str());
    if (To.Life != Call.StartedAt)
      return RangeOrderOutcome::Refused;
    if (Call.Type == RangeOrder::Kind::Release) {
      for (std::uint32_t Key = Call.From; Key <= Call.To; ++Key)
        To.HeldUntil.erase(Key);
      return RangeOrderOutcome::Accepted;
    }
    for (std::uint32_t Key = Call.From; Key <= Call.To; ++Key)
      if (To.Fences[Key] > Call.Fence)
        return RangeOrderOutcome::Refused;
    const TimePoint End = Arrived + std::chrono::duration_cast<Duration>(
                                        Call.HoldPeriod * To.ClockRate);
    for (std::uint32_t Key = Call.From; Key <= Call.To; ++Key) {
      To.Fences[Key] = Call.Fence;
      To.HeldUntil[Key] = std::max(To.HeldUntil[Key], End);
      std::uint64_t &Highest = HighestFence[Key];
      const auto Holder = Call.Target.str() + "/" + std::to_string(To.Life);
      if (LastHolder[Key] != Holder && Call.Fence <= Highest && End > Now)
        Violation = "key " + std::to_string(Key) + " goes to " + Holder +
                    " with fencing token " + std::to_string(Call.Fence) +
                    " after " + std::to_string(Highest);
      if (End > Now) {
        LastHolder[Key] = Holder;
        Highest = std::max(Highest, Call.Fence);
      }
    }
    return RangeOrderOutcome::Accepted;
  }

  auto check() -> std::optional<std::string> {
    if (Violation)
      return Violation;
    for (std::uint32_t Key = 0; Key < Keys; ++Key) {
      std::string Holder;
      for (const auto &[Id, Each] : Targets) {
        const auto Held = Each.HeldUntil.find(Key);
        if (Held == Each.HeldUntil.end() || Held->second <= Now)
          continue;
        if (!Holder.empty())
          return std::string("key ")
              .append(std::to_string(Key))
              .append(" is held by ")
              .append(Holder)
              .append(" and ")
              .append(Id)
              .append(" at ")
              .append(std::to_string(Now.time_since_epoch().count() / 1000))
              .append(" ms");
        Holder = Id;
      }
    }
    return std::nullopt;
  }

  auto heldKeys() const -> std::uint32_t {
    std::uint32_t Count = 0;
    for (std::uint32_t Key = 0; Key < Keys; ++Key)
      for (const auto &[Id, Each] : Targets) {
        const auto Held = Each.HeldUntil.find(Key);
        if (Held != Each.HeldUntil.end() && Held->second > Now) {
          ++Count;
          break;
        }
      }
    return Count;
  }
  auto countServed() -> void {
    ++Steps;
    Served += heldKeys() / double{Keys};
  }

  auto find(Process &Own) -> std::weak_ptr<Process> {
    for (const auto &Each : Leaders)
      if (Each.get() == &Own)
        return Each;
    return {};
  }
  auto delay() -> Duration {
    return std::chrono::milliseconds(1 + Random.below(30));
  }
  auto at(Duration After, std::function<void()> Run) -> void {
    Events.emplace(Now + After, std::move(Run));
  }
  auto deliver() -> void {
    while (!Events.empty() && Events.begin()->first <= Now) {
      const auto Run = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Run();
    }
  }

  RandomSource Random;
  RangeFaults Faults;
  RangeTimes Times;
  TimePoint Now = TimePoint(std::chrono::seconds(1000));
  std::map<std::string, Target> Targets;
  std::deque<ProcessPtr> Leaders;
  std::multimap<TimePoint, std::function<void()>> Events;
  RangeRecord Recorded;
  std::uint64_t Revision = 0;
  std::map<std::uint32_t, std::uint64_t> HighestFence;
  std::map<std::uint32_t, std::string> LastHolder;
  std::optional<std::string> Violation;
  double Served = 0;
  int Steps = 0;
};

} // namespace buckthornring
