#pragma once

#include "buckthornring/Attempt/RunRecord.h"
#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Observe/Reasons.h"

#include <memory>

namespace buckthornring {

/// Phase of one attempt to run a request on a target (docs/design.md, 6).
enum class AttemptPhase {
  Queued,     ///< Waits for a slot; has no connection.
  Connecting, ///< Has a target, no byte was handed to the socket.
  Writing,    ///< Any byte of the request may have been sent.
  Written,    ///< The whole request was handed to the socket.
  Answering,  ///< The response head was forwarded to the caller.
  Done,
};

inline constexpr EnumNames<AttemptPhase, 6> AttemptPhaseNames(
    {"queued", "connecting", "writing", "written", "answering", "done"});

/// Why a target did not run a request (409 or 503 with Btr-Refusal).
enum class TargetRefusal { StaleEpoch, NoLease, Shed, Draining };

inline constexpr EnumNames<TargetRefusal, 4>
    TargetRefusalNames({"stale-epoch", "no-lease", "shed", "draining"});

/// What the owner of an Attempt does next.
enum class AttemptAction {
  Proceed, ///< Nothing; the attempt goes on.
  Forward, ///< Forward the response head and then the body to the caller.
  Finish,  ///< The response is complete.
  Retry,   ///< Start another attempt if the retry budget and the deadline allow
           ///< it; refuse with \c Refusal and \c Run otherwise.
  Abort,   ///< Abort the caller's connection: a response was begun and can't be
           ///< completed.
  Refuse,  ///< Refuse the request with \c Refusal and \c Run.
  Drop,    ///< Nothing for the caller: it has left, or another attempt serves
           ///< the request.
};

inline constexpr EnumNames<AttemptAction, 7> AttemptActionNames(
    {"proceed", "forward", "finish", "retry", "abort", "refuse", "drop"});

/// Result of one event.
struct AttemptOutcome {
  AttemptAction Action = AttemptAction::Proceed;
  /// Meaningful for Refuse and Retry.
  RefusalReason Refusal = RefusalReason::NoTarget;
  /// Meaningful for Refuse and Retry; covers all attempts of the request.
  RunStatus Run = RunStatus::NotRun;
  /// Meaningful for Retry.
  RetryReason Retry = RetryReason::ConnectFailed;
  /// Close the attempt's connection, which has an unfinished exchange.
  bool CloseConnection = false;
  /// Send POST /control/cancel for this attempt to the target.
  bool CancelAtTarget = false;
};

/// State machine of one attempt. Decides what a failure means in each phase.
///
/// Events that the network or the caller can cause at any time (a lost
/// connection, a response, a deadline, a caller that leaves) are accepted in
/// every phase; in \c Done they only close the connection. Events that report
/// the sender's own progress violate an invariant in a wrong phase.
class Attempt {
public:
  /// \p Record belongs to the request and outlives the attempt. A
  /// non-idempotent request may have only one live attempt.
  explicit Attempt(RunRecord &Record);
  ~Attempt();
  Attempt(const Attempt &) = delete;
  auto operator=(const Attempt &) -> Attempt & = delete;

  auto phase() const -> AttemptPhase;

  /// A slot and a target were found. Queued -> Connecting.
  auto targetChosen() -> AttemptOutcome;

  /// The connection can be written to. Stays in Connecting.
  auto connectionReady() -> AttemptOutcome;

  /// To be called before the first byte is handed to the socket, because a
  /// write that reports an error may have sent part of its data.
  auto writeStarted() -> AttemptOutcome;

  /// The whole request was handed to the socket.
  auto requestWritten() -> AttemptOutcome;

  /// A response head without Btr-Refusal arrived, possibly before the whole
  /// request was written.
  auto responseHead() -> AttemptOutcome;

  /// The response is complete. The connection can be reused unless the outcome
  /// says otherwise.
  auto responseEnd() -> AttemptOutcome;

  /// The target answered 409 or 503 with Btr-Refusal.
  auto refusedByTarget(TargetRefusal Reason) -> AttemptOutcome;

  /// The connection could not be opened, or broke.
  auto connectionLost() -> AttemptOutcome;

  /// The router ends the request: its deadline has passed, its caller key was
  /// withdrawn or its sender is too slow. To be called for every live attempt
  /// of the request.
  auto stop(RefusalReason Reason) -> AttemptOutcome;
  auto deadlineReached() -> AttemptOutcome {
    return stop(RefusalReason::DeadlineExceeded);
  }

  /// The caller closed its connection.
  auto callerGone() -> AttemptOutcome;

  /// Another attempt of the same request answers the caller.
  auto superseded() -> AttemptOutcome;

private:
  struct Machine;
  std::unique_ptr<Machine> Impl;
};

} // namespace buckthornring
