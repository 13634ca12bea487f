#pragma once

#include "IO/EventLog.h"
#include "Memory/MemoryBudget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace buckthornring {

class PrometheusText;

/// Runs an instance's memory budget: relieves it while connections wait, logs
/// shortages, and returns freed memory to the system.
class MemoryKeeper {
public:
  /// \p Limit of the budget in bytes; 0: no limit.
  MemoryKeeper(boost::asio::io_context &Io, EventLog &Events,
               std::size_t Limit);

  auto budget() const -> const std::shared_ptr<MemoryBudget> & {
    return Budget;
  }
  /// Called regularly.
  auto tick(TimePoint Now) -> void;
  auto appendMetrics(PrometheusText &Text) const -> void;

private:
  /// Interval of MemoryBudget::relieve during a shortage.
  static constexpr Duration ReliefInterval = std::chrono::milliseconds(20);
  /// Time without waiting connections after which a shortage has ended.
  static constexpr Duration RecoveryPeriod = std::chrono::seconds(1);
  /// Freed memory is returned to the system from this amount on. The heap
  /// returns only its end by itself.
  static constexpr std::size_t TrimBytes = 2'000'000;
  static constexpr Duration TrimInterval = std::chrono::seconds(1);

  auto armRelief() -> void;
  auto onReliefDue() -> void;
  auto recordShortage(TimePoint Now) -> void;
  auto recordRecovery(TimePoint Now) -> void;

  EventLog &Events;
  std::shared_ptr<MemoryBudget> Budget;
  boost::asio::steady_timer ReliefTimer;
  MemoryBudget::Counts CountsBefore; ///< At the begin of the shortage.
  TimePoint ShortSince = LongAgo;    ///< LongAgo: no shortage.
  TimePoint LastShortAt = LongAgo;
  TimePoint TrimmedAt = LongAgo;
};

} // namespace buckthornring
