#pragma once

#include "buckthornring/Common/EnumNames.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace buckthornring {

/// Events of the request path besides the outcomes, refusals and retries that
/// Counters holds.
enum class EntryEvent {
  CallerConnected,
  CallerIdle,       ///< Closed after the idle limit.
  CallerSlowHead,   ///< The head was not complete in time.
  CallerSlowBody,   ///< The body stalled.
  CallerSlowReader, ///< Did not read the answer in time.
  Attempt,
  CancelSent,
  RateWait, ///< Waited for a token.
  SlotWait, ///< Waited for a slot of a target.
};

inline constexpr EnumNames<EntryEvent, 9> EntryEventNames({
    "caller-connected",
    "caller-idle",
    "caller-slow-head",
    "caller-slow-body",
    "caller-slow-reader",
    "attempt",
    "cancel-sent",
    "rate-wait",
    "slot-wait",
});

/// Counters of one traffic thread. The thread writes, the control thread
/// reads; relaxed order suffices, since each counter stands for itself.
class EntryCounters {
public:
  /// Only one thread writes, so a load and a store replace the locked
  /// read-modify-write instruction.
  auto add(EntryEvent Event) -> void {
    auto &Cell = Cells.at(static_cast<std::size_t>(Event));
    Cell.store(Cell.load(std::memory_order_relaxed) + 1,
               std::memory_order_relaxed);
  }
  auto value(EntryEvent Event) const -> std::uint64_t {
    return Cells.at(static_cast<std::size_t>(Event))
        .load(std::memory_order_relaxed);
  }

  /// Targets that this thread has ejected at the moment.
  auto setEjected(std::size_t Count) -> void {
    Ejected.store(Count, std::memory_order_relaxed);
  }
  auto ejected() const -> std::size_t {
    return Ejected.load(std::memory_order_relaxed);
  }

private:
  std::array<std::atomic<std::uint64_t>, EntryEventNames.size()> Cells{};
  std::atomic<std::size_t> Ejected = 0;
};

} // namespace buckthornring
