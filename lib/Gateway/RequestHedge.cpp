// The hedge of a request: a second attempt beside a slow first one.

#include "Gateway/RequestFlow.h"
#include "IO/BootClock.h"

namespace buckthornring {

auto RequestFlow::hedgeRequest(TimePoint Now) const -> HedgeRequest {
  return {
      Route->Host + Route->PathPrefix,       Service,      Idempotent && !Key,
      committedSends() < Route->MaxAttempts, accused(Now), ResponseDeadline};
}

auto RequestFlow::armHedge() -> void {
  HedgeTimer.reset(); // It may be that of an attempt that has failed.
  if (ActiveHops.size() != 1 || Hedge.Verdict)
    return;
  const TimePoint Now = bootNow();
  Hedge.Delay = Context.Hedges.delay(hedgeRequest(Now), Now);
  if (!Hedge.Delay)
    return;
  HedgeTimer =
      std::make_unique<boost::asio::steady_timer>(Context.Io, *Hedge.Delay);
  HedgeTimer->async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Cancelled) {
        if (!Cancelled && !Self->Done && Self->ActiveHops.size() == 1 &&
            Self->ActiveHops.front()->SentAt != LongAgo)
          Self->sendHedge();
      });
}

auto RequestFlow::sendHedge() -> void {
  const TimePoint Now = bootNow();
  const TargetSelection Selected = selectTarget(Now);
  HedgeTarget Other;
  if (Selected.Target)
    Other = {true, Selected.Target->Load.queue(Now),
             Selected.Target->Record.Slots, Selected.Expected,
             Context.WaitingRequests.waiting(Service)};
  Hedge.Verdict = Context.Hedges.decide(hedgeRequest(Now), Other,
                                        Context.retries(Service), Now);
  if (Hedge.Verdict != HedgeVerdict::Sent)
    return;
  Hedge.Expected = Selected.Expected;
  Hedge.SentAt = Now;
  Context.CounterStripe.add(RetryReason::Hedge);
  if (Context.Events.admits(EventClass::Served, Now))
    Context.Events.write(EventLine("hedge")
                             .field("id", RequestId)
                             .field("service", Service.str())
                             .field("target", LastTarget.str())
                             .field("other", Selected.Target->Record.Id.str())
                             .field("other_queue", Other.Queue)
                             .field("delay_ms", *Hedge.Delay)
                             .field("expected_ms", Hedge.Expected));
  send(Selected.Target, true);
}

auto RequestFlow::recordAttempt(const Hop &CurrentHop, Duration Elapsed,
                                bool Complete) -> void {
  // An attempt that was given up early does not show how long it would have
  // taken.
  if (CurrentHop.Hedge ||
      (!Complete && (!Hedge.Delay || Elapsed < *Hedge.Delay)))
    return;
  const TimePoint Now = bootNow();
  Context.Hedges.attemptEnded(hedgeRequest(Now), Elapsed, Now);
}

auto RequestFlow::settleHedge(bool Won) -> void {
  if (Hedge.SentAt == LongAgo || Hedge.Won)
    return;
  Hedge.Won = Won;
  Context.Hedges.hedgeEnded(Service, Hedge.Expected,
                            Hedge.EndedAt.value_or(bootNow()) - Hedge.SentAt,
                            Won);
}

auto RequestFlow::hedgeOutcome() const -> std::string_view {
  if (Hedge.Won)
    return *Hedge.Won ? "won" : "lost";
  return Hedge.Verdict ? HedgeVerdictNames.name(*Hedge.Verdict) : "";
}

} // namespace buckthornring
