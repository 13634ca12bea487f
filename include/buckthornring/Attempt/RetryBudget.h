#pragma once

#include "buckthornring/Common/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace buckthornring {

/// Budget of additional attempts as a ratio of the requests of the last 10 s.
///
/// A sliding window is used instead of a token balance: a balance saved up
/// during low traffic would be spent at once when a target fails, which is when
/// retries cause the most load.
class RetryBudget {
public:
  struct Options {
    double Ratio = 0.1; ///< Attempts per request in the window.
    /// Lower bound in attempts per second, for workspaces with few requests.
    double MinimumPerSecond = 1;
  };

  explicit RetryBudget(Options Settings) : Settings(Settings) {}
  RetryBudget() : RetryBudget(Options()) {}

  /// Counts a caller's request; attempts are not counted.
  auto recordRequest(TimePoint Now) -> void;

  /// Takes one attempt from the budget. Returns false if it is exhausted.
  auto tryTake(TimePoint Now) -> bool;

private:
  static constexpr std::size_t Buckets = 10;
  struct Bucket {
    std::int64_t Second = INT64_MIN;
    std::uint64_t Requests = 0;
    std::uint64_t Taken = 0;
  };

  auto bucketAt(TimePoint Now) -> Bucket &;

  Options Settings;
  std::array<Bucket, Buckets> Window;
};

} // namespace buckthornring
