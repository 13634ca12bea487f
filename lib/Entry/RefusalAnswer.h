#pragma once

#include "IO/CallerStream.h"
#include "buckthornring/Observe/Reasons.h"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthornring {

/// Returns the HTTP status of a refusal.
auto refusalStatus(RefusalReason Reason) -> unsigned;

/// Returns the refusal of a request that cannot be read, or nothing when the
/// caller has left.
auto unreadableRefusal(ReadOutcome Outcome) -> std::optional<RefusalReason>;

/// Returns the whole answer that refuses a request: status, Btr-Refusal,
/// Btr-Run and, for over-rate, Retry-After with \p RetryAfter in seconds.
auto refusalAnswer(RefusalReason Reason, RunStatus Run, bool KeepAlive,
                   std::int64_t RetryAfter = 1) -> std::string;

} // namespace buckthornring
