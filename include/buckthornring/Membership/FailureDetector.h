#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace buckthornring {

/// Detects peers that have stopped sending messages. A suspicion only triggers
/// contact and takeover attempts; it never decides ownership or leadership.
class FailureDetector {
public:
  struct Options {
    Duration HeartbeatInterval = std::chrono::milliseconds(200);
    std::uint32_t MissedHeartbeatLimit = 3;
  };

  explicit FailureDetector(Options Settings) : Settings(Settings) {}
  FailureDetector() : FailureDetector(Options()) {}

  auto recordMessage(const InstanceId &Peer, TimePoint Now) -> void;
  auto forget(const InstanceId &Peer) -> void { Peers.erase(Peer); }

  /// Returns the peers that became suspect since the last call. Must be called
  /// at each heartbeat: a longer gap between two calls shows that this process
  /// was paused, and then no peer is newly suspected until the suspicion
  /// timeout has passed again.
  auto tick(TimePoint Now) -> std::vector<InstanceId>;

  /// True when a message from \p Peer arrived within the suspicion timeout.
  auto alive(const InstanceId &Peer, TimePoint Now) const -> bool;

  /// Returns the time since the last message from \p Peer, restarted after a
  /// pause of this process, or nullopt if none is recorded.
  auto timeSinceMessage(const InstanceId &Peer, TimePoint Now) const
      -> std::optional<Duration>;

private:
  auto suspicionTimeout() const -> Duration {
    return Settings.HeartbeatInterval * Settings.MissedHeartbeatLimit;
  }

  struct PeerState {
    TimePoint LastHeardAt;
    bool Suspected = false;
  };

  Options Settings;
  std::map<InstanceId, PeerState> Peers;
  std::optional<TimePoint> LastTickAt;
};

} // namespace buckthornring
