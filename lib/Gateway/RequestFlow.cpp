#include "Gateway/RequestFlow.h"

#include "Gateway/RefusalTable.h"
#include "IO/BootClock.h"

#include <algorithm>
#include <charconv>

namespace buckthornring {

namespace {

/// Deadline of a request that names none.
constexpr Duration DefaultDeadline = std::chrono::seconds(10);

/// Longest idleness of a connection for a request that must not be repeated: a
/// connection may have gone silent, and the request would be in doubt.
constexpr Duration FreshIdle = std::chrono::milliseconds(1500);

/// Sends that targets rejected without running the request, after which it is
/// refused.
constexpr std::uint32_t MaxRejections = 4;

/// Pause before an owner that rejected a request is asked again: its grant is
/// on the way or the keys are moving.
constexpr Duration OwnerPause = std::chrono::milliseconds(120);

/// Part of the target latency that a request may wait for a target. A longer
/// wait costs the caller more than a refusal that names a time to come back.
constexpr int HoldDivisor = 8;
constexpr Duration ShortestHold = std::chrono::milliseconds(30);

/// Part of the target latency that a request may wait for keys that are being
/// moved: the move takes about as long as the requests that run on them.
constexpr int MoveHoldDivisor = 2;

/// Time for which a new owner is assumed to be without its grant, unless the
/// grant is announced.
constexpr Duration MoveTime = std::chrono::milliseconds(700);

/// Time after which an idempotent request is sent to a second target: when it
/// takes much longer than expected, within these parts of the target latency.
constexpr double HedgeFactor = 1.5;
constexpr double EarliestHedge = 0.3;
constexpr double LatestHedge = 0.6;

auto remainingMs(TimePoint Until, TimePoint Now) -> std::int64_t {
  return std::max<std::int64_t>(1, (Until - Now).count() / 1000);
}

auto hostOf(const HttpHeaders &Fields) -> std::string_view {
  const std::string_view Host = Fields.find("Host").value_or("");
  return Host.substr(0, Host.find(':'));
}

auto number(std::string_view Text) -> std::optional<std::uint64_t> {
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
                         std::uint64_t Number, CallerRequest Request,
                         EndHandler Ended)
    : Context(Context), Session(std::move(Session)), Number(Number),
      Request(std::move(Request)), Ended(std::move(Ended)),
      EndTimer(Context.Io), HedgeTimer(Context.Io), WaitTimer(Context.Io) {}

auto RequestFlow::start() -> void {
  const TimePoint Now = bootNow();
  Config = Context.CurrentConfig;
  RequestId =
      std::string(Request.Head.Fields.find(Context.Protocol.Headers.RequestId)
                      .value_or(""));
  EndAt = Now + DefaultDeadline;
  if (!identify())
    return;
  readDeadline(Now);
  if (!Workspace.empty() && !Context.Rates.admit(Workspace, Now))
    return askRate();
  admitted();
}

auto RequestFlow::askRate() -> void {
  Context.AskRate(Workspace, [Self = shared_from_this()](bool Granted) {
    if (Self->Done)
      return;
    if (!Granted)
      return Self->refuse(RefusalReason::OverRate);
    Self->admitted();
  });
}

auto RequestFlow::admitted() -> void {
  const TimePoint Now = bootNow();
  Service = Context.Splits.next(*Route);
  Context.retries(Service).requestSeen(Now);
  if (!readKey())
    return;
  EndTimer.expires_after(EndAt - Now);
  EndTimer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Cancelled) {
        if (!Cancelled && !Self->Done)
          Self->timeout();
      });
  place();
}

auto RequestFlow::identify() -> bool {
  if (!Config) {
    refuse(RefusalReason::StaleConfiguration);
    return false;
  }
  const std::string_view Target = Request.Head.Target;
  Route = Config->Routes.match(Target.substr(0, Target.find('?')),
                               hostOf(Request.Head.Fields));
  if (!Route) {
    refuse(RefusalReason::UnknownRoute);
    return false;
  }
  Idempotent = Route->Idempotent.value_or(true);
  Priority = Route->Priority;
  if (Route->Open || Config->Config.Workspaces.empty())
    return true;
  const auto Key = Request.Head.Fields.find(Context.Protocol.Headers.CallerKey);
  const auto *Entry = Key ? Config->Keys.find(*Key) : nullptr;
  if (!Entry) {
    refuse(RefusalReason::UnknownCallerKey);
    return false;
  }
  Workspace = Entry->Workspace;
  const auto Settings = Config->Config.Workspaces.find(Workspace);
  if (Settings != Config->Config.Workspaces.end())
    Priority = Settings->second.Priority.value_or(Priority);
  return true;
}

auto RequestFlow::readDeadline(TimePoint Now) -> void {
  const auto Told = Request.Head.Fields.find(Context.Protocol.Headers.Deadline);
  const auto Milliseconds = Told ? number(*Told) : std::nullopt;
  CallerDeadline =
      Request.ReceivedAt +
      (Milliseconds ? std::chrono::milliseconds(*Milliseconds)
                    : std::chrono::duration_cast<std::chrono::milliseconds>(
                          DefaultDeadline));
  EndAt = CallerDeadline;
  if (Route->Timeout)
    EndAt = std::min(EndAt, Request.ReceivedAt + *Route->Timeout);
  EndAt = std::max(EndAt, Now);
}

auto RequestFlow::readKey() -> bool {
  const auto Settings = Config->Config.Services.find(Service);
  if (Settings == Config->Config.Services.end() ||
      Settings->second.Kind != ServiceKind::Divided)
    return true;
  const auto Text =
      Request.Head.Fields.find(Context.Protocol.Headers.KeyNumber);
  const auto Value = Text ? number(*Text) : std::nullopt;
  if (!Value || *Value >= Settings->second.NumberedKeys) {
    refuse(RefusalReason::MissingKey);
    return false;
  }
  Key = static_cast<std::uint32_t>(*Value);
  Context.RequestedKeys[Service].push_back(*Key);
  return true;
}

auto RequestFlow::holdLimit() const -> Duration {
  const Duration Latency = Route->TargetLatency;
  return std::max(ShortestHold,
                  Latency / (Key ? MoveHoldDivisor : HoldDivisor));
}

auto RequestFlow::place() -> void {
  if (Done || tryPlace())
    return;
  waitForTarget(bootNow());
}

auto RequestFlow::tryPlace() -> bool {
  if (Done)
    return true;
  const TimePoint Now = bootNow();
  if (Now < NotBefore)
    return false;
  const TargetSelection Selected = selectTarget(Now);
  LastReason = Selected.Reason;
  if (!Selected.Target)
    return false;
  Ticket = 0;
  WaitTimer.cancel();
  send(Selected.Target);
  return true;
}

auto RequestFlow::selectTarget(TimePoint Now) -> TargetSelection {
  if (Key)
    return selectOwner(Now);
  TargetRequest Wish{Service, Idempotent, Route->TargetLatency, Tried};
  return Context.Targets.select(Wish, Now);
}

auto RequestFlow::selectOwner(TimePoint Now) -> TargetSelection {
  const auto View = Context.Ranges.find(Service);
  if (View == Context.Ranges.end())
    return {};
  const KeyRange *Range = View->second.Record.find(*Key);
  if (!Range || Range->Owner.empty())
    return {};
  const auto MovingSince = View->second.MovingSince.find(Range->Fence);
  if (MovingSince != View->second.MovingSince.end() &&
      Now - MovingSince->second < MoveTime)
    return {};
  const TargetPtr Owner = Context.Targets.find(Range->Owner);
  if (!Owner || Owner->Record.StartedAtMs != Range->OwnerStartedAt)
    return {};
  return Context.Targets.selectOwner(Owner, Now);
}

auto RequestFlow::waitForTarget(TimePoint Now) -> void {
  if (Ticket != 0)
    return;
  WaitUntil = std::min(EndAt, Now + holdLimit());
  Ticket = Context.WaitingRequests.add(
      Service, Priority,
      [Self = shared_from_this()] { return Self->tryPlace(); });
  WaitTimer.expires_after(WaitUntil - Now);
  WaitTimer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Cancelled) {
        if (Cancelled || Self->Done || Self->Ticket == 0)
          return;
        Self->stopWaiting();
        Self->refuse(Self->LastReason == NoTargetReason::Busy
                         ? RefusalReason::QueueFull
                     : Self->Key ? RefusalReason::NoOwner
                                 : RefusalReason::NoTarget);
      });
}

auto RequestFlow::stopWaiting() -> void {
  if (Ticket != 0)
    Context.WaitingRequests.remove(Service, Priority, std::exchange(Ticket, 0));
  WaitTimer.cancel();
}

auto RequestFlow::send(const TargetPtr &Target) -> void {
  auto Sent = std::make_shared<Leg>();
  const TimePoint Now = bootNow();
  Sent->Target = Target;
  Sent->QueueAtSend = Target->Load.queue(Now);
  Target->Load.sent();
  Target->Sends.add(Now);
  Legs.push_back(Sent);
  LastTarget = Target->Record.Id;
  if (!Key)
    Tried.push_back(Target->Record.Id);
  Context.Pool.acquire(Target->Record, Idempotent ? Duration::max() : FreshIdle,
                       [Self = shared_from_this(),
                        Sent](TargetPool::ConnectionPtr Ready, bool Opened) {
                         Self->connected(Sent, std::move(Ready), Opened);
                       });
}

auto RequestFlow::connected(const LegPtr &Sent, TargetPool::ConnectionPtr Ready,
                            bool Opened) -> void {
  const bool Current = std::find(Legs.begin(), Legs.end(), Sent) != Legs.end();
  if (Done || !Current) {
    if (Ready)
      Context.Pool.release(Sent->Target->Record, Ready);
    return;
  }
  const TimePoint Now = bootNow();
  if (!Ready) {
    Context.Targets.markUnreachable(*Sent->Target, Now);
    Context.Pool.forget(Sent->Target->Record.Id);
    endLeg(Sent);
    Context.Count.add(RetryReason::ConnectFailed);
    if (Legs.empty())
      place();
    return;
  }
  Sent->Connection = std::move(Ready);
  Sent->Reused = !Opened;
  Sent->SentAt = Now;
  ++Sends;
  ++MayHave;
  const HeaderNames &Names = Context.Protocol.Headers;
  Sent->Connection->exchange(wireFor(*Sent, Now), Names.RequestId, RequestId,
                             Request.Head.Method == "HEAD",
                             [Self = shared_from_this(),
                              Sent](ExchangeResult End, TargetResponse Answer) {
                               Self->answered(Sent, End, std::move(Answer));
                             });
  armHedge(*Sent);
}

auto RequestFlow::wireFor(const Leg &Sent, TimePoint Now) const -> std::string {
  const HeaderNames &Names = Context.Protocol.Headers;
  std::string Wire;
  Wire.reserve(512 + Request.Body.size());
  Wire.append(Request.Head.Method)
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
      appendField(Wire, Name, Value);
  appendField(Wire, Names.Deadline, std::to_string(remainingMs(EndAt, Now)));
  appendField(Wire, Names.ExpectedTarget, Sent.Target->Record.Id.str());
  if (!Workspace.empty())
    appendField(Wire, Names.Workspace, Workspace.str());
  const std::string &Method = Request.Head.Method;
  if (!Request.Body.empty() || (Method != "GET" && Method != "HEAD"))
    appendField(Wire, "Content-Length", std::to_string(Request.Body.size()));
  Wire.append("\r\n").append(Request.Body);
  return Wire;
}

auto RequestFlow::armHedge(const Leg &Sent) -> void {
  if (!Idempotent || Key || Legs.size() != 1 ||
      committed() >= Route->MaxAttempts)
    return;
  const auto Latency = static_cast<double>(Route->TargetLatency.count());
  const double Expected =
      HedgeFactor *
      static_cast<double>(
          Context.Targets.expectedTime(*Sent.Target, bootNow()).count());
  HedgeTimer.expires_after(Duration(static_cast<std::int64_t>(
      std::clamp(Expected, EarliestHedge * Latency, LatestHedge * Latency))));
  HedgeTimer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Cancelled) {
        if (!Cancelled && !Self->Done && Self->Legs.size() == 1 &&
            Self->Legs.front()->SentAt != LongAgo &&
            Self->committed() < Self->Route->MaxAttempts)
          Self->hedge();
      });
}

auto RequestFlow::hedge() -> void {
  const TimePoint Now = bootNow();
  const TargetSelection Selected = selectTarget(Now);
  // A second copy helps only where it runs at once.
  if (!Selected.Target ||
      Selected.Target->Load.queue(Now) >= Selected.Target->Record.Slots ||
      Now + Selected.Expected > EndAt ||
      !Context.retries(Service).tryTakeOptional(Now))
    return;
  Context.Count.add(RetryReason::Hedge);
  send(Selected.Target);
}

auto RequestFlow::gotLoad(const Leg &Sent, const TargetResponse &Answer,
                          TimePoint Now) -> void {
  const auto Text = Answer.Fields.find(Context.Protocol.Headers.Load);
  if (!Text)
    return;
  const auto Report = Context.Protocol.ReadLoad(*Text);
  if (!Report)
    return;
  Sent.Target->Load.reported(*Report, Now);
  Context.UnsentLoads[Sent.Target->Record.Id] = *Report;
  Context.OnLoadSeen();
}

auto RequestFlow::sound(const TargetResponse &Answer) const -> bool {
  const bool Success = Answer.Status >= 200 && Answer.Status < 300;
  return !Success || Answer.Fields.contains(Context.Protocol.Headers.Signature);
}

auto RequestFlow::answered(const LegPtr &Sent, ExchangeResult End,
                           TargetResponse Answer) -> void {
  if (Done)
    return;
  const HeaderNames &Names = Context.Protocol.Headers;
  if (End == ExchangeResult::Answered && !sound(Answer))
    End = ExchangeResult::Malformed;
  if (End != ExchangeResult::Answered)
    return lost(Sent, End);
  const TimePoint Now = bootNow();
  const bool Rejected =
      Answer.Fields.contains(Names.NotRun) || Answer.Status == 421;
  const Duration Latency = Now - Sent->SentAt;
  Sent->Target->Load.ended(Rejected ? std::nullopt : std::optional(Latency),
                           Sent->QueueAtSend, Sent->Target->Record.Slots);
  gotLoad(*Sent, Answer, Now);
  Context.Pool.release(Sent->Target->Record,
                       std::exchange(Sent->Connection, nullptr));
  std::erase(Legs, Sent);
  if (Rejected)
    return rejected(Sent, Answer);
  if (Answer.Status < 500) {
    Context.Targets.answered(*Sent->Target, Latency);
    if (Key)
      Context.RespondingOwners.insert(Sent->Target->Record.Id);
  } else {
    Sent->Target->Load.failed();
    if (Idempotent && !Key && mayRepeat(Now)) {
      Context.Count.add(RetryReason::ConnectionLost);
      return Legs.empty() ? place() : void();
    }
  }
  forward(*Sent, std::move(Answer));
}

auto RequestFlow::rejected(const LegPtr &Sent, const TargetResponse &Answer)
    -> void {
  --MayHave;
  ++Rejections;
  const bool Misdirected = Answer.Status == 421;
  if (Key)
    NotBefore = bootNow() + OwnerPause;
  else
    Sent->Target->Load.failed();
  if (!Legs.empty())
    return;
  if (Rejections >= MaxRejections ||
      !Context.retries(Service).tryTake(
          Context.Targets.fleetSize().estimatedInstances(), bootNow()))
    return refuse(Misdirected ? RefusalReason::NoOwner
                              : RefusalReason::TargetShed);
  Context.Count.add(Misdirected ? RetryReason::RefusedNoLease
                                : RetryReason::RefusedShed);
  place();
}

auto RequestFlow::lost(const LegPtr &Sent, ExchangeResult End) -> void {
  Sent->Target->Load.failed();
  // The other kept connections have probably ended too.
  if (End == ExchangeResult::Lost && Sent->Reused)
    Context.Pool.forget(Sent->Target->Record.Id);
  endLeg(Sent);
  if (!Legs.empty())
    return;
  if (Idempotent && mayRepeat(bootNow())) {
    Context.Count.add(RetryReason::ConnectionLost);
    return place();
  }
  refuse(RefusalReason::ConnectionLost);
}

auto RequestFlow::committed() const -> std::uint32_t {
  return MayHave + static_cast<std::uint32_t>(std::count_if(
                       Legs.begin(), Legs.end(), [](const LegPtr &Sent) {
                         return Sent->SentAt == LongAgo;
                       }));
}

auto RequestFlow::mayRepeat(TimePoint Now) -> bool {
  return committed() < Route->MaxAttempts && Now < EndAt &&
         Context.retries(Service).tryTake(
             Context.Targets.fleetSize().estimatedInstances(), Now);
}

auto RequestFlow::endLeg(const LegPtr &Sent) -> void {
  std::erase(Legs, Sent);
  const Duration Elapsed =
      Sent->SentAt == LongAgo ? Duration(0) : bootNow() - Sent->SentAt;
  Sent->Target->Load.abandoned(Elapsed, Sent->QueueAtSend,
                               Sent->Target->Record.Slots);
  if (Sent->Connection)
    std::exchange(Sent->Connection, nullptr)->close();
}

auto RequestFlow::dropLegs() -> void {
  while (!Legs.empty())
    endLeg(Legs.back());
}

auto RequestFlow::forward(const Leg & /*Sent*/, TargetResponse Answer) -> void {
  const HeaderNames &Names = Context.Protocol.Headers;
  CallerAnswer Out;
  Out.Status = Answer.Status;
  Out.Body = std::move(Answer.Body);
  const std::string Connection = connectionOptions(Answer.Fields);
  for (const auto &[Name, Value] : Answer.Fields)
    if (!isHopByHop(Name, Connection) && !sameHeaderName(Name, Names.Load) &&
        !sameHeaderName(Name, Names.TargetName) &&
        !sameHeaderName(Name, Names.ColdTime))
      Out.Fields.add(Name, Value);
  Context.Count.add(RequestOutcome::Answered);
  Context.Latency.record(bootNow() - Request.ReceivedAt);
  const bool Good = Out.Status < 500;
  finish(std::move(Out), Good ? EventClass::Served : EventClass::Failure,
         "answered", Good ? "" : "target-failed");
}

auto RequestFlow::timeout() -> void {
  for (const LegPtr &Sent : Legs)
    if (Sent->SentAt != LongAgo)
      Sent->Target->Load.failed();
  refuse(RefusalReason::DeadlineExceeded);
}

auto RequestFlow::refuse(RefusalReason Reason) -> void {
  const bool MayHaveRun = MayHave > 0;
  Context.Count.add(Reason);
  Context.Count.add(MayHaveRun ? RequestOutcome::RefusedUnknown
                               : RequestOutcome::RefusedNotRun);
  CallerAnswer Out;
  Out.Status = refusalStatus(Reason, MayHaveRun ? RunStatus::Unknown
                                                : RunStatus::NotRun);
  if (!RequestId.empty())
    Out.Fields.add(Context.Protocol.Headers.RequestId, RequestId);
  Out.Fields.add("Btr-Refusal", std::string(RefusalReasonNames.name(Reason)));
  Out.Fields.add("Btr-Run",
                 std::string(RunStatusNames.name(
                     MayHaveRun ? RunStatus::Unknown : RunStatus::NotRun)));
  if (Out.Status == 503 || Out.Status == 429) {
    const Duration Wait =
        Reason == RefusalReason::OverRate
            ? Context.Rates.retryAfter(Workspace)
            : retryAfter(Reason, Route ? Route->TargetLatency
                                       : std::chrono::seconds(1));
    Out.Fields.add("Retry-After", secondsText(Wait));
  }
  finish(std::move(Out), EventClass::Failure, "refused",
         RefusalReasonNames.name(Reason));
}

auto RequestFlow::finish(CallerAnswer Answer, EventClass Class,
                         std::string_view Outcome, std::string_view Reason)
    -> void {
  if (std::exchange(Done, true))
    return;
  const auto Self = shared_from_this();
  stopWaiting();
  EndTimer.cancel();
  HedgeTimer.cancel();
  log(Class, Answer.Status, Outcome, Reason);
  dropLegs();
  Session->answer(Number, std::move(Answer));
  Session.reset();
  std::exchange(Ended, nullptr)();
  Context.WaitingRequests.dispatch();
}

auto RequestFlow::callerLeft() -> void {
  if (Done)
    return;
  Context.Count.add(RequestOutcome::CallerLeft);
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
      .field("may_have_run", MayHave)
      .field("waiting", Context.WaitingRequests.size())
      .field("config", Config ? Config->Config.Generation : 0);
  if (const TargetPtr Target = Context.Targets.find(LastTarget))
    Line.field("target_queue", Target->Load.queue(Now))
        .field("target_failures", Target->Load.failureShare())
        .field("target_cold", Target->cold(Now));
  if (Key) {
    const auto View = Context.Ranges.find(Service);
    Line.field("key", *Key)
        .field("ranges",
               View == Context.Ranges.end() ? 0 : View->second.Revision);
  }
  Context.Events.write(Line);
}

} // namespace buckthornring
