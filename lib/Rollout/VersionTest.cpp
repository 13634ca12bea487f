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
  double Variance = 0;
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
  Out.Variance = std::max(0.0, Squares / Out.Count - Out.Mean * Out.Mean);
  return Out;
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

auto compareVersions(const RolloutOutcomes &Old, const RolloutOutcomes &New,
                     Strictness Wanted) -> VersionComparison {
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
  const LogTimes OldTimes = logTimes(Old.Times);
  const LogTimes NewTimes = logTimes(New.Times);
  const std::uint32_t MinTimes = Early ? MinEarlyTimes : MinFinalTimes;
  if (NewTimes.Count < MinTimes || OldTimes.Count < MinTimes)
    return Out;
  const double Difference = NewTimes.Mean - OldTimes.Mean;
  Out.SlownessRatio = std::exp(Difference);
  const double Error = std::sqrt(NewTimes.Variance / NewTimes.Count +
                                 OldTimes.Variance / OldTimes.Count);
  const double Bound = std::log(Early ? EarlySlowness : FinalSlowness) +
                       (Early ? EarlyErrors : FinalErrors) * Error;
  if (!Out.Bad && Difference > Bound) {
    Out.Bad = true;
    Out.Cause = "times";
  }
  return Out;
}

} // namespace buckthornring
