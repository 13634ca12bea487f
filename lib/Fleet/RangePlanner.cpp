#include "Fleet/RangePlanner.h"

#include "Fleet/BusyKeys.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace buckthornring {

namespace {

/// Utilisation from which keys of a target are moved to a less utilised one:
/// above it, requests begin to wait for a slot.
constexpr double MinMoveUtilisation = 0.5;

/// Difference in utilisation below which no keys are moved: each move
/// interrupts its keys for about one request time, and the request rates are
/// noisy. A rate from 40 requests has an error of 16%, so among 166 targets at
/// 0.37 of their capacity differences of 0.3 come from noise.
constexpr double MinImbalance = 0.35;

/// Number of moves in one plan that only balance the load: MinBalanceMoves or
/// one per TargetsPerBalanceMove targets, whichever is more, since busy keys
/// may have to be spread over many of them.
constexpr std::size_t MinBalanceMoves = 4;
constexpr std::size_t TargetsPerBalanceMove = 2;

/// Requests per second that are assumed for all keys together in addition to
/// the observed rate, so that idle keys are distributed too.
constexpr double AssumedTotalRate = 5.0;

/// Number of ranges of one target from which balancing does not split further:
/// each range is renewed by a separate order.
constexpr std::size_t MaxRangesPerTarget = 8;

/// Ranges per target, over all targets, from which no range is split any more.
/// Each range is renewed by an order per second, and each instance reads the
/// record anew at each change.
constexpr double MaxMeanRanges = 1.75;

/// Utilisation of a target by keys beside its busy key from which they are
/// moved away. Idle keys cost it nothing.
constexpr double MinBesideUtilisation = 0.02;

/// Joins in one plan: MinJoins or one per TargetsPerJoin targets, whichever is
/// more. Each joined range needs an order at once.
constexpr std::size_t MinJoins = 4;
constexpr std::size_t TargetsPerJoin = 4;

class Plan {
public:
  explicit Plan(const RangePlanner::Input &Inputs)
      : Inputs(Inputs), Record(Inputs.Record) {
    AssumedKeyRate = AssumedTotalRate / std::max(1U, Inputs.Keys);
    for (const PlanTarget &Target : Inputs.Targets)
      Loads[Target.Id] = 0;
    for (const KeyRange &Range : Record.Ranges)
      if (const PlanTarget *Owner = owner(Range))
        Loads[Owner->Id] += estimatedRate(Range.From, Range.To);
    for (const BusyKey &Each : BusyKeys)
      Reserved.insert(Each.Home);
    Figures.BusyKeys = BusyKeys.size();
  }

  /// Gives each busy key its home, and moves the other busy keys of the home
  /// away.
  auto isolateBusyKeys() -> void {
    const PlanTarget *To = leastLoaded();
    if (!To || Reserved.contains(To->Id))
      return;
    for (const BusyKey &Each : BusyKeys) {
      std::vector<KeyRange> Moved;
      bool Arrives = false;
      std::vector<KeyRange> Kept;
      for (const KeyRange &Range : Record.Ranges) {
        const bool HasKey = Range.From <= Each.Key && Each.Key <= Range.To;
        const bool Leaves = HasKey && Range.Owner != Each.Home;
        if ((Range.Owner != Each.Home && !HasKey) || !owner(Range) ||
            !movable(Range))
          Kept.push_back(Range);
        else if (HasKey)
          separate(Range, Each, Kept, Moved, Leaves, Arrives);
        else
          (isBusyBeside(Range) ? Moved : Kept).push_back(Range);
      }
      if (Moved.empty() && !Arrives)
        continue;
      Record.Ranges = std::move(Kept);
      for (const KeyRange &Range : Moved) {
        Loads[Range.Owner] -= estimatedRate(Range.From, Range.To);
        for (const KeyRange &Piece : splitRange(Range, false))
          assign(Piece, *leastLoaded());
      }
      sort();
    }
  }

  auto replaceLostOwners() -> void {
    const bool FirstAssignment =
        std::none_of(Record.Ranges.begin(), Record.Ranges.end(),
                     [](const KeyRange &R) { return !R.Owner.empty(); });
    std::vector<KeyRange> Kept;
    std::vector<KeyRange> Lost;
    for (const KeyRange &Range : Record.Ranges)
      (owner(Range) || !Inputs.Movable(Range) ? Kept : Lost).push_back(Range);
    // A restarted target keeps its keys: nobody else may hold them, so there is
    // nothing to wait for.
    const auto FirstMoved =
        std::partition(Lost.begin(), Lost.end(), [this](const KeyRange &Range) {
          return target(Range.Owner);
        });
    const bool MayMove = FirstMoved != Lost.end() && anyTargetTakesNewKeys();
    if (FirstMoved == Lost.begin() && !MayMove)
      return;
    Record.Ranges = std::move(Kept);
    for (auto Range = Lost.begin(); Range != FirstMoved; ++Range)
      assign(*Range, *target(Range->Owner));
    for (auto Range = FirstMoved; Range != Lost.end(); ++Range)
      if (!MayMove)
        Record.Ranges.push_back(*Range);
      else
        for (const KeyRange &Piece : splitRange(*Range, FirstAssignment))
          assign(Piece, *leastLoaded());
    sort();
  }

  auto assignToNewTargets() -> void {
    for (const PlanTarget &Target : Inputs.Targets)
      if (Target.TakesNewKeys && rangesOf(Target.Id) == 0)
        if (const PlanTarget *From = mostLoaded())
          moveLoad(*From, Target);
  }

  auto balance() -> void {
    const std::size_t MaxMoves = std::max(
        MinBalanceMoves, Inputs.Targets.size() / TargetsPerBalanceMove);
    const double Mean = meanRelativeLoad();
    for (std::size_t Move = 0; Move < MaxMoves; ++Move) {
      const PlanTarget *From = mostLoaded();
      const PlanTarget *To = leastLoaded();
      if (!From || !To || From == To ||
          rangesOf(To->Id) >= MaxRangesPerTarget ||
          utilisation(*From) < MinMoveUtilisation ||
          utilisation(*From) - utilisation(*To) < MinImbalance)
        return;
      // The target is filled up to the mean only; it then needs no further
      // move, and the remaining load can go to other targets in the same plan.
      const double SpareLoad = Mean * To->Capacity - Loads[To->Id];
      // A target that can give nothing does not stop the others.
      if (rangesOf(From->Id) >= MaxRangesPerTarget ||
          !moveLoad(*From, *To, SpareLoad))
        Passed.insert(From->Id);
    }
  }

  /// Joins adjacent ranges of one owner. Both have no previous owner, so nobody
  /// else can hold their keys.
  auto joinNeighbours() -> void {
    std::size_t JoinsLeft =
        std::max(MinJoins, Inputs.Targets.size() / TargetsPerJoin);
    std::vector<KeyRange> Next;
    for (const KeyRange &Range : Record.Ranges) {
      KeyRange *Previous = Next.empty() ? nullptr : &Next.back();
      const bool Joinable =
          Previous && JoinsLeft > 0 && Previous->Owner == Range.Owner &&
          Previous->OwnerStartedAt == Range.OwnerStartedAt && owner(Range) &&
          Previous->PreviousOwner.empty() && Range.PreviousOwner.empty() &&
          Inputs.Movable(*Previous) && Inputs.Movable(Range);
      if (!Joinable) {
        Next.push_back(Range);
        continue;
      }
      Previous->To = Range.To;
      Previous->Fence = Record.NextFence++;
      --JoinsLeft;
      ++Figures.Joins;
      Changed = true;
    }
    Record.Ranges = std::move(Next);
  }

  auto changed() const -> bool { return Changed; }
  auto figures() const -> const MoveFigures & { return Figures; }
  auto record() && -> RangeRecord { return std::move(Record); }

private:
  auto target(const TargetId &Id) const -> const PlanTarget * {
    for (const PlanTarget &Target : Inputs.Targets)
      if (Target.Id == Id)
        return &Target;
    return nullptr;
  }

  auto owner(const KeyRange &Range) const -> const PlanTarget * {
    const PlanTarget *Found = target(Range.Owner);
    return Found && Found->StartedAt == Range.OwnerStartedAt ? Found : nullptr;
  }

  /// A range that this plan has already moved has not been granted to its new
  /// owner yet, so the previous owner in the record still applies.
  auto movable(const KeyRange &Range) const -> bool {
    return Range.Fence < Inputs.Record.NextFence && Inputs.Movable(Range);
  }

  auto estimatedRate(std::uint32_t From, std::uint32_t To) const -> double {
    return Inputs.Load.rate(From, To) + AssumedKeyRate * (To - From + 1.0);
  }

  auto relativeLoad(const PlanTarget &Target) const -> double {
    return Loads.at(Target.Id) / Target.Capacity;
  }

  auto utilisation(const PlanTarget &Target) const -> double {
    return relativeLoad(Target) * Inputs.ProcessingSeconds;
  }

  /// Splits the range of a busy key: its neighbours that are busy are moved
  /// away. \p Leaves: the key itself gets another owner.
  auto separate(const KeyRange &Range, const BusyKey &Busy,
                std::vector<KeyRange> &Kept, std::vector<KeyRange> &Moved,
                bool Leaves, bool &Arrives) -> void {
    KeyRange Own = Range;
    const auto CutOff = [&](std::uint32_t From, std::uint32_t To) {
      KeyRange Side = Range;
      Side.From = From;
      Side.To = To;
      if (!Leaves && !isBusyBeside(Side))
        return false;
      // Its earlier owner keeps what is beside a key that leaves.
      (Leaves ? Kept : Moved).push_back(Side);
      return true;
    };
    if (Busy.Key > Range.From && CutOff(Range.From, Busy.Key - 1))
      Own.From = Busy.Key;
    if (Busy.Key < Range.To && CutOff(Busy.Key + 1, Range.To))
      Own.To = Busy.Key;
    if (!Leaves)
      return Kept.push_back(Own);
    Arrives = true;
    Loads[Own.Owner] -= estimatedRate(Own.From, Own.To);
    reassign(Own, *target(Busy.Home));
    Kept.push_back(Own);
  }

  auto isBusyBeside(const KeyRange &Range) const -> bool {
    return Inputs.Load.rate(Range.From, Range.To) * Inputs.ProcessingSeconds >=
           MinBesideUtilisation * target(Range.Owner)->Capacity;
  }

  auto maySplit() const -> bool {
    return static_cast<double>(Record.Ranges.size()) <
           MaxMeanRanges * static_cast<double>(Inputs.Targets.size());
  }

  auto meanRelativeLoad() const -> double {
    double Load = 0;
    double Capacity = 0;
    for (const PlanTarget &Target : Inputs.Targets) {
      if (Reserved.contains(Target.Id))
        continue;
      Load += Loads.at(Target.Id);
      Capacity += Target.Capacity;
    }
    return Load / Capacity;
  }

  auto anyTargetTakesNewKeys() const -> bool {
    return std::any_of(Inputs.Targets.begin(), Inputs.Targets.end(),
                       [](const PlanTarget &T) { return T.TakesNewKeys; });
  }

  /// Returns the home of a busy key only if no other target takes new keys.
  auto leastLoaded() const -> const PlanTarget * {
    const PlanTarget *Selected = nullptr;
    const auto Rank = [this](const PlanTarget &Target) {
      return std::pair(Reserved.contains(Target.Id), relativeLoad(Target));
    };
    for (const PlanTarget &Target : Inputs.Targets)
      if (Target.TakesNewKeys && (!Selected || Rank(Target) < Rank(*Selected)))
        Selected = &Target;
    return Selected;
  }

  auto mostLoaded() const -> const PlanTarget * {
    const PlanTarget *Selected = nullptr;
    for (const PlanTarget &Target : Inputs.Targets)
      if (rangesOf(Target.Id) > 0 && !Reserved.contains(Target.Id) &&
          !Passed.contains(Target.Id) &&
          (!Selected || relativeLoad(Target) > relativeLoad(*Selected)))
        Selected = &Target;
    return Selected;
  }

  auto rangesOf(const TargetId &Id) const -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(Record.Ranges.begin(), Record.Ranges.end(),
                      [&](const KeyRange &R) { return R.Owner == Id; }));
  }

  /// Returns the last key of the first part of the range that carries a load of
  /// \p Wanted.
  auto splitPoint(const KeyRange &Range, double Wanted) const -> std::uint32_t {
    double Sum = 0;
    std::uint32_t Position = Range.From;
    std::uint32_t Split = Range.To;
    bool Found = false;
    const auto Advance = [&](std::uint32_t Key, double Rate) {
      if (Found)
        return;
      const double Before = AssumedKeyRate * (Key - Position);
      if (Sum + Before >= Wanted) {
        Split = Position + static_cast<std::uint32_t>(
                               std::max(0.0, (Wanted - Sum) / AssumedKeyRate));
        Found = true;
        return;
      }
      Sum += Before + Rate + AssumedKeyRate;
      Position = Key + 1;
      if (Sum >= Wanted) {
        Split = Key;
        Found = true;
      }
    };
    Inputs.Load.forEach(Range.From, Range.To, Advance);
    if (!Found)
      Split = Position + static_cast<std::uint32_t>(
                             std::max(0.0, (Wanted - Sum) / AssumedKeyRate));
    return std::clamp(Split, Range.From, Range.To);
  }

  auto splitRange(const KeyRange &Range, bool FirstAssignment) const
      -> std::vector<KeyRange> {
    double Total = 0;
    for (const auto &[Id, Load] : Loads)
      if (!Reserved.contains(Id))
        Total += Load;
    const double RangeLoad = estimatedRate(Range.From, Range.To);
    const auto Count =
        static_cast<double>(Inputs.Targets.size() - Reserved.size());
    if (!FirstAssignment && !maySplit())
      return {Range};
    const double Mean = (Total + RangeLoad) / Count;
    const double Parts = std::clamp(
        std::round((FirstAssignment ? 1 : 2) * RangeLoad / Mean), 1.0, Count);
    std::vector<KeyRange> Out;
    KeyRange Rest = Range;
    for (auto Part = static_cast<int>(Parts); Part > 1; --Part) {
      const std::uint32_t End =
          splitPoint(Rest, estimatedRate(Rest.From, Rest.To) / Part);
      if (End >= Rest.To)
        break;
      KeyRange Piece = Rest;
      Piece.To = End;
      Rest.From = End + 1;
      Out.push_back(std::move(Piece));
    }
    Out.push_back(std::move(Rest));
    return Out;
  }

  auto assign(KeyRange Range, const PlanTarget &To) -> void {
    reassign(Range, To);
    Record.Ranges.push_back(std::move(Range));
  }

  auto reassign(KeyRange &Range, const PlanTarget &To) -> void {
    if (!Range.Owner.empty()) {
      Range.PreviousOwner = Range.Owner;
      Range.PreviousOwnerStartedAt = Range.OwnerStartedAt;
      Range.PreviousOwnerFence = Range.Fence;
    }
    Range.Owner = To.Id;
    Range.OwnerStartedAt = To.StartedAt;
    Range.Fence = Record.NextFence++;
    Loads[To.Id] += estimatedRate(Range.From, Range.To);
    Changed = true;
  }

  /// Whether the move earns more than it costs.
  auto earns(const PlanTarget &From, const PlanTarget &To, double Moved)
      -> bool {
    const MovePrice Price(Inputs.ProcessingSeconds);
    const double Gain = Price.gain({Loads[From.Id], From.Capacity},
                                   {Loads[To.Id], To.Capacity}, Moved);
    const double Cost = Price.cost(Moved);
    if (Gain <= Cost) {
      ++Figures.Skipped;
      return false;
    }
    ++Figures.Moves;
    Figures.GainSeconds += Gain;
    Figures.CostSeconds += Cost;
    return true;
  }

  /// Moves enough load to balance both targets by capacity, at most \p MaxLoad,
  /// if one is given, and if the move earns more than it costs. Returns false
  /// when nothing is moved.
  auto moveLoad(const PlanTarget &From, const PlanTarget &To,
                std::optional<double> MaxLoad = std::nullopt) -> bool {
    const double Share = To.Capacity / (From.Capacity + To.Capacity);
    const double Even = Loads[From.Id] * Share - Loads[To.Id] * (1 - Share);
    const double Wanted = std::min(MaxLoad.value_or(Even), Even);
    KeyRange *Busiest = nullptr;
    for (KeyRange &Range : Record.Ranges)
      if (Range.Owner == From.Id && owner(Range) && movable(Range) &&
          (!Busiest || estimatedRate(Range.From, Range.To) >
                           estimatedRate(Busiest->From, Busiest->To)))
        Busiest = &Range;
    if (!Busiest || Wanted <= 0)
      return false;
    const std::uint32_t End =
        maySplit() ? splitPoint(*Busiest, Wanted) : Busiest->To;
    KeyRange Moved = *Busiest;
    const bool Whole = End >= Busiest->To;
    if (!Whole)
      Moved.To = End;
    const double Rate = estimatedRate(Moved.From, Moved.To);
    // The whole range is moved, unless that would only exchange which of the
    // two targets is overloaded.
    if ((Whole && Rate > 1.5 * Wanted) || (MaxLoad && !earns(From, To, Rate)))
      return false;
    if (Whole)
      std::erase(Record.Ranges, Moved);
    else
      Busiest->From = End + 1;
    Loads[From.Id] -= Rate;
    assign(std::move(Moved), To);
    sort();
    return true;
  }

  auto sort() -> void {
    std::sort(Record.Ranges.begin(), Record.Ranges.end(),
              [](const KeyRange &First, const KeyRange &Second) {
                return First.From < Second.From;
              });
  }

  const RangePlanner::Input &Inputs;
  RangeRecord Record;
  std::vector<BusyKey> BusyKeys = findBusyKeys(Inputs);
  /// Homes of busy keys, which take no other keys.
  std::set<TargetId> Reserved;
  std::set<TargetId> Passed; ///< Targets that can give no keys away.
  double AssumedKeyRate = 0;
  std::map<TargetId, double> Loads;
  MoveFigures Figures;
  bool Changed = false;
};

} // namespace

auto RangePlanner::plan(const Input &Inputs) -> std::optional<RangeRecord> {
  if (Inputs.Targets.empty())
    return std::nullopt;
  Plan Next(Inputs);
  Next.replaceLostOwners();
  if (Inputs.Balance && !Next.changed()) {
    Next.isolateBusyKeys();
    Next.assignToNewTargets();
    if (!Next.changed())
      Next.balance();
  }
  if (Inputs.Join && !Next.changed())
    Next.joinNeighbours();
  if (Inputs.Figures)
    *Inputs.Figures = Next.figures();
  if (!Next.changed())
    return std::nullopt;
  RangeRecord Record = std::move(Next).record();
  invariant(Record.valid(Inputs.Keys), "planned ranges cover all keys once");
  return Record;
}

} // namespace buckthornring
