#pragma once

#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <optional>

namespace buckthornring {

/// Thousandths of a token, request or slot. Integers, so that shares that are
/// split and merged again add up exactly.
using MilliUnits = std::int64_t;

inline constexpr MilliUnits OneUnit = 1000;

/// Token bucket with exact integer arithmetic.
class TokenBucket {
public:
  /// \p Rate in milli-units per second, \p Capacity and \p Tokens in
  /// milli-units; \p Tokens is limited to \p Capacity.
  TokenBucket(MilliUnits Rate, MilliUnits Capacity, MilliUnits Tokens,
              TimePoint Now);

  /// Takes \p Amount if the bucket holds it.
  auto tryTake(MilliUnits Amount, TimePoint Now) -> bool;

  /// Adds tokens up to the capacity; the excess is discarded.
  auto add(MilliUnits Amount, TimePoint Now) -> void;

  /// Changes rate and capacity from \p Now on. Returns the tokens that were
  /// removed because they exceed the new capacity.
  auto reconfigure(MilliUnits NewRate, MilliUnits NewCapacity, TimePoint Now)
      -> MilliUnits;

  auto tokens(TimePoint Now) -> MilliUnits;
  auto rate() const -> MilliUnits { return Rate; }
  auto capacity() const -> MilliUnits { return Capacity; }

  /// Returns the time until the bucket holds \p Amount, or nothing if it never
  /// will.
  auto timeUntil(MilliUnits Amount, TimePoint Now) -> std::optional<Duration>;

private:
  auto refill(TimePoint Now) -> void;

  MilliUnits Rate;
  MilliUnits Capacity;
  MilliUnits Tokens;
  std::int64_t Remainder = 0; ///< Millionths of a milli-unit.
  TimePoint RefilledAt;
};

} // namespace buckthornring
