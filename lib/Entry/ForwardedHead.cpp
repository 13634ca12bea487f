#include "Entry/ForwardedHead.h"

#include "Entry/AttemptRunner.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace buckthornring {

namespace {

auto isRefusalField(std::string_view Name) -> bool {
  return sameHeaderName(Name, "Btr-Refusal") || sameHeaderName(Name, "Btr-Run");
}

auto atLeastOneMillisecond(Duration Span) -> std::int64_t {
  return std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(Span).count());
}

/// Adds what only the router says to targets and relays.
auto appendRouterFields(std::string &Out, const OutgoingRequest &Request)
    -> void {
  if (Request.Place.Relay)
    appendField(Out, "Btr-Relayed", "1");
  appendField(Out, "Btr-Request-Id", Request.RequestId);
  if (!Request.Plan.Workspace.empty())
    appendField(Out, "Btr-Workspace", Request.Plan.Workspace.str());
  appendField(Out, "Btr-Deadline-Ms",
              std::to_string(atLeastOneMillisecond(Request.Remaining)));
  if (!Request.Place.Slice)
    return;
  appendField(Out, "Btr-Slice", std::to_string(Request.Plan.Slice));
  appendField(Out, "Btr-Epoch", epochText(*Request.Place.Slice));
}

} // namespace

auto outgoingHead(const OutgoingRequest &Request) -> std::string {
  std::string Out;
  Out.reserve(1024);
  Out.append(Request.Head.Method).append(" ").append(Request.Head.Target);
  Out.append(" HTTP/1.1\r\n");
  const auto &Fields = Request.Head.Fields;
  const std::string Connection = connectionOptions(Fields);
  const auto Withheld =
      Request.Place.Relay ? isWithheldFromRelay : isWithheldFromTarget;
  for (const auto &Field : Fields)
    if (!Withheld(Field, Connection))
      appendField(Out, Field.first, Field.second);
  appendRouterFields(Out, Request);
  if (Request.Framing.Length != 0 || Fields.contains("Content-Length"))
    appendFraming(Out, Request.Framing);
  return Out.append("\r\n");
}

auto answerHead(const IncomingAnswer &Answer) -> std::string {
  const ResponseHead &Head = Answer.Head;
  std::string Out = "HTTP/1.1 " + std::to_string(Head.Status) + " ";
  Out.append(Head.Reason).append("\r\n");
  const std::string Connection = connectionOptions(Head.Fields);
  for (const auto &[Name, Value] : Head.Fields) {
    // Only a router says what a refusal means.
    if (!Answer.FromRelay && isRefusalField(Name))
      continue;
    if (Answer.Retried && sameHeaderName(Name, "Btr-Run")) {
      appendField(Out, Name, RunStatusNames.name(RunStatus::Unknown));
      continue;
    }
    const bool AnnouncedLength =
        Head.Bodiless && sameHeaderName(Name, "Content-Length");
    if (AnnouncedLength || !isHopByHop(Name, Connection))
      appendField(Out, Name, Value);
  }
  if (!Head.Bodiless)
    appendFraming(Out, Head.Framing);
  if (!Answer.KeepConnection)
    appendField(Out, "Connection", "close");
  return Out.append("\r\n");
}

} // namespace buckthornring
