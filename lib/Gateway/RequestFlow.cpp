#include "Gateway/RequestFlow.h"

#include "Gateway/RefusalTable.h"
#include "Gateway/RequestSelection.h"
#include "IO/BootClock.h"

#include <algorithm>
#include <charconv>

namespace buckthornring {

namespace {

/// Deadline of a request without a deadline header.
constexpr Duration DefaultDeadline = std::chrono::seconds(10);

/// Longer deadlines are shortened to this one. Some callers send the largest
/// number for "none", which does not fit into a Duration.
constexpr std::uint64_t MaxDeadlineMs = 24ULL * 60 * 60 * 1000;

/// Longest idle time of a pooled connection that is used for a non-idempotent
/// request: an older connection may have failed unnoticed, and then it is
/// unknown whether the request ran.
constexpr Duration NonIdempotentIdleLimit = std::chrono::milliseconds(1500);

/// A request is refused after targets have rejected it this often without
/// running it.
constexpr std::uint32_t MaxRejections = 4;

/// The same for an owner that has rejected it for lack of room.
constexpr std::uint32_t MaxRejectionsForRoom = 2;

/// A request is refused at once when its owner is expected to be full for
/// longer than this many times the limit of its wait. The queue is known from
/// reports of up to 400 ms ago, and with a margin of 1 a single instance earned
/// less in calm ("bench_measure overload": goodput 0.992 instead of 0.994).
constexpr int OutlookMargin = 2;

/// Delay before a request is sent again after its owner rejected it: the grant
/// is still on its way, or the keys are being moved.
constexpr Duration OwnerRetryDelay = std::chrono::milliseconds(120);

constexpr unsigned GatewayTimeout = 504;

auto remainingMs(TimePoint Until, TimePoint Now) -> std::int64_t {
  return std::max<std::int64_t>(1, (Until - Now).count() / 1000);
}

auto requestHost(const HttpHeaders &Fields) -> std::string_view {
  const std::string_view Host = Fields.find("Host").value_or("");
  return Host.substr(0, Host.find(':'));
}

auto parseNumber(std::string_view Text) -> std::optional<std::uint64_t> {
  std::uint64_t Value = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

} // namespace

RequestFlow::RequestFlow(RequestContext &Context,
                         std::shared_ptr<CallerSession> Session,
                         std::uint64_t RequestNumber, CallerRequest Request,
                         EndHandler OnEnd)
    : Context(Context), Session(std::move(Session)),
      RequestNumber(RequestNumber), Request(std::move(Request)),
      OnEnd(std::move(OnEnd)), DeadlineTimer(Context.Io) {}

auto RequestFlow::start() -> void {
  const TimePoint Now = bootNow();
  Config = Context.CurrentConfig;
  RequestId =
      std::string(Request.Head.Fields.find(Context.Protocol.Headers.RequestId)
                      .value_or(""));
  ResponseDeadline = Now + DefaultDeadline;
  if (!resolveRoute())
    return;
  readDeadline(Now);
  Fingerprint = CrashSuspects::fingerprint(
      Request.Head.Method, Request.Head.Target,
      Request.Head.Fields.find(Context.Protocol.Headers.CallerKey).value_or(""),
      Request.Body ? Request.Body->parts() : std::vector<std::string_view>());
  if (!Workspace.empty() && !Context.Rates.admit(Workspace, Now))
    return requestRateFromReserve();
  onAdmitted();
}

auto RequestFlow::requestRateFromReserve() -> void {
  Context.RequestRateFromReserve(
      Workspace, [Self = shared_from_this()](bool Granted) {
        if (Self->Done)
          return;
        if (!Granted)
          return Self->refuse(RefusalReason::OverRate);
        Self->onAdmitted();
      });
}

auto RequestFlow::onAdmitted() -> void {
  const TimePoint Now = bootNow();
  Service = Context.Splits.next(*Route);
  Context.retries(Service).requestSeen(Now);
  Context.Hedges.requestSeen(Service);
  Context.Shortages.requestSeen(Service);
  if (!readKey())
    return;
  DeadlineTimer.expires_after(ResponseDeadline - Now);
  DeadlineTimer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Cancelled) {
        if (!Cancelled && !Self->Done)
          Self->onDeadline();
      });
  sendOrWait();
}

auto RequestFlow::resolveRoute() -> bool {
  // No configuration has been read yet.
  if (!Config) {
    refuse(RefusalReason::StaleConfiguration);
    return false;
  }
  const ResolvedRequest Resolved = resolveRequest(
      *Config, requestHost(Request.Head.Fields), Request.Head.Target,
      Request.Head.Fields.find(Context.Protocol.Headers.CallerKey));
  Route = Resolved.Route;
  Workspace = Resolved.Workspace;
  Idempotent = Resolved.Idempotent;
  Priority = Resolved.Priority;
  if (Resolved.Refusal)
    refuseUnknown(*Resolved.Refusal);
  return !Resolved.Refusal;
}

// What is unknown here may be known by the newer configuration, and callers do
// not retry a request that was refused for good.
auto RequestFlow::refuseUnknown(RefusalReason Reason) -> void {
  refuse(Context.ConfigurationOutdated() ? RefusalReason::StaleConfiguration
                                         : Reason);
}

auto RequestFlow::readDeadline(TimePoint Now) -> void {
  const auto Header =
      Request.Head.Fields.find(Context.Protocol.Headers.Deadline);
  const auto Milliseconds = Header ? parseNumber(*Header) : std::nullopt;
  CallerDeadline =
      Request.ReceivedAt +
      (Milliseconds
           ? std::chrono::milliseconds(std::min(*Milliseconds, MaxDeadlineMs))
           : std::chrono::duration_cast<std::chrono::milliseconds>(
                 DefaultDeadline));
  ResponseDeadline = CallerDeadline;
  if (Route->Timeout)
    ResponseDeadline =
        std::min(ResponseDeadline, Request.ReceivedAt + *Route->Timeout);
  ResponseDeadline = std::max(ResponseDeadline, Now);
}

auto RequestFlow::readKey() -> bool {
  if (!isDivided(*Config, Service))
    return true;
  Key = parseKey(*Config, Service,
                 Request.Head.Fields.find(Context.Protocol.Headers.KeyNumber));
  if (!Key) {
    refuse(RefusalReason::MissingKey);
    return false;
  }
  Context.RequestedKeys[Service].push_back(*Key);
  return true;
}

auto RequestFlow::waitLimit() const -> Duration {
  return targetWaitLimit(*Route, Key.has_value());
}

auto RequestFlow::sendOrWait() -> void {
  if (Done)
    return;
  Context.WaitingRequests.dispatchBefore(Service, Priority);
  if (trySend())
    return;
  waitForTarget(bootNow());
}

auto RequestFlow::trySend() -> bool {
  if (Done)
    return true;
  const TimePoint Now = bootNow();
  if (tooLateForStop(Now)) {
    refuse(RefusalReason::ShuttingDown);
    return true;
  }
  const auto Admitted =
      Context.Crashes.admission(Fingerprint, CopyCounted ? 1 : 0, Now);
  if (Admitted == CrashMonitor::Admission::Refuse) {
    refuse(RefusalReason::RequestQuarantined);
    return true;
  }
  Held = Admitted == CrashMonitor::Admission::Hold;
  if (Held)
    return false;
  if (Now < NextSendAt)
    return refuseIfAllPaused(Now);
  const TargetSelection Selected = selectTarget(Now);
  LastSelectionReason = Selected.Reason;
  if (!Selected.Target)
    return refuseIfAllPaused(Now);
  Ticket = 0;
  WaitTimer.reset();
  Context.WaitingRequests.sent(Service, Priority);
  send(Selected.Target);
  return true;
}

auto RequestFlow::tooLateForStop(TimePoint Now) const -> bool {
  return Context.Stop && Now >= Context.Stop->Begin &&
         ResponseDeadline > Context.Stop->End && PossibleRuns == 0;
}

auto RequestFlow::selectTarget(TimePoint Now) -> TargetSelection {
  return buckthornring::selectTarget(
      Context, Context.Targets,
      {{Service, Idempotent, Route->TargetLatency, TriedTargets},
       Key,
       !Key && suspected(Now),
       LastTarget.empty()},
      Now);
}

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

auto RequestFlow::suspected(TimePoint Now) const -> bool {
  return LostExchanges > 0 || accused(Now);
}

auto RequestFlow::accused(TimePoint Now) const -> bool {
  return Context.Suspects.verdict(Fingerprint, Now) !=
         CrashSuspects::Verdict::Clear;
}

auto RequestFlow::owner(TimePoint Now) const -> TargetPtr {
  return Key ? ownerOf(Context, Context.Targets, Service, *Key, Now) : nullptr;
}

auto RequestFlow::ownerLacksRoom(TimePoint Now) const -> bool {
  const TargetPtr Owner = owner(Now);
  if (!Owner)
    return false;
  const Duration Until = Context.Targets.ownerOutlook(*Owner, Now).Until;
  return Owner->Window.closed(Now) || Now + Until >= ResponseDeadline ||
         Until > OutlookMargin * waitLimit();
}

auto RequestFlow::ownerUnreachable(TimePoint Now) const -> bool {
  if (LastSelectionReason != NoTargetReason::Down)
    return false;
  const TargetPtr Owner = owner(Now);
  return Owner && Context.Targets.ownerUnreachable(*Owner, WaitDeadline, Now);
}

auto RequestFlow::waitForTarget(TimePoint Now) -> void {
  if (Ticket != 0)
    return;
  if (!Held && LastSelectionReason == NoTargetReason::Busy &&
      ownerLacksRoom(Now)) {
    ++Context.Targets.admissionCounts().RefusedAtOnce;
    return refuse(RefusalReason::QueueFull);
  }
  WaitDeadline = std::min(ResponseDeadline, Now + waitLimit());
  if (!Held && ownerUnreachable(Now))
    return refuse(RefusalReason::NoOwner);
  Ticket = Context.WaitingRequests.add(
      Service, Priority,
      [Self = shared_from_this()] { return Self->trySend(); });
  WaitTimer = std::make_unique<boost::asio::steady_timer>(Context.Io,
                                                          WaitDeadline - Now);
  WaitTimer->async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Cancelled) {
        if (Cancelled || Self->Done || Self->Ticket == 0)
          return;
        Self->stopWaiting();
        Self->refuse(Self->waitEndReason());
      });
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

auto RequestFlow::stopWaiting() -> void {
  if (Ticket != 0)
    Context.WaitingRequests.remove(Service, Priority, std::exchange(Ticket, 0));
  WaitTimer.reset();
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
  if (Outcome == ExchangeResult::Answered && !isValidResponse(Response))
    Outcome = ExchangeResult::Malformed;
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
    CurrentHop->Connection->recordRejection();
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
