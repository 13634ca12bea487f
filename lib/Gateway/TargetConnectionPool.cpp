#include "Gateway/TargetConnectionPool.h"

#include "IO/BootClock.h"
#include "IO/Endpoint.h"

#include <boost/asio/post.hpp>

namespace buckthornring {

namespace {

/// Targets accept a connection within a few milliseconds; a lost first packet
/// is retransmitted only after a second.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);

/// Idle time after which a connection is closed if the target has not announced
/// a shorter time. Below the usual idle time-outs of servers.
constexpr Duration MaxIdlePeriod = std::chrono::seconds(8);

/// Time before the end of the idle time at which a connection is no longer
/// used, to allow for the transit of the request.
constexpr Duration IdleMargin = std::chrono::milliseconds(700);

auto idleEnd(const TargetConnection &Connection) -> TimePoint {
  const Duration Announced = Connection.idleLimit();
  const Duration Limit = Announced > Duration(0)
                             ? std::min(Announced, MaxIdlePeriod)
                             : MaxIdlePeriod;
  return Connection.IdleSince + Limit - IdleMargin;
}

} // namespace

auto TargetConnectionPool::poolKey(const TargetRecord &Target) -> std::string {
  return Target.Id.str() + "@" + std::to_string(Target.StartedAtMs);
}

auto TargetConnectionPool::acquire(const TargetRecord &Target,
                                   const Needs &Required, Handler Done)
    -> void {
  const TimePoint Now = bootNow();
  auto &Connections = Idle[poolKey(Target)];
  while (!Required.Fresh && !Connections.empty()) {
    const ConnectionPtr Candidate = std::move(Connections.back());
    Connections.pop_back();
    if (Now < idleEnd(*Candidate) &&
        Now - Candidate->IdleSince <= Required.MaxIdle &&
        !Candidate->hasRejected(Required.RequestId) &&
        !Candidate->brokenWhileIdle())
      return Done(Candidate, false);
    Candidate->close();
  }
  const auto Endpoint = parseEndpoint(Target.Address);
  if (!Endpoint)
    return Done(nullptr, true);
  ++Opened;
  auto Fresh = std::make_shared<TargetConnection>(Executor, Budget, Memory);
  Fresh->connect(*Endpoint, ConnectTimeout, {Required.AwaitReset, true},
                 [Fresh, Done = std::move(Done)](bool Success) {
                   if (!Success)
                     Fresh->close();
                   Done(Success ? Fresh : nullptr, true);
                 });
}

auto TargetConnectionPool::release(const TargetRecord &Target,
                                   const ConnectionPtr &Connection) -> void {
  if (!Connection->reusable())
    return Connection->close();
  Connection->IdleSince = bootNow();
  Idle[poolKey(Target)].push_back(Connection);
}

auto TargetConnectionPool::closeConnections(const TargetId &Target) -> void {
  std::erase_if(Idle, [&Target](auto &Entry) {
    const auto Mark = Entry.first.rfind('@');
    if (Entry.first.compare(0, Mark, Target.str()) != 0)
      return false;
    for (const ConnectionPtr &Connection : Entry.second)
      Connection->close();
    return true;
  });
}

auto TargetConnectionPool::closeExpired(TimePoint Now) -> void {
  for (auto &[Name, Connections] : Idle)
    std::erase_if(Connections, [Now](const ConnectionPtr &Connection) {
      if (Now < idleEnd(*Connection))
        return false;
      Connection->close();
      return true;
    });
  std::erase_if(Idle, [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace buckthornring
