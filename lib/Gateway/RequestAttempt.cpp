// The attempts of a request: sends to targets, their responses and retries.

#include "Gateway/RequestFlow.h"

#include "IO/BootClock.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

/// Longest idle time of a pooled connection that is used for a non-idempotent
/// request: an older connection may have failed unnoticed, and then it is
/// unknown whether the request ran.
constexpr Duration NonIdempotentIdleLimit = std::chrono::milliseconds(1500);

/// A request is refused after targets have rejected it this often without
/// running it.
constexpr std::uint32_t MaxRejections = 4;

/// The same for an owner that has rejected it for lack of room.
constexpr std::uint32_t MaxRejectionsForRoom = 2;

/// Delay before a request is sent again after its owner rejected it: the grant
/// is still on its way, or the keys are being moved.
constexpr Duration OwnerRetryDelay = std::chrono::milliseconds(120);

constexpr unsigned GatewayTimeout = 504;

auto remainingMs(TimePoint Until, TimePoint Now) -> std::int64_t {
  return std::max<std::int64_t>(1, (Until - Now).count() / 1000);
}

} // namespace

auto RequestFlow::recordOutcome(const Hop &Ended, std::optional<Duration> Time,
                                bool TimedOut) -> void {
  if (!Context.Rollouts)
    return;
  // A retry near the deadline says little of the target's speed.
  const Duration Limit = ResponseDeadline - Request.ReceivedAt;
  const Duration Waited = bootNow() - Ended.SentAt;
  if (TimedOut)
    Time = 2 * Waited >= Limit ? std::optional(Waited) : std::nullopt;
  Context.Rollouts->ended(Ended.Target->Record, Route->PathPrefix,
                          {Time, TimedOut, Ended.SentCold});
}

auto RequestFlow::send(const TargetPtr &Target, bool Hedge) -> void {
  auto CurrentHop = std::make_shared<Hop>();
  CurrentHop->Hedge = Hedge;
  const TimePoint Now = bootNow();
  CurrentHop->Target = Target;
  CurrentHop->TargetStartedAtMs = Target->Record.StartedAtMs;
  if (!std::exchange(CopyCounted, true))
    Context.Crashes.copyStarted(Fingerprint);
  CurrentHop->QueueAtSend = Target->Load.queue(Now);
  CurrentHop->SentCold = Target->cold(Now);
  CurrentHop->Suspect = suspected(Now);
  if (CurrentHop->Suspect)
    Context.Crashes.suspectStarted(Target->Record.Id);
  Context.Targets.sending(*Target, Now);
  ActiveHops.push_back(CurrentHop);
  if (Context.Rollouts)
    Context.Rollouts->sent(Target->Record, LastTarget.empty());
  LastTarget = Target->Record.Id;
  if (!Key)
    TriedTargets.push_back(Target->Record.Id);
  TargetConnectionPool::Needs Required;
  Required.RequestId = RequestId;
  // A response without an id may belong to any request, and a second copy of a
  // rejection may arrive on any connection that was open when it was sent.
  Required.Fresh = RequestId.empty() ||
                   std::find(RejectingTargets.begin(), RejectingTargets.end(),
                             Target->Record.Id) != RejectingTargets.end();
  if (!Idempotent)
    Required.MaxIdle = NonIdempotentIdleLimit;
  // After a send that may have run, neither may be sent to a second target.
  Required.AwaitReset = !Idempotent || Key.has_value();
  Context.Pool.acquire(
      Target->Record, Required,
      [Self = shared_from_this(), CurrentHop](
          TargetConnectionPool::ConnectionPtr Connection, bool Opened) {
        Self->onConnected(CurrentHop, std::move(Connection), Opened);
      });
}

auto RequestFlow::onConnected(const HopPtr &CurrentHop,
                              TargetConnectionPool::ConnectionPtr Connection,
                              bool Opened) -> void {
  const bool StillActive = std::find(ActiveHops.begin(), ActiveHops.end(),
                                     CurrentHop) != ActiveHops.end();
  if (Done || !StillActive) {
    if (Connection)
      Context.Pool.release(CurrentHop->Target->Record, Connection);
    return;
  }
  const TimePoint Now = bootNow();
  if (Connection && (CurrentHop->Target->Announced->refusesRequests(Now) ||
                     Context.Suspects.verdict(Fingerprint, Now) ==
                         CrashSuspects::Verdict::Quarantined)) {
    // This became known while the connection was being opened.
    Context.Pool.release(CurrentHop->Target->Record, Connection);
    abandonHop(CurrentHop);
    return ActiveHops.empty() ? sendOrWait() : void();
  }
  if (!Connection) {
    Context.Targets.markUnreachable(*CurrentHop->Target, Now);
    Context.Pool.closeConnections(CurrentHop->Target->Record.Id);
    abandonHop(CurrentHop);
    Context.CounterStripe.add(RetryReason::ConnectFailed);
    if (ActiveHops.empty())
      sendOrWait();
    return;
  }
  if (Opened)
    Context.Targets.connected(*CurrentHop->Target);
  CurrentHop->Connection = std::move(Connection);
  CurrentHop->Reused = !Opened;
  CurrentHop->SentAt = Now;
  ++Sends;
  ++PossibleRuns;
  const HeaderNames &Names = Context.Protocol.Headers;
  CurrentHop->Connection->exchange(
      serializeRequest(*CurrentHop, Now), Names.RequestId, RequestId,
      Request.Head.Method == "HEAD",
      [Self = shared_from_this(), CurrentHop](ExchangeResult Outcome,
                                              TargetResponse Response) {
        Self->onExchangeEnded(CurrentHop, Outcome, std::move(Response));
      },
      Request.Body);
  armHedge();
}

auto RequestFlow::serializeRequest(const Hop &CurrentHop, TimePoint Now) const
    -> std::string {
  const HeaderNames &Names = Context.Protocol.Headers;
  std::string Message;
  Message.reserve(512);
  Message.append(Request.Head.Method)
      .append(" ")
      .append(Request.Head.Target)
      .append(" HTTP/1.1\r\n");
  const std::string Connection = connectionOptions(Request.Head.Fields);
  for (const auto &[Name, Value] : Request.Head.Fields)
    if (!isHopByHop(Name, Connection) &&
        !sameHeaderName(Name, Names.CallerKey) &&
        !sameHeaderName(Name, Names.Deadline) &&
        !sameHeaderName(Name, Names.Workspace) &&
        !sameHeaderName(Name, Names.ExpectedTarget))
      appendField(Message, Name, Value);
  appendField(Message, Names.Deadline,
              std::to_string(remainingMs(ResponseDeadline, Now)));
  appendField(Message, Names.ExpectedTarget,
              CurrentHop.Target->Record.Id.str());
  if (!Workspace.empty())
    appendField(Message, Names.Workspace, Workspace.str());
  const std::string &Method = Request.Head.Method;
  const std::size_t BodyBytes = Request.Body ? Request.Body->size() : 0;
  if (BodyBytes > 0 || (Method != "GET" && Method != "HEAD"))
    appendField(Message, "Content-Length", std::to_string(BodyBytes));
  Message.append("\r\n");
  return Message;
}

auto RequestFlow::recordLoad(const Hop &CurrentHop,
                             const TargetResponse &Response, TimePoint Now)
    -> void {
  const auto Text = Response.Fields.find(Context.Protocol.Headers.Load);
  if (!Text)
    return;
  const auto Report = Context.Protocol.ReadLoad(*Text);
  if (!Report)
    return;
  CurrentHop.Target->reported(*Report, Now, Now);
  Context.UnsentLoads.add(CurrentHop.Target->Record.Id, *Report, Now);
  Context.OnLoadAdded();
}

auto RequestFlow::isValidResponse(const TargetResponse &Response) const
    -> bool {
  const bool Success = Response.Status >= 200 && Response.Status < 300;
  return !Success ||
         Response.Fields.contains(Context.Protocol.Headers.Signature);
}

auto RequestFlow::onExchangeEnded(const HopPtr &CurrentHop,
                                  ExchangeResult Outcome,
                                  TargetResponse Response) -> void {
  if (Done)
    return;
  const HeaderNames &Names = Context.Protocol.Headers;
  if (Outcome == ExchangeResult::Answered && !isValidResponse(Response)) {
    Outcome = ExchangeResult::Malformed;
    Response.Fault = "no signature";
  }
  if (Outcome == ExchangeResult::Malformed)
    logMalformed(*CurrentHop, Response.Fault);
  if (Outcome != ExchangeResult::Answered)
    return onHopFailed(CurrentHop, Outcome);
  const TimePoint Now = bootNow();
  const bool Rejected =
      Response.Fields.contains(Names.NotRun) || Response.Status == 421;
  const Duration Latency = Now - CurrentHop->SentAt;
  Context.Targets.connected(*CurrentHop->Target);
  // A server error may come at once and shows no speed.
  const std::uint32_t Slots = CurrentHop->Target->Record.Slots;
  if (Response.Status >= 500 && !Rejected)
    CurrentHop->Target->Load.abandoned(Latency, CurrentHop->QueueAtSend, Slots);
  else
    CurrentHop->Target->Load.ended(Rejected ? std::nullopt
                                            : std::optional(Latency),
                                   CurrentHop->QueueAtSend, Slots);
  recordLoad(*CurrentHop, Response, Now);
  Context.Announcements.record(CurrentHop->Target->Record, Response.Status,
                               Response.Fields);
  if (Rejected)
    CurrentHop->Connection->recordRejection(RequestId);
  Context.Pool.release(CurrentHop->Target->Record,
                       std::exchange(CurrentHop->Connection, nullptr));
  removeHop(CurrentHop);
  if (Rejected)
    return onRejected(CurrentHop, Response);
  recordOutcome(*CurrentHop,
                Response.Status < 500 ? std::optional(Latency) : std::nullopt,
                Response.Status == GatewayTimeout);
  // A target that gave up at the deadline has not run the request to its end.
  if (Response.Status != GatewayTimeout && Context.Crashes.watches(Fingerprint))
    Context.Crashes.exchangeCompleted(monitored());
  if (Response.Status < 500) {
    Context.Targets.answered(*CurrentHop->Target, Latency);
    recordAttempt(*CurrentHop, Latency, true);
    if (Key)
      ++Context.OwnerOutcomes[CurrentHop->Target->Record.Id].Successes;
  } else {
    CurrentHop->Target->Load.failed();
    if (Key && Response.Status != GatewayTimeout)
      ++Context.OwnerOutcomes[CurrentHop->Target->Record.Id].Failures;
    // The other attempt of a hedged request may still succeed.
    if (!ActiveHops.empty())
      return;
    if (Idempotent && !Key && tryTakeRetry(Now)) {
      // A 5xx response is counted as ConnectionLost too.
      Context.CounterStripe.add(RetryReason::ConnectionLost);
      return sendOrWait();
    }
  }
  forwardResponse(*CurrentHop, std::move(Response));
}

auto RequestFlow::onRejected(const HopPtr &CurrentHop,
                             const TargetResponse &Response) -> void {
  --PossibleRuns;
  ++Rejections;
  RejectingTargets.push_back(CurrentHop->Target->Record.Id);
  // Status 421: the target does not hold the key, or another target has the
  // address. Counted as RefusedNoLease in both cases.
  const bool Misdirected = Response.Status == 421;
  const TimePoint Now = bootNow();
  const bool LacksRoom =
      Key && !Misdirected && !CurrentHop->Target->Announced->paused(Now);
  if (LacksRoom)
    CurrentHop->Target->Window.rejected(Now);
  if (Key)
    NextSendAt = bootNow() + OwnerRetryDelay;
  else if (!CurrentHop->Target->Announced->paused(bootNow()))
    // After a pause that it has asked for, the target is sound again.
    CurrentHop->Target->Load.failed();
  if (!ActiveHops.empty())
    return;
  // Another send to an owner that stays full would only use up the allowance.
  if (Rejections >= (LacksRoom ? MaxRejectionsForRoom : MaxRejections) ||
      (LacksRoom && ownerLacksRoom(Now)) ||
      !Context.tryTakeRetry(Service, Now)) {
    if (LacksRoom)
      ++Context.Targets.admissionCounts().NotResent;
    return refuse(Misdirected ? RefusalReason::NoOwner
                              : RefusalReason::TargetShed);
  }
  Context.CounterStripe.add(Misdirected ? RetryReason::RefusedNoLease
                                        : RetryReason::RefusedShed);
  sendOrWait();
}

auto RequestFlow::onNotSent(const HopPtr &CurrentHop) -> void {
  --PossibleRuns;
  CurrentHop->Target->Load.failed();
  abandonHop(CurrentHop);
  if (Key)
    NextSendAt = bootNow() + OwnerRetryDelay;
  if (!ActiveHops.empty())
    return;
  if (++Rejections >= MaxRejections)
    return refuse(RefusalReason::TargetShed);
  Context.CounterStripe.add(RetryReason::ConnectFailed);
  sendOrWait();
}

auto RequestFlow::onHopFailed(const HopPtr &CurrentHop, ExchangeResult Outcome)
    -> void {
  if (Outcome == ExchangeResult::NotSent)
    return onNotSent(CurrentHop);
  recordOutcome(*CurrentHop, std::nullopt, false);
  CurrentHop->Target->Load.failed();
  if (Outcome == ExchangeResult::Lost)
    onLost(CurrentHop);
  else if (Key)
    ++Context.OwnerOutcomes[CurrentHop->Target->Record.Id].Failures;
  abandonHop(CurrentHop);
  if (!ActiveHops.empty())
    return;
  if (LostExchanges > 1 && accused(bootNow()))
    return refuse(RefusalReason::ConnectionLost);
  // A malformed response is counted as ConnectionLost too.
  if (Idempotent && tryTakeRetry(bootNow())) {
    Context.CounterStripe.add(RetryReason::ConnectionLost);
    return sendOrWait();
  }
  refuse(RefusalReason::ConnectionLost);
}

auto RequestFlow::logMalformed(const Hop &CurrentHop, std::string_view Fault)
    -> void {
  if (Context.Events.admits(EventClass::Failure, bootNow()))
    Context.Events.write(
        EventLine("response-unreadable")
            .field("id", RequestId)
            .field("service", Service.str())
            .field("target", CurrentHop.Target->Record.Id.str())
            .field("reason", Fault));
}

auto RequestFlow::onLost(const HopPtr &CurrentHop) -> void {
  ++LostExchanges;
  // The target's other pooled connections have probably been closed too.
  if (CurrentHop->Reused)
    Context.Pool.closeConnections(CurrentHop->Target->Record.Id);
  Context.Crashes.exchangeLost(CurrentHop->Target,
                               CurrentHop->TargetStartedAtMs, monitored());
}

auto RequestFlow::monitored() const -> MonitoredRequest {
  return {Fingerprint, RequestId, Request.Head.Target, Workspace};
}

auto RequestFlow::committedSends() const -> std::uint32_t {
  return PossibleRuns + static_cast<std::uint32_t>(std::count_if(
                            ActiveHops.begin(), ActiveHops.end(),
                            [](const HopPtr &CurrentHop) {
                              return CurrentHop->SentAt == LongAgo;
                            }));
}

auto RequestFlow::tryTakeRetry(TimePoint Now) -> bool {
  return committedSends() < Route->MaxAttempts && Now < ResponseDeadline &&
         Context.tryTakeRetry(Service, Now);
}

auto RequestFlow::removeHop(const HopPtr &CurrentHop) -> void {
  std::erase(ActiveHops, CurrentHop);
  if (CurrentHop->Hedge)
    Hedge.EndedAt = bootNow();
  if (std::exchange(CurrentHop->Suspect, false))
    Context.Crashes.suspectEnded(CurrentHop->Target->Record.Id);
}

auto RequestFlow::abandonHop(const HopPtr &CurrentHop) -> void {
  removeHop(CurrentHop);
  const Duration Elapsed = CurrentHop->SentAt == LongAgo
                               ? Duration(0)
                               : bootNow() - CurrentHop->SentAt;
  CurrentHop->Target->Load.abandoned(Elapsed, CurrentHop->QueueAtSend,
                                     CurrentHop->Target->Record.Slots);
  recordAttempt(*CurrentHop, Elapsed, false);
  if (CurrentHop->Connection)
    std::exchange(CurrentHop->Connection, nullptr)->close();
}

auto RequestFlow::abandonHops() -> void {
  while (!ActiveHops.empty())
    abandonHop(ActiveHops.back());
}

auto RequestFlow::forwardResponse(const Hop &CurrentHop,
                                  TargetResponse Response) -> void {
  settleHedge(CurrentHop.Hedge);
  const HeaderNames &Names = Context.Protocol.Headers;
  CallerResponse Out;
  Out.Status = Response.Status;
  Out.Body = std::move(Response.Body);
  Out.EndsWithClose = Response.EndsWithClose;
  const std::string Connection = connectionOptions(Response.Fields);
  for (const auto &[Name, Value] : Response.Fields)
    if (!isHopByHop(Name, Connection) && !sameHeaderName(Name, Names.Load) &&
        !sameHeaderName(Name, Names.TargetName) &&
        !sameHeaderName(Name, Names.ColdTime))
      Out.Fields.add(Name, Value);
  Context.CounterStripe.add(RequestOutcome::Answered);
  Context.Latency.record(bootNow() - Request.ReceivedAt);
  const bool Succeeded = Out.Status < 500;
  finish(std::move(Out), Succeeded ? EventClass::Served : EventClass::Failure,
         "answered", Succeeded ? "" : "target-failed");
}

} // namespace buckthornring
