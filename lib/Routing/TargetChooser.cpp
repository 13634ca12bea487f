#include "buckthornring/Routing/TargetChooser.h"

#include <algorithm>

namespace buckthornring {

namespace {

using Candidates = std::span<const TargetCandidate>;
using Choice = std::optional<std::size_t>;

class RandomChooser : public TargetChooser {
public:
  auto choose(Candidates From, RandomSource &Random) -> Choice override {
    if (From.empty())
      return std::nullopt;
    return Random.below(From.size());
  }
};

class RoundRobinChooser : public TargetChooser {
public:
  auto choose(Candidates From, RandomSource &) -> Choice override {
    if (From.empty())
      return std::nullopt;
    return Next++ % From.size();
  }

private:
  std::size_t Next = 0;
};

class LeastInFlightChooser : public TargetChooser {
public:
  auto choose(Candidates From, RandomSource &Random) -> Choice override {
    if (From.empty())
      return std::nullopt;
    std::size_t Best = 0;
    std::uint64_t Ties = 0;
    for (std::size_t Index = 0; Index < From.size(); ++Index) {
      if (From[Index].InFlight > From[Best].InFlight)
        continue;
      if (From[Index].InFlight < From[Best].InFlight)
        Ties = 0;
      if (Random.below(++Ties) == 0)
        Best = Index;
    }
    return Best;
  }
};

/// Two random candidates, compared by in-flight count times latency (after
/// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
/// 2001). Comparing all would send every instance to the same target.
class TwoChoicesChooser : public TargetChooser {
public:
  auto choose(Candidates From, RandomSource &Random) -> Choice override {
    if (From.empty())
      return std::nullopt;
    const std::size_t First = Random.below(From.size());
    if (From.size() == 1)
      return First;
    const std::size_t Second =
        (First + 1 + Random.below(From.size() - 1)) % From.size();
    return isBetter(From[Second], From[First]) ? Second : First;
  }

private:
  static auto cost(const TargetCandidate &Of, Duration Assumed) -> double {
    const Duration Latency = Of.Latency.value_or(Assumed);
    return (Of.InFlight + 1.0) * static_cast<double>(Latency.count() + 1);
  }

  static auto isBetter(const TargetCandidate &A, const TargetCandidate &B)
      -> bool {
    // A target that was never observed is assumed to be like the other one.
    const Duration Assumed =
        A.Latency.value_or(B.Latency.value_or(Duration::zero()));
    const double CostA = cost(A, B.Latency.value_or(Assumed));
    const double CostB = cost(B, Assumed);
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
