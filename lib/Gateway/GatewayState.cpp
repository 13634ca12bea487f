// The parts of an instance that follow the store and catch up from other
// instances, and its HTTP endpoint for peers and metrics.

#include "Common/JsonText.h"
#include "Fleet/StoreRevision.h"
#include "Gateway/ClientOptions.h"
#include "Gateway/GatewayImpl.h"
#include "Gateway/JsonResponse.h"
#include "Gateway/ObjectEra.h"
#include "Gateway/ObjectText.h"
#include "Gateway/StatusReport.h"
#include "Gateway/WhereReport.h"
#include "IO/BootClock.h"
#include "buckthornring/Observe/PrometheusText.h"

#include <algorithm>
#include <array>
#include <utility>

namespace buckthornring {

namespace {

/// Time after the end of a store outage within which target records that
/// expired during it may reappear. The platform promises about two seconds.
constexpr Duration RecordReturnPeriod = std::chrono::milliseconds(2000);

/// Upper bounds of the back-off between calls while the store does not answer.
/// Once one feed has contact, the others retry at once. An instance that was
/// cut off has 3 s after the return of contact to learn of targets that left
/// meanwhile, which includes RecordReturnPeriod and one call to an unreachable
/// store.
constexpr Duration MaxTargetBackoff = std::chrono::milliseconds(300);
constexpr Duration MaxOtherBackoff = std::chrono::milliseconds(2400);

/// Time after a call of a reader for which this instance goes on relaying,
/// whether or not the leader has named it. Readers call at least every 0.8 s.
constexpr Duration RelayDemandPeriod = std::chrono::seconds(3);

constexpr Duration PeerCallTimeout = std::chrono::milliseconds(1000);

auto stateOf(const StoreFeed &Feed) -> std::string {
  ObjectListWriter List(ObjectListForm::State);
  for (const auto &[Name, Object] : Feed.objects())
    List.add(Object);
  return "{\"revision\":" + std::to_string(Feed.revision()) +
         ",\"objects\":" + std::move(List).text() + "}";
}

/// Returns an empty text if there is no such member.
auto memberText(std::string_view Object, std::string_view Name)
    -> std::string_view {
  const auto Members = splitObject(Object);
  if (!Members)
    return {};
  const auto Found = std::find_if(
      Members->begin(), Members->end(),
      [Name](const JsonMember &Each) { return Each.Name == Name; });
  return Found == Members->end() ? std::string_view() : Found->Value;
}

auto addHedges(PrometheusText &Text, const HedgePlanner::Counts &Hedges)
    -> void {
  Text.counterFamily("btr_hedges_total", "Hedges by their result");
  Text.sample({{"result", "sent"}}, Hedges.of(HedgeVerdict::Sent));
  Text.sample({{"result", "won"}}, Hedges.Won);
  Text.sample({{"result", "lost"}}, Hedges.Lost);
  Text.counterFamily("btr_hedges_refused_total",
                     "Requests that were not hedged, by reason");
  for (std::size_t Index = 1; Index < HedgeVerdictNames.size(); ++Index) {
    const auto Verdict = static_cast<HedgeVerdict>(Index);
    Text.sample({{"reason", std::string(HedgeVerdictNames.name(Verdict))}},
                Hedges.of(Verdict));
  }
  const auto Seconds = [](Duration Time) {
    return std::chrono::duration<double>(Time).count();
  };
  Text.counterFamily("btr_attempt_seconds_total",
                     "Time of attempts at targets");
  Text.sample({{"kind", "first"}}, Seconds(Hedges.TargetTime));
  Text.sample({{"kind", "hedge"}}, Seconds(Hedges.ExtraTime));
}

} // namespace

auto Gateway::Impl::makeFeed(const std::string &Kind,
                             StoreFeed::Handlers Handlers)
    -> std::unique_ptr<StoreFeed> {
  StoreFeed::Options Options;
  Options.Kind = Kind;
  Options.Seed = std::hash<std::string>()(ProcessName + Kind);
  Options.MaxBackoff =
      Kind == Protocol.Kinds.Targets ? MaxTargetBackoff : MaxOtherBackoff;
  if (Kind == Protocol.Kinds.Settings)
    Options.IsNewer = [this](const StoredObject &Known,
                             const StoredObject *Held) {
      return isNewerConfiguration(Known, Held);
    };
  Handlers.OnContact = [this, Kind](bool Connected, const char *Reason) {
    onStoreContactChanged(Kind, Connected, Reason);
  };
  Handlers.OnAdvanced = [this] { Relay->onFeedAdvanced(); };
  Handlers.OnRestored = [this, Kind](std::uint64_t RevisionBefore,
                                     std::uint64_t RevisionAfter) {
    onStoreRestored(Kind, RevisionBefore, RevisionAfter);
  };
  return std::make_unique<StoreFeed>(Io, *Store, std::move(Options),
                                     std::move(Handlers));
}

auto Gateway::Impl::makeFeeds() -> void {
  using ObjectMap = std::map<std::string, StoredObject>;
  ConfigurationFeed = makeFeed(
      Protocol.Kinds.Settings,
      {[this](const ObjectMap &Objects) {
         for (const auto &[Name, Object] : Objects)
           onConfigurationChanged(Object);
       },
       [this](const StoredObject &Object) { onConfigurationChanged(Object); },
       {}});
  TargetFeed =
      makeFeed(Protocol.Kinds.Targets,
               {[this](const ObjectMap &Objects) { onTargetsListed(Objects); },
                [this](const StoredObject &Object) { onTargetChanged(Object); },
                {}});
  EvacuationFeed =
      makeFeed(Protocol.Kinds.Evacuations,
               {[this](const ObjectMap &Objects) {
                  for (const auto &[Name, Object] : Objects)
                    UnconfirmedEvacuations.erase(DataCentreId(Name));
                  onEvacuationsChanged();
                },
                [this](const StoredObject &Object) {
                  UnconfirmedEvacuations.erase(DataCentreId(Object.Name));
                  onEvacuationsChanged();
                },
                {}});
  RouterObjectsFeed = makeFeed(
      Protocol.Kinds.Own,
      {[this](const ObjectMap &Objects) {
         // A fleet without any object has had no earlier processes.
         if (Objects.empty() && eraOf(RouterObjectsFeed->revision()) == 0)
           Requests.RetrySlackFrom = LongAgo;
         for (const auto &[Name, Object] : Objects)
           onRouterObjectChanged(Object);
         Member->onRouterObjectsRead();
       },
       [this](const StoredObject &Object) { onRouterObjectChanged(Object); },
       {}});
  Relay = std::make_unique<ChangeRelay>(Io, *RouterObjectsFeed);
  Relay->add(Protocol.Kinds.Settings, *ConfigurationFeed);
  Relay->add(Protocol.Kinds.Targets, *TargetFeed);
  Relay->add(Protocol.Kinds.Evacuations, *EvacuationFeed);
  Relay->add(Protocol.Kinds.Own, *RouterObjectsFeed);
  if (RolloutFeed)
    Relay->add(Protocol.Kinds.Rollouts, *RolloutFeed);
}

auto Gateway::Impl::onStoreContactChanged(const std::string &Kind,
                                          bool Connected, const char *Reason)
    -> void {
  Events.write(
      EventLine(Connected ? "store-contact-regained" : "store-contact-lost")
          .field("kind", Kind)
          .field("reason", Reason));
  if (!Connected) {
    Relay->onContactLost();
    return recheckFeeds();
  }
  if (!FeedsStarted)
    return;
  for (StoreFeed *Feed : allFeeds())
    Feed->retry();
}

auto Gateway::Impl::recheckFeeds() -> void {
  if (!FeedsStarted)
    return;
  for (StoreFeed *Feed : allFeeds())
    Feed->recheck();
}

auto Gateway::Impl::onConfigurationChanged(const StoredObject &Object) -> void {
  if (Object.Name != Protocol.Kinds.SettingsName || Object.Deleted)
    return;
  auto Accepted = Protocol.Kinds.ReadConfiguration(Object.Value);
  if (!Accepted) {
    Events.write(EventLine("configuration-rejected")
                     .field("reason", Accepted.error().message())
                     .field("revision", Object.Revision));
    return;
  }
  const std::uint64_t InForce =
      Requests.CurrentConfig ? Requests.CurrentConfig->Config.Generation : 0;
  if (Accepted->Generation <= InForce)
    return;
  applyConfiguration(std::move(Accepted).value());
}

auto Gateway::Impl::isNewerConfiguration(const StoredObject &Known,
                                         const StoredObject *Held) const
    -> bool {
  if (Known.Name != Protocol.Kinds.SettingsName || !Requests.CurrentConfig)
    return false;
  // One that was rejected gives way to whatever the store holds.
  const auto Generation = Protocol.Kinds.ReadGeneration(Known.Value);
  return Generation == Requests.CurrentConfig->Config.Generation &&
         (!Held || Generation > Protocol.Kinds.ReadGeneration(Held->Value));
}

auto Gateway::Impl::applyConfiguration(Configuration Accepted) -> void {
  const TimePoint Now = bootNow();
  Events.write(EventLine("configuration-in-force")
                   .field("generation", Accepted.Generation)
                   .field("routes", Accepted.Routes.size())
                   .field("workspaces", Accepted.Workspaces.size()));
  std::unordered_map<ServiceId, ColdLimit> ColdLimits;
  for (const auto &[Id, Service] : Accepted.Services)
    ColdLimits[Id] = {Service.ColdRequestsPerSecond *
                          Settings.Bounds.ColdExcess +
                      Settings.Bounds.ColdSlack};
  Targets.setColdLimits(std::move(ColdLimits));
  Requests.Rates.configure(Accepted, Now);
  Requests.Splits.reset();
  Requests.CurrentConfig =
      std::make_shared<const ActiveConfig>(std::move(Accepted));
  for (const auto &Session : Sessions)
    Session->setLimits(Requests.CurrentConfig->Config.Limits);
  for (const auto &[Name, Object] : RouterObjectsFeed->objects())
    onRouterObjectChanged(Object);
  WaitingRequests.dispatch();
}

auto Gateway::Impl::missingRecordExpiry() const -> TimePoint {
  if (TargetFeed->inOutage())
    return bootNow() + RecordReturnPeriod;
  return TargetFeed->outageEndedAt() + RecordReturnPeriod;
}

auto Gateway::Impl::onTargetsListed(
    const std::map<std::string, StoredObject> &Objects) -> void {
  std::vector<TargetRecord> Records;
  for (const auto &[Name, Object] : Objects) {
    auto Record = Protocol.Kinds.ReadTarget(Object);
    if (Record)
      Records.push_back(std::move(Record).value());
    else if (++IgnoredRecords; Events.admits(EventClass::Failure, bootNow()))
      Events.write(EventLine("record-ignored")
                       .field("target", Name)
                       .field("reason", Record.error().message()));
  }
  Targets.replace(Records, missingRecordExpiry(), bootNow());
  const auto Departed = std::count_if(
      Records.begin(), Records.end(),
      [this](const TargetRecord &Record) { return !Targets.find(Record.Id); });
  Events.write(EventLine("targets-read")
                   .field("targets", Records.size())
                   .field("departed", Departed)
                   .field("revision", TargetFeed->revision()));
  if (Rollouts)
    Rollouts->onTargetsChanged();
  WaitingRequests.dispatch();
}

auto Gateway::Impl::onTargetChanged(const StoredObject &Object) -> void {
  const TimePoint Now = bootNow();
  if (Object.Deleted) {
    Events.write(EventLine("target-removed")
                     .field("target", Object.Name)
                     .field("revision", Object.Revision)
                     .field("kept", Now < missingRecordExpiry()));
    Targets.remove(TargetId(Object.Name), missingRecordExpiry(), Now);
    if (Rollouts)
      Rollouts->onTargetsChanged();
    return;
  }
  const auto Record = Protocol.Kinds.ReadTarget(Object);
  if (!Record) {
    ++IgnoredRecords;
    if (Events.admits(EventClass::Failure, Now))
      Events.write(EventLine("record-ignored")
                       .field("target", Object.Name)
                       .field("reason", Record.error().message()));
    return;
  }
  const bool NewIncarnation = Targets.apply(*Record, Now);
  if (Rollouts)
    Rollouts->onTargetsChanged();
  Events.write(EventLine("target-changed")
                   .field("target", Object.Name)
                   .field("service", Record->Service.str())
                   .field("data_centre", Record->DataCentre.str())
                   .field("draining", Record->Draining)
                   .field("cold_ms", Record->RemainingColdTime)
                   .field("new_life", NewIncarnation)
                   .field("departed", !Targets.find(Record->Id))
                   .field("revision", Object.Revision));
  WaitingRequests.dispatch();
}

auto Gateway::Impl::onEvacuationsChanged() -> void {
  std::set<DataCentreId> Evacuated;
  for (const auto &[Name, Object] : EvacuationFeed->objects())
    Evacuated.insert(DataCentreId(Name));
  for (const auto &[DataCentre, KeepUntil] : UnconfirmedEvacuations)
    Evacuated.insert(DataCentre);
  if (Evacuated == Targets.evacuated())
    return;
  std::string Names;
  for (const DataCentreId &DataCentre : Evacuated)
    Names.append(Names.empty() ? "" : ",").append(DataCentre.str());
  Events.write(EventLine("evacuations-changed")
                   .field("data_centres", Names)
                   .field("revision", EvacuationFeed->lastChangeRevision()));
  Targets.setEvacuated(std::move(Evacuated), bootNow());
}

auto Gateway::Impl::onStoreRestored(const std::string &Kind,
                                    std::uint64_t RevisionBefore,
                                    std::uint64_t RevisionAfter) -> void {
  Events.write(EventLine("store-restored")
                   .field("kind", Kind)
                   .field("era_before", eraOf(RevisionBefore))
                   .field("era_after", eraOf(RevisionAfter))
                   .field("revision", RevisionAfter));
  // The feeds notice one after the other.
  if (eraOf(RevisionAfter) > RestoredEra) {
    RestoredEra = eraOf(RevisionAfter);
    ++StoreRestorations;
  }
  if (Kind != Protocol.Kinds.Evacuations)
    return;
  // Those that were missing from an earlier copy are among them.
  for (const DataCentreId &DataCentre : Targets.evacuated())
    UnconfirmedEvacuations[DataCentre] = bootNow() + RecordReturnPeriod;
}

auto Gateway::Impl::dropMissingEvacuations(TimePoint Now) -> void {
  // While the store is away, nobody can write them again.
  if (!EvacuationFeed->connected()) {
    for (auto &[DataCentre, KeepUntil] : UnconfirmedEvacuations)
      KeepUntil = Now + RecordReturnPeriod;
    return;
  }
  if (std::erase_if(UnconfirmedEvacuations, [Now](const auto &Entry) {
        return Now >= Entry.second;
      }) > 0)
    onEvacuationsChanged();
}

auto Gateway::Impl::onRouterObjectChanged(const StoredObject &Object) -> void {
  if (Object.Name == FleetMember::LeaderObjectName)
    return Member->onLeaderObjectChanged(&Object);
  if (Object.Name == Leader::FleetSizeObjectName && !Object.Deleted) {
    const auto Size = Leader::readFleetSize(Object);
    if (Size)
      return Requests.Rates.assumeInstances(*Size, bootNow());
    return Events.write(EventLine("fleet-size-unreadable")
                            .field("reason", Size.error().message())
                            .field("revision", Object.Revision));
  }
  if (Rollouts && !Object.Deleted &&
      Object.Name.starts_with(RolloutLeader::RecordPrefix))
    return onRolloutRecord(Object);
  if (!Object.Deleted && Object.Name.starts_with(Leader::RangeObjectPrefix))
    onRangesChanged(
        ServiceId(Object.Name.substr(Leader::RangeObjectPrefix.size())),
        Object);
}

auto Gateway::Impl::useVoidRanges(const ServiceId &Service,
                                  const StoredObject &Object,
                                  const RangeRecord &Record, RangeView &View)
    -> bool {
  const bool Newer = View.Revision == 0 ||
                     std::pair(Record.Era, Record.NextFence) >
                         std::pair(View.Record.Era, View.Record.NextFence);
  if (Object.Revision > View.VoidRevision)
    Events.write(EventLine("ranges-void")
                     .field("service", Service.str())
                     .field("written_in_era", Record.Era)
                     .field("era", eraOf(Object.Revision))
                     .field("revision", Object.Revision)
                     .field("used", Newer)
                     .field("reason", "written before the store was restored"));
  View.VoidRevision = std::max(View.VoidRevision, Object.Revision);
  return Newer;
}

auto Gateway::Impl::onRangesChanged(const ServiceId &Service,
                                    const StoredObject &Object) -> void {
  if (!Requests.CurrentConfig)
    return;
  const auto Settings = Requests.CurrentConfig->Config.Services.find(Service);
  if (Settings == Requests.CurrentConfig->Config.Services.end())
    return;
  RangeView &View = Requests.Ranges[Service];
  if (Object.Revision <= View.Revision)
    return;
  auto Parsed = RangeRecord::parse(Object.Value, Settings->second.NumberedKeys);
  if (!Parsed) {
    Events.write(EventLine("ranges-unreadable")
                     .field("service", Service.str())
                     .field("reason", Parsed.error().message()));
    return;
  }
  if (fromEarlierEra(Object) && !useVoidRanges(Service, Object, *Parsed, View))
    return;
  const TimePoint Now = bootNow();
  std::unordered_map<std::uint64_t, TimePoint> MovingSince;
  for (const KeyRange &Range : Parsed->Ranges) {
    const KeyRange *Previous = View.Record.find(Range.From);
    const bool WasRecorded = View.Revision != 0 && Previous;
    if (!WasRecorded || Range.PreviousOwner.empty())
      continue;
    const auto Pending = View.MovingSince.find(Previous->Fence);
    if (Previous->Owner != Range.Owner ||
        Previous->OwnerStartedAt != Range.OwnerStartedAt)
      MovingSince[Range.Fence] = Now;
    else if (Pending != View.MovingSince.end())
      MovingSince[Range.Fence] = Pending->second;
  }
  View.Record = std::move(Parsed).value();
  View.Revision = Object.Revision;
  View.MovingSince = std::move(MovingSince);
  WaitingRequests.dispatch();
}

auto Gateway::Impl::seenChanges() const -> SeenRevisions {
  return {ConfigurationFeed->lastChangeRevision(),
          TargetFeed->lastChangeRevision(),
          EvacuationFeed->lastChangeRevision()};
}

auto Gateway::Impl::isUpToDateWith(const SeenRevisions &Others) const -> bool {
  // A removed object leaves no revision behind, so the revisions up to which
  // the objects were read are compared.
  return ConfigurationFeed->revision() >= Others.Configuration &&
         TargetFeed->revision() >= Others.Targets &&
         EvacuationFeed->revision() >= Others.Evacuations;
}

auto Gateway::Impl::storeReachable() const -> bool {
  return RouterObjectsFeed->connected();
}

auto Gateway::Impl::catchUp(const SeenRevisions &Others,
                            const std::string &Address) -> void {
  if (!FeedsStarted)
    return;
  const std::array<std::pair<StoreFeed *, std::uint64_t>, 3> Feeds = {
      {{ConfigurationFeed.get(), Others.Configuration},
       {TargetFeed.get(), Others.Targets},
       {EvacuationFeed.get(), Others.Evacuations}}};
  std::vector<StoreFeed *> Behind;
  for (const auto &[Feed, Revision] : Feeds)
    if (Feed->isBehind(Revision))
      Behind.push_back(Feed);
  // Otherwise the missing changes are arriving.
  if (Behind.empty())
    return;
  Store->distrust("behind peers");
  bool Reachable = true;
  for (StoreFeed *Feed : Behind) {
    Reachable = Reachable && Feed->connected();
    Feed->recheck();
  }
  Events.write(EventLine("behind-peers")
                   .field("peer", Address)
                   .field("store_reachable", Reachable)
                   .field("configuration", Others.Configuration)
                   .field("targets", Others.Targets)
                   .field("evacuations", Others.Evacuations));
  if (!Reachable)
    fetchPeerState(Address);
}

auto Gateway::Impl::startFeeds() -> void {
  if (std::exchange(FeedsStarted, true))
    return;
  FeedStartTimer.cancel();
  for (StoreFeed *Feed : laterFeeds())
    Feed->start();
}

auto Gateway::Impl::useRelays(const std::string &Primary,
                              const std::string &Backup) -> void {
  const std::string &Self = Settings.PeerAddress;
  const bool Relays = Primary == Self || bootNow() < RelayRequestedUntil;
  // The leader has to prove its contact with the store by calls of its own.
  if (Relays || LocalLeader->leading())
    Store->useRelays("", "");
  else
    Store->useRelays(Primary, Backup == Self ? "" : Backup);
  const bool Begins = Relays && !IsRelay;
  IsRelay = Relays;
  updateWatchTimeout();
  if (!Begins)
    return startFeeds();
  Relay->begin();
  RouterObjectsFeed->reread();
  if (!FeedsStarted)
    return startFeeds();
  for (StoreFeed *Feed : laterFeeds())
    Feed->reread();
}

auto Gateway::Impl::onChangesRequested() -> void {
  RelayRequestedUntil = bootNow() + RelayDemandPeriod;
  if (!IsRelay)
    useRelays(Settings.PeerAddress, "");
}

auto Gateway::Impl::fetchPeerState(const std::string &Address) -> void {
  if (FetchingPeerState)
    return;
  if (PeerClientAddress != Address) {
    auto Client = HttpClient::create(Io, Address, clientOptions(Events));
    if (!Client) {
      Events.write(EventLine("peer-unusable").field("address", Address));
      return;
    }
    PeerClient = std::move(Client).value();
    PeerClientAddress = Address;
  }
  FetchingPeerState = true;
  HttpRequest Request;
  Request.Target = "/state";
  HttpCallOptions Options;
  Options.TimeLimit = PeerCallTimeout;
  Options.StallTimeout = PeerCallTimeout;
  PeerClient->request(std::move(Request), Options,
                      [this, Address](const HttpOutcome &Outcome) {
                        FetchingPeerState = false;
                        Events.write(EventLine("peer-state-read")
                                         .field("peer", Address)
                                         .field("done", Outcome.done()));
                        if (Outcome.done() && Outcome.Response.Status == 200)
                          applyPeerState(Outcome.Response.Body);
                      });
}

auto Gateway::Impl::statefulFeeds() const
    -> std::vector<std::pair<std::string_view, StoreFeed *>> {
  std::vector<std::pair<std::string_view, StoreFeed *>> Feeds = {
      {"configuration", ConfigurationFeed.get()},
      {"targets", TargetFeed.get()},
      {"evacuations", EvacuationFeed.get()},
      {"own", RouterObjectsFeed.get()}};
  if (RolloutFeed)
    Feeds.emplace_back("rollouts", RolloutFeed.get());
  return Feeds;
}

auto Gateway::Impl::applyPeerState(const std::string &Body) -> void {
  for (const auto &[Name, Feed] : statefulFeeds()) {
    const std::string_view State = memberText(Body, Name);
    // A peer without rollouts does not send them.
    if (State.empty() && Feed == RolloutFeed.get())
      continue;
    const auto Revision = parseJson(memberText(State, "revision"));
    auto Objects =
        readObjectList(memberText(State, "objects"), ObjectListForm::State,
                       Feed->kind(), Protocol.Kinds.Schema);
    if (!Revision || !Revision->is_number_unsigned() || !Objects)
      return Events.write(
          EventLine("peer-state-unreadable").field("objects", Name));
    Feed->applyPeerSnapshot(std::move(*Objects),
                            Revision->get<std::uint64_t>());
  }
}

auto Gateway::Impl::stateJson() const -> std::string {
  std::string Out = "{";
  for (const auto &[Name, Feed] : statefulFeeds())
    Out.append(Out.size() > 1 ? ",\"" : "\"")
        .append(Name)
        .append("\":")
        .append(stateOf(*Feed));
  return Out + "}";
}

auto Gateway::Impl::addAdmission(PrometheusText &Text) const -> void {
  const AdmissionCounts &Counts = Targets.admissionCounts();
  Text.counterFamily("btr_owner_decisions_total",
                     "Decisions on sends to owners of keys");
  Text.sample({{"decision", "admitted"}}, Counts.Admitted);
  Text.sample({{"decision", "long-queue"}}, Counts.LongQueue);
  Text.sample({{"decision", "narrow-window"}}, Counts.NarrowWindow);
  Text.sample({{"decision", "refused-at-once"}}, Counts.RefusedAtOnce);
  Text.sample({{"decision", "not-resent"}}, Counts.NotResent);
  const auto Estimates = Targets.ownerEstimates(bootNow());
  Text.gaugeFamily("btr_owner_smallest_window",
                   "Smallest window of requests at an owner");
  Text.sample({}, Estimates.SmallestWindow);
  Text.gaugeFamily("btr_owner_longest_queue",
                   "Most requests estimated at an owner");
  Text.sample({}, Estimates.LongestQueue);
}

auto Gateway::Impl::metricsText() const -> std::string {
  PrometheusText Text;
  Text.add(Totals.totals());
  Text.histogramFamily("btr_request_seconds", "Time to the answer");
  Text.sample({}, Requests.Latency);
  Text.gaugeFamily("btr_waiting_requests", "Requests without a target");
  Text.sample({}, std::uint64_t{WaitingRequests.size()});
  addAdmission(Text);
  Text.gaugeFamily("btr_running_requests", "Requests without an answer");
  Text.sample({}, std::uint64_t{Flows.size()});
  Text.counterFamily("btr_target_connections_total",
                     "Connections opened to targets");
  Text.sample({}, Pool.openedConnections());
  Text.counterFamily("btr_ignored_records_total",
                     "Target records that could not be used");
  Text.sample({}, IgnoredRecords);
  Text.counterFamily("btr_malformed_messages_total",
                     "Datagrams that were no messages of an instance");
  Text.sample({}, Peers->malformed());
  Text.gaugeFamily("btr_evacuated_data_centres",
                   "Data centres that get no requests");
  Text.sample({}, std::uint64_t{Targets.evacuated().size()});
  Text.counterFamily("btr_target_announcements_total",
                     "What targets have announced of themselves");
  const AnnouncementRecorder::Counts &Announced = Announcements.counts();
  Text.sample({{"kind", "leaving"}}, Announced.Leaving);
  Text.sample({{"kind", "pause"}}, Announced.Pauses);
  Text.sample({{"kind", "unreadable-pause"}}, Announced.UnreadablePauses);
  Text.sample({{"kind", "unreadable-handover"}}, Announced.UnreadableHandovers);
  Text.counterFamily("btr_target_crashes_total",
                     "Targets found to have crashed");
  const CrashMonitor::Counts &Crashed = Crashes.counts();
  Text.sample({}, Crashed.Crashes);
  Text.counterFamily("btr_crash_suspects_total",
                     "Requests that were running on targets that crashed");
  Text.sample({{"kind", "accused"}}, Crashed.Accusations);
  Text.sample({{"kind", "quarantined"}}, Crashed.Quarantines);
  Text.sample({{"kind", "cleared"}}, Crashed.Acquittals);
  Text.gaugeFamily("btr_known_crash_suspects",
                   "Requests of which this instance knows such a crash");
  Text.sample({}, std::uint64_t{Suspects.size()});
  Text.counterFamily("btr_suspects_learned_total",
                     "Requests accused or cleared by other instances");
  Text.sample({}, Member->suspectExchange().learned());
  addHedges(Text, Requests.Hedges.counts());
  Text.gaugeFamily("btr_leading", "Whether this instance leads");
  Text.sample({}, std::uint64_t{LocalLeader->leading() ? 1U : 0U});
  Text.gaugeFamily("btr_store_reachable", "Whether the store answers");
  Text.sample({}, std::uint64_t{storeReachable() ? 1U : 0U});
  Memory.appendMetrics(Text);
  appendConnectionMetrics(Text);
  if (Rollouts)
    addRolloutMetrics(Text);
  Text.counterFamily("btr_store_restorations_total",
                     "Restorations of the store from a copy");
  Text.sample({}, StoreRestorations);
  return Text.text();
}

auto Gateway::Impl::appendConnectionMetrics(PrometheusText &Text) const
    -> void {
  Text.gaugeFamily("btr_caller_connections", "Open connections of callers");
  Text.sample({}, std::uint64_t{Sessions.size() + LingeringSessions});
  Text.counterFamily("btr_caller_connections_limited_total",
                     "Connections closed because too many were open");
  Text.sample({{"kind", "displaced"}}, DisplacedSessions);
  Text.sample({{"kind", "rejected"}}, RejectedSessions);
}

auto Gateway::Impl::handlePeerRequest(const HttpRequest &Request,
                                      const HttpResponder &To) -> void {
  if (Request.path() == ChangeRelay::Path) {
    onChangesRequested();
    return Relay->handleRequest(Request, To);
  }
  HttpResponse Response;
  if (Request.path() == "/metrics") {
    Response.Headers.set("Content-Type",
                         std::string(PrometheusText::ContentType));
    Response.Body = metricsText();
  } else if (Request.path() == "/rollouts") {
    Response = jsonResponse(rolloutsJson());
  } else if (Request.path() == "/state") {
    Response = jsonResponse(stateJson());
  } else if (Request.path() == "/where") {
    Response = whereResponse(Requests, Request, bootNow());
  } else if (Request.path() == "/status") {
    Response = statusResponse(Requests, bootNow());
  } else {
    Response.Status = 404;
  }
  To.respond(std::move(Response));
}

} // namespace buckthornring
