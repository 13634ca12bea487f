#include "buckthornring/Limits/RateAllocator.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace buckthornring {

namespace {

// Each data centre keeps this share of its weight whatever the demand, so that
// the first requests after a quiet time need no change of the object.
constexpr std::int64_t FixedPerMille = 200;

// Smaller changes of a part are not worth a platform write.
constexpr std::int64_t ChangePerMille = 100;

auto sum(const ShareAmount &A, const ShareAmount &B) -> ShareAmount {
  return {A.Rate + B.Rate, A.Units + B.Units};
}

auto atMost(const ShareAmount &A, const ShareAmount &B) -> ShareAmount {
  return {std::min(A.Rate, B.Rate), std::min(A.Units, B.Units)};
}

auto less(const ShareAmount &A, const ShareAmount &B) -> ShareAmount {
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
  return std::abs(A - B) * 1000 > std::max(A, B) * ChangePerMille;
}

auto parsePart(const nlohmann::json &Values) -> std::optional<RatePart> {
  const bool Valid =
      Values.is_array() && Values.size() == 3 &&
      std::all_of(Values.begin(), Values.end(),
                  [](const auto &Value) { return Value.is_number_unsigned(); });
  if (!Valid)
    return std::nullopt;
  return RatePart{{Values[0].get<MilliUnits>(), Values[1].get<MilliUnits>()},
                  Values[2].get<MilliUnits>()};
}

} // namespace

auto formatRateAllocations(const RateAllocationTable &Parts) -> std::string {
  nlohmann::json Json = nlohmann::json::object();
  for (const auto &[Workspace, ByDataCentre] : Parts)
    for (const auto &[DataCentre, Each] : ByDataCentre)
      Json[Workspace.str()][DataCentre.str()] = {Each.Part.Rate,
                                                 Each.Part.Units, Each.Demand};
  return Json.dump();
}

auto parseRateAllocations(std::string_view Text)
    -> Result<RateAllocationTable> {
  const auto Json = nlohmann::json::parse(Text, nullptr,
                                          /*allow_exceptions=*/false);
  if (!Json.is_object())
    return Error("rate parts are not an object");
  RateAllocationTable Parts;
  for (const auto &[Workspace, ByDataCentre] : Json.items()) {
    if (!ByDataCentre.is_object())
      return Error("rate parts of a workspace are not an object");
    for (const auto &[DataCentre, Values] : ByDataCentre.items()) {
      const auto Part = parsePart(Values);
      if (!Part)
        return Error("rate part of a data centre is not three numbers");
      Parts[WorkspaceId(Workspace)][DataCentreId(DataCentre)] = *Part;
    }
  }
  return Parts;
}

auto RateAllocator::setRecorded(std::optional<RateAllocationTable> Parts,
                                std::uint64_t NewVersion) -> void {
  if (NewVersion < Version || (NewVersion == Version && Recorded))
    return;
  // A conditional update of an older version can no longer succeed.
  if (NewVersion > Version)
    Writing.reset();
  Recorded = std::move(Parts);
  Version = NewVersion;
}

auto RateAllocator::beginWrite() -> std::optional<RateAllocationTable> {
  auto Next = wantedTable();
  // An earlier write of unknown outcome may still succeed, so a new one must
  // not ask for more than the earlier one.
  if (Next && Writing)
    for (auto &[Workspace, ByDataCentre] : *Next)
      if (const auto Own = ByDataCentre.find(Self); Own != ByDataCentre.end())
        Own->second.Part =
            atMost(Own->second.Part, ownPart(Writing, Workspace).Part);
  if (Next)
    Writing = Next;
  return Next;
}

auto RateAllocator::onWriteSucceeded(std::uint64_t NewVersion) -> void {
  Recorded = std::move(Writing);
  Writing.reset();
  Version = NewVersion;
}

auto RateAllocator::allowed(const WorkspaceId &Workspace) const -> ShareAmount {
  const auto Total = Configured.Workspaces.find(Workspace);
  if (Total == Configured.Workspaces.end())
    return {};
  // A part that is to shrink shrinks here first and in the object afterwards.
  ShareAmount Certain = recordedPart(Workspace).Part;
  if (Writing)
    Certain = atMost(Certain, ownPart(Writing, Workspace).Part);
  return atMost(Certain, fairPart(Workspace, Total->second));
}

auto RateAllocator::wantedTable() const -> std::optional<RateAllocationTable> {
  RateAllocationTable Next = Recorded.value_or(RateAllocationTable());
  bool Changed = false;
  for (const auto &[Workspace, Total] : Configured.Workspaces) {
    const RatePart Old = recordedPart(Workspace);
    const ShareAmount Fair = fairPart(Workspace, Total);
    const ShareAmount Free = less(Total, othersPart(Workspace));
    const auto Held = Effective.find(Workspace);
    const ShareAmount InForce =
        Held == Effective.end() ? ShareAmount() : Held->second;

    RatePart New = Old;
    New.Part = atMost(Fair, Free);
    New.Part.Rate =
        std::max(New.Part.Rate, std::min(Old.Part.Rate, InForce.Rate));
    New.Part.Units =
        std::max(New.Part.Units, std::min(Old.Part.Units, InForce.Units));
    const auto Seen = Demand.find(Workspace);
    New.Demand = Seen == Demand.end() ? 0 : Seen->second;
    if (!differs(New.Part.Rate, Old.Part.Rate) &&
        !differs(New.Part.Units, Old.Part.Units) &&
        !differs(New.Demand, Old.Demand))
      continue;
    Next[Workspace][Self] = New;
    Changed = true;
  }
  if (!Changed)
    return std::nullopt;
  return Next;
}

auto RateAllocator::fairPart(const WorkspaceId &Workspace,
                             const ShareAmount &Total) const -> ShareAmount {
  const auto Own = Configured.Weights.find(Self);
  if (Own == Configured.Weights.end())
    return {};
  std::int64_t Weights = 0;
  for (const auto &[DataCentre, Weight] : Configured.Weights)
    Weights += Weight;
  // A data centre that is taken out has weight zero. It keeps a part for the
  // requests that still run there until its slices have moved.
  std::int64_t OwnPerMille =
      Weights == 0 ? 0 : std::int64_t{1000} * Own->second / Weights;

  MilliUnits AllDemand = 0;
  const auto Seen = Demand.find(Workspace);
  const MilliUnits OwnDemand = Seen == Demand.end() ? 0 : Seen->second;
  if (Recorded && Recorded->count(Workspace) != 0)
    for (const auto &[DataCentre, Each] : Recorded->at(Workspace))
      if (DataCentre != Self && Configured.Weights.count(DataCentre) != 0)
        AllDemand += Each.Demand;
  AllDemand += OwnDemand;
  if (AllDemand > 0)
    OwnPerMille = (FixedPerMille * OwnPerMille +
                   (1000 - FixedPerMille) * (1000 * OwnDemand / AllDemand)) /
                  1000;
  return scaled(Total, OwnPerMille, 1000);
}

auto RateAllocator::othersPart(const WorkspaceId &Workspace) const
    -> ShareAmount {
  ShareAmount Others;
  if (Recorded && Recorded->count(Workspace) != 0)
    for (const auto &[DataCentre, Each] : Recorded->at(Workspace))
      if (DataCentre != Self &&
          !Configured.LostDataCentres.contains(DataCentre))
        Others = sum(Others, Each.Part);
  return Others;
}

auto RateAllocator::recordedPart(const WorkspaceId &Workspace) const
    -> RatePart {
  return ownPart(Recorded, Workspace);
}

auto RateAllocator::ownPart(const std::optional<RateAllocationTable> &Parts,
                            const WorkspaceId &Workspace) const -> RatePart {
  if (!Parts || Parts->count(Workspace) == 0)
    return {};
  const auto &ByDataCentre = Parts->at(Workspace);
  const auto Own = ByDataCentre.find(Self);
  return Own == ByDataCentre.end() ? RatePart() : Own->second;
}

} // namespace buckthornring
