// The orders by which the leader grants and releases key ranges.

#include "Gateway/Leader.h"

#include "IO/BootClock.h"

namespace buckthornring {

namespace {

/// Unanswered releases at one time, over all targets of a service. Each one
/// occupies a connection.
constexpr std::uint32_t MaxPendingReleases = 48;

} // namespace

auto Leader::sendOrders(const ServiceId &Id, ServiceState &State, TimePoint Now)
    -> void {
  for (const TargetId &Target : State.Keeper.involvedTargets())
    sendOrdersTo(Target, Id, State, Now);
}

auto Leader::sendOrdersTo(const TargetId &Target, const ServiceId &Id,
                          ServiceState &State, TimePoint Now) -> void {
  if (!State.PendingGrants.contains(Target))
    if (const auto Call = State.Keeper.nextGrant(Target, ConfirmedAt, Now)) {
      State.PendingGrants.insert(Target);
      sendOrder(Id, *Call);
    }
  while (State.PendingReleases < MaxPendingReleases) {
    const auto Call = State.Keeper.nextRelease(Target, ConfirmedAt, Now);
    if (!Call)
      break;
    ++State.PendingReleases;
    sendOrder(Id, *Call);
  }
}

auto Leader::sendOrder(const ServiceId &Id, const RangeOrder &Call) -> void {
  const TargetPtr Target = Context.Targets.find(Call.Target);
  const auto OnEnded =
      [this, Id, Call, Generation = Services.at(Id).Generation](
          RangeOrderOutcome Answer, const std::string &Handover) {
        const auto Found = Services.find(Id);
        if (Found != Services.end() && Found->second.Generation == Generation)
          onOrderEnded(Id, Call, Answer, Handover);
      };
  if (!Target || Target->Record.StartedAtMs != Call.StartedAt) {
    // The target has restarted since, or its record is gone, and its address
    // may belong to another target.
    boost::asio::post(Context.Io,
                      [OnEnded] { OnEnded(RangeOrderOutcome::NotSent, ""); });
    return;
  }
  if (!Call.PreviousOwner.empty())
    logFirstGrant(Id, Call);
  OrderedServices.insert(Id);
  Orders.send(Target->Record, Call, OnEnded);
}

auto Leader::logFirstGrant(const ServiceId &Id, const RangeOrder &Call)
    -> void {
  const TargetPtr Previous = Context.Targets.find(Call.PreviousOwner);
  Context.Events.write(
      EventLine("keys-granted")
          .field("service", Id.str())
          .field("target", Call.Target.str())
          .field("from", Call.From)
          .field("to", Call.To)
          .field("fence", Call.Fence)
          .field("previous_owner", Call.PreviousOwner.str())
          .field("previous_started_at", Call.PreviousOwnerStartedAt)
          .field("known_started_at",
                 Previous ? Previous->Record.StartedAtMs : 0)
          .field("previous_end", PreviousOwnerEndNames.name(Call.PreviousEnd))
          .field("hold_left_ms", Call.PreviousHoldLeft));
}

auto Leader::onOrderEnded(const ServiceId &Id, const RangeOrder &Call,
                          RangeOrderOutcome Answer, const std::string &Handover)
    -> void {
  ServiceState &State = Services.at(Id);
  const TimePoint Now = bootNow();
  const bool ReleasesWereFull = State.PendingReleases == MaxPendingReleases;
  if (Call.Type == RangeOrder::Kind::Grant)
    State.PendingGrants.erase(Call.Target);
  else
    --State.PendingReleases;
  State.Keeper.onOrderEnded(Call, Answer, Handover, Now);
  logOrder(Id, Call, Answer, !Handover.empty());
  // The target has accepted the fencing token of a later leader.
  if (Answer == RangeOrderOutcome::Refused)
    return onSuperseded(Id);
  announceGrants(Id, State);
  if (ReleasesWereFull && State.PendingReleases < MaxPendingReleases)
    return sendOrders(Id, State, Now);
  for (const TargetId &Target : State.Keeper.targetsAfter(Call))
    sendOrdersTo(Target, Id, State, Now);
}

auto Leader::logOrder(const ServiceId &Id, const RangeOrder &Call,
                      RangeOrderOutcome Answer, bool Handover) -> void {
  const bool Renewal = Answer == RangeOrderOutcome::Accepted &&
                       Call.Type == RangeOrder::Kind::Grant;
  // Failures are limited by the log: a leader that reaches no target would
  // otherwise write nothing else.
  if (Renewal || !Context.Events.admits(EventClass::Failure, bootNow()))
    return;
  Context.Events.write(EventLine("order-ended")
                           .field("service", Id.str())
                           .field("order", RangeOrderNames.name(Call.Type))
                           .field("target", Call.Target.str())
                           .field("from", Call.From)
                           .field("to", Call.To)
                           .field("fence", Call.Fence)
                           .field("answer", RangeOrderOutcomeNames.name(Answer))
                           .field("handover", Handover));
}

auto Leader::announceGrants(const ServiceId &Id, ServiceState &State) -> void {
  GrantNotice Notice;
  Notice.Term = Self.Term;
  Notice.Fences[Id] = State.Keeper.takeGranted();
  // Ranges whose owner did not change need no notice.
  std::erase_if(Notice.Fences[Id], [&State](std::uint64_t Fence) {
    for (const KeyRange &Range : State.Keeper.record().Ranges)
      if (Range.Fence == Fence)
        return Range.PreviousOwner.empty();
    return true;
  });
  if (Notice.Fences[Id].empty())
    return;
  Context.OnGranted(Notice);
  for (const auto &[Name, Other] : Members)
    if (Name != Self.Instance)
      Context.Send(Other.Address, Notice);
}

} // namespace buckthornring
