#include "OverloadScenario.h"

#include "buckthornring/Common/Random.h"

#include <algorithm>
#include <cmath>

namespace buckthornring::measure {

namespace {

/// 1,293 quote reads per second at 166 targets.
constexpr double RequestsPerSecondAndOwner = 1293.0 / 166;

constexpr double SlowestFactor = 1.5;
constexpr double FastestFactor = 0.55;

// Noisy neighbours: a fifth of the time three times slower, anew each 400 ms.
constexpr double NoisyShare = 0.2;
constexpr double NoisyFactor = 3;
constexpr Duration NoisePeriod = std::chrono::milliseconds(400);

// 3 in 100 requests take seven times the mean.
constexpr double LongShare = 0.03;
constexpr double LongFactor = 7;

constexpr TimePoint TroubleBegin{std::chrono::milliseconds(2500)};
constexpr TimePoint TroubleEnd{std::chrono::milliseconds(5500)};
constexpr Duration LongTrouble = std::chrono::milliseconds(8500);
constexpr Duration AfterTrouble = std::chrono::milliseconds(2500);

/// Time from the end of a target's process to its next start.
constexpr Duration RestartTime = std::chrono::seconds(1);
constexpr double ColdFactor = 2; ///< Cold targets work at half speed.

constexpr double SurgeFactor = 2.5;
constexpr double LowSurgeFactor = 3;
constexpr double HotKeyFactor = 6;
constexpr std::size_t HotOwnerInterval = 10; ///< One hot owner in this many.
constexpr std::size_t SheddingInterval = 4;
constexpr double FavouredShare = 0.5;       ///< Of the requests.
constexpr std::size_t FavouredDivisor = 10; ///< Of the instances.
constexpr double ImpatientShare = 1.0 / 3;
constexpr std::size_t RestartInterval = 4;
constexpr std::size_t GreyInterval = 10;
constexpr double GreyFailureShare = 0.5;
constexpr double SheddingAllShare = 0.55;
constexpr std::size_t LostDataCentre = 1;
constexpr std::size_t LostInstanceInterval = 10;

} // namespace

OverloadScenario::OverloadScenario(LoadPattern Pattern, std::uint64_t Seed,
                                   ServiceDivision Division,
                                   std::size_t TargetCount)
    : Pattern(Pattern), Seed(Seed), Division(Division) {
  RandomSource Random(Seed);
  for (std::size_t Owner = 0; Owner < TargetCount; ++Owner)
    Speeds.push_back(FastestFactor +
                     (SlowestFactor - FastestFactor) * Random.unit());
  constexpr double UsualWork =
      (1 - LongFactor * LongShare) / (1 - LongShare); ///< Relative to the mean.
  for (std::size_t Owner = 0; Owner < TargetCount; ++Owner)
    for (std::size_t Kind = 0; Kind < RequestKinds.size(); ++Kind)
      for (TimePoint At{}; At < end();) {
        // Poisson arrivals; the demand changes slowly against their distance.
        const double Rate = demand(Owner, Kind, At);
        At += Duration(static_cast<std::int64_t>(-std::log(1 - Random.unit()) *
                                                 1e6 / Rate));
        const double Relative = Random.chance(LongShare)
                                    ? LongFactor
                                    : UsualWork * (0.8 + 0.4 * Random.unit());
        const auto Work = static_cast<double>(RequestKinds[Kind].Work.count());
        Arrivals.push_back({At, Kind, Owner, Work * Relative,
                            Random.chance(ImpatientShare) &&
                                Pattern == LoadPattern::RetryStorm});
      }
  std::sort(Arrivals.begin(), Arrivals.end(),
            [](const Arrival &First, const Arrival &Second) {
              return First.At < Second.At;
            });
}

auto OverloadScenario::demand(std::size_t Owner, std::size_t Kind,
                              TimePoint Now) const -> double {
  double Demand = RequestsPerSecondAndOwner * RequestKinds[Kind].Share;
  if (Pattern != LoadPattern::UnevenSpeed)
    Demand /= Speeds[Owner];
  if (!troubled(Now))
    return Demand;
  if (Pattern == LoadPattern::Surge || Pattern == LoadPattern::RetryStorm)
    return Demand * SurgeFactor;
  if (Pattern == LoadPattern::LowSurge && Kind == 0)
    return Demand * LowSurgeFactor;
  if (Pattern == LoadPattern::HotKey && Owner % HotOwnerInterval == 0)
    return Demand * HotKeyFactor;
  return Demand;
}

auto OverloadScenario::noise(std::size_t Owner, TimePoint Now) const -> double {
  const auto Period =
      static_cast<std::uint64_t>(Now.time_since_epoch() / NoisePeriod);
  RandomSource Random(Seed * 1'000'003 + Owner * 7'919 + Period * 104'729);
  Random.next();
  return Random.chance(NoisyShare) ? NoisyFactor : 1;
}

auto OverloadScenario::slowness(std::size_t Owner, TimePoint Now) const
    -> double {
  return Speeds[Owner] * noise(Owner, Now) *
         (cold(Owner, Now) ? ColdFactor : 1);
}

auto OverloadScenario::instance(std::size_t Instances,
                                RandomSource &Random) const -> std::size_t {
  const bool Favoured =
      Pattern == LoadPattern::UnevenDemand && Random.chance(FavouredShare);
  return Random.below(
      Favoured ? std::max<std::size_t>(1, Instances / FavouredDivisor)
               : Instances);
}

auto OverloadScenario::undividedTargets(std::size_t Instances) -> std::size_t {
  constexpr std::size_t UsualTargets = 122;
  constexpr std::size_t UsualInstances = 71;
  return (Instances * UsualTargets + UsualInstances / 2) / UsualInstances;
}

auto OverloadScenario::troubleEnd() const -> TimePoint {
  return Pattern == LoadPattern::SheddingAll ? TroubleBegin + LongTrouble
                                             : TroubleEnd;
}

auto OverloadScenario::end() const -> TimePoint {
  return troubleEnd() + AfterTrouble;
}

auto OverloadScenario::troubled(TimePoint Now) const -> bool {
  return Now >= TroubleBegin && Now < troubleEnd();
}

auto OverloadScenario::shedShare(std::size_t Target, TimePoint Now) const
    -> double {
  if (!troubled(Now))
    return 0;
  if (Pattern == LoadPattern::SheddingAll)
    return SheddingAllShare;
  return Pattern == LoadPattern::Shedding && Target % SheddingInterval == 0 ? 1
                                                                            : 0;
}

auto OverloadScenario::failureShare(std::size_t Target, TimePoint Now) const
    -> double {
  return Pattern == LoadPattern::Grey && Target % GreyInterval == 0 &&
                 troubled(Now)
             ? GreyFailureShare
             : 0;
}

auto OverloadScenario::losesTarget(std::size_t Target) const -> bool {
  return (Pattern == LoadPattern::ColdReturn &&
          Target % RestartInterval == 0) ||
         (Pattern == LoadPattern::DataCentreLoss &&
          Target % DataCentres == LostDataCentre);
}

auto OverloadScenario::losesInstance(std::size_t Instance,
                                     std::size_t Instances) const -> bool {
  return (Pattern == LoadPattern::InstanceLoss && Instances > 1 &&
          Instance % LostInstanceInterval == 0) ||
         (Pattern == LoadPattern::DataCentreLoss && Instances > 1 &&
          Instance % DataCentres == LostDataCentre);
}

auto OverloadScenario::lostAt() const -> TimePoint { return TroubleBegin; }

auto OverloadScenario::instancesReturnAt() const -> TimePoint {
  return TroubleEnd;
}

auto OverloadScenario::targetsReturnAt() const -> TimePoint {
  return Pattern == LoadPattern::ColdReturn ? TroubleBegin + RestartTime
                                            : TroubleEnd;
}

auto OverloadScenario::down(std::size_t Target, TimePoint Now) const -> bool {
  return losesTarget(Target) && Now >= lostAt() && Now < targetsReturnAt();
}

auto OverloadScenario::cold(std::size_t Target, TimePoint Now) const -> bool {
  return losesTarget(Target) && Now >= targetsReturnAt() &&
         Now < targetsReturnAt() + ColdPeriod;
}

} // namespace buckthornring::measure
