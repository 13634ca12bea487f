#include "Fleet/BusyKeys.h"

#include <algorithm>
#include <set>

namespace buckthornring {

namespace {

/// Utilisation of the fastest target by one key from which the key gets a
/// target for itself: beside it, other keys would wait for a slot.
constexpr double BusyKeyUtilisation = 0.9;

/// The same while the key is alone at its owner already, so that a rate that
/// varies around the limit does not move the other keys to and fro.
constexpr double AloneKeyUtilisation = 0.6;

/// Share of the owner's requests from which a key counts as alone there.
constexpr double AloneShare = 0.9;

/// Capacity of another target, relative to the owner's, from which the key is
/// moved there. Measured capacities differ by a tenth by chance.
constexpr double FasterHomeFactor = 1.25;

/// Targets for each key that gets one for itself.
constexpr std::size_t TargetsPerBusyKey = 4;

auto ownerRate(const RangePlanner::Input &Inputs, const TargetId &Owner)
    -> double {
  double Sum = 0;
  for (const KeyRange &Range : Inputs.Record.Ranges)
    if (Range.Owner == Owner)
      Sum += Inputs.Load.rate(Range.From, Range.To);
  return Sum;
}

auto findTarget(const RangePlanner::Input &Inputs, const TargetId &Id)
    -> const PlanTarget * {
  for (const PlanTarget &Target : Inputs.Targets)
    if (Target.Id == Id)
      return &Target;
  return nullptr;
}

/// Returns the fastest target that is no home yet, or null.
auto fastestFree(const RangePlanner::Input &Inputs,
                 const std::set<TargetId> &Homes) -> const PlanTarget * {
  const PlanTarget *Fastest = nullptr;
  for (const PlanTarget &Target : Inputs.Targets)
    if (Target.TakesNewKeys && !Homes.contains(Target.Id) &&
        (!Fastest || Target.Capacity > Fastest->Capacity))
      Fastest = &Target;
  return Fastest;
}

auto busyCandidates(const RangePlanner::Input &Inputs) -> std::vector<BusyKey> {
  double MaxCapacity = 0;
  for (const PlanTarget &Target : Inputs.Targets)
    MaxCapacity = std::max(MaxCapacity, Target.Capacity);
  std::vector<BusyKey> Out;
  const auto Visit = [&](std::uint32_t Key, double Rate) {
    const double Utilisation = Rate * Inputs.ProcessingSeconds / MaxCapacity;
    if (Utilisation < AloneKeyUtilisation)
      return;
    const KeyRange *Range = Inputs.Record.find(Key);
    if (!Range || !findTarget(Inputs, Range->Owner))
      return;
    if (Utilisation >= BusyKeyUtilisation ||
        Rate >= AloneShare * ownerRate(Inputs, Range->Owner))
      Out.push_back({Key, Rate, Range->Owner, TargetId()});
  };
  if (Inputs.Keys > 0 && MaxCapacity > 0)
    Inputs.Load.forEach(0, Inputs.Keys - 1, Visit);
  std::sort(Out.begin(), Out.end(),
            [](const BusyKey &L, const BusyKey &R) { return L.Rate > R.Rate; });
  return Out;
}

} // namespace

auto findBusyKeys(const RangePlanner::Input &Inputs) -> std::vector<BusyKey> {
  std::vector<BusyKey> Out;
  std::set<TargetId> Homes;
  for (BusyKey &Each : busyCandidates(Inputs)) {
    if (Out.size() >= Inputs.Targets.size() / TargetsPerBusyKey)
      break;
    const PlanTarget *Owner = findTarget(Inputs, Each.Owner);
    const PlanTarget *Fastest = fastestFree(Inputs, Homes);
    const bool Faster =
        Fastest && Fastest->Capacity >= FasterHomeFactor * Owner->Capacity;
    const bool OwnerTaken = Homes.contains(Each.Owner);
    if (OwnerTaken && !Fastest)
      break;
    Each.Home = OwnerTaken || Faster ? Fastest->Id : Each.Owner;
    Homes.insert(Each.Home);
    Out.push_back(Each);
  }
  return Out;
}

} // namespace buckthornring
