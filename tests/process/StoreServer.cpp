#include "StoreServer.h"

#include <nlohmann/json.hpp>

namespace buckthornring::test {

using Json = nlohmann::json;

namespace {

constexpr std::string_view Prefix = "/v1/objects/";

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

auto respondChanges(const HttpResponder &To, const StoreChanges &Changes,
                    bool AsEvents) -> void {
  if (Changes.Status != StoreStatus::Done)
    return respond(To, 410, Json::object());
  Json Entries = Json::array();
  for (const StoredObject &Object : Changes.Objects)
    Entries.push_back(AsEvents ? Json{{"object", objectJson(Object)},
                                      {"deleted", Object.Deleted}}
                               : objectJson(Object));
  respond(To, 200,
          {{AsEvents ? "events" : "items", std::move(Entries)},
           {"has_more", false},
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
  const auto Done = [To, AsEvents =
                             Since.has_value()](const StoreChanges &Changes) {
    respondChanges(To, Changes, AsEvents);
  };
  if (!Since)
    Store.list(Kind, Done);
  else
    Store.watch(Kind, std::stoull(*Since),
                std::chrono::milliseconds(
                    std::stoul(Request.query("wait_ms").value_or("0"))),
                Done);
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
