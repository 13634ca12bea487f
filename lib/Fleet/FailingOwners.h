#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace buckthornring {

/// Responses of one target. A response with a server error, and one that is
/// malformed, is a failure; rejections, lost connections and a time-out at the
/// target are neither.
struct OutcomeCounts {
  std::uint32_t Successes = 0;
  std::uint32_t Failures = 0;

  friend auto operator==(const OutcomeCounts &, const OutcomeCounts &)
      -> bool = default;
};

/// Finds owners of one divided service that respond but fail much of their
/// work, from what all instances report, so that their keys are handed over.
///
/// The health of such a target may look good, and errors come faster than
/// results, so its load and its speed say the opposite. Keys are worth moving
/// only if the others do better: a target is excluded if its share of failures
/// is high and a multiple of that of the others.
class FailingOwners {
public:
  /// Time constant over which outcomes count.
  static constexpr Duration Memory = std::chrono::milliseconds(1500);
  /// Least evidence against a target. The usual rate of errors, below 1 in 100,
  /// does not reach it by chance.
  static constexpr double MinFailures = 5;
  static constexpr double MinFailureShare = 0.3;
  /// Multiple of the others' share of failures from which a target counts as
  /// worse than they are.
  static constexpr double MinRatio = 3;
  /// Part of the targets that may be excluded at a time, but one of at least
  /// two; the others have to take the keys.
  static constexpr std::size_t ExcludedDivisor = 4;
  /// Time for which a target is excluded; twice as long each time it fails
  /// again soon after its return, up to the limit.
  static constexpr Duration MinExclusion = std::chrono::seconds(5);
  static constexpr Duration MaxExclusion = std::chrono::seconds(40);

  auto record(const TargetId &Target, const OutcomeCounts &Outcomes,
              TimePoint Now) -> void;

  struct Exclusion {
    TargetId Target;
    double FailureShare = 0;
    Duration Length{0};
  };
  /// Decides anew for a service of so many targets. Returns those that are
  /// excluded from now on.
  auto update(std::size_t Targets, TimePoint Now) -> std::vector<Exclusion>;

  /// Whether the target's keys are to be handed over and it gets no others.
  auto excluded(const TargetId &Target, TimePoint Now) const -> bool;

private:
  struct History {
    double Successes = 0; ///< Decaying counts, at UpdatedAt.
    double Failures = 0;
    TimePoint UpdatedAt = LongAgo;
    TimePoint ExcludedUntil = LongAgo;
    Duration LastExclusion{0};

    auto decay(TimePoint Now) -> void;
    auto share() const -> double;
  };

  auto exclude(History &Known, TimePoint Now) -> void;

  std::unordered_map<TargetId, History> Histories;
};

} // namespace buckthornring
