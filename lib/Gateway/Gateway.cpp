#include "Gateway/GatewayImpl.h"

#include "Fleet/StoreRevision.h"
#include "Gateway/ClientOptions.h"
#include "Gateway/MachineLimits.h"
#include "Gateway/RefusalTable.h"
#include "IO/BootClock.h"
#include "IO/Endpoint.h"

#include <boost/core/demangle.hpp>

#include <algorithm>
#include <exception>
#include <typeinfo>
#include <unistd.h>

namespace buckthornring {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Interval of the periodic work of the leader.
constexpr Duration LeaderTickInterval = std::chrono::milliseconds(100);
/// Interval of the periodic work of other instances.
constexpr Duration FollowerTickInterval = std::chrono::milliseconds(500);

/// Interval of checks of the settings file, which may change without a signal.
constexpr Duration SettingsFileCheckInterval = std::chrono::seconds(1);

/// Time-out of the watch on the router's own objects. Its responses prove to an
/// instance that it has contact with the store, and to the leader that it still
/// leads.
constexpr Duration DefaultWatchTimeout = std::chrono::seconds(20);
/// A connection may fail unnoticed. The leader detects this within this time
/// plus the margin of a watch. The changes that it reads then tell the other
/// instances that they are behind, within the 3 s after which they have to know
/// the changes.
constexpr Duration LeaderWatchTimeout = std::chrono::milliseconds(1500);
/// The same for an instance that relays the store to others, which have to know
/// within 2 s of targets that leave.
constexpr Duration RelayWatchTimeout = std::chrono::milliseconds(400);

/// Longest time for which a new process waits for the leader to name a relay
/// before it reads configuration, targets and evacuations from the store
/// itself. When the whole fleet starts for the first time, a leader has to be
/// found and to hear from all instances.
constexpr Duration FirstStartRelayWait = std::chrono::seconds(3);
constexpr Duration RestartRelayWait = std::chrono::milliseconds(300);

/// Interval at which waiting requests are tried again; responses and store
/// updates trigger this as well.
constexpr Duration DispatchRetryInterval = std::chrono::milliseconds(25);

constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);

/// Period after the stop signal in which new connections are still accepted:
/// the load balancer notices the stop within two readiness checks, one per
/// second.
constexpr Duration StopAcceptPeriod = std::chrono::milliseconds(2600);

/// Time before the end of the grace period at which the process ends, and at
/// which the remaining requests are ended so that their callers can read the
/// responses.
constexpr Duration StopMargin = std::chrono::milliseconds(200);
constexpr Duration AbandonMargin = StopMargin + CallerSession::LingerTimeout;
/// Also the time that a caller has for its first request on a connection that
/// is accepted last.
constexpr Duration StopCheckInterval = std::chrono::milliseconds(100);

/// Idle connections that are tried before a new one is closed. On some of them
/// a request may just have arrived.
constexpr std::size_t MaxDisplacementAttempts = 8;

/// Requests of other instances and of the readiness check have no bodies.
constexpr std::uint64_t MaxPeerBodyBytes = 1024;

auto makeProcessName(const InstanceId &Instance) -> std::string {
  timespec Time{};
  clock_gettime(CLOCK_REALTIME, &Time);
  return Instance.str() + "-" + std::to_string(Time.tv_sec) + "." +
         std::to_string(Time.tv_nsec / 1000) + "-" + std::to_string(::getpid());
}

} // namespace

Gateway::Impl::Impl(GatewaySettings InitialSettings,
                    PlatformProtocol InitialProtocol)
    : Settings(std::move(InitialSettings)),
      Protocol(std::move(InitialProtocol)), Events(Settings.Instance.str()),
      ProcessName(makeProcessName(Settings.Instance)),
      Memory(Io, Events, MemoryBudget::limitFor(memoryLimit(Settings))),
      Connections(ConnectionLimits::of(descriptorLimit(Settings))),
      Targets(TargetTable::Settings{Settings.Instance, Settings.DataCentre},
              std::hash<std::string>()(ProcessName)),
      Pool(Io.get_executor(), Memory.budget()),
      Announcements(Protocol, Targets, Events),
      Crashes(Io, Targets, Suspects, WaitingRequests, Events),
      Requests{
          Io,
          Protocol,
          Targets,
          Pool,
          Events,
          WaitingRequests,
          Announcements,
          Suspects,
          Crashes,
          Settings.Bounds.Retries,
          Settings.FirstStart ? LongAgo
                              : bootNow() + Settings.Bounds.Retries.Window,
          SlidingWindowMaximum<std::uint32_t>(Settings.Bounds.Retries.Window),
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
      AcceptTimer(Io), DispatchTimer(Io), StopTimer(Io), FeedStartTimer(Io) {
  Requests.Hedges.setLimits(Settings.Hedging);
}

auto Gateway::Impl::bind(const StoreFactory &MakeStore) -> Result<bool> {
  auto CreatedStore =
      MakeStore(Io, Settings.StoreAddress, clientOptions(Events));
  if (!CreatedStore)
    return CreatedStore.error();
  Store = std::make_unique<RelayedStore>(Io, std::move(CreatedStore).value(),
                                         Protocol.Kinds.Schema, Events);
  const auto CallerEndpoint = parseEndpoint(Settings.CallerAddress);
  error_code Failure;
  Listener.open(CallerEndpoint->protocol(), Failure);
  if (!Failure)
    Listener.set_option(boost::asio::socket_base::reuse_address(true), Failure);
  if (!Failure)
    Listener.bind(*CallerEndpoint, Failure);
  if (!Failure)
    Listener.listen(boost::asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return Error("cannot listen on " + Settings.CallerAddress + ": " +
                 Failure.message());
  const auto StartServer = [this](const char *Name, const std::string &Address,
                                  std::size_t MaxConnections,
                                  HttpServer::Handler Handler) {
    const auto Endpoint = parseEndpoint(Address);
    HttpServerOptions Options;
    Options.Address = Endpoint->address().to_string();
    Options.Port = Endpoint->port();
    Options.BodyLimit = MaxPeerBodyBytes;
    Options.BufferLimit = 2 * std::size_t{Options.HeadLimit};
    Options.MaxConnections = MaxConnections;
    Options.OnProtocolError = [this, Name](HttpProtocolError Error) {
      HttpResponse Response = HttpServer::errorResponse(Error);
      logUnreadable(Name, Response.Status);
      return Response;
    };
    return HttpServer::start(Io, std::move(Options), std::move(Handler));
  };
  auto Ready =
      StartServer("readiness", Settings.ReadyAddress, Connections.Readiness,
                  [this](const HttpRequest &, const HttpResponder &To) {
                    HttpResponse Response;
                    Response.Status = ready() ? 200 : 503;
                    To.respond(std::move(Response));
                  });
  if (!Ready)
    return Ready.error();
  ReadyServer = std::move(Ready).value();
  auto Peer =
      StartServer("peers", Settings.PeerAddress, Connections.Peers,
                  [this](const HttpRequest &Request, const HttpResponder &To) {
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
  if (Settings.Bounds.Rollouts.enabled())
    makeRollouts();
  makeFeeds();
  if (Rollouts)
    RolloutDecisions =
        std::make_unique<RolloutLeader>(RolloutLeader::LeaderContext{
            *Store, Protocol, Targets, Events, *Rollouts, *RouterObjectsFeed,
            Settings.Bounds.Rollouts,
            [this] {
              RouterObjectsFeed->refresh();
              RolloutFeed->refresh();
            },
            [this](const StoredObject &Object) { onRolloutChanged(Object); }});
  RangeTimes Times;
  Times.HoldPeriod = std::min(Times.HoldPeriod, Settings.Bounds.MaxGrantHold);
  LocalLeader = std::make_unique<Leader>(
      Leader::FleetContext{
          Io, *Store, Protocol, Targets, Events, Announcements,
          *RouterObjectsFeed,
          [this](const ServiceId &Service) -> const RangeRecord * {
            const auto View = Requests.Ranges.find(Service);
            return View == Requests.Ranges.end() ? nullptr
                                                 : &View->second.Record;
          },
          [this] { RouterObjectsFeed->refresh(); },
          [this](const std::string &To, const FleetMessage &Message) {
            Peers->send(To, Message);
          },
          [this](const GrantNotice &Notice) {
            Member->received(Notice, Settings.PeerAddress);
          },
          Rollouts.get(), RolloutDecisions.get()},
      Times, Settings.Bounds.Rates);
  Requests.OnLoadAdded = [this] { Member->scheduleLoadNotice(); };
  Store->onWriteUnanswered([this] { recheckFeeds(); });
  Announcements.setHandler(
      [this](const TargetRecord &Target) { Member->onAnnounced(Target); });
  Requests.RequestRateFromReserve = [this](const WorkspaceId &Workspace,
                                           std::function<void(bool)> Done) {
    Member->rateReserveClient().ask(Workspace, std::move(Done));
  };
  Member = std::make_unique<FleetMember>(
      Io,
      FleetMember::FleetContext{
          Requests, *Store, *RouterObjectsFeed, *LocalLeader, *Peers,
          LeaderInfo{Settings.Instance, ProcessName, Settings.PeerAddress, 0},
          Settings.DataCentre, Settings.FirstStart, Settings.ProcessorShare,
          [this] {
            startFeeds();
            // The open watch may have a long time-out on a dead connection, and
            // the leader's authority depends on its responses.
            updateWatchTimeout();
            RouterObjectsFeed->recheck();
            TickTimer.expires_after(Duration(0));
            armTickTimer();
          },
          [this] { return seenChanges(); },
          [this](const SeenRevisions &Others) {
            return isUpToDateWith(Others);
          },
          [this] { return storeReachable(); },
          [this] { RouterObjectsFeed->recheck(); },
          [this](const std::string &Primary, const std::string &Backup) {
            useRelays(Primary, Backup);
          },
          [this](const SeenRevisions &Others, const std::string &Address) {
            catchUp(Others, Address);
          }},
      std::hash<std::string>()(ProcessName) + 1);
  Requests.ConfigurationOutdated = [this] {
    return ConfigurationFeed->revision() < Member->newestConfigurationSeen();
  };
  RouterObjectsFeed->start();
  FeedStartTimer.expires_after(Settings.FirstStart ? FirstStartRelayWait
                                                   : RestartRelayWait);
  FeedStartTimer.async_wait([this](const error_code &Cancelled) {
    if (!Cancelled)
      startFeeds();
  });
  Member->start();
  waitForSignal();
  accept();
  tick();
}

auto Gateway::Impl::accept() -> void {
  Listener.async_accept([this](const error_code &Failure, tcp::socket Socket) {
    if (Failure == boost::asio::error::operation_aborted || !Listener.is_open())
      return;
    if (Failure)
      return retryAccept(Failure);
    startSession(std::move(Socket));
    accept();
  });
}

// Without free file descriptors, an immediate retry would fail as well and take
// the processor from the open connections.
auto Gateway::Impl::retryAccept(const error_code &Cause) -> void {
  if (Events.admits(EventClass::Failure, bootNow()))
    Events.write(EventLine("accept-failed").field("reason", Cause.message()));
  AcceptTimer.expires_after(AcceptRetryDelay);
  AcceptTimer.async_wait([this](const error_code &Cancelled) {
    if (!Cancelled && Listener.is_open())
      accept();
  });
}

auto Gateway::Impl::makeRoomForSession() -> bool {
  if (Sessions.size() + LingeringSessions < Connections.Callers)
    return true;
  std::vector<std::pair<TimePoint, std::shared_ptr<CallerSession>>> Idle;
  for (const auto &Session : Sessions)
    if (const auto Since = Session->idleSince())
      Idle.emplace_back(*Since, Session);
  const std::size_t Count = std::min(Idle.size(), MaxDisplacementAttempts);
  std::partial_sort(Idle.begin(),
                    Idle.begin() + static_cast<std::ptrdiff_t>(Count),
                    Idle.end());
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Idle[Index].second->displace()) {
      ++DisplacedSessions;
      return true;
    }
  ++RejectedSessions;
  if (Events.admits(EventClass::Failure, bootNow()))
    Events.write(EventLine("caller-rejected")
                     .field("sessions", Sessions.size())
                     .field("lingering", LingeringSessions));
  return false;
}

auto Gateway::Impl::startSession(tcp::socket Socket) -> void {
  if (!makeRoomForSession())
    return;
  const RequestLimits Limits = Requests.CurrentConfig
                                   ? Requests.CurrentConfig->Config.Limits
                                   : RequestLimits();
  auto Session = std::make_shared<CallerSession>(std::move(Socket), *this,
                                                 Limits, Memory.budget());
  Sessions.insert(Session);
  Session->start();
  if (StopStartedAt != LongAgo)
    Session->drain(false);
}

auto Gateway::Impl::stopListening() -> void {
  // Closing the socket would reset the connections that wait to be accepted.
  error_code Failure;
  Listener.non_blocking(true, Failure);
  while (!Failure) {
    tcp::socket Socket(Io);
    Listener.accept(Socket, Failure);
    if (!Failure)
      startSession(std::move(Socket));
  }
  Listener.close(Failure);
}

auto Gateway::Impl::onRequest(const std::shared_ptr<CallerSession> &Session,
                              std::uint64_t RequestNumber,
                              CallerRequest Request) -> void {
  const auto FlowKey = std::make_pair(
      static_cast<const CallerSession *>(Session.get()), RequestNumber);
  auto Flow = std::make_shared<RequestFlow>(
      Requests, Session, RequestNumber, std::move(Request),
      [this, FlowKey] { Flows.erase(FlowKey); });
  Flows[FlowKey] = Flow;
  Flow->start();
  armDispatchTimer();
}

auto Gateway::Impl::onCallerDisconnected(const CallerSession &Session,
                                         std::uint64_t RequestNumber) -> void {
  const auto Entry = Flows.find({&Session, RequestNumber});
  if (Entry == Flows.end())
    return;
  const auto Flow = Entry->second;
  Flow->onCallerDisconnected();
}

auto Gateway::Impl::makeErrorResponse(unsigned Status) -> CallerResponse {
  CallerResponse Response;
  Response.Status = Status;
  Response.Fields.add("Btr-Run", "not-run");
  // For want of memory: slow and stalled bodies give theirs back soon.
  if (Status == 503)
    Response.Fields.add("Retry-After", "1");
  logUnreadable("callers", Status);
  return Response;
}

auto Gateway::Impl::logUnreadable(std::string_view Address, unsigned Status)
    -> void {
  if (Events.admits(EventClass::Failure, bootNow()))
    Events.write(EventLine("request-unreadable")
                     .field("address", Address)
                     .field("status", Status));
}

auto Gateway::Impl::onSessionEnded(
    const std::shared_ptr<CallerSession> &Session) -> void {
  Sessions.erase(Session);
  ++LingeringSessions;
  const SessionEnding &Ending = Session->ending();
  if (!Ending.complete() && Events.admits(EventClass::Failure, bootNow()))
    Events.write(EventLine("caller-connection-cut")
                     .field("cause", SessionEndNames.name(Ending.Cause))
                     .field("unanswered", Ending.UnansweredRequests)
                     .field("response_cut", Ending.ResponseCut)
                     .field("unread_input", Ending.UnreadInput));
}

auto Gateway::Impl::onSocketClosed() -> void { --LingeringSessions; }

auto Gateway::Impl::armDispatchTimer() -> void {
  if (WaitingRequests.empty() || std::exchange(DispatchTimerArmed, true))
    return;
  DispatchTimer.expires_after(DispatchRetryInterval);
  DispatchTimer.async_wait([this](const error_code &Cancelled) {
    DispatchTimerArmed = false;
    if (Cancelled)
      return;
    WaitingRequests.dispatch();
    armDispatchTimer();
  });
}

auto Gateway::Impl::logShortages(TimePoint Now) -> void {
  for (const ShortageMonitor::Change &Changed :
       Requests.Shortages.changes(Now)) {
    const auto Estimates = Targets.ownerEstimates(Now);
    Events.write(
        EventLine(Changed.Short ? "service-short-of-room" : "service-has-room")
            .field("service", Changed.Service.str())
            .field("requests", Changed.Requests)
            .field("refused", Changed.Refused)
            .field("waiting", WaitingRequests.size())
            .field("smallest_window", Estimates.SmallestWindow)
            .field("longest_queue", Estimates.LongestQueue));
  }
}

auto Gateway::Impl::tick() -> void {
  const TimePoint Now = bootNow();
  dropMissingEvacuations(Now);
  if (Rollouts)
    Rollouts->tick(Now);
  const bool Dropped = Targets.dropMissing(Now);
  // Without contact, a removal of the record would not be seen.
  const bool Readmitted =
      TargetFeed->connected() && Targets.readmitDeparted(Now);
  if (Readmitted || Dropped)
    WaitingRequests.dispatch();
  Pool.closeExpired(Now);
  Memory.tick(Now);
  Suspects.expire(Now);
  Requests.Hedges.expire(Now);
  reloadChangedFile(Now);
  armDispatchTimer();
  logShortages(Now);
  Events.flush();
  updateWatchTimeout();
  if (LocalLeader->leading()) {
    Store->useRelays("", "");
    // A store of a later era does not hold the claim.
    if (eraOf(RouterObjectsFeed->revision()) == eraOf(LocalLeader->self().Term))
      LocalLeader->leadershipConfirmed(RouterObjectsFeed->confirmedAt());
    if (Requests.CurrentConfig)
      LocalLeader->tick(Requests.CurrentConfig->Config);
    if (RolloutDecisions)
      stepRollouts(Now);
  }
  TickTimer.expires_after(LocalLeader->leading() ? LeaderTickInterval
                                                 : FollowerTickInterval);
  armTickTimer();
}

auto Gateway::Impl::updateWatchTimeout() -> void {
  RouterObjectsFeed->setWatchTimeout(IsRelay ? RelayWatchTimeout
                                     : LocalLeader->leading()
                                         ? LeaderWatchTimeout
                                         : DefaultWatchTimeout);
}

auto Gateway::Impl::armTickTimer() -> void {
  TickTimer.async_wait([this](const error_code &Cancelled) {
    if (!Cancelled)
      tick();
  });
}

auto Gateway::Impl::ready() const -> bool {
  return StopStartedAt == LongAgo && Requests.CurrentConfig &&
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
      // Addresses stay the same until the process ends.
      Settings.Bounds = Next->Bounds;
      Requests.RetryBounds = Settings.Bounds.Retries;
      Settings.Hedging = Next->Hedging;
      Requests.Hedges.setLimits(Settings.Hedging);
    } else {
      Line.field("reason", Next.error().message());
    }
  }
  Events.write(Line);
}

auto Gateway::Impl::reloadChangedFile(TimePoint Now) -> void {
  if (SettingsFile.empty() || Now < NextFileCheckAt)
    return;
  NextFileCheckAt = Now + SettingsFileCheckInterval;
  std::error_code Failure;
  const auto ModifiedAt =
      std::filesystem::last_write_time(SettingsFile, Failure);
  // A file that is missing while it is replaced is read at a later check.
  if (Failure || ModifiedAt == SettingsModifiedAt)
    return;
  SettingsModifiedAt = ModifiedAt;
  reloadSettings("file");
}

auto Gateway::Impl::beginStop() -> void {
  if (StopStartedAt != LongAgo)
    return;
  StopStartedAt = bootNow();
  Events.write(EventLine("stop-began").field("requests", Flows.size()));
  Member->leave();
  Requests.Stop =
      StopWindow{StopStartedAt + StopAcceptPeriod,
                 StopStartedAt + Settings.Bounds.StopGrace - AbandonMargin};
  const auto OpenSessions = Sessions;
  for (const auto &Session : OpenSessions)
    Session->drain(false);
  continueStop();
}

auto Gateway::Impl::continueStop() -> void {
  const TimePoint Now = bootNow();
  const Duration Elapsed = Now - StopStartedAt;
  if (Elapsed >= StopAcceptPeriod && Listener.is_open()) {
    stopListening();
  } else if (!Listener.is_open()) {
    // By now, the first request on the last connection has arrived.
    const auto OpenSessions = Sessions;
    for (const auto &Session : OpenSessions)
      Session->drain(true);
  }
  if (Now >= Requests.Stop->End && !Flows.empty()) {
    const auto RunningFlows = Flows;
    Events.write(
        EventLine("requests-abandoned").field("requests", Flows.size()));
    for (const auto &[FlowKey, Flow] : RunningFlows)
      Flow->abandon();
  }
  // The end of the process resets connections on which input arrives later, and
  // with them the responses that were not acknowledged.
  const bool Done =
      !Listener.is_open() && Sessions.empty() && LingeringSessions == 0;
  const TimePoint ProcessEnd =
      Requests.Stop->End + CallerSession::LingerTimeout;
  if (Done || Now >= ProcessEnd) {
    Events.write(EventLine("stop")
                     .field("sessions", Sessions.size())
                     .field("lingering", LingeringSessions));
    return Io.stop();
  }
  // A later check would shorten the time that is left after these two.
  Duration NextCheck = StopCheckInterval;
  for (const TimePoint Step : {Requests.Stop->End, ProcessEnd})
    if (Step > Now)
      NextCheck = std::min(NextCheck, Step - Now);
  StopTimer.expires_after(NextCheck);
  StopTimer.async_wait([this](const error_code &Cancelled) {
    if (!Cancelled)
      continueStop();
  });
}

Gateway::Gateway(std::unique_ptr<Impl> Created) : Pimpl(std::move(Created)) {}

Gateway::~Gateway() = default;

auto Gateway::create(GatewaySettings Settings, PlatformProtocol Protocol,
                     const StoreFactory &MakeStore)
    -> Result<std::unique_ptr<Gateway>> {
  auto Created =
      std::make_unique<Impl>(std::move(Settings), std::move(Protocol));
  const auto Bound = Created->bind(MakeStore);
  if (!Bound)
    return Bound.error();
  return std::unique_ptr<Gateway>(new Gateway(std::move(Created)));
}

auto Gateway::setReload(SettingsReload Reload, std::filesystem::path Path)
    -> void {
  Pimpl->Reload = std::move(Reload);
  Pimpl->SettingsFile = std::move(Path);
  std::error_code Failure;
  Pimpl->SettingsModifiedAt =
      std::filesystem::last_write_time(Pimpl->SettingsFile, Failure);
}

auto Gateway::stop() -> void { Pimpl->Io.stop(); }

auto Gateway::callerAddress() const -> std::string {
  error_code Failure;
  const auto Endpoint = Pimpl->Listener.local_endpoint(Failure);
  return Failure ? "" : endpointText(Endpoint);
}

auto Gateway::peerAddress() const -> std::string {
  auto Endpoint = *parseEndpoint(Pimpl->Settings.PeerAddress);
  Endpoint.port(Pimpl->PeerServer->port());
  return endpointText(Endpoint);
}

auto Gateway::run() -> bool {
  try {
    Pimpl->start();
    Pimpl->Io.run();
    return true;
  } catch (const std::exception &Failure) {
    Pimpl->Events.write(
        EventLine("handler-failed")
            .field("type", boost::core::demangle(typeid(Failure).name()))
            .field("reason", Failure.what())
            .field("requests", Pimpl->Flows.size())
            .field("sessions", Pimpl->Sessions.size()));
    return false;
  }
}

} // namespace buckthornring
