#include "Rollout/RolloutShare.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace buckthornring {

namespace {

/// Part of the slack that the instances use together on average. The rest
/// covers requests of instances that restart or disagree on the fleet's size.
constexpr double UsedSlack = 0.6;

/// Routes that a report names; further ones are counted together. A report has
/// to fit into one packet.
constexpr std::size_t MaxRoutes = 6;
constexpr const char *OtherRoutes = "*";

constexpr double Million = 1e6;

auto unitHash(const std::string &Text) -> double {
  constexpr std::size_t Steps = 1 << 20;
  return static_cast<double>(std::hash<std::string>()(Text) % Steps) / Steps;
}

} // namespace

RolloutShare::RolloutShare(std::string To, const RolloutBounds &Bounds,
                           const InstanceId &Instance)
    : To(std::move(To)), Bounds(Bounds),
      Position(unitHash(Instance.str() + "/" + this->To)),
      Selector(unitHash(this->To + "/" + Instance.str())) {}

auto RolloutShare::decided(const RolloutNotice &Decision, TimePoint Now)
    -> void {
  if (Decision.To != To || Decision.Order < Notice.Order)
    return;
  if (Decision.Order == Notice.Order && Notice.Stage == RolloutStage::Stopped)
    return;
  // The counts belong to one order.
  if (Notice.Order != 0 && Decision.Order != Notice.Order)
    Counts = RolloutReport();
  Notice = Decision;
  DecidedAt = Now;
}

auto RolloutShare::recorded(const RolloutNotice &Record) -> void {
  if (Record.Stage == RolloutStage::Complete ||
      Record.Stage == RolloutStage::Stopped)
    decided(Record, DecidedAt);
}

// The parts differ, so that instances with few requests do not all wait for
// their share to reach a whole request. With many instances only some of them
// have a part, since the parts would be too small to matter.
auto RolloutShare::slackPart(std::uint32_t Instances) const -> double {
  if (Instances == 0)
    return 0;
  const double Used = UsedSlack * Bounds.ExposureSlack;
  const double Mean = Used / Instances;
  if (Mean >= 1)
    return Mean;
  if (2 * Mean >= 1)
    return 2 * Mean * Position;
  return Selector < 2 * Mean ? Position : 0;
}

auto RolloutShare::mayCompare(std::uint32_t Instances, TimePoint Now) const
    -> bool {
  if (!comparing(Now))
    return false;
  const double Share = Notice.SharePpm / Million;
  // The part of the slack grows with the share, from few requests on.
  const double Growth =
      std::min(1.0, Share / std::max(1e-9, Bounds.ExposureShare));
  const double Limit = Share * Counts.Requests + Growth * slackPart(Instances);
  return Counts.SentToNew + 1 <= std::floor(Limit);
}

auto RolloutShare::mayServeKey(std::uint32_t Instances, TimePoint Now) const
    -> bool {
  return comparing(Now) &&
         Counts.SentToNew + 1 <= Bounds.ExposureShare * Counts.Requests +
                                     slackPart(Instances) / UsedSlack;
}

auto RolloutShare::compared(const std::vector<bool> &Cold,
                            std::size_t OldTargets) const
    -> std::vector<std::size_t> {
  const bool AllCold = std::find(Cold.begin(), Cold.end(), false) == Cold.end();
  std::vector<std::size_t> Usable;
  for (std::size_t Index = 0; Index < Cold.size(); ++Index)
    if (AllCold || !Cold[Index])
      Usable.push_back(Index);
  const auto Few = std::max<std::size_t>(
      1, static_cast<std::size_t>(Notice.SharePpm / Million *
                                  static_cast<double>(OldTargets)));
  std::vector<std::size_t> Out;
  for (std::size_t Index = 0; Index < std::min(Few, Usable.size()); ++Index)
    Out.push_back(Usable[(Notice.Period * Few + Index) % Usable.size()]);
  return Out;
}

auto RolloutShare::ended(const std::string &Version, const std::string &Route,
                         const RolloutResult &Result) -> void {
  if (Result.SentCold && Result.TimedOut)
    return;
  OutcomesByRoute &Routes = Version == To ? Counts.New : Counts.Old;
  const bool Named = Routes.contains(Route) || Routes.size() < MaxRoutes;
  RolloutOutcomes &Outcomes = Routes[Named ? Route : OtherRoutes];
  ++Outcomes.Requests;
  if (Result.TimedOut || !Result.Time)
    ++Outcomes.Failures;
  if (Result.Time && !Result.SentCold)
    Outcomes.Times.record(*Result.Time);
}

auto RolloutShare::report() const -> RolloutReport {
  RolloutReport Report = Counts;
  Report.Order = Notice.Order;
  Report.Stage = Notice.Stage;
  return Report;
}

} // namespace buckthornring
