#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <cstdlib>
#include <string>

namespace buckthornring::test {

/// Calls \p Run with each seed of a range. Reports the seed of the first
/// failure with the command that replays it. BTR_SEED runs a single seed;
/// BTR_LONG runs fifty times as many.
template <class Function>
auto forEachSeed(const char *Test, std::uint64_t Count, Function Run) -> void {
  std::uint64_t First = 1;
  if (const char *Only = std::getenv("BTR_SEED")) {
    First = std::strtoull(Only, nullptr, 10);
    Count = 1;
  } else if (std::getenv("BTR_LONG") != nullptr) {
    Count *= 50;
  }
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    SCOPED_TRACE("replay: BTR_SEED=" + std::to_string(Seed) +
                 " build/property_tests --gtest_filter=" + Test);
    Run(Seed);
    if (testing::Test::HasFailure())
      return;
  }
}

} // namespace buckthornring::test
