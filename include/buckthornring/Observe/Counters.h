#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Observe/Reasons.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace buckthornring {

/// Outcome of a request, as seen by the caller. Each value has a counter, and
/// each request is counted once.
enum class RequestOutcome {
  Answered,       ///< The complete response of a target was forwarded.
  RefusedNotRun,  ///< Refused; no target ran any part of it.
  RefusedUnknown, ///< Refused; a target may have run it.
  Aborted,        ///< The connection was closed after the response head.
  CallerLeft,     ///< The caller closed the connection first.
};

inline constexpr EnumNames<RequestOutcome, 5>
    RequestOutcomeNames({"answered", "refused-not-run", "refused-unknown",
                         "aborted", "caller-left"});

/// First digit of an HTTP status. Anything outside 100 to 599 is Other.
enum class StatusClass {
  Informational,
  Success,
  Redirection,
  CallerError,
  ServerError,
  Other,
};

inline constexpr EnumNames<StatusClass, 6>
    StatusClassNames({"1xx", "2xx", "3xx", "4xx", "5xx", "other"});

/// Returns the class of an HTTP status.
auto statusClass(unsigned Status) -> StatusClass;

/// Totals since the start of the process, read from all stripes.
struct CounterTotals {
  std::array<std::uint64_t, RefusalReasonNames.size()> Refusals{};
  std::array<std::uint64_t, RetryReasonNames.size()> Retries{};
  std::array<std::uint64_t, RequestOutcomeNames.size()> Outcomes{};
  std::array<std::uint64_t, StatusClassNames.size()> Statuses{};

  auto of(RefusalReason Reason) const -> std::uint64_t {
    return Refusals.at(static_cast<std::size_t>(Reason));
  }
  auto of(RetryReason Reason) const -> std::uint64_t {
    return Retries.at(static_cast<std::size_t>(Reason));
  }
  auto of(RequestOutcome Outcome) const -> std::uint64_t {
    return Outcomes.at(static_cast<std::size_t>(Outcome));
  }
  auto of(StatusClass Class) const -> std::uint64_t {
    return Statuses.at(static_cast<std::size_t>(Class));
  }
};

/// Event counters of one process, written by several threads.
///
/// Each thread writes its own stripe. Stripes share no cache line, since a line
/// that two cores write moves between their caches on every write.
class Counters {
public:
  /// Counters of one thread. Thread-safe, but slower when threads share it.
  class alignas(64) Stripe {
  public:
    auto add(RefusalReason Reason) -> void { add(Refusals, Reason); }
    auto add(RetryReason Reason) -> void { add(Retries, Reason); }
    auto add(RequestOutcome Outcome) -> void { add(Outcomes, Outcome); }
    auto add(StatusClass Class) -> void { add(Statuses, Class); }

  private:
    friend class Counters;
    template <std::size_t Count>
    using Cells = std::array<std::atomic<std::uint64_t>, Count>;

    template <class Array, class Enum>
    static auto add(Array &Cells, Enum Value) -> void {
      // Totals need no order between counters, so relaxed is enough.
      Cells.at(static_cast<std::size_t>(Value))
          .fetch_add(1, std::memory_order_relaxed);
    }

    Cells<RefusalReasonNames.size()> Refusals{};
    Cells<RetryReasonNames.size()> Retries{};
    Cells<RequestOutcomeNames.size()> Outcomes{};
    Cells<StatusClassNames.size()> Statuses{};
  };

  /// \p Stripes is the number of writing threads, at least one.
  explicit Counters(std::size_t Stripes);

  /// Returns the stripe of a thread; \p Index is below the number of stripes.
  auto stripe(std::size_t Index) -> Stripe &;

  /// Returns the sums over all stripes. Events counted during the call may or
  /// may not be included.
  auto totals() const -> CounterTotals;

private:
  std::size_t Size;
  std::unique_ptr<Stripe[]> Stripes;
};

} // namespace buckthornring
