#pragma once

#include <algorithm>
#include <cstddef>

namespace buckthornring {

/// What one plan changes to balance the load, and what it earns and costs, in
/// seconds of waiting of requests.
struct MoveFigures {
  std::size_t Moves = 0;
  std::size_t Skipped = 0; ///< Moves that would have cost more than earned.
  std::size_t Joins = 0;
  std::size_t BusyKeys = 0; ///< Keys that have a target for themselves.
  double GainSeconds = 0;
  double CostSeconds = 0;
};

/// Load of one target, in requests per second, and its capacity.
struct TargetShare {
  double Rate = 0;
  double Capacity = 1;
};

/// Prices a move of keys between two targets whose requests each take
/// \p ProcessingSeconds at capacity 1.
class MovePrice {
public:
  explicit MovePrice(double ProcessingSeconds)
      : ProcessingSeconds(ProcessingSeconds) {}

  /// Returns the waiting that the move saves while the observed load lasts.
  auto gain(TargetShare From, TargetShare To, double Moved) const -> double {
    const double Before = waiting(From) + waiting(To);
    From.Rate -= Moved;
    To.Rate += Moved;
    return (Before - waiting(From) - waiting(To)) * LoadHorizonSeconds;
  }

  /// Returns the waiting of the moved keys' requests until the next owner has
  /// its grant, and the requests that each change of hands costs.
  auto cost(double Moved) const -> double {
    const double Pause = ProcessingSeconds + OrderSeconds;
    return Moved * Pause * Pause / 2 + RequestsPerMove * ProcessingSeconds;
  }

private:
  /// Time constant of KeyLoad, for which the observed load is known.
  static constexpr double LoadHorizonSeconds = 5;
  /// Write of the record, release and grant, one call each.
  static constexpr double OrderSeconds = 0.1;
  /// The orders of a move and of another range take the leader about as long
  /// as forwarding one request; chosen, not measured.
  static constexpr double RequestsPerMove = 1;
  /// Utilisation from which a target is taken for equally full: its queue is
  /// bounded.
  static constexpr double FullUtilisation = 0.95;

  /// Returns the seconds of waiting per second, by the formula of a queue with
  /// random arrivals and service times (M/M/1).
  auto waiting(const TargetShare &Target) const -> double {
    const double Utilisation = std::min(
        FullUtilisation, Target.Rate * ProcessingSeconds / Target.Capacity);
    return Target.Rate * ProcessingSeconds * Utilisation / (1 - Utilisation);
  }

  double ProcessingSeconds;
};

} // namespace buckthornring
