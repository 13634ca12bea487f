#include "StoreServer.h"

#include <nlohmann/json.hpp>

namespace buckthornring::test {

using Json = nlohmann::json;

namespace {

constexpr std::string_view Prefix = "/v1/objects/";

/// A page of a list ends with the object that reaches this size, as on the
/// platform.
constexpr std::size_t PageBytes = 1'000'000;

auto objectJson(const StoredObject &Object) -> Json {
  return {{"metadata",
           {{"name", Object.Name}, {"revision", numberOf(Object.Revision)}}},
          {"spec", Object.Value},
          {"status", Json::object()}};
}

auto respond(const HttpResponder &To, unsigned Status, const Json &Value)
    -> void {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.add("Store-Era", "0");
  Response.Body = Value.dump();
  To.respond(std::move(Response));
}

auto respondEvents(const HttpResponder &To, const StoreChanges &Changes)
    -> void {
  if (Changes.Status != StoreStatus::Done)
    return respond(To, 410, Json::object());
  Json Events = Json::array();
  for (const StoredObject &Object : Changes.Objects)
    Events.push_back(
        {{"object", objectJson(Object)}, {"deleted", Object.Deleted}});
  respond(To, 200,
          {{"events", std::move(Events)},
           {"store_revision", numberOf(Changes.Revision)}});
}

/// Sends the page that begins after an object's name.
auto respondPage(const HttpResponder &To, const StoreChanges &Changes,
                 const std::string &After) -> void {
  if (Changes.Status != StoreStatus::Done)
    return respond(To, 410, Json::object());
  Json Items = Json::array();
  std::size_t Bytes = 0;
  bool HasMore = false;
  for (const StoredObject &Object : Changes.Objects) {
    if (Object.Name <= After)
      continue;
    HasMore = Bytes >= PageBytes;
    if (HasMore)
      break;
    Items.push_back(objectJson(Object));
    Bytes += Items.back().dump().size();
  }
  respond(To, 200,
          {{"items", std::move(Items)},
           {"has_more", HasMore},
           {"store_revision", numberOf(Changes.Revision)}});
}

} // namespace

StoreServer::StoreServer() {
  auto Started = HttpServer::start(
      Io, HttpServerOptions(),
      [this](const HttpRequest &Request, const HttpResponder &To) {
        handle(Request, To);
      });
  Server = std::move(Started).value();
  ServingThread = std::thread([this] { Io.run(); });
}

StoreServer::~StoreServer() {
  Io.stop();
  ServingThread.join();
}

auto StoreServer::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(Server->port());
}

auto StoreServer::handle(const HttpRequest &Request, const HttpResponder &To)
    -> void {
  std::string Kind(Request.path().substr(Prefix.size()));
  Kind = Kind.substr(0, Kind.find('/'));
  if (Request.Method == "GET")
    read(Request, Kind, To);
  else
    write(Request, Kind, To);
}

auto StoreServer::read(const HttpRequest &Request, const std::string &Kind,
                       const HttpResponder &To) -> void {
  const auto Since = Request.query("watch");
  if (!Since)
    Store.list(Kind, [To, After = Request.query("after").value_or("")](
                         const StoreChanges &Changes) {
      respondPage(To, Changes, After);
    });
  else
    Store.watch(
        Kind, std::stoull(*Since),
        std::chrono::milliseconds(
            std::stoul(Request.query("wait_ms").value_or("0"))),
        [To](const StoreChanges &Changes) { respondEvents(To, Changes); });
}

auto StoreServer::write(const HttpRequest &Request, const std::string &Kind,
                        const HttpResponder &To) -> void {
  const Json Body = Json::parse(Request.Body);
  const Json &Metadata = Body.at("metadata");
  Store.write(
      Kind, Metadata.at("name"), Metadata.value("revision", 0ULL),
      Body.at("spec"), [To](const StoreWriteResult &Result) {
        const unsigned Status = Result.Status == StoreStatus::Done       ? 200
                                : Result.Status == StoreStatus::Conflict ? 409
                                                                         : 404;
        respond(To, Status,
                Result.Object ? objectJson(*Result.Object) : Json::object());
      });
}

} // namespace buckthornring::test
