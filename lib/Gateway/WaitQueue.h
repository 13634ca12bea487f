#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <utility>

namespace buckthornring {

/// Requests that wait for a target. Within a service, lower priority numbers
/// come first, then earlier arrivals.
class WaitQueue {
public:
  using Ticket = std::uint64_t;
  /// Tries to send the request. Returns whether it no longer waits.
  using TryDispatch = std::function<bool()>;

  auto add(const ServiceId &Service, std::uint32_t Priority, TryDispatch Try)
      -> Ticket {
    const Ticket Number = ++LastTicket;
    Entries.emplace(Key{Service, Priority, Number}, std::move(Try));
    return Number;
  }

  auto remove(const ServiceId &Service, std::uint32_t Priority, Ticket Number)
      -> void {
    Entries.erase(Key{Service, Priority, Number});
  }

  /// Tries to send the waiting requests in order.
  auto dispatch() -> void {
    if (std::exchange(Dispatching, true))
      return;
    for (auto Next = Entries.begin(); Next != Entries.end();) {
      const Key Current = Next->first;
      const TryDispatch Try = Next->second;
      if (Try())
        Entries.erase(Current);
      Next = Entries.upper_bound(Current);
    }
    Dispatching = false;
  }

  auto empty() const -> bool { return Entries.empty(); }
  auto size() const -> std::size_t { return Entries.size(); }
  /// Whether requests of the service wait.
  auto waiting(const ServiceId &Service) const -> bool {
    const auto First = Entries.lower_bound(Key{Service, 0, 0});
    return First != Entries.end() && std::get<0>(First->first) == Service;
  }

private:
  using Key = std::tuple<ServiceId, std::uint32_t, Ticket>;

  std::map<Key, TryDispatch> Entries;
  Ticket LastTicket = 0;
  bool Dispatching = false;
};

} // namespace buckthornring
