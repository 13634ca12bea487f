#pragma once

#include "Fleet/TargetRecord.h"

#include <cstdint>
#include <map>

namespace buckthornring {

/// A load report and the time since the target sent it.
struct AgedLoad {
  LoadReport Load;
  Duration Age{0};
};

/// Load reports that this instance has yet to pass on to others. Each report is
/// passed on to a few instances at a time, and these pass it on in turn, so
/// that it reaches all instances within a number of rounds that grows with the
/// logarithm of their number.
class LoadNews {
public:
  /// Adds a report of a target that is newer than those known before.
  auto add(const TargetId &Target, const LoadReport &Load, TimePoint ReportedAt)
      -> void;
  /// Returns the reports of the next message and counts them as sent. Reports
  /// that are too many for one message are left for the next one.
  auto take(TimePoint Now) -> std::map<TargetId, AgedLoad>;

  auto empty() const -> bool { return Entries.empty(); }
  auto clear() -> void { Entries.clear(); }

private:
  struct Entry {
    LoadReport Load;
    TimePoint ReportedAt = LongAgo;
    std::uint32_t SendsLeft = 0;
  };

  std::map<TargetId, Entry> Entries;
  TargetId LastTaken; ///< The next message begins after it.
};

} // namespace buckthornring
