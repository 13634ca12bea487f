#pragma once

#include "buckthornring/Common/Time.h"

#include <cmath>
#include <cstdint>
#include <map>

namespace buckthornring {

/// Recent request rates of the keys of one service.
class KeyLoad {
public:
  auto add(std::uint32_t Key, TimePoint Now) -> void {
    decay(Now);
    Weights[Key] += 1;
  }

  /// Requests per second of the keys From to To, both inclusive.
  auto rate(std::uint32_t From, std::uint32_t To) const -> double {
    double Sum = 0;
    for (auto Key = Weights.lower_bound(From);
         Key != Weights.end() && Key->first <= To; ++Key)
      Sum += Key->second;
    return Sum / MemorySeconds;
  }

  /// The keys with recent requests, with their requests per second.
  template <class Function>
  auto forEach(std::uint32_t From, std::uint32_t To, Function Visit) const
      -> void {
    for (auto Key = Weights.lower_bound(From);
         Key != Weights.end() && Key->first <= To; ++Key)
      Visit(Key->first, Key->second / MemorySeconds);
  }

private:
  /// Time constant of the moving average: long enough for some hundred
  /// requests of a service, short enough to follow a change of the busy keys.
  static constexpr double MemorySeconds = 5;
  static constexpr Duration DecayInterval = std::chrono::milliseconds(250);
  static constexpr double Negligible = 0.05;

  auto decay(TimePoint Now) -> void {
    if (Last == LongAgo)
      Last = Now;
    if (Now - Last < DecayInterval)
      return;
    const double Age = std::chrono::duration<double>(Now - Last).count();
    const double Factor = std::exp(-Age / MemorySeconds);
    for (auto &[Key, Weight] : Weights)
      Weight *= Factor;
    std::erase_if(Weights,
                  [](const auto &Entry) { return Entry.second < Negligible; });
    Last = Now;
  }

  std::map<std::uint32_t, double> Weights;
  TimePoint Last = LongAgo;
};

} // namespace buckthornring
