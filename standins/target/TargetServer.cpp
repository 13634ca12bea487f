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

// Like a real server, the target still accepts requests for this time after it
// has announced that it drains.
constexpr std::int64_t DrainNoticePeriodUs = 2'000'000;
constexpr std::size_t MaxCancelledIds = 1000;
constexpr std::size_t MaxReports = 1000;
// Lets the response to the fault request be sent before the freeze.
constexpr auto FreezeDelay = std::chrono::milliseconds(5);

auto makeStartId() -> std::string {
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
  HttpServerOptions HttpOptions;
  HttpOptions.Port = Self->Options.Port;
  HttpOptions.OnConnect = [Self](std::size_t OpenConnections) {
    return Self->admitConnection(OpenConnections);
  };
  auto Server = HttpServer::start(
      Context, std::move(HttpOptions),
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
    : Context(Context), Options(std::move(Options)), StartId(makeStartId()),
      Grants(std::make_unique<GrantHolder>(StartId)),
      Log(this->Options.RunLogPath), Pool(Context, this->Options.Work) {}

auto TargetServer::admitConnection(std::size_t OpenConnections)
    -> std::optional<Duration> {
  if (OpenConnections > Options.MaxConnections)
    return std::nullopt;
  const auto Now = steadyUs();
  ConnectionsReadyUs =
      std::max(ConnectionsReadyUs, Now) + Options.ConnectionSetupTime.count();
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
      {"POST", "/faults", &TargetServer::setFaults},
      {"GET", "/runs", &TargetServer::runs},
  }};
  for (const auto &Entry : Routes)
    if (Entry.Path == Request.path() && Entry.Method == Request.Method) {
      Responder.respond((this->*Entry.Handler)(Request));
      return;
    }
  if (Request.path().starts_with("/control/"))
    Responder.respond(emptyResponse(404));
  else
    run(Request, Responder);
}

auto TargetServer::lease(const HttpRequest &Request) -> HttpResponse {
  if (!Options.Verified)
    return emptyResponse(404);
  const auto Message = parseLeaseMessage(Request.Body);
  if (!Message ||
      (!Options.Name.empty() && Message.value().Target.str() != Options.Name))
    return jsonResponse({{"error", Message ? "message for another target"
                                           : Message.error().message()}},
                        400);
  const auto Now = steadyUs();
  auto Reply = Grants->apply(*Message, Now);
  for (const auto &[Slice, Count] : RunningSlices)
    if (!Grants->heldEpoch(Slice, Now))
      Reply.Running.push_back(Slice);
  return {200, {{"Content-Type", "application/json"}}, leaseReplyText(Reply)};
}

auto TargetServer::health(const HttpRequest & /*Request*/) -> HttpResponse {
  auto Report = laggedReport(
      "health", {{"start", StartId},
                 {"state", RefuseFromUs != 0 ? "draining" : "serving"},
                 {"cold", Pool.isCold()},
                 {"verified", Options.Verified},
                 {"held", Grants->heldCount(steadyUs())}});
  if (!WrongState.is_null())
    Report["state"] = WrongState;
  return jsonResponse(Report);
}

auto TargetServer::load(const HttpRequest & /*Request*/) -> HttpResponse {
  auto Report =
      laggedReport("load", {{"start", StartId},
                            {"in_flight", Pool.running()},
                            {"queued", Pool.queued()},
                            {"slots", Pool.slots()},
                            {"connections", Server->openConnections()},
                            {"shed", Pool.shedCount()},
                            {"cold_overloads", Pool.coldOverloads()}});
  if (!WrongLoad.is_null())
    Report["in_flight"] = WrongLoad;
  return jsonResponse(Report);
}

// Returns the newest report that is at least ReportLagUs old, or the oldest
// recorded one.
auto TargetServer::laggedReport(const std::string &Kind, const Json &Current)
    -> Json {
  auto &History = ReportHistory[Kind];
  const auto Now = steadyUs();
  History.emplace_back(Now, Current);
  if (History.size() > MaxReports)
    History.pop_front();
  if (ReportLagUs == 0)
    return Current;
  Json Visible = History.front().second;
  for (const auto &[TakenUs, Report] : History)
    if (TakenUs + ReportLagUs <= Now)
      Visible = Report;
  return Visible;
}

auto TargetServer::drain(const HttpRequest &Request) -> HttpResponse {
  const auto Body = Json::parse(Request.Body, nullptr, false);
  if (Body.is_object() && !Body.value("draining", true))
    RefuseFromUs = 0;
  else if (RefuseFromUs == 0)
    RefuseFromUs = steadyUs() + DrainNoticePeriodUs;
  return emptyResponse(200);
}

auto TargetServer::isDraining() const -> bool {
  return RefuseFromUs != 0 && steadyUs() >= RefuseFromUs;
}

auto TargetServer::cancel(const HttpRequest &Request) -> HttpResponse {
  const auto Body = Json::parse(Request.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("request_id") ||
      !Body["request_id"].is_string())
    return emptyResponse(400);
  const auto RequestId = Body["request_id"].get<std::string>();
  rememberCancelled(RequestId);
  switch (Pool.cancel(RequestId)) {
  case WorkerPool::CancelEffect::Queued:
    return jsonResponse({{"cancelled", "queued"}});
  case WorkerPool::CancelEffect::Running:
    return jsonResponse({{"cancelled", "running"}});
  case WorkerPool::CancelEffect::Unknown:
    break;
  }
  return jsonResponse({{"cancelled", "unknown"}});
}

// Identifiers of cancelled requests are kept, since after a freeze a
// cancellation may be read before the request itself.
auto TargetServer::rememberCancelled(const std::string &RequestId) -> void {
  if (!CancelledIds.insert(RequestId).second)
    return;
  CancelledIdOrder.push_back(RequestId);
  if (CancelledIdOrder.size() <= MaxCancelledIds)
    return;
  CancelledIds.erase(CancelledIdOrder.front());
  CancelledIdOrder.pop_front();
}

auto TargetServer::runs(const HttpRequest & /*Request*/) -> HttpResponse {
  auto Report = Log.json();
  Report["start"] = StartId;
  Report["cold_overloads"] = Pool.coldOverloads();
  return jsonResponse(Report);
}

auto TargetServer::setFaults(const HttpRequest &Request) -> HttpResponse {
  try {
    applyFaults(Json::parse(Request.Body));
    return emptyResponse(200);
  } catch (const Json::exception &Failure) {
    return jsonResponse({{"error", Failure.what()}}, 400);
  }
}

auto TargetServer::applyFaults(const Json &Body) -> void {
  if (Body.contains("slow_factor"))
    Pool.setSlowFactor(Body.at("slow_factor").get<double>());
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

auto TargetServer::freeze(Duration FreezePeriod) -> void {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context);
  Timer->expires_after(FreezeDelay);
  Timer->async_wait([Timer, FreezePeriod](auto /*Cancelled*/) {
    // The program has a single thread, so this stops all its work.
    std::this_thread::sleep_for(FreezePeriod);
  });
}

// Drops what a new process would have lost: the grants, the term and the
// connections.
auto TargetServer::restartCold() -> void {
  StartId = makeStartId();
  Grants = std::make_unique<GrantHolder>(StartId);
  Pool.restartCold();
  boost::asio::post(Context, [this] { Server->closeConnections(); });
}

} // namespace buckthornring::standin
