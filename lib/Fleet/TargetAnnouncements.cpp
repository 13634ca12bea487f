#include "Fleet/TargetAnnouncements.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

/// Time after which the announcements of a target that is no longer in the
/// directory are dropped; a restored store may bring its record back.
constexpr Duration RetentionPeriod = std::chrono::hours(1);

/// Longest delay of an instance's return after a pause, as a fraction of the
/// pause and absolutely, so that the instances return one after another.
constexpr double MaxDelayFraction = 0.25;
constexpr Duration MaxDelay = std::chrono::seconds(1);

/// After a pause an instance sends one request at a time. The number doubles
/// with each step until the end of the period.
constexpr Duration ReturnStep = std::chrono::milliseconds(250);
constexpr Duration ReturnPeriod = 4 * ReturnStep;

auto returnDelay(Duration Length, double Share) -> Duration {
  const auto Longest =
      std::min(std::chrono::duration_cast<Duration>(Length * MaxDelayFraction),
               MaxDelay);
  return std::chrono::duration_cast<Duration>(Longest * Share);
}

} // namespace

auto TargetAnnouncements::setLeaving() -> bool {
  return !std::exchange(Leaving, true);
}

auto TargetAnnouncements::pause(Duration Length, double NewDelayShare,
                                TimePoint Now) -> bool {
  const bool Begins = !paused(Now);
  if (Begins)
    DelayShare = NewDelayShare;
  PausedUntil =
      std::max(PausedUntil, Now + Length + returnDelay(Length, DelayShare));
  return Begins;
}

auto TargetAnnouncements::requestLimit(TimePoint Now) const
    -> std::optional<std::uint32_t> {
  if (PausedUntil == LongAgo || Now >= PausedUntil + ReturnPeriod)
    return std::nullopt;
  return Now < PausedUntil ? 0 : 1U << ((Now - PausedUntil) / ReturnStep);
}

auto AnnouncementTable::of(const TargetRecord &Record, TimePoint Now) -> Entry {
  Kept &Found =
      Entries[Incarnation(Record.Id, Record.StartedAtMs, Record.Address)];
  if (!Found.Announced)
    Found.Announced = std::make_shared<TargetAnnouncements>();
  Found.LastUsedAt = Now;
  return Found.Announced;
}

auto AnnouncementTable::expire(TimePoint Now) -> void {
  for (auto &[Key, Each] : Entries)
    if (Each.Announced.use_count() > 1)
      Each.LastUsedAt = Now;
  std::erase_if(Entries, [Now](const auto &Entry) {
    const Kept &Each = Entry.second;
    const bool InUse = Each.Announced.use_count() > 1;
    const bool Needed =
        Each.Announced->leaving() || Each.Announced->paused(Now);
    return !InUse && (!Needed || Now - Each.LastUsedAt > RetentionPeriod);
  });
}

} // namespace buckthornring
