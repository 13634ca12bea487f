#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <utility>

namespace buckthornring {

/// Requests that wait for a target, the most urgent first.
class WaitQueue {
public:
  using Ticket = std::uint64_t;
  /// Tries to place the request. Returns whether it no longer waits.
  using Attempt = std::function<bool()>;

  auto add(const ServiceId &Service, std::uint32_t Priority, Attempt Try)
      -> Ticket {
    const Ticket Number = ++LastTicket;
    Waiting.emplace(Key{Service, Priority, Number}, std::move(Try));
    return Number;
  }

  auto remove(const ServiceId &Service, std::uint32_t Priority, Ticket Number)
      -> void {
    Waiting.erase(Key{Service, Priority, Number});
  }

  /// Tries the waiting requests in order.
  auto dispatch() -> void {
    if (std::exchange(Serving, true))
      return;
    for (auto Next = Waiting.begin(); Next != Waiting.end();) {
      const Key Current = Next->first;
      const Attempt Try = Next->second;
      if (Try())
        Waiting.erase(Current);
      Next = Waiting.upper_bound(Current);
    }
    Serving = false;
  }

  auto empty() const -> bool { return Waiting.empty(); }
  auto size() const -> std::size_t { return Waiting.size(); }

private:
  using Key = std::tuple<ServiceId, std::uint32_t, Ticket>;

  std::map<Key, Attempt> Waiting;
  Ticket LastTicket = 0;
  bool Serving = false;
};

} // namespace buckthornring
