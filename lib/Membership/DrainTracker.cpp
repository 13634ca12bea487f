#include "buckthornring/Membership/DrainTracker.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>

namespace buckthornring {

auto DrainTracker::startDrain(const TargetId &Target, DrainSource Source)
    -> void {
  Targets[Target].Sources.insert(Source);
}

auto DrainTracker::endDrain(const TargetId &Target, DrainSource Source)
    -> bool {
  State &Of = Targets[Target];
  return Of.Sources.erase(Source) > 0 && Of.Sources.empty();
}

auto DrainTracker::takesNewWork(const TargetId &Target) const -> bool {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() || Found->second.Sources.empty();
}

auto DrainTracker::requestStarted(const TargetId &Target) -> void {
  invariant(takesNewWork(Target), "a draining target gets no new work");
  ++Targets[Target].Running;
}

auto DrainTracker::requestFinished(const TargetId &Target) -> void {
  State &Of = Targets[Target];
  invariant(Of.Running > 0, "a finished request was running");
  --Of.Running;
}

auto DrainTracker::running(const TargetId &Target) const -> std::uint32_t {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() ? 0 : Found->second.Running;
}

auto DrainTracker::setSlices(const TargetId &Target, std::uint32_t Count)
    -> void {
  Targets[Target].Slices = Count;
}

auto DrainTracker::nextBatch(const TargetId &Target,
                             std::vector<Receiver> Receivers,
                             std::uint32_t BatchLimit) -> std::vector<Batch> {
  State &Of = Targets[Target];
  if (Of.BatchMoving || Of.Sources.empty())
    return {};
  std::erase_if(Receivers, [&](const Receiver &Each) {
    return Each.Target == Target || !takesNewWork(Each.Target);
  });
  std::map<TargetId, std::uint32_t> Taken;
  std::uint32_t Left = std::min(Of.Slices, BatchLimit);
  while (Left > 0) {
    const auto Most = std::max_element(
        Receivers.begin(), Receivers.end(),
        [](const auto &A, const auto &B) { return A.Room < B.Room; });
    if (Most == Receivers.end() || Most->Room == 0)
      break;
    --Most->Room;
    --Left;
    ++Taken[Most->Target];
  }
  std::vector<Batch> Moves;
  Moves.reserve(Taken.size());
  for (const auto &[Receiver, Slices] : Taken)
    Moves.push_back({Receiver, Slices});
  Of.BatchMoving = !Moves.empty();
  return Moves;
}

auto DrainTracker::batchEnded(const TargetId &Target) -> void {
  Targets[Target].BatchMoving = false;
}

auto DrainTracker::drained(const TargetId &Target) const -> bool {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return false;
  const State &Of = Found->second;
  return !Of.Sources.empty() && Of.Running == 0 && Of.Slices == 0;
}

} // namespace buckthornring
