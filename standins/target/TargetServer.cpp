#include "TargetServer.h"

#include "../common/Program.h"

#include "Exchange.h"
#include <boost/asio/post.hpp>

#include <boost/asio/post.hpp>

#include <array>
#include <random>
#include <thread>

namespace buckthornring::standin {

using Json = nlohmann::json;

namespace {

// A real server goes on for a moment after it has announced that it leaves.
constexpr std::int64_t DrainNoticeUs = 2'000'000;
constexpr std::size_t MaxCancelledIds = 1000;
constexpr std::size_t MaxReports = 1000;
// Lets the answer to the fault request leave before the freeze.
constexpr auto FreezeDelay = std::chrono::milliseconds(5);

auto newStart() -> std::string {
  std::random_device Source;
  return std::to_string((std::uint64_t{Source()} << 32U) | Source());
}

} // namespace

auto TargetServer::start(boost::asio::io_context &Context,
                         TargetOptions Options)
    -> Result<std::unique_ptr<TargetServer>> {
  std::unique_ptr<TargetServer> Created(
      new TargetServer(Context, std::move(Options)));
  auto *Self = Created.get();
  HttpServerOptions Http;
  Http.Port = Self->Options.Port;
  Http.OnConnect = [Self](std::size_t Open) {
    return Self->admitConnection(Open);
  };
  auto Server = HttpServer::start(
      Context, std::move(Http),
      [Self](const HttpRequest &Request, const HttpResponder &Responder) {
        Self->handle(Request, Responder);
      });
  if (!Server)
    return Server.error();
  Created->Server = std::move(Server).value();
  return Created;
}

TargetServer::TargetServer(boost::asio::io_context &Context,
                           TargetOptions Options)
    : Context(Context), Options(std::move(Options)), Start(newStart()),
      Grants(std::make_unique<GrantHolder>(Start)),
      Log(this->Options.RunLogPath), Slots(Context, this->Options.Work) {}

auto TargetServer::admitConnection(std::size_t Open)
    -> std::optional<Duration> {
  if (Open > Options.Connections)
    return std::nullopt;
  const auto Now = steadyUs();
  ConnectionsReadyUs =
      std::max(ConnectionsReadyUs, Now) + Options.ConnectionCost.count();
  return Duration(ConnectionsReadyUs - Now);
}

auto TargetServer::handle(const HttpRequest &Request,
                          const HttpResponder &Responder) -> void {
  struct Route {
    std::string_view Method;
    std::string_view Path;
    HttpResponse (TargetServer::*Handler)(const HttpRequest &);
  };
  static constexpr std::array<Route, 7> Routes{{
      {"POST", "/control/lease", &TargetServer::lease},
      {"GET", "/control/health", &TargetServer::health},
      {"GET", "/control/load", &TargetServer::load},
      {"POST", "/control/drain", &TargetServer::drain},
      {"POST", "/control/cancel", &TargetServer::cancel},
      {"POST", "/faults", &TargetServer::faults},
      {"GET", "/runs", &TargetServer::runs},
  }};
  for (const auto &Entry : Routes)
    if (Entry.Path == Request.path() && Entry.Method == Request.Method) {
      Responder.respond((this->*Entry.Handler)(Request));
      return;
    }
  if (Request.path().starts_with("/control/"))
    Responder.respond(emptyAnswer(404));
  else
    run(Request, Responder);
}

auto TargetServer::lease(const HttpRequest &Request) -> HttpResponse {
  if (!Options.Verified)
    return emptyAnswer(404);
  const auto Message = parseLeaseMessage(Request.Body);
  if (!Message ||
      (!Options.Name.empty() && Message.value().Target.str() != Options.Name))
    return jsonAnswer({{"error", Message ? "message for another target"
                                         : Message.error().message()}},
                      400);
  const auto Now = steadyUs();
  auto Reply = Grants->apply(*Message, Now);
  for (const auto &[Slice, Count] : RunningSlices)
    if (!Grants->held(Slice, Now))
      Reply.Running.push_back(Slice);
  return {200, {{"Content-Type", "application/json"}}, leaseReplyText(Reply)};
}

auto TargetServer::health(const HttpRequest & /*Request*/) -> HttpResponse {
  auto Report =
      reported("health", {{"start", Start},
                          {"state", RefuseFromUs != 0 ? "draining" : "serving"},
                          {"cold", Slots.isCold()},
                          {"verified", Options.Verified},
                          {"held", Grants->heldCount(steadyUs())}});
  if (!WrongState.is_null())
    Report["state"] = WrongState;
  return jsonAnswer(Report);
}

auto TargetServer::load(const HttpRequest & /*Request*/) -> HttpResponse {
  auto Report = reported("load", {{"start", Start},
                                  {"in_flight", Slots.running()},
                                  {"queued", Slots.queued()},
                                  {"slots", Slots.slots()},
                                  {"connections", Server->openConnections()},
                                  {"shed", Slots.shedCount()},
                                  {"cold_overloads", Slots.coldOverloads()}});
  if (!WrongLoad.is_null())
    Report["in_flight"] = WrongLoad;
  return jsonAnswer(Report);
}

// A late report is one taken at least the lag ago, or the oldest known one.
auto TargetServer::reported(const std::string &Kind, const Json &Current)
    -> Json {
  auto &History = Reports[Kind];
  const auto Now = steadyUs();
  History.emplace_back(Now, Current);
  if (History.size() > MaxReports)
    History.pop_front();
  if (ReportLagUs == 0)
    return Current;
  Json Shown = History.front().second;
  for (const auto &[At, Report] : History)
    if (At + ReportLagUs <= Now)
      Shown = Report;
  return Shown;
}

auto TargetServer::drain(const HttpRequest &Request) -> HttpResponse {
  const auto Body = Json::parse(Request.Body, nullptr, false);
  if (Body.is_object() && !Body.value("draining", true))
    RefuseFromUs = 0;
  else if (RefuseFromUs == 0)
    RefuseFromUs = steadyUs() + DrainNoticeUs;
  return emptyAnswer(200);
}

auto TargetServer::isDraining() const -> bool {
  return RefuseFromUs != 0 && steadyUs() >= RefuseFromUs;
}

auto TargetServer::cancel(const HttpRequest &Request) -> HttpResponse {
  const auto Body = Json::parse(Request.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("request_id") ||
      !Body["request_id"].is_string())
    return emptyAnswer(400);
  const auto RequestId = Body["request_id"].get<std::string>();
  rememberCancelled(RequestId);
  switch (Slots.cancel(RequestId)) {
  case Workers::CancelEffect::Queued:
    return jsonAnswer({{"cancelled", "queued"}});
  case Workers::CancelEffect::Running:
    return jsonAnswer({{"cancelled", "running"}});
  case Workers::CancelEffect::Unknown:
    break;
  }
  return jsonAnswer({{"cancelled", "unknown"}});
}

// After a freeze the cancellation may be read before the request itself.
auto TargetServer::rememberCancelled(const std::string &RequestId) -> void {
  if (!CancelledIds.insert(RequestId).second)
    return;
  CancelledOrder.push_back(RequestId);
  if (CancelledOrder.size() <= MaxCancelledIds)
    return;
  CancelledIds.erase(CancelledOrder.front());
  CancelledOrder.pop_front();
}

auto TargetServer::runs(const HttpRequest & /*Request*/) -> HttpResponse {
  auto Report = Log.json();
  Report["start"] = Start;
  Report["cold_overloads"] = Slots.coldOverloads();
  return jsonAnswer(Report);
}

auto TargetServer::faults(const HttpRequest &Request) -> HttpResponse {
  try {
    applyFaults(Json::parse(Request.Body));
    return emptyAnswer(200);
  } catch (const Json::exception &Failure) {
    return jsonAnswer({{"error", Failure.what()}}, 400);
  }
}

auto TargetServer::applyFaults(const Json &Body) -> void {
  if (Body.contains("slow_factor"))
    Slots.setSlowFactor(Body.at("slow_factor").get<double>());
  if (Body.contains("report_lag_ms"))
    ReportLagUs = Body.at("report_lag_ms").get<std::int64_t>() * 1000;
  if (Body.contains("wrong_load"))
    WrongLoad = Body.at("wrong_load");
  if (Body.contains("wrong_state"))
    WrongState = Body.at("wrong_state");
  if (Body.contains("shed"))
    ShedAll = Body.at("shed").get<bool>();
  if (Body.value("cold_restart", false))
    restartCold();
  if (Body.value("close_connections", false))
    boost::asio::post(Context, [this] { Server->closeConnections(); });
  if (Body.value("silence_connections", false))
    boost::asio::post(Context, [this] { Server->silenceConnections(); });
  if (Body.contains("freeze_ms"))
    freeze(std::chrono::milliseconds(Body.at("freeze_ms").get<unsigned>()));
}

auto TargetServer::freeze(Duration Time) -> void {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context);
  Timer->expires_after(FreezeDelay);
  Timer->async_wait([Timer, Time](auto /*Cancelled*/) {
    // The program has one thread, so everything in it stands still.
    std::this_thread::sleep_for(Time);
  });
}

// A new process would have lost the grants, the term and the connections.
auto TargetServer::restartCold() -> void {
  Start = newStart();
  Grants = std::make_unique<GrantHolder>(Start);
  Slots.restartCold();
  boost::asio::post(Context, [this] { Server->closeConnections(); });
}

} // namespace buckthornring::standin
