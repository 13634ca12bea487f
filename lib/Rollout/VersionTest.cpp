#include "Rollout/VersionTest.h"

#include <algorithm>
#include <cmath>

namespace buckthornring {

namespace {

/// The failure rate that a good version may have is this multiple of the old
/// version's, and at least the minimum: few failures of the old version do not
/// prove that it has none.
constexpr double FailureRateFactor = 1.5;
constexpr double MinFailureRate = 0.004;

/// Highest probability of the failures by chance at which a version is bad.
/// About 10^4 comparisons are made in 1,000 rollouts of several routes; only
/// one in a hundred thousand of them may err early.
constexpr double EarlyTail = 1e-7;
constexpr double FinalTail = 2e-4;
/// Fewer failures prove nothing: one target may have crashed.
constexpr std::uint32_t MinFailures = 4;

/// Ratio of times up to which a version may be good. Targets differ by a factor
/// of up to 1.5 from the mean, and the router prefers the faster old ones.
constexpr double EarlySlowness = 1.9;
constexpr double FinalSlowness = 2.0;
/// Standard errors by which the ratio has to exceed the bound. Requests of the
/// same target and period are correlated, which the factor includes.
constexpr double EarlyErrors = 4;
constexpr double FinalErrors = 2.5;
/// Responses before times are compared. Before the verdict there are enough to
/// come from several targets, since the first ones may be the slowest.
constexpr std::uint32_t MinEarlyTimes = 45;
constexpr std::uint32_t MinFinalTimes = 15;

struct LogTimes {
  double Count = 0;
  double Mean = 0;
  double Squares = 0; ///< Sum of the squared deviations from the mean.
};

/// Mean difference of the logarithms of two versions' times within routes.
struct TimeDifference {
  double OldCount = 0;
  double NewCount = 0;
  double Mean = 0;
  double Error = 0;
};

auto logTimes(const TimeCounts &Times) -> LogTimes {
  LogTimes Out;
  double Sum = 0;
  double Squares = 0;
  for (std::size_t Index = 0; Index < TimeCounts::BucketCount; ++Index) {
    const double Log =
        static_cast<double>(Index) * std::log(TimeCounts::BucketFactor);
    const double Count = Times.Buckets.at(Index);
    Out.Count += Count;
    Sum += Count * Log;
    Squares += Count * Log * Log;
  }
  if (Out.Count == 0)
    return Out;
  Out.Mean = Sum / Out.Count;
  Out.Squares = std::max(0.0, Squares - Sum * Out.Mean);
  return Out;
}

// The routes weigh as the new version's responses are spread over them.
auto compareTimes(const OutcomesByRoute &Old, const OutcomesByRoute &New)
    -> TimeDifference {
  TimeDifference Out;
  double OldSquares = 0;
  double NewSquares = 0;
  double OldWeights = 0; // Sum of the squared weights by the old counts.
  for (const auto &[Route, Outcomes] : New) {
    const auto Found = Old.find(Route);
    if (Found == Old.end())
      continue;
    const LogTimes OldTimes = logTimes(Found->second.Times);
    const LogTimes NewTimes = logTimes(Outcomes.Times);
    if (OldTimes.Count == 0 || NewTimes.Count == 0)
      continue;
    Out.OldCount += OldTimes.Count;
    Out.NewCount += NewTimes.Count;
    Out.Mean += NewTimes.Count * (NewTimes.Mean - OldTimes.Mean);
    OldSquares += OldTimes.Squares;
    NewSquares += NewTimes.Squares;
    OldWeights += NewTimes.Count * NewTimes.Count / OldTimes.Count;
  }
  if (Out.NewCount == 0)
    return Out;
  Out.Mean /= Out.NewCount;
  Out.Error = std::sqrt(NewSquares / Out.NewCount / Out.NewCount +
                        OldSquares / Out.OldCount * OldWeights /
                            (Out.NewCount * Out.NewCount));
  return Out;
}

auto sumOf(const OutcomesByRoute &Routes) -> RolloutOutcomes {
  RolloutOutcomes Sum;
  for (const auto &[Route, Outcomes] : Routes)
    Sum.add(Outcomes);
  return Sum;
}

/// Probability of \p Failures or more of \p Requests at a failure rate.
auto binomialTail(std::uint32_t Failures, std::uint32_t Requests, double Rate)
    -> double {
  if (Failures == 0 || Rate >= 1)
    return 1;
  double Sum = 0;
  for (std::uint32_t Count = Failures; Count <= Requests; ++Count) {
    const double LogTerm =
        std::lgamma(Requests + 1.0) - std::lgamma(Count + 1.0) -
        std::lgamma(Requests - Count + 1.0) + Count * std::log(Rate) +
        (Requests - Count) * std::log1p(-Rate);
    const double Term = std::exp(LogTerm);
    Sum += Term;
    // The terms fall quickly beyond the mean.
    if (Count > Requests * Rate && Term < Sum * 1e-9)
      break;
  }
  return std::min(1.0, Sum);
}

} // namespace

auto compareVersions(const OutcomesByRoute &OldRoutes,
                     const OutcomesByRoute &NewRoutes, std::uint32_t Excused,
                     Strictness Wanted) -> VersionComparison {
  const RolloutOutcomes Old = sumOf(OldRoutes);
  RolloutOutcomes New = sumOf(NewRoutes);
  New.Failures -= std::min(New.Failures, Excused);
  const bool Early = Wanted == Strictness::Early;
  VersionComparison Out;
  const double OldRate = (Old.Failures + 1.0) / (Old.Requests + 2.0);
  const double Rate = std::max(MinFailureRate, FailureRateFactor * OldRate);
  Out.FailureTail = binomialTail(New.Failures, New.Requests, Rate);
  if (New.Failures >= MinFailures &&
      Out.FailureTail < (Early ? EarlyTail : FinalTail)) {
    Out.Bad = true;
    Out.Cause = "failures";
  }
  const TimeDifference Times = compareTimes(OldRoutes, NewRoutes);
  const std::uint32_t MinTimes = Early ? MinEarlyTimes : MinFinalTimes;
  if (Times.NewCount < MinTimes || Times.OldCount < MinTimes)
    return Out;
  Out.SlownessRatio = std::exp(Times.Mean);
  const double Bound = std::log(Early ? EarlySlowness : FinalSlowness) +
                       (Early ? EarlyErrors : FinalErrors) * Times.Error;
  if (!Out.Bad && Times.Mean > Bound) {
    Out.Bad = true;
    Out.Cause = "times";
  }
  return Out;
}

} // namespace buckthornring
