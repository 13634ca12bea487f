#include "buckthornring/Ownership/AssignmentPlanner.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace buckthornring {

namespace {

/// Slices and load of each target during planning. Slices without measured
/// load get a small one, so that they spread by number.
class Sums {
public:
  explicit Sums(const AssignmentPlanner::Input &State)
      : State(State), Load(State.Available.size(), 0) {
    const double Total =
        std::accumulate(State.Load.begin(), State.Load.end(), 0.0);
    const auto Count =
        static_cast<double>(std::max<std::size_t>(State.Load.size(), 1));
    Floor = Total > 0 ? Total / Count * 0.01 : 1.0;
    for (std::size_t Slice = 0; Slice < State.Load.size(); ++Slice)
      if (State.Owner[Slice] != AssignmentPlanner::None)
        Load[State.Owner[Slice]] += weight(Slice);
  }

  auto weight(std::size_t Slice) const -> double {
    return std::max(State.Load[Slice], Floor);
  }

  auto of(std::size_t Target) const -> double { return Load[Target]; }

  auto move(std::size_t Slice, std::size_t From, std::size_t To) -> void {
    if (From != AssignmentPlanner::None)
      Load[From] -= weight(Slice);
    Load[To] += weight(Slice);
  }

  auto least(std::size_t Except) const -> std::size_t {
    std::size_t Best = AssignmentPlanner::None;
    for (std::size_t Target = 0; Target < Load.size(); ++Target)
      if (State.Available[Target] && Target != Except &&
          (Best == AssignmentPlanner::None || Load[Target] < Load[Best]))
        Best = Target;
    return Best;
  }

  auto most() const -> std::size_t {
    std::size_t Best = AssignmentPlanner::None;
    for (std::size_t Target = 0; Target < Load.size(); ++Target)
      if (State.Available[Target] &&
          (Best == AssignmentPlanner::None || Load[Target] > Load[Best]))
        Best = Target;
    return Best;
  }

  auto mean() const -> double {
    double Total = 0;
    double Count = 0;
    for (std::size_t Target = 0; Target < Load.size(); ++Target)
      if (State.Available[Target]) {
        Total += Load[Target];
        Count += 1;
      }
    return Count > 0 ? Total / Count : 0;
  }

private:
  const AssignmentPlanner::Input &State;
  std::vector<double> Load;
  double Floor = 0;
};

auto usable(const AssignmentPlanner::Input &State, std::size_t Target) -> bool {
  return Target != AssignmentPlanner::None && State.Available[Target];
}

/// Returns the slice whose move from the most to the least loaded target
/// lowers the larger of the two most, or None.
auto bestSlice(const AssignmentPlanner::Input &State,
               const std::vector<std::size_t> &Owner, const Sums &Loads,
               std::size_t From, std::size_t To) -> std::size_t {
  const double Gap = Loads.of(From) - Loads.of(To);
  std::size_t Best = AssignmentPlanner::None;
  double BestDistance = Gap / 2;
  for (std::size_t Slice = 0; Slice < State.Load.size(); ++Slice) {
    if (Owner[Slice] != From)
      continue;
    const double Distance = std::abs(Gap / 2 - Loads.weight(Slice));
    if (Distance < BestDistance) {
      Best = Slice;
      BestDistance = Distance;
    }
  }
  return Best;
}

} // namespace

auto AssignmentPlanner::plan(const Input &State) const
    -> std::vector<PlannedMove> {
  invariant(State.Load.size() == State.Owner.size(),
            "each slice has a load and an owner entry");
  std::vector<PlannedMove> Moves;
  std::vector<std::size_t> Owner = State.Owner;
  Sums Loads(State);
  std::vector<std::size_t> Homeless;
  for (std::size_t Slice = 0; Slice < Owner.size(); ++Slice)
    if (!usable(State, Owner[Slice]))
      Homeless.push_back(Slice);
  std::stable_sort(Homeless.begin(), Homeless.end(),
                   [&](std::size_t Left, std::size_t Right) {
                     return State.Load[Left] > State.Load[Right];
                   });
  for (const std::size_t Slice : Homeless) {
    const std::size_t To = Loads.least(None);
    if (To == None)
      return {};
    Moves.push_back({static_cast<std::uint32_t>(Slice), Owner[Slice], To});
    Loads.move(Slice, Owner[Slice], To);
    Owner[Slice] = To;
  }
  if (!Homeless.empty() || imbalance(State) <= Limits.StartImbalance)
    return Moves;
  const auto Limit = static_cast<std::size_t>(
      std::max(1.0, Limits.MoveShare * static_cast<double>(Owner.size())));
  while (Moves.size() < Limit) {
    const std::size_t From = Loads.most();
    const std::size_t To = Loads.least(From);
    if (To == None || Loads.of(From) <= Limits.StopImbalance * Loads.mean())
      break;
    const std::size_t Slice = bestSlice(State, Owner, Loads, From, To);
    if (Slice == None)
      break;
    Moves.push_back({static_cast<std::uint32_t>(Slice), From, To});
    Loads.move(Slice, From, To);
    Owner[Slice] = To;
  }
  return Moves;
}

auto AssignmentPlanner::successors(
    const Input &State, const std::vector<std::size_t> &Current) const
    -> std::vector<std::size_t> {
  std::vector<std::size_t> Result(State.Owner.size(), None);
  for (std::size_t Lost = 0; Lost < State.Available.size(); ++Lost) {
    // Spreads the slices of one target as plan() would after its loss.
    Sums Loads(State);
    std::vector<std::size_t> Slices;
    for (std::size_t Slice = 0; Slice < State.Owner.size(); ++Slice)
      if (State.Owner[Slice] == Lost)
        Slices.push_back(Slice);
    std::stable_sort(Slices.begin(), Slices.end(),
                     [&](std::size_t Left, std::size_t Right) {
                       return State.Load[Left] > State.Load[Right];
                     });
    // A successor stays while its target would end below this bound, so that
    // load noise does not rewrite the map.
    const double Count = static_cast<double>(
        std::count(State.Available.begin(), State.Available.end(), true));
    const double Bound =
        Count > 1 ? 1.15 * Loads.mean() * Count / (Count - 1) : 0;
    for (const std::size_t Slice : Slices) {
      std::size_t To = Slice < Current.size() ? Current[Slice] : None;
      if (To == Lost || !usable(State, To) ||
          Loads.of(To) + Loads.weight(Slice) > Bound)
        To = Loads.least(Lost);
      Result[Slice] = To;
      if (To != None)
        Loads.move(Slice, None, To);
    }
  }
  return Result;
}

auto AssignmentPlanner::imbalance(const Input &State) -> double {
  const Sums Loads(State);
  const std::size_t Most = Loads.most();
  if (Most == None || Loads.mean() <= 0)
    return 1;
  return Loads.of(Most) / Loads.mean();
}

} // namespace buckthornring
