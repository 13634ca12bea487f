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

auto UpstreamPool::acquire(const Wish &Wanted, Handler Done) -> Ticket {
  const Ticket Number = ++LastTicket;
  Peers[Wanted.Address].Waiting.push_back({Number, Wanted, std::move(Done)});
  serve(Wanted.Address);
  return Number;
}

auto UpstreamPool::cancel(const std::string &Address, Ticket Number) -> void {
  const auto Place = Peers.find(Address);
  if (Place == Peers.end())
    return;
  std::erase_if(Place->second.Waiting, [Number](const Waiter &Entry) {
    return Entry.Number == Number;
  });
}

auto UpstreamPool::removeIdle(Peer &From, std::size_t Index) -> ConnectionPtr {
  const auto Offset = static_cast<std::ptrdiff_t>(Index);
  ConnectionPtr Connection = std::move(From.Idle[Index]);
  From.Idle.erase(From.Idle.begin() + Offset);
  From.IdleStates.erase(From.IdleStates.begin() + Offset);
  return Connection;
}

auto UpstreamPool::takeIdle(Peer &To, bool Idempotent) -> ConnectionPtr {
  while (true) {
    const auto Index = Policy.choose(To.IdleStates, Idempotent, steadyNow());
    if (!Index)
      return nullptr;
    ConnectionPtr Connection = removeIdle(To, *Index);
    if (!Connection->brokenWhileIdle())
      return Connection;
    Connection->close();
    --To.Open;
    --Count.Open;
  }
}

auto UpstreamPool::serve(const std::string &Address) -> void {
  Peer &To = Peers[Address];
  while (!To.Waiting.empty()) {
    Waiter &Next = To.Waiting.front();
    ConnectionPtr Connection = takeIdle(To, Next.Wanted.Idempotent);
    if (!Connection)
      break;
    ++Count.Reused;
    Waiter Served = std::move(Next);
    To.Waiting.pop_front();
    hand(std::move(Served), std::move(Connection));
  }
  if (To.Waiting.empty() || To.Connecting)
    return;
  if (To.Open >= To.Waiting.front().Wanted.Limit) {
    // All places are taken. One that may have gone silent is given up for the
    // waiting request, which was not allowed to use it.
    if (To.Idle.empty())
      return;
    removeIdle(To, 0)->close();
    --To.Open;
    --Count.Open;
    ++Count.ClosedIdle;
  }
  startConnecting(Address, To);
}

auto UpstreamPool::startConnecting(const std::string &Address, Peer &To)
    -> void {
  To.Connecting = true;
  ++To.Open;
  ++Count.Open;
  auto Connection = std::make_shared<UpstreamConnection>(Executor);
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint) {
    asio::post(Executor, [this, Address, Connection] {
      connected(Address, Connection, false);
    });
    return;
  }
  Connection->connect(*Endpoint, Settings.ConnectTime,
                      [this, Address, Connection](bool Success) {
                        connected(Address, Connection, Success);
                      });
}

auto UpstreamPool::connected(const std::string &Address,
                             const ConnectionPtr &Connection, bool Success)
    -> void {
  Peer &To = Peers[Address];
  To.Connecting = false;
  if (Success) {
    ++Count.Opened;
    To.Idle.push_back(Connection);
    To.IdleStates.push_back({steadyNow(), false});
    return serve(Address);
  }
  ++Count.OpenFailed;
  Connection->close();
  --To.Open;
  --Count.Open;
  // Each waiting request would otherwise wait for its own failure in turn.
  std::deque<Waiter> Failed = std::move(To.Waiting);
  To.Waiting.clear();
  for (Waiter &Entry : Failed)
    hand(std::move(Entry), nullptr);
}

auto UpstreamPool::hand(Waiter Next, ConnectionPtr Connection) -> void {
  asio::post(Executor, [Done = std::move(Next.Done),
                        Connection = std::move(Connection)]() mutable {
    Done(std::move(Connection));
  });
}

auto UpstreamPool::release(const std::string &Address,
                           const ConnectionPtr &Connection) -> void {
  if (!Connection->open() || !Connection->keepAlive())
    return discard(Address, Connection);
  Peer &To = Peers[Address];
  To.Idle.push_back(Connection);
  To.IdleStates.push_back({steadyNow(), false});
  serve(Address);
}

auto UpstreamPool::discard(const std::string &Address,
                           const ConnectionPtr &Connection) -> void {
  Connection->close();
  Peer &To = Peers[Address];
  --To.Open;
  --Count.Open;
  serve(Address);
}

auto UpstreamPool::closeIdle(TimePoint Now) -> void {
  for (auto &[Address, To] : Peers)
    for (std::size_t Index = To.Idle.size(); Index-- > 0;) {
      if (!Policy.mustClose(To.IdleStates[Index], Now) &&
          !To.Idle[Index]->brokenWhileIdle())
        continue;
      removeIdle(To, Index)->close();
      --To.Open;
      --Count.Open;
      ++Count.ClosedIdle;
    }
}

auto UpstreamPool::closeAll() -> void {
  for (auto &[Address, To] : Peers) {
    for (const ConnectionPtr &Connection : To.Idle)
      Connection->close();
    To.Open -= To.Idle.size();
    Count.Open -= To.Idle.size();
    To.Idle.clear();
    To.IdleStates.clear();
  }
}

} // namespace buckthornring
