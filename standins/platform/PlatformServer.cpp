#include "PlatformServer.h"

#include "../common/Program.h"

#include <boost/asio/post.hpp>

#include <charconv>

namespace buckthornring::standin {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view ObjectsPath = "/v1/objects";
constexpr std::string_view InstancesPath = "/v1/instances";
constexpr std::size_t MaxValueBytes = 1'000'000;
constexpr auto MaxWaitTimeout = std::chrono::seconds(60);

auto parseNumber(std::string_view Text) -> std::optional<std::uint64_t> {
  std::uint64_t Value = 0;
  const auto *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

auto queryNumber(const HttpRequest &Request, std::string_view Name)
    -> std::uint64_t {
  return parseNumber(Request.query(Name).value_or("")).value_or(0);
}

/// Returns the version that a write expects, 0 for absent, or std::nullopt when
/// the condition is missing or malformed.
auto expectedVersion(const HttpRequest &Request)
    -> std::optional<std::uint64_t> {
  if (const auto Tag = Request.Headers.find("If-Match")) {
    if (Tag->size() < 3 || Tag->front() != '"' || Tag->back() != '"')
      return std::nullopt;
    const auto Version = parseNumber(Tag->substr(1, Tag->size() - 2));
    return Version == 0U ? std::nullopt : Version;
  }
  if (Request.Headers.find("If-None-Match") == "*")
    return 0;
  return std::nullopt;
}

auto dataCentreOf(const HttpRequest &Request) -> std::string {
  return std::string(Request.Headers.find("Btr-Data-Centre").value_or(""));
}

auto withETag(HttpResponse Response, std::uint64_t Version) -> HttpResponse {
  Response.Headers.add("ETag", '"' + std::to_string(Version) + '"');
  return Response;
}

/// Object lists return values as JSON strings, so they have to be valid UTF-8.
auto isUtf8(const std::string &Value) -> bool {
  try {
    static_cast<void>(Json(Value).dump());
    return true;
  } catch (const Json::exception &) {
    return false;
  }
}

template <class T>
auto readField(const Json &Body, const char *Name, T &Field) -> void {
  if (Body.contains(Name))
    Field = Body.at(Name).get<T>();
}

auto readField(const Json &Body, const char *Name, milliseconds &Field)
    -> void {
  if (Body.contains(Name))
    Field = milliseconds(Body.at(Name).get<unsigned>());
}

} // namespace

auto PlatformServer::start(boost::asio::io_context &Context, std::uint16_t Port)
    -> Result<std::unique_ptr<PlatformServer>> {
  std::unique_ptr<PlatformServer> Created(new PlatformServer(Context));
  HttpServerOptions Options;
  Options.Port = Port;
  Options.BodyLimit = MaxValueBytes;
  auto Server =
      HttpServer::start(Context, Options,
                        [Self = Created.get()](const HttpRequest &Request,
                                               const HttpResponder &Responder) {
                          Self->handle(Request, Responder);
                        });
  if (!Server)
    return Server.error();
  Created->Server = std::move(Server).value();
  return Created;
}

auto PlatformServer::handle(const HttpRequest &Request,
                            const HttpResponder &Responder) -> void {
  if (Request.path() == "/faults" && Request.Method == "POST") {
    Responder.respond(setFaults(Request));
    return;
  }
  if (Request.path() == "/stats") {
    Responder.respond(stats());
    return;
  }
  if (Faults.Delay <= milliseconds::zero()) {
    dispatch(Request, Responder);
    return;
  }
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context);
  Timer->expires_after(Faults.Delay);
  Timer->async_wait([this, Timer, Request, Responder](auto Cancelled) {
    if (!Cancelled)
      dispatch(Request, Responder);
  });
}

auto PlatformServer::isCutOff(const std::string &DataCentre) const -> bool {
  return Faults.Outage || Faults.OutageDataCentres.contains(DataCentre);
}

auto PlatformServer::closeCutOffWatches() -> void {
  const auto OpenWatches = Watches;
  for (const auto &Entry : OpenWatches)
    if (isCutOff(Entry->DataCentre)) {
      Watches.remove(Entry);
      Entry->Responder.abort();
    }
}

auto PlatformServer::dispatch(const HttpRequest &Request,
                              const HttpResponder &Responder) -> void {
  if (isCutOff(dataCentreOf(Request))) {
    ++CutOffCalls;
    Responder.abort();
    return;
  }
  const auto Path = Request.path();
  const bool IsRead = Request.Method == "GET";
  if (Path == ObjectsPath && IsRead) {
    listObjects(Request, Responder);
  } else if (Path == InstancesPath && IsRead) {
    ++Reads;
    Responder.respond(jsonResponse(
        Instances.list(std::chrono::steady_clock::now(), Faults.ListLag)));
  } else if (Path.starts_with("/v1/objects/")) {
    const auto Name = decodePercent(Path.substr(ObjectsPath.size() + 1));
    if (IsRead)
      readObject(Name, Responder);
    else
      writeObject(Request, Name, Responder);
  } else if (Path.starts_with("/v1/instances/") && !IsRead) {
    ++Writes;
    respondToWrite(Responder,
                   writeInstance(Request, decodePercent(Path.substr(
                                              InstancesPath.size() + 1))));
  } else {
    Responder.respond(emptyResponse(404));
  }
}

auto PlatformServer::readObject(const std::string &Name,
                                const HttpResponder &Responder) -> void {
  ++Reads;
  const auto *Found = Store.find(Name);
  if (Found == nullptr)
    Responder.respond(emptyResponse(404));
  else
    Responder.respond(withETag({200, {}, *Found->Value}, Found->Version));
}

auto PlatformServer::writeObject(const HttpRequest &Request,
                                 const std::string &Name,
                                 const HttpResponder &Responder) -> void {
  ++Writes;
  const bool IsDelete = Request.Method == "DELETE";
  const auto Expected = expectedVersion(Request);
  if (!Expected || Name.empty() || (IsDelete && *Expected == 0) ||
      (!IsDelete && Request.Method != "PUT") || !isUtf8(Request.Body)) {
    Responder.respond(emptyResponse(400));
    return;
  }
  if (IsDelete && Store.find(Name) == nullptr) {
    Responder.respond(emptyResponse(404));
    return;
  }
  const auto Outcome = Store.write(
      Name, *Expected,
      IsDelete ? std::nullopt : std::optional<std::string>(Request.Body));
  if (Outcome.Applied)
    respondToWatches(Name);
  respondToWrite(Responder, withETag(emptyResponse(Outcome.Applied ? 200 : 412),
                                     Outcome.Version));
}

auto PlatformServer::listObjects(const HttpRequest &Request,
                                 const HttpResponder &Responder) -> void {
  const auto Prefix = Request.query("prefix").value_or("");
  const auto AfterRevision = queryNumber(Request, "after");
  const auto WaitTimeout = std::min<milliseconds>(
      milliseconds(queryNumber(Request, "wait_ms")), MaxWaitTimeout);
  const bool IsWatch = WaitTimeout > milliseconds::zero();
  ++(IsWatch ? WatchCalls : Reads);
  if (IsWatch && Faults.SilentWatches)
    Responder.silence();
  else if (!IsWatch || !Store.changes(Prefix, AfterRevision).empty())
    Responder.respond(changesResponse(Prefix, AfterRevision));
  else {
    auto NewWatch = std::make_shared<Watch>(Context, Responder);
    NewWatch->Prefix = Prefix;
    NewWatch->DataCentre = dataCentreOf(Request);
    NewWatch->AfterRevision = AfterRevision;
    addWatch(NewWatch, WaitTimeout);
  }
}

auto PlatformServer::addWatch(const std::shared_ptr<Watch> &NewWatch,
                              milliseconds WaitTimeout) -> void {
  Watches.push_back(NewWatch);
  NewWatch->Responder.onDisconnect(
      [this, Weak = std::weak_ptr<Watch>(NewWatch)] {
        Watches.remove(Weak.lock());
      });
  NewWatch->Timer.expires_after(WaitTimeout);
  NewWatch->Timer.async_wait(
      [this, Weak = std::weak_ptr<Watch>(NewWatch)](auto Cancelled) {
        const auto Expired = Weak.lock();
        if (Cancelled || !Expired)
          return;
        Watches.remove(Expired);
        Expired->Responder.respond(
            changesResponse(Expired->Prefix, Expired->AfterRevision));
      });
}

auto PlatformServer::respondToWatches(const std::string &ChangedName) -> void {
  std::list<std::shared_ptr<Watch>> Ready;
  for (auto Position = Watches.begin(); Position != Watches.end();) {
    const auto Next = std::next(Position);
    if (ChangedName.starts_with((*Position)->Prefix))
      Ready.splice(Ready.end(), Watches, Position);
    Position = Next;
  }
  for (const auto &Entry : Ready) {
    if (Faults.SilentWatches)
      Entry->Responder.silence();
    else
      Entry->Responder.respond(
          changesResponse(Entry->Prefix, Entry->AfterRevision));
  }
}

auto PlatformServer::changesResponse(const std::string &Prefix,
                                     std::uint64_t AfterRevision) const
    -> HttpResponse {
  auto Objects = Json::array();
  for (const auto &[Name, Object] : Store.changes(Prefix, AfterRevision))
    Objects.push_back(
        {{"name", Name},
         {"version", Object->Version},
         {"value", Object->Value ? Json(*Object->Value) : Json(nullptr)}});
  return jsonResponse({{"revision", Store.revision()}, {"objects", Objects}});
}

auto PlatformServer::writeInstance(const HttpRequest &Request,
                                   const std::string &Id) -> HttpResponse {
  const auto Now = std::chrono::steady_clock::now();
  if (Request.Method == "DELETE") {
    Instances.set(Id, nullptr, Now);
    return emptyResponse(200);
  }
  const auto Entry = Json::parse(Request.Body, nullptr, false);
  if (!Entry.is_object() || !Entry.contains("address") ||
      !Entry.contains("data_centre") || !Entry.contains("state"))
    return emptyResponse(400);
  Instances.set(Id, Entry, Now);
  return emptyResponse(200);
}

auto PlatformServer::respondToWrite(const HttpResponder &Responder,
                                    HttpResponse Response) -> void {
  if (Response.Status == 200 && Faults.UnansweredWrites > 0) {
    --Faults.UnansweredWrites;
    Responder.abort();
    return;
  }
  Responder.respond(std::move(Response));
}

auto PlatformServer::setFaults(const HttpRequest &Request) -> HttpResponse {
  try {
    const auto Body = Json::parse(Request.Body);
    auto Changed = Faults;
    readField(Body, "outage", Changed.Outage);
    readField(Body, "outage_data_centres", Changed.OutageDataCentres);
    readField(Body, "delay_ms", Changed.Delay);
    readField(Body, "lose_answers", Changed.UnansweredWrites);
    readField(Body, "silent_watches", Changed.SilentWatches);
    readField(Body, "list_lag_ms", Changed.ListLag);
    Faults = Changed;
    closeCutOffWatches();
    if (Body.value("silence_connections", false))
      boost::asio::post(Context, [this] { Server->silenceConnections(); });
    return emptyResponse(200);
  } catch (const Json::exception &Failure) {
    return jsonResponse({{"error", Failure.what()}}, 400);
  }
}

auto PlatformServer::stats() const -> HttpResponse {
  return jsonResponse({{"reads", Reads},
                       {"writes", Writes},
                       {"watches", WatchCalls},
                       {"waiting", Watches.size()},
                       {"cut_off", CutOffCalls},
                       {"revision", Store.revision()}});
}

} // namespace buckthornring::standin
