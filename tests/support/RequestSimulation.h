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
  LateWriteStart,   ///< Reports the write after it instead of before it.
};

/// Requests over unreliable connections to unreliable targets, in virtual
/// time. Connections break in every phase, hang and deliver late; targets
/// freeze, refuse and answer late; callers leave and deadlines pass.
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

  // Requests and their attempts refer to each other.
  ~RequestSimulation() {
    for (const auto &Each : Requests)
      Each->Attempts.clear();
  }

  auto run() -> Counts {
    for (std::uint64_t I = 0; I < RequestCount; ++I)
      Queue.after(millis(2000), [this] { startRequest(); });
    Queue.runUntil(Queue.now() + std::chrono::seconds(20));
    for (const auto &Each : Requests)
      judge(*Each);
    return Result;
  }

  static auto failure(const Counts &Of) -> std::string {
    std::string Text;
    const auto Note = [&](const char *Name, std::uint64_t Value) {
      if (Value > 0)
        Text += std::string(Name) + "=" + std::to_string(Value) + " ";
    };
    Note("runs.twice", Of.RanTwice);
    Note("not_run.false", Of.FalseNotRun);
    Note("answers.wrong", Of.MismatchedResponses);
    Note("unsettled", Of.Unsettled);
    Note("settled_twice", Of.SettledTwice);
    return Text;
  }

private:
  static constexpr std::size_t Targets = 3;

  struct Exchange;
  struct Connection {
    std::size_t Target = 0;
    bool Open = true;
    bool Silent = false; ///< A middlebox lost its state.
    ConnectionState State;
    std::weak_ptr<Exchange> Reader; ///< Gets whatever arrives.
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
    std::shared_ptr<Request> For;
    std::unique_ptr<Attempt> Try;
    std::shared_ptr<Connection> Over;
    TimePoint Begun;
    std::uint64_t AnswerId = 0;
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
      forEachAttempt(New, [](Attempt &Try) { return Try.deadlineReached(); });
      if (New->Outcomes == 0 && !New->CallerGone)
        refuse(New, New->Record.mayHaveRun() ? RunStatus::Unknown
                                             : RunStatus::NotRun);
    });
    if (fault(0.3))
      Queue.after(millis(500), [this, New] {
        New->CallerGone = true;
        forEachAttempt(New, [](Attempt &Try) { return Try.callerGone(); });
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
  auto forEachAttempt(const std::shared_ptr<Request> &Of, Event Send) -> void {
    const auto Live = Of->Attempts;
    for (const ExchangePtr &Each : Live)
      if (Each->Try->phase() != AttemptPhase::Done)
        decide(Each, Send(*Each->Try));
  }

  auto startAttempt(const std::shared_ptr<Request> &Of) -> void {
    if (Of->Outcomes > 0 || Of->CallerGone || Queue.now() >= Of->Deadline)
      return;
    auto New = std::make_shared<Exchange>();
    New->For = Of;
    New->Begun = Queue.now();
    RunRecord *Record = &Of->Record;
    if (Fault == RequestFault::RecordPerAttempt ||
        Fault == RequestFault::RetryAlways) {
      Of->SeparateRecords.push_back(
          std::make_unique<RunRecord>(Of->Record.idempotent()));
      Record = Of->SeparateRecords.back().get();
    }
    New->Try = std::make_unique<Attempt>(*Record);
    Of->Attempts.push_back(New);
    Queue.after(millis(20), [this, New] { connect(New); });
  }

  auto connect(const ExchangePtr &Of) -> void {
    if (Of->Try->phase() != AttemptPhase::Queued)
      return;
    decide(Of, Of->Try->targetChosen());
    const std::size_t Target = Random.below(Targets);
    std::vector<ConnectionState> Idle;
    for (const ConnectionPtr &Each : Pools[Target])
      Idle.push_back(Each->State);
    const auto Reused =
        Policy.choose(Idle, Of->For->Record.idempotent(), Queue.now());
    if (Reused) {
      Of->Over = Pools[Target][*Reused];
      Pools[Target].erase(Pools[Target].begin() +
                          static_cast<std::ptrdiff_t>(*Reused));
    } else {
      Of->Over = std::make_shared<Connection>();
      Of->Over->Target = Target;
    }
    Of->Over->Reader = Of;
    if (fault(0.2))
      Of->Over->Silent = true;
    if (fault(0.5)) {
      Queue.after(millis(100), [this, Of] { lose(Of); });
      return;
    }
    // A stray response on a reused connection, before the request is sent.
    if (Reused && fault(0.1)) {
      decide(Of, Of->Try->responseHead());
      return;
    }
    Queue.after(Reused ? Duration(10) : millis(fault() ? 400 : 5), [this, Of] {
      decide(Of, Of->Try->phase() == AttemptPhase::Done
                     ? Of->Try->connectionLost()
                     : Of->Try->connectionReady());
      write(Of);
    });
  }

  auto write(const ExchangePtr &Of) -> void {
    if (Of->Try->phase() != AttemptPhase::Connecting || !Of->Over->Open)
      return;
    if (Fault != RequestFault::LateWriteStart)
      decide(Of, Of->Try->writeStarted());
    Of->Over->State.ExchangeOpen = true;
    const ConnectionPtr Over = Of->Over;
    if (fault(0.5)) {
      // A write that fails may still have delivered the whole request.
      if (Random.chance(0.4))
        Queue.after(millis(50), [this, Of, Over] { receive(Of, Over); });
      Queue.after(millis(50), [this, Of] { lose(Of); });
      return;
    }
    Queue.after(millis(3), [this, Of, Over] {
      if (Of->Try->phase() == AttemptPhase::Connecting)
        decide(Of, Of->Try->writeStarted());
      if (Of->Try->phase() == AttemptPhase::Writing)
        decide(Of, Of->Try->requestWritten());
      if (!Over->Silent)
        Queue.after(millis(2), [this, Of, Over] { receive(Of, Over); });
    });
    if (fault(0.5))
      Queue.after(millis(300), [this, Of] { lose(Of); });
  }

  auto lose(const ExchangePtr &Of) -> void {
    if (Of->Over->Reader.lock() != Of)
      return;
    Of->Over->Open = false;
    decide(Of, Of->Try->connectionLost());
  }

  /// The target has the whole request. It runs even when its connection is
  /// closed meanwhile.
  auto receive(const ExchangePtr &Of, const ConnectionPtr &Over) -> void {
    Duration Service = Duration(2000) + millis(8);
    if (fault())
      Service += millis(1500);
    if (fault()) {
      const auto Reason = static_cast<TargetRefusal>(Random.below(4));
      Queue.after(Service, [this, Over, Reason] {
        if (const ExchangePtr Reader = reader(Over))
          decide(Reader, Reader->Try->refusedByTarget(Reason));
      });
      return;
    }
    Queue.after(Service / 2, [Of] { ++Of->For->Runs; });
    const std::uint64_t Id = Of->For->Id;
    Queue.after(Service, [this, Over, Id] { answer(Over, Id); });
  }

  /// Responses go to whoever reads the connection, like on a real socket.
  auto reader(const ConnectionPtr &Over) -> ExchangePtr {
    return Over->Open && !Over->Silent ? Over->Reader.lock() : nullptr;
  }

  auto answer(const ConnectionPtr &Over, std::uint64_t Id) -> void {
    const ExchangePtr Reader = reader(Over);
    if (!Reader)
      return;
    Reader->AnswerId = Id;
    decide(Reader, Reader->Try->responseHead());
    if (Reader->Try->phase() != AttemptPhase::Answering)
      return;
    if (fault(0.3)) {
      Queue.after(millis(20), [this, Reader] { lose(Reader); });
      return;
    }
    Queue.after(millis(5), [this, Reader, Over] {
      if (reader(Over) == Reader &&
          Reader->Try->phase() == AttemptPhase::Answering)
        decide(Reader, Reader->Try->responseEnd());
    });
  }

  auto decide(const ExchangePtr &Of, const AttemptOutcome &Outcome) -> void {
    releaseConnection(Of, Outcome);
    const auto &For = Of->For;
    switch (Outcome.Action) {
    case AttemptAction::Proceed:
    case AttemptAction::Drop:
      return;
    case AttemptAction::Forward:
      if (Of->AnswerId != For->Id)
        ++Result.MismatchedResponses;
      supersede(Of);
      return;
    case AttemptAction::Finish:
      Latency.observe(Queue.now() - Of->Begun, Queue.now());
      ++Result.Answered;
      ++For->Outcomes;
      return;
    case AttemptAction::Abort:
      ++Result.Aborted;
      ++For->Outcomes;
      return;
    case AttemptAction::Refuse:
      if (Fault == RequestFault::RetryAlways &&
          Outcome.Refusal == RefusalReason::ConnectionLost)
        startAttempt(For);
      else
        refuse(For, Outcome.Run);
      return;
    case AttemptAction::Retry:
      if (Queue.now() < For->Deadline && Budget.tryTake(Queue.now())) {
        ++Result.Retries;
        startAttempt(For);
      } else {
        refuse(For, Outcome.Run);
      }
      return;
    }
  }

  auto supersede(const ExchangePtr &Winner) -> void {
    const auto Others = Winner->For->Attempts;
    for (const ExchangePtr &Each : Others)
      if (Each != Winner && Each->Try->phase() != AttemptPhase::Done)
        decide(Each, Each->Try->superseded());
  }

  auto releaseConnection(const ExchangePtr &Of, const AttemptOutcome &Outcome)
      -> void {
    if (!Of->Over || Of->Over->Reader.lock() != Of)
      return;
    const bool Keep = Fault == RequestFault::ReuseAbandoned && Of->Over->Open;
    if (Outcome.CloseConnection && !Keep) {
      Of->Over->Open = false;
      Of->Over->Reader.reset();
      return;
    }
    if (Of->Try->phase() != AttemptPhase::Done || !Of->Over->Open)
      return;
    Of->Over->State = {Queue.now(), false};
    Of->Over->Reader.reset();
    Pools[Of->Over->Target].push_back(Of->Over);
  }

  auto refuse(const std::shared_ptr<Request> &Of, RunStatus Run) -> void {
    Of->Record.settle();
    ++Of->Outcomes;
    Of->SaidNotRun = Of->SaidNotRun || Run == RunStatus::NotRun;
    ++(Run == RunStatus::NotRun ? Result.RefusedNotRun : Result.RefusedUnknown);
  }

  auto judge(const Request &Of) -> void {
    ++Result.Requests;
    if (!Of.Record.idempotent() && Of.Runs > 1)
      ++Result.RanTwice;
    if (Of.SaidNotRun && Of.Runs > 0)
      ++Result.FalseNotRun;
    if (Of.Outcomes == 0 && !Of.CallerGone)
      ++Result.Unsettled;
    if (Of.Outcomes > 1)
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
