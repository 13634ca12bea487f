#include "Gateway/ChangeRelay.h"

#include "IO/BootClock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

/// Age of the last proof of contact beyond which nothing is passed on. A relay
/// asks the store every 0.4 s, and the age counts from the sending of the last
/// answered call; the rest is a slow store and the pause after changes.
constexpr Duration LongestProofAge = std::chrono::milliseconds(1300);

/// Longest wait of one call, whatever it asks for.
constexpr std::uint64_t LongestWaitMs = 5000;

auto number(const HttpRequest &Request, const char *Name)
    -> std::optional<std::uint64_t> {
  const auto Text = Request.query(Name);
  std::uint64_t Value = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Value).ec !=
          std::errc())
    return std::nullopt;
  return Value;
}

auto status(unsigned Code) -> HttpResponse {
  HttpResponse Response;
  Response.Status = Code;
  return Response;
}

} // namespace

auto ChangeRelay::current() const -> bool {
  return Proof.connected() &&
         bootNow() - Proof.confirmedAt() <= LongestProofAge;
}

auto ChangeRelay::respond(const std::string &Kind,
                          std::optional<std::uint64_t> Since,
                          const HttpResponder &To) const -> void {
  const StoreFeed &Feed = *Feeds.at(Kind);
  if (!current() || !Feed.connected())
    return To.respond(status(503));
  Json Objects = Json::array();
  const auto Add = [&Objects](const StoredObject &Each) {
    Objects.push_back(
        Json::array({Each.Name, Each.Revision, Each.Deleted, Each.Value}));
  };
  if (Since) {
    const auto Changes = Feed.changesSince(*Since);
    if (!Changes)
      return To.respond(status(410));
    std::for_each(Changes->begin(), Changes->end(), Add);
  } else {
    for (const auto &[Name, Object] : Feed.objects())
      Add(Object);
  }
  HttpResponse Response;
  Response.Headers.set("Content-Type", "application/json");
  Response.Body =
      Json{{"revision", std::max(Feed.revision(), Since.value_or(0))},
           {"age_us", (bootNow() - Proof.confirmedAt()).count()},
           {"objects", std::move(Objects)}}
          .dump();
  To.respond(std::move(Response));
}

auto ChangeRelay::answer(const HttpRequest &Request, const HttpResponder &To)
    -> void {
  const std::string Kind = Request.query("kind").value_or("");
  const auto Found = Feeds.find(Kind);
  if (Found == Feeds.end())
    return To.respond(status(404));
  const auto Since = number(Request, "since");
  const StoreFeed &Feed = *Found->second;
  const auto Changes = Since ? Feed.changesSince(*Since) : std::nullopt;
  // There is nothing new yet.
  const bool Wait = Changes && Changes->empty() && current();
  if (!Wait)
    return respond(Kind, Since, To);
  const auto WaitMs =
      std::min(number(Request, "wait_ms").value_or(0), LongestWaitMs);
  auto Call = std::make_shared<Waiting>(Io, Kind, *Since, To);
  Calls.push_back(Call);
  Call->Timer.expires_after(std::chrono::milliseconds(WaitMs));
  Call->Timer.async_wait([this, Weak = std::weak_ptr<Waiting>(Call)](
                             const boost::system::error_code &Cancelled) {
    // The call may have been answered while this one was already queued.
    const auto Due = Weak.lock();
    if (Cancelled || !Due)
      return;
    respond(Due->Kind, Due->Since, Due->To);
    Calls.remove(Due);
  });
}

auto ChangeRelay::advanced(const std::string &Kind) -> void {
  Calls.remove_if([&](const std::shared_ptr<Waiting> &Call) {
    if (Call->Kind != Kind)
      return false;
    respond(Kind, Call->Since, Call->To);
    return true;
  });
}

auto ChangeRelay::contactLost() -> void {
  for (const auto &Call : Calls)
    Call->To.respond(status(503));
  Calls.clear();
}

} // namespace buckthornring
