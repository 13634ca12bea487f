#pragma once

#include "buckthornring/Common/Random.h"
#include "buckthornring/Ownership/AssignmentPlanner.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace buckthornring::measure {

/// Keys with Zipf 1.0 popularity in the slices of one service.
class ZipfKeys {
public:
  ZipfKeys(std::uint64_t Seed, std::size_t Keys, std::uint32_t Slices);

  /// Share of all requests of each slice.
  auto shares() const -> const std::vector<double> & { return Shares; }
  /// Share of all keys of each slice.
  auto keyShares() const -> const std::vector<double> & { return KeyShares; }
  /// Counts of \p Requests random requests per slice.
  auto sample(std::size_t Requests, RandomSource &Random) const
      -> std::vector<double>;

private:
  std::vector<double> Shares;
  std::vector<double> KeyShares;
  std::vector<double> Cumulative; ///< Of the slices' shares.
};

/// One way of giving slices to targets, compared in the same run.
class BalancePolicy {
public:
  BalancePolicy() = default;
  BalancePolicy(const BalancePolicy &) = delete;
  auto operator=(const BalancePolicy &) -> BalancePolicy & = delete;
  virtual ~BalancePolicy() = default;
  virtual auto name() const -> std::string_view = 0;
  /// Returns the owners after one planning round with measured loads.
  virtual auto plan(const AssignmentPlanner::Input &State)
      -> std::vector<std::size_t> = 0;
};

} // namespace buckthornring::measure
