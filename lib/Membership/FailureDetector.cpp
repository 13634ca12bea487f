#include "buckthornring/Membership/FailureDetector.h"

#include <algorithm>

namespace buckthornring {

auto FailureDetector::heard(const InstanceId &From, TimePoint Now) -> void {
  LastHeard[From] = Peer{Now, false};
}

auto FailureDetector::tick(TimePoint Now) -> std::vector<InstanceId> {
  // Messages that arrived during an own pause are still unread.
  if (LastTick && Now - *LastTick > 2 * Settings.Heartbeat)
    for (auto &[Id, Each] : LastHeard)
      Each.Heard = std::max(Each.Heard, Now);
  LastTick = Now;
  std::vector<InstanceId> Suspects;
  for (auto &[Id, Each] : LastHeard)
    if (!Each.Suspected && Now - Each.Heard > limit()) {
      Each.Suspected = true;
      Suspects.push_back(Id);
    }
  return Suspects;
}

auto FailureDetector::alive(const InstanceId &Of, TimePoint Now) const -> bool {
  const auto Silent = silence(Of, Now);
  return Silent && *Silent <= limit();
}

auto FailureDetector::silence(const InstanceId &Of, TimePoint Now) const
    -> std::optional<Duration> {
  const auto Found = LastHeard.find(Of);
  if (Found == LastHeard.end())
    return std::nullopt;
  return Now - Found->second.Heard;
}

} // namespace buckthornring
