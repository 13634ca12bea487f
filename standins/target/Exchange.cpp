#include "Exchange.h"

#include "../common/Program.h"

#include <charconv>

namespace buckthornring::standin {

namespace {

auto headerNumber(const HttpRequest &Request, std::string_view Name)
    -> std::optional<std::uint64_t> {
  const auto Text = Request.Headers.find(Name);
  if (!Text)
    return std::nullopt;
  std::uint64_t Value = 0;
  const auto *End = Text->data() + Text->size();
  const auto Parsed = std::from_chars(Text->data(), End, Value);
  if (Text->empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

auto headerText(const HttpRequest &Request, std::string_view Name)
    -> std::string {
  return std::string(Request.Headers.find(Name).value_or(""));
}

auto epochText(const Epoch &EpochValue) -> std::string {
  return std::to_string(EpochValue.Term) + '.' +
         std::to_string(EpochValue.Sequence);
}

auto refusalResponse(const std::string &Reason) -> HttpResponse {
  const bool IsOwnershipRefusal =
      Reason == "stale-epoch" || Reason == "no-lease";
  return {IsOwnershipRefusal ? 409U : 503U, {{"Btr-Refusal", Reason}}, {}};
}

} // namespace

auto TargetServer::run(const HttpRequest &Request,
                       const HttpResponder &Responder) -> void {
  auto ActiveExchange = std::make_shared<Exchange>(
      Exchange{Request, Responder, headerText(Request, "Btr-Request-Id"),
               std::nullopt, headerText(Request, "Btr-Epoch")});
  if (const auto Slice = headerNumber(Request, "Btr-Slice"))
    ActiveExchange->Slice = static_cast<std::uint32_t>(*Slice);
  ActiveExchange->SawCallerKey = Request.Headers.contains("X-Caller-Key") ||
                                 Request.Headers.contains("Authorization");
  if (const auto Reason = refusalReason(*ActiveExchange); !Reason.empty()) {
    Responder.respond(refusalResponse(Reason));
    return;
  }
  Work Item;
  Item.RequestId = ActiveExchange->RequestId;
  if (const auto DeadlineMs = headerNumber(Request, "Btr-Deadline-Ms"))
    Item.DeadlineUs =
        steadyUs() + static_cast<std::int64_t>(*DeadlineMs) * 1000;
  if (const auto ServiceMs = headerNumber(Request, "X-Test-Service-Ms"))
    Item.ServiceTime = std::chrono::milliseconds(*ServiceMs);
  Item.OnBegin = [this, ActiveExchange] { return begin(ActiveExchange); };
  Item.OnDone = [this, ActiveExchange] { finish(ActiveExchange); };
  Item.OnShed = [ActiveExchange] {
    ActiveExchange->Responder.respond(refusalResponse("shed"));
  };
  Item.OnCancelled = [this, ActiveExchange] {
    Log.end(ActiveExchange->RunIndex, steadyUs(), true);
    if (ActiveExchange->Slice && --RunningSlices[*ActiveExchange->Slice] == 0)
      RunningSlices.erase(*ActiveExchange->Slice);
    ActiveExchange->Responder.abort();
  };
  Pool.submit(std::move(Item));
}

auto TargetServer::refusalReason(const Exchange &ActiveExchange)
    -> std::string {
  if (ShedAll || CancelledIds.contains(ActiveExchange.RequestId))
    return "shed";
  if (isDraining())
    return "draining";
  if (!Options.Verified)
    return {};
  if (!ActiveExchange.Slice)
    return "no-lease";
  const auto HeldEpoch = Grants->heldEpoch(*ActiveExchange.Slice, steadyUs());
  if (!HeldEpoch)
    return "no-lease";
  return epochText(*HeldEpoch) == ActiveExchange.Epoch ? "" : "stale-epoch";
}

// The grant is checked again here, since the request may have waited for a slot
// or the process may have been paused.
auto TargetServer::begin(const std::shared_ptr<Exchange> &ActiveExchange)
    -> bool {
  if (const auto Reason = refusalReason(*ActiveExchange); !Reason.empty()) {
    ActiveExchange->Responder.respond(refusalResponse(Reason));
    return false;
  }
  Run Entry;
  Entry.RequestId = ActiveExchange->RequestId;
  Entry.Workspace = headerText(ActiveExchange->Request, "Btr-Workspace");
  Entry.Slice = headerText(ActiveExchange->Request, "Btr-Slice");
  Entry.Epoch = ActiveExchange->Epoch;
  Entry.Method = ActiveExchange->Request.Method;
  Entry.Path = ActiveExchange->Request.Target;
  Entry.SawCallerKey = ActiveExchange->SawCallerKey;
  Entry.StartedUs = steadyUs();
  ActiveExchange->RunIndex = Log.begin(std::move(Entry));
  if (ActiveExchange->Slice)
    ++RunningSlices[*ActiveExchange->Slice];
  return true;
}

auto TargetServer::finish(const std::shared_ptr<Exchange> &ActiveExchange)
    -> void {
  Log.end(ActiveExchange->RunIndex, steadyUs(), false);
  if (ActiveExchange->Slice && --RunningSlices[*ActiveExchange->Slice] == 0)
    RunningSlices.erase(*ActiveExchange->Slice);
  const auto &Request = ActiveExchange->Request;
  auto Response =
      jsonResponse({{"target", Options.Name},
                    {"request_id", ActiveExchange->RequestId},
                    {"workspace", headerText(Request, "Btr-Workspace")},
                    {"slice", headerText(Request, "Btr-Slice")},
                    {"epoch", ActiveExchange->Epoch},
                    {"caller_key_seen", ActiveExchange->SawCallerKey},
                    {"method", Request.Method},
                    {"path", Request.Target},
                    {"idempotency_key", headerText(Request, "Idempotency-Key")},
                    {"body", Request.Body}});
  if (!ActiveExchange->Epoch.empty())
    Response.Headers.add("Btr-Epoch", ActiveExchange->Epoch);
  if (const auto Bytes = headerNumber(Request, "X-Test-Cut-Bytes"))
    ActiveExchange->Responder.respondTruncated(std::move(Response), *Bytes);
  else
    ActiveExchange->Responder.respond(std::move(Response));
}

} // namespace buckthornring::standin
