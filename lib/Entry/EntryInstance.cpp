#include "Entry/EntryInstance.h"

#include "Common/JsonText.h"
#include "Entry/EntryMetrics.h"
#include "Entry/SnapshotBuilder.h"
#include "IO/Endpoint.h"
#include "buckthornring/Observe/PrometheusText.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>

namespace buckthornring {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Time in which the deputy and the platform learn that this instance leaves.
constexpr auto LeaveTime = std::chrono::milliseconds(200);

auto listenOn(tcp::acceptor &Listener, const std::string &Address)
    -> Result<bool> {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return Error("\"" + Address + "\" is not an IP address and port");
  error_code Failure;
  Listener.open(Endpoint->protocol(), Failure);
  if (!Failure)
    Listener.set_option(asio::socket_base::reuse_address(true), Failure);
  if (!Failure)
    Listener.bind(*Endpoint, Failure);
  if (!Failure)
    Listener.listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return Error("cannot listen on " + Address + ": " + Failure.message());
  return true;
}

auto addressOf(const tcp::acceptor &Listener) -> std::string {
  error_code Failure;
  const auto Endpoint = Listener.local_endpoint(Failure);
  return Failure ? "" : endpointText(Endpoint);
}

auto trafficOptions(const DaemonSettings &Settings) -> TrafficOptions {
  TrafficOptions Options;
  Options.InstanceName = Settings.Instance.str();
  Options.Caller.HeadBytes = Settings.Limits.MaxHeadBytes;
  Options.Caller.BodyBytes = Settings.Limits.MaxBodyBytes;
  Options.Caller.IdleTimeout = Settings.Limits.IdleTimeout;
  Options.Caller.HeadTimeout = Settings.Limits.SlowSenderTimeout;
  Options.Caller.BodyReadTimeout = Settings.Limits.SlowSenderTimeout;
  return Options;
}

} // namespace

/// Takes share requests of the traffic threads to the control thread.
class EntryInstance::ShareRequests final : public ShareChannel {
public:
  explicit ShareRequests(EntryInstance &Owner) : Owner(Owner) {}

  auto send(const std::string &Quantity, const ShareRequest &Request)
      -> void override {
    asio::post(Owner.Io, [this, Quantity, Request] {
      Owner.Control->shares().submit(Quantity, Request);
    });
  }

private:
  EntryInstance &Owner;
};

EntryInstance::EntryInstance(DaemonSettings Given)
    : Settings(std::move(Given)), CallerListener(Io),
      Signals(Io, SIGTERM, SIGINT), LeaveTimer(Io),
      Monitor(Io, Settings.DataCentre, [this] { publish(); }),
      Totals(std::make_unique<Counters>(Settings.TrafficThreads)),
      Shares(std::make_unique<ShareRequests>(*this)) {
  const TrafficShared Shared = {
      *Totals, Published, Shares.get(),
      [this](std::size_t Thread, const ServiceId &Service) {
        Threads[Thread]->wake(Service);
      }};
  for (std::size_t Number = 0; Number < Settings.TrafficThreads; ++Number)
    Threads.push_back(std::make_unique<TrafficThread>(
        Number, trafficOptions(Settings), Shared));
}

EntryInstance::~EntryInstance() {
  for (const auto &Thread : Threads)
    Thread->stop();
}

auto EntryInstance::create(DaemonSettings Settings)
    -> Result<std::unique_ptr<EntryInstance>> {
  // Serving plain text where the settings ask for TLS would expose caller keys.
  if (Settings.CallerTls || Settings.LinkTls)
    return Error("tls is not supported by the listeners yet; remove it from "
                 "the settings or terminate TLS in front of this instance");
  std::unique_ptr<EntryInstance> Instance(
      new EntryInstance(std::move(Settings)));
  const auto Bound = Instance->bind();
  if (!Bound)
    return Bound.error();
  return Instance;
}

auto EntryInstance::bind() -> Result<bool> {
  if (auto Bound = listenOn(CallerListener, Settings.CallerAddress); !Bound)
    return Bound;
  if (auto Bound = bindAdmin(); !Bound)
    return Bound;
  PlatformClientOptions Options;
  Options.Address = Settings.PlatformAddress;
  Options.DataCentre = Settings.DataCentre;
  Options.OnUnreadable = Unreadable.clientOptions().OnUnreadable;
  auto Client = PlatformClient::create(Io, std::move(Options));
  if (!Client)
    return Client.error();
  Platform = std::move(Client).value();
  ControlPlane::Handlers Handlers;
  Handlers.CallerAddress = addressOf(CallerListener);
  Handlers.OnChanged = [this] { publish(); };
  Handlers.OnGrant = [this](const std::string &Quantity,
                            const ShareGrant &Grant) {
    for (const auto &Thread : Threads)
      if (Thread->holderName() == Grant.Holder)
        Thread->applyGrant(Quantity, Grant);
  };
  Handlers.OnGiverChanged = [this](std::uint64_t Term) {
    for (const auto &Thread : Threads)
      Thread->followShares(Term);
  };
  auto Created =
      ControlPlane::create(Io, *Platform, Settings, std::move(Handlers));
  if (!Created)
    return Created.error();
  Control = std::move(Created).value();
  return true;
}

auto EntryInstance::bindAdmin() -> Result<bool> {
  const auto Endpoint = parseEndpoint(Settings.AdminAddress);
  if (!Endpoint)
    return Error("\"" + Settings.AdminAddress +
                 "\" is not an IP address and port");
  HttpServerOptions Options;
  Options.Address = Endpoint->address().to_string();
  Options.Port = Endpoint->port();
  Options.OnProtocolError = [this](HttpProtocolError Error) {
    HttpResponse Response = HttpServer::errorResponse(Error);
    Unreadable.request("admin, status " + std::to_string(Response.Status));
    return Response;
  };
  auto Server = HttpServer::start(
      Io, std::move(Options),
      [this](const HttpRequest &Request, const HttpResponder &To) {
        To.respond(answerAdmin(Request));
      });
  if (!Server)
    return Server.error();
  Admin = std::move(Server).value();
  return true;
}

auto EntryInstance::listeningLine() const -> std::string {
  const std::string AdminHost =
      parseEndpoint(Settings.AdminAddress)->address().to_string();
  return "listening caller=" + addressOf(CallerListener) +
         " admin=" + AdminHost + ":" + std::to_string(Admin->port()) +
         " link=" + Control->linkAddress();
}

auto EntryInstance::run() -> void {
  Journal.info(listeningLine());
  for (const auto &Thread : Threads)
    Thread->start();
  Signals.async_wait([this](const error_code &Failure, int) {
    if (!Failure)
      beginShutdown();
  });
  accept();
  Io.run();
}

auto EntryInstance::accept() -> void {
  const std::size_t Thread = NextThread++ % Threads.size();
  CallerListener.async_accept(
      Threads[Thread]->context(),
      [this, Thread](const error_code &Failure, tcp::socket Socket) {
        if (ShuttingDown || Failure == asio::error::operation_aborted)
          return;
        if (!Failure)
          assignCaller(std::move(Socket), Thread);
        accept();
      });
}

auto EntryInstance::assignCaller(tcp::socket Socket, std::size_t Thread)
    -> void {
  std::size_t Open = 0;
  for (const auto &Each : Threads)
    Open += Each->connections();
  if (Open >= Settings.Limits.Connections) {
    ++RejectedCallers;
    return;
  }
  Threads[Thread]->adopt(std::move(Socket));
}

auto EntryInstance::drainAcceptQueue() -> void {
  // Closing the listener would reset connections that the kernel has already
  // accepted for it.
  error_code Failure;
  CallerListener.cancel(Failure);
  CallerListener.non_blocking(true, Failure);
  while (true) {
    const std::size_t Thread = NextThread++ % Threads.size();
    tcp::socket Socket(Threads[Thread]->context());
    CallerListener.accept(Socket, Failure);
    if (Failure)
      break;
    assignCaller(std::move(Socket), Thread);
  }
  CallerListener.close(Failure);
}

auto EntryInstance::conditionOf(const ServiceId &Name, const TargetId &Target,
                                const ServiceConfig &Service) const
    -> TargetCondition {
  const auto ThreadCount = static_cast<std::uint32_t>(Threads.size());
  TargetCondition Condition;
  Condition.Slots = Service.SlotsPerTarget;
  Condition.Connections =
      std::max(1U, Service.ConnectionsPerTarget / ThreadCount);
  Monitor.apply(Name, Target, Condition);
  return Condition;
}

auto EntryInstance::publish() -> void {
  if (!Control || !Control->config())
    return;
  if (!Index || Index->Config != Control->config()) {
    Index = std::make_shared<const ConfigIndex>(Control->config());
    Monitor.setConfiguration(*Index->Config);
    Journal.info("generation " + std::to_string(Index->Config->Generation) +
                 " in force");
  }
  const SnapshotInputs Inputs{Index,
                              Settings.DataCentre,
                              [this](const ServiceId &Name,
                                     const TargetId &Target,
                                     const ServiceConfig &Service) {
                                return conditionOf(Name, Target, Service);
                              },
                              Control->owners(),
                              Gates,
                              Control->ownership().inFlight(),
                              [this](const WorkspaceConfig &Workspace) {
                                return Control->stale(Workspace.StalenessLimit);
                              },
                              ++Version,
                              Control->peers()};
  Published.setLeaseEnd(Control->ownership().routing().validUntil());
  Current = buildSnapshot(Inputs);
  Published.publish(Current);
  for (const auto &Thread : Threads)
    Thread->publish(Current);
}

auto EntryInstance::answerAdmin(const HttpRequest &Request) -> HttpResponse {
  HttpResponse Response;
  const bool Metrics = Request.path() == "/metrics";
  if (Request.Method != "GET" || (!Metrics && Request.path() != "/status")) {
    Response.Status = 404;
    return Response;
  }
  Response.Headers.set("Content-Type",
                       Metrics ? std::string(PrometheusText::ContentType)
                               : "application/json");
  Response.Body = Metrics ? metricsText() : statusText();
  return Response;
}

auto EntryInstance::statusText() const -> std::string {
  nlohmann::json Status = {
      {"instance", Settings.Instance.str()},
      {"data_centre", Settings.DataCentre.str()},
      {"generation", Control->config() ? Control->config()->Generation : 0},
      {"snapshot", Version},
      {"shutting_down", ShuttingDown},
  };
  std::size_t Open = 0;
  for (const auto &Thread : Threads)
    Open += Thread->connections();
  Status["caller_connections"] = Open;
  Control->describe(Status);
  return writeJson(Status) + "\n";
}

auto EntryInstance::metricsText() const -> std::string {
  return entryMetrics(Threads, *Totals, RejectedCallers);
}

auto EntryInstance::beginShutdown() -> void {
  if (std::exchange(ShuttingDown, true))
    return;
  Journal.info("shutdown began, running requests finish");
  drainAcceptQueue();
  Draining = Threads.size();
  for (const auto &Thread : Threads)
    Thread->shutDown([this] { asio::post(Io, [this] { threadDrained(); }); });
}

auto EntryInstance::threadDrained() -> void {
  if (--Draining > 0)
    return;
  // Leader and deputy keep their role while requests finish; then the deputy
  // takes over at once instead of after the end of a confirmation.
  Control->leave();
  LeaveTimer.expires_after(LeaveTime);
  LeaveTimer.async_wait([this](const error_code &) {
    Journal.info("shutdown complete");
    Io.stop();
  });
}

} // namespace buckthornring
