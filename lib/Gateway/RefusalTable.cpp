#include "Gateway/RefusalTable.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace buckthornring {

namespace {

/// Bounds of Retry-After. After a shorter wait the queue is still the same;
/// callers do not accept a longer one.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(150);
constexpr Duration MaxRetryAfter = std::chrono::milliseconds(1500);

/// Time that a move of keys or a new grant usually takes.
constexpr Duration NoOwnerRetryAfter = std::chrono::milliseconds(700);

constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;

} // namespace

auto refusalStatus(RefusalReason Reason, RunStatus Run) -> unsigned {
  if (Run == RunStatus::Unknown)
    return Reason == RefusalReason::DeadlineExceeded ? GatewayTimeout
                                                     : BadGateway;
  switch (Reason) {
  case RefusalReason::MalformedRequest:
  case RefusalReason::MissingKey:
    return 400;
  case RefusalReason::UnknownCallerKey:
  case RefusalReason::WithdrawnCallerKey:
    return 401;
  case RefusalReason::UnknownRoute:
    return 404;
  case RefusalReason::SlowSender:
    return 408;
  case RefusalReason::BodyTooLarge:
    return 413;
  case RefusalReason::OverRate:
    return 429;
  case RefusalReason::HeadTooLarge:
    return 431;
  default:
    return Unavailable;
  }
}

auto retryAfter(RefusalReason Reason, Duration TargetLatency) -> Duration {
  // Another instance can run the request at once.
  if (Reason == RefusalReason::ShuttingDown)
    return MinRetryAfter;
  const Duration Preferred =
      Reason == RefusalReason::NoOwner ? NoOwnerRetryAfter : TargetLatency / 2;
  return std::clamp(Preferred, MinRetryAfter, MaxRetryAfter);
}

auto formatSeconds(Duration Value) -> std::string {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                static_cast<double>(Value.count()) / 1e6);
  return Text.data();
}

} // namespace buckthornring
