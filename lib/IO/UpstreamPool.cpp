#include "IO/UpstreamPool.h"

#include "IO/Endpoint.h"
#include "IO/SteadyTime.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace buckthornring {

namespace asio = boost::asio;

UpstreamPool::UpstreamPool(asio::any_io_executor Executor, Options Settings)
    : Executor(std::move(Executor)), Settings(Settings),
      Policy(Settings.Policy) {}

auto UpstreamPool::acquire(const ConnectionRequest &Request, Handler Done)
    -> Ticket {
  const Ticket Id = ++LastTicket;
  Targets[Request.Address].Waiting.push_back({Id, Request, std::move(Done)});
  serveWaiting(Request.Address);
  return Id;
}

auto UpstreamPool::cancel(const std::string &Address, Ticket Id) -> void {
  const auto Found = Targets.find(Address);
  if (Found == Targets.end())
    return;
  std::erase_if(Found->second.Waiting,
                [Id](const Waiter &Entry) { return Entry.Id == Id; });
}

auto UpstreamPool::removeIdle(TargetConnections &Target, std::size_t Index)
    -> ConnectionPtr {
  const auto Offset = static_cast<std::ptrdiff_t>(Index);
  ConnectionPtr Connection = std::move(Target.Idle[Index]);
  Target.Idle.erase(Target.Idle.begin() + Offset);
  Target.IdleStates.erase(Target.IdleStates.begin() + Offset);
  return Connection;
}

auto UpstreamPool::takeIdle(TargetConnections &Target, bool Idempotent)
    -> ConnectionPtr {
  while (true) {
    const auto Index =
        Policy.choose(Target.IdleStates, Idempotent, steadyNow());
    if (!Index)
      return nullptr;
    ConnectionPtr Connection = removeIdle(Target, *Index);
    if (!Connection->brokenWhileIdle())
      return Connection;
    Connection->close();
    --Target.Open;
    --Counters.Open;
  }
}

auto UpstreamPool::serveWaiting(const std::string &Address) -> void {
  TargetConnections &Target = Targets[Address];
  while (!Target.Waiting.empty()) {
    Waiter &Next = Target.Waiting.front();
    ConnectionPtr Connection = takeIdle(Target, Next.Request.Idempotent);
    if (!Connection)
      break;
    ++Counters.Reused;
    Waiter Served = std::move(Next);
    Target.Waiting.pop_front();
    deliver(std::move(Served), std::move(Connection));
  }
  if (Target.Waiting.empty() || Target.Connecting)
    return;
  if (Target.Open >= Target.Waiting.front().Request.Limit) {
    // The connection limit is reached. An idle connection that the waiting
    // request may not use, since it may be unresponsive, is closed to open a
    // new one.
    if (Target.Idle.empty())
      return;
    removeIdle(Target, 0)->close();
    --Target.Open;
    --Counters.Open;
    ++Counters.ClosedIdle;
  }
  startConnecting(Address, Target);
}

auto UpstreamPool::startConnecting(const std::string &Address,
                                   TargetConnections &Target) -> void {
  Target.Connecting = true;
  ++Target.Open;
  ++Counters.Open;
  auto Connection = std::make_shared<UpstreamConnection>(Executor);
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint) {
    asio::post(Executor, [this, Address, Connection] {
      connected(Address, Connection, false);
    });
    return;
  }
  Connection->connect(*Endpoint, Settings.ConnectTimeout,
                      [this, Address, Connection](bool Success) {
                        connected(Address, Connection, Success);
                      });
}

auto UpstreamPool::connected(const std::string &Address,
                             const ConnectionPtr &Connection, bool Success)
    -> void {
  TargetConnections &Target = Targets[Address];
  Target.Connecting = false;
  if (Success) {
    ++Counters.Opened;
    Target.Idle.push_back(Connection);
    Target.IdleStates.push_back({steadyNow(), false});
    return serveWaiting(Address);
  }
  ++Counters.OpenFailed;
  Connection->close();
  --Target.Open;
  --Counters.Open;
  // Otherwise each waiting request would wait in turn for its own failed
  // connection attempt.
  std::deque<Waiter> Failed = std::move(Target.Waiting);
  Target.Waiting.clear();
  for (Waiter &Entry : Failed)
    deliver(std::move(Entry), nullptr);
}

auto UpstreamPool::deliver(Waiter Next, ConnectionPtr Connection) -> void {
  asio::post(Executor, [Done = std::move(Next.Done),
                        Connection = std::move(Connection)]() mutable {
    Done(std::move(Connection));
  });
}

auto UpstreamPool::release(const std::string &Address,
                           const ConnectionPtr &Connection) -> void {
  if (!Connection->open() || !Connection->keepAlive())
    return discard(Address, Connection);
  TargetConnections &Target = Targets[Address];
  Target.Idle.push_back(Connection);
  Target.IdleStates.push_back({steadyNow(), false});
  serveWaiting(Address);
}

auto UpstreamPool::discard(const std::string &Address,
                           const ConnectionPtr &Connection) -> void {
  Connection->close();
  TargetConnections &Target = Targets[Address];
  --Target.Open;
  --Counters.Open;
  serveWaiting(Address);
}

auto UpstreamPool::closeIdle(TimePoint Now) -> void {
  for (auto &[Address, Target] : Targets)
    for (std::size_t Index = Target.Idle.size(); Index-- > 0;) {
      if (!Policy.mustClose(Target.IdleStates[Index], Now) &&
          !Target.Idle[Index]->brokenWhileIdle())
        continue;
      removeIdle(Target, Index)->close();
      --Target.Open;
      --Counters.Open;
      ++Counters.ClosedIdle;
    }
}

auto UpstreamPool::closeAll() -> void {
  for (auto &[Address, Target] : Targets) {
    for (const ConnectionPtr &Connection : Target.Idle)
      Connection->close();
    Target.Open -= Target.Idle.size();
    Counters.Open -= Target.Idle.size();
    Target.Idle.clear();
    Target.IdleStates.clear();
  }
}

} // namespace buckthornring
