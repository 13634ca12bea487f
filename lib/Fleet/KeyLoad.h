#pragma once

#include "buckthornring/Common/Time.h"

#include <cmath>
#include <cstdint>
#include <map>

namespace buckthornring {

/// Recent request rate of each key of one service, as a moving average.
class KeyLoad {
public:
  auto add(std::uint32_t Key, TimePoint Now) -> void {
    decay(Now);
    Weights[Key] += 1;
  }

  /// Returns the requests per second of the keys from \p From to \p To, both
  /// inclusive.
  auto rate(std::uint32_t From, std::uint32_t To) const -> double {
    double Sum = 0;
    for (auto Key = Weights.lower_bound(From);
         Key != Weights.end() && Key->first <= To; ++Key)
      Sum += Key->second;
    return Sum / TimeConstantSeconds;
  }

  /// Calls \p Visit with each key in the range that has recent requests, and
  /// its requests per second.
  template <class Function>
  auto forEach(std::uint32_t From, std::uint32_t To, Function Visit) const
      -> void {
    for (auto Key = Weights.lower_bound(From);
         Key != Weights.end() && Key->first <= To; ++Key)
      Visit(Key->first, Key->second / TimeConstantSeconds);
  }

private:
  /// Time constant of the moving average: long enough to cover some hundred
  /// requests of a service, short enough to follow changes of the busy keys.
  static constexpr double TimeConstantSeconds = 5;
  static constexpr Duration DecayInterval = std::chrono::milliseconds(250);
  static constexpr double MinWeight = 0.05;

  auto decay(TimePoint Now) -> void {
    if (DecayedAt == LongAgo)
      DecayedAt = Now;
    if (Now - DecayedAt < DecayInterval)
      return;
    const double Age = std::chrono::duration<double>(Now - DecayedAt).count();
    const double Factor = std::exp(-Age / TimeConstantSeconds);
    for (auto &[Key, Weight] : Weights)
      Weight *= Factor;
    std::erase_if(Weights,
                  [](const auto &Entry) { return Entry.second < MinWeight; });
    DecayedAt = Now;
  }

  std::map<std::uint32_t, double> Weights;
  TimePoint DecayedAt = LongAgo;
};

} // namespace buckthornring
