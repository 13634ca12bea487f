#include "buckthornring/Limits/TokenBucket.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>

namespace buckthornring {

namespace {

constexpr std::int64_t MicrosPerSecond = 1'000'000;

// Longest time that is refilled at once: rate times elapsed microseconds stays
// below 2^63 up to 1.5e11 milli-units/s, three times the design scale of 43
// million requests/s.
constexpr Duration MaxRefillPeriod = std::chrono::seconds(60);

} // namespace

TokenBucket::TokenBucket(MilliUnits Rate, MilliUnits Capacity,
                         MilliUnits Tokens, TimePoint Now)
    : Rate(Rate), Capacity(Capacity), Tokens(std::min(Tokens, Capacity)),
      RefilledAt(Now) {
  invariant(Rate >= 0 && Capacity >= 0 && Tokens >= 0,
            "a token bucket holds no negative amounts");
}

auto TokenBucket::refill(TimePoint Now) -> void {
  if (Now <= RefilledAt)
    return;
  const Duration Elapsed = std::min(Now - RefilledAt, MaxRefillPeriod);
  RefilledAt = Now;
  const std::int64_t Product = Rate * Elapsed.count() + Remainder;
  Tokens += Product / MicrosPerSecond;
  Remainder = Product % MicrosPerSecond;
  if (Tokens >= Capacity) {
    Tokens = Capacity;
    Remainder = 0;
  }
}

auto TokenBucket::tryTake(MilliUnits Amount, TimePoint Now) -> bool {
  refill(Now);
  if (Tokens < Amount)
    return false;
  Tokens -= Amount;
  return true;
}

auto TokenBucket::add(MilliUnits Amount, TimePoint Now) -> void {
  refill(Now);
  Tokens = std::min(Tokens + Amount, Capacity);
}

auto TokenBucket::reconfigure(MilliUnits NewRate, MilliUnits NewCapacity,
                              TimePoint Now) -> MilliUnits {
  invariant(NewRate >= 0 && NewCapacity >= 0,
            "a token bucket holds no negative amounts");
  refill(Now);
  Rate = NewRate;
  Capacity = NewCapacity;
  const MilliUnits Excess = std::max<MilliUnits>(Tokens - Capacity, 0);
  Tokens -= Excess;
  return Excess;
}

auto TokenBucket::tokens(TimePoint Now) -> MilliUnits {
  refill(Now);
  return Tokens;
}

auto TokenBucket::timeUntil(MilliUnits Amount, TimePoint Now)
    -> std::optional<Duration> {
  refill(Now);
  if (Tokens >= Amount)
    return Duration::zero();
  if (Amount > Capacity || Rate == 0)
    return std::nullopt;
  const std::int64_t Missing = (Amount - Tokens) * MicrosPerSecond - Remainder;
  return Duration((Missing + Rate - 1) / Rate);
}

} // namespace buckthornring
