#include "Entry/TrafficThread.h"

#include "Entry/CallerConnection.h"
#include "buckthornring/IO/HttpClient.h"

#include <boost/asio/post.hpp>

#include <cstdio>
#include <random>

namespace buckthornring {

namespace asio = boost::asio;

namespace {

constexpr auto TickInterval = std::chrono::seconds(1);
constexpr auto CancelTime = std::chrono::seconds(1);

} // namespace

TrafficThread::TrafficThread(std::size_t Number, TrafficOptions Settings)
    : Number(Number), Settings(std::move(Settings)),
      Work(asio::make_work_guard(Io)), Timer(Io),
      Pool(Io.get_executor(), this->Settings.Pool),
      Random((std::uint64_t{std::random_device()()} << 32U) ^ Number) {}

TrafficThread::~TrafficThread() { stop(); }

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
    Snapshot = std::move(Next);
    // A changed connection may end and leave the set.
    const auto Open = Connections;
    for (const auto &Connection : Open)
      Connection->snapshotChanged();
  });
}

auto TrafficThread::adopt(asio::ip::tcp::socket Socket) -> void {
  ++OpenConnections;
  auto Shared = std::make_shared<asio::ip::tcp::socket>(std::move(Socket));
  asio::post(Io, [this, Shared] {
    auto Connection =
        std::make_shared<CallerConnection>(*this, std::move(*Shared));
    Connections.insert(Connection);
    Counters.add(EntryEvent::CallerConnected);
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

auto TrafficThread::tick() -> void {
  Timer.expires_after(TickInterval);
  Timer.async_wait([this](const boost::system::error_code &Failure) {
    if (Failure)
      return;
    Pool.closeIdle(monotonicNow());
    tick();
  });
}

auto TrafficThread::retryBudget(const WorkspaceId &Workspace) -> RetryBudget & {
  return Budgets[Workspace];
}

auto TrafficThread::nextRequestId() -> std::string {
  // The random part keeps identifiers apart after a restart of the instance.
  std::array<char, 48> Tail{};
  std::snprintf(Tail.data(), Tail.size(), "-%zu-%llx-%08x", Number,
                static_cast<unsigned long long>(++RequestCount),
                static_cast<unsigned>(Random.next()));
  return Settings.InstanceName + Tail.data();
}

auto TrafficThread::inFlight(const TargetId &Target) const -> std::uint32_t {
  const auto Place = InFlight.find(Target);
  return Place == InFlight.end() ? 0 : Place->second;
}

auto TrafficThread::attemptStarted(const AttemptJob &Job) -> void {
  ++InFlight[Job.Target];
  Counters.add(EntryEvent::Attempt);
}

auto TrafficThread::attemptEnded(const AttemptJob &Job, TimePoint /*SentAt*/,
                                 const AttemptOutcome & /*Outcome*/) -> void {
  --InFlight[Job.Target];
}

auto TrafficThread::cancelAtTarget(const std::string &Address,
                                   const std::string &RequestId) -> void {
  auto &Client = Controls[Address];
  if (!Client) {
    auto Created = HttpClient::create(Io, Address);
    if (!Created)
      return;
    Client = std::move(Created).value();
  }
  Counters.add(EntryEvent::CancelSent);
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
