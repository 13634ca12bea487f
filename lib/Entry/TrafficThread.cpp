#include "Entry/TrafficThread.h"

#include "Entry/CallerConnection.h"
#include "IO/SteadyTime.h"
#include "buckthornring/IO/HttpClient.h"

#include <boost/asio/post.hpp>

#include <cstdio>
#include <random>
#include <utility>

namespace buckthornring {

namespace asio = boost::asio;

namespace {

/// Waiting requests are served at this interval even when a wake-up was
/// missed; an idle thread needs only the slower one.
constexpr auto BusyTick = std::chrono::milliseconds(5);
constexpr auto IdleTick = std::chrono::milliseconds(20);
constexpr Duration StatsInterval = std::chrono::milliseconds(100);
constexpr Duration IdleInterval = std::chrono::seconds(1);
constexpr auto CancelTime = std::chrono::seconds(1);

} // namespace

TrafficThread::TrafficThread(std::size_t Number, TrafficOptions Given,
                             const TrafficShared &Shared)
    : Number(Number), Settings(std::move(Given)), Shared(Shared),
      Work(asio::make_work_guard(Io)), Timer(Io),
      Pool(Io.get_executor(), Settings.Pool),
      Random((std::uint64_t{std::random_device()()} << 32U) ^ Number),
      Slots(Number, Stats, Random, Shared.Wake),
      Rates(holderName(), Shared.Shares), Stripe(Shared.Totals.stripe(Number)) {
}

TrafficThread::~TrafficThread() { stop(); }

auto TrafficThread::holderName() const -> std::string {
  return Settings.InstanceName + "/" + std::to_string(Number);
}

auto TrafficThread::start() -> void {
  tick();
  Thread = std::thread([this] { Io.run(); });
}

auto TrafficThread::stop() -> void {
  if (!Thread.joinable())
    return;
  Io.stop();
  Thread.join();
}

auto TrafficThread::publish(std::shared_ptr<const RoutingSnapshot> Next)
    -> void {
  asio::post(Io, [this, Next = std::move(Next)]() mutable {
    takeSnapshot(std::move(Next));
  });
}

auto TrafficThread::takeSnapshot(std::shared_ptr<const RoutingSnapshot> Next)
    -> void {
  Snapshot = std::move(Next);
  Stats.setSnapshot(*Snapshot);
  Rates.setSnapshot(*Snapshot, steadyNow());
  Slots.setSnapshot(Snapshot);
  // A changed connection may end and leave the set.
  const auto Open = Connections;
  for (const auto &Connection : Open)
    Connection->snapshotChanged();
}

auto TrafficThread::adopt(asio::ip::tcp::socket Socket) -> void {
  ++OpenConnections;
  auto Taken = std::make_shared<asio::ip::tcp::socket>(std::move(Socket));
  asio::post(Io, [this, Taken] {
    auto Connection =
        std::make_shared<CallerConnection>(*this, std::move(*Taken));
    Connections.insert(Connection);
    Events.add(EntryEvent::CallerConnected);
    Connection->start();
  });
}

auto TrafficThread::connectionEnded(
    const std::shared_ptr<CallerConnection> &Connection) -> void {
  if (Connections.erase(Connection) == 0)
    return;
  --OpenConnections;
  checkDrained();
}

auto TrafficThread::shutDown(std::function<void()> Done) -> void {
  asio::post(Io, [this, Done = std::move(Done)]() mutable {
    ShuttingDown = true;
    Drained = std::move(Done);
    const auto Open = Connections;
    for (const auto &Connection : Open)
      Connection->shutDown();
    checkDrained();
  });
}

auto TrafficThread::checkDrained() -> void {
  if (!ShuttingDown || !Connections.empty() || !Drained)
    return;
  Pool.closeAll();
  std::exchange(Drained, nullptr)();
}

auto TrafficThread::followShares(std::uint64_t Term) -> void {
  asio::post(Io, [this, Term] { Rates.follow(Term); });
}

auto TrafficThread::applyGrant(const std::string &Quantity,
                               const ShareGrant &Grant) -> void {
  asio::post(Io, [this, Quantity, Grant] {
    Rates.apply(Quantity, Grant, steadyNow());
  });
}

auto TrafficThread::wake(const ServiceId &Service) -> void {
  asio::post(Io, [this, Service] { Slots.serve(Service); });
}

auto TrafficThread::tick() -> void {
  const bool Busy = Rates.waiting() || Slots.waiting() > 0;
  Timer.expires_after(Busy ? BusyTick : IdleTick);
  Timer.async_wait([this](const boost::system::error_code &Failure) {
    if (Failure)
      return;
    const TimePoint Now = steadyNow();
    Rates.tick(Now);
    Slots.serveAll();
    endSlices(Now);
    tickStats(Now);
    tick();
  });
}

auto TrafficThread::tickStats(TimePoint Now) -> void {
  if (Now >= StatsDue) {
    StatsDue = Now + StatsInterval;
    const std::size_t Ejected = Stats.evaluate(Now);
    if (Ejected != Events.ejected())
      Journal.warning("thread " + std::to_string(Number) + " has " +
                      std::to_string(Ejected) + " ejected targets");
    Events.setEjected(Ejected);
  }
  if (Now >= IdleDue) {
    IdleDue = Now + IdleInterval;
    Pool.closeIdle(Now);
  }
}

auto TrafficThread::retryBudget(const WorkspaceId &Workspace) -> RetryBudget & {
  return Budgets[Workspace];
}

auto TrafficThread::hedges(const ServiceId &Service) -> HedgePolicy & {
  return Hedges[Service];
}

auto TrafficThread::nextRequestId() -> std::string {
  // The random part keeps identifiers apart after a restart of the instance.
  std::array<char, 48> Tail{};
  std::snprintf(Tail.data(), Tail.size(), "-%zu-%llx-%08x", Number,
                static_cast<unsigned long long>(++RequestCount),
                static_cast<unsigned>(Random.next()));
  return Settings.InstanceName + Tail.data();
}

auto TrafficThread::attemptStarted(const AttemptJob &Job) -> std::uint64_t {
  Events.add(EntryEvent::Attempt);
  return Stats.started(Job.Service, Job.Place.Target, steadyNow());
}

auto TrafficThread::attemptEnded(const AttemptJob &Job, std::uint64_t Attempt,
                                 TargetStats::End How,
                                 std::optional<Duration> Latency) -> void {
  Stats.ended(Attempt, How, Latency, steadyNow());
  Slots.release(Job.Service, *Job.Place.Gate);
}

auto TrafficThread::mayStillSend(const AttemptJob &Job) const -> bool {
  const auto Newest = Shared.Published.version() == Snapshot->Version
                          ? Snapshot
                          : Shared.Published.latest();
  const ServiceView *Service = Newest->service(Job.Service);
  const SliceOwner *Owner = Service ? Service->owner(*Job.Slice) : nullptr;
  if (!Owner || Owner->Current != *Job.Place.Slice ||
      Service->Targets[Owner->Target].Id != Job.Place.Target)
    return false;
  // A verified target checks its own lease; for others the routing lease is
  // the only guard, also after this process was paused.
  return !Service->InFlight ||
         Service->Config->Verification == TargetVerification::Verified ||
         steadyNow() < Shared.Published.leaseEnd();
}

auto TrafficThread::beginSlice(const AttemptJob &Job,
                               std::shared_ptr<InFlightTable> &Counted)
    -> bool {
  if (!Job.Slice)
    return true;
  const ServiceView *Service = Snapshot->service(Job.Service);
  if (!Service)
    return false;
  // Counted first, checked second; see InFlightTable.
  if (Service->InFlight)
    Service->InFlight->begin(*Job.Slice);
  if (mayStillSend(Job)) {
    Counted = Service->InFlight;
    return true;
  }
  if (Service->InFlight)
    Service->InFlight->end(*Job.Slice);
  return false;
}

auto TrafficThread::endSlice(const AttemptJob &Job,
                             const std::shared_ptr<InFlightTable> &Counted,
                             bool MayStillRun) -> void {
  if (!MayStillRun)
    return Counted->end(*Job.Slice);
  const ServiceView *Service = Snapshot->service(Job.Service);
  const Duration Longest =
      Service ? Service->Config->MaxDeadline : ServiceConfig().MaxDeadline;
  SliceEnds.push_back({steadyNow() + Longest, Counted, *Job.Slice});
}

auto TrafficThread::endSlices(TimePoint Now) -> void {
  std::erase_if(SliceEnds, [&](const SliceEnd &Each) {
    if (Now < Each.At)
      return false;
    Each.Table->end(Each.Slice);
    return true;
  });
}

auto TrafficThread::cancelAtTarget(const std::string &Address,
                                   const std::string &RequestId) -> void {
  auto &Client = Controls[Address];
  if (!Client) {
    auto Created = HttpClient::create(Io, Address, Unreadable.clientOptions());
    if (!Created)
      return;
    Client = std::move(Created).value();
  }
  Events.add(EntryEvent::CancelSent);
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = "/control/cancel";
  Request.Body = R"({"request_id":")" + RequestId + R"("})";
  HttpCallOptions Options;
  Options.TimeLimit = CancelTime;
  Client->request(std::move(Request), std::move(Options),
                  [](const HttpOutcome &) {});
}

} // namespace buckthornring
