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
constexpr auto MaxWait = std::chrono::seconds(60);

auto parseNumber(std::string_view Text) -> std::optional<std::uint64_t> {
  std::uint64_t Value = 0;
  const auto *Last = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), Last, Value);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != Last)
    return std::nullopt;
  return Value;
}

auto numberQuery(const HttpRequest &Request, std::string_view Name)
    -> std::uint64_t {
  return parseNumber(Request.query(Name).value_or("")).value_or(0);
}

/// Returns the version that a write expects, 0 for absent, or nothing when the
/// condition is missing or malformed.
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

auto tagged(HttpResponse Answer, std::uint64_t Version) -> HttpResponse {
  Answer.Headers.add("ETag", '"' + std::to_string(Version) + '"');
  return Answer;
}

/// Values travel as JSON strings in lists, so they have to be valid UTF-8.
auto isText(const std::string &Value) -> bool {
  try {
    static_cast<void>(Json(Value).dump());
    return true;
  } catch (const Json::exception &) {
    return false;
  }
}

template <class T>
auto take(const Json &Body, const char *Name, T &Field) -> void {
  if (Body.contains(Name))
    Field = Body.at(Name).get<T>();
}

auto take(const Json &Body, const char *Name, milliseconds &Field) -> void {
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
  const auto Waiting = Watches;
  for (const auto &Entry : Waiting)
    if (isCutOff(Entry->DataCentre)) {
      Watches.remove(Entry);
      Entry->Responder.abort();
    }
}

auto PlatformServer::dispatch(const HttpRequest &Request,
                              const HttpResponder &Responder) -> void {
  if (isCutOff(dataCentreOf(Request))) {
    ++CutOff;
    Responder.abort();
    return;
  }
  const auto Path = Request.path();
  const bool IsRead = Request.Method == "GET";
  if (Path == ObjectsPath && IsRead) {
    listObjects(Request, Responder);
  } else if (Path == InstancesPath && IsRead) {
    ++Reads;
    Responder.respond(jsonAnswer(
        Instances.list(std::chrono::steady_clock::now(), Faults.ListLag)));
  } else if (Path.starts_with("/v1/objects/")) {
    const auto Name = decodePercent(Path.substr(ObjectsPath.size() + 1));
    if (IsRead)
      readObject(Name, Responder);
    else
      writeObject(Request, Name, Responder);
  } else if (Path.starts_with("/v1/instances/") && !IsRead) {
    ++Writes;
    answerWrite(Responder,
                writeInstance(Request, decodePercent(Path.substr(
                                           InstancesPath.size() + 1))));
  } else {
    Responder.respond(emptyAnswer(404));
  }
}

auto PlatformServer::readObject(const std::string &Name,
                                const HttpResponder &Responder) -> void {
  ++Reads;
  const auto *Found = Store.find(Name);
  if (Found == nullptr)
    Responder.respond(emptyAnswer(404));
  else
    Responder.respond(tagged({200, {}, *Found->Value}, Found->Version));
}

auto PlatformServer::writeObject(const HttpRequest &Request,
                                 const std::string &Name,
                                 const HttpResponder &Responder) -> void {
  ++Writes;
  const bool IsDelete = Request.Method == "DELETE";
  const auto Expected = expectedVersion(Request);
  if (!Expected || Name.empty() || (IsDelete && *Expected == 0) ||
      (!IsDelete && Request.Method != "PUT") || !isText(Request.Body)) {
    Responder.respond(emptyAnswer(400));
    return;
  }
  if (IsDelete && Store.find(Name) == nullptr) {
    Responder.respond(emptyAnswer(404));
    return;
  }
  const auto Written = Store.write(
      Name, *Expected,
      IsDelete ? std::nullopt : std::optional<std::string>(Request.Body));
  if (Written.Applied)
    answerWatches(Name);
  answerWrite(Responder, tagged(emptyAnswer(Written.Applied ? 200 : 412),
                                Written.Version));
}

auto PlatformServer::listObjects(const HttpRequest &Request,
                                 const HttpResponder &Responder) -> void {
  const auto Prefix = Request.query("prefix").value_or("");
  const auto After = numberQuery(Request, "after");
  const auto Limit = std::min<milliseconds>(
      milliseconds(numberQuery(Request, "wait_ms")), MaxWait);
  const bool IsWatch = Limit > milliseconds::zero();
  ++(IsWatch ? WatchCalls : Reads);
  if (IsWatch && Faults.SilentWatches)
    Responder.silence();
  else if (!IsWatch || !Store.changes(Prefix, After).empty())
    Responder.respond(changesAnswer(Prefix, After));
  else {
    auto Waiting = std::make_shared<Watch>(Context, Responder);
    Waiting->Prefix = Prefix;
    Waiting->DataCentre = dataCentreOf(Request);
    Waiting->After = After;
    wait(Waiting, Limit);
  }
}

auto PlatformServer::wait(const std::shared_ptr<Watch> &Waiting,
                          milliseconds Limit) -> void {
  Watches.push_back(Waiting);
  Waiting->Responder.onDisconnect([this, Weak = std::weak_ptr<Watch>(Waiting)] {
    Watches.remove(Weak.lock());
  });
  Waiting->Timer.expires_after(Limit);
  Waiting->Timer.async_wait(
      [this, Weak = std::weak_ptr<Watch>(Waiting)](auto Cancelled) {
        const auto Ended = Weak.lock();
        if (Cancelled || !Ended)
          return;
        Watches.remove(Ended);
        Ended->Responder.respond(changesAnswer(Ended->Prefix, Ended->After));
      });
}

auto PlatformServer::answerWatches(const std::string &Changed) -> void {
  std::list<std::shared_ptr<Watch>> Ready;
  for (auto At = Watches.begin(); At != Watches.end();) {
    const auto Next = std::next(At);
    if (Changed.starts_with((*At)->Prefix))
      Ready.splice(Ready.end(), Watches, At);
    At = Next;
  }
  for (const auto &Entry : Ready) {
    if (Faults.SilentWatches)
      Entry->Responder.silence();
    else
      Entry->Responder.respond(changesAnswer(Entry->Prefix, Entry->After));
  }
}

auto PlatformServer::changesAnswer(const std::string &Prefix,
                                   std::uint64_t After) const -> HttpResponse {
  auto Objects = Json::array();
  for (const auto &[Name, Object] : Store.changes(Prefix, After))
    Objects.push_back(
        {{"name", Name},
         {"version", Object->Version},
         {"value", Object->Value ? Json(*Object->Value) : Json(nullptr)}});
  return jsonAnswer({{"revision", Store.revision()}, {"objects", Objects}});
}

auto PlatformServer::writeInstance(const HttpRequest &Request,
                                   const std::string &Id) -> HttpResponse {
  const auto Now = std::chrono::steady_clock::now();
  if (Request.Method == "DELETE") {
    Instances.set(Id, nullptr, Now);
    return emptyAnswer(200);
  }
  const auto Entry = Json::parse(Request.Body, nullptr, false);
  if (!Entry.is_object() || !Entry.contains("address") ||
      !Entry.contains("data_centre") || !Entry.contains("state"))
    return emptyAnswer(400);
  Instances.set(Id, Entry, Now);
  return emptyAnswer(200);
}

auto PlatformServer::answerWrite(const HttpResponder &Responder,
                                 HttpResponse Answer) -> void {
  if (Answer.Status == 200 && Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    Responder.abort();
    return;
  }
  Responder.respond(std::move(Answer));
}

auto PlatformServer::setFaults(const HttpRequest &Request) -> HttpResponse {
  try {
    const auto Body = Json::parse(Request.Body);
    auto Changed = Faults;
    take(Body, "outage", Changed.Outage);
    take(Body, "outage_data_centres", Changed.OutageDataCentres);
    take(Body, "delay_ms", Changed.Delay);
    take(Body, "lose_answers", Changed.LoseAnswers);
    take(Body, "silent_watches", Changed.SilentWatches);
    take(Body, "list_lag_ms", Changed.ListLag);
    Faults = Changed;
    closeCutOffWatches();
    if (Body.value("silence_connections", false))
      boost::asio::post(Context, [this] { Server->silenceConnections(); });
    return emptyAnswer(200);
  } catch (const Json::exception &Failure) {
    return jsonAnswer({{"error", Failure.what()}}, 400);
  }
}

auto PlatformServer::stats() const -> HttpResponse {
  return jsonAnswer({{"reads", Reads},
                     {"writes", Writes},
                     {"watches", WatchCalls},
                     {"waiting", Watches.size()},
                     {"cut_off", CutOff},
                     {"revision", Store.revision()}});
}

} // namespace buckthornring::standin
