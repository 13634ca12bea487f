#include "Entry/ConfigFeed.h"

#include "IO/SteadyTime.h"
#include "buckthornring/Config/ConfigChecker.h"
#include "buckthornring/Config/ConfigRecord.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

// A watch that ends each second confirms that the configuration is current
// well inside the staleness limit of 5 s.
constexpr Duration WatchWait = std::chrono::seconds(1);
constexpr Duration TickInterval = std::chrono::milliseconds(500);
// Age of a confirmation by a watcher after which an instance watches by
// itself. A confirmation is up to 1 s (watch) and two ticks old on arrival; the
// staleness limit is 5 s.
constexpr Duration PeerConfirmationLifetime = std::chrono::seconds(4);
// A platform that has not answered for this long counts as unreachable. It
// covers the wait of one watch.
constexpr Duration PlatformAnswerLifetime = std::chrono::seconds(3);
// Four reports; a lost one must not look like a lost data centre.
constexpr Duration ReportLifetime = std::chrono::seconds(2);
constexpr Duration PeerClockLifetime = std::chrono::seconds(10);

} // namespace

auto ConfigFeed::create(boost::asio::io_context &Context,
                        PlatformClient &Platform, PeerLinks &Links,
                        Options Settings) -> std::unique_ptr<ConfigFeed> {
  std::unique_ptr<ConfigFeed> Feed(
      new ConfigFeed(Context, Platform, Links, std::move(Settings)));
  Feed->watch();
  Feed->scheduleTick();
  return Feed;
}

ConfigFeed::ConfigFeed(boost::asio::io_context &Context,
                       PlatformClient &Platform, PeerLinks &Links,
                       Options Settings)
    : Platform(Platform), Links(Links), Settings(std::move(Settings)),
      Guard(this->Settings.Self.DataCentre, ReportLifetime),
      TickTimer(Context) {}

ConfigFeed::~ConfigFeed() { *Alive = false; }

auto ConfigFeed::receive(const PeerIdentity &From, const LinkMessage &Message)
    -> bool {
  if (const auto *Offer = std::get_if<ConfigOffer>(&Message)) {
    receiveOffer(From, *Offer);
    return true;
  }
  if (const auto *Report = std::get_if<PlatformReachability>(&Message)) {
    const TimePoint Now = steadyNow();
    PeerClocks[From.Process] = {Report->ClockUs, Now};
    if (Report->Watched)
      Guard.recordPeerReport(From.Process, From.DataCentre, Report->Reachable,
                             Now);
    return true;
  }
  return false;
}

auto ConfigFeed::reachesPlatform() const -> bool {
  return LastAnswer != TimePoint::min() &&
         steadyNow() - LastAnswer < PlatformAnswerLifetime;
}

auto ConfigFeed::scheduleTick() -> void {
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait(
      [this, Living = Alive](boost::system::error_code Cancelled) {
        if (Cancelled || !*Living)
          return;
        reportReachability();
        // Without content, to confirm the generation in force.
        if (IsWatcher)
          offerToAll(false);
        if (needsWatch())
          watch();
        scheduleTick();
      });
}

auto ConfigFeed::needsWatch() const -> bool {
  const bool Unconfirmed =
      ConfirmedByPeer == TimePoint::min() ||
      steadyNow() - ConfirmedByPeer > PeerConfirmationLifetime;
  return !Watching && (IsWatcher || Unconfirmed);
}

auto ConfigFeed::watch() -> void {
  Watching = true;
  Platform.watch(std::string(ConfigRecord::ObjectName), Revision, WatchWait,
                 [this, Living = Alive,
                  AskedAt = steadyNow()](const PlatformChanges &Changes) {
                   if (*Living)
                     gotChanges(Changes, AskedAt);
                 });
}

auto ConfigFeed::gotChanges(const PlatformChanges &Changes, TimePoint AskedAt)
    -> void {
  Watching = false;
  // After a failure the next tick watches again.
  if (Changes.Status != PlatformStatus::Done)
    return;
  LastAnswer = steadyNow();
  bool Newer = false;
  for (const PlatformObject &Object : Changes.Objects)
    if (Object.Name == ConfigRecord::ObjectName && Object.Value)
      Newer = accept(*Object.Value, ConfigSource::Platform) || Newer;
  Revision = Changes.Revision;
  Guard.recordConfirmation(AskedAt);
  if (Newer)
    offerToAll(true);
  if (needsWatch())
    watch();
}

auto ConfigFeed::accept(const std::string &Offered, ConfigSource Source)
    -> bool {
  auto Record = ConfigRecord::parse(Offered);
  if (!Record || Record->generation() <= Store.generation())
    return false;
  auto Checked = ConfigChecker::check(Record->content(), Record->generation());
  if (!Checked)
    return false;
  auto Accepted =
      std::make_shared<const Configuration>(*std::move(Checked.Value));
  if (Store.offer(Accepted, Record->digest(), Source) !=
      ConfigOfferResult::Accepted)
    return false;
  Text = Offered;
  std::vector<DataCentreId> DataCentres;
  // A data centre that is confirmed lost will never report again.
  for (const auto &[Id, DataCentre] : Accepted->DataCentres)
    if (!DataCentre.ConfirmedLost)
      DataCentres.push_back(Id);
  Guard.setDataCentres(std::move(DataCentres));
  Settings.OnAccepted();
  return true;
}

auto ConfigFeed::receiveOffer(const PeerIdentity &From,
                              const ConfigOffer &Offer) -> void {
  if (Offer.Generation < Store.generation())
    return offerTo(From.Process, true);
  if (Offer.Generation > Store.generation()) {
    // Asks for the content; the sender answers an older offer with it.
    if (Offer.Content.empty())
      return offerTo(From.Process, false);
    if (accept(Offer.Content, ConfigSource::Peer))
      offerToAll(true);
  }
  if (Offer.Generation != Store.generation() || Offer.ConfirmationAgeUs < 0 ||
      Offer.EchoedClockUs < 0)
    return;
  const TimePoint ConfirmedAt =
      std::min(steadyNow(), TimePoint(Duration(Offer.EchoedClockUs))) -
      Duration(Offer.ConfirmationAgeUs);
  Guard.recordConfirmation(ConfirmedAt);
  if (From.DataCentre == Settings.Self.DataCentre)
    ConfirmedByPeer = std::max(ConfirmedByPeer, ConfirmedAt);
}

auto ConfigFeed::offerTo(const InstanceId &Peer, bool WithContent) -> void {
  ConfigOffer Offer;
  Offer.Generation = Store.generation();
  Offer.Digest = Store.digest();
  if (WithContent)
    Offer.Content = Text;
  const TimePoint Now = steadyNow();
  const Duration Age = Guard.confirmationAge(Now);
  Offer.ConfirmationAgeUs = Age == Duration::max() ? -1 : Age.count();
  const auto Clock = PeerClocks.find(Peer);
  if (Clock != PeerClocks.end())
    Offer.EchoedClockUs = Clock->second.ReadingUs;
  Links.send(Peer, Offer);
}

auto ConfigFeed::offerToAll(bool WithContent) -> void {
  for (const PeerIdentity &Peer : Links.peers())
    offerTo(Peer.Process, WithContent);
}

auto ConfigFeed::reportReachability() -> void {
  const TimePoint Now = steadyNow();
  PlatformReachability Report;
  // Only an instance that watches knows whether the platform answers.
  Report.Watched = IsWatcher || Watching;
  Report.Reachable = reachesPlatform();
  Report.ClockUs = Now.time_since_epoch().count();
  Report.Generation = Store.generation();
  for (const PeerIdentity &Peer : Links.peers())
    Links.send(Peer.Process, Report);
  std::erase_if(PeerClocks, [Now](const auto &Entry) {
    return Now - Entry.second.ReceivedAt > PeerClockLifetime;
  });
}

} // namespace buckthornring
