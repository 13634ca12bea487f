#pragma once

#include "EventQueue.h"
#include "buckthornring/Common/Random.h"
#include "buckthornring/Limits/ShareHolder.h"
#include "buckthornring/Limits/ShareLedger.h"
#include "buckthornring/Routing/ColdStartRamp.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring::testing {

/// How the holders respect a cold target's allowance.
enum class ColdPolicy {
  Escrow,         ///< Shares per start identifier (the one in use).
  LocalRamp,      ///< Baseline: each holder ramps up by its own observation.
  StaticDivision, ///< Baseline: each holder may always use its part, at
                  ///< least 1.
  KeepShare,      ///< Deliberate fault: a share outlives the target's restart.
  NoWait,         ///< Deliberate fault: a new leader lends at once.
};

/// One target that restarts without warning, its leader and its holders.
class ColdWorld {
public:
  ColdWorld(ColdPolicy Policy, std::uint64_t Seed)
      : Policy(Policy), Random(Seed), Queue(TimePoint(Duration(0))) {
    const auto Count = 3 + Random.below(9);
    for (std::uint64_t I = 0; I < Count; ++I) {
      Holder New;
      New.Clock = randomClock();
      Holders.push_back(std::move(New));
    }
    StartedAt = Queue.now();
    startLeader();
  }

  auto run() -> std::string {
    for (std::size_t I = 0; I < Holders.size(); ++I)
      step(I);
    scheduleRestart();
    scheduleTakeover();
    Queue.runUntil(TimePoint(std::chrono::seconds(24)));
    return Failure;
  }

  auto overloads() const -> std::uint64_t { return Overloads; }
  auto sent() const -> std::uint64_t { return Sent; }

private:
  static constexpr std::uint32_t Slots = 4;
  static constexpr Duration Ramp = std::chrono::seconds(10);
  static constexpr Duration MaxUse = std::chrono::milliseconds(300);

  struct Holder {
    SkewedClock Clock;
    std::uint64_t Connected = 0; ///< Start that its connection leads to.
    std::uint64_t ShareOf = 0;   ///< Start that its share is for.
    std::unique_ptr<ShareHolder> Share;
    std::optional<ColdStartRamp> Local;
    std::uint64_t Session = 1;
    std::vector<TimePoint> Uses;
  };
  struct Leader {
    SkewedClock Clock;
    std::uint64_t Term = 0;
    bool Lost = false;
    TimePoint Began;
    std::unique_ptr<ColdStartRamp> Ramp;
    std::map<std::uint64_t, std::unique_ptr<ShareLedger>> Ledgers;
  };

  auto randomClock() -> SkewedClock {
    const auto Skew = static_cast<std::int64_t>(Random.below(9001)) - 4500;
    return {Duration(static_cast<std::int64_t>(1'000'000 +
                                               Random.below(1'000'000'000))),
            Skew};
  }

  auto startLeader() -> void {
    Current.Clock = randomClock();
    ++Current.Term;
    Current.Lost = false;
    Current.Began = Current.Clock.read(Queue.now());
    if (Policy == ColdPolicy::NoWait)
      Current.Began -= std::chrono::seconds(10);
    Current.Ramp = std::make_unique<ColdStartRamp>(
        ColdStartRamp::Options(), Current.Clock.read(Queue.now()));
    Current.Ledgers.clear();
  }

  auto scheduleTakeover() -> void {
    Queue.after(std::chrono::milliseconds(3000 + Random.below(15000)), [this] {
      Current.Lost = true;
      Queue.after(std::chrono::milliseconds(Random.below(1000)), [this] {
        startLeader();
        for (Holder &Each : Holders)
          if (Each.Share)
            Each.Share->follow(Current.Term);
        scheduleTakeover();
      });
    });
  }

  auto scheduleRestart() -> void {
    Queue.after(std::chrono::milliseconds(500 + Random.below(15000)), [this] {
      ++Start;
      StartedAt = Queue.now();
      Running.clear();
      scheduleRestart();
    });
  }

  /// What the target can handle: 1 at its start, all slots after the ramp.
  auto trueAllowance() const -> std::size_t {
    const Duration Up = std::min<Duration>(Queue.now() - StartedAt, Ramp);
    return 1 + static_cast<std::size_t>((Slots - 1) * Up / Ramp);
  }

  auto step(std::size_t Index) -> void {
    Queue.after(Duration(static_cast<std::int64_t>(4000 + Random.below(8000))),
                [this, Index] { step(Index); });
    Holder &Of = Holders[Index];
    std::erase_if(Of.Uses, [&](TimePoint End) {
      if (End > Queue.now())
        return false;
      if (Of.Share)
        Of.Share->release();
      const TimePoint Own = Of.Clock.read(Queue.now());
      if (Of.Local)
        Of.Local->answered(MaxUse / 2, Own);
      return true;
    });
    if (Of.Connected == 0) {
      connect(Of);
      return;
    }
    const std::uint64_t Wanted = Random.below(3);
    std::uint32_t Waiting = 0;
    for (std::uint64_t I = 0; I < Wanted; ++I)
      if (!trySend(Of))
        ++Waiting;
    if (!Of.Share || Of.Connected == 0)
      return;
    Of.Share->setWaiting(Waiting);
    if (Of.Share->reportDue(Of.Clock.read(Queue.now())))
      report(Index);
  }

  /// Opens a connection and reads the start identifier on it.
  auto connect(Holder &Of) -> void {
    Of.Connected = Start;
    const TimePoint Own = Of.Clock.read(Queue.now());
    if (Policy == ColdPolicy::LocalRamp) {
      if (!Of.Local)
        Of.Local.emplace(ColdStartRamp::Options(), Own);
      Of.Local->reported(std::to_string(Start), std::nullopt, Own);
      return;
    }
    if (Policy == ColdPolicy::StaticDivision)
      return;
    if (Of.Share && (Of.ShareOf == Start || Policy == ColdPolicy::KeepShare))
      return;
    Of.ShareOf = Start;
    Of.Session += 1000;
    Of.Share = std::make_unique<ShareHolder>(
        "h" + std::to_string(&Of - Holders.data()), ShareKind::Units,
        Of.Session, Own);
    Of.Share->follow(Current.Term);
    Of.Uses.clear();
  }

  auto mayUse(Holder &Of) -> bool {
    const TimePoint Own = Of.Clock.read(Queue.now());
    if (Policy == ColdPolicy::LocalRamp)
      return Of.Uses.size() < Of.Local->allowance(Own);
    if (Policy == ColdPolicy::StaticDivision)
      return Of.Uses.size() < std::max<std::size_t>(Slots / Holders.size(), 1);
    return Of.Share->tryAcquire(Own);
  }

  auto trySend(Holder &Of) -> bool {
    if (Of.Connected == 0 || !mayUse(Of))
      return false;
    const TimePoint End =
        Queue.now() + Duration(static_cast<std::int64_t>(
                          1000 + Random.below(MaxUse.count() - 1000)));
    if (Of.Connected != Start) {
      // The connection broke with the restart; the target got nothing.
      Of.Connected = 0;
      if (Of.Share)
        Of.Share->release();
      return false;
    }
    ++Sent;
    Of.Uses.push_back(End);
    std::erase_if(Running,
                  [&](TimePoint Until) { return Until <= Queue.now(); });
    Running.push_back(End);
    if (Running.size() <= trueAllowance())
      return true;
    ++Overloads;
    if (Failure.empty())
      Failure = std::to_string(Running.size()) + " requests on a target with " +
                "an allowance of " + std::to_string(trueAllowance());
    return true;
  }

  auto delay() -> Duration {
    if (Random.chance(0.03))
      return std::chrono::milliseconds(Random.below(2000));
    return Duration(static_cast<std::int64_t>(500 + Random.below(1500)));
  }

  auto report(std::size_t Index) -> void {
    Holder &Of = Holders[Index];
    const auto Request = Of.Share->makeRequest(Of.Clock.read(Queue.now()));
    if (Random.chance(0.05))
      return;
    Queue.after(delay(), [this, Index, Request, About = Of.ShareOf] {
      if (Current.Lost)
        return;
      const auto Grant = handle(Request, About);
      if (!Grant || Random.chance(0.05))
        return;
      Queue.after(delay(), [this, Index, Grant = *Grant] {
        Holder &To = Holders[Index];
        To.Share->apply(Grant, To.Clock.read(Queue.now()));
      });
    });
  }

  auto handle(const ShareRequest &Request, std::uint64_t About)
      -> std::optional<ShareGrant> {
    const TimePoint Own = Current.Clock.read(Queue.now());
    const auto Uptime = Queue.now() - StartedAt;
    Current.Ramp->reported(
        std::to_string(About),
        About == Start ? std::optional<Duration>(Uptime) : std::nullopt, Own);
    auto &Ledger = Current.Ledgers[About];
    if (!Ledger) {
      ShareLedger::Options Settings;
      Settings.Kind = ShareKind::Units;
      Settings.UseTail = MaxUse;
      Ledger = std::make_unique<ShareLedger>(Settings, ShareAmount{},
                                             Current.Term, Current.Began);
    }
    Ledger->setTotal(
        {0, static_cast<MilliUnits>(Current.Ramp->allowance(Own)) * OneUnit},
        Own);
    return Ledger->handle(Request, Own);
  }

  ColdPolicy Policy;
  RandomSource Random;
  EventQueue Queue;
  std::vector<Holder> Holders;
  Leader Current;
  std::uint64_t Start = 1;
  TimePoint StartedAt;
  std::vector<TimePoint> Running;
  std::string Failure;
  std::uint64_t Overloads = 0;
  std::uint64_t Sent = 0;
};

} // namespace buckthornring::testing
