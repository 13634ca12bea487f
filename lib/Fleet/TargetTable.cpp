#include "Fleet/TargetTable.h"

#include <algorithm>
#include <cmath>

namespace buckthornring {

namespace {

/// Assumed time of a request before any answer was seen.
constexpr Duration DefaultWork = std::chrono::milliseconds(100);

/// Requests at a target, in multiples of its slots, beyond which it gets no
/// more. A full target resets connections, which leaves requests that may not
/// be repeated in doubt, so these keep a greater distance.
constexpr double IdempotentCap = 2.5;
constexpr double NonIdempotentCap = 2.0;
/// An owned key has no other target, but a longer queue would make all its
/// requests late.
constexpr double OwnerCap = 2.5;

/// Multiple of its part of that cap that one instance may use. Instances learn
/// of each other's requests only by the answers, so keys that become busy would
/// fill their owner before any of them knows.
constexpr double ShareExcess = 2.2;

/// Handicap of targets in other data centres, as a part of the request's
/// target latency: traffic between data centres is charged by the byte.
constexpr double CrossingHandicap = 0.5;

/// Handicap of a target whose every request fails, in multiples of the target
/// latency.
constexpr double FailureHandicap = 4.0;

/// Random part of the expected time, so that instances with the same view do
/// not all select the same target.
constexpr double Jitter = 0.1;

constexpr Duration FirstBackoff = std::chrono::milliseconds(300);
constexpr Duration LongestBackoff = std::chrono::seconds(2);

/// Part of a cold target's limit that is used: sends of instances reach the
/// target with different delays, and instances learn the size of the fleet one
/// report after another.
constexpr double UsedColdPart = 0.7;

constexpr double WorkWeight = 0.02; ///< About the last 50 answers.

/// Whether \p Record was written before \p Known by the same target.
auto outdated(const TargetRecord &Record, const TargetRecord &Known) -> bool {
  if (Record.StartedAtMs != Known.StartedAtMs)
    return Record.StartedAtMs < Known.StartedAtMs;
  return Record.Sequence < Known.Sequence;
}

} // namespace

auto TargetTable::apply(const TargetRecord &Record, TimePoint Now) -> bool {
  const auto Known = find(Record.Id);
  if (Known && outdated(Record, Known->Record)) {
    Known->MissingUntil.reset();
    return false;
  }
  const bool NewLife = !Known ||
                       Known->Record.StartedAtMs != Record.StartedAtMs ||
                       Known->Record.Service != Record.Service ||
                       Known->Record.Address != Record.Address;
  if (!NewLife) {
    Known->Record = Record;
    Known->MissingUntil.reset();
    if (Record.RemainingColdTime > Duration(0))
      Known->ColdUntil =
          std::max(Known->ColdUntil, Now + Record.RemainingColdTime);
    return false;
  }
  erase(Record.Id);
  auto Added = std::make_shared<TargetState>();
  Added->Record = Record;
  if (Record.RemainingColdTime > Duration(0))
    Added->ColdUntil = Now + Record.RemainingColdTime;
  Targets[Record.Id] = Added;
  ByService[Record.Service].push_back(std::move(Added));
  return true;
}

auto TargetTable::remove(const TargetId &Id, TimePoint KeepUntil, TimePoint Now)
    -> void {
  const auto Known = find(Id);
  if (!Known)
    return;
  if (Now >= KeepUntil)
    return erase(Id);
  if (!Known->MissingUntil)
    Known->MissingUntil = KeepUntil;
}

auto TargetTable::replace(const std::vector<TargetRecord> &Records,
                          TimePoint KeepUntil, TimePoint Now) -> void {
  std::set<TargetId> Listed;
  for (const TargetRecord &Record : Records) {
    Listed.insert(Record.Id);
    apply(Record, Now);
  }
  std::vector<TargetId> Lacking;
  for (const auto &[Id, State] : Targets)
    if (!Listed.contains(Id))
      Lacking.push_back(Id);
  for (const TargetId &Id : Lacking)
    remove(Id, KeepUntil, Now);
}

auto TargetTable::dropMissing(TimePoint Now) -> bool {
  std::vector<TargetId> Gone;
  for (const auto &[Id, State] : Targets)
    if (State->MissingUntil && Now >= *State->MissingUntil)
      Gone.push_back(Id);
  for (const TargetId &Id : Gone)
    erase(Id);
  return !Gone.empty();
}

auto TargetTable::erase(const TargetId &Id) -> void {
  const auto Known = Targets.find(Id);
  if (Known == Targets.end())
    return;
  std::erase(ByService[Known->second->Record.Service], Known->second);
  Targets.erase(Known);
}

auto TargetTable::setEvacuated(std::set<DataCentreId> DataCentres,
                               TimePoint Now) -> void {
  // Targets of a returning data centre may have turned cold meanwhile.
  for (const DataCentreId &Returned : Evacuated)
    if (!DataCentres.contains(Returned))
      for (const auto &[Id, State] : Targets)
        if (State->Record.DataCentre == Returned)
          State->UnverifiedUntil = Now + Given.RecordDelay;
  Evacuated = std::move(DataCentres);
}

auto TargetTable::find(const TargetId &Id) const -> TargetPtr {
  const auto Found = Targets.find(Id);
  return Found == Targets.end() ? nullptr : Found->second;
}

auto TargetTable::targetsOfService(const ServiceId &Service) const
    -> const std::vector<TargetPtr> & {
  static const std::vector<TargetPtr> Empty;
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? Empty : Found->second;
}

auto TargetTable::takesRequests(const TargetState &Target) const -> bool {
  return !Target.Record.Draining &&
         !Evacuated.contains(Target.Record.DataCentre);
}

auto TargetTable::coldLimitReached(TargetState &Target, TimePoint Now) -> bool {
  if (!Target.cold(Now))
    return false;
  const auto Limit = ColdLimits.find(Target.Record.Service);
  if (Limit == ColdLimits.end() || Limit->second.RequestsPerSecond <= 0)
    return false;
  // An instance that has just started cannot tell its part of the limit.
  if (!Fleet.known())
    return true;
  const double Total = UsedColdPart * Limit->second.RequestsPerSecond;
  const bool Near = Target.Record.DataCentre == Given.DataCentre;
  // A limit below the number of instances is left to those near the target.
  double Part = Total / std::max(1U, Fleet.Instances);
  if (Part < 1)
    Part = Near ? Total / std::max(1U, Fleet.InOwnDataCentre) : 0;
  // Where even that is less than one request each, some of them may send.
  if (Part > 0 && Part < 1)
    Part = chosenFor(Target.Record, Part * UsedColdPart) ? 1 : 0;
  return static_cast<double>(Target.Sends.count(Now)) >= std::floor(Part);
}

auto TargetTable::chosenFor(const TargetRecord &Target, double Share) const
    -> bool {
  constexpr std::size_t Steps = 1000;
  const std::size_t Hash =
      std::hash<std::string>()(Given.Instance.str() + "/" + Target.Id.str() +
                               "/" + std::to_string(Target.StartedAtMs));
  return static_cast<double>(Hash % Steps) < Share * Steps;
}

auto TargetTable::typicalWork(const ServiceId &Service) const -> Duration {
  const auto Found = WorkUs.find(Service);
  return Found == WorkUs.end()
             ? DefaultWork
             : Duration(static_cast<std::int64_t>(Found->second));
}

auto TargetTable::expectedTime(const TargetState &Target, TimePoint Now) const
    -> Duration {
  const double Work =
      static_cast<double>(Target.Load.work(Now)
                              .value_or(typicalWork(Target.Record.Service))
                              .count());
  const double Slots = std::max(1U, Target.Record.Slots);
  const double Queue = Target.Load.queue(Now);
  const double Waiting = std::max(0.0, Queue + 1 - Slots) / Slots;
  // Targets slow down before their last slot is taken.
  const double Crowding = 0.15 * std::min(1.0, Queue / Slots);
  return Duration(static_cast<std::int64_t>(Work * (1 + Waiting + Crowding)));
}

auto TargetTable::select(const TargetRequest &Wish, TimePoint Now)
    -> TargetSelection {
  TargetSelection Best;
  double BestCost = 0;
  const double Latency = static_cast<double>(Wish.TargetLatency.count());
  const double Cap = Wish.Idempotent ? IdempotentCap : NonIdempotentCap;
  for (const TargetPtr &Target : targetsOfService(Wish.Service)) {
    if (!takesRequests(*Target) ||
        std::find(Wish.Avoided.begin(), Wish.Avoided.end(),
                  Target->Record.Id) != Wish.Avoided.end())
      continue;
    if (Now < Target->UnreachableUntil) {
      Best.Reason = std::max(Best.Reason, NoTargetReason::Down);
      continue;
    }
    if (Target->Load.queue(Now) >= Cap * Target->Record.Slots) {
      Best.Reason = NoTargetReason::Busy;
      continue;
    }
    if (coldLimitReached(*Target, Now)) {
      Best.Reason = NoTargetReason::Cold;
      continue;
    }
    const Duration Time = expectedTime(*Target, Now);
    double Cost =
        static_cast<double>(Time.count()) * (1 + Jitter * Random.unit());
    if (Target->Record.DataCentre != Given.DataCentre)
      Cost += CrossingHandicap * Latency;
    Cost += FailureHandicap * Latency * Target->Load.failureShare();
    if (Target->cold(Now))
      Cost += static_cast<double>(Time.count());
    if (!Best.Target || Cost < BestCost) {
      Best.Target = Target;
      Best.Expected = Time;
      BestCost = Cost;
    }
  }
  return Best;
}

auto TargetTable::ownShare(const TargetState &Target) const -> std::uint32_t {
  const double Share =
      ShareExcess * OwnerCap * Target.Record.Slots / Fleet.estimatedInstances();
  return std::max(1U, static_cast<std::uint32_t>(std::lround(Share)));
}

auto TargetTable::selectOwner(const TargetPtr &Target, TimePoint Now)
    -> TargetSelection {
  TargetSelection Selected;
  if (!Target || !takesRequests(*Target))
    return Selected;
  if (Now < Target->UnreachableUntil)
    Selected.Reason = NoTargetReason::Down;
  else if (Target->Load.queue(Now) >= OwnerCap * Target->Record.Slots ||
           Target->Load.inFlight() >= ownShare(*Target))
    Selected.Reason = NoTargetReason::Busy;
  else if (coldLimitReached(*Target, Now))
    Selected.Reason = NoTargetReason::Cold;
  else
    Selected = {Target, NoTargetReason::None, expectedTime(*Target, Now)};
  return Selected;
}

auto TargetTable::answered(TargetState &Target, Duration Latency) -> void {
  double &Average = WorkUs[Target.Record.Service];
  const auto Sample = static_cast<double>(Latency.count());
  Average = Average == 0 ? Sample : Average + WorkWeight * (Sample - Average);
  Target.Load.succeeded();
  reachable(Target);
}

auto TargetTable::markUnreachable(TargetState &Target, TimePoint Now) -> void {
  Target.Backoff = std::clamp(2 * Target.Backoff, FirstBackoff, LongestBackoff);
  Target.UnreachableUntil = Now + Target.Backoff;
  Target.UnverifiedUntil = Target.UnreachableUntil + Given.RecordDelay;
}

auto TargetTable::reachable(TargetState &Target) -> void {
  Target.Backoff = Duration(0);
  Target.UnreachableUntil = LongAgo;
}

} // namespace buckthornring
