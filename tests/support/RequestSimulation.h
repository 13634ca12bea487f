#pragma once

#include "EventQueue.h"
#include "buckthornring/Attempt/Attempt.h"
#include "buckthornring/Attempt/ConnectionPolicy.h"
#include "buckthornring/Attempt/HedgePolicy.h"
#include "buckthornring/Attempt/RetryBudget.h"
#include "buckthornring/Common/Random.h"
#include "buckthornring/Routing/LatencyTracker.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring::testing {

/// Deliberate faults that show that the checks of RequestSimulation can fail.
enum class RequestFault {
  None,
  RetryAlways,      ///< Repeats a request that the attempt says to refuse.
  RecordPerAttempt, ///< "not-run" covers the last attempt only.
  ReuseAbandoned,   ///< Keeps connections with unfinished exchanges.
  LateWriteStart,   ///< Reports the start of a write after the write.
};

/// Simulation in virtual time of requests over unreliable connections to
/// unreliable targets. Connections break in every phase, hang and deliver late;
/// targets freeze, refuse and respond late; callers leave and deadlines pass.
class RequestSimulation {
public:
  struct Counts {
    std::uint64_t Requests = 0;
    std::uint64_t RanTwice = 0;
    std::uint64_t FalseNotRun = 0;
    std::uint64_t MismatchedResponses = 0;
    std::uint64_t Unsettled = 0;    ///< Requests without an outcome.
    std::uint64_t SettledTwice = 0; ///< Requests with two outcomes.
    std::uint64_t Answered = 0;
    std::uint64_t Retries = 0;
    std::uint64_t Hedges = 0;
    std::uint64_t RefusedNotRun = 0;
    std::uint64_t RefusedUnknown = 0;
    std::uint64_t Aborted = 0;
  };

  RequestSimulation(RequestFault Fault, std::uint64_t Seed,
                    std::uint64_t RequestCount = 60)
      : Fault(Fault), Random(Seed), RequestCount(RequestCount),
        Queue(TimePoint(std::chrono::seconds(1000))), Pools(Targets) {
    FaultRate = Random.unit() * 0.3;
  }

  RequestSimulation(const RequestSimulation &) = delete;
  auto operator=(const RequestSimulation &) -> RequestSimulation & = delete;

  // Breaks the reference cycle between requests and their attempts.
  ~RequestSimulation() {
    for (const auto &Each : Requests)
      Each->Attempts.clear();
  }

  auto run() -> Counts {
    for (std::uint64_t I = 0; I < RequestCount; ++I)
      Queue.after(millis(2000), [this] { startRequest(); });
    Queue.runUntil(Queue.now() + std::chrono::seconds(20));
    for (const auto &Each : Requests)
      checkOutcome(*Each);
    return Result;
  }

  static auto failure(const Counts &Totals) -> std::string {
    std::string Text;
    const auto Note = [&](const char *Name, std::uint64_t Value) {
      if (Value > 0)
        Text += std::string(Name) + "=" + std::to_string(Value) + " ";
    };
    Note("runs.twice", Totals.RanTwice);
    Note("not_run.false", Totals.FalseNotRun);
    Note("answers.wrong", Totals.MismatchedResponses);
    Note("unsettled", Totals.Unsettled);
    Note("settled_twice", Totals.SettledTwice);
    return Text;
  }

private:
  static constexpr std::size_t Targets = 3;

  struct Exchange;
  struct Connection {
    std::size_t Target = 0;
    bool Open = true;
    bool Silent = false; ///< A middlebox dropped the connection's state.
    ConnectionState State;
    std::weak_ptr<Exchange> Reader; ///< Receives whatever arrives.
  };
  struct Request {
    explicit Request(bool Idempotent) : Record(Idempotent) {}
    RunRecord Record;
    std::vector<std::unique_ptr<RunRecord>> SeparateRecords;
    std::uint64_t Id = 0;
    TimePoint Deadline;
    std::uint32_t Runs = 0;
    std::uint32_t Outcomes = 0;
    bool CallerGone = false;
    bool SaidNotRun = false;
    std::vector<std::shared_ptr<Exchange>> Attempts;
  };
  struct Exchange {
    std::shared_ptr<Request> Owner;
    std::unique_ptr<Attempt> Machine;
    std::shared_ptr<Connection> Link;
    TimePoint StartedAt;
    std::uint64_t ResponseId = 0;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;
  using ConnectionPtr = std::shared_ptr<Connection>;

  auto millis(std::uint64_t Bound) -> Duration {
    return Duration(static_cast<std::int64_t>(Random.below(Bound * 1000)));
  }
  auto fault(double Weight = 1) -> bool {
    return Random.chance(FaultRate * Weight);
  }

  auto startRequest() -> void {
    auto New = std::make_shared<Request>(Random.chance(0.5));
    New->Id = Requests.size() + 1;
    New->Deadline = Queue.now() + std::chrono::milliseconds(100) + millis(900);
    Requests.push_back(New);
    Budget.recordRequest(Queue.now());
    Hedging.recordRequest(Queue.now());
    Queue.at(New->Deadline, [this, New] {
      forEachAttempt(
          New, [](Attempt &Machine) { return Machine.deadlineReached(); });
      if (New->Outcomes == 0 && !New->CallerGone)
        refuse(New, New->Record.mayHaveRun() ? RunStatus::Unknown
                                             : RunStatus::NotRun);
    });
    if (fault(0.3))
      Queue.after(millis(500), [this, New] {
        New->CallerGone = true;
        forEachAttempt(New,
                       [](Attempt &Machine) { return Machine.callerGone(); });
      });
    startAttempt(New);
    if (const auto Delay = Hedging.delay(New->Record, Latency.latencyP95()))
      Queue.after(*Delay, [this, New] {
        if (Hedging.tryHedge(New->Record, Queue.now())) {
          ++Result.Hedges;
          startAttempt(New);
        }
      });
  }

  template <class Event>
  auto forEachAttempt(const std::shared_ptr<Request> &Owner, Event Send)
      -> void {
    const auto Live = Owner->Attempts;
    for (const ExchangePtr &Each : Live)
      if (Each->Machine->phase() != AttemptPhase::Done)
        decide(Each, Send(*Each->Machine));
  }

  auto startAttempt(const std::shared_ptr<Request> &Owner) -> void {
    if (Owner->Outcomes > 0 || Owner->CallerGone ||
        Queue.now() >= Owner->Deadline)
      return;
    auto Started = std::make_shared<Exchange>();
    Started->Owner = Owner;
    Started->StartedAt = Queue.now();
    RunRecord *Record = &Owner->Record;
    if (Fault == RequestFault::RecordPerAttempt ||
        Fault == RequestFault::RetryAlways) {
      Owner->SeparateRecords.push_back(
          std::make_unique<RunRecord>(Owner->Record.idempotent()));
      Record = Owner->SeparateRecords.back().get();
    }
    Started->Machine = std::make_unique<Attempt>(*Record);
    Owner->Attempts.push_back(Started);
    Queue.after(millis(20), [this, Started] { connect(Started); });
  }

  auto connect(const ExchangePtr &Current) -> void {
    if (Current->Machine->phase() != AttemptPhase::Queued)
      return;
    decide(Current, Current->Machine->targetChosen());
    const std::size_t Target = Random.below(Targets);
    std::vector<ConnectionState> Idle;
    for (const ConnectionPtr &Each : Pools[Target])
      Idle.push_back(Each->State);
    const auto Reused =
        Policy.choose(Idle, Current->Owner->Record.idempotent(), Queue.now());
    if (Reused) {
      Current->Link = Pools[Target][*Reused];
      Pools[Target].erase(Pools[Target].begin() +
                          static_cast<std::ptrdiff_t>(*Reused));
    } else {
      Current->Link = std::make_shared<Connection>();
      Current->Link->Target = Target;
    }
    Current->Link->Reader = Current;
    if (fault(0.2))
      Current->Link->Silent = true;
    if (fault(0.5)) {
      Queue.after(millis(100), [this, Current] { lose(Current); });
      return;
    }
    // A stray response on a reused connection, before the request is sent.
    if (Reused && fault(0.1)) {
      decide(Current, Current->Machine->responseHead());
      return;
    }
    Queue.after(
        Reused ? Duration(10) : millis(fault() ? 400 : 5), [this, Current] {
          decide(Current, Current->Machine->phase() == AttemptPhase::Done
                              ? Current->Machine->connectionLost()
                              : Current->Machine->connectionReady());
          write(Current);
        });
  }

  auto write(const ExchangePtr &Current) -> void {
    if (Current->Machine->phase() != AttemptPhase::Connecting ||
        !Current->Link->Open)
      return;
    if (Fault != RequestFault::LateWriteStart)
      decide(Current, Current->Machine->writeStarted());
    Current->Link->State.ExchangeOpen = true;
    const ConnectionPtr Link = Current->Link;
    if (fault(0.5)) {
      // A write that fails may still have delivered the whole request.
      if (Random.chance(0.4))
        Queue.after(millis(50),
                    [this, Current, Link] { receive(Current, Link); });
      Queue.after(millis(50), [this, Current] { lose(Current); });
      return;
    }
    Queue.after(millis(3), [this, Current, Link] {
      if (Current->Machine->phase() == AttemptPhase::Connecting)
        decide(Current, Current->Machine->writeStarted());
      if (Current->Machine->phase() == AttemptPhase::Writing)
        decide(Current, Current->Machine->requestWritten());
      if (!Link->Silent)
        Queue.after(millis(2),
                    [this, Current, Link] { receive(Current, Link); });
    });
    if (fault(0.5))
      Queue.after(millis(300), [this, Current] { lose(Current); });
  }

  auto lose(const ExchangePtr &Current) -> void {
    if (Current->Link->Reader.lock() != Current)
      return;
    Current->Link->Open = false;
    decide(Current, Current->Machine->connectionLost());
  }

  /// The target has received the whole request. It runs the request even if the
  /// connection is closed meanwhile.
  auto receive(const ExchangePtr &Current, const ConnectionPtr &Link) -> void {
    Duration Service = Duration(2000) + millis(8);
    if (fault())
      Service += millis(1500);
    if (fault()) {
      const auto Reason = static_cast<TargetRefusal>(Random.below(4));
      Queue.after(Service, [this, Link, Reason] {
        if (const ExchangePtr Reader = reader(Link))
          decide(Reader, Reader->Machine->refusedByTarget(Reason));
      });
      return;
    }
    Queue.after(Service / 2, [Current] { ++Current->Owner->Runs; });
    const std::uint64_t Id = Current->Owner->Id;
    Queue.after(Service, [this, Link, Id] { respond(Link, Id); });
  }

  /// Responses go to the exchange that reads the connection, as on a real
  /// socket.
  auto reader(const ConnectionPtr &Link) -> ExchangePtr {
    return Link->Open && !Link->Silent ? Link->Reader.lock() : nullptr;
  }

  auto respond(const ConnectionPtr &Link, std::uint64_t Id) -> void {
    const ExchangePtr Reader = reader(Link);
    if (!Reader)
      return;
    Reader->ResponseId = Id;
    decide(Reader, Reader->Machine->responseHead());
    if (Reader->Machine->phase() != AttemptPhase::Answering)
      return;
    if (fault(0.3)) {
      Queue.after(millis(20), [this, Reader] { lose(Reader); });
      return;
    }
    Queue.after(millis(5), [this, Reader, Link] {
      if (reader(Link) == Reader &&
          Reader->Machine->phase() == AttemptPhase::Answering)
        decide(Reader, Reader->Machine->responseEnd());
    });
  }

  auto decide(const ExchangePtr &Current, const AttemptOutcome &Outcome)
      -> void {
    releaseConnection(Current, Outcome);
    const auto &Owner = Current->Owner;
    switch (Outcome.Action) {
    case AttemptAction::Proceed:
    case AttemptAction::Drop:
      return;
    case AttemptAction::Forward:
      if (Current->ResponseId != Owner->Id)
        ++Result.MismatchedResponses;
      supersede(Current);
      return;
    case AttemptAction::Finish:
      Latency.observe(Queue.now() - Current->StartedAt, Queue.now());
      ++Result.Answered;
      ++Owner->Outcomes;
      return;
    case AttemptAction::Abort:
      ++Result.Aborted;
      ++Owner->Outcomes;
      return;
    case AttemptAction::Refuse:
      if (Fault == RequestFault::RetryAlways &&
          Outcome.Refusal == RefusalReason::ConnectionLost)
        startAttempt(Owner);
      else
        refuse(Owner, Outcome.Run);
      return;
    case AttemptAction::Retry:
      if (Queue.now() < Owner->Deadline && Budget.tryTake(Queue.now())) {
        ++Result.Retries;
        startAttempt(Owner);
      } else {
        refuse(Owner, Outcome.Run);
      }
      return;
    }
  }

  auto supersede(const ExchangePtr &Winner) -> void {
    const auto Others = Winner->Owner->Attempts;
    for (const ExchangePtr &Each : Others)
      if (Each != Winner && Each->Machine->phase() != AttemptPhase::Done)
        decide(Each, Each->Machine->superseded());
  }

  auto releaseConnection(const ExchangePtr &Current,
                         const AttemptOutcome &Outcome) -> void {
    if (!Current->Link || Current->Link->Reader.lock() != Current)
      return;
    const bool Keep =
        Fault == RequestFault::ReuseAbandoned && Current->Link->Open;
    if (Outcome.CloseConnection && !Keep) {
      Current->Link->Open = false;
      Current->Link->Reader.reset();
      return;
    }
    if (Current->Machine->phase() != AttemptPhase::Done || !Current->Link->Open)
      return;
    Current->Link->State = {Queue.now(), false};
    Current->Link->Reader.reset();
    Pools[Current->Link->Target].push_back(Current->Link);
  }

  auto refuse(const std::shared_ptr<Request> &Owner, RunStatus Run) -> void {
    Owner->Record.settle();
    ++Owner->Outcomes;
    Owner->SaidNotRun = Owner->SaidNotRun || Run == RunStatus::NotRun;
    ++(Run == RunStatus::NotRun ? Result.RefusedNotRun : Result.RefusedUnknown);
  }

  auto checkOutcome(const Request &Checked) -> void {
    ++Result.Requests;
    if (!Checked.Record.idempotent() && Checked.Runs > 1)
      ++Result.RanTwice;
    if (Checked.SaidNotRun && Checked.Runs > 0)
      ++Result.FalseNotRun;
    if (Checked.Outcomes == 0 && !Checked.CallerGone)
      ++Result.Unsettled;
    if (Checked.Outcomes > 1)
      ++Result.SettledTwice;
  }

  RequestFault Fault;
  RandomSource Random;
  std::uint64_t RequestCount;
  EventQueue Queue;
  std::vector<std::vector<ConnectionPtr>> Pools;
  std::vector<std::shared_ptr<Request>> Requests;
  RetryBudget Budget;
  HedgePolicy Hedging{{0.5, std::chrono::milliseconds(5)}};
  ConnectionPolicy Policy;
  LatencyTracker Latency;
  double FaultRate = 0;
  Counts Result;
};

} // namespace buckthornring::testing
