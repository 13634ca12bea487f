// The parts of an instance that follow rollout orders.

#include "Common/JsonText.h"
#include "Fleet/StoreRevision.h"
#include "Gateway/GatewayImpl.h"
#include "IO/BootClock.h"

#include <nlohmann/json.hpp>

namespace buckthornring {

using Json = nlohmann::json;

auto Gateway::Impl::laterFeeds() const -> std::vector<StoreFeed *> {
  std::vector<StoreFeed *> Feeds = {ConfigurationFeed.get(), TargetFeed.get(),
                                    EvacuationFeed.get()};
  if (RolloutFeed)
    Feeds.push_back(RolloutFeed.get());
  return Feeds;
}

auto Gateway::Impl::allFeeds() const -> std::vector<StoreFeed *> {
  std::vector<StoreFeed *> Feeds = laterFeeds();
  Feeds.push_back(RouterObjectsFeed.get());
  return Feeds;
}

auto Gateway::Impl::makeRollouts() -> void {
  Rollouts = std::make_unique<RolloutAgent>(
      Targets, Events, Settings.Bounds.Rollouts, Settings.Instance, bootNow());
  Requests.Rollouts = Rollouts.get();
  RolloutFeed = makeFeed(
      Protocol.Kinds.Rollouts,
      {[this](const std::map<std::string, StoredObject> &Objects) {
         onRolloutsListed(Objects);
       },
       [this](const StoredObject &Object) { onRolloutChanged(Object); },
       {}});
}

auto Gateway::Impl::readRollout(const StoredObject &Object)
    -> std::optional<RolloutOrder> {
  auto Order = Protocol.Kinds.ReadRollout(Object);
  if (Order)
    return std::move(Order).value();
  Rollouts->countMalformed(Object.Name, Order.error().message());
  return std::nullopt;
}

auto Gateway::Impl::onRolloutsListed(
    const std::map<std::string, StoredObject> &Objects) -> void {
  std::map<ServiceId, RolloutOrder> Readable;
  for (const auto &[Name, Object] : Objects)
    if (const auto Order = readRollout(Object))
      Readable[Order->Service] = *Order;
  Rollouts->setOrders(Readable, bootNow());
  WaitingRequests.dispatch();
}

auto Gateway::Impl::onRolloutChanged(const StoredObject &Object) -> void {
  Rollouts->setOrder(ServiceId(Object.Name),
                     Object.Deleted ? std::nullopt : readRollout(Object),
                     bootNow());
  WaitingRequests.dispatch();
}

auto Gateway::Impl::onRolloutRecord(const StoredObject &Object) -> void {
  const auto Record = RolloutRecord::parse(Object.Value);
  const ServiceId Service(
      Object.Name.substr(RolloutLeader::RecordPrefix.size()));
  if (Record)
    return Rollouts->setRecord(Service, *Record, Object.Revision, bootNow());
  Events.write(EventLine("rollout-record-unreadable")
                   .field("service", Service.str())
                   .field("reason", Record.error().message()));
}

auto Gateway::Impl::stepRollouts(TimePoint) -> void {
  if (!Requests.CurrentConfig || !RouterObjectsFeed->loaded() ||
      !RolloutFeed->loaded() || !TargetFeed->loaded())
    return;
  LocalLeader->stepRollouts(Requests.CurrentConfig->Config, storeReachable(),
                            eraOf(RouterObjectsFeed->revision()));
}

auto Gateway::Impl::addRolloutMetrics(PrometheusText &Text) const -> void {
  Text.counterFamily("btr_ignored_rollouts_total",
                     "Entries of rollouts that named no order");
  Text.sample({}, Rollouts->malformed());
  Text.counterFamily("btr_version_sends_total",
                     "Sends to targets by service and version");
  for (const auto &[Id, State] : Rollouts->services())
    for (const auto &[Version, Count] : State.SendsByVersion)
      Text.sample({{"service", Id.str()}, {"version", Version}}, Count);
  Text.gaugeFamily("btr_rollout_stage",
                   "Stage of a rollout: 0 hold, 1 compare, 2 complete, 3 "
                   "stopped");
  for (const auto &[Id, State] : Rollouts->services())
    if (State.Share)
      Text.sample({{"service", Id.str()}},
                  static_cast<std::uint64_t>(State.stage()));
}

auto Gateway::Impl::rolloutsJson() const -> std::string {
  Json Out = {{"instance", Settings.Instance.str()},
              {"leading", LocalLeader->leading()},
              {"services", Json::object()}};
  if (!Rollouts)
    return writeJson(Out);
  for (const auto &[Id, State] : Rollouts->services()) {
    if (!State.Order && State.Admission.base().empty())
      continue;
    Json Entry = {{"base", State.Admission.base()},
                  {"stage", std::string(RolloutStageNames.name(State.stage()))},
                  {"sends", State.SendsByVersion}};
    if (State.Order) {
      Entry["to"] = State.Order->To;
      Entry["ended"] = State.Order->ended();
      Entry["state"] = std::string(RolloutStateNames.name(State.Order->State));
    }
    if (State.Record)
      Entry["record"] = State.Record->toJson();
    Out["services"][Id.str()] = std::move(Entry);
  }
  if (LocalLeader->leading())
    Out["decisions"] = RolloutDecisions->stateJson(bootNow());
  return writeJson(Out);
}

} // namespace buckthornring
