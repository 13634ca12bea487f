#include "OwnershipBalance.h"
#include "Measurement.h"
#include "buckthornring/Ownership/SliceMap.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <numeric>
#include <string>

namespace buckthornring::measure {

namespace {

constexpr std::size_t Targets = 10;
constexpr std::uint32_t Slices = 256;
constexpr std::size_t Keys = 100000;
constexpr std::size_t RequestsPerMinute = 60000;
constexpr std::uint64_t Seeds = 10;

using Owners = std::vector<std::size_t>;
using Input = AssignmentPlanner::Input;

/// Returns the index of the available target at \p Position; positions wrap
/// around.
auto availableTarget(const Input &State, std::size_t Position) -> std::size_t {
  std::vector<std::size_t> Candidates;
  for (std::size_t Target = 0; Target < State.Available.size(); ++Target)
    if (State.Available[Target])
      Candidates.push_back(Target);
  return Candidates[Position % Candidates.size()];
}

auto hashPosition(const std::string &Text) -> std::uint32_t {
  return SliceMap::sliceOf(Text, 65536);
}

/// AssignmentPlanner, which moves at most 1% of the slices per minute.
class PlannerPolicy : public BalancePolicy {
public:
  auto name() const -> std::string_view override { return "planner"; }
  auto plan(const Input &State) -> Owners override {
    Owners Result = State.Owner;
    const AssignmentPlanner Planner{AssignmentPlanner::Options()};
    for (const auto &Move : Planner.plan(State))
      Result[Move.Slice] = Move.To;
    return Result;
  }
};

class RandomPolicy : public BalancePolicy {
public:
  explicit RandomPolicy(std::uint64_t Seed) : Random(Seed) {}
  auto name() const -> std::string_view override { return "random"; }
  auto plan(const Input &State) -> Owners override {
    Owners Result = State.Owner;
    for (std::size_t &Owner : Result)
      if (Owner == AssignmentPlanner::None || !State.Available[Owner])
        Owner = availableTarget(State, Random.below(Targets * 1000));
    return Result;
  }

private:
  RandomSource Random;
};

class RoundRobinPolicy : public BalancePolicy {
public:
  auto name() const -> std::string_view override { return "round-robin"; }
  auto plan(const Input &State) -> Owners override {
    Owners Result;
    for (std::size_t Slice = 0; Slice < State.Owner.size(); ++Slice)
      Result.push_back(availableTarget(State, Slice));
    return Result;
  }
};

/// Consistent hashing on a ring with 100 points per target.
class ConsistentHashingPolicy : public BalancePolicy {
public:
  auto name() const -> std::string_view override {
    return "consistent-hashing";
  }
  auto plan(const Input &State) -> Owners override {
    std::vector<std::pair<std::uint32_t, std::size_t>> Ring;
    for (std::size_t Target = 0; Target < State.Available.size(); ++Target)
      for (int Point = 0; State.Available[Target] && Point < 100; ++Point)
        Ring.emplace_back(hashPosition("target" + std::to_string(Target) + "." +
                                       std::to_string(Point)),
                          Target);
    std::sort(Ring.begin(), Ring.end());
    Owners Result;
    for (std::size_t Slice = 0; Slice < State.Owner.size(); ++Slice) {
      const auto Position = std::lower_bound(
          Ring.begin(), Ring.end(),
          std::pair(hashPosition("slice" + std::to_string(Slice)),
                    std::size_t{0}));
      Result.push_back(Position == Ring.end() ? Ring.front().second
                                              : Position->second);
    }
    return Result;
  }
};

/// Assigns each slice, in the order of the slices, to the least loaded target.
class LeastLoadedPolicy : public BalancePolicy {
public:
  auto name() const -> std::string_view override { return "least-loaded"; }
  auto plan(const Input &State) -> Owners override {
    Owners Result;
    std::vector<double> Load(State.Available.size(), 0);
    for (const double SliceLoad : State.Load) {
      std::size_t LeastLoaded = availableTarget(State, 0);
      for (std::size_t Target = 0; Target < Load.size(); ++Target)
        if (State.Available[Target] && Load[Target] < Load[LeastLoaded])
          LeastLoaded = Target;
      Load[LeastLoaded] += SliceLoad;
      Result.push_back(LeastLoaded);
    }
    return Result;
  }
};

auto policies(std::uint64_t Seed)
    -> std::vector<std::unique_ptr<BalancePolicy>> {
  std::vector<std::unique_ptr<BalancePolicy>> Policies;
  Policies.push_back(std::make_unique<PlannerPolicy>());
  Policies.push_back(std::make_unique<RandomPolicy>(Seed));
  Policies.push_back(std::make_unique<RoundRobinPolicy>());
  Policies.push_back(std::make_unique<ConsistentHashingPolicy>());
  Policies.push_back(std::make_unique<LeastLoadedPolicy>());
  return Policies;
}

/// Returns the share of the keys whose slice has changed its owner.
auto movedKeys(const ZipfKeys &Zipf, const Owners &Before, const Owners &After)
    -> double {
  double Moved = 0;
  for (std::size_t Slice = 0; Slice < Before.size(); ++Slice)
    if (Before[Slice] != After[Slice])
      Moved += Zipf.keyShares()[Slice];
  return Moved;
}

/// Runs one policy through the initial assignment, steady load and the loss of
/// one target.
class BalanceSimulation {
public:
  BalanceSimulation(std::uint64_t Seed, BalancePolicy &Policy)
      : Seed(Seed), Policy(Policy), Zipf(Seed, Keys, Slices),
        Random(Seed * 31 + 7) {
    State.Load.assign(Slices, 0);
    State.Owner.assign(Slices, AssignmentPlanner::None);
    State.Available.assign(Targets, true);
  }

  auto run(Measurements &Results) -> void {
    // The initial assignment is planned without load data. The following
    // minutes provide it.
    State.Owner = Policy.plan(State);
    for (int Minute = 0; Minute < 30; ++Minute)
      simulateMinute();
    Input Actual = State;
    Actual.Load = Zipf.shares();
    addResult(Results, "imbalance.max_over_mean",
              AssignmentPlanner::imbalance(Actual), "ratio", 1.25);
    double Churn = 0;
    for (int Minute = 0; Minute < 30; ++Minute)
      Churn += simulateMinute();
    addResult(Results, "churn.steady_per_min", 100 * Churn / 30, "percent",
              1.0);
    loseTarget(Results);
  }

private:
  /// Samples the load of one minute, plans with it and returns the share of the
  /// keys that moved.
  auto simulateMinute() -> double {
    const auto Counts = Zipf.sample(RequestsPerMinute, Random);
    // The load decays with a half-life of 20 s: by a factor of 8 per minute.
    for (std::size_t Slice = 0; Slice < Slices; ++Slice)
      State.Load[Slice] = State.Load[Slice] / 8 + Counts[Slice];
    const Owners Before = State.Owner;
    State.Owner = Policy.plan(State);
    return movedKeys(Zipf, Before, State.Owner);
  }

  auto loseTarget(Measurements &Results) -> void {
    const std::size_t Lost = Random.below(Targets);
    double LostKeyShare = 0;
    for (std::size_t Slice = 0; Slice < Slices; ++Slice)
      if (State.Owner[Slice] == Lost)
        LostKeyShare += Zipf.keyShares()[Slice];
    const Owners Before = State.Owner;
    State.Available[Lost] = false;
    State.Owner = Policy.plan(State);
    double Moved = movedKeys(Zipf, Before, State.Owner);
    for (int Minute = 0; Minute < 2; ++Minute)
      Moved += simulateMinute();
    addResult(Results, "churn.keys_moved_on_loss",
              LostKeyShare > 0 ? Moved / LostKeyShare : 0, "ratio", 1.1);
  }

  auto addResult(Measurements &Results, const char *Name, double Value,
                 const char *Unit, double Target) const -> void {
    Results.push_back({Name, std::string(Policy.name()), Seed, Value, Unit,
                       Target, Bound::AtMost});
  }

  std::uint64_t Seed;
  BalancePolicy &Policy;
  ZipfKeys Zipf;
  RandomSource Random;
  Input State;
};

} // namespace

ZipfKeys::ZipfKeys(std::uint64_t Seed, std::size_t Keys, std::uint32_t Slices)
    : Shares(Slices, 0), KeyShares(Slices, 0) {
  double Total = 0;
  for (std::size_t Rank = 1; Rank <= Keys; ++Rank)
    Total += 1.0 / static_cast<double>(Rank);
  for (std::size_t Rank = 1; Rank <= Keys; ++Rank) {
    const std::uint32_t Slice = SliceMap::sliceOf(
        "key" + std::to_string(Seed) + "." + std::to_string(Rank), Slices);
    Shares[Slice] += 1.0 / static_cast<double>(Rank) / Total;
    KeyShares[Slice] += 1.0 / static_cast<double>(Keys);
  }
  Cumulative.resize(Slices);
  std::partial_sum(Shares.begin(), Shares.end(), Cumulative.begin());
}

auto ZipfKeys::sample(std::size_t Requests, RandomSource &Random) const
    -> std::vector<double> {
  std::vector<double> Counts(Shares.size(), 0);
  for (std::size_t I = 0; I < Requests; ++I) {
    const auto Position =
        std::lower_bound(Cumulative.begin(), Cumulative.end(), Random.unit());
    const auto Slice = static_cast<std::size_t>(Position - Cumulative.begin());
    Counts[std::min(Slice, Counts.size() - 1)] += 1;
  }
  return Counts;
}

auto measureOwnershipBalance() -> Measurements {
  Measurements Results;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    for (const auto &Policy : policies(Seed))
      BalanceSimulation(Seed, *Policy).run(Results);
  return Results;
}

} // namespace buckthornring::measure
