#pragma once

#include "buckthornring/Observe/Reasons.h"

#include <string>

namespace buckthornring {

/// Returns the HTTP status of a refusal.
auto refusalStatus(RefusalReason Reason) -> unsigned;

/// Returns the whole answer that refuses a request: status, Btr-Refusal,
/// Btr-Run and, for over-rate, Retry-After.
auto refusalAnswer(RefusalReason Reason, RunStatus Run, bool KeepAlive)
    -> std::string;

} // namespace buckthornring
