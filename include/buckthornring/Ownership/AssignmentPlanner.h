#pragma once

#include "buckthornring/Common/Ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornring {

/// Chooses owners and successors by measured slice load.
///
/// Slices are few, so each plan is computed anew: the heaviest unowned slices
/// go to the least loaded targets first (longest processing time first, whose
/// maximum is at most 4/3 of the optimum, R. L. Graham 1969), then slices move
/// off the most loaded target only while that lowers the maximum.
class AssignmentPlanner {
public:
  static constexpr std::size_t None = static_cast<std::size_t>(-1);

  struct Options {
    /// Moves for balance start above this ratio of maximum to mean load...
    double StartImbalance = 1.20;
    /// ...and stop below this one. The gap keeps noise from causing moves.
    double StopImbalance = 1.08;
    /// Largest share of the slices moved for balance in one plan.
    double MoveShare = 0.01;
  };

  struct Input {
    /// Load of each slice in any one unit, at least zero.
    std::vector<double> Load;
    /// Index of each slice's target, or None.
    std::vector<std::size_t> Owner;
    /// Whether each target can receive slices. Slices of one that cannot are
    /// moved.
    std::vector<bool> Available;
  };

  struct PlannedMove {
    std::uint32_t Slice = 0;
    std::size_t From = None;
    std::size_t To = None;
  };

  explicit AssignmentPlanner(Options Options) : Limits(Options) {}

  /// Returns the moves that give every slice an available owner and lower the
  /// imbalance; empty when no target is available.
  auto plan(const Input &State) const -> std::vector<PlannedMove>;

  /// Returns a successor for each slice, other than its owner, so that the
  /// slices of a lost target spread by load. None where there is no other
  /// target. Keeps \p Current where it still serves that purpose.
  auto successors(const Input &State,
                  const std::vector<std::size_t> &Current) const
      -> std::vector<std::size_t>;

  /// Returns the ratio of the maximum to the mean load over available targets.
  static auto imbalance(const Input &State) -> double;

private:
  Options Limits;
};

} // namespace buckthornring
