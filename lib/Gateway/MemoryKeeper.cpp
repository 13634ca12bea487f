#include "Gateway/MemoryKeeper.h"

#include "IO/BootClock.h"
#include "buckthornring/Observe/PrometheusText.h"

#include <malloc.h>

namespace buckthornring {

MemoryKeeper::MemoryKeeper(boost::asio::io_context &Io, EventLog &Events,
                           std::size_t Limit)
    : Events(Events), Budget(std::make_shared<MemoryBudget>(Limit)),
      ReliefTimer(Io) {
  Budget->onShort([this] { armRelief(); });
}

auto MemoryKeeper::armRelief() -> void {
  ReliefTimer.expires_after(ReliefInterval);
  ReliefTimer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled)
      onReliefDue();
  });
}

auto MemoryKeeper::onReliefDue() -> void {
  const TimePoint Now = bootNow();
  if (Budget->isShort())
    recordShortage(Now);
  Budget->relieve(Now);
  if (Budget->isShort())
    armRelief();
}

auto MemoryKeeper::recordShortage(TimePoint Now) -> void {
  LastShortAt = Now;
  if (ShortSince != LongAgo)
    return;
  ShortSince = Now;
  CountsBefore = Budget->counts();
  Events.write(EventLine("memory-short")
                   .field("used", Budget->used())
                   .field("limit", Budget->limit()));
}

auto MemoryKeeper::recordRecovery(TimePoint Now) -> void {
  const MemoryBudget::Counts &Counts = Budget->counts();
  Events.write(EventLine("memory-recovered")
                   .field("used", Budget->used())
                   .field("limit", Budget->limit())
                   .field("duration_ms", Now - ShortSince)
                   .field("waits", Counts.Waits - CountsBefore.Waits)
                   .field("released", Counts.Released - CountsBefore.Released)
                   .field("released_bytes",
                          Counts.ReleasedBytes - CountsBefore.ReleasedBytes));
  ShortSince = LongAgo;
}

auto MemoryKeeper::tick(TimePoint Now) -> void {
  if (ShortSince != LongAgo && !Budget->isShort() &&
      Now - LastShortAt >= RecoveryPeriod)
    recordRecovery(Now);
  if (Budget->peak() - Budget->used() < TrimBytes ||
      Now - TrimmedAt < TrimInterval)
    return;
  TrimmedAt = Now;
  Budget->resetPeak();
  ::malloc_trim(0);
}

auto MemoryKeeper::appendMetrics(PrometheusText &Text) const -> void {
  const MemoryBudget::Counts &Counts = Budget->counts();
  Text.gaugeFamily("btr_memory_budget_bytes",
                   "Memory for callers, targets and peers; 0: not limited");
  Text.sample({}, std::uint64_t{Budget->limit()});
  Text.gaugeFamily("btr_memory_held_bytes", "Memory that they hold");
  Text.sample({}, std::uint64_t{Budget->used()});
  Text.counterFamily("btr_memory_waits_total", "Reads that waited for memory");
  Text.sample({}, Counts.Waits);
  Text.counterFamily("btr_memory_shortages_total",
                     "Periods in which connections waited for memory");
  Text.sample({}, Counts.Shortages);
  Text.counterFamily("btr_memory_released_total",
                     "Requests refused and connections closed for memory");
  Text.sample({}, Counts.Released);
}

} // namespace buckthornring
