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

/// How the holders enforce a cold target's allowance.
enum class ColdStartPolicy {
  Escrow,         ///< Shares per start identifier (the production code).
  LocalRamp,      ///< Baseline: each holder ramps up by its own observation.
  StaticDivision, ///< Baseline: each holder may always use its part, at
                  ///< least 1.
  KeepShare,      ///< Deliberate fault: a share outlives the target's restart.
  TrustThreads,   ///< Deliberate fault: the leader takes the start identifier
                  ///< from messages of threads, which may be late.
  NoWait,         ///< Deliberate fault: a new leader lends at once.
};

/// Simulation of one target that restarts without warning, its leader and its
/// holders.
class ColdStartSimulation {
public:
  ColdStartSimulation(ColdStartPolicy Policy, std::uint64_t Seed)
      : Policy(Policy), Random(Seed), Queue(TimePoint(Duration(0))) {
    const auto Count = 3 + Random.below(9);
    for (std::uint64_t I = 0; I < Count; ++I) {
      Holder New{AllowanceBorrower("h" + std::to_string(I), 1)};
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

  struct RunningRequest {
    TimePoint End;
    AllowanceBorrower::Unit Unit = 0;
  };
  struct Holder {
    AllowanceBorrower Borrower;
    SkewedClock Clock{};
    /// Target start that its connection leads to, 0 for none.
    std::uint64_t ConnectedStart = 0;
    std::optional<ColdStartRamp> OwnRamp{};
    std::vector<RunningRequest> OwnRequests{};
  };
  struct Leader {
    SkewedClock Clock;
    std::uint64_t Term = 0;
    bool Lost = false;
    std::uint64_t Polls = 0;
    std::uint64_t LastPoll = 0;
    std::unique_ptr<AllowanceLender> Lender;
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
    AllowanceLender::Options Settings;
    Settings.WarmUnits = Slots;
    Settings.MaxUseDuration = MaxUse;
    Current.Lender =
        std::make_unique<AllowanceLender>(Settings, Current.Term, Began);
    for (Holder &Each : Holders)
      Each.Borrower.follow(Current.Term);
    poll(Current.Term);
  }

  auto poll(std::uint64_t Term) -> void {
    if (Current.Term != Term || Current.Lost)
      return;
    pollOnce();
    Queue.after(std::chrono::milliseconds(200), [this, Term] { poll(Term); });
  }

  /// Polls the target's health. A late response to an earlier poll is ignored,
  /// because its connection was closed.
  auto pollOnce() -> void {
    const std::uint64_t Number = ++Current.Polls;
    const std::uint64_t PolledStart = TargetStart;
    const Duration Uptime = Queue.now() - StartedAt;
    Queue.after(delay(), [this, Term = Current.Term, Number, PolledStart,
                          Uptime] {
      if (Current.Term != Term || Number < Current.LastPoll)
        return;
      Current.LastPoll = Number;
      Current.Lender->ramp().onHealthReport(std::to_string(PolledStart), Uptime,
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
      ++TargetStart;
      StartedAt = Queue.now();
      Running.clear();
      scheduleRestart();
    });
  }

  /// Number of requests that the target can handle: 1 at its start, all slots
  /// after the ramp.
  auto trueAllowance() const -> std::size_t {
    const Duration Uptime = std::min<Duration>(Queue.now() - StartedAt, Ramp);
    return 1 + static_cast<std::size_t>((Slots - 1) * Uptime / Ramp);
  }

  auto step(std::size_t Index) -> void {
    Queue.after(Duration(static_cast<std::int64_t>(4000 + Random.below(8000))),
                [this, Index] { step(Index); });
    Holder &Self = Holders[Index];
    std::erase_if(Self.OwnRequests, [&](const RunningRequest &Each) {
      if (Each.End > Queue.now())
        return false;
      Self.Borrower.release(Each.Unit);
      if (Self.OwnRamp)
        Self.OwnRamp->onResponse(MaxUse / 2, Self.Clock.read(Queue.now()));
      return true;
    });
    if (Self.ConnectedStart == 0) {
      connect(Self);
      return;
    }
    const std::uint64_t Wanted = Random.below(3);
    std::uint32_t Waiting = 0;
    for (std::uint64_t I = 0; I < Wanted; ++I)
      if (!trySend(Self))
        ++Waiting;
    ShareHolder *Share = Self.Borrower.share();
    if (Share == nullptr || Self.ConnectedStart == 0)
      return;
    Share->setWaiting(Waiting);
    if (Share->reportDue(Self.Clock.read(Queue.now())))
      report(Index);
  }

  /// Opens a connection and reads the start identifier on it.
  auto connect(Holder &Self) -> void {
    Self.ConnectedStart = TargetStart;
    const TimePoint LocalNow = Self.Clock.read(Queue.now());
    if (Policy == ColdStartPolicy::LocalRamp) {
      if (!Self.OwnRamp)
        Self.OwnRamp.emplace(ColdStartRamp::Options(), LocalNow);
      Self.OwnRamp->onHealthReport(std::to_string(TargetStart), std::nullopt,
                                   LocalNow);
      return;
    }
    if (Policy == ColdStartPolicy::StaticDivision)
      return;
    const bool Keep = Policy == ColdStartPolicy::KeepShare &&
                      !Self.Borrower.startId().empty();
    Self.Borrower.onConnected(
        Keep ? Self.Borrower.startId() : std::to_string(TargetStart), LocalNow);
  }

  auto acquire(Holder &Self) -> std::optional<AllowanceBorrower::Unit> {
    const TimePoint LocalNow = Self.Clock.read(Queue.now());
    std::size_t Limit = 0;
    if (Policy == ColdStartPolicy::LocalRamp)
      Limit = Self.OwnRamp->allowance(LocalNow);
    else if (Policy == ColdStartPolicy::StaticDivision)
      Limit = std::max<std::size_t>(Slots / Holders.size(), 1);
    else
      return Self.Borrower.tryAcquire(LocalNow);
    return Self.OwnRequests.size() < Limit
               ? std::optional<AllowanceBorrower::Unit>(0)
               : std::nullopt;
  }

  auto trySend(Holder &Self) -> bool {
    const auto Unit = Self.ConnectedStart == 0 ? std::nullopt : acquire(Self);
    if (!Unit)
      return false;
    if (Self.ConnectedStart != TargetStart) {
      // The connection broke with the restart; the target received no request.
      Self.ConnectedStart = 0;
      Self.Borrower.release(*Unit);
      Self.Borrower.onConnectionLost();
      return false;
    }
    const TimePoint End =
        Queue.now() + Duration(static_cast<std::int64_t>(
                          1000 + Random.below(MaxUse.count() - 1000)));
    ++Sent;
    Self.OwnRequests.push_back({End, *Unit});
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
    Holder &Self = Holders[Index];
    const auto Request =
        Self.Borrower.share()->makeRequest(Self.Clock.read(Queue.now()));
    if (Random.chance(0.05))
      return;
    Queue.after(delay(), [this, Index, Request,
                          ReportedStart = Self.Borrower.startId()] {
      if (Current.Lost)
        return;
      if (Policy == ColdStartPolicy::TrustThreads)
        Current.Lender->ramp().onHealthReport(ReportedStart, std::nullopt,
                                              Current.Clock.read(Queue.now()));
      const auto Grant = Current.Lender->handle(
          ReportedStart, Request, Current.Clock.read(Queue.now()));
      if (Current.Lender->takePollNeeded())
        pollOnce();
      if (!Grant || Random.chance(0.05))
        return;
      Queue.after(delay(), [this, Index, Grant = *Grant] {
        Holder &Receiver = Holders[Index];
        Receiver.Borrower.share()->apply(Grant,
                                         Receiver.Clock.read(Queue.now()));
      });
    });
  }

  ColdStartPolicy Policy;
  RandomSource Random;
  EventQueue Queue;
  std::vector<Holder> Holders;
  Leader Current;
  std::uint64_t TargetStart = 1;
  TimePoint StartedAt;
  std::vector<TimePoint> Running;
  std::string Failure;
  std::uint64_t Overloads = 0;
  std::uint64_t Sent = 0;
};

} // namespace buckthornring::testing
