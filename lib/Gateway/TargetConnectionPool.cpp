#include "Gateway/TargetConnectionPool.h"

#include "IO/BootClock.h"
#include "IO/Endpoint.h"

#include <boost/asio/post.hpp>

namespace buckthornring {

namespace {

/// Targets answer a connection attempt within a few milliseconds; a lost first
/// packet is only sent again after a second.
constexpr Duration ConnectLimit = std::chrono::milliseconds(250);

/// Idleness after which a connection is closed when the target has not told a
/// shorter time. Below the usual limits of servers.
constexpr Duration LongestIdle = std::chrono::seconds(8);

/// Time before the target's own limit at which a connection is no longer used,
/// for the way of the request.
constexpr Duration IdleMargin = std::chrono::milliseconds(700);

auto idleEnd(const TargetConnection &Connection) -> TimePoint {
  const Duration Told = Connection.idleLimit();
  const Duration Limit =
      Told > Duration(0) ? std::min(Told, LongestIdle) : LongestIdle;
  return Connection.IdleSince + Limit - IdleMargin;
}

} // namespace

auto TargetPool::poolKey(const TargetRecord &Target) -> std::string {
  return Target.Id.str() + "@" + std::to_string(Target.StartedAtMs);
}

auto TargetPool::acquire(const TargetRecord &Target, Duration MaxIdle,
                         Handler Done) -> void {
  const TimePoint Now = bootNow();
  auto &Kept = Idle[poolKey(Target)];
  while (!Kept.empty()) {
    const ConnectionPtr Last = std::move(Kept.back());
    Kept.pop_back();
    if (Now < idleEnd(*Last) && Now - Last->IdleSince <= MaxIdle &&
        !Last->brokenWhileIdle())
      return Done(Last, false);
    Last->close();
  }
  const auto Endpoint = parseEndpoint(Target.Address);
  if (!Endpoint)
    return Done(nullptr, true);
  ++Opened;
  auto Fresh = std::make_shared<TargetConnection>(Executor);
  Fresh->connect(*Endpoint, ConnectLimit,
                 [Fresh, Done = std::move(Done)](bool Success) {
                   if (!Success)
                     Fresh->close();
                   Done(Success ? Fresh : nullptr, true);
                 });
}

auto TargetPool::release(const TargetRecord &Target,
                         const ConnectionPtr &Connection) -> void {
  if (!Connection->reusable())
    return Connection->close();
  Connection->IdleSince = bootNow();
  Idle[poolKey(Target)].push_back(Connection);
}

auto TargetPool::forget(const TargetId &Target) -> void {
  std::erase_if(Idle, [&Target](auto &Entry) {
    const auto Mark = Entry.first.rfind('@');
    if (Entry.first.compare(0, Mark, Target.str()) != 0)
      return false;
    for (const ConnectionPtr &Connection : Entry.second)
      Connection->close();
    return true;
  });
}

auto TargetPool::closeIdle(TimePoint Now) -> void {
  for (auto &[Name, Kept] : Idle)
    std::erase_if(Kept, [Now](const ConnectionPtr &Connection) {
      if (Now < idleEnd(*Connection))
        return false;
      Connection->close();
      return true;
    });
  std::erase_if(Idle, [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace buckthornring
