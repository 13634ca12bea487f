#include "Gateway/FleetMember.h"

#include "Gateway/ObjectEra.h"
#include "IO/BootClock.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

/// A grant lasts 3 s and is renewed every second, so a lost leader has to be
/// replaced within 2 s. LeaderTimeout covers three missed replies and leaves
/// time for the claim.
constexpr Duration ReportInterval = std::chrono::milliseconds(400);
constexpr Duration LeaderTimeout = std::chrono::milliseconds(1300);
/// Timeout for a leader that has never replied to this process. It is shorter
/// since such a leader was probably lost before the process started.
constexpr Duration FirstReplyTimeout = std::chrono::milliseconds(900);

/// Least interval of reports on announcements of owners; the next regular
/// report names those that come sooner.
constexpr Duration MinReportInterval = std::chrono::milliseconds(100);

/// Upper bound of the random delay of a claim, so that one instance claims
/// first and the others see its claim.
constexpr Duration MaxClaimStagger = std::chrono::milliseconds(300);

/// Further delay of the claim of an instance with little capacity compared with
/// the largest one, so that the largest instances claim first. Longer than
/// ReportInterval and MaxClaimStagger, by which the claims of instances differ
/// anyway.
constexpr Duration MaxCapacityDelay = std::chrono::milliseconds(750);
/// Capacity of the largest instance that is assumed before a leader has
/// reported it.
constexpr double AssumedCapacity = 0.5;

/// A leader hands over to an instance whose capacity exceeds its own by this
/// factor, but not before all instances have had time to report to it.
constexpr double HandoverFactor = 1.9;
constexpr Duration MinTimeBeforeHandover = std::chrono::seconds(2);

/// Time left to a larger instance to claim before this one may claim again.
constexpr Duration HandoverPausePeriod = std::chrono::milliseconds(1500);

/// A leader that has had no contact with the store for this long is replaced.
constexpr Duration StoreLossTimeout = std::chrono::milliseconds(800);

/// Least interval of reads that confirm the contact with the store before a
/// claim. A read fails within this time.
constexpr Duration ContactCheckInterval = std::chrono::milliseconds(1600);

/// A leader that is replaced within ShortLeadershipLimit of its claim does not
/// reach what the others reach, so it makes no claim for ClaimPausePeriod.
constexpr Duration ShortLeadershipLimit = std::chrono::seconds(10);
constexpr Duration ClaimPausePeriod = std::chrono::seconds(8);

/// Time after a restoration of the store in which its leader claims again
/// before others do. It covers the leader's back-off between calls to a store
/// that does not answer.
constexpr Duration RestoredClaimDelay = std::chrono::seconds(3);

/// Time by which a change that another instance has seen should arrive from the
/// store.
constexpr Duration BehindTimeout = std::chrono::milliseconds(400);

/// Unanswered requests in a row after which the rate keeper is not asked for
/// RateKeeperDistrustPeriod; the leader names another one after 1.3 s.
constexpr std::uint32_t MaxRateTimeouts = 2;
constexpr Duration RateKeeperDistrustPeriod = std::chrono::milliseconds(1500);

/// Interval over which target loads are batched into one notice. Targets change
/// their speed and queue several times a second.
constexpr Duration LoadNoticeInterval = std::chrono::milliseconds(40);

/// Number of neighbours that get a notice. An instance sends at most 75 notices
/// per second with it, in a fleet of any size.
constexpr std::size_t LoadNoticeNeighbours = 2;
/// Notices to other data centres per LoadNoticeInterval, of all instances of a
/// data centre together. Traffic between data centres is charged by the byte:
/// one such notice for every second one of each instance was two thirds of it
/// in a fleet of 59.
constexpr double ContactNoticesOfDataCentre = 0.25;

/// Maximum number of keys per service in one report. A report is a datagram and
/// has to fit into one packet.
constexpr std::size_t MaxReportedKeys = 150;

/// Maximum number of owners whose announcements are in one report. Owners whose
/// keys have been moved make room for others.
constexpr std::size_t MaxReportedNotices = 16;

/// Failing owners in one report. More of them fail together only if their
/// service does, and then no keys are moved.
constexpr std::size_t MaxReportedFailures = 32;

auto leaderToJson(const LeaderInfo &Leader, std::uint64_t Era,
                  const EarlierLeaders &Earlier) -> Json {
  Json Listed = Json::array();
  for (const LeaderInfo &Each : Earlier.Leaders)
    Listed.push_back(
        {Each.Instance.str(), Each.Process, Each.Address, Each.Term});
  return {{"instance", Leader.Instance.str()},
          {"process", Leader.Process},
          {"address", Leader.Address},
          {"era", Era},
          {"earlier", std::move(Listed)},
          {"earlier_complete", !Earlier.MayBeMore}};
}

/// Returns no leaders when the object lists none, as those of earlier versions
/// of the router, or is malformed.
auto parseEarlier(const StoredObject &Object) -> EarlierLeaders {
  try {
    EarlierLeaders Out;
    for (const Json &Each : Object.Value.at("earlier"))
      Out.Leaders.push_back({InstanceId(Each.at(0).get<std::string>()),
                             Each.at(1).get<std::string>(),
                             Each.at(2).get<std::string>(),
                             Each.at(3).get<std::uint64_t>()});
    Out.MayBeMore = !Object.Value.at("earlier_complete").get<bool>();
    return Out;
  } catch (const Json::exception &) {
    return {};
  }
}

auto parseLeader(const StoredObject &Object) -> Result<LeaderInfo> {
  try {
    return LeaderInfo{
        InstanceId(Object.Value.at("instance").get<std::string>()),
        Object.Value.at("process").get<std::string>(),
        Object.Value.at("address").get<std::string>(), Object.Revision};
  } catch (const Json::exception &Failure) {
    return Error(Failure.what());
  }
}

/// Returns \p Count random entries, or all of them.
auto sampled(std::vector<std::string> Addresses, std::size_t Count,
             RandomSource &Random) -> std::vector<std::string> {
  Count = std::min(Count, Addresses.size());
  for (std::size_t Index = 0; Index < Count; ++Index)
    std::swap(Addresses[Index],
              Addresses[Index + Random.below(Addresses.size() - Index)]);
  Addresses.resize(Count);
  return Addresses;
}

} // namespace

auto FleetMember::leaderObjectParts() -> JsonParts {
  // Far more than the earlier leaders that are listed have.
  constexpr std::size_t MaxValues = 200;
  return {.Members = {"instance", "process", "address", "era", "earlier",
                      "earlier_complete"},
          .Depth = 3,
          .Values = MaxValues,
          .StringBytes = ObjectSchema::MaxStringBytes};
}

FleetMember::FleetMember(boost::asio::io_context &Io, FleetContext Context,
                         std::uint64_t Seed)
    : Context(std::move(Context)),
      RateClient(
          Io, this->Context.Requests.Rates,
          [this](const RateReserveRequest &Request) {
            return sendRateRequest(Request);
          },
          [this] { onRateTimeout(); }),
      Lag(BehindTimeout), ReportTimer(Io), ClaimTimer(Io), LoadTimer(Io),
      SuspectTimer(Io), Suspects(makeSuspectExchange()), Random(Seed),
      Terms(RangeTimes()) {
  this->Context.Requests.Suspects.setChangeHandler(
      [this](CrashSuspects::Change Kind) { Suspects.onChanged(Kind); });
}

auto FleetMember::makeSuspectExchange() -> SuspectExchange {
  return SuspectExchange(
      {Context.Requests.Suspects, Context.Requests.Events,
       [this](const std::vector<std::string> &To, const SuspectNotice &Notice) {
         Context.Peers.sendAll(To, Notice);
       },
       [this] { return Context.LocalLeader.leading(); },
       [this] { return neighboursAndLeader(); },
       [this](const DataCentreId &DataCentre) {
         return Context.LocalLeader.membersOutside(DataCentre);
       },
       [this](const std::string &Address) {
         return Context.LocalLeader.dataCentreOf(Address);
       },
       [this](Duration Delay) {
         SuspectTimer.expires_after(Delay);
         SuspectTimer.async_wait(
             [this](const boost::system::error_code &Cancelled) {
               if (!Cancelled)
                 Suspects.flush(bootNow());
             });
       }});
}

auto FleetMember::neighboursAndLeader() const -> std::vector<std::string> {
  std::vector<std::string> Addresses = Neighbours;
  if (CurrentLeader.Term != 0 &&
      std::find(Addresses.begin(), Addresses.end(), CurrentLeader.Address) ==
          Addresses.end())
    Addresses.push_back(CurrentLeader.Address);
  return Addresses;
}

auto FleetMember::scheduleReport() -> void {
  ReportTimer.expires_after(ReportInterval);
  ReportTimer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (Cancelled)
      return;
    sendReport();
    considerClaim(bootNow());
    scheduleReport();
  });
}

auto FleetMember::composeReport(TimePoint Now) -> FleetReport {
  FleetReport Report;
  Report.Instance = Context.Self.Instance;
  Report.Process = Context.Self.Process;
  Report.DataCentre = Context.DataCentre;
  Report.Leader = CurrentLeader;
  Report.StoreReachable = Context.StoreReachable();
  Report.Leaving = Leaving;
  Report.KnownNeighboursVersion = NeighboursVersion;
  Report.Seen = Context.NewestSeen();
  // An instance that makes no claims must not be offered the leadership.
  Report.Capacity = Now < NoClaimBefore ? 0 : Context.Capacity;
  const Duration Span =
      LastReportAt == LongAgo ? ReportInterval : Now - LastReportAt;
  Report.CountPeriodMs = static_cast<std::uint32_t>(Span.count() / 1000);
  LastReportAt = Now;
  Report.Demand = Context.Requests.Rates.takeDemand();
  if (!RateKeeper.empty())
    Report.Demand.clear(); // Included in that of the rate keeper.
  addOwnerOutcomes(Report);
  for (auto &[Id, Keys] : Context.Requests.RequestedKeys) {
    if (Keys.size() > MaxReportedKeys)
      Keys.resize(MaxReportedKeys);
    if (!Keys.empty())
      Report.Keys[Id] = std::exchange(Keys, {});
  }
  Report.OwnerNotices = ownerNotices(Now);
  if (Context.Requests.Rollouts)
    Report.Rollouts = Context.Requests.Rollouts->reports(Now);
  Suspects.addTo(Report, Now);
  return Report;
}

auto FleetMember::addOwnerOutcomes(FleetReport &Report) -> void {
  for (const auto &[Id, Outcomes] :
       std::exchange(Context.Requests.OwnerOutcomes, {})) {
    if (Outcomes.Failures > 0 &&
        Report.OwnerFailures.size() < MaxReportedFailures)
      Report.OwnerFailures[Id] = Outcomes;
    const TargetPtr Target = Context.Requests.Targets.find(Id);
    if (!Target || Outcomes.Successes == 0)
      continue;
    if (const auto Work = Target->Load.averageProcessingTime())
      Report.ProcessingTimeMs[Id] =
          static_cast<std::uint32_t>(Work->count() / 1000);
  }
}

auto FleetMember::ownerNotices(TimePoint Now) const
    -> std::map<TargetId, OwnerNotice> {
  std::map<TargetId, OwnerNotice> Out;
  for (const auto &[Service, View] : Context.Requests.Ranges)
    for (const TargetPtr &Target :
         Context.Requests.Targets.announcing(Service, Now)) {
      if (Out.size() >= MaxReportedNotices)
        break;
      if (!View.Record.isOwner(Target->Record.Id))
        continue;
      const Duration Rest =
          std::max(Duration(0), Target->Announced->pausedUntil() - Now);
      Out[Target->Record.Id] = {
          Target->Record.StartedAtMs, Target->Announced->leaving(),
          static_cast<std::uint32_t>(Rest.count() / 1000)};
    }
  return Out;
}

auto FleetMember::onAnnounced(const TargetRecord &Target) -> void {
  // The leader plans with its own announcements.
  if (Context.Requests.Ranges.contains(Target.Service) &&
      !Context.LocalLeader.leading() &&
      bootNow() - LastReportAt >= MinReportInterval)
    sendReport();
}

auto FleetMember::sendReport() -> void {
  const TimePoint Now = bootNow();
  if (Context.LocalLeader.leading()) {
    applyReply(Context.LocalLeader.handleReport(composeReport(Now), "",
                                                Context.StoreReachable()));
    return considerHandover(Now);
  }
  if (CurrentLeader.Term != 0)
    Context.Peers.send(CurrentLeader.Address, composeReport(Now));
}

auto FleetMember::received(const FleetMessage &Message, const std::string &From)
    -> void {
  if (const auto *Report = std::get_if<FleetReport>(&Message))
    onReport(*Report, From);
  else if (const auto *Reply = std::get_if<FleetReply>(&Message))
    onReply(*Reply);
  else if (const auto *Told = std::get_if<SuspectNotice>(&Message))
    Suspects.receive(*Told, From, bootNow());
  else if (const auto *Notice = std::get_if<GrantNotice>(&Message))
    onGrantNotice(*Notice);
  else if (const auto *Answer = std::get_if<RateReserveReply>(&Message))
    onRateReply(*Answer);
  else if (const auto *Query = std::get_if<AuthorityQuery>(&Message))
    onAuthorityQuery(*Query, From);
  else if (const auto *Ended = std::get_if<AuthorityAnswer>(&Message))
    Context.LocalLeader.onAuthorityAnswer(*Ended);
  else if (const auto *Loads = std::get_if<LoadNotice>(&Message))
    onLoadNotice(*Loads);
  else if (const auto *Request = std::get_if<RateReserveRequest>(&Message))
    onRateRequest(*Request, From);
}

auto FleetMember::scheduleLoadNotice() -> void {
  if (Neighbours.empty() && Contacts.empty())
    return Context.Requests.UnsentLoads.clear();
  if (Context.Requests.UnsentLoads.empty() ||
      std::exchange(LoadTimerArmed, true))
    return;
  LoadTimer.expires_after(LoadNoticeInterval);
  LoadTimer.async_wait([this](const boost::system::error_code &Cancelled) {
    LoadTimerArmed = false;
    if (!Cancelled)
      sendLoadNotice();
  });
}

auto FleetMember::loadNoticeReceivers() -> std::vector<std::string> {
  const bool ToContact =
      !Contacts.empty() &&
      Random.chance(ContactNoticesOfDataCentre /
                    (1 + static_cast<double>(Neighbours.size())));
  // Without other data centres, neighbours take the place of contacts.
  std::vector<std::string> Receivers = sampled(
      Neighbours,
      Contacts.empty() ? LoadNoticeNeighbours + 1 : LoadNoticeNeighbours,
      Random);
  if (ToContact || Receivers.empty())
    for (std::string &Contact : sampled(Contacts, 1, Random))
      Receivers.push_back(std::move(Contact));
  return Receivers;
}

auto FleetMember::sendLoadNotice() -> void {
  const LoadNotice Notice{Context.Requests.UnsentLoads.take(bootNow())};
  if (!Notice.Loads.empty())
    Context.Peers.sendAll(loadNoticeReceivers(), Notice);
  scheduleLoadNotice();
}

auto FleetMember::onLoadNotice(const LoadNotice &Notice) -> void {
  const TimePoint Now = bootNow();
  for (const auto &[Id, Known] : Notice.Loads) {
    const TargetPtr Target = Context.Requests.Targets.find(Id);
    const TimePoint ReportedAt = Now - Known.Age;
    if (Target && Target->reported(Known.Load, ReportedAt, Now))
      Context.Requests.UnsentLoads.add(Id, Known.Load, ReportedAt);
  }
  scheduleLoadNotice();
  Context.Requests.WaitingRequests.dispatch();
}

auto FleetMember::sendRateRequest(const RateReserveRequest &Request) -> bool {
  if (CurrentLeader.Term == 0)
    return false;
  if (Context.LocalLeader.leading())
    RateClient.onRateReply(Context.LocalLeader.grantRate(
        Request, Context.Requests.CurrentConfig->Config));
  else if (!RateKeeper.empty() && bootNow() >= RateKeeperDistrustedUntil)
    Context.Peers.send(RateKeeper, Request);
  else
    Context.Peers.send(CurrentLeader.Address, Request);
  return true;
}

auto FleetMember::onRateReply(const RateReserveReply &Reply) -> void {
  RateTimeouts = 0;
  RateClient.onRateReply(Reply);
}

auto FleetMember::onRateTimeout() -> void {
  if (RateKeeper.empty() || ++RateTimeouts < MaxRateTimeouts)
    return;
  RateTimeouts = 0;
  RateKeeperDistrustedUntil = bootNow() + RateKeeperDistrustPeriod;
}

auto FleetMember::onRateRequest(const RateReserveRequest &Request,
                                const std::string &From) -> void {
  if (!Context.Requests.CurrentConfig)
    return;
  const TimePoint Now = bootNow();
  RateReserveReply Reply{Request.Workspace, 0, Request.Number};
  while (Reply.Granted < Request.Wanted &&
         Context.Requests.Rates.admit(Request.Workspace, Now))
    ++Reply.Granted;
  if (Reply.Granted == 0 && Context.LocalLeader.leading())
    Reply = Context.LocalLeader.grantRate(
        Request, Context.Requests.CurrentConfig->Config);
  if (Reply.Granted > 0 || Context.LocalLeader.leading())
    return Context.Peers.send(From, Reply);
  RateClient.ask(Request.Workspace, [this, Reply, From](bool Granted) mutable {
    Reply.Granted = Granted ? 1 : 0;
    Context.Peers.send(From, Reply);
  });
}

auto FleetMember::onAuthorityQuery(const AuthorityQuery &Query,
                                   const std::string &From) -> void {
  // Ends an earlier leadership of this process before it answers.
  if (Query.Leader.Term > CurrentLeader.Term)
    followLeader(Query.Leader);
  const AuthorityAnswer Answer =
      Context.LocalLeader.answer(Query, Context.Self.Process);
  if (Answer.Ended)
    EndedThrough = std::max(EndedThrough, Answer.Term);
  Context.Peers.send(From, Answer);
}

auto FleetMember::onReport(const FleetReport &Report, const std::string &From)
    -> void {
  // The sender may know of a newer leader than this instance, which may be cut
  // off from the store.
  if (Report.Leader.Term > CurrentLeader.Term)
    followLeader(Report.Leader);
  if (!Context.LocalLeader.leading())
    return;
  checkBehind(Report.Seen, From);
  FleetReply Reply =
      Context.LocalLeader.handleReport(Report, From, Context.StoreReachable());
  Suspects.answer(Report, From, Reply, bootNow());
  Context.Peers.send(From, Reply);
}

auto FleetMember::onReply(const FleetReply &Reply) -> void {
  if (Reply.Leader.Term < CurrentLeader.Term)
    return;
  if (Reply.Leader.Term > CurrentLeader.Term)
    followLeader(Reply.Leader);
  if (Context.LocalLeader.leading())
    return;
  const TimePoint Now = bootNow();
  LastReplyAt = Now;
  LeaderReplied = true;
  if (Reply.Resigned) {
    LeaderResigned = true;
    return considerClaim(Now);
  }
  if (Reply.StoreReachable)
    LeaderLostStoreAt = LongAgo;
  else if (LeaderLostStoreAt == LongAgo)
    LeaderLostStoreAt = Now;
  applyReply(Reply);
  Suspects.onReply(Reply, CurrentLeader.Address, Now);
  checkBehind(Reply.Seen, Reply.SeenByAddress);
}

auto FleetMember::applyReply(const FleetReply &Reply) -> void {
  if (Context.Requests.Rollouts)
    Context.Requests.Rollouts->setNotices(Reply.Rollouts, bootNow());
  // A new leader has not heard from all instances yet.
  NewestConfigurationSeen =
      std::max(NewestConfigurationSeen, Reply.Seen.Configuration);
  if (Reply.NeighboursVersion != NeighboursVersion) {
    NeighboursVersion = Reply.NeighboursVersion;
    Neighbours = Reply.Neighbours;
    Contacts = Reply.Contacts;
  }
  LargestCapacity = Reply.LargestCapacity;
  // A new leader does not know yet whether a data centre needs a relay.
  if (Reply.SharesValid || !Reply.Relay.empty())
    Context.UseRelay(Reply.Relay, Reply.BackupRelay);
  if (!Reply.SharesValid)
    return;
  RateKeeper = Reply.RateKeeper;
  Context.Requests.Targets.setFleetSize(
      {Reply.Instances, Reply.InstancesInDataCentre}, bootNow());
  Context.Requests.RecentInstances.set(Reply.Instances, bootNow());
  Context.Requests.Rates.setShares(Reply.WorkspaceShares, Reply.DefaultShare,
                                   Reply.RateHolders, bootNow());
}

auto FleetMember::onGrantNotice(const GrantNotice &Notice) -> void {
  for (const auto &[Id, Fences] : Notice.Fences) {
    const auto View = Context.Requests.Ranges.find(Id);
    if (View == Context.Requests.Ranges.end())
      continue;
    for (const std::uint64_t Fence : Fences)
      View->second.MovingSince.erase(Fence);
  }
  Context.Requests.WaitingRequests.dispatch();
}

auto FleetMember::checkBehind(const SeenRevisions &Others,
                              const std::string &From) -> void {
  if (From.empty())
    return;
  if (const auto Missing = Lag.update(Others, Context.HasSeen, bootNow()))
    Context.OnBehind(*Missing, From);
}

auto FleetMember::onLeaderObjectChanged(const StoredObject *Object) -> void {
  if (!Object || Object->Deleted) {
    // A copy that lacks the leader's claim does not end its leadership.
    if (Object && (Object->Revision < CurrentLeader.Term ||
                   eraOf(Object->Revision) != eraOf(CurrentLeader.Term)))
      return;
    if (Context.LocalLeader.leading())
      Context.LocalLeader.stop();
    CurrentLeader = LeaderInfo();
    return;
  }
  auto Parsed = parseLeader(*Object);
  if (!Parsed) {
    Context.Requests.Events.write(EventLine("leader-unreadable")
                                      .field("reason", Parsed.error().message())
                                      .field("revision", Object->Revision));
    return;
  }
  if (fromEarlierEra(*Object))
    return onVoidLeaderObject(*Object, *Parsed);
  if (Parsed->Term > CurrentLeader.Term)
    followLeader(std::move(Parsed).value());
}

auto FleetMember::onVoidLeaderObject(const StoredObject &Object,
                                     const LeaderInfo &Claimant) -> void {
  if (Object.Revision <= VoidLeaderRevision)
    return;
  VoidLeaderRevision = Object.Revision;
  // A process that has just started learns from it of the restoration.
  if (CurrentLeader.Term == 0 && RestoredAt == LongAgo)
    RestoredAt = bootNow();
  Context.Requests.Events.write(
      EventLine("leader-void")
          .field("leader", Claimant.Instance.str())
          .field("written_in_era", writtenInEra(Object))
          .field("era", eraOf(Object.Revision))
          .field("revision", Object.Revision)
          .field("reason", "written before the store was restored"));
}

auto FleetMember::onRouterObjectsRead() -> void {
  const std::uint64_t Era = storeEra();
  const bool Rose = std::exchange(EraKnown, true) && Era > KnownEra;
  KnownEra = Era;
  const TimePoint Now = bootNow();
  if (Rose)
    RestoredAt = Now;
  if (Context.LocalLeader.leading() || (ClaimAt != LongAgo && Now >= ClaimAt))
    considerClaim(Now);
}

auto FleetMember::claimLost() const -> bool {
  return eraOf(CurrentLeader.Term) < storeEra() ||
         VoidLeaderRevision > CurrentLeader.Term;
}

auto FleetMember::leaderMayClaimAgain(TimePoint Now) const -> bool {
  return RestoredAt != LongAgo && Now - RestoredAt < RestoredClaimDelay &&
         eraOf(CurrentLeader.Term) < storeEra();
}

auto FleetMember::mayLackRecords() const -> bool {
  const bool RestoredBeforeTheStart = storeEra() > 0 && !Context.FirstStart;
  return RestoredAt != LongAgo || RestoredBeforeTheStart;
}

auto FleetMember::claimCondition() const -> std::uint64_t {
  const auto &Objects = Context.RouterObjectsFeed.objects();
  const auto Found = Objects.find(LeaderObjectName);
  const std::uint64_t Recorded =
      Found == Objects.end() ? 0 : Found->second.Revision;
  // Another instance may have told of a later leader than this one has read.
  return eraOf(CurrentLeader.Term) == storeEra()
             ? std::max(Recorded, CurrentLeader.Term)
             : Recorded;
}

auto FleetMember::followLeader(LeaderInfo Next) -> void {
  const TimePoint Now = bootNow();
  const LeaderInfo Previous = std::exchange(CurrentLeader, std::move(Next));
  Terms.seen(CurrentLeader.Term, Now);
  LastReplyAt = Now;
  ClaimAt = LongAgo;
  LeaderLostStoreAt = LongAgo;
  LeaderReplied = false;
  LeaderResigned = false;
  Suspects.onLeaderChanged();
  const bool SelfLeads = CurrentLeader.Process == Context.Self.Process;
  Context.Requests.Events.write(
      EventLine("leader-changed")
          .field("leader", CurrentLeader.Instance.str())
          .field("term", CurrentLeader.Term)
          .field("self", SelfLeads));
  if (SelfLeads && !Leaving && CurrentLeader.Term > EndedThrough) {
    if (Context.LocalLeader.leading())
      Context.LocalLeader.continueAs(CurrentLeader, ClaimedAt);
    else
      Context.LocalLeader.start(CurrentLeader, ClaimedAt, mayLackRecords(),
                                BeforeClaim);
    return Context.OnLeadershipTaken();
  }
  considerClaim(Now);
  if (Context.LocalLeader.leading()) {
    if (Now - ClaimedAt < ShortLeadershipLimit)
      NoClaimBefore = Now + ClaimPausePeriod;
    Context.LocalLeader.stop();
  }
  // A new process learns from the reply through which relay it reads the store.
  if (Previous.Term == 0)
    sendReport();
  // The previous leader may be cut off from the store.
  if (!Previous.Address.empty() && Previous.Address != Context.Self.Address)
    Context.Peers.send(Previous.Address, composeReport(Now));
}

auto FleetMember::considerClaim(TimePoint Now) -> void {
  if (Leaving || Claiming || !Context.RouterObjectsFeed.loaded())
    return;
  if (Context.LocalLeader.leading()) {
    if (claimLost() && Context.StoreReachable())
      claimLeadership();
    return;
  }
  if (!Context.StoreReachable()) {
    // A failure that cuts an instance off from the store may also cut it off
    // from the leader, so the leader's silence is counted from the return of
    // contact.
    LastReplyAt = Now;
    ClaimAt = LongAgo;
    return;
  }
  if (Now < NoClaimBefore)
    return;
  // An earlier process of this instance was the leader, so there is none now.
  const bool LedByEarlierProcess =
      CurrentLeader.Instance == Context.Self.Instance;
  const bool LeaderSilent =
      Now - LastReplyAt > (LeaderReplied ? LeaderTimeout : FirstReplyTimeout);
  const bool LeaderAbsent =
      LeaderResigned || LedByEarlierProcess || LeaderSilent;
  const bool LeaderLostStore = LeaderLostStoreAt != LongAgo &&
                               Now - LeaderLostStoreAt > StoreLossTimeout;
  if (CurrentLeader.Term != 0 && !LeaderAbsent && !LeaderLostStore) {
    ClaimAt = LongAgo;
    return;
  }
  if (leaderMayClaimAgain(Now) && !LeaderResigned && !LedByEarlierProcess) {
    ClaimAt = LongAgo;
    return;
  }
  const bool Confirmed = confirmContact(Now, LeaderLostStore ? LeaderLostStoreAt
                                             : LeaderSilent  ? LastReplyAt
                                                             : LongAgo);
  if (ClaimAt == LongAgo) {
    const Duration Stagger = claimDelay();
    ClaimAt = Now + Stagger;
    // This instance knows for certain that there is no leader, so it claims
    // without delay.
    if (LedByEarlierProcess && Confirmed)
      return claimLeadership();
    ClaimTimer.expires_after(Stagger);
    ClaimTimer.async_wait([this](const boost::system::error_code &Cancelled) {
      if (!Cancelled)
        considerClaim(bootNow());
    });
    return;
  }
  if (Now >= ClaimAt && Confirmed)
    claimLeadership();
}

auto FleetMember::confirmContact(TimePoint Now, TimePoint LeaderLostAt)
    -> bool {
  if (Context.RouterObjectsFeed.confirmedAt() >=
      std::max(LeaderLostAt, UnansweredClaimAt))
    return true;
  if (Now - ContactCheckedAt >= ContactCheckInterval) {
    ContactCheckedAt = Now;
    Context.CheckStoreContact();
  }
  return false;
}

auto FleetMember::considerHandover(TimePoint Now) -> void {
  if (Now - ClaimedAt < MinTimeBeforeHandover ||
      LargestCapacity < HandoverFactor * Context.Capacity)
    return;
  Context.Requests.Events.write(EventLine("lead-handed-over")
                                    .field("own_capacity", Context.Capacity)
                                    .field("largest", LargestCapacity));
  NoClaimBefore = Now + HandoverPausePeriod;
  Context.LocalLeader.resign();
}

auto FleetMember::claimDelay() -> Duration {
  const double Largest = LargestCapacity > 0
                             ? LargestCapacity
                             : std::max(AssumedCapacity, Context.Capacity);
  const double CapacityShortfall =
      1 - std::min(1.0, Context.Capacity / Largest);
  return std::chrono::duration_cast<Duration>(
      MaxClaimStagger * Random.unit() + MaxCapacityDelay * CapacityShortfall);
}

auto FleetMember::leadersBefore(std::uint64_t Condition) -> EarlierLeaders {
  const auto &Objects = Context.RouterObjectsFeed.objects();
  const auto Size = Objects.find(Leader::FleetSizeObjectName);
  const std::uint64_t Ended =
      Size == Objects.end() ? 0 : Leader::readEndedBefore(Size->second);
  // A later term than that of the last leader cannot be right.
  if (Ended <= Condition)
    Terms.recordedEnd(Ended);
  const auto Found = Objects.find(LeaderObjectName);
  if (Condition == 0)
    return {{}, !Context.FirstStart || !Terms.empty() || RestoredAt != LongAgo};
  const TimePoint Now = bootNow();
  if (Found != Objects.end() && Found->second.Revision == Condition &&
      !fromEarlierEra(Found->second))
    if (auto Replaced = parseLeader(Found->second))
      return Terms.leadersBefore(*Replaced, parseEarlier(Found->second), Now);
  if (Condition == CurrentLeader.Term)
    return Terms.leadersBefore(CurrentLeader, {}, Now);
  return {};
}

auto FleetMember::claimLeadership() -> void {
  Claiming = true;
  ClaimedAt = bootNow();
  ClaimAt = LongAgo;
  const std::uint64_t Condition = claimCondition();
  BeforeClaim = leadersBefore(Condition);
  const char *Reason =
      Context.LocalLeader.leading() ? "own claim lost" : "no leader";
  Context.Store.write(
      Context.Requests.Protocol.Kinds.Own, LeaderObjectName, Condition,
      leaderToJson(Context.Self, storeEra(), BeforeClaim),
      [this, Condition, Reason](const StoreWriteResult &Answer) {
        Claiming = false;
        const bool Answered = Answer.Status != StoreStatus::Unknown &&
                              Answer.Status != StoreStatus::Unreachable;
        UnansweredClaimAt = Answered ? LongAgo : ClaimedAt;
        Context.Requests.Events.write(
            EventLine("lead-claimed")
                .field("reason", Reason)
                .field("condition", Condition)
                .field("status", StoreStatusNames.name(Answer.Status))
                .field("revision",
                       Answer.Object ? Answer.Object->Revision : 0));
        if (Answer.Object)
          onLeaderObjectChanged(&*Answer.Object);
      });
}

auto FleetMember::leave() -> void {
  Leaving = true;
  if (!Context.LocalLeader.leading())
    return sendReport();
  Context.LocalLeader.resign();
}

} // namespace buckthornring
