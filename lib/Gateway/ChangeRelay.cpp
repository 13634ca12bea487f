#include "Gateway/ChangeRelay.h"

#include "IO/BootClock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace buckthornring {

using Json = nlohmann::json;

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

auto ChangeRelay::hasChanges(const std::string &Kind,
                             std::optional<std::uint64_t> Since) const -> bool {
  if (!Since)
    return true;
  const auto Changes = Feeds.at(Kind)->changesSince(*Since);
  return !Changes || !Changes->empty();
}

auto ChangeRelay::respond(const std::string &Kind,
                          std::optional<std::uint64_t> Since,
                          const HttpResponder &Responder) const -> void {
  const StoreFeed &Feed = *Feeds.at(Kind);
  if (!upToDate(Kind))
    return Responder.respond(statusResponse(503));
  Json Objects = Json::array();
  const auto Add = [&Objects](const StoredObject &Object) {
    Objects.push_back(Json::array(
        {Object.Name, Object.Revision, Object.Deleted, Object.Value}));
  };
  if (Since) {
    const auto Changes = Feed.changesSince(*Since);
    if (!Changes)
      return Responder.respond(statusResponse(410));
    std::for_each(Changes->begin(), Changes->end(), Add);
  } else {
    for (const auto &[Name, Object] : Feed.objects())
      Add(Object);
  }
  HttpResponse Response;
  Response.Headers.set("Content-Type", "application/json");
  Response.Body =
      Json{{"revision", std::max(Feed.revision(), Since.value_or(0))},
           {"age_us", (bootNow() - ContactFeed.confirmedAt()).count()},
           {"objects", std::move(Objects)}}
          .dump();
  Responder.respond(std::move(Response));
}

auto ChangeRelay::handleRequest(const HttpRequest &Request,
                                const HttpResponder &Responder) -> void {
  const std::string Kind = Request.query("kind").value_or("");
  if (!Feeds.contains(Kind))
    return Responder.respond(statusResponse(404));
  const auto Since = queryNumber(Request, "since");
  const bool Confirmed = upToDate(Kind);
  if (Confirmed && hasChanges(Kind, Since))
    return respond(Kind, Since, Responder);
  const Duration Wait =
      Confirmed ? std::chrono::milliseconds(std::min(
                      queryNumber(Request, "wait_ms").value_or(0), MaxWaitMs))
                : ContactWait;
  auto Call = std::make_shared<PendingCall>(Io, Kind, Since, Responder);
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
  respond(Call->Kind, Call->Since, Call->Responder);
  PendingCalls.remove(Call);
}

auto ChangeRelay::onFeedAdvanced() -> void {
  PendingCalls.remove_if([&](const std::shared_ptr<PendingCall> &Call) {
    if (!upToDate(Call->Kind) || !hasChanges(Call->Kind, Call->Since))
      return false;
    respond(Call->Kind, Call->Since, Call->Responder);
    return true;
  });
}

auto ChangeRelay::onContactLost() -> void {
  for (const auto &Call : PendingCalls)
    Call->Responder.respond(statusResponse(503));
  PendingCalls.clear();
}

} // namespace buckthornring
