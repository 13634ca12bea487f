#include "Gateway/GatewayImpl.h"

#include "Gateway/RefusalTable.h"
#include "IO/BootClock.h"
#include "IO/Endpoint.h"

#include <algorithm>
#include <unistd.h>

namespace buckthornring {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Interval of the leader's duties.
constexpr Duration LeaderTick = std::chrono::milliseconds(100);
/// Interval of an instance's own upkeep.
constexpr Duration IdleTick = std::chrono::milliseconds(500);

/// Interval of looks at the settings file, which may change without a signal.
constexpr Duration FileInterval = std::chrono::seconds(1);

/// Wait of the watch on the router's own objects. Its answers tell an instance
/// that it has contact with the store, and prove to the leader that it leads.
constexpr Duration OwnWatchWait = std::chrono::seconds(20);
/// Connections may go silent without a sign. The leader notices within this
/// time and the margin of a watch; what it reads then tells the others that
/// they are behind, in time for the 3 s after which they have to know it.
constexpr Duration LeaderWatchWait = std::chrono::milliseconds(1500);
/// The same for an instance that reads the store for others, which have 2 s to
/// know of targets that leave.
constexpr Duration RelayWatchWait = std::chrono::milliseconds(400);

/// Interval in which waiting requests are tried again; answers and changes
/// wake them as well.
constexpr Duration WaitTick = std::chrono::milliseconds(25);

/// Time after the stop signal in which new connections are still accepted: the
/// balancer notices within two checks, one a second.
constexpr Duration AcceptAfterStop = std::chrono::milliseconds(2600);

/// Time before the end of the grace at which the rest is ended.
constexpr Duration StopMargin = std::chrono::milliseconds(400);
constexpr Duration StopInterval = std::chrono::milliseconds(100);

auto processName(const InstanceId &Instance) -> std::string {
  timespec Time{};
  clock_gettime(CLOCK_REALTIME, &Time);
  return Instance.str() + "-" + std::to_string(Time.tv_sec) + "." +
         std::to_string(Time.tv_nsec / 1000) + "-" + std::to_string(::getpid());
}

} // namespace

Gateway::Impl::Impl(GatewaySettings Given, PlatformProtocol Spoken)
    : Settings(std::move(Given)), Protocol(std::move(Spoken)),
      Events(Settings.Instance.str()),
      ProcessName(processName(Settings.Instance)),
      Targets(TargetTable::Settings{Settings.Instance, Settings.DataCentre},
              std::hash<std::string>()(ProcessName)),
      Pool(Io.get_executor()), Requests{Io,
                                        Protocol,
                                        Targets,
                                        Pool,
                                        Events,
                                        WaitingRequests,
                                        Settings.Bounds.Retries,
                                        Settings.Instance.str(),
                                        nullptr,
                                        {},
                                        {},
                                        RateShares(Settings.Bounds.Rates),
                                        {},
                                        Totals.stripe(0),
                                        {},
                                        {},
                                        {},
                                        {},
                                        {},
                                        {}},
      Listener(Io), Signals(Io, SIGTERM, SIGINT, SIGHUP), TickTimer(Io),
      WaitTimer(Io), StopTimer(Io) {}

auto Gateway::Impl::bind(const StoreFactory &MakeStore) -> Result<bool> {
  auto Made = MakeStore(Io, Settings.StoreAddress);
  if (!Made)
    return Made.error();
  Store = std::make_unique<RelayedStore>(Io, std::move(Made).value(), Events);
  const auto Front = parseEndpoint(Settings.CallerAddress);
  error_code Failure;
  Listener.open(Front->protocol(), Failure);
  if (!Failure)
    Listener.set_option(boost::asio::socket_base::reuse_address(true), Failure);
  if (!Failure)
    Listener.bind(*Front, Failure);
  if (!Failure)
    Listener.listen(boost::asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return Error("cannot listen on " + Settings.CallerAddress + ": " +
                 Failure.message());
  const auto Serve = [this](const std::string &Address,
                            HttpServer::Handler Handler) {
    const auto Endpoint = parseEndpoint(Address);
    HttpServerOptions Options;
    Options.Address = Endpoint->address().to_string();
    Options.Port = Endpoint->port();
    return HttpServer::start(Io, std::move(Options), std::move(Handler));
  };
  auto Ready = Serve(Settings.ReadyAddress,
                     [this](const HttpRequest &, const HttpResponder &To) {
                       HttpResponse Response;
                       Response.Status = ready() ? 200 : 503;
                       To.respond(std::move(Response));
                     });
  if (!Ready)
    return Ready.error();
  ReadyServer = std::move(Ready).value();
  auto Peer = Serve(Settings.PeerAddress, [this](const HttpRequest &Request,
                                                 const HttpResponder &To) {
    handlePeerRequest(Request, To);
  });
  if (!Peer)
    return Peer.error();
  PeerServer = std::move(Peer).value();
  auto Socket = PeerSocket::open(
      Io, Settings.PeerAddress,
      [this](const FleetMessage &Message, const std::string &From) {
        Member->received(Message, From);
      });
  if (!Socket)
    return Socket.error();
  Peers = std::move(Socket).value();
  return true;
}

auto Gateway::Impl::start() -> void {
  Events.write(EventLine("start")
                   .field("process", ProcessName)
                   .field("data_centre", Settings.DataCentre.str())
                   .field("caller_address", Settings.CallerAddress)
                   .field("store_address", Settings.StoreAddress));
  makeFeeds();
  RangeTimes Times;
  Times.HoldPeriod = std::min(Times.HoldPeriod, Settings.Bounds.LongestHold);
  LocalLeader = std::make_unique<Leader>(
      Leader::FleetContext{
          Io, *Store, Protocol, Targets, Events, *RouterObjectsFeed,
          [this] { RouterObjectsFeed->refresh(); },
          [this](const std::string &To, const FleetMessage &Message) {
            Peers->send(To, Message);
          },
          [this](const GrantNotice &Notice) {
            Member->received(Notice, Settings.PeerAddress);
          }},
      Times, Settings.Bounds.Rates);
  Requests.OnLoadSeen = [this] { Member->scheduleLoadNotice(); };
  Requests.AskRate = [this](const WorkspaceId &Workspace,
                            std::function<void(bool)> Done) {
    Member->rateReserveClient().ask(Workspace, std::move(Done));
  };
  Member = std::make_unique<FleetMember>(
      Io,
      FleetMember::FleetContext{
          Requests, *Store, *RouterObjectsFeed, *LocalLeader, *Peers,
          LeaderInfo{Settings.Instance, ProcessName, Settings.PeerAddress, 0},
          Settings.DataCentre, Settings.ProcessorShare,
          [this] {
            // The watch that is open may be long and silent, and the leader's
            // authority rests on its answers.
            updateWatchTimeout();
            RouterObjectsFeed->recheck();
            TickTimer.expires_after(Duration(0));
            armTick();
          },
          [this] { return seenChanges(); },
          [this](const SeenRevisions &Others) {
            return isUpToDateWith(Others);
          },
          [this] { return storeReachable(); },
          [this](const std::string &Address) { useRelay(Address); },
          [this](const SeenRevisions &Others, const std::string &Address) {
            catchUp(Others, Address);
          }},
      std::hash<std::string>()(ProcessName) + 1);
  for (const auto *Feed :
       {&ConfigurationFeed, &TargetFeed, &EvacuationFeed, &RouterObjectsFeed})
    (*Feed)->start();
  Member->start();
  waitForSignal();
  accept();
  tick();
}

auto Gateway::Impl::accept() -> void {
  Listener.async_accept([this](const error_code &Failure, tcp::socket Socket) {
    if (Failure == boost::asio::error::operation_aborted || !Listener.is_open())
      return;
    if (!Failure) {
      const RequestLimits Limits = Requests.CurrentConfig
                                       ? Requests.CurrentConfig->Config.Limits
                                       : RequestLimits();
      auto Session =
          std::make_shared<CallerSession>(std::move(Socket), *this, Limits);
      Sessions.insert(Session);
      Session->start();
      if (StopBegan != LongAgo)
        Session->drain(false);
    }
    accept();
  });
}

auto Gateway::Impl::received(const std::shared_ptr<CallerSession> &Session,
                             std::uint64_t Number, CallerRequest Request)
    -> void {
  const auto Name =
      std::make_pair(static_cast<const CallerSession *>(Session.get()), Number);
  auto Flow = std::make_shared<RequestFlow>(
      Requests, Session, Number, std::move(Request),
      [this, Name] { Flows.erase(Name); });
  Flows[Name] = Flow;
  Flow->start();
  serveWaiting();
}

auto Gateway::Impl::callerLeft(const CallerSession &Session,
                               std::uint64_t Number) -> void {
  const auto Found = Flows.find({&Session, Number});
  if (Found == Flows.end())
    return;
  const auto Flow = Found->second;
  Flow->callerLeft();
}

auto Gateway::Impl::unreadable(unsigned Status) -> CallerAnswer {
  CallerAnswer Answer;
  Answer.Status = Status;
  Answer.Fields.add("Btr-Run", "not-run");
  if (Events.admits(EventClass::Failure, bootNow()))
    Events.write(EventLine("request-unreadable").field("status", Status));
  return Answer;
}

auto Gateway::Impl::sessionEnded(const std::shared_ptr<CallerSession> &Session)
    -> void {
  Sessions.erase(Session);
}

auto Gateway::Impl::serveWaiting() -> void {
  if (WaitingRequests.empty() || std::exchange(WaitArmed, true))
    return;
  WaitTimer.expires_after(WaitTick);
  WaitTimer.async_wait([this](const error_code &Cancelled) {
    WaitArmed = false;
    if (Cancelled)
      return;
    WaitingRequests.dispatch();
    serveWaiting();
  });
}

auto Gateway::Impl::tick() -> void {
  const TimePoint Now = bootNow();
  if (Targets.dropMissing(Now))
    WaitingRequests.dispatch();
  Pool.closeIdle(Now);
  reloadChangedFile(Now);
  serveWaiting();
  Events.flush();
  updateWatchTimeout();
  if (LocalLeader->leading()) {
    Store->useRelay("");
    LocalLeader->leadershipConfirmed(RouterObjectsFeed->confirmedAt());
    if (Requests.CurrentConfig)
      LocalLeader->tick(Requests.CurrentConfig->Config);
  }
  TickTimer.expires_after(LocalLeader->leading() ? LeaderTick : IdleTick);
  armTick();
}

auto Gateway::Impl::updateWatchTimeout() -> void {
  RouterObjectsFeed->setWatchTimeout(IsRelay                  ? RelayWatchWait
                                     : LocalLeader->leading() ? LeaderWatchWait
                                                              : OwnWatchWait);
}

auto Gateway::Impl::armTick() -> void {
  TickTimer.async_wait([this](const error_code &Cancelled) {
    if (!Cancelled)
      tick();
  });
}

auto Gateway::Impl::ready() const -> bool {
  return StopBegan == LongAgo && Requests.CurrentConfig &&
         TargetFeed->loaded() && !Targets.all().empty();
}

auto Gateway::Impl::waitForSignal() -> void {
  Signals.async_wait([this](const error_code &Failure, int Signal) {
    if (Failure)
      return;
    if (Signal == SIGHUP)
      reloadSettings("signal");
    else
      beginStop();
    waitForSignal();
  });
}

auto Gateway::Impl::reloadSettings(const char *Cause) -> void {
  EventLine Line("settings-reload");
  Line.field("cause", Cause);
  if (Reload) {
    auto Next = Reload();
    Line.field("accepted", Next.hasValue());
    if (Next) {
      // Addresses hold for the life of the process.
      Settings.Bounds = Next->Bounds;
      Requests.RetryBounds = Settings.Bounds.Retries;
    } else {
      Line.field("reason", Next.error().message());
    }
  }
  Events.write(Line);
}

auto Gateway::Impl::reloadChangedFile(TimePoint Now) -> void {
  if (SettingsFile.empty() || Now < LookAt)
    return;
  LookAt = Now + FileInterval;
  std::error_code Missing;
  const auto Written = std::filesystem::last_write_time(SettingsFile, Missing);
  // A file that is being replaced is read when it is there again.
  if (Missing || Written == SettingsTime)
    return;
  SettingsTime = Written;
  reloadSettings("file");
}

auto Gateway::Impl::beginStop() -> void {
  if (StopBegan != LongAgo)
    return;
  StopBegan = bootNow();
  Events.write(EventLine("stop-began").field("requests", Flows.size()));
  Member->leave();
  const auto Open = Sessions;
  for (const auto &Session : Open)
    Session->drain(false);
  stopStep();
}

auto Gateway::Impl::stopStep() -> void {
  const Duration Passed = bootNow() - StopBegan;
  if (Passed >= AcceptAfterStop) {
    error_code Ignored;
    Listener.close(Ignored);
    const auto Open = Sessions;
    for (const auto &Session : Open)
      Session->drain(true);
    if (Sessions.empty()) {
      Events.write(EventLine("stop"));
      return Io.stop();
    }
  }
  if (Passed >= Settings.Bounds.StopGrace - StopMargin) {
    const auto Running = Flows;
    for (const auto &[Name, Flow] : Running)
      Flow->abandon();
    Events.write(EventLine("stop").field("abandoned", Running.size()));
    return Io.stop();
  }
  StopTimer.expires_after(StopInterval);
  StopTimer.async_wait([this](const error_code &Cancelled) {
    if (!Cancelled)
      stopStep();
  });
}

Gateway::Gateway(std::unique_ptr<Impl> Given) : Io(std::move(Given)) {}

Gateway::~Gateway() = default;

auto Gateway::create(GatewaySettings Settings, PlatformProtocol Protocol,
                     const StoreFactory &MakeStore)
    -> Result<std::unique_ptr<Gateway>> {
  auto Made = std::make_unique<Impl>(std::move(Settings), std::move(Protocol));
  const auto Bound = Made->bind(MakeStore);
  if (!Bound)
    return Bound.error();
  return std::unique_ptr<Gateway>(new Gateway(std::move(Made)));
}

auto Gateway::setReload(SettingsReload Reload, std::filesystem::path Path)
    -> void {
  Io->Reload = std::move(Reload);
  Io->SettingsFile = std::move(Path);
  std::error_code Missing;
  Io->SettingsTime =
      std::filesystem::last_write_time(Io->SettingsFile, Missing);
}

auto Gateway::stop() -> void { Io->Io.stop(); }

auto Gateway::callerAddress() const -> std::string {
  error_code Failure;
  const auto Endpoint = Io->Listener.local_endpoint(Failure);
  return Failure ? "" : endpointText(Endpoint);
}

auto Gateway::run() -> void {
  Io->start();
  Io->Io.run();
}

} // namespace buckthornring
