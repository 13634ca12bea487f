#include "Fleet/RangePlanner.h"

#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace buckthornring {

namespace {

/// Utilisation from which a target's keys move to a less used one: above it,
/// requests begin to wait for a place.
constexpr double BusyUtilisation = 0.5;

/// Difference in utilisation below which no keys move. Each move interrupts its
/// keys for about one request time, and the measured rates are noisy.
constexpr double SmallestImbalance = 0.18;

/// Moves of one plan that only even out the load: at least some, and a part of
/// the number of targets, as busy keys may have to reach many of them.
constexpr std::size_t FewestMoves = 4;
constexpr std::size_t MovesDivisor = 2;

/// Requests per second that all keys together are assumed to get beside the
/// measured ones, so that idle keys are spread too.
constexpr double AssumedRate = 5.0;

/// Ranges of one target, beyond which balancing does not split further: each
/// range is renewed by a call of its own.
constexpr std::size_t MaxRanges = 8;

class Plan {
public:
  explicit Plan(const RangePlanner::Input &Given)
      : Given(Given), Record(Given.Record) {
    Assumed = AssumedRate / std::max(1U, Given.Keys);
    for (const PlanTarget &Target : Given.Targets)
      Loads[Target.Id] = 0;
    for (const KeyRange &Range : Record.Ranges)
      if (const PlanTarget *Owner = owner(Range))
        Loads[Owner->Id] += weight(Range.From, Range.To);
  }

  auto replaceLostOwners() -> void {
    const bool First =
        std::none_of(Record.Ranges.begin(), Record.Ranges.end(),
                     [](const KeyRange &R) { return !R.Owner.empty(); });
    std::vector<KeyRange> Kept;
    std::vector<KeyRange> Lost;
    for (const KeyRange &Range : Record.Ranges)
      (owner(Range) || !Given.Movable(Range) ? Kept : Lost).push_back(Range);
    if (Lost.empty() || !anyTaker())
      return;
    Record.Ranges = std::move(Kept);
    for (const KeyRange &Range : Lost)
      for (const KeyRange &Piece : pieces(Range, First))
        give(Piece, *leastLoaded());
    sort();
  }

  auto serveJoiners() -> void {
    for (const PlanTarget &Target : Given.Targets)
      if (Target.TakesNewKeys && rangesOf(Target.Id) == 0)
        if (const PlanTarget *From = mostLoaded())
          takePart(*From, Target);
  }

  auto balance() -> void {
    const std::size_t MaxMoves =
        std::max(FewestMoves, Given.Targets.size() / MovesDivisor);
    const double Mean = meanRelative();
    for (std::size_t Move = 0; Move < MaxMoves; ++Move) {
      const PlanTarget *From = mostLoaded();
      const PlanTarget *To = leastLoaded();
      if (!From || !To || From == To || rangesOf(From->Id) >= MaxRanges ||
          rangesOf(To->Id) >= MaxRanges ||
          utilisation(*From) < BusyUtilisation ||
          utilisation(*From) - utilisation(*To) < SmallestImbalance)
        return;
      // A target that is filled up to the mean needs no further move, and the
      // rest stays where it can go to others at once.
      const double Room = Mean * To->Capacity - Loads[To->Id];
      if (!takePart(*From, *To, Room))
        return;
    }
  }

  auto changed() const -> bool { return Changed; }
  auto record() && -> RangeRecord { return std::move(Record); }

private:
  auto owner(const KeyRange &Range) const -> const PlanTarget * {
    for (const PlanTarget &Target : Given.Targets)
      if (Target.Id == Range.Owner && Target.StartedAt == Range.OwnerStartedAt)
        return &Target;
    return nullptr;
  }

  /// A range that this plan has already moved has not reached its owner, so its
  /// donor is still the previous one.
  auto movable(const KeyRange &Range) const -> bool {
    return Range.Fence < Given.Record.NextFence && Given.Movable(Range);
  }

  auto weight(std::uint32_t From, std::uint32_t To) const -> double {
    return Given.Load.rate(From, To) + Assumed * (To - From + 1.0);
  }

  auto relative(const PlanTarget &Target) const -> double {
    return Loads.at(Target.Id) / Target.Capacity;
  }

  auto utilisation(const PlanTarget &Target) const -> double {
    return relative(Target) * Given.ProcessingSeconds;
  }

  auto meanRelative() const -> double {
    double Load = 0;
    double Capacity = 0;
    for (const PlanTarget &Target : Given.Targets) {
      Load += Loads.at(Target.Id);
      Capacity += Target.Capacity;
    }
    return Load / Capacity;
  }

  auto anyTaker() const -> bool {
    return std::any_of(Given.Targets.begin(), Given.Targets.end(),
                       [](const PlanTarget &T) { return T.TakesNewKeys; });
  }

  auto leastLoaded() const -> const PlanTarget * {
    const PlanTarget *Best = nullptr;
    for (const PlanTarget &Target : Given.Targets)
      if (Target.TakesNewKeys && (!Best || relative(Target) < relative(*Best)))
        Best = &Target;
    return Best;
  }

  auto mostLoaded() const -> const PlanTarget * {
    const PlanTarget *Best = nullptr;
    for (const PlanTarget &Target : Given.Targets)
      if (rangesOf(Target.Id) > 0 &&
          (!Best || relative(Target) > relative(*Best)))
        Best = &Target;
    return Best;
  }

  auto rangesOf(const TargetId &Id) const -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(Record.Ranges.begin(), Record.Ranges.end(),
                      [&](const KeyRange &R) { return R.Owner == Id; }));
  }

  /// Last key of the first part of the range that carries \p Wanted load.
  auto splitPoint(const KeyRange &Range, double Wanted) const -> std::uint32_t {
    double Sum = 0;
    std::uint32_t Position = Range.From;
    std::uint32_t Split = Range.To;
    bool Found = false;
    const auto Advance = [&](std::uint32_t Key, double Rate) {
      if (Found)
        return;
      const double Before = Assumed * (Key - Position);
      if (Sum + Before >= Wanted) {
        Split = Position + static_cast<std::uint32_t>(
                               std::max(0.0, (Wanted - Sum) / Assumed));
        Found = true;
        return;
      }
      Sum += Before + Rate + Assumed;
      Position = Key + 1;
      if (Sum >= Wanted) {
        Split = Key;
        Found = true;
      }
    };
    Given.Load.forEach(Range.From, Range.To, Advance);
    if (!Found)
      Split = Position + static_cast<std::uint32_t>(
                             std::max(0.0, (Wanted - Sum) / Assumed));
    return std::clamp(Split, Range.From, Range.To);
  }

  auto pieces(const KeyRange &Range, bool First) const
      -> std::vector<KeyRange> {
    double Total = 0;
    for (const auto &[Id, Load] : Loads)
      Total += Load;
    const double Own = weight(Range.From, Range.To);
    const auto Count = static_cast<double>(Given.Targets.size());
    const double Mean = (Total + Own) / Count;
    const double Parts =
        std::clamp(std::round((First ? 1 : 2) * Own / Mean), 1.0, Count);
    std::vector<KeyRange> Out;
    KeyRange Rest = Range;
    for (auto Part = static_cast<int>(Parts); Part > 1; --Part) {
      const std::uint32_t End =
          splitPoint(Rest, weight(Rest.From, Rest.To) / Part);
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

  auto give(KeyRange Range, const PlanTarget &To) -> void {
    if (!Range.Owner.empty()) {
      Range.PreviousOwner = Range.Owner;
      Range.DonorStartedAt = Range.OwnerStartedAt;
      Range.DonorFence = Range.Fence;
    }
    Range.Owner = To.Id;
    Range.OwnerStartedAt = To.StartedAt;
    Range.Fence = Record.NextFence++;
    Loads[To.Id] += weight(Range.From, Range.To);
    Record.Ranges.push_back(std::move(Range));
    Changed = true;
  }

  /// Moves about half of the difference in load, at most \p Most. False when
  /// nothing can move.
  auto takePart(const PlanTarget &From, const PlanTarget &To,
                double Most = std::numeric_limits<double>::infinity()) -> bool {
    const double Share = To.Capacity / (From.Capacity + To.Capacity);
    const double Wanted =
        std::min(Most, Loads[From.Id] * Share - Loads[To.Id] * (1 - Share));
    KeyRange *Busiest = nullptr;
    for (KeyRange &Range : Record.Ranges)
      if (Range.Owner == From.Id && owner(Range) && movable(Range) &&
          (!Busiest ||
           weight(Range.From, Range.To) > weight(Busiest->From, Busiest->To)))
        Busiest = &Range;
    if (!Busiest || Wanted <= 0)
      return false;
    const std::uint32_t End = splitPoint(*Busiest, Wanted);
    KeyRange Moved = *Busiest;
    if (End >= Busiest->To) {
      // The whole range moves, unless that would only swap the roles.
      if (weight(Moved.From, Moved.To) > 1.5 * Wanted)
        return false;
      std::erase(Record.Ranges, Moved);
    } else {
      Moved.To = End;
      Busiest->From = End + 1;
    }
    Loads[From.Id] -= weight(Moved.From, Moved.To);
    give(std::move(Moved), To);
    sort();
    return true;
  }

  auto sort() -> void {
    std::sort(Record.Ranges.begin(), Record.Ranges.end(),
              [](const KeyRange &First, const KeyRange &Second) {
                return First.From < Second.From;
              });
  }

  const RangePlanner::Input &Given;
  RangeRecord Record;
  double Assumed = 0;
  std::map<TargetId, double> Loads;
  bool Changed = false;
};

} // namespace

auto RangePlanner::plan(const Input &Given) -> std::optional<RangeRecord> {
  if (Given.Targets.empty())
    return std::nullopt;
  Plan Next(Given);
  Next.replaceLostOwners();
  if (Given.Balance && !Next.changed()) {
    Next.serveJoiners();
    if (!Next.changed())
      Next.balance();
  }
  if (!Next.changed())
    return std::nullopt;
  RangeRecord Record = std::move(Next).record();
  invariant(Record.valid(Given.Keys), "planned ranges cover all keys once");
  return Record;
}

} // namespace buckthornring
