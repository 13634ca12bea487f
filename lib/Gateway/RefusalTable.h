#pragma once

#include "buckthornring/Common/Time.h"
#include "buckthornring/Observe/Reasons.h"

#include <string>

namespace buckthornring {

/// HTTP status of a refusal. Statuses that promise that the request has not
/// run are used only when that is certain.
auto refusalStatus(RefusalReason Reason, RunStatus Run) -> unsigned;

/// Time after which the caller should come back.
auto retryAfter(RefusalReason Reason, Duration TargetLatency) -> Duration;

/// Seconds with three decimals.
auto secondsText(Duration Span) -> std::string;

} // namespace buckthornring
