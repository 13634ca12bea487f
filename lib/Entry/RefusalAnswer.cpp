#include "Entry/RefusalAnswer.h"

#include "IO/MessageHead.h"

#include <array>
#include <string_view>

namespace buckthornring {

namespace {

struct StatusLine {
  unsigned Status;
  std::string_view Phrase;
};

constexpr StatusLine BadRequest = {400, "Bad Request"};
constexpr StatusLine Unauthorized = {401, "Unauthorized"};
constexpr StatusLine NotFound = {404, "Not Found"};
constexpr StatusLine RequestTimeout = {408, "Request Timeout"};
constexpr StatusLine TooLarge = {413, "Content Too Large"};
constexpr StatusLine TooMany = {429, "Too Many Requests"};
constexpr StatusLine BadGateway = {502, "Bad Gateway"};
constexpr StatusLine Unavailable = {503, "Service Unavailable"};
constexpr StatusLine GatewayTimeout = {504, "Gateway Timeout"};

/// Indexed by RefusalReason.
constexpr std::array<StatusLine, RefusalReasonNames.size()> StatusLines = {
    BadRequest,     // malformed-request
    TooLarge,       // head-too-large
    TooLarge,       // body-too-large
    NotFound,       // unknown-route
    BadRequest,     // missing-key
    Unauthorized,   // unknown-caller-key
    Unauthorized,   // withdrawn-caller-key
    Unavailable,    // stale-configuration
    TooMany,        // over-rate
    Unavailable,    // queue-full
    Unavailable,    // no-owner
    Unavailable,    // no-target
    Unavailable,    // target-shed
    GatewayTimeout, // deadline-exceeded
    BadGateway,     // connection-lost
    Unavailable,    // retry-budget-spent
    Unavailable,    // data-centre-unreachable
    Unavailable,    // shutting-down
    RequestTimeout, // slow-sender
    Unavailable,    // targets-paused
    Unavailable,    // request-suspected
    Unavailable,    // request-quarantined
};

auto statusLine(RefusalReason Reason) -> const StatusLine & {
  return StatusLines.at(static_cast<std::size_t>(Reason));
}

} // namespace

auto refusalStatus(RefusalReason Reason) -> unsigned {
  return statusLine(Reason).Status;
}

auto unreadableRefusal(ReadOutcome Outcome) -> std::optional<RefusalReason> {
  switch (Outcome) {
  case ReadOutcome::Malformed:
    return RefusalReason::MalformedRequest;
  case ReadOutcome::HeadTooLarge:
    return RefusalReason::HeadTooLarge;
  case ReadOutcome::BodyTooLarge:
    return RefusalReason::BodyTooLarge;
  case ReadOutcome::SlowSender:
    return RefusalReason::SlowSender;
  case ReadOutcome::Ok:
  case ReadOutcome::Closed:
  case ReadOutcome::Idle:
    break;
  }
  return std::nullopt;
}

auto refusalAnswer(RefusalReason Reason, RunStatus Run, bool KeepAlive,
                   std::int64_t RetryAfter) -> std::string {
  const StatusLine &Line = statusLine(Reason);
  std::string Out = "HTTP/1.1 " + std::to_string(Line.Status) + " ";
  Out.append(Line.Phrase).append("\r\n");
  appendField(Out, "Btr-Refusal", RefusalReasonNames.name(Reason));
  appendField(Out, "Btr-Run", RunStatusNames.name(Run));
  if (Reason == RefusalReason::OverRate)
    appendField(Out, "Retry-After", std::to_string(RetryAfter));
  if (Line.Status == Unauthorized.Status)
    appendField(Out, "WWW-Authenticate", "Bearer");
  if (!KeepAlive)
    appendField(Out, "Connection", "close");
  appendFraming(Out, {0});
  return Out.append("\r\n");
}

} // namespace buckthornring
