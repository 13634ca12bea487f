#include "buckthornring/Routing/Ejector.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>

namespace buckthornring {

namespace {

// Weight of one observation in the average. With a tenth, the average settles
// within about 20 requests and a single slow request does not move it past the
// outlier ratio.
constexpr double ObservationWeight = 0.1;

// A target with fewer observations is not an outlier.
constexpr std::uint32_t MinimumObservations = 10;

auto movingAverage(double Average, Duration Latency) -> double {
  const auto Value = static_cast<double>(Latency.count());
  return Average == 0 ? Value : Average + ObservationWeight * (Value - Average);
}

} // namespace

auto Ejector::setTargets(const std::vector<TargetId> &Kept) -> void {
  std::map<TargetId, State> Next;
  for (const TargetId &Target : Kept)
    Next[Target] = Targets[Target];
  Targets = std::move(Next);
}

auto Ejector::ejectedCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Targets.begin(), Targets.end(), [](const auto &Entry) {
        return Entry.second.EjectedUntil.has_value();
      }));
}

auto Ejector::eject(State &Target, TimePoint Now) -> void {
  if (Target.EjectedUntil || 3 * (ejectedCount() + 1) > Targets.size())
    return;
  if (Now - Settings.MaxEjectionPeriod > Target.ReturnedAt)
    Target.Ejections = 0;
  Duration Period = Settings.FirstEjectionPeriod;
  for (std::uint32_t I = 0; I < Target.Ejections; ++I)
    Period = std::min(Period * 2, Settings.MaxEjectionPeriod);
  ++Target.Ejections;
  Target.EjectedUntil = Now + Period;
  invariant(3 * ejectedCount() <= Targets.size(),
            "at most a third of a service's targets is ejected");
}

auto Ejector::recordSuccess(const TargetId &Target, Duration Latency, TimePoint)
    -> void {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  Found->second.Failures = 0;
  Found->second.Average = movingAverage(Found->second.Average, Latency);
  ++Found->second.ObservationCount;
}

auto Ejector::recordUnfinished(const TargetId &Target, Duration Age) -> void {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end() ||
      static_cast<double>(Age.count()) <= Found->second.Average)
    return;
  Found->second.Average = movingAverage(Found->second.Average, Age);
  ++Found->second.ObservationCount;
}

auto Ejector::recordFailure(const TargetId &Target, TimePoint Now) -> void {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  if (++Found->second.Failures >= Settings.ConsecutiveFailures)
    eject(Found->second, Now);
}

auto Ejector::medianLatency() const -> double {
  std::vector<double> Averages;
  for (const auto &[Id, Each] : Targets)
    if (Each.ObservationCount >= MinimumObservations && !Each.EjectedUntil)
      Averages.push_back(Each.Average);
  if (Averages.empty())
    return 0;
  const auto Middle =
      Averages.begin() + static_cast<std::ptrdiff_t>(Averages.size() / 2);
  std::nth_element(Averages.begin(), Middle, Averages.end());
  return *Middle;
}

auto Ejector::evaluate(TimePoint Now) -> std::vector<TargetId> {
  std::vector<TargetId> Returned;
  for (auto &[Id, Each] : Targets)
    if (Each.EjectedUntil && Now >= *Each.EjectedUntil) {
      Each.EjectedUntil.reset();
      Each.ReturnedAt = Now;
      Each.Failures = 0;
      Each.Average = 0;
      Each.ObservationCount = 0;
      Returned.push_back(Id);
    }
  const double Median = medianLatency();
  const auto Minimum = static_cast<double>(Settings.OutlierMinimum.count());
  for (auto &[Id, Each] : Targets)
    if (Each.ObservationCount >= MinimumObservations &&
        Each.Average > Settings.OutlierRatio * Median &&
        Each.Average > Median + Minimum)
      eject(Each, Now);
  return Returned;
}

auto Ejector::ejected(const TargetId &Target) const -> bool {
  const auto Found = Targets.find(Target);
  return Found != Targets.end() && Found->second.EjectedUntil.has_value();
}

} // namespace buckthornring
