#include "Commands.h"

#include "buckthornring/Observe/Reasons.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace buckthornring::cli {

namespace {

using Counts = std::array<std::uint64_t, RefusalReasonNames.size()>;

/// Explanation of each reason, in the order of RefusalReason.
constexpr std::array<const char *, RefusalReasonNames.size()> Explanations = {
    "The request is not valid HTTP/1.1, or a header that the router reads is "
    "malformed. The caller has to correct it.",
    "The request line and headers exceed limits.max_head_bytes.",
    "The body exceeds limits.max_body_bytes.",
    "No route's path_prefix matches the path.",
    "The service is divided by key, and the request has no key at the place "
    "that the route's key_source names.",
    "The request carries no caller key, or one whose digest is not in "
    "caller_keys.",
    "The caller key has been withdrawn.",
    "The instance could not confirm in time that its configuration is current, "
    "so a key may have been withdrawn unnoticed. Check its links and the "
    "platform.",
    "The workspace is above its rate_per_second and burst, counted over all "
    "instances. Retry-After gives the time to wait.",
    "The workspace's queue for the service is full (queue_limit). Requests "
    "arrive faster than the targets complete them.",
    "The slice of the key has no owner that may serve: it is being moved, or "
    "its data centre waits for the platform. Run owner SERVICE KEY.",
    "No target of the service takes work: all are taken out, ejected or in "
    "cold start.",
    "The target refused the request before running it, and no retry was "
    "left.",
    "The deadline passed. Btr-Run tells whether a target may have run the "
    "request.",
    "The connection to the target broke. Btr-Run tells whether a target may "
    "have run the request.",
    "A retry would exceed the workspace's retry budget (10% of its requests).",
    "The key's home data centre cannot be reached over a link.",
    "The instance is shutting down; another one will take the request.",
    "The caller sent its request too slowly (limits.slow_sender_timeout_ms).",
    "All targets that could run the request have asked for a pause. "
    "Retry-After gives the time until one takes requests again.",
    "A target crashed while it ran the request. Another copy is running, and "
    "its end shows whether the request was the cause.",
    "Three targets crashed while they ran the request, and none has completed "
    "it since. Retry-After gives the time until it is tried again.",
};

/// Adds the refusal counters of a Prometheus text, summed over all other
/// labels.
auto addRefusals(const std::string &Text, Counts &Sums) -> void {
  constexpr std::string_view Family = "buckthornring_refusals_total{";
  constexpr std::string_view Label = "reason=\"";
  std::istringstream Stream(Text);
  for (std::string Row; std::getline(Stream, Row);) {
    const auto Start = Row.find(Label);
    const auto Close = Row.rfind("} ");
    if (!Row.starts_with(Family) || Start == std::string::npos ||
        Close == std::string::npos)
      continue;
    const auto First = Start + Label.size();
    const auto Name = Row.substr(First, Row.find('"', First) - First);
    const auto Reason = RefusalReasonNames.parse(Name);
    std::uint64_t Value = 0;
    const char *Last = Row.data() + Row.size();
    const auto Number = std::from_chars(Row.data() + Close + 2, Last, Value);
    if (Reason && Number.ec == std::errc())
      Sums.at(static_cast<std::size_t>(*Reason)) += Value;
  }
}

auto addReason(std::size_t Index, std::uint64_t Count, bool Counted,
               CommandResult &Out) -> void {
  const std::string Name(
      RefusalReasonNames.name(static_cast<RefusalReason>(Index)));
  nlohmann::json Entry = {{"reason", Name},
                          {"meaning", Explanations.at(Index)}};
  std::string Row = Name;
  if (Counted) {
    Entry["count"] = Count;
    Row += " " + std::to_string(Count);
  }
  Out.Details["reasons"].push_back(std::move(Entry));
  Out.Lines.push_back(Row + ": " + Explanations.at(Index));
}

/// Adds the counters of all endpoints. Returns whether all endpoints
/// responded; otherwise the message names the others.
auto readAll(const CommandLine &Line, Counts &Sums, CommandResult &Out)
    -> bool {
  for (const auto &Each : Line.AdminAddresses) {
    const auto Text = fetchAdmin(Each, "/metrics", Line.TimeLimit);
    if (Text) {
      addRefusals(*Text, Sums);
      continue;
    }
    if (!Out.Message.empty())
      Out.Message += "; ";
    Out.Message += "no answer from " + Each + ": " + Text.error().message();
  }
  return Out.Message.empty();
}

auto unknownReason(const std::string &Name) -> CommandResult {
  std::string Reasons;
  for (std::size_t Index = 0; Index < RefusalReasonNames.size(); ++Index) {
    Reasons += Index == 0 ? "" : ", ";
    Reasons += RefusalReasonNames.name(static_cast<RefusalReason>(Index));
  }
  return CommandResult::failure(ExitCode::Invalid, "invalid",
                                "there is no reason " + Name +
                                    "; reasons: " + Reasons);
}

} // namespace

auto whyCommand(const CommandLine &Line) -> CommandResult {
  std::optional<RefusalReason> Only;
  if (!Line.Arguments.empty()) {
    Only = RefusalReasonNames.parse(Line.Arguments[0]);
    if (!Only)
      return unknownReason(Line.Arguments[0]);
  }
  CommandResult Out;
  Out.Result = "shown";
  Out.Details["reasons"] = nlohmann::json::array();
  Counts Sums{};
  if (!readAll(Line, Sums, Out)) {
    Out.Code = ExitCode::Unreachable;
    Out.Result = "unreachable";
  }
  const bool Counted = !Line.AdminAddresses.empty();
  for (std::size_t Index = 0; Index < Sums.size(); ++Index)
    if (Only ? static_cast<std::size_t>(*Only) == Index
             : !Counted || Sums.at(Index) > 0)
      addReason(Index, Sums.at(Index), Counted, Out);
  if (Out.Lines.empty() && Out.Code == ExitCode::Done)
    Out.Lines.emplace_back("no refusals");
  return Out;
}

} // namespace buckthornring::cli
