// The course of a request from its arrival to the choice of a target.

#include "Gateway/RequestFlow.h"

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

/// A request is refused at once when its owner is expected to be full for
/// longer than this many times the limit of its wait. The queue is known from
/// reports of up to 400 ms ago, and with a margin of 1 a single instance earned
/// less in calm ("bench_measure overload": goodput 0.992 instead of 0.994).
constexpr int OutlookMargin = 2;

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

auto RequestFlow::stopWaiting() -> void {
  if (Ticket != 0)
    Context.WaitingRequests.remove(Service, Priority, std::exchange(Ticket, 0));
  WaitTimer.reset();
}

} // namespace buckthornring
