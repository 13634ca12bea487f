#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Random.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>

namespace buckthornring {

/// State of one target that may take the request: it is not ejected, not
/// draining and has a free slot and connection.
struct TargetCandidate {
  std::uint32_t InFlight = 0; ///< Requests of this traffic thread.
  /// Recent latency; nothing before the first observation.
  std::optional<Duration> Latency;
  /// Fraction of slots in use as reported by the target, 0 to 1; nothing
  /// without a report. May be late or wrong, so it only breaks ties.
  std::optional<double> ReportedLoad;
};

enum class ChooserKind { Random, RoundRobin, LeastInFlight, TwoChoices };

inline constexpr EnumNames<ChooserKind, 4> ChooserKindNames(
    {"random", "round-robin", "least-in-flight", "two-choices"});

/// Chooses the target of a request to an undivided service.
class TargetChooser {
public:
  virtual ~TargetChooser() = default;

  /// Returns an index into \p Candidates, or nothing when they are empty.
  virtual auto choose(std::span<const TargetCandidate> Candidates,
                      RandomSource &Random) -> std::optional<std::size_t> = 0;

  /// TwoChoices is the algorithm in use; the others are baselines for
  /// measurements.
  static auto make(ChooserKind Kind) -> std::unique_ptr<TargetChooser>;
};

} // namespace buckthornring
