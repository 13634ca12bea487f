#pragma once

#include "Fleet/FleetMessage.h"
#include "buckthornring/Common/Time.h"

#include <optional>

namespace buckthornring {

/// Detects that an instance does not receive the changes that others have seen.
///
/// While the store changes all the time, the others are always a little ahead.
/// So a lag lasts from the time at which certain revisions became known until
/// they have been reached, however far the others are by then.
class LagDetector {
public:
  /// \p Timeout: time by which a change that another instance has seen should
  /// have arrived.
  explicit LagDetector(Duration Timeout) : Timeout(Timeout) {}

  /// Records the newest revisions of other instances. \p HasSeen tells whether
  /// this instance has reached given revisions. Returns the revisions that it
  /// has failed to reach for the time-out, if any; starts anew then.
  template <class Function>
  auto update(const SeenRevisions &Others, Function HasSeen, TimePoint Now)
      -> std::optional<SeenRevisions> {
    // A new leader may know of fewer changes than its predecessor did.
    const bool Lagging = Since != LongAgo && !HasSeen(Expected);
    if (!Lagging && HasSeen(Others)) {
      Since = LongAgo;
      return std::nullopt;
    }
    if (!Lagging) {
      Since = Now;
      Expected = Others;
    }
    if (Now - Since < Timeout)
      return std::nullopt;
    Since = LongAgo;
    return Expected;
  }

private:
  Duration Timeout;
  SeenRevisions Expected; ///< Not reached since Since.
  TimePoint Since = LongAgo;
};

} // namespace buckthornring
