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
  NoWaitOnTakeover, ///< A new lender lends at once.
  RepeatedGrant,    ///< A repeated grant counts as a new one.
  InflatedRelease,  ///< A holder returns more tokens than it had.
  EarlyReclaim,     ///< The lender takes shares back before their lease ends.
  EarlyCredit,      ///< Another lender gets what this one has not released yet.
  IgnoreUseDuration, ///< Units are reclaimed while requests use them.
};

/// Simulation of one quantity with its lender and holders in virtual time:
/// messages are lost, delayed, repeated and reordered; processes pause and
/// crash; the lender is replaced.
class EscrowSimulation {
public:
  struct Options {
    ShareKind Kind = ShareKind::Rate;
    EscrowFault Fault = EscrowFault::None;
    bool Faults = true; ///< Message faults, pauses, crashes, lender takeovers.
    /// The lender's total is reduced to a third. As soon as effectiveTotal()
    /// allows it, the rest belongs to another data centre.
    bool ReduceTotal = false;
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
    startLender();
    const auto Count = 2 + Random.below(5);
    for (std::uint64_t I = 0; I < Count; ++I)
      addHolder(I);
  }

  /// Runs the schedule. Returns a description of the failure, or an empty text.
  auto run() -> std::string {
    for (std::size_t I = 0; I < Holders.size(); ++I)
      step(I);
    if (Settings.Faults)
      scheduleTakeover();
    if (Settings.ReduceTotal)
      Queue.after(std::chrono::milliseconds(2000 + Random.below(8000)),
                  [this] { reduceTotal(); });
    Queue.runUntil(TimePoint(Settings.Length));
    return Failure;
  }

  auto admitted() const -> std::uint64_t { return Admitted; }
  auto worstOvershoot() const -> double { return Overshoot; }

  /// Admissions that the rate allows over the whole run after the first
  /// lender's initial wait.
  auto maxAdmissions() const -> double {
    const double Seconds =
        std::chrono::duration<double>(Settings.Length).count() - 1.1;
    return static_cast<double>(Total.Rate) / OneUnit * Seconds;
  }

private:
  // The longest use of a unit, as given by the service's longest deadline.
  static constexpr Duration MaxUse = std::chrono::milliseconds(500);

  struct Member {
    std::unique_ptr<ShareHolder> Holder;
    SkewedClock Clock;
    std::uint64_t FirstSession = 1;
    TimePoint PausedUntil = TimePoint::min();
    /// End of the network partition from the lender.
    TimePoint PartitionedUntil = TimePoint::min();
    std::vector<std::function<void()>> Inbox; ///< Delivered while paused.
    std::vector<TimePoint> UnitsInUseUntil;   ///< End of each use.
    double Demand = 0;                        ///< Attempts per step.
    std::uint64_t ProcessNumber = 0;          ///< Rises with each crash.
  };
  struct Lender {
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
    Member &Self = Holders[Index];
    ++Self.ProcessNumber;
    Self.FirstSession += 1000;
    Self.Inbox.clear();
    Self.Holder = std::make_unique<ShareHolder>(
        "h" + std::to_string(Index), Settings.Kind, Self.FirstSession,
        Self.Clock.read(Queue.now()));
    Self.Holder->follow(Current.Term);
    Self.UnitsInUseUntil.clear();
  }

  auto startLender() -> void {
    Current.Clock = randomClock();
    ++Current.Term;
    Current.Lost = false;
    ShareLedger::Options Ledger;
    Ledger.Kind = Settings.Kind;
    if (Settings.Kind == ShareKind::Units &&
        Settings.Fault != EscrowFault::IgnoreUseDuration)
      Ledger.MaxUseDuration = MaxUse;
    if (Settings.Fault == EscrowFault::EarlyReclaim)
      Ledger.LeasePeriod = std::chrono::milliseconds(150);
    const ShareAmount Lent = TotalReduced ? ReducedTotal : Total;
    TimePoint Began = Current.Clock.read(Queue.now());
    if (Settings.Fault == EscrowFault::NoWaitOnTakeover && Current.Term > 1)
      Began -= std::chrono::seconds(10);
    Current.Ledger =
        std::make_unique<ShareLedger>(Ledger, Lent, Current.Term, Began);
  }

  auto reduceTotal() -> void {
    ReducedTotal = {Total.Rate / 3, Total.Units / 3};
    TotalReduced = true;
    Current.Ledger->setTotal(ReducedTotal, Current.Clock.read(Queue.now()));
    if (Settings.Fault == EscrowFault::EarlyCredit)
      startReducedMeter();
  }

  auto checkCredit() -> void {
    if (!TotalReduced || ReducedTotalMeter.Enabled || Current.Lost)
      return;
    const ShareAmount InForce = Current.Ledger->effectiveTotal();
    if (InForce.Rate <= ReducedTotal.Rate &&
        InForce.Units <= ReducedTotal.Units)
      startReducedMeter();
  }

  auto startReducedMeter() -> void {
    ReducedTotalMeter = {true, 0, Queue.now()};
  }

  auto scheduleTakeover() -> void {
    const auto Wait = std::chrono::milliseconds(2000 + Random.below(6000));
    Queue.after(Wait, [this] {
      // The old lender has lost its authority; a new one starts at once or
      // after a gap.
      Current.Lost = true;
      Queue.after(std::chrono::milliseconds(Random.below(1200)), [this] {
        startLender();
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
  auto send(const Member &Peer, const std::function<void()> &Deliver) -> void {
    if (Queue.now() < Peer.PartitionedUntil)
      return;
    if (Settings.Faults && Random.chance(0.1))
      return;
    Queue.after(delay(), Deliver);
    while (Settings.Faults && Random.chance(0.1))
      Queue.after(delay(), Deliver);
  }

  auto report(std::size_t Index) -> void {
    Member &Self = Holders[Index];
    ShareRequest Request =
        Self.Holder->makeRequest(Self.Clock.read(Queue.now()));
    if (Settings.Fault == EscrowFault::InflatedRelease)
      Request.ReleasedTotal +=
          static_cast<MilliUnits>(Request.Sequence) * 50 * OneUnit;
    send(Self, [this, Index, Request, ProcessNumber = Self.ProcessNumber] {
      if (Current.Lost)
        return;
      auto Grant =
          Current.Ledger->handle(Request, Current.Clock.read(Queue.now()));
      if (!Grant)
        return;
      if (Settings.Fault == EscrowFault::EarlyReclaim)
        Grant->LeasePeriod = std::chrono::seconds(1);
      send(Holders[Index], [this, Index, ProcessNumber, Grant = *Grant] {
        receive(Index, ProcessNumber, Grant);
      });
    });
  }

  auto receive(std::size_t Index, std::uint64_t ProcessNumber,
               const ShareGrant &Grant) -> void {
    Member &Self = Holders[Index];
    if (Self.ProcessNumber != ProcessNumber)
      return;
    if (Queue.now() < Self.PausedUntil) {
      Self.Inbox.push_back([this, Index, ProcessNumber, Grant] {
        receive(Index, ProcessNumber, Grant);
      });
      return;
    }
    ShareGrant Applied = Grant;
    if (Settings.Fault == EscrowFault::RepeatedGrant) {
      RepeatedVersions += 1;
      RepeatedTokens += 2 * OneUnit;
      Applied.Version += RepeatedVersions;
      Applied.GrantedTotal += RepeatedTokens;
      Applied.Share.Units += 2 * OneUnit;
    }
    Self.Holder->apply(Applied, Self.Clock.read(Queue.now()));
  }

  auto step(std::size_t Index) -> void {
    Queue.after(Duration(static_cast<std::int64_t>(2000 + Random.below(6000))),
                [this, Index] { step(Index); });
    Member &Self = Holders[Index];
    if (Queue.now() < Self.PausedUntil)
      return;
    if (Settings.Faults && Random.chance(0.0005))
      startProcess(Index);
    if (Settings.Faults && Random.chance(0.001)) {
      Self.PausedUntil =
          Queue.now() + std::chrono::milliseconds(Random.below(2500));
      return;
    }
    if (Settings.Faults && Random.chance(0.001))
      Self.PartitionedUntil =
          Queue.now() + std::chrono::milliseconds(Random.below(3000));
    if (Settings.Saturated)
      Self.Demand = 4;
    else if (Random.chance(0.01))
      Self.Demand = Random.chance(0.3) ? 0 : Random.unit() * 4;
    // After a pause the process uses its share before it reads its messages.
    use(Self);
    for (const auto &Deliver : std::exchange(Self.Inbox, {}))
      Deliver();
    if (Self.Holder->reportDue(Self.Clock.read(Queue.now())))
      report(Index);
    Current.Ledger->expire(Current.Clock.read(Queue.now()));
    checkCredit();
  }

  auto use(Member &Self) -> void {
    const TimePoint LocalNow = Self.Clock.read(Queue.now());
    std::erase_if(Self.UnitsInUseUntil, [&](TimePoint End) {
      if (End > Queue.now())
        return false;
      Self.Holder->release();
      return true;
    });
    auto Attempts = static_cast<std::uint32_t>(Self.Demand + Random.unit());
    std::uint32_t Refused = 0;
    for (; Attempts > 0; --Attempts) {
      Self.Holder->recordArrival();
      const bool Taken = Settings.Kind == ShareKind::Rate
                             ? Self.Holder->tryTake(LocalNow)
                             : Self.Holder->tryAcquire(LocalNow);
      if (!Taken)
        ++Refused;
      else if (Settings.Kind == ShareKind::Rate)
        countToken();
      else
        countUnit(Self);
    }
    Self.Holder->setWaiting(Refused);
  }

  /// Checks admissions <= burst + rate * t for every window t. Equivalent: a
  /// bucket that drains with the rate never rises above the burst.
  struct Meter {
    bool Enabled = false;
    double Level = 0;
    TimePoint UpdatedAt{Duration(0)};
  };

  auto countToken() -> void {
    ++Admitted;
    countAdmission(TotalMeter, Total);
    if (ReducedTotalMeter.Enabled)
      countAdmission(ReducedTotalMeter, ReducedTotal);
  }

  auto countAdmission(Meter &Counted, const ShareAmount &Limit) -> void {
    const double Elapsed =
        std::chrono::duration<double>(Queue.now() - Counted.UpdatedAt).count();
    const double Rate = static_cast<double>(Limit.Rate) / OneUnit;
    Counted.Level = std::max(Counted.Level - Rate * Elapsed, 0.0) + 1;
    Counted.UpdatedAt = Queue.now();
    const double Burst = static_cast<double>(Limit.Units) / OneUnit;
    Overshoot = std::max(Overshoot, Counted.Level - Burst);
    // Floating-point errors over 15 s of virtual time stay far below this.
    if (Counted.Level > Burst + 1e-6 && Failure.empty())
      Failure = "admissions above burst + rate * t by " +
                std::to_string(Counted.Level - Burst) + " at " +
                std::to_string(Queue.now().time_since_epoch().count()) + " us";
  }

  auto countUnit(Member &Self) -> void {
    ++Admitted;
    const TimePoint End =
        Queue.now() +
        Duration(static_cast<std::int64_t>(
            1 + Random.below(static_cast<std::uint64_t>(MaxUse.count()))));
    Self.UnitsInUseUntil.push_back(End);
    // The requests of a crashed or paused process continue at the target.
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
  Lender Current;
  std::uint64_t RepeatedVersions = 0;
  MilliUnits RepeatedTokens = 0;
  std::string Failure;
  std::uint64_t Admitted = 0;
  double Overshoot = -1e9;
  Meter TotalMeter{true};
  Meter ReducedTotalMeter;
  bool TotalReduced = false;
  ShareAmount ReducedTotal;
  std::vector<TimePoint> Running;
};

} // namespace buckthornring::testing
