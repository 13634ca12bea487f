#include "buckthornring/Membership/FailureDetector.h"

#include <algorithm>

namespace buckthornring {

auto FailureDetector::recordMessage(const InstanceId &Peer, TimePoint Now)
    -> void {
  Peers[Peer] = PeerState{Now, false};
}

auto FailureDetector::tick(TimePoint Now) -> std::vector<InstanceId> {
  // After a pause of this process, messages that arrived during it are still
  // unread.
  if (LastTickAt && Now - *LastTickAt > 2 * Settings.HeartbeatInterval)
    for (auto &[Id, State] : Peers)
      State.LastHeardAt = std::max(State.LastHeardAt, Now);
  LastTickAt = Now;
  std::vector<InstanceId> Suspects;
  for (auto &[Id, State] : Peers)
    if (!State.Suspected && Now - State.LastHeardAt > suspicionTimeout()) {
      State.Suspected = true;
      Suspects.push_back(Id);
    }
  return Suspects;
}

auto FailureDetector::alive(const InstanceId &Peer, TimePoint Now) const
    -> bool {
  const auto Elapsed = timeSinceMessage(Peer, Now);
  return Elapsed && *Elapsed <= suspicionTimeout();
}

auto FailureDetector::timeSinceMessage(const InstanceId &Peer,
                                       TimePoint Now) const
    -> std::optional<Duration> {
  const auto Found = Peers.find(Peer);
  if (Found == Peers.end())
    return std::nullopt;
  return Now - Found->second.LastHeardAt;
}

} // namespace buckthornring
