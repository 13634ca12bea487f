#include "Gateway/RolloutLeader.h"

#include "Fleet/StoreRevision.h"
#include "IO/BootClock.h"

#include <algorithm>

namespace buckthornring {

using Json = nlohmann::json;

namespace {

/// Time after the start of a leadership by which all instances have reported
/// twice, so that they are known. It is part of the time that a rollout needs
/// after the loss of a leader, so it is not longer.
constexpr Duration MembersKnownAfter = std::chrono::milliseconds(900);

/// Delay before a write is repeated that was refused or got no answer.
constexpr Duration WriteRetryDelay = std::chrono::milliseconds(300);

auto outcomesJson(const OutcomesByRoute &Routes) -> Json {
  Json Out = Json::object();
  for (const auto &[Route, Outcomes] : Routes)
    Out[Route] = {{"requests", Outcomes.Requests},
                  {"failures", Outcomes.Failures},
                  {"time_buckets", Outcomes.Times.Buckets}};
  return Out;
}

auto sum(const OutcomesByRoute &Routes) -> RolloutOutcomes {
  RolloutOutcomes Out;
  for (const auto &[Route, Outcomes] : Routes)
    Out.add(Outcomes);
  return Out;
}

} // namespace

auto RolloutLeader::recordName(const ServiceId &Service) -> std::string {
  return std::string(RecordPrefix) + Service.str();
}

auto RolloutLeader::reset() -> void { Rollouts.clear(); }

auto RolloutLeader::find(const ServiceId &Id, std::uint64_t Number)
    -> Rollout * {
  const auto Found = Rollouts.find(Id);
  return Found == Rollouts.end() || Found->second.Number != Number
             ? nullptr
             : &Found->second;
}

auto RolloutLeader::changed(const Rollout &Led, const RolloutOrder &Order) const
    -> bool {
  const RolloutOrder &Known = Led.Control.order();
  if (Order.To != Known.To || Order.Length != Known.Length)
    return true;
  // Written anew by the operator after this leader had written the status.
  return Order.State == RolloutState::None && Led.StatusRevision != 0 &&
         Order.Revision > Led.StatusRevision &&
         eraOf(Order.Revision) == eraOf(Led.StatusRevision);
}

auto RolloutLeader::findOrBegin(const ServiceId &Id,
                                const RolloutAgent::Service &Known,
                                bool Divided, TimePoint Now) -> Rollout & {
  const auto Found = Rollouts.find(Id);
  if (Found != Rollouts.end() && !changed(Found->second, *Known.Order))
    return Found->second;
  if (Found != Rollouts.end()) {
    Context.Events.write(EventLine("rollout-ended")
                             .field("service", Id.str())
                             .field("to", Found->second.Control.order().To)
                             .field("reason", "order changed"));
    Rollouts.erase(Found);
  }
  RolloutController Control(*Known.Order, Context.Bounds, Divided,
                            Known.Admission.base(), Known.OrderSeenAt);
  const RolloutRecord *Record = Known.recordOfOrder();
  if (Record)
    Control.continueFrom(*Record, Known.RecordReadAt);
  Context.Events.write(EventLine("rollout-led")
                           .field("service", Id.str())
                           .field("to", Known.Order->To)
                           .field("base", Known.Admission.base())
                           .field("order", Control.id())
                           .field("elapsed_ms", Control.elapsed(Now))
                           .field("continued", Record != nullptr));
  return Rollouts.try_emplace(Id, std::move(Control), ++LastNumber)
      .first->second;
}

auto RolloutLeader::viewOf(const ServiceId &Id, const Rollout &Led,
                           const Fleet &Current, TimePoint Now) const
    -> RolloutController::View {
  RolloutController::View View;
  const std::string &To = Led.Control.order().To;
  for (const TargetPtr &Target : Context.Targets.targetsOfService(Id)) {
    if (!Context.Targets.takesRequests(*Target))
      continue;
    const bool New = Target->Record.Version == To;
    (New ? View.NewSlots : View.OldSlots) += Target->Record.Slots;
    if (New && !Target->cold(Now))
      View.WarmNewSlots += Target->Record.Slots;
  }
  View.KeysAtOld = Current.KeysOutside(Id, To);
  View.MembersKnown = Current.Leading >= MembersKnownAfter;
  View.Members = Current.Members;
  return View;
}

auto RolloutLeader::tick(const Fleet &Current, TimePoint Now) -> void {
  std::erase_if(Rollouts, [&](const auto &Entry) {
    const auto *Known = Context.Agent.find(Entry.first);
    if (Known && Known->Order && !Known->Order->ended())
      return false;
    Context.Events.write(EventLine("rollout-ended")
                             .field("service", Entry.first.str())
                             .field("to", Entry.second.Control.order().To)
                             .field("reason", Known && Known->Order
                                                  ? "status written"
                                                  : "order removed"));
    return true;
  });
  for (const auto &[Id, Known] : Context.Agent.services()) {
    if (!Known.Order || Known.Order->ended())
      continue;
    Rollout &Led = findOrBegin(Id, Known, Current.Divided(Id), Now);
    if (const RolloutRecord *Record = Known.recordOfOrder())
      Led.Control.adopt(*Record, Now);
    Led.Control.step(viewOf(Id, Led, Current, Now), Now);
    logStage(Id, Led, Now);
    writeRecord(Id, Led, Current, Now);
    writeStatus(Id, Led, *Known.Order, Now);
  }
}

auto RolloutLeader::writeRecord(const ServiceId &Id, Rollout &Led,
                                const Fleet &Current, TimePoint Now) -> void {
  auto Record = Led.Control.pendingRecord(Now);
  if (!Record || Led.RecordPending || Now < Led.NextRecordAt ||
      !Context.RouterObjectsFeed.loaded())
    return;
  Record->Era = Current.Era;
  const std::string Name = recordName(Id);
  const auto &Objects = Context.RouterObjectsFeed.objects();
  const auto Held = Objects.find(Name);
  const std::uint64_t Read = Held == Objects.end() ? 0 : Held->second.Revision;
  Led.RecordPending = true;
  Context.Store.write(
      Context.Protocol.Kinds.Own, Name, std::max(Read, Led.RecordRevision),
      Record->toJson(),
      [this, Id, Record = *Record,
       Number = Led.Number](const StoreWriteResult &Answer) {
        Rollout *Written = find(Id, Number);
        if (!Written)
          return;
        const TimePoint AnsweredAt = bootNow();
        Written->RecordPending = false;
        Written->NextRecordAt = AnsweredAt + WriteRetryDelay;
        Context.Events.write(
            EventLine("rollout-recorded")
                .field("service", Id.str())
                .field("stage", RolloutStageNames.name(Record.Stage))
                .field("status", StoreStatusNames.name(Answer.Status)));
        if (Answer.Status != StoreStatus::Done)
          return Context.RefreshFeeds();
        Written->NextRecordAt = LongAgo;
        Written->RecordRevision = Answer.Object->Revision;
        Written->Control.recorded(Record, AnsweredAt);
      });
}

auto RolloutLeader::writeStatus(const ServiceId &Id, Rollout &Led,
                                const RolloutOrder &Order, TimePoint Now)
    -> void {
  const RolloutState Due = Led.Control.dueState();
  const bool Written = Order.State == Due && Order.StateOf == Order.To;
  if (Written || Led.StatusPending || Now < Led.NextStatusAt)
    return;
  Led.StatusPending = true;
  Context.Store.writeStatus(
      Context.Protocol.Kinds.Rollouts, Id.str(), Order.Revision,
      Context.Protocol.Kinds.EncodeRolloutStatus(Due, Order.To),
      [this, Id, Due, Number = Led.Number](const StoreWriteResult &Answer) {
        Rollout *Found = find(Id, Number);
        if (!Found)
          return;
        Found->StatusPending = false;
        Found->NextStatusAt = bootNow() + WriteRetryDelay;
        Context.Events.write(
            EventLine("rollout-status-written")
                .field("service", Id.str())
                .field("state", RolloutStateNames.name(Due))
                .field("status", StoreStatusNames.name(Answer.Status)));
        if (Answer.Status != StoreStatus::Done)
          return Context.RefreshFeeds();
        Found->NextStatusAt = LongAgo;
        Found->StatusRevision = Answer.Object->Revision;
        Context.OnOrderWritten(*Answer.Object);
      });
}

auto RolloutLeader::handleReport(
    const InstanceId &Instance, const std::string &Process,
    const std::map<ServiceId, RolloutReport> &Reports, TimePoint Now) -> void {
  for (const auto &[Id, Report] : Reports) {
    const auto Found = Rollouts.find(Id);
    if (Found != Rollouts.end())
      Found->second.Control.recordReport(Instance, Process, Report, Now);
  }
}

auto RolloutLeader::notices(TimePoint Now) const
    -> std::map<ServiceId, RolloutNotice> {
  std::map<ServiceId, RolloutNotice> Out;
  for (const auto &[Id, Led] : Rollouts)
    Out[Id] = Led.Control.notice(Now);
  return Out;
}

auto RolloutLeader::logStage(const ServiceId &Id, Rollout &Led, TimePoint Now)
    -> void {
  const RolloutController &Control = Led.Control;
  if (Control.stage() == Led.LoggedStage)
    return;
  Led.LoggedStage = Control.stage();
  const RolloutOutcomes Old = sum(Control.totals().Old);
  const RolloutOutcomes New = sum(Control.totals().New);
  Context.Events.write(
      EventLine("rollout-stage")
          .field("service", Id.str())
          .field("to", Control.order().To)
          .field("order", Control.id())
          .field("stage", RolloutStageNames.name(Control.stage()))
          .field("cause", Control.cause())
          .field("elapsed_ms", Control.elapsed(Now))
          .field("requests", Control.totals().Requests)
          .field("sent_to_new", Control.totals().SentToNew)
          .field("old_responses", Old.Requests)
          .field("old_failures", Old.Failures)
          .field("new_responses", New.Requests)
          .field("new_failures", New.Failures)
          .field("route", Control.comparedRoute())
          .field("failure_tail", Control.comparison().FailureTail)
          .field("slowness", Control.comparison().SlownessRatio));
}

auto RolloutLeader::stateJson(TimePoint Now) const -> Json {
  Json Out = Json::object();
  for (const auto &[Id, Led] : Rollouts) {
    const RolloutController &Control = Led.Control;
    const RolloutNotice Notice = Control.notice(Now);
    Out[Id.str()] = {
        {"to", Notice.To},
        {"order", Notice.Order},
        {"stage", std::string(RolloutStageNames.name(Notice.Stage))},
        {"decided", std::string(RolloutStageNames.name(Control.stage()))},
        {"cause", Control.cause()},
        {"share_ppm", Notice.SharePpm},
        {"elapsed_ms", Control.elapsed(Now).count() / 1000},
        {"length_ms", Control.order().Length.count() / 1000},
        {"requests", Control.totals().Requests},
        {"sent_to_new", Control.totals().SentToNew},
        {"old", outcomesJson(Control.totals().Old)},
        {"new", outcomesJson(Control.totals().New)},
        {"failure_tail", Control.comparison().FailureTail},
        {"slowness", Control.comparison().SlownessRatio}};
  }
  return Out;
}

} // namespace buckthornring
