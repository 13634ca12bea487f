#pragma once

#include "EventQueue.h"
#include "buckthornring/Common/Random.h"
#include "buckthornring/Limits/ShareHolder.h"
#include "buckthornring/Limits/ShareLedger.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace buckthornring::testing {

/// Deliberate faults that show that the checks of EscrowSimulation can fail.
enum class EscrowFault {
  None,
  FastHolderClock,  ///< A holder's clock runs 30% fast.
  SlowHolderClock,  ///< A holder's clock runs at half speed.
  NoWaitOnTakeover, ///< A new giver lends at once.
  RepeatedTransfer, ///< A repeated grant counts as a new one.
  InflatedRelease,  ///< A holder gives back more tokens than it had.
  EarlyReclaim,     ///< The giver takes shares back before their lease ends.
  EarlyCredit,      ///< Another giver gets what this one is told to give up.
  NoUseTail,        ///< Units are reclaimed while requests use them.
};

/// One quantity with its giver and holders in virtual time, under lost, late,
/// repeated and reordered messages, pauses, crashes and takeovers.
class EscrowSimulation {
public:
  struct Options {
    ShareKind Kind = ShareKind::Rate;
    EscrowFault Fault = EscrowFault::None;
    bool Faults = true; ///< Message faults, pauses, crashes, takeovers.
    /// The giver's total falls to a third; as soon as effectiveTotal() allows
    /// it, the rest belongs to another data centre.
    bool Shrink = false;
    bool Saturated = false; ///< Every holder has more demand than it may serve.
    Duration Length = std::chrono::seconds(15);
  };

  EscrowSimulation(Options Settings, std::uint64_t Seed)
      : Settings(Settings), Random(Seed), Queue(TimePoint(Duration(0))) {
    const MilliUnits Burst =
        static_cast<MilliUnits>(5 + Random.below(100)) * OneUnit;
    const MilliUnits Rate =
        static_cast<MilliUnits>(20 + Random.below(200)) * OneUnit;
    Total = Settings.Kind == ShareKind::Rate
                ? ShareAmount{Rate, Burst}
                : ShareAmount{0, static_cast<MilliUnits>(1 + Random.below(8)) *
                                     OneUnit};
    startGiver();
    const auto Count = 2 + Random.below(5);
    for (std::uint64_t I = 0; I < Count; ++I)
      addHolder(I);
  }

  /// Runs the schedule. Returns what went wrong, or an empty text.
  auto run() -> std::string {
    for (std::size_t I = 0; I < Holders.size(); ++I)
      step(I);
    if (Settings.Faults)
      scheduleTakeover();
    if (Settings.Shrink)
      Queue.after(std::chrono::milliseconds(2000 + Random.below(8000)),
                  [this] { shrink(); });
    Queue.runUntil(TimePoint(Settings.Length));
    return Failure;
  }

  auto admitted() const -> std::uint64_t { return Admitted; }
  auto worstOvershoot() const -> double { return Overshoot; }

  /// Admissions that the rate allows over the whole run after the first
  /// giver's wait.
  auto possible() const -> double {
    const double Seconds =
        std::chrono::duration<double>(Settings.Length).count() - 1.1;
    return static_cast<double>(Total.Rate) / OneUnit * Seconds;
  }

private:
  // The longest use of a unit; the service's longest deadline.
  static constexpr Duration MaxUse = std::chrono::milliseconds(500);

  struct Member {
    std::unique_ptr<ShareHolder> Holder;
    SkewedClock Clock;
    std::uint64_t Sessions = 1;
    TimePoint PausedUntil = TimePoint::min();
    TimePoint CutUntil = TimePoint::min();    ///< Partitioned from the giver.
    std::vector<std::function<void()>> Inbox; ///< Delivered while paused.
    std::vector<TimePoint> Uses;              ///< Ends of units in use.
    double Demand = 0;                        ///< Attempts per step.
    std::uint64_t Process = 0;                ///< Rises with each crash.
  };
  struct Giver {
    std::unique_ptr<ShareLedger> Ledger;
    SkewedClock Clock;
    std::uint64_t Term = 0;
    bool Lost = false;
  };

  auto randomClock() -> SkewedClock {
    // Two clocks differ by at most 9 in a thousand, below the 1% bound.
    const auto Skew = static_cast<std::int64_t>(Random.below(9001)) - 4500;
    return {Duration(static_cast<std::int64_t>(1'000'000 +
                                               Random.below(1'000'000'000))),
            Skew};
  }

  auto addHolder(std::uint64_t Index) -> void {
    Member New;
    New.Clock = randomClock();
    if (Index == 0 && Settings.Fault == EscrowFault::FastHolderClock)
      New.Clock.RatePerMillion = 300'000;
    if (Index == 0 && Settings.Fault == EscrowFault::SlowHolderClock)
      New.Clock.RatePerMillion = -500'000;
    Holders.push_back(std::move(New));
    startProcess(Index);
  }

  auto startProcess(std::size_t Index) -> void {
    Member &Of = Holders[Index];
    ++Of.Process;
    Of.Sessions += 1000;
    Of.Inbox.clear();
    Of.Holder = std::make_unique<ShareHolder>("h" + std::to_string(Index),
                                              Settings.Kind, Of.Sessions,
                                              Of.Clock.read(Queue.now()));
    Of.Holder->follow(Current.Term);
    Of.Uses.clear();
  }

  auto startGiver() -> void {
    Current.Clock = randomClock();
    ++Current.Term;
    Current.Lost = false;
    ShareLedger::Options Ledger;
    Ledger.Kind = Settings.Kind;
    if (Settings.Kind == ShareKind::Units &&
        Settings.Fault != EscrowFault::NoUseTail)
      Ledger.UseTail = MaxUse;
    if (Settings.Fault == EscrowFault::EarlyReclaim)
      Ledger.LeasePeriod = std::chrono::milliseconds(150);
    const ShareAmount Lent = Shrunk ? Smaller : Total;
    TimePoint Began = Current.Clock.read(Queue.now());
    if (Settings.Fault == EscrowFault::NoWaitOnTakeover && Current.Term > 1)
      Began -= std::chrono::seconds(10);
    Current.Ledger =
        std::make_unique<ShareLedger>(Ledger, Lent, Current.Term, Began);
  }

  auto shrink() -> void {
    Smaller = {Total.Rate / 3, Total.Units / 3};
    Shrunk = true;
    Current.Ledger->setTotal(Smaller, Current.Clock.read(Queue.now()));
    if (Settings.Fault == EscrowFault::EarlyCredit)
      startSecondMeter();
  }

  auto checkCredit() -> void {
    if (!Shrunk || Second.On || Current.Lost)
      return;
    const ShareAmount InForce = Current.Ledger->effectiveTotal();
    if (InForce.Rate <= Smaller.Rate && InForce.Units <= Smaller.Units)
      startSecondMeter();
  }

  auto startSecondMeter() -> void { Second = {true, 0, Queue.now()}; }

  auto scheduleTakeover() -> void {
    const auto Wait = std::chrono::milliseconds(2000 + Random.below(6000));
    Queue.after(Wait, [this] {
      // The old giver has lost its authority; a new one starts at once or
      // after a gap.
      Current.Lost = true;
      Queue.after(std::chrono::milliseconds(Random.below(1200)), [this] {
        startGiver();
        for (std::size_t I = 0; I < Holders.size(); ++I)
          Queue.after(std::chrono::milliseconds(Random.below(300)),
                      [this, I, Term = Current.Term] {
                        Holders[I].Holder->follow(Term);
                      });
        scheduleTakeover();
      });
    });
  }

  auto delay() -> Duration {
    if (Settings.Faults && Random.chance(0.05))
      return std::chrono::milliseconds(Random.below(3000));
    return Duration(static_cast<std::int64_t>(500 + Random.below(2000)));
  }

  /// Delivers a message zero, one or several times.
  auto send(const Member &Between, const std::function<void()> &Deliver)
      -> void {
    if (Queue.now() < Between.CutUntil)
      return;
    if (Settings.Faults && Random.chance(0.1))
      return;
    Queue.after(delay(), Deliver);
    while (Settings.Faults && Random.chance(0.1))
      Queue.after(delay(), Deliver);
  }

  auto report(std::size_t Index) -> void {
    Member &Of = Holders[Index];
    ShareRequest Request = Of.Holder->makeRequest(Of.Clock.read(Queue.now()));
    if (Settings.Fault == EscrowFault::InflatedRelease)
      Request.ReleasedTotal +=
          static_cast<MilliUnits>(Request.Sequence) * 50 * OneUnit;
    send(Of, [this, Index, Request, Process = Of.Process] {
      if (Current.Lost)
        return;
      auto Grant =
          Current.Ledger->handle(Request, Current.Clock.read(Queue.now()));
      if (!Grant)
        return;
      if (Settings.Fault == EscrowFault::EarlyReclaim)
        Grant->LeasePeriod = std::chrono::seconds(1);
      send(Holders[Index], [this, Index, Process, Grant = *Grant] {
        receive(Index, Process, Grant);
      });
    });
  }

  auto receive(std::size_t Index, std::uint64_t Process,
               const ShareGrant &Grant) -> void {
    Member &Of = Holders[Index];
    if (Of.Process != Process)
      return;
    if (Queue.now() < Of.PausedUntil) {
      Of.Inbox.push_back(
          [this, Index, Process, Grant] { receive(Index, Process, Grant); });
      return;
    }
    ShareGrant Applied = Grant;
    if (Settings.Fault == EscrowFault::RepeatedTransfer) {
      RepeatedVersions += 1;
      RepeatedTokens += 2 * OneUnit;
      Applied.Version += RepeatedVersions;
      Applied.GrantedTotal += RepeatedTokens;
      Applied.Share.Units += 2 * OneUnit;
    }
    Of.Holder->apply(Applied, Of.Clock.read(Queue.now()));
  }

  auto step(std::size_t Index) -> void {
    Queue.after(Duration(static_cast<std::int64_t>(2000 + Random.below(6000))),
                [this, Index] { step(Index); });
    Member &Of = Holders[Index];
    if (Queue.now() < Of.PausedUntil)
      return;
    if (Settings.Faults && Random.chance(0.0005))
      startProcess(Index);
    if (Settings.Faults && Random.chance(0.001)) {
      Of.PausedUntil =
          Queue.now() + std::chrono::milliseconds(Random.below(2500));
      return;
    }
    if (Settings.Faults && Random.chance(0.001))
      Of.CutUntil = Queue.now() + std::chrono::milliseconds(Random.below(3000));
    if (Settings.Saturated)
      Of.Demand = 4;
    else if (Random.chance(0.01))
      Of.Demand = Random.chance(0.3) ? 0 : Random.unit() * 4;
    // After a pause the process uses its share before it reads its messages.
    use(Of);
    for (const auto &Deliver : std::exchange(Of.Inbox, {}))
      Deliver();
    if (Of.Holder->reportDue(Of.Clock.read(Queue.now())))
      report(Index);
    Current.Ledger->expire(Current.Clock.read(Queue.now()));
    checkCredit();
  }

  auto use(Member &Of) -> void {
    const TimePoint Own = Of.Clock.read(Queue.now());
    std::erase_if(Of.Uses, [&](TimePoint End) {
      if (End > Queue.now())
        return false;
      Of.Holder->release();
      return true;
    });
    auto Tries = static_cast<std::uint32_t>(Of.Demand + Random.unit());
    std::uint32_t Refused = 0;
    for (; Tries > 0; --Tries) {
      Of.Holder->recordArrival();
      const bool Taken = Settings.Kind == ShareKind::Rate
                             ? Of.Holder->tryTake(Own)
                             : Of.Holder->tryAcquire(Own);
      if (!Taken)
        ++Refused;
      else if (Settings.Kind == ShareKind::Rate)
        countToken();
      else
        countUnit(Of);
    }
    Of.Holder->setWaiting(Refused);
  }

  /// For every window t: admissions <= burst + rate * t. Equivalent: a bucket
  /// that drains with the rate never rises above the burst.
  struct Meter {
    bool On = false;
    double Level = 0;
    TimePoint At{Duration(0)};
  };

  auto countToken() -> void {
    ++Admitted;
    countIn(First, Total);
    if (Second.On)
      countIn(Second, Smaller);
  }

  auto countIn(Meter &Of, const ShareAmount &Limit) -> void {
    const double Elapsed =
        std::chrono::duration<double>(Queue.now() - Of.At).count();
    const double Rate = static_cast<double>(Limit.Rate) / OneUnit;
    Of.Level = std::max(Of.Level - Rate * Elapsed, 0.0) + 1;
    Of.At = Queue.now();
    const double Burst = static_cast<double>(Limit.Units) / OneUnit;
    Overshoot = std::max(Overshoot, Of.Level - Burst);
    // Double rounding over 15 s of virtual time stays far below this.
    if (Of.Level > Burst + 1e-6 && Failure.empty())
      Failure = "admissions above burst + rate * t by " +
                std::to_string(Of.Level - Burst) + " at " +
                std::to_string(Queue.now().time_since_epoch().count()) + " us";
  }

  auto countUnit(Member &Of) -> void {
    ++Admitted;
    const TimePoint End =
        Queue.now() +
        Duration(static_cast<std::int64_t>(
            1 + Random.below(static_cast<std::uint64_t>(MaxUse.count()))));
    Of.Uses.push_back(End);
    // A crashed or paused process's requests run on at the target.
    std::erase_if(Running,
                  [&](TimePoint Until) { return Until <= Queue.now(); });
    Running.push_back(End);
    const auto InUse = static_cast<MilliUnits>(Running.size()) * OneUnit;
    Overshoot =
        std::max(Overshoot, static_cast<double>(InUse - Total.Units) / OneUnit);
    if (InUse > Total.Units && Failure.empty())
      Failure = std::to_string(Running.size()) + " units in use of " +
                std::to_string(Total.Units / OneUnit);
  }

  Options Settings;
  RandomSource Random;
  EventQueue Queue;
  ShareAmount Total;
  std::vector<Member> Holders;
  Giver Current;
  std::uint64_t RepeatedVersions = 0;
  MilliUnits RepeatedTokens = 0;
  std::string Failure;
  std::uint64_t Admitted = 0;
  double Overshoot = -1e9;
  Meter First{true};
  Meter Second;
  bool Shrunk = false;
  ShareAmount Smaller;
  std::vector<TimePoint> Running;
};

} // namespace buckthornring::testing
