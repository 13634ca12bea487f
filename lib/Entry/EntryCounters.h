#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Observe/Reasons.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace buckthornring {

/// Events of the request path that are neither refusals nor retries.
enum class EntryEvent {
  CallerConnected,
  CallerRejected, ///< Closed at once: too many open connections.
  CallerIdle,     ///< Closed after the idle limit.
  CallerSlowHead,
  CallerSlowBody,
  CallerSlowReader,
  CallerGone, ///< Closed its connection before the answer was complete.
  Request,
  Answered,
  AnswerAborted, ///< Cut short; the caller's connection was reset.
  Attempt,
  CancelSent,
};

inline constexpr EnumNames<EntryEvent, 12> EntryEventNames({
    "caller-connected",
    "caller-rejected",
    "caller-idle",
    "caller-slow-head",
    "caller-slow-body",
    "caller-slow-reader",
    "caller-gone",
    "request",
    "answered",
    "answer-aborted",
    "attempt",
    "cancel-sent",
});

/// Counters of one traffic thread. The thread writes, the control thread
/// reads; relaxed order suffices, since each counter stands for itself.
class EntryCounters {
public:
  auto add(EntryEvent Event) -> void { bump(Events, Event); }
  auto add(RefusalReason Reason) -> void { bump(Refusals, Reason); }
  auto add(RetryReason Reason) -> void { bump(Retries, Reason); }

  auto value(EntryEvent Event) const { return read(Events, Event); }
  auto value(RefusalReason Reason) const { return read(Refusals, Reason); }
  auto value(RetryReason Reason) const { return read(Retries, Reason); }

private:
  template <std::size_t Size>
  using Cells = std::array<std::atomic<std::uint64_t>, Size>;

  /// Only one thread writes, so a load and a store replace the locked
  /// read-modify-write instruction.
  template <std::size_t Size, class Enum>
  static auto bump(Cells<Size> &Of, Enum Which) -> void {
    auto &Cell = Of.at(static_cast<std::size_t>(Which));
    Cell.store(Cell.load(std::memory_order_relaxed) + 1,
               std::memory_order_relaxed);
  }
  template <std::size_t Size, class Enum>
  static auto read(const Cells<Size> &Of, Enum Which) -> std::uint64_t {
    return Of.at(static_cast<std::size_t>(Which))
        .load(std::memory_order_relaxed);
  }

  Cells<EntryEventNames.size()> Events{};
  Cells<RefusalReasonNames.size()> Refusals{};
  Cells<RetryReasonNames.size()> Retries{};
};

} // namespace buckthornring
