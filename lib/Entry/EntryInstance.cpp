#include "Entry/EntryInstance.h"

#include "Entry/EntryMetrics.h"
#include "Entry/SnapshotBuilder.h"
#include "IO/Endpoint.h"
#include "buckthornring/Config/ConfigChecker.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>

namespace buckthornring {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr const char *ConfigObject = "config/current";
constexpr auto WatchWait = std::chrono::seconds(10);
/// Pause after a failed watch, so that an outage of the platform does not turn
/// into a busy loop.
constexpr auto WatchRetry = std::chrono::milliseconds(200);

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
  Options.Caller.IdleTime = Settings.Limits.IdleTimeout;
  Options.Caller.HeadTime = Settings.Limits.SlowSenderTimeout;
  Options.Caller.BodyStall = Settings.Limits.SlowSenderTimeout;
  return Options;
}

} // namespace

EntryInstance::EntryInstance(DaemonSettings Given)
    : Settings(std::move(Given)), CallerListener(Io), LinkListener(Io),
      Signals(Io, SIGTERM, SIGINT), WatchTimer(Io),
      Owners(std::make_unique<RendezvousOwners>()) {
  for (std::size_t Index = 0; Index < Settings.TrafficThreads; ++Index)
    Threads.push_back(
        std::make_unique<TrafficThread>(Index, trafficOptions(Settings)));
}

EntryInstance::~EntryInstance() {
  for (const auto &Thread : Threads)
    Thread->stop();
}

auto EntryInstance::create(DaemonSettings Settings)
    -> Result<std::unique_ptr<EntryInstance>> {
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
  if (auto Bound = listenOn(LinkListener, Settings.LinkAddress); !Bound)
    return Bound;
  if (auto Bound = bindAdmin(); !Bound)
    return Bound;
  PlatformClientOptions Options;
  Options.Address = Settings.PlatformAddress;
  Options.DataCentre = Settings.DataCentre;
  auto Client = PlatformClient::create(Io, std::move(Options));
  if (!Client)
    return Client.error();
  Platform = std::move(Client).value();
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
         " link=" + addressOf(LinkListener);
}

auto EntryInstance::run() -> void {
  for (const auto &Thread : Threads)
    Thread->start();
  Signals.async_wait([this](const error_code &Failure, int) {
    if (!Failure)
      beginShutdown();
  });
  accept();
  watchConfiguration();
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

auto EntryInstance::watchConfiguration() -> void {
  Platform->watch(ConfigObject, Revision, WatchWait,
                  [this](const PlatformChanges &Changes) {
                    if (!ShuttingDown)
                      gotConfiguration(Changes);
                  });
}

auto EntryInstance::gotConfiguration(const PlatformChanges &Changes) -> void {
  if (Changes.Status == PlatformStatus::Done) {
    for (const PlatformObject &Object : Changes.Objects)
      if (Object.Name == ConfigObject && Object.Value)
        acceptConfiguration(*Object.Value);
    Revision = Changes.Revision;
    return watchConfiguration();
  }
  WatchTimer.expires_after(WatchRetry);
  WatchTimer.async_wait([this](const error_code &Failure) {
    if (!Failure && !ShuttingDown)
      watchConfiguration();
  });
}

auto EntryInstance::acceptConfiguration(const std::string &Text) -> void {
  const auto Envelope = nlohmann::json::parse(Text, nullptr, false);
  if (!Envelope.is_object() || !Envelope.contains("generation") ||
      !Envelope["generation"].is_number_unsigned() ||
      !Envelope.contains("content")) {
    std::fprintf(stderr, "[config] the object %s is malformed\n", ConfigObject);
    return;
  }
  const auto Generation = Envelope["generation"].get<std::uint64_t>();
  if (Config && Generation <= Config->Generation)
    return;
  auto Checked = ConfigChecker::check(SettingsDocument(Envelope["content"], {}),
                                      Generation);
  if (!Checked) {
    std::fprintf(stderr, "[config] generation %llu is invalid: %s\n",
                 static_cast<unsigned long long>(Generation),
                 settingsErrorText(Checked.Errors).c_str());
    return;
  }
  Config = std::make_shared<const Configuration>(*std::move(Checked.Value));
  publish();
}

auto EntryInstance::publish() -> void {
  const TargetConditions Conditions = [](const ServiceId &, const TargetId &,
                                         const ServiceConfig &Service) {
    return TargetCondition{true, Service.SlotsPerTarget,
                           Service.ConnectionsPerTarget};
  };
  Current = buildSnapshot(Config, Settings.DataCentre, Conditions, *Owners,
                          ++Version, false);
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
  Response.Headers.set("Content-Type", Metrics ? "text/plain; version=0.0.4"
                                               : "application/json");
  Response.Body = Metrics ? metricsText() : statusText();
  return Response;
}

auto EntryInstance::statusText() const -> std::string {
  nlohmann::json Status = {
      {"instance", Settings.Instance.str()},
      {"data_centre", Settings.DataCentre.str()},
      {"generation", Config ? Config->Generation : 0},
      {"snapshot", Version},
      {"shutting_down", ShuttingDown},
  };
  std::size_t Open = 0;
  for (const auto &Thread : Threads)
    Open += Thread->connections();
  Status["caller_connections"] = Open;
  return Status.dump() + "\n";
}

auto EntryInstance::metricsText() const -> std::string {
  return entryMetrics(Threads, RejectedCallers);
}

auto EntryInstance::beginShutdown() -> void {
  if (std::exchange(ShuttingDown, true))
    return;
  drainAcceptQueue();
  Draining = Threads.size();
  for (const auto &Thread : Threads)
    Thread->shutDown([this] { asio::post(Io, [this] { threadDrained(); }); });
}

auto EntryInstance::threadDrained() -> void {
  if (--Draining > 0)
    return;
  Io.stop();
}

} // namespace buckthornring
