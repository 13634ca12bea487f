#include "buckthornring/Limits/RateAllocator.h"

#include "Common/JsonText.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace buckthornring {

namespace {

// Each data centre keeps this share of its weight regardless of demand, so that
// the first requests after a period without traffic need no change of the
// recorded object.
constexpr std::int64_t FixedSharePerMille = 200;

// Smaller changes of an allocation are not worth a platform write.
constexpr std::int64_t MinChangePerMille = 100;

auto sum(const ShareAmount &A, const ShareAmount &B) -> ShareAmount {
  return {A.Rate + B.Rate, A.Units + B.Units};
}

auto minOf(const ShareAmount &A, const ShareAmount &B) -> ShareAmount {
  return {std::min(A.Rate, B.Rate), std::min(A.Units, B.Units)};
}

auto difference(const ShareAmount &A, const ShareAmount &B) -> ShareAmount {
  return {std::max<MilliUnits>(A.Rate - B.Rate, 0),
          std::max<MilliUnits>(A.Units - B.Units, 0)};
}

auto scaled(const ShareAmount &Total, std::int64_t Part, std::int64_t Whole)
    -> ShareAmount {
  // The products stay below 2^63: rates are below 2^40 milli-units and parts
  // are per-mille values or are reduced by the caller.
  return {Total.Rate * Part / Whole, Total.Units * Part / Whole};
}

auto differs(MilliUnits A, MilliUnits B) -> bool {
  return std::abs(A - B) * 1000 > std::max(A, B) * MinChangePerMille;
}

auto parseAllocation(const nlohmann::json &Values)
    -> std::optional<RateAllocation> {
  const bool Valid =
      Values.is_array() && Values.size() == 3 &&
      std::all_of(Values.begin(), Values.end(),
                  [](const auto &Value) { return Value.is_number_unsigned(); });
  if (!Valid)
    return std::nullopt;
  return RateAllocation{
      {Values[0].get<MilliUnits>(), Values[1].get<MilliUnits>()},
      Values[2].get<MilliUnits>()};
}

} // namespace

auto formatRateAllocations(const RateAllocationTable &Allocations)
    -> std::string {
  nlohmann::json Json = nlohmann::json::object();
  for (const auto &[Workspace, ByDataCentre] : Allocations)
    for (const auto &[DataCentre, Each] : ByDataCentre)
      Json[Workspace.str()][DataCentre.str()] = {
          Each.Amount.Rate, Each.Amount.Units, Each.Demand};
  return writeJson(Json);
}

auto parseRateAllocations(std::string_view Text)
    -> Result<RateAllocationTable> {
  const auto Json = nlohmann::json::parse(Text, nullptr,
                                          /*allow_exceptions=*/false);
  if (!Json.is_object())
    return Error("rate allocations are not a JSON object");
  RateAllocationTable Allocations;
  for (const auto &[Workspace, ByDataCentre] : Json.items()) {
    if (!ByDataCentre.is_object())
      return Error("rate allocations of a workspace are not a JSON object");
    for (const auto &[DataCentre, Values] : ByDataCentre.items()) {
      const auto Allocation = parseAllocation(Values);
      if (!Allocation)
        return Error("rate allocation of a data centre is not an array of "
                     "three unsigned numbers");
      Allocations[WorkspaceId(Workspace)][DataCentreId(DataCentre)] =
          *Allocation;
    }
  }
  return Allocations;
}

auto RateAllocator::setRecorded(std::optional<RateAllocationTable> Allocations,
                                std::uint64_t NewVersion) -> void {
  if (NewVersion < Version || (NewVersion == Version && Recorded))
    return;
  // A conditional update of an older version can no longer succeed.
  if (NewVersion > Version)
    PendingWrite.reset();
  Recorded = std::move(Allocations);
  Version = NewVersion;
}

auto RateAllocator::beginWrite() -> std::optional<RateAllocationTable> {
  auto Next = desiredTable();
  // An earlier write of unknown outcome may still succeed, so a new one must
  // not ask for more than the earlier one.
  if (Next && PendingWrite)
    for (auto &[Workspace, ByDataCentre] : *Next)
      if (const auto OwnEntry = ByDataCentre.find(Self);
          OwnEntry != ByDataCentre.end())
        OwnEntry->second.Amount =
            minOf(OwnEntry->second.Amount,
                  ownAllocation(PendingWrite, Workspace).Amount);
  if (Next)
    PendingWrite = Next;
  return Next;
}

auto RateAllocator::onWriteSucceeded(std::uint64_t NewVersion) -> void {
  Recorded = std::move(PendingWrite);
  PendingWrite.reset();
  Version = NewVersion;
}

auto RateAllocator::allowed(const WorkspaceId &Workspace) const -> ShareAmount {
  const auto Total = Configured.Workspaces.find(Workspace);
  if (Total == Configured.Workspaces.end())
    return {};
  // A reduction takes effect here first and in the recorded object afterwards.
  ShareAmount Certain = recordedAllocation(Workspace).Amount;
  if (PendingWrite)
    Certain = minOf(Certain, ownAllocation(PendingWrite, Workspace).Amount);
  return minOf(Certain, fairAllocation(Workspace, Total->second));
}

auto RateAllocator::desiredTable() const -> std::optional<RateAllocationTable> {
  RateAllocationTable Next = Recorded.value_or(RateAllocationTable());
  bool Changed = false;
  for (const auto &[Workspace, Total] : Configured.Workspaces) {
    const RateAllocation Old = recordedAllocation(Workspace);
    const ShareAmount Fair = fairAllocation(Workspace, Total);
    const ShareAmount Free = difference(Total, othersAllocation(Workspace));
    const auto EffectiveTotal = EffectiveTotals.find(Workspace);
    const ShareAmount AmountInForce = EffectiveTotal == EffectiveTotals.end()
                                          ? ShareAmount()
                                          : EffectiveTotal->second;

    RateAllocation New = Old;
    New.Amount = minOf(Fair, Free);
    New.Amount.Rate = std::max(New.Amount.Rate,
                               std::min(Old.Amount.Rate, AmountInForce.Rate));
    New.Amount.Units = std::max(
        New.Amount.Units, std::min(Old.Amount.Units, AmountInForce.Units));
    const auto Observed = Demand.find(Workspace);
    New.Demand = Observed == Demand.end() ? 0 : Observed->second;
    if (!differs(New.Amount.Rate, Old.Amount.Rate) &&
        !differs(New.Amount.Units, Old.Amount.Units) &&
        !differs(New.Demand, Old.Demand))
      continue;
    Next[Workspace][Self] = New;
    Changed = true;
  }
  if (!Changed)
    return std::nullopt;
  return Next;
}

auto RateAllocator::fairAllocation(const WorkspaceId &Workspace,
                                   const ShareAmount &Total) const
    -> ShareAmount {
  const auto OwnWeight = Configured.Weights.find(Self);
  if (OwnWeight == Configured.Weights.end())
    return {};
  std::int64_t Weights = 0;
  for (const auto &[DataCentre, Weight] : Configured.Weights)
    Weights += Weight;
  // A data centre that is taken out has weight zero. It keeps an allocation for
  // the requests that still run there until its slices have moved.
  std::int64_t OwnPerMille =
      Weights == 0 ? 0 : std::int64_t{1000} * OwnWeight->second / Weights;

  MilliUnits TotalDemand = 0;
  const auto Observed = Demand.find(Workspace);
  const MilliUnits OwnDemand = Observed == Demand.end() ? 0 : Observed->second;
  if (Recorded && Recorded->count(Workspace) != 0)
    for (const auto &[DataCentre, Each] : Recorded->at(Workspace))
      if (DataCentre != Self && Configured.Weights.count(DataCentre) != 0)
        TotalDemand += Each.Demand;
  TotalDemand += OwnDemand;
  if (TotalDemand > 0)
    OwnPerMille =
        (FixedSharePerMille * OwnPerMille +
         (1000 - FixedSharePerMille) * (1000 * OwnDemand / TotalDemand)) /
        1000;
  return scaled(Total, OwnPerMille, 1000);
}

auto RateAllocator::othersAllocation(const WorkspaceId &Workspace) const
    -> ShareAmount {
  ShareAmount Others;
  if (Recorded && Recorded->count(Workspace) != 0)
    for (const auto &[DataCentre, Each] : Recorded->at(Workspace))
      if (DataCentre != Self &&
          !Configured.LostDataCentres.contains(DataCentre))
        Others = sum(Others, Each.Amount);
  return Others;
}

auto RateAllocator::recordedAllocation(const WorkspaceId &Workspace) const
    -> RateAllocation {
  return ownAllocation(Recorded, Workspace);
}

auto RateAllocator::ownAllocation(
    const std::optional<RateAllocationTable> &Allocations,
    const WorkspaceId &Workspace) const -> RateAllocation {
  if (!Allocations || Allocations->count(Workspace) == 0)
    return {};
  const auto &ByDataCentre = Allocations->at(Workspace);
  const auto OwnEntry = ByDataCentre.find(Self);
  return OwnEntry == ByDataCentre.end() ? RateAllocation() : OwnEntry->second;
}

} // namespace buckthornring
