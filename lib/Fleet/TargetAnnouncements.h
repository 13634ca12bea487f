#pragma once

#include "Fleet/TargetRecord.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

namespace buckthornring {

/// Remaining pause of an owner of keys from which its keys are moved. Moving
/// them takes about as long as a shorter one.
inline constexpr Duration MinPauseForHandover = std::chrono::milliseconds(1000);

/// What a target says of itself in one response.
struct TargetNotices {
  bool Leaving = false; ///< The target stops soon and wants no new requests.
  /// The target wants no requests from this instance for this time.
  std::optional<Duration> RequestedPause;
  /// The target has asked for a pause whose length cannot be read.
  bool UnreadablePause = false;
  bool UnreadableHandover = false;
};

/// What one incarnation of a target has announced so far.
class TargetAnnouncements {
public:
  auto leaving() const -> bool { return Leaving; }
  /// Returns whether this was not known before.
  auto setLeaving() -> bool;

  /// Records a pause of \p Length that the target asks for at \p Now. \p
  /// DelayShare, from 0 to 1, selects the delay after its end by which this
  /// instance returns later than others. Returns whether a pause begins.
  auto pause(Duration Length, double DelayShare, TimePoint Now) -> bool;
  /// Requests that this instance may have in flight at the target soon after a
  /// pause; nothing: any number.
  auto requestLimit(TimePoint Now) const -> std::optional<std::uint32_t>;
  /// End of the latest pause, including the delay.
  auto pausedUntil() const -> TimePoint { return PausedUntil; }
  auto paused(TimePoint Now) const -> bool { return Now < PausedUntil; }
  /// Whether the target wants no requests from this instance now.
  auto refusesRequests(TimePoint Now) const -> bool {
    return Leaving || paused(Now);
  }

private:
  bool Leaving = false;
  TimePoint PausedUntil = LongAgo;
  double DelayShare = 0; ///< Of the latest pause.
};

/// The announcements of all targets, by incarnation. They are kept while a
/// target is missing from the directory, since its record may return.
class AnnouncementTable {
public:
  using Entry = std::shared_ptr<TargetAnnouncements>;

  /// Returns the entry of the incarnation that \p Record belongs to.
  auto of(const TargetRecord &Record, TimePoint Now) -> Entry;
  /// Drops the entries of targets that have been gone for long.
  auto expire(TimePoint Now) -> void;
  auto size() const -> std::size_t { return Entries.size(); }

private:
  /// Id, start time and address.
  using Incarnation = std::tuple<TargetId, std::int64_t, std::string>;
  struct Kept {
    Entry Announced;
    TimePoint LastUsedAt = LongAgo;
  };

  std::map<Incarnation, Kept> Entries;
};

} // namespace buckthornring
