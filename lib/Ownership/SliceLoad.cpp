#include "Ownership/SliceLoad.h"

namespace buckthornring {

namespace {

// Long enough that counting noise of one slice stays below the planner's
// threshold, short enough to follow hot keys that change within minutes.
constexpr Duration HalfLife = std::chrono::seconds(20);

} // namespace

auto SliceLoad::add(const std::map<std::uint32_t, std::uint32_t> &Requests)
    -> void {
  for (const auto &[Slice, Count] : Requests)
    if (Slice < Sum.size())
      Sum[Slice] += Count;
}

auto SliceLoad::decay(TimePoint Now) -> void {
  for (; DecayedAt + HalfLife <= Now; DecayedAt += HalfLife) {
    // After a long pause all sums are zero anyway.
    if (Now - DecayedAt > 64 * HalfLife)
      DecayedAt = Now - 64 * HalfLife;
    for (double &Each : Sum)
      Each /= 2;
  }
}

} // namespace buckthornring
