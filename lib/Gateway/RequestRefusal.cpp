// The end of a request: refusals, Retry-After, the deadline and the log line.

#include "Gateway/RequestFlow.h"

#include "Gateway/RefusalTable.h"
#include "IO/BootClock.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

// What is unknown here may be known by the newer configuration, and callers do
// not retry a request that was refused for good.
auto RequestFlow::refuseUnknown(RefusalReason Reason) -> void {
  refuse(Context.ConfigurationOutdated() ? RefusalReason::StaleConfiguration
                                         : Reason);
}

auto RequestFlow::waitEndReason() const -> RefusalReason {
  if (Held)
    return RefusalReason::RequestSuspected;
  // The wait ended with the targets at their request limits.
  if (LastSelectionReason == NoTargetReason::Busy)
    return RefusalReason::QueueFull;
  return Key ? RefusalReason::NoOwner : RefusalReason::NoTarget;
}

auto RequestFlow::pauseEnd(TimePoint Now) -> std::optional<TimePoint> {
  if (const auto All = Context.Targets.allPausedUntil(Service, Now))
    return All;
  if (!Key)
    return std::nullopt;
  const TimePoint OwnerEnd = selectTarget(Now).OwnerPausedUntil;
  return OwnerEnd > Now && OwnerEnd - Now < MinPauseForHandover
             ? std::optional(OwnerEnd)
             : std::nullopt;
}

auto RequestFlow::refuseIfAllPaused(TimePoint Now) -> bool {
  const auto Until = pauseEnd(Now);
  const TimePoint WaitEnd = Ticket == 0
                                ? std::min(ResponseDeadline, Now + waitLimit())
                                : WaitDeadline;
  if (!Until || *Until <= WaitEnd || !ActiveHops.empty())
    return false;
  PauseRest = *Until - Now;
  refuse(RefusalReason::TargetsPaused);
  return true;
}

auto RequestFlow::onDeadline() -> void {
  for (const HopPtr &CurrentHop : ActiveHops)
    if (CurrentHop->SentAt != LongAgo) {
      CurrentHop->Target->Load.failed();
      recordOutcome(*CurrentHop, std::nullopt, true);
    }
  refuse(RefusalReason::DeadlineExceeded);
}

auto RequestFlow::refuse(RefusalReason Reason) -> void {
  const bool MayHaveRun = PossibleRuns > 0;
  Context.CounterStripe.add(Reason);
  if (Reason == RefusalReason::QueueFull || Reason == RefusalReason::TargetShed)
    Context.Shortages.refused(Service);
  Context.CounterStripe.add(MayHaveRun ? RequestOutcome::RefusedUnknown
                                       : RequestOutcome::RefusedNotRun);
  CallerResponse Out;
  Out.Status = refusalStatus(Reason, MayHaveRun ? RunStatus::Unknown
                                                : RunStatus::NotRun);
  if (!RequestId.empty())
    Out.Fields.add(Context.Protocol.Headers.RequestId, RequestId);
  Out.Fields.add("Btr-Refusal", std::string(RefusalReasonNames.name(Reason)));
  Out.Fields.add("Btr-Run",
                 std::string(RunStatusNames.name(
                     MayHaveRun ? RunStatus::Unknown : RunStatus::NotRun)));
  if (Out.Status == 503 || Out.Status == 429) {
    Out.Fields.add("Retry-After", formatSeconds(refusalWait(Reason)));
  }
  finish(std::move(Out), EventClass::Failure, "refused",
         RefusalReasonNames.name(Reason));
}

auto RequestFlow::refusalWait(RefusalReason Reason) const -> Duration {
  switch (Reason) {
  case RefusalReason::OverRate:
    return Context.Rates.retryAfter(Workspace);
  case RefusalReason::TargetsPaused:
    return PauseRest;
  case RefusalReason::RequestQuarantined:
    return Context.Suspects.quarantineRest(Fingerprint, bootNow());
  case RefusalReason::QueueFull:
  case RefusalReason::TargetShed:
    if (const TargetPtr Owner = owner(bootNow()))
      return Owner->Returns.next(
          Context.Targets.ownerOutlook(*Owner, bootNow()), Route->TargetLatency,
          CallerDeadline - bootNow(), bootNow());
    [[fallthrough]];
  default:
    return retryAfter(Reason,
                      Route ? Route->TargetLatency : std::chrono::seconds(1));
  }
}

auto RequestFlow::finish(CallerResponse Response, EventClass Class,
                         std::string_view Outcome, std::string_view Reason)
    -> void {
  if (std::exchange(Done, true))
    return;
  const auto Self = shared_from_this();
  stopWaiting();
  DeadlineTimer.cancel();
  HedgeTimer.reset();
  settleHedge(false);
  if (std::exchange(CopyCounted, false))
    Context.Crashes.copyEnded(Fingerprint);
  log(Class, Response.Status, Outcome, Reason);
  abandonHops();
  Request.Body.reset();
  Session->respond(RequestNumber, std::move(Response));
  Session.reset();
  std::exchange(OnEnd, nullptr)();
  Context.WaitingRequests.dispatch();
}

auto RequestFlow::onCallerDisconnected() -> void {
  if (Done)
    return;
  Context.CounterStripe.add(RequestOutcome::CallerLeft);
  finish({}, EventClass::Failure, "caller-left", "");
}

auto RequestFlow::abandon() -> void {
  if (!Done)
    refuse(RefusalReason::ShuttingDown);
}

auto RequestFlow::log(EventClass Class, unsigned Status,
                      std::string_view Outcome, std::string_view Reason)
    -> void {
  const TimePoint Now = bootNow();
  if (!Context.Events.admits(Class, Now))
    return;
  EventLine Line("request");
  Line.field("id", RequestId)
      .field("path", Request.Head.Target)
      .field("workspace", Workspace.str())
      .field("service", Service.str())
      .field("target", LastTarget.str())
      .field("outcome", Outcome)
      .field("reason", Reason)
      .field("status", Status)
      .field("duration_ms", Now - Request.ReceivedAt)
      .field("sends", Sends)
      .field("hedge", hedgeOutcome())
      .field("may_have_run", PossibleRuns)
      .field("waiting", Context.WaitingRequests.size())
      .field("selection", NoTargetReasonNames.name(LastSelectionReason))
      .field("config", Config ? Config->Config.Generation : 0);
  if (const TargetPtr Target = Context.Targets.find(LastTarget))
    Line.field("target_queue", Target->Load.queue(Now))
        .field("target_failures", Target->Load.failureShare())
        .field("target_cold", Target->cold(Now))
        .field("target_leaving", Target->Announced->leaving())
        .field("target_pause_ms",
               std::max(Duration(0), Target->Announced->pausedUntil() - Now));
  if (Key) {
    const auto View = Context.Ranges.find(Service);
    Line.field("key", *Key)
        .field("ranges",
               View == Context.Ranges.end() ? 0 : View->second.Revision);
  }
  Context.Events.write(Line);
}

} // namespace buckthornring
