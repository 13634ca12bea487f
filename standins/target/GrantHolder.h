#pragma once

#include "buckthornring/Ownership/LeaseMessage.h"

#include <map>
#include <set>
#include <string>

namespace buckthornring::standin {

/// Ownership state of a verified target: a lease that ends on the target's own
/// monotonic clock, and the slices granted under it. Follows the rules of
/// LeaseMessage.
class GrantHolder {
public:
  explicit GrantHolder(std::string StartId) : StartId(std::move(StartId)) {}

  /// Returns the target's clock reading for \p SteadyUs, a reading of the
  /// steady clock in microseconds.
  auto clockUs(std::int64_t SteadyUs) const -> std::int64_t;

  /// Applies a message and returns the reply without its Running list.
  auto apply(const LeaseMessage &Message, std::int64_t SteadyUs) -> LeaseReply;

  /// Returns the epoch held for a slice, or std::nullopt when the slice is not
  /// held. Drops all slices first when the lease has ended.
  auto heldEpoch(std::uint32_t Slice, std::int64_t SteadyUs)
      -> std::optional<Epoch>;
  auto heldCount(std::int64_t SteadyUs) -> std::size_t;

private:
  auto expire(std::int64_t NowUs) -> void;
  auto applyLease(const LeaseMessage &Message, std::int64_t NowUs)
      -> LeaseRefusal;

  std::string StartId;
  std::uint64_t HighestTerm = 0;
  std::uint64_t AppliedSequence = 0;
  std::uint64_t HighestSequence = 0; ///< Highest sequence seen in this term.
  std::uint64_t LapseCount = 0;
  std::int64_t LeaseEndUs = 0;
  std::map<std::uint32_t, Epoch> Slices;
};

} // namespace buckthornring::standin
