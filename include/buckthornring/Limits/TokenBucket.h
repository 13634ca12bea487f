#pragma once

#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <optional>

namespace buckthornring {

/// Thousandths of a token, request or slot. Integers, so that shares that are
/// split and put together again add up exactly.
using MilliUnits = std::int64_t;

inline constexpr MilliUnits OneUnit = 1000;

/// Token bucket with exact integer arithmetic.
class TokenBucket {
public:
  /// \p Rate in milli-units per second, \p Capacity and \p Tokens in
  /// milli-units; \p Tokens is cut to \p Capacity.
  TokenBucket(MilliUnits Rate, MilliUnits Capacity, MilliUnits Tokens,
              TimePoint Now);

  /// Takes \p Amount when it is there.
  auto tryTake(MilliUnits Amount, TimePoint Now) -> bool;

  /// Adds tokens up to the capacity; more are lost.
  auto add(MilliUnits Amount, TimePoint Now) -> void;

  /// Changes rate and capacity from \p Now on. Returns the tokens that the new
  /// capacity does not hold.
  auto reshape(MilliUnits NewRate, MilliUnits NewCapacity, TimePoint Now)
      -> MilliUnits;

  auto tokens(TimePoint Now) -> MilliUnits;
  auto rate() const -> MilliUnits { return Rate; }
  auto capacity() const -> MilliUnits { return Capacity; }

  /// Returns the time until \p Amount is there, or nothing when it never is.
  auto timeUntil(MilliUnits Amount, TimePoint Now) -> std::optional<Duration>;

private:
  auto refill(TimePoint Now) -> void;

  MilliUnits Rate;
  MilliUnits Capacity;
  MilliUnits Tokens;
  std::int64_t Remainder = 0; ///< Millionths of a milli-unit.
  TimePoint Last;
};

} // namespace buckthornring
