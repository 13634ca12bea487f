#include "Entry/ControlPlane.h"

#include "IO/Endpoint.h"
#include "IO/SteadyTime.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace buckthornring {

namespace {

using Endpoint = boost::asio::ip::tcp::endpoint;

// The platform's list lags by seconds anyway, so it is read rarely once peers
// are known.
constexpr Duration PeerRefreshInterval = std::chrono::seconds(5);
constexpr Duration PeerSearchInterval = std::chrono::milliseconds(500);
constexpr Duration TickInterval = std::chrono::milliseconds(100);

// A leader notices at the latest after the margin that it has lost the
// platform, and its last authority to give shares ends after that. A third
// instance that takes over waits for both.
constexpr Duration GiverAuthority = std::chrono::seconds(1);
constexpr Duration PlatformAnswerMargin = std::chrono::seconds(4);

constexpr EnumNames<TermRole, 3> TermRoleNames({"follower", "deputy",
                                                "leader"});

/// A name for one process start, so that a restarted instance is never taken
/// for the one that held a role before.
auto processName(const InstanceId &Instance) -> InstanceId {
  std::random_device Source;
  return InstanceId(Instance.str() + "#" + std::to_string(Source()));
}

auto identity(const DaemonSettings &Settings, const std::string &CallerAddress)
    -> PeerIdentity {
  return {processName(Settings.Instance), Settings.DataCentre,
          Settings.FailureDomain, CallerAddress};
}

} // namespace

auto ControlPlane::create(boost::asio::io_context &Context,
                          PlatformClient &Platform,
                          const DaemonSettings &Settings, Handlers Callbacks)
    -> Result<std::unique_ptr<ControlPlane>> {
  std::unique_ptr<ControlPlane> Plane(
      new ControlPlane(Context, Platform, Settings, std::move(Callbacks)));
  const auto Started = Plane->start();
  if (!Started)
    return Started.error();
  return Plane;
}

ControlPlane::ControlPlane(boost::asio::io_context &Context,
                           PlatformClient &Platform,
                           const DaemonSettings &Settings, Handlers Callbacks)
    : Context(Context), Platform(Platform), Settings(Settings),
      Callbacks(std::move(Callbacks)), PeerTimer(Context), TickTimer(Context) {}

ControlPlane::~ControlPlane() { *Alive = false; }

auto ControlPlane::start() -> Result<bool> {
  const auto Address = parseEndpoint(Settings.LinkAddress);
  if (!Address)
    return Error("\"" + Settings.LinkAddress +
                 "\" is not an IP address and port");
  PeerLinks::Handlers LinkHandlers;
  LinkHandlers.OnMessage = [this](const PeerIdentity &From,
                                  const LinkMessage &Message) {
    receive(From, Message);
  };
  LinkHandlers.OnPeersChanged = [this] {
    if (Ownership)
      Ownership->updatePeers();
    Callbacks.OnChanged();
  };
  const PeerIdentity Self = identity(Settings, Callbacks.CallerAddress);
  Links = PeerLinks::create(Context, Self, std::move(LinkHandlers));
  const auto Listening = Links->listen(*Address);
  if (!Listening)
    return Listening.error();
  LinkAddress = endpointText(*Listening);

  OwnershipDriver::Options OwnershipOptions;
  OwnershipOptions.Self = Self;
  OwnershipOptions.OnRoutingChanged = Callbacks.OnChanged;
  Ownership = OwnershipDriver::create(Context, Platform, *Links,
                                      std::move(OwnershipOptions));
  Owners = std::make_unique<LeasedOwners>(*Ownership);
  ConfigFeed::Options FeedOptions;
  FeedOptions.Self = Self;
  FeedOptions.OnAccepted = [this] { configAccepted(); };
  Feed = ConfigFeed::create(Context, Platform, *Links, std::move(FeedOptions));

  ShareExchange::Options ShareOptions;
  ShareOptions.Self = Self;
  ShareOptions.OnGrant = Callbacks.OnGrant;
  ShareOptions.OnGiverChanged = Callbacks.OnGiverChanged;
  Shares = ShareExchange::create(Platform, *Links, std::move(ShareOptions));

  // An instance without peers gets no call from the links, but it leads and
  // needs its own heartbeats.
  Ownership->updatePeers();
  refreshPeers();
  scheduleTick();
  return true;
}

auto ControlPlane::stale(Duration Limit) const -> bool {
  return Feed->guard().evaluate(Limit, steadyNow()) == StalenessVerdict::Stale;
}

auto ControlPlane::describe(nlohmann::json &Status) const -> void {
  const TermKeeper &Term = Ownership->core().term();
  Status["process"] = Links->self().Process.str();
  Status["role"] = TermRoleNames.name(Term.role());
  Status["term"] = Term.record().Term;
  Status["leader"] = Term.record().Leader.str();
  Status["deputy"] = Term.record().Deputy.str();
  Status["reaches_platform"] = Feed->reachesPlatform();
  Status["configuration_digest"] = Feed->digest();
  Status["staleness"] = StalenessVerdictNames.name(LastVerdict);
  Status["peers"] = nlohmann::json::array();
  for (const PeerIdentity &Peer : Links->peers())
    Status["peers"].push_back(Peer.Process.str());
}

auto ControlPlane::leave() -> void {
  Leaving = true;
  Ownership->resign();
  announce(InstanceState::Leaving);
}

auto ControlPlane::receive(const PeerIdentity &From, const LinkMessage &Message)
    -> void {
  if (!Shares || Feed->receive(From, Message) ||
      Shares->receive(From.Process, Message))
    return;
  Ownership->receive(From.Process, Message);
}

auto ControlPlane::configAccepted() -> void {
  Ownership->setConfiguration(config());
  Shares->setConfiguration(*config());
  Callbacks.OnChanged();
}

auto ControlPlane::announce(InstanceState State) -> void {
  ListedInstance Entry;
  Entry.Instance = Settings.Instance;
  Entry.Address = LinkAddress;
  Entry.DataCentre = Settings.DataCentre;
  Entry.State = State;
  Platform.announce(Entry, [this, Living = Alive](const PlatformWrite &Write) {
    if (*Living)
      Announced = Write.Status == PlatformStatus::Done;
  });
}

auto ControlPlane::refreshPeers() -> void {
  if (!Announced && !Leaving)
    announce(InstanceState::Live);
  Platform.instances([this, Living = Alive](const PlatformInstances &Listed) {
    if (*Living)
      connectPeers(Listed);
  });
  const bool Settled = Announced && !Links->peers().empty();
  PeerTimer.expires_after(Settled ? PeerRefreshInterval : PeerSearchInterval);
  PeerTimer.async_wait(
      [this, Living = Alive](boost::system::error_code Cancelled) {
        if (!Cancelled && *Living)
          refreshPeers();
      });
}

auto ControlPlane::connectPeers(const PlatformInstances &Listed) -> void {
  if (Listed.Status != PlatformStatus::Done)
    return;
  std::set<Endpoint> Addresses;
  for (const auto &[Instance, Peer] : Settings.Peers)
    if (const auto Address = parseEndpoint(Peer.LinkAddress))
      Addresses.insert(*Address);
  for (const ListedInstance &Instance : Listed.Instances)
    if (const auto Address = parseEndpoint(Instance.Address))
      Addresses.insert(*Address);
  Links->setAddresses(Addresses);
}

auto ControlPlane::scheduleTick() -> void {
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait(
      [this, Living = Alive](boost::system::error_code Cancelled) {
        if (Cancelled || !*Living)
          return;
        tick();
        scheduleTick();
      });
}

auto ControlPlane::tick() -> void {
  Feed->setWatcher(Ownership->core().term().role() != TermRole::Follower);
  const auto Verdict =
      Feed->guard().evaluate(WorkspaceConfig().StalenessLimit, steadyNow());
  if (std::exchange(LastVerdict, Verdict) != Verdict && config())
    Callbacks.OnChanged();
  Shares->setGiver(giver());
  Shares->tick();
}

auto ControlPlane::giver() const -> ShareExchange::Giver {
  const TimePoint Now = steadyNow();
  const TermKeeper &Term = Ownership->core().term();
  ShareExchange::Giver Giver;
  Giver.Process = Term.record().Leader;
  Giver.Term = Term.record().Term;
  if (Term.role() != TermRole::Leader)
    return Giver;
  // Only the platform can replace this leader and its deputy together, so it
  // gives shares while it reaches the platform, or while nobody does.
  const bool Certain =
      Feed->reachesPlatform() || LastVerdict == StalenessVerdict::Outage;
  Giver.Authority =
      Certain ? std::min(Term.moveAuthorityEnd(), Now + GiverAuthority)
              : TimePoint();
  if (!Term.record().Unsettled.empty())
    Giver.EarlierSilentAt = Now + GiverAuthority + PlatformAnswerMargin;
  return Giver;
}

} // namespace buckthornring
