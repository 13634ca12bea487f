#include "Fleet/FailingOwners.h"

#include <algorithm>
#include <cmath>

namespace buckthornring {

namespace {

/// A target that was excluded less than this before counts as failing again.
constexpr Duration RelapsePeriod = std::chrono::seconds(30);

} // namespace

auto FailingOwners::History::decay(TimePoint Now) -> void {
  if (UpdatedAt != LongAgo) {
    const double Factor =
        std::exp(-static_cast<double>((Now - UpdatedAt).count()) /
                 static_cast<double>(Memory.count()));
    Successes *= Factor;
    Failures *= Factor;
  }
  UpdatedAt = Now;
}

auto FailingOwners::History::share() const -> double {
  const double Responses = Successes + Failures;
  return Responses > 0 ? Failures / Responses : 0;
}

auto FailingOwners::record(const TargetId &Target,
                           const OutcomeCounts &Outcomes, TimePoint Now)
    -> void {
  // What an excluded target still runs says nothing about its return.
  if (excluded(Target, Now))
    return;
  History &Known = Histories[Target];
  Known.decay(Now);
  Known.Successes += Outcomes.Successes;
  Known.Failures += Outcomes.Failures;
}

auto FailingOwners::update(std::size_t Targets, TimePoint Now)
    -> std::vector<Exclusion> {
  std::erase_if(Histories, [Now](const auto &Entry) {
    return Now - Entry.second.UpdatedAt > RelapsePeriod &&
           Now - Entry.second.ExcludedUntil > RelapsePeriod;
  });
  std::size_t ExcludedCount = 0;
  double Successes = 0;
  double Failures = 0;
  std::vector<std::pair<double, TargetId>> Candidates;
  for (auto &[Id, Known] : Histories) {
    if (Now < Known.ExcludedUntil) {
      ++ExcludedCount;
      continue;
    }
    Known.decay(Now);
    Successes += Known.Successes;
    Failures += Known.Failures;
    if (Known.Failures >= MinFailures && Known.share() >= MinFailureShare)
      Candidates.emplace_back(Known.share(), Id);
  }
  std::sort(Candidates.rbegin(), Candidates.rend());
  const std::size_t MaxExcluded =
      Targets < 2 ? 0 : std::max<std::size_t>(1, Targets / ExcludedDivisor);
  std::vector<Exclusion> Out;
  for (const auto &[Share, Id] : Candidates) {
    History &Known = Histories.at(Id);
    const double OtherFailures = Failures - Known.Failures;
    const double OtherResponses = OtherFailures + Successes - Known.Successes;
    const double OtherShare =
        OtherResponses > 0 ? OtherFailures / OtherResponses : 0;
    if (ExcludedCount >= MaxExcluded || Share < MinRatio * OtherShare)
      break;
    Failures -= Known.Failures;
    Successes -= Known.Successes;
    exclude(Known, Now);
    ++ExcludedCount;
    Out.push_back({Id, Share, Known.LastExclusion});
  }
  return Out;
}

auto FailingOwners::exclude(History &Known, TimePoint Now) -> void {
  const bool Relapse = Now - Known.ExcludedUntil < RelapsePeriod;
  Known.LastExclusion =
      Relapse ? std::min(2 * Known.LastExclusion, MaxExclusion) : MinExclusion;
  Known.ExcludedUntil = Now + Known.LastExclusion;
  Known.Successes = 0;
  Known.Failures = 0;
}

auto FailingOwners::excluded(const TargetId &Target, TimePoint Now) const
    -> bool {
  const auto Found = Histories.find(Target);
  return Found != Histories.end() && Now < Found->second.ExcludedUntil;
}

} // namespace buckthornring
