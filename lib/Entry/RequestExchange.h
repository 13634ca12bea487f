#pragma once

#include "Entry/AttemptRunner.h"
#include "Entry/CallerConnection.h"
#include "Entry/Dispatcher.h"
#include "Entry/RateGate.h"
#include "Entry/RequestPlanner.h"
#include "IO/CallerStream.h"
#include "buckthornring/Attempt/RunRecord.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace buckthornring {

class TrafficThread;

/// One caller's request from its head to the end of its answer.
///
/// Reads the body up to a limit that can be sent again, runs attempts, forwards
/// the answer of one of them. Ends exactly once through its handler.
class RequestExchange final
    : public AttemptListener,
      public std::enable_shared_from_this<RequestExchange> {
public:
  using EndHandler = std::function<void(AfterRequest)>;

  /// \p Stream has just read the request's head.
  RequestExchange(TrafficThread &Thread, std::shared_ptr<CallerStream> Stream,
                  EndHandler Ended);
  ~RequestExchange() override;

  auto start() -> void;
  /// Stops the request when its caller key has been withdrawn.
  auto snapshotChanged() -> void;

  auto attemptOutcome(AttemptRunner &Runner, const AttemptOutcome &Outcome)
      -> void override;
  auto wantsMoreBody(AttemptRunner &Runner) -> void override;

private:
  using ActionHandler = void (RequestExchange::*)(AttemptRunner &,
                                                  const AttemptOutcome &);

  // Before the first attempt.
  auto readPrefix() -> void;
  auto gotPrefix(ReadOutcome Outcome, std::string_view Part) -> void;
  auto sendContinue() -> void;
  auto bodyFailed(ReadOutcome Outcome) -> void;

  // Attempts.
  auto askForRate() -> void;
  auto admit() -> void;
  auto startAttempt() -> void;
  auto wish() const -> DispatchWish;
  auto notPlaced(DispatchFailure Reason) -> void;
  auto waitForSlot() -> void;
  auto run(const DispatchPlace &Place) -> void;
  auto headFor(const DispatchPlace &Place) -> std::string;
  auto retryLater(Duration Delay) -> void;
  auto nextDelay() -> Duration;
  auto ownerChanged() const -> bool;
  /// Sends an idempotent request also to the slice's new owner: an owner that
  /// lost its lease is usually frozen and answers late or never.
  auto leaveOldOwner() -> void;
  auto armHedge() -> void;
  auto hedge() -> void;
  auto stopWaiting() -> void;
  auto gotMoreBody(AttemptRunner &Runner, ReadOutcome Outcome,
                   std::string_view Part) -> void;

  // Actions of attempts, by AttemptAction.
  auto proceed(AttemptRunner &, const AttemptOutcome &) -> void {}
  auto forward(AttemptRunner &Runner, const AttemptOutcome &) -> void;
  auto finishAnswer(AttemptRunner &, const AttemptOutcome &) -> void {}
  auto retry(AttemptRunner &, const AttemptOutcome &Outcome) -> void;
  auto abortAnswer(AttemptRunner &, const AttemptOutcome &Outcome) -> void;
  auto refuseOutcome(AttemptRunner &, const AttemptOutcome &Outcome) -> void;
  auto drop(AttemptRunner &, const AttemptOutcome &) -> void {}

  // The answer.
  auto pumpAnswer(std::shared_ptr<AttemptRunner> Runner) -> void;
  auto writePart(std::shared_ptr<AttemptRunner> Runner, std::string Text,
                 std::string_view Part, bool Last) -> void;
  auto answerWritten(bool Success) -> void;

  auto armDeadline() -> void;
  auto watchCaller() -> void;
  auto callerGone() -> void;
  /// Ends running attempts, or refuses at once when there is none.
  auto stop(RefusalReason Reason) -> void;
  auto refuse(RefusalReason Reason, RunStatus Run) -> void;
  auto finish(AfterRequest Next) -> void;
  auto keepsConnection() const -> bool;
  auto runStatus() const -> RunStatus;

  TrafficThread &Thread;
  std::shared_ptr<CallerStream> Stream;
  EndHandler Ended;
  RequestHead Head;
  RequestPlan Plan;
  std::unique_ptr<RunRecord> Record;
  std::string RequestId;
  std::string Prefix; ///< Start of the body, kept for further attempts.
  BodyFraming SentFraming;
  std::vector<std::shared_ptr<AttemptRunner>> Runners;
  std::vector<TargetId> Tried;
  /// Owner that the request waits for or was last sent to.
  std::optional<std::pair<TargetId, Epoch>> LastOwner;
  Dispatcher::Ticket SlotTicket = 0;
  RateGate::Ticket RateTicket = 0;
  boost::asio::steady_timer Deadline;
  boost::asio::steady_timer RetryTimer;
  boost::asio::steady_timer HedgeTimer;
  TimePoint Begun;
  TimePoint DeadlineAt;
  Duration NextDelay;
  std::uint32_t Retries = 0;
  std::uint32_t Attempts = 0;
  /// The request counts against the workspace's rate here, not at a relay.
  bool Charged = false;
  bool ChunkedAnswer = false;
  bool AnswerBegun = false;     ///< Some byte of an answer was written.
  bool WaitingForOwner = false; ///< The slice has no owner at the moment.
  bool RetryPending = false;    ///< The retry timer runs.
  bool Settled = false;         ///< Refused or ended; nothing more may start.
  bool Finished = false;        ///< The end handler has run.
};

} // namespace buckthornring
