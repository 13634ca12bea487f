#pragma once

#include "buckthornring/Common/EnumNames.h"

namespace buckthornring {

/// Why a request was refused by the router. Each value has a counter, and its
/// name is sent to the caller in the Btr-Refusal header.
enum class RefusalReason {
  MalformedRequest,
  HeadTooLarge,
  BodyTooLarge,
  UnknownRoute,
  MissingKey,
  UnknownCallerKey,
  WithdrawnCallerKey,
  StaleConfiguration,
  OverRate,
  QueueFull,
  NoOwner,
  NoTarget,
  TargetShed,
  DeadlineExceeded,
  ConnectionLost,
  RetryBudgetSpent,
  DataCentreUnreachable,
  ShuttingDown,
  SlowSender,
  TargetsPaused,
  RequestSuspected,
  RequestQuarantined,
};

inline constexpr EnumNames<RefusalReason, 22> RefusalReasonNames({
    "malformed-request",
    "head-too-large",
    "body-too-large",
    "unknown-route",
    "missing-key",
    "unknown-caller-key",
    "withdrawn-caller-key",
    "stale-configuration",
    "over-rate",
    "queue-full",
    "no-owner",
    "no-target",
    "target-shed",
    "deadline-exceeded",
    "connection-lost",
    "retry-budget-spent",
    "data-centre-unreachable",
    "shutting-down",
    "slow-sender",
    "targets-paused",
    "request-suspected",
    "request-quarantined",
});

/// Why an attempt was followed by another one. Each value has a counter.
enum class RetryReason {
  ConnectFailed,
  ConnectionLost,
  RefusedStaleEpoch,
  RefusedNoLease,
  RefusedShed,
  RefusedDraining,
  Hedge,
};

inline constexpr EnumNames<RetryReason, 7> RetryReasonNames({
    "connect-failed",
    "connection-lost",
    "refused-stale-epoch",
    "refused-no-lease",
    "refused-shed",
    "refused-draining",
    "hedge",
});

/// Whether a refused request may have run. Sent in the Btr-Run header.
enum class RunStatus {
  NotRun,  ///< No target ran any part of the request.
  Unknown, ///< A target may have run the request.
};

inline constexpr EnumNames<RunStatus, 2> RunStatusNames({"not-run", "unknown"});

} // namespace buckthornring
