#include "Gateway/RelayedStore.h"

#include "Gateway/ChangeRelay.h"
#include "IO/BootClock.h"

#include <nlohmann/json.hpp>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

/// Longest wait of a call for changes, and the time beyond it after which the
/// relay counts as stopped. Their sum is the time in which an instance notices
/// that; it has 2 s to know of targets that leave.
constexpr Duration RelayWait = std::chrono::milliseconds(800);
constexpr Duration RelayMargin = std::chrono::milliseconds(300);

/// Time for which a relay that failed is not asked again.
constexpr Duration DistrustTime = std::chrono::seconds(5);

auto milliseconds(Duration Span) -> std::string {
  return std::to_string(Span.count() / 1000);
}

auto readChanges(const std::string &Body) -> StoreChanges {
  StoreChanges Changes;
  try {
    const Json Value = Json::parse(Body);
    Changes.Revision = Value.at("revision").get<std::uint64_t>();
    Changes.Age = Duration(Value.at("age_us").get<std::int64_t>());
    for (const Json &Each : Value.at("objects"))
      Changes.Objects.push_back({Each.at(0).get<std::string>(),
                                 Each.at(1).get<std::uint64_t>(),
                                 Each.at(2).get<bool>(), Each.at(3)});
    Changes.Status = StoreStatus::Done;
  } catch (const Json::exception &) {
    // An answer that cannot be read counts as none; the caller logs it.
    Changes = StoreChanges();
  }
  return Changes;
}

} // namespace

auto RelayedStore::useRelay(const std::string &Address) -> void {
  if (Address == Relay)
    return;
  Relay = Address;
  DistrustedUntil = LongAgo;
  Events.write(EventLine("relay-changed").field("relay", Relay));
  Client.reset();
  if (Relay.empty())
    return;
  auto Made = HttpClient::create(Io, Relay);
  if (!Made)
    return distrust(Made.error().message().c_str());
  Client = std::move(Made).value();
}

auto RelayedStore::distrust(const char *Reason) -> void {
  const TimePoint Now = bootNow();
  if (Relay.empty() || Now < DistrustedUntil)
    return;
  DistrustedUntil = Now + DistrustTime;
  Events.write(EventLine("relay-distrusted")
                   .field("relay", Relay)
                   .field("reason", Reason));
}

auto RelayedStore::trusted() const -> bool {
  return Client && bootNow() >= DistrustedUntil;
}

auto RelayedStore::ask(const std::string &Query, Duration Limit,
                       ChangesHandler Done,
                       std::function<void(ChangesHandler)> Otherwise) -> void {
  HttpRequest Request;
  Request.Target = std::string(ChangeRelay::Path) + "?" + Query;
  HttpCallOptions Options;
  Options.TimeLimit = Limit;
  Options.ConnectLimit = RelayMargin;
  // The client is kept alive by the call: another relay may be used meanwhile.
  Client->request(
      std::move(Request), Options,
      [this, Asked = Client, Done = std::move(Done),
       Otherwise = std::move(Otherwise)](const HttpOutcome &Outcome) mutable {
        if (Outcome.done() && Outcome.Response.Status == 410) {
          StoreChanges Lost;
          Lost.Status = StoreStatus::HistoryLost;
          return Done(std::move(Lost));
        }
        if (Outcome.done() && Outcome.Response.Status == 200) {
          auto Changes = readChanges(Outcome.Response.Body);
          if (Changes.Status == StoreStatus::Done)
            return Done(std::move(Changes));
        }
        if (Asked == Client)
          distrust(!Outcome.done()                  ? "no answer"
                   : Outcome.Response.Status == 200 ? "unreadable answer"
                                                    : "no contact");
        Otherwise(std::move(Done));
      });
}

auto RelayedStore::list(const std::string &Kind, ChangesHandler Done) -> void {
  if (!trusted())
    return Direct->list(Kind, std::move(Done));
  ask("kind=" + encodePercent(Kind), RelayMargin, std::move(Done),
      [this, Kind](ChangesHandler Next) {
        Direct->list(Kind, std::move(Next));
      });
}

auto RelayedStore::watch(const std::string &Kind, std::uint64_t Revision,
                         Duration Wait, ChangesHandler Done) -> void {
  if (!trusted())
    return Direct->watch(Kind, Revision, Wait, std::move(Done));
  const Duration RelayedWait = std::min(Wait, RelayWait);
  ask("kind=" + encodePercent(Kind) + "&since=" + std::to_string(Revision) +
          "&wait_ms=" + milliseconds(RelayedWait),
      RelayedWait + RelayMargin, std::move(Done),
      [this, Kind, Revision, Wait](ChangesHandler Next) {
        Direct->watch(Kind, Revision, Wait, std::move(Next));
      });
}

auto RelayedStore::write(const std::string &Kind, const std::string &Name,
                         std::uint64_t Expected, Json Value, WriteHandler Done)
    -> void {
  Direct->write(Kind, Name, Expected, std::move(Value), std::move(Done));
}

} // namespace buckthornring
