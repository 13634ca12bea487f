#pragma once

#include "buckthornring/Ownership/LeaseMessage.h"

#include <map>
#include <set>
#include <string>

namespace buckthornring::standin {

/// What a verified target holds: a lease on its own monotonic clock and the
/// slices granted under it. Follows the rules of LeaseMessage.
class GrantHolder {
public:
  explicit GrantHolder(std::string Start) : Start(std::move(Start)) {}

  /// Reading of the target's clock at \p Now, a steady clock in microseconds.
  auto clockUs(std::int64_t SteadyUs) const -> std::int64_t;

  /// Applies a message and returns the reply without its Running list.
  auto apply(const LeaseMessage &Message, std::int64_t SteadyUs) -> LeaseReply;

  /// Returns the epoch held for a slice, or nothing. Drops all slices first
  /// when the lease has ended.
  auto held(std::uint32_t Slice, std::int64_t SteadyUs) -> std::optional<Epoch>;
  auto heldCount(std::int64_t SteadyUs) -> std::size_t;

private:
  auto expire(std::int64_t NowUs) -> void;
  auto applyLease(const LeaseMessage &Message, std::int64_t NowUs)
      -> LeaseRefusal;

  std::string Start;
  std::uint64_t HighestTerm = 0;
  std::uint64_t Applied = 0;
  std::uint64_t Floor = 0; ///< Highest sequence seen in this term.
  std::uint64_t Lapses = 0;
  std::int64_t LeaseEndUs = 0;
  std::map<std::uint32_t, Epoch> Slices;
};

} // namespace buckthornring::standin
