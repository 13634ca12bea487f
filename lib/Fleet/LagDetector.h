#pragma once

#include "Fleet/FleetMessage.h"
#include "buckthornring/Common/Time.h"

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
  /// this instance has reached given revisions. Returns whether it has failed
  /// to reach the same revisions for the time-out; starts anew then.
  template <class Function>
  auto update(const SeenRevisions &Others, Function HasSeen, TimePoint Now)
      -> bool {
    if (HasSeen(Others)) {
      Since = LongAgo;
      return false;
    }
    if (Since == LongAgo || HasSeen(Expected)) {
      Since = Now;
      Expected = Others;
    }
    if (Now - Since < Timeout)
      return false;
    Since = LongAgo;
    return true;
  }

private:
  Duration Timeout;
  SeenRevisions Expected; ///< Not reached since Since.
  TimePoint Since = LongAgo;
};

} // namespace buckthornring
