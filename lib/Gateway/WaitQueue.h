#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace buckthornring {

/// Requests that wait for a target. Within a service, lower priority numbers
/// come first, then earlier arrivals. After MaxPassed requests that went before
/// less urgent ones, the longest waiting of these is tried first, so that no
/// priority waits without end.
class WaitQueue {
public:
  using Ticket = std::uint64_t;
  /// Tries to send the request. Returns whether it no longer waits.
  using TryDispatch = std::function<bool()>;

  /// Less urgent requests get at least one send in nine under constant load,
  /// which delays an urgent one by one processing time at most.
  static constexpr std::uint32_t MaxPassed = 8;

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
      const ServiceId Service = std::get<ServiceId>(Next->first);
      dispatchUpTo(last(Service, std::numeric_limits<std::uint32_t>::max()));
      Next = Entries.upper_bound(
          last(Service, std::numeric_limits<std::uint32_t>::max()));
    }
    Dispatching = false;
  }

  /// Tries to send those that go before a new request of the service.
  auto dispatchBefore(const ServiceId &Service, std::uint32_t Priority)
      -> void {
    if (std::exchange(Dispatching, true))
      return;
    dispatchUpTo(last(Service, Priority));
    Dispatching = false;
  }

  /// Records that a request was sent. Waiting requests of the service that are
  /// less urgent have been passed.
  auto sent(const ServiceId &Service, std::uint32_t Priority) -> void {
    const auto LessUrgent = Entries.upper_bound(last(Service, Priority));
    if (LessUrgent != Entries.end() &&
        std::get<ServiceId>(LessUrgent->first) == Service)
      ++Passed[Service];
  }

  auto empty() const -> bool { return Entries.empty(); }
  auto size() const -> std::size_t { return Entries.size(); }
  /// Whether requests of the service wait.
  auto waiting(const ServiceId &Service) const -> bool {
    const auto First = Entries.lower_bound(Key{Service, 0, 0});
    return First != Entries.end() && std::get<0>(First->first) == Service;
  }
  /// Waiting requests of the service by priority.
  auto countByPriority(const ServiceId &Service) const
      -> std::map<std::uint32_t, std::size_t> {
    std::map<std::uint32_t, std::size_t> Out;
    for (auto Next = Entries.lower_bound(Key{Service, 0, 0});
         Next != Entries.end() && std::get<0>(Next->first) == Service; ++Next)
      ++Out[std::get<1>(Next->first)];
    return Out;
  }

private:
  using Key = std::tuple<ServiceId, std::uint32_t, Ticket>;

  static auto last(const ServiceId &Service, std::uint32_t Priority) -> Key {
    return {Service, Priority, std::numeric_limits<Ticket>::max()};
  }

  auto tryEntry(const Key &Current) -> bool {
    const TryDispatch Try = Entries.at(Current);
    if (!Try())
      return false;
    Entries.erase(Current);
    return true;
  }

  /// Tries the requests of one service, up to the key.
  auto dispatchUpTo(const Key &End) -> void {
    const ServiceId &Service = std::get<ServiceId>(End);
    const Key Begin{Service, 0, 0};
    const auto Count = Passed.find(Service);
    if (Count != Passed.end() && Count->second >= MaxPassed)
      tryPassed(Service);
    for (auto Next = Entries.lower_bound(Begin);
         Next != Entries.end() && Next->first < End;) {
      const Key Current = Next->first;
      tryEntry(Current);
      Next = Entries.upper_bound(Current);
    }
  }

  /// Tries the requests that others of their service have passed, in the order
  /// of their arrival, until one of them is sent.
  auto tryPassed(const ServiceId &Service) -> void {
    auto Next = Entries.lower_bound(Key{Service, 0, 0});
    if (Next == Entries.end() || std::get<ServiceId>(Next->first) != Service)
      return;
    std::map<Ticket, Key> ByArrival;
    for (; Next != Entries.end() && std::get<ServiceId>(Next->first) == Service;
         ++Next)
      ByArrival.emplace(std::get<Ticket>(Next->first), Next->first);
    for (const auto &[Number, Current] : ByArrival)
      if (Entries.contains(Current) && tryEntry(Current)) {
        Passed.erase(Service);
        return;
      }
  }

  std::map<Key, TryDispatch> Entries;
  /// Requests that have been sent before less urgent ones, by service.
  std::map<ServiceId, std::uint32_t> Passed;
  Ticket LastTicket = 0;
  bool Dispatching = false;
};

} // namespace buckthornring
