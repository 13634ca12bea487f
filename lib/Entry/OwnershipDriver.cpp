#include "Entry/OwnershipDriver.h"

#include "IO/SteadyTime.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace buckthornring {

namespace {

// Interval in which the core is asked for work; part of the recovery budget.
constexpr Duration TickInterval = std::chrono::milliseconds(15);
constexpr Duration LeaseCallTimeout = std::chrono::milliseconds(600);
// A kept-alive connection that was idle for longer may have gone silent.
constexpr Duration LeaseConnectionMaxIdle = std::chrono::seconds(1);
constexpr Duration ProbeInterval = std::chrono::milliseconds(150);

auto lostDataCentres(const Configuration &Config) -> std::set<DataCentreId> {
  std::set<DataCentreId> Lost;
  for (const auto &[Id, DataCentre] : Config.DataCentres)
    if (DataCentre.ConfirmedLost)
      Lost.insert(Id);
  return Lost;
}

auto writeOutcome(PlatformStatus Status) -> WriteAnswer::Kind {
  switch (Status) {
  case PlatformStatus::Done:
    return WriteAnswer::Kind::Written;
  case PlatformStatus::Conflict:
  case PlatformStatus::Absent:
    return WriteAnswer::Kind::Conflict;
  case PlatformStatus::Unknown:
    return WriteAnswer::Kind::Unknown;
  case PlatformStatus::TooLarge:
  case PlatformStatus::Rejected:
  case PlatformStatus::Unreachable:
    break;
  }
  return WriteAnswer::Kind::NotSent;
}

auto readAnswer(PlatformRead Read) -> ReadAnswer {
  ReadAnswer Answer;
  Answer.Answered = Read.Status == PlatformStatus::Done ||
                    Read.Status == PlatformStatus::Absent;
  if (Read.Status == PlatformStatus::Done)
    Answer.Found = ObjectValue{std::move(Read.Value), Read.Version};
  return Answer;
}

} // namespace

auto OwnershipDriver::create(boost::asio::io_context &Context,
                             PlatformClient &Platform, PeerLinks &Links,
                             Options Settings)
    -> std::unique_ptr<OwnershipDriver> {
  std::unique_ptr<OwnershipDriver> Driver(
      new OwnershipDriver(Context, Platform, Links, std::move(Settings)));
  Driver->scheduleTick();
  return Driver;
}

OwnershipDriver::OwnershipDriver(boost::asio::io_context &Context,
                                 PlatformClient &Platform, PeerLinks &Links,
                                 Options Settings)
    : Context(Context), Platform(Platform), Links(Links),
      Settings(std::move(Settings)), Lease(SafetySwitches()),
      TickTimer(Context) {
  const PeerIdentity &Self = this->Settings.Self;
  Core = std::make_unique<LeaderCore>(
      LeaderCore::Identity{Self.Process, Self.DataCentre, Self.FailureDomain},
      this->Settings.Times, SafetySwitches(), steadyNow());
}

OwnershipDriver::~OwnershipDriver() { *Alive = false; }

auto OwnershipDriver::setConfiguration(
    const std::shared_ptr<const Configuration> &Accepted) -> void {
  Config = Accepted;
  for (const auto &[Id, Service] : Config->Services) {
    if (Service.Kind != ServiceKind::Divided)
      continue;
    auto &Table = Tables[Id];
    if (!Table)
      Table = std::make_shared<InFlightTable>(Service.Slices);
    const auto Entry =
        Homes
            .try_emplace(Id, HomeState{HomeKeeper(Id, Settings.Self.DataCentre,
                                                  HomeKeeper::Times()),
                                       {},
                                       false})
            .first;
    Entry->second.Keeper.setWanted(HomeMap::wanted(*Config, Id));
    Entry->second.Keeper.setLost(lostDataCentres(*Config));
  }
  connectTargets();
  Core->setServices(ownedServices(), steadyNow());
  Core->setGeneration(Config->Generation);
}

auto OwnershipDriver::updatePeers() -> void {
  std::vector<PairCandidate> Candidates;
  for (const PeerIdentity &Peer : Links.peers())
    if (Peer.DataCentre == Settings.Self.DataCentre)
      Candidates.push_back({Peer.Process, Peer.FailureDomain});
  Core->setInstances(Candidates, steadyNow());
}

auto OwnershipDriver::receive(const InstanceId &From,
                              const LinkMessage &Message) -> bool {
  const bool Mine = std::holds_alternative<TermConfirmRequest>(Message) ||
                    std::holds_alternative<TermConfirm>(Message) ||
                    std::holds_alternative<TermAnnounce>(Message) ||
                    std::holds_alternative<TermAck>(Message) ||
                    std::holds_alternative<AssignmentCopy>(Message) ||
                    std::holds_alternative<AssignmentCopyAck>(Message) ||
                    std::holds_alternative<RoutingHeartbeat>(Message) ||
                    std::holds_alternative<RoutingAck>(Message) ||
                    std::holds_alternative<Resign>(Message);
  if (Mine)
    deliver(From, Message);
  return Mine;
}

auto OwnershipDriver::resign() -> void { perform(Core->resign(steadyNow())); }

auto OwnershipDriver::confirmTargetLost(const TargetId &Target) -> void {
  Core->confirmTargetLost(Target, steadyNow());
}

auto OwnershipDriver::confirmInstanceLost(const InstanceId &Process) -> void {
  Core->confirmInstanceLost(Process, steadyNow());
}

auto OwnershipDriver::scheduleTick() -> void {
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait(
      [this, Living = Alive](boost::system::error_code Cancelled) {
        if (Cancelled || !*Living)
          return;
        perform(Core->tick(steadyNow()));
        tickHomes();
        probeUnverifiedTargets();
        scheduleTick();
      });
}

auto OwnershipDriver::probeUnverifiedTargets() -> void {
  const TimePoint Now = steadyNow();
  if (!Config || Core->term().role() != TermRole::Leader ||
      Now - LastProbe < ProbeInterval)
    return;
  LastProbe = Now;
  for (const auto &[Id, Service] : Config->Services) {
    if (Service.Kind != ServiceKind::Divided ||
        Service.Verification != TargetVerification::Unverified)
      continue;
    for (const auto &[Target, Unused] : Service.Targets) {
      const auto Found = Targets.find(Target);
      if (Found == Targets.end() || Found->second.HealthPending)
        continue;
      Found->second.HealthPending = true;
      HttpRequest Request;
      Request.Target = "/control/health";
      HttpCallOptions Limits;
      Limits.TimeLimit = LeaseCallTimeout;
      Found->second.Client->request(
          std::move(Request), Limits,
          [this, Living = Alive, Target = Target](const HttpOutcome &Outcome) {
            const auto Asked = *Living ? Targets.find(Target) : Targets.end();
            if (!*Living || Asked == Targets.end())
              return;
            Asked->second.HealthPending = false;
            if (Outcome.done())
              Core->targetAlive(Target, steadyNow());
          });
    }
  }
}

auto OwnershipDriver::perform(const OwnershipActions &Actions) -> void {
  for (const OwnershipAction &Action : Actions)
    std::visit([this](const auto &Kind) { perform(Kind); }, Action);
}

auto OwnershipDriver::perform(const SendLink &Action) -> void {
  if (Action.To != Settings.Self.Process) {
    Links.send(Action.To, Action.Message);
    return;
  }
  // The leader is also an instance that routes. Its own messages take the same
  // path, later, so that the core is never entered again from inside itself.
  boost::asio::post(Context, [this, Living = Alive, Message = Action.Message] {
    if (*Living)
      deliver(Settings.Self.Process, Message);
  });
}

auto OwnershipDriver::perform(const SendLease &Action) -> void {
  const auto Found = Targets.find(Action.Message.Target);
  if (Found == Targets.end())
    return;
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = "/control/lease";
  Request.Headers.set("Content-Type", "application/json");
  Request.Body = leaseMessageText(Action.Message);
  HttpCallOptions Limits;
  Limits.TimeLimit = LeaseCallTimeout;
  Limits.MaxIdleTime = LeaseConnectionMaxIdle;
  Found->second.Client->request(
      std::move(Request), Limits,
      [this, Living = Alive,
       Target = Action.Message.Target](const HttpOutcome &Outcome) {
        if (!*Living || !Outcome.done())
          return;
        const auto Reply = parseLeaseReply(Outcome.Response.Body);
        if (Reply)
          perform(Core->leaseReply(Target, *Reply, steadyNow()));
      });
}

auto OwnershipDriver::perform(const ReadObject &Action) -> void {
  Platform.get(Action.Name,
               [this, Living = Alive, Name = Action.Name](PlatformRead Read) {
                 if (!*Living)
                   return;
                 const ReadAnswer Answer = readAnswer(std::move(Read));
                 if (HomeKeeper *Keeper = homeKeeper(Name)) {
                   Keeper->objectRead(Answer);
                   return applyHomes();
                 }
                 perform(Core->objectRead(Name, Answer, steadyNow()));
               });
}

auto OwnershipDriver::perform(const WriteObject &Action) -> void {
  Platform.put(
      Action.Name, Action.IfVersion.value_or(0), Action.Value,
      [this, Living = Alive, Name = Action.Name](const PlatformWrite &Write) {
        if (!*Living)
          return;
        WriteAnswer Answer;
        Answer.Outcome = writeOutcome(Write.Status);
        Answer.Version = Write.Version;
        if (HomeKeeper *Keeper = homeKeeper(Name)) {
          Keeper->objectWritten(Answer);
          return applyHomes();
        }
        perform(Core->objectWritten(Name, Answer, steadyNow()));
      });
}

auto OwnershipDriver::deliver(const InstanceId &From,
                              const LinkMessage &Message) -> void {
  perform(Core->receive(From, Message, steadyNow()));
  if (const auto *Heartbeat = std::get_if<RoutingHeartbeat>(&Message))
    receiveHeartbeat(From, *Heartbeat);
}

auto OwnershipDriver::receiveHeartbeat(const InstanceId &From,
                                       const RoutingHeartbeat &Heartbeat)
    -> void {
  Lease.receive(Heartbeat, steadyNow());
  // The snapshot goes out before the counts are read; see InFlightTable.
  if (Settings.OnRoutingChanged)
    Settings.OnRoutingChanged();
  for (const auto &[Service, Table] : Tables)
    Lease.setInFlight(Service, Table->counts());
  perform(SendLink{From, Lease.acknowledgement(steadyNow())});
}

auto OwnershipDriver::ownedServices() const -> std::vector<OwnedService> {
  std::vector<OwnedService> Owned;
  for (const auto &[Id, Service] : Config->Services) {
    if (Service.Kind != ServiceKind::Divided)
      continue;
    OwnedService Entry;
    Entry.Id = Id;
    Entry.Slices = Service.Slices;
    Entry.Verification = Service.Verification;
    Entry.MaxDeadline = Service.MaxDeadline;
    for (const auto &[Target, Settled] : Service.Targets)
      if (Settled.DataCentre == Settings.Self.DataCentre) {
        Entry.Targets[Target] = Settled.State;
        if (Settled.ConfirmedLost)
          Entry.ConfirmedLost.insert(Target);
      }
    const HomeState &Home = Homes.at(Id);
    Entry.Home = Home.Keeper.homes();
    Entry.HomeConfirmed = Home.Keeper.confirmed();
    Owned.push_back(std::move(Entry));
  }
  return Owned;
}

auto OwnershipDriver::tickHomes() -> void {
  std::optional<std::uint64_t> Term;
  if (Core->term().role() == TermRole::Leader)
    Term = Core->term().record().Term;
  OwnershipActions Actions;
  for (auto &[Id, Home] : Homes)
    Home.Keeper.tick(Term, Core->releasedAway(Id), steadyNow(), Actions);
  applyHomes();
  perform(Actions);
}

auto OwnershipDriver::applyHomes() -> void {
  bool Changed = false;
  for (auto &[Id, Home] : Homes) {
    auto Next = Home.Keeper.homes();
    const bool Confirmed = Home.Keeper.confirmed();
    if (Next == Home.Applied && Confirmed == Home.Confirmed)
      continue;
    Home.Applied = std::move(Next);
    Home.Confirmed = Confirmed;
    Changed = true;
  }
  if (Changed)
    Core->setServices(ownedServices(), steadyNow());
}

auto OwnershipDriver::homeKeeper(const std::string &ObjectName)
    -> HomeKeeper * {
  for (auto &[Id, Home] : Homes)
    if (homeObjectName(Id) == ObjectName)
      return &Home.Keeper;
  return nullptr;
}

auto OwnershipDriver::connectTargets() -> void {
  std::map<TargetId, TargetLink> Connected;
  for (const auto &[Id, Service] : Config->Services) {
    if (Service.Kind != ServiceKind::Divided)
      continue;
    for (const auto &[Target, Settled] : Service.Targets) {
      if (Settled.DataCentre != Settings.Self.DataCentre)
        continue;
      const auto Old = Targets.find(Target);
      if (Old != Targets.end() && Old->second.Address == Settled.Address) {
        Connected[Target] = std::move(Old->second);
        continue;
      }
      auto Client = HttpClient::create(Context, Settled.Address,
                                       Unreadable.clientOptions());
      if (Client)
        Connected[Target] = {Settled.Address, std::move(Client).value(), false};
    }
  }
  Targets = std::move(Connected);
}

} // namespace buckthornring
