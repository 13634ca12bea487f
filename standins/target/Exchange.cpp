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
  const auto *Last = Text->data() + Text->size();
  const auto Parsed = std::from_chars(Text->data(), Last, Value);
  if (Text->empty() || Parsed.ec != std::errc() || Parsed.ptr != Last)
    return std::nullopt;
  return Value;
}

auto headerText(const HttpRequest &Request, std::string_view Name)
    -> std::string {
  return std::string(Request.Headers.find(Name).value_or(""));
}

auto epochText(const Epoch &At) -> std::string {
  return std::to_string(At.Term) + '.' + std::to_string(At.Sequence);
}

auto refusalAnswer(const std::string &Reason) -> HttpResponse {
  const bool IsEpoch = Reason == "stale-epoch" || Reason == "no-lease";
  return {IsEpoch ? 409U : 503U, {{"Btr-Refusal", Reason}}, {}};
}

} // namespace

auto TargetServer::run(const HttpRequest &Request,
                       const HttpResponder &Responder) -> void {
  auto Order = std::make_shared<Exchange>(
      Exchange{Request, Responder, headerText(Request, "Btr-Request-Id"),
               std::nullopt, headerText(Request, "Btr-Epoch")});
  if (const auto Slice = headerNumber(Request, "Btr-Slice"))
    Order->Slice = static_cast<std::uint32_t>(*Slice);
  Order->SawCallerKey = Request.Headers.contains("X-Caller-Key") ||
                        Request.Headers.contains("Authorization");
  if (const auto Reason = refusalOf(*Order); !Reason.empty()) {
    Responder.respond(refusalAnswer(Reason));
    return;
  }
  Work Item;
  Item.RequestId = Order->RequestId;
  if (const auto Limit = headerNumber(Request, "Btr-Deadline-Ms"))
    Item.DeadlineUs = steadyUs() + static_cast<std::int64_t>(*Limit) * 1000;
  if (const auto Time = headerNumber(Request, "X-Test-Service-Ms"))
    Item.Service = std::chrono::milliseconds(*Time);
  Item.Begin = [this, Order] { return begin(Order); };
  Item.Done = [this, Order] { finish(Order); };
  Item.Shed = [Order] { Order->Responder.respond(refusalAnswer("shed")); };
  Item.Cancelled = [this, Order] {
    Log.end(Order->RunIndex, steadyUs(), true);
    if (Order->Slice && --RunningSlices[*Order->Slice] == 0)
      RunningSlices.erase(*Order->Slice);
    Order->Responder.abort();
  };
  Slots.submit(std::move(Item));
}

auto TargetServer::refusalOf(const Exchange &Order) -> std::string {
  if (ShedAll || CancelledIds.contains(Order.RequestId))
    return "shed";
  if (isDraining())
    return "draining";
  if (!Options.Verified)
    return {};
  if (!Order.Slice)
    return "no-lease";
  const auto Held = Grants->held(*Order.Slice, steadyUs());
  if (!Held)
    return "no-lease";
  return epochText(*Held) == Order.Epoch ? "" : "stale-epoch";
}

// The grant is checked again here, since the request may have waited for a slot
// or the process may have been paused.
auto TargetServer::begin(const std::shared_ptr<Exchange> &Order) -> bool {
  if (const auto Reason = refusalOf(*Order); !Reason.empty()) {
    Order->Responder.respond(refusalAnswer(Reason));
    return false;
  }
  Run Entry;
  Entry.RequestId = Order->RequestId;
  Entry.Workspace = headerText(Order->Request, "Btr-Workspace");
  Entry.Slice = headerText(Order->Request, "Btr-Slice");
  Entry.Epoch = Order->Epoch;
  Entry.Method = Order->Request.Method;
  Entry.Path = Order->Request.Target;
  Entry.SawCallerKey = Order->SawCallerKey;
  Entry.StartedUs = steadyUs();
  Order->RunIndex = Log.begin(std::move(Entry));
  if (Order->Slice)
    ++RunningSlices[*Order->Slice];
  return true;
}

auto TargetServer::finish(const std::shared_ptr<Exchange> &Order) -> void {
  Log.end(Order->RunIndex, steadyUs(), false);
  if (Order->Slice && --RunningSlices[*Order->Slice] == 0)
    RunningSlices.erase(*Order->Slice);
  const auto &Request = Order->Request;
  auto Answer =
      jsonAnswer({{"target", Options.Name},
                  {"request_id", Order->RequestId},
                  {"workspace", headerText(Request, "Btr-Workspace")},
                  {"slice", headerText(Request, "Btr-Slice")},
                  {"epoch", Order->Epoch},
                  {"caller_key_seen", Order->SawCallerKey},
                  {"method", Request.Method},
                  {"path", Request.Target},
                  {"idempotency_key", headerText(Request, "Idempotency-Key")},
                  {"body", Request.Body}});
  if (!Order->Epoch.empty())
    Answer.Headers.add("Btr-Epoch", Order->Epoch);
  if (const auto Bytes = headerNumber(Request, "X-Test-Cut-Bytes"))
    Order->Responder.respondTruncated(std::move(Answer), *Bytes);
  else
    Order->Responder.respond(std::move(Answer));
}

} // namespace buckthornring::standin
