#include "Fleet/TargetAnnouncements.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

/// Time after which the announcements of a target that is no longer in the
/// directory are dropped; a restored store may bring its record back.
constexpr Duration RetentionPeriod = std::chrono::hours(1);

} // namespace

auto TargetAnnouncements::setLeaving() -> bool {
  return !std::exchange(Leaving, true);
}

auto TargetAnnouncements::pause(Duration Length, double NewDelayShare,
                                TimePoint Now) -> bool {
  const bool Begins = !paused(Now);
  if (Begins)
    DelayShare = NewDelayShare;
  PausedUntil = std::max(PausedUntil, Now + Length);
  return Begins;
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
