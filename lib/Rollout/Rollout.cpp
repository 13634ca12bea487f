#include "Rollout/Rollout.h"

#include <algorithm>
#include <cmath>

namespace buckthornring {

auto TimeCounts::record(Duration Time) -> void {
  const double Ms = static_cast<double>(Time.count()) / 1000.0;
  const double Steps =
      std::ceil(std::log(std::max(Ms, FirstBoundMs) / FirstBoundMs) /
                std::log(BucketFactor));
  const auto Bucket =
      std::min(static_cast<std::size_t>(Steps), BucketCount - 1);
  ++Buckets.at(Bucket);
}

auto RolloutOutcomes::add(const RolloutOutcomes &Other) -> void {
  Requests += Other.Requests;
  Failures += Other.Failures;
  for (std::size_t Index = 0; Index < TimeCounts::BucketCount; ++Index)
    Times.Buckets.at(Index) += Other.Times.Buckets.at(Index);
}

auto RolloutOutcomes::since(const RolloutOutcomes &Earlier) const
    -> RolloutOutcomes {
  // An instance that has left takes its counts along.
  const auto Less = [](std::uint32_t Value, std::uint32_t Before) {
    return Value > Before ? Value - Before : 0;
  };
  RolloutOutcomes Out;
  Out.Requests = Less(Requests, Earlier.Requests);
  Out.Failures = Less(Failures, Earlier.Failures);
  for (std::size_t Index = 0; Index < TimeCounts::BucketCount; ++Index)
    Out.Times.Buckets.at(Index) =
        Less(Times.Buckets.at(Index), Earlier.Times.Buckets.at(Index));
  return Out;
}

} // namespace buckthornring
