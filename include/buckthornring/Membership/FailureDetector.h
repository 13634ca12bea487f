#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace buckthornring {

/// Tells which peers have stopped responding. A suspicion only triggers
/// contact and takeover attempts; it never decides who owns or leads.
class FailureDetector {
public:
  struct Options {
    Duration Heartbeat = std::chrono::milliseconds(200);
    std::uint32_t MissedHeartbeats = 3;
  };

  explicit FailureDetector(Options Settings) : Settings(Settings) {}
  FailureDetector() : FailureDetector(Options()) {}

  auto heard(const InstanceId &Peer, TimePoint Now) -> void;
  auto forget(const InstanceId &Peer) -> void { LastHeard.erase(Peer); }

  /// Returns the peers that became suspect since the last call. Call it with
  /// each heartbeat: a gap between two calls shows that the own process was
  /// paused, and then nobody is suspected for the length of the limit.
  auto tick(TimePoint Now) -> std::vector<InstanceId>;

  /// True when \p Peer was heard within the limit.
  auto alive(const InstanceId &Peer, TimePoint Now) const -> bool;

  /// Time since \p Peer was heard, without own pauses; nothing when never.
  auto silence(const InstanceId &Peer, TimePoint Now) const
      -> std::optional<Duration>;

private:
  auto limit() const -> Duration {
    return Settings.Heartbeat * Settings.MissedHeartbeats;
  }

  struct Peer {
    TimePoint Heard;
    bool Suspected = false;
  };

  Options Settings;
  std::map<InstanceId, Peer> LastHeard;
  std::optional<TimePoint> LastTick;
};

} // namespace buckthornring
