#include "Entry/RequestExchange.h"

#include "Entry/ForwardedHead.h"
#include "Entry/RefusalAnswer.h"
#include "Entry/TrafficThread.h"
#include "IO/SteadyTime.h"

#include <algorithm>
#include <array>

namespace buckthornring {

namespace {

/// First wait before an owned key is tried again. A move takes about 50 ms to
/// reach the instances, so a shorter wait would only consume retry budget.
constexpr Duration FirstRetryDelay = std::chrono::milliseconds(20);
constexpr Duration LongestRetryDelay = std::chrono::milliseconds(400);

auto ownerName(const RoutingSnapshot &Snapshot, const ServiceId &Service,
               const SliceOwner &Owner) -> std::pair<TargetId, Epoch> {
  return {Snapshot.Services.at(Service).Targets[Owner.Target].Id,
          Owner.Current};
}

/// A request that several targets in a row failed to answer may itself be the
/// cause, so the remaining targets are spared. Owned keys have one target and
/// are retried until their slice has moved.
constexpr std::uint32_t RetryLimit = 3;

} // namespace

RequestExchange::RequestExchange(TrafficThread &Thread,
                                 std::shared_ptr<CallerStream> Stream,
                                 EndHandler Ended)
    : Thread(Thread), Stream(std::move(Stream)), Ended(std::move(Ended)),
      Head(std::move(this->Stream->head())), Deadline(Thread.context()),
      RetryTimer(Thread.context()), HedgeTimer(Thread.context()),
      NextDelay(FirstRetryDelay) {}

RequestExchange::~RequestExchange() = default;

auto RequestExchange::start() -> void {
  Begun = steadyNow();
  if (!Thread.snapshot())
    return refuse(RefusalReason::StaleConfiguration, RunStatus::NotRun);
  const auto Planned = planRequest(*Thread.snapshot(), Head);
  if (const auto *Reason = std::get_if<RefusalReason>(&Planned))
    return refuse(*Reason, RunStatus::NotRun);
  Plan = std::get<RequestPlan>(Planned);
  Record = std::make_unique<RunRecord>(Plan.Idempotent);
  RequestId = Thread.nextRequestId();
  Thread.retryBudget(Plan.Workspace).recordRequest(steadyNow());
  Thread.hedges(Plan.Service).recordRequest(steadyNow());
  armDeadline();
  // A relayed request is counted where it runs.
  if (Thread.dispatcher().relays(wish()))
    return admit();
  askForRate();
}

auto RequestExchange::askForRate() -> void {
  RateGate &Rates = Thread.rates();
  RateTicket = Rates.newTicket();
  const auto Answer = Rates.offer(
      Plan.Workspace, RateTicket, DeadlineAt, steadyNow(),
      [Self = shared_from_this()](bool Admitted) {
        Self->RateTicket = 0;
        if (!Admitted)
          return Self->refuse(RefusalReason::OverRate, RunStatus::NotRun);
        Self->Charged = true;
        Self->admit();
      });
  if (Answer == RateGate::Answer::Wait)
    return Thread.events().add(EntryEvent::RateWait);
  RateTicket = 0;
  if (Answer == RateGate::Answer::Refuse)
    return refuse(RefusalReason::OverRate, RunStatus::NotRun);
  Charged = true;
  admit();
}

auto RequestExchange::admit() -> void {
  if (Head.ExpectsContinue && !Stream->bodyDone())
    return sendContinue();
  readPrefix();
}

auto RequestExchange::armDeadline() -> void {
  DeadlineAt = Begun + Plan.Deadline;
  Deadline.expires_after(Plan.Deadline);
  Deadline.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Failure) {
        if (!Failure && !Self->Settled)
          Self->stop(Self->WaitingForOwner ? RefusalReason::NoOwner
                                           : RefusalReason::DeadlineExceeded);
      });
}

auto RequestExchange::sendContinue() -> void {
  Stream->write("HTTP/1.1 100 Continue\r\n\r\n", {},
                [Self = shared_from_this()](bool Success) {
                  if (Self->Settled)
                    return;
                  if (!Success)
                    return Self->callerGone();
                  Self->readPrefix();
                });
}

auto RequestExchange::readPrefix() -> void {
  if (Stream->bodyDone() || Prefix.size() >= Thread.options().ReplayBytes)
    return startAttempt();
  Stream->readBody(
      [Self = shared_from_this()](ReadOutcome Outcome, std::string_view Part) {
        Self->gotPrefix(Outcome, Part);
      });
}

auto RequestExchange::gotPrefix(ReadOutcome Outcome, std::string_view Part)
    -> void {
  if (Settled)
    return;
  if (Outcome != ReadOutcome::Ok)
    return bodyFailed(Outcome);
  Prefix.append(Part);
  readPrefix();
}

auto RequestExchange::bodyFailed(ReadOutcome Outcome) -> void {
  const auto Reason = unreadableRefusal(Outcome);
  if (!Reason)
    return callerGone();
  if (Outcome == ReadOutcome::SlowSender)
    Thread.events().add(EntryEvent::CallerSlowBody);
  Thread.unreadable().request(RefusalReasonNames.name(*Reason));
  stop(*Reason);
}

auto RequestExchange::wish() const -> DispatchWish {
  DispatchWish Wish{Plan.Service, Plan.Workspace, std::nullopt, Tried,
                    Plan.Relayed};
  if (Plan.Divided)
    Wish.Slice = Plan.Slice;
  return Wish;
}

auto RequestExchange::startAttempt() -> void {
  if (Settled)
    return;
  if (Stream->bodyDone())
    watchCaller();
  // A slice that has moved here since the request arrived.
  if (!Charged && !Thread.dispatcher().relays(wish()))
    return askForRate();
  const auto Placed = Thread.dispatcher().tryPlace(wish());
  WaitingForOwner = false;
  if (const auto *Place = std::get_if<DispatchPlace>(&Placed))
    return run(*Place);
  notPlaced(std::get<DispatchFailure>(Placed));
}

auto RequestExchange::notPlaced(DispatchFailure Reason) -> void {
  switch (Reason) {
  case DispatchFailure::Busy:
    return waitForSlot();
  case DispatchFailure::NoOwner:
    WaitingForOwner = true;
    return retryLater(LongestRetryDelay);
  case DispatchFailure::NoTarget:
    return refuse(RefusalReason::NoTarget, runStatus());
  case DispatchFailure::Unreachable:
    return refuse(RefusalReason::DataCentreUnreachable, runStatus());
  case DispatchFailure::AllTried:
    // Every target failed once; they are tried again after a pause.
    Tried.clear();
    return retryLater(nextDelay());
  }
}

auto RequestExchange::waitForSlot() -> void {
  Thread.events().add(EntryEvent::SlotWait);
  if (const SliceOwner *Owner =
          Plan.Divided ? Thread.dispatcher().owner(Plan.Service, Plan.Slice)
                       : nullptr)
    LastOwner = ownerName(*Thread.snapshot(), Plan.Service, *Owner);
  const auto Ticket = Thread.dispatcher().wait(
      wish(), [Self = shared_from_this()](const DispatchPlace &Place) {
        Self->SlotTicket = 0;
        if (!Place.Gate)
          return Self->startAttempt();
        Self->run(Place);
      });
  if (!Ticket)
    return refuse(RefusalReason::QueueFull, runStatus());
  SlotTicket = *Ticket;
}

auto RequestExchange::stopWaiting() -> void {
  RetryTimer.cancel();
  HedgeTimer.cancel();
  RetryPending = false;
  if (SlotTicket != 0)
    Thread.dispatcher().cancel(std::exchange(SlotTicket, 0));
  if (RateTicket != 0)
    Thread.rates().cancel(Plan.Workspace, std::exchange(RateTicket, 0));
}

auto RequestExchange::nextDelay() -> Duration {
  return std::exchange(NextDelay, std::min(2 * NextDelay, LongestRetryDelay));
}

auto RequestExchange::retryLater(Duration Delay) -> void {
  RetryPending = true;
  RetryTimer.expires_after(Delay);
  RetryTimer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Failure) {
        if (Failure || !std::exchange(Self->RetryPending, false))
          return;
        Self->startAttempt();
      });
}

auto RequestExchange::ownerChanged() const -> bool {
  const SliceOwner *Owner = Thread.dispatcher().owner(Plan.Service, Plan.Slice);
  return Owner &&
         ownerName(*Thread.snapshot(), Plan.Service, *Owner) != LastOwner;
}

auto RequestExchange::run(const DispatchPlace &Place) -> void {
  AttemptJob Job;
  Job.Service = Plan.Service;
  Job.Place = Place;
  Job.RequestId = RequestId;
  Job.BodyContinues = !Stream->bodyDone();
  Job.HeadOnly = Head.Method == "HEAD";
  Job.Idempotent = Plan.Idempotent;
  if (Place.Slice) {
    Job.Slice = Plan.Slice;
    LastOwner = {Place.Target, *Place.Slice};
  }
  Job.Head = headFor(Place);
  Job.Body = Prefix;
  if (!SentFraming.Length) {
    // The first part has to be a chunk of its own.
    appendChunk(Job.Head, Prefix);
    Job.Body = {};
  }
  Tried.push_back(Place.Target);
  ++Attempts;
  Runners.push_back(std::make_shared<AttemptRunner>(Thread, shared_from_this(),
                                                    *Record, std::move(Job)));
  Runners.back()->start();
  armHedge();
}

auto RequestExchange::armHedge() -> void {
  // An owned key has one target, and a body that is not kept has one use.
  if (Plan.Divided || !Stream->bodyDone() || Runners.size() != 1)
    return;
  const auto Delay =
      Thread.hedges(Plan.Service)
          .delay(*Record, Thread.stats().latencyP95(Plan.Service));
  if (!Delay)
    return;
  HedgeTimer.expires_after(*Delay);
  HedgeTimer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Failure) {
        if (!Failure && !Self->Settled && Self->Runners.size() == 1)
          Self->hedge();
      });
}

auto RequestExchange::hedge() -> void {
  const auto Placed = Thread.dispatcher().tryPlace(wish());
  const auto *Place = std::get_if<DispatchPlace>(&Placed);
  if (!Place)
    return;
  if (!Thread.hedges(Plan.Service).tryHedge(*Record, steadyNow()))
    return Thread.dispatcher().release(Plan.Service, *Place->Gate);
  Thread.counters().add(RetryReason::Hedge);
  run(*Place);
}

auto RequestExchange::headFor(const DispatchPlace &Place) -> std::string {
  // A chunked body that has arrived as a whole has a known length.
  SentFraming = Head.Framing;
  if (Stream->bodyDone() && !SentFraming.Length)
    SentFraming.Length = Prefix.size();
  return outgoingHead(
      {Head, Plan, Place, RequestId, DeadlineAt - steadyNow(), SentFraming});
}

auto RequestExchange::wantsMoreBody(AttemptRunner &Runner) -> void {
  // What is read from here on is gone afterwards.
  Record->bodyDiscarded();
  Stream->readBody([Self = shared_from_this(),
                    Same = Runner.shared_from_this()](ReadOutcome Outcome,
                                                      std::string_view Part) {
    if (!Self->Settled)
      Self->gotMoreBody(*Same, Outcome, Part);
  });
}

auto RequestExchange::gotMoreBody(AttemptRunner &Runner, ReadOutcome Outcome,
                                  std::string_view Part) -> void {
  if (Outcome != ReadOutcome::Ok)
    return bodyFailed(Outcome);
  const bool Last = Stream->bodyDone();
  std::string Text;
  if (SentFraming.Length) {
    Text.assign(Part);
  } else {
    appendChunk(Text, Part);
    if (Last)
      Text.append(LastChunk);
  }
  if (Last)
    watchCaller();
  Runner.writeMore(std::move(Text), Last);
}

auto RequestExchange::attemptOutcome(AttemptRunner &Runner,
                                     const AttemptOutcome &Outcome) -> void {
  static constexpr std::array<ActionHandler, AttemptActionNames.size()>
      Handlers = {
          &RequestExchange::proceed,      &RequestExchange::forward,
          &RequestExchange::finishAnswer, &RequestExchange::retry,
          &RequestExchange::abortAnswer,  &RequestExchange::refuseOutcome,
          &RequestExchange::drop,
      };
  const auto Self = shared_from_this();
  const auto Same = Runner.shared_from_this();
  if (Runner.finished())
    std::erase(Runners, Same);
  if (!Settled)
    (this->*Handlers.at(static_cast<std::size_t>(Outcome.Action)))(Runner,
                                                                   Outcome);
}

auto RequestExchange::retry(AttemptRunner & /*Runner*/,
                            const AttemptOutcome &Outcome) -> void {
  if (!Plan.Divided && ++Retries > RetryLimit)
    return refuse(Outcome.Refusal, Outcome.Run);
  if (!Thread.retryBudget(Plan.Workspace).tryTake(steadyNow()))
    return refuse(RefusalReason::RetryBudgetSpent, Outcome.Run);
  Thread.counters().add(Outcome.Retry);
  if (!Plan.Divided)
    return startAttempt();
  retryLater(
      std::exchange(NextDelay, std::min(2 * NextDelay, LongestRetryDelay)));
}

auto RequestExchange::abortAnswer(AttemptRunner & /*Runner*/,
                                  const AttemptOutcome & /*Outcome*/) -> void {
  Thread.counters().add(RequestOutcome::Aborted);
  finish(AfterRequest::Abort);
}

auto RequestExchange::refuseOutcome(AttemptRunner & /*Runner*/,
                                    const AttemptOutcome &Outcome) -> void {
  refuse(Outcome.Refusal, Outcome.Run);
}

auto RequestExchange::forward(AttemptRunner &Runner,
                              const AttemptOutcome & /*Outcome*/) -> void {
  const auto Chosen = Runner.shared_from_this();
  const auto Others = Runners;
  for (const auto &Other : Others)
    if (Other != Chosen)
      Other->superseded();
  ChunkedAnswer =
      !Runner.response().Bodiless && !Runner.response().Framing.Length;
  std::string Text = answerHead({Runner.response(), Runner.job().Place.Relay,
                                 Attempts > 1, keepsConnection()});
  AnswerBegun = true;
  // A second attempt may wait for a slot or for its retry.
  stopWaiting();
  Thread.counters().add(statusClass(Runner.response().Status));
  Stream->stopWatching();
  if (Runner.responseDone())
    return writePart(Chosen, std::move(Text), {}, true);
  if (!Runner.bodyBuffered())
    return writePart(Chosen, std::move(Text), {}, false);
  // The head and the first part of the body leave in one packet.
  Runner.readBody([Self = shared_from_this(), Chosen, Text = std::move(Text)](
                      std::string_view Part, bool Last) mutable {
    if (!Self->Settled)
      Self->writePart(Chosen, std::move(Text), Part, Last);
  });
}

auto RequestExchange::pumpAnswer(std::shared_ptr<AttemptRunner> Runner)
    -> void {
  auto &Source = *Runner;
  Source.readBody([Self = shared_from_this(), Runner = std::move(Runner)](
                      std::string_view Part, bool Last) {
    if (!Self->Settled)
      Self->writePart(Runner, {}, Part, Last);
  });
}

auto RequestExchange::writePart(std::shared_ptr<AttemptRunner> Runner,
                                std::string Text, std::string_view Part,
                                bool Last) -> void {
  if (!ChunkedAnswer)
    Text.append(Part);
  else
    appendChunk(Text, Part);
  if (Last) {
    if (ChunkedAnswer)
      Text.append(LastChunk);
    Runner->responseEnd();
    Stream->write(std::move(Text), {},
                  [Self = shared_from_this()](bool Success) {
                    Self->answerWritten(Success);
                  });
    return;
  }
  if (Text.empty())
    return pumpAnswer(std::move(Runner));
  Stream->write(
      std::move(Text), {},
      [Self = shared_from_this(), Runner = std::move(Runner)](bool Success) {
        if (Self->Settled)
          return;
        if (!Success)
          return Self->callerGone();
        Self->pumpAnswer(Runner);
      });
}

auto RequestExchange::answerWritten(bool Success) -> void {
  if (Settled)
    return;
  if (!Success)
    return callerGone();
  Thread.counters().add(RequestOutcome::Answered);
  Thread.latency().record(steadyNow() - Begun);
  finish(keepsConnection() ? AfterRequest::KeepOpen
                           : AfterRequest::CloseGracefully);
}

auto RequestExchange::keepsConnection() const -> bool {
  return Stream->bodyDone() && Stream->keepAlive() && !Thread.shuttingDown();
}

auto RequestExchange::watchCaller() -> void {
  Stream->watchForClose([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->callerGone();
  });
}

auto RequestExchange::callerGone() -> void {
  if (Settled)
    return;
  Thread.counters().add(RequestOutcome::CallerLeft);
  if (Stream->writeTimedOut())
    Thread.events().add(EntryEvent::CallerSlowReader);
  const auto Running = Runners;
  for (const auto &Runner : Running)
    Runner->callerGone();
  finish(AfterRequest::Abort);
}

auto RequestExchange::snapshotChanged() -> void {
  if (Settled)
    return;
  if (Plan.Caller) {
    const auto *Entry = Thread.snapshot()->Index->Keys.find(*Plan.Caller);
    if (!Entry || Entry->Withdrawn)
      return stop(RefusalReason::WithdrawnCallerKey);
  }
  if (!Plan.Divided || !ownerChanged())
    return;
  if (SlotTicket != 0 || RetryPending) {
    stopWaiting();
    return startAttempt();
  }
  leaveOldOwner();
}

auto RequestExchange::leaveOldOwner() -> void {
  const bool Repeatable = Plan.Idempotent && Record->replayable() &&
                          !Record->settled() && Runners.size() == 1;
  if (!Repeatable || !Thread.retryBudget(Plan.Workspace).tryTake(steadyNow()))
    return;
  Thread.counters().add(RetryReason::ConnectionLost);
  // The old attempt goes on: it may have been answered before the move. The
  // first answer ends the other one.
  startAttempt();
}

auto RequestExchange::stop(RefusalReason Reason) -> void {
  const auto Running = Runners;
  for (const auto &Runner : Running)
    Runner->stop(Reason);
  // Without a running attempt nobody else ends the request.
  if (!Settled)
    refuse(Reason, runStatus());
}

auto RequestExchange::runStatus() const -> RunStatus {
  return Record && Record->mayHaveRun() ? RunStatus::Unknown
                                        : RunStatus::NotRun;
}

auto RequestExchange::refuse(RefusalReason Reason, RunStatus Run) -> void {
  if (std::exchange(Settled, true))
    return;
  Thread.counters().add(Reason);
  if (Record)
    Record->settle();
  if (AnswerBegun) {
    Thread.counters().add(RequestOutcome::Aborted);
    return finish(AfterRequest::Abort);
  }
  Thread.counters().add(Run == RunStatus::NotRun
                            ? RequestOutcome::RefusedNotRun
                            : RequestOutcome::RefusedUnknown);
  AnswerBegun = true;
  Deadline.cancel();
  stopWaiting();
  Stream->stopWatching();
  const bool Keep = keepsConnection();
  const auto RetryAfter =
      Thread.rates().retryAfter(Plan.Workspace, steadyNow());
  Stream->write(refusalAnswer(Reason, Run, Keep, RetryAfter), {},
                [Self = shared_from_this(), Keep](bool Success) {
                  if (!Success)
                    return Self->finish(AfterRequest::Abort);
                  Self->finish(Keep ? AfterRequest::KeepOpen
                                    : AfterRequest::CloseGracefully);
                });
}

auto RequestExchange::finish(AfterRequest Next) -> void {
  Settled = true;
  if (std::exchange(Finished, true))
    return;
  Deadline.cancel();
  stopWaiting();
  Stream->stopWatching();
  if (Record)
    Record->settle();
  std::exchange(Ended, nullptr)(Next);
}

} // namespace buckthornring
