#pragma once

#include "buckthornring/Common/Random.h"
#include "buckthornring/Ownership/AssignmentPlanner.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace buckthornring::measure {

/// Distribution of keys over the slices of one service. The popularity of the
/// keys follows Zipf's law with exponent 1.0.
class ZipfKeys {
public:
  ZipfKeys(std::uint64_t Seed, std::size_t Keys, std::uint32_t Slices);

  /// Returns the share of all requests for each slice.
  auto shares() const -> const std::vector<double> & { return Shares; }
  /// Returns the share of all keys in each slice.
  auto keyShares() const -> const std::vector<double> & { return KeyShares; }
  /// Draws \p Requests random requests and returns their number per slice.
  auto sample(std::size_t Requests, RandomSource &Random) const
      -> std::vector<double>;

private:
  std::vector<double> Shares;
  std::vector<double> KeyShares;
  std::vector<double> Cumulative; ///< Prefix sums of \c Shares.
};

/// Algorithm that assigns slices to targets. All policies run on the same load.
class BalancePolicy {
public:
  BalancePolicy() = default;
  BalancePolicy(const BalancePolicy &) = delete;
  auto operator=(const BalancePolicy &) -> BalancePolicy & = delete;
  virtual ~BalancePolicy() = default;
  virtual auto name() const -> std::string_view = 0;
  /// Returns the owner of each slice after one planning round, which uses the
  /// measured loads.
  virtual auto plan(const AssignmentPlanner::Input &State)
      -> std::vector<std::size_t> = 0;
};

} // namespace buckthornring::measure
