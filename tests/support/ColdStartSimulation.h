#pragma once

#include "EventQueue.h"
#include "buckthornring/Common/Random.h"
#include "buckthornring/Limits/AllowanceBorrower.h"
#include "buckthornring/Limits/AllowanceLender.h"
#include "buckthornring/Routing/ColdStartRamp.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring::testing {

/// How the holders respect a cold target's allowance.
enum class ColdStartPolicy {
  Escrow,         ///< Shares per start identifier (the one in use).
  LocalRamp,      ///< Baseline: each holder ramps up by its own observation.
  StaticDivision, ///< Baseline: each holder may always use its part, at
                  ///< least 1.
  KeepShare,      ///< Deliberate fault: a share outlives the target's restart.
  TrustThreads,   ///< Deliberate fault: late messages name the target's start.
  NoWait,         ///< Deliberate fault: a new leader lends at once.
};

/// One target that restarts without warning, its leader and its holders.
class ColdStartSimulation {
public:
  ColdStartSimulation(ColdStartPolicy Policy, std::uint64_t Seed)
      : Policy(Policy), Random(Seed), Queue(TimePoint(Duration(0))) {
    const auto Count = 3 + Random.below(9);
    for (std::uint64_t I = 0; I < Count; ++I) {
      Holder New{AllowanceTaker("h" + std::to_string(I), 1)};
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
    Queue.runUntil(TimePoint(std::chrono::seconds(18)));
    return Failure;
  }

  auto overloads() const -> std::uint64_t { return Overloads; }
  auto sent() const -> std::uint64_t { return Sent; }

private:
  static constexpr std::uint32_t Slots = 4;
  static constexpr Duration Ramp = std::chrono::seconds(10);
  static constexpr Duration MaxUse = std::chrono::milliseconds(300);

  struct Use {
    TimePoint End;
    AllowanceTaker::Unit Unit = 0;
  };
  struct Holder {
    AllowanceTaker Share;
    SkewedClock Clock{};
    std::uint64_t Connected = 0; ///< Start that its connection leads to.
    std::optional<ColdStartRamp> Local{};
    std::vector<Use> Uses{};
  };
  struct Leader {
    SkewedClock Clock;
    std::uint64_t Term = 0;
    bool Lost = false;
    std::uint64_t Polls = 0;
    std::uint64_t LastPoll = 0;
    std::unique_ptr<AllowanceGiver> Giver;
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
    Current.Polls = Current.LastPoll = 0;
    TimePoint Began = Current.Clock.read(Queue.now());
    if (Policy == ColdStartPolicy::NoWait)
      Began -= std::chrono::seconds(10);
    AllowanceGiver::Options Settings;
    Settings.WarmUnits = Slots;
    Settings.UseTail = MaxUse;
    Current.Giver =
        std::make_unique<AllowanceGiver>(Settings, Current.Term, Began);
    for (Holder &Each : Holders)
      Each.Share.follow(Current.Term);
    poll(Current.Term);
  }

  auto poll(std::uint64_t Term) -> void {
    if (Current.Term != Term || Current.Lost)
      return;
    pollOnce();
    Queue.after(std::chrono::milliseconds(200), [this, Term] { poll(Term); });
  }

  /// Asks for the target's health. A late answer to an earlier poll is not
  /// read, because its connection was closed.
  auto pollOnce() -> void {
    const std::uint64_t Number = ++Current.Polls;
    const std::uint64_t About = Start;
    const Duration Uptime = Queue.now() - StartedAt;
    Queue.after(delay(), [this, Term = Current.Term, Number, About, Uptime] {
      if (Current.Term != Term || Number < Current.LastPoll)
        return;
      Current.LastPoll = Number;
      Current.Giver->ramp().onHealthReport(std::to_string(About), Uptime,
                                           Current.Clock.read(Queue.now()));
    });
  }

  auto scheduleTakeover() -> void {
    Queue.after(std::chrono::milliseconds(3000 + Random.below(15000)), [this] {
      Current.Lost = true;
      Queue.after(std::chrono::milliseconds(Random.below(1000)), [this] {
        startLeader();
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
    std::erase_if(Of.Uses, [&](const Use &Each) {
      if (Each.End > Queue.now())
        return false;
      Of.Share.release(Each.Unit);
      if (Of.Local)
        Of.Local->onResponse(MaxUse / 2, Of.Clock.read(Queue.now()));
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
    ShareHolder *Share = Of.Share.share();
    if (Share == nullptr || Of.Connected == 0)
      return;
    Share->setWaiting(Waiting);
    if (Share->reportDue(Of.Clock.read(Queue.now())))
      report(Index);
  }

  /// Opens a connection and reads the start identifier on it.
  auto connect(Holder &Of) -> void {
    Of.Connected = Start;
    const TimePoint Own = Of.Clock.read(Queue.now());
    if (Policy == ColdStartPolicy::LocalRamp) {
      if (!Of.Local)
        Of.Local.emplace(ColdStartRamp::Options(), Own);
      Of.Local->onHealthReport(std::to_string(Start), std::nullopt, Own);
      return;
    }
    if (Policy == ColdStartPolicy::StaticDivision)
      return;
    const bool Keep =
        Policy == ColdStartPolicy::KeepShare && !Of.Share.startId().empty();
    Of.Share.connected(Keep ? Of.Share.startId() : std::to_string(Start), Own);
  }

  auto acquire(Holder &Of) -> std::optional<AllowanceTaker::Unit> {
    const TimePoint Own = Of.Clock.read(Queue.now());
    std::size_t Limit = 0;
    if (Policy == ColdStartPolicy::LocalRamp)
      Limit = Of.Local->allowance(Own);
    else if (Policy == ColdStartPolicy::StaticDivision)
      Limit = std::max<std::size_t>(Slots / Holders.size(), 1);
    else
      return Of.Share.tryAcquire(Own);
    return Of.Uses.size() < Limit ? std::optional<AllowanceTaker::Unit>(0)
                                  : std::nullopt;
  }

  auto trySend(Holder &Of) -> bool {
    const auto Unit = Of.Connected == 0 ? std::nullopt : acquire(Of);
    if (!Unit)
      return false;
    if (Of.Connected != Start) {
      // The connection broke with the restart; the target got nothing.
      Of.Connected = 0;
      Of.Share.release(*Unit);
      Of.Share.connectionLost();
      return false;
    }
    const TimePoint End =
        Queue.now() + Duration(static_cast<std::int64_t>(
                          1000 + Random.below(MaxUse.count() - 1000)));
    ++Sent;
    Of.Uses.push_back({End, *Unit});
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
    const auto Request =
        Of.Share.share()->makeRequest(Of.Clock.read(Queue.now()));
    if (Random.chance(0.05))
      return;
    Queue.after(delay(), [this, Index, Request, About = Of.Share.startId()] {
      if (Current.Lost)
        return;
      if (Policy == ColdStartPolicy::TrustThreads)
        Current.Giver->ramp().onHealthReport(About, std::nullopt,
                                             Current.Clock.read(Queue.now()));
      const auto Grant = Current.Giver->handle(About, Request,
                                               Current.Clock.read(Queue.now()));
      if (Current.Giver->takePollWanted())
        pollOnce();
      if (!Grant || Random.chance(0.05))
        return;
      Queue.after(delay(), [this, Index, Grant = *Grant] {
        Holder &To = Holders[Index];
        To.Share.share()->apply(Grant, To.Clock.read(Queue.now()));
      });
    });
  }

  ColdStartPolicy Policy;
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
