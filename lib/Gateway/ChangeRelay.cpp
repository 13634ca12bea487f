#include "Gateway/ChangeRelay.h"

#include "Gateway/ObjectText.h"
#include "IO/BootClock.h"
#include "IO/Deflate.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace buckthornring {

namespace {

/// Age of the last proof of contact beyond which nothing is served. A relay
/// calls the store every 0.4 s, and the age is counted from the time at which
/// the last answered call was sent. The rest allows for a slow store and for
/// the delay of the next watch after changes.
constexpr Duration MaxProofAge = std::chrono::milliseconds(1300);

/// Upper bound of the wait of one call, whatever wait_ms it requests.
constexpr std::uint64_t MaxWaitMs = 5000;

/// Time for which an instance without recent contact delays its answer. A relay
/// that has just been named reads the store within milliseconds.
constexpr Duration ContactWait = std::chrono::milliseconds(200);

/// Size from which a list is worth the time that compressing it takes.
constexpr std::size_t MinCompressedBytes = 8192;

auto queryNumber(const HttpRequest &Request, const char *Name)
    -> std::optional<std::uint64_t> {
  const auto Text = Request.query(Name);
  std::uint64_t Value = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Value).ec !=
          std::errc())
    return std::nullopt;
  return Value;
}

auto statusResponse(unsigned Code) -> HttpResponse {
  HttpResponse Response;
  Response.Status = Code;
  return Response;
}

} // namespace

auto ChangeRelay::hasRecentContact() const -> bool {
  return ContactFeed.connected() &&
         bootNow() - ContactFeed.confirmedAt() <= MaxProofAge;
}

auto ChangeRelay::upToDate(const std::string &Kind) const -> bool {
  const StoreFeed &Feed = *Feeds.at(Kind);
  return hasRecentContact() && Feed.connected() &&
         Feed.confirmedAt() >= BegunAt;
}

auto ChangeRelay::begin() -> void { BegunAt = bootNow(); }

auto ChangeRelay::hasChanges(const Query &Asked) const -> bool {
  return !Asked.Since || Feeds.at(Asked.Kind)->differsFrom(*Asked.Since);
}

auto ChangeRelay::encodeObjects(const Query &Asked) -> const EncodedObjects * {
  const StoreFeed &Feed = *Feeds.at(Asked.Kind);
  EncodedObjects &Last = LastEncoded[Asked.Kind];
  if (Last.Asked == Asked && Last.ChangeCount == Feed.changeCount())
    return &Last;
  ObjectListWriter Objects(ObjectListForm::Changes);
  if (Asked.Since) {
    const auto Changes = Feed.changesSince(*Asked.Since);
    if (!Changes)
      return nullptr;
    for (const StoredObject &Object : *Changes)
      Objects.add(Object);
  } else {
    for (const auto &[Name, Object] : Feed.objects())
      Objects.add(Object);
  }
  Last = {Asked, Feed.changeCount(), std::move(Objects).text(), false};
  Last.Compressed =
      Asked.AcceptsDeflate && Last.Text.size() >= MinCompressedBytes;
  if (Last.Compressed)
    Last.Text = deflateText(Last.Text);
  return &Last;
}

auto ChangeRelay::respond(const Query &Asked, const HttpResponder &Responder)
    -> void {
  if (!upToDate(Asked.Kind))
    return Responder.respond(statusResponse(503));
  const EncodedObjects *Objects = encodeObjects(Asked);
  if (!Objects)
    return Responder.respond(statusResponse(410));
  const auto Revision = std::to_string(
      std::max(Feeds.at(Asked.Kind)->revision(), Asked.Since.value_or(0)));
  const auto Age =
      std::to_string((bootNow() - ContactFeed.confirmedAt()).count());
  HttpResponse Response;
  Response.Headers.set("Content-Type", "application/json");
  if (Objects->Compressed) {
    Response.Headers.set("Content-Encoding", "deflate");
    Response.Headers.set(RevisionField, Revision);
    Response.Headers.set(AgeField, Age);
    Response.Body = Objects->Text;
  } else {
    Response.Body.append("{\"revision\":")
        .append(Revision)
        .append(",\"age_us\":")
        .append(Age)
        .append(",\"objects\":")
        .append(Objects->Text)
        .append("}");
  }
  Responder.respond(std::move(Response));
}

auto ChangeRelay::handleRequest(const HttpRequest &Request,
                                const HttpResponder &Responder) -> void {
  Query Asked;
  Asked.Kind = Request.query("kind").value_or("");
  if (!Feeds.contains(Asked.Kind))
    return Responder.respond(statusResponse(404));
  Asked.Since = queryNumber(Request, "since");
  Asked.AcceptsDeflate = Request.Headers.find("Accept-Encoding") == "deflate";
  const bool Confirmed = upToDate(Asked.Kind);
  if (Confirmed && hasChanges(Asked))
    return respond(Asked, Responder);
  const Duration Wait =
      Confirmed ? std::chrono::milliseconds(std::min(
                      queryNumber(Request, "wait_ms").value_or(0), MaxWaitMs))
                : ContactWait;
  auto Call = std::make_shared<PendingCall>(Io, std::move(Asked), Responder);
  PendingCalls.push_back(Call);
  Call->Timer.expires_after(Wait);
  Call->Timer.async_wait([this, WeakCall = std::weak_ptr<PendingCall>(Call)](
                             const boost::system::error_code &Cancelled) {
    // The call may have been answered while this handler was already queued.
    const auto DueCall = WeakCall.lock();
    if (!Cancelled && DueCall)
      onTimeout(DueCall);
  });
}

auto ChangeRelay::onTimeout(const std::shared_ptr<PendingCall> &Call) -> void {
  respond(Call->Asked, Call->Responder);
  PendingCalls.remove(Call);
}

auto ChangeRelay::onFeedAdvanced() -> void {
  PendingCalls.remove_if([&](const std::shared_ptr<PendingCall> &Call) {
    if (!upToDate(Call->Asked.Kind) || !hasChanges(Call->Asked))
      return false;
    respond(Call->Asked, Call->Responder);
    return true;
  });
}

auto ChangeRelay::onContactLost() -> void {
  for (const auto &Call : PendingCalls)
    Call->Responder.respond(statusResponse(503));
  PendingCalls.clear();
}

} // namespace buckthornring
