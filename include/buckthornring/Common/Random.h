#pragma once

#include <cstdint>

namespace buckthornring {

/// Seeded pseudo-random generator (SplitMix64). Its sequence is the same on
/// every platform, so a seed reproduces a run.
class RandomSource {
public:
  explicit RandomSource(std::uint64_t Seed) : State(Seed) {}

  auto next() -> std::uint64_t {
    State += 0x9E3779B97F4A7C15ULL;
    std::uint64_t Z = State;
    Z = (Z ^ (Z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    Z = (Z ^ (Z >> 27U)) * 0x94D049BB133111EBULL;
    return Z ^ (Z >> 31U);
  }

  /// Returns a value in [0, Bound); Bound must not be zero.
  auto below(std::uint64_t Bound) -> std::uint64_t { return next() % Bound; }

  /// Returns a value in [0, 1).
  auto unit() -> double {
    return static_cast<double>(next() >> 11U) * 0x1.0p-53;
  }

  auto chance(double Probability) -> bool { return unit() < Probability; }

private:
  std::uint64_t State;
};

} // namespace buckthornring
