#include "buckthornring/Routing/TargetChooser.h"

#include <algorithm>

namespace buckthornring {

namespace {

using CandidateSpan = std::span<const TargetCandidate>;
using Choice = std::optional<std::size_t>;

class RandomChooser : public TargetChooser {
public:
  auto choose(CandidateSpan Candidates, RandomSource &Random)
      -> Choice override {
    if (Candidates.empty())
      return std::nullopt;
    return Random.below(Candidates.size());
  }
};

class RoundRobinChooser : public TargetChooser {
public:
  auto choose(CandidateSpan Candidates, RandomSource &) -> Choice override {
    if (Candidates.empty())
      return std::nullopt;
    return Next++ % Candidates.size();
  }

private:
  std::size_t Next = 0;
};

class LeastInFlightChooser : public TargetChooser {
public:
  auto choose(CandidateSpan Candidates, RandomSource &Random)
      -> Choice override {
    if (Candidates.empty())
      return std::nullopt;
    std::size_t Best = 0;
    std::uint64_t Ties = 0;
    for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
      if (Candidates[Index].InFlight > Candidates[Best].InFlight)
        continue;
      if (Candidates[Index].InFlight < Candidates[Best].InFlight)
        Ties = 0;
      if (Random.below(++Ties) == 0)
        Best = Index;
    }
    return Best;
  }
};

/// Compares two random candidates by in-flight count times latency (after
/// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
/// 2001). Comparing all candidates would send every instance to the same
/// target.
class TwoChoicesChooser : public TargetChooser {
public:
  auto choose(CandidateSpan Candidates, RandomSource &Random)
      -> Choice override {
    if (Candidates.empty())
      return std::nullopt;
    const std::size_t First = Random.below(Candidates.size());
    if (Candidates.size() == 1)
      return First;
    const std::size_t Second =
        (First + 1 + Random.below(Candidates.size() - 1)) % Candidates.size();
    return isBetter(Candidates[Second], Candidates[First]) ? Second : First;
  }

private:
  static auto cost(const TargetCandidate &Candidate, Duration AssumedLatency)
      -> double {
    const Duration Latency = Candidate.Latency.value_or(AssumedLatency);
    return (Candidate.InFlight + 1.0) *
           static_cast<double>(Latency.count() + 1);
  }

  static auto isBetter(const TargetCandidate &A, const TargetCandidate &B)
      -> bool {
    // A target without observations is assumed to be as fast as the other one.
    const Duration AssumedLatency =
        A.Latency.value_or(B.Latency.value_or(Duration::zero()));
    const double CostA = cost(A, B.Latency.value_or(AssumedLatency));
    const double CostB = cost(B, AssumedLatency);
    // Differences below a tenth are noise of the latency average.
    if (std::max(CostA, CostB) > 1.1 * std::min(CostA, CostB))
      return CostA < CostB;
    return A.ReportedLoad.value_or(0) < B.ReportedLoad.value_or(0);
  }
};

} // namespace

auto TargetChooser::make(ChooserKind Kind) -> std::unique_ptr<TargetChooser> {
  switch (Kind) {
  case ChooserKind::Random:
    return std::make_unique<RandomChooser>();
  case ChooserKind::RoundRobin:
    return std::make_unique<RoundRobinChooser>();
  case ChooserKind::LeastInFlight:
    return std::make_unique<LeastInFlightChooser>();
  case ChooserKind::TwoChoices:
    break;
  }
  return std::make_unique<TwoChoicesChooser>();
}

} // namespace buckthornring
