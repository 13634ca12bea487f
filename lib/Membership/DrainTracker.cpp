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
  State &Drain = Targets[Target];
  return Drain.Sources.erase(Source) > 0 && Drain.Sources.empty();
}

auto DrainTracker::takesNewWork(const TargetId &Target) const -> bool {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() || Found->second.Sources.empty();
}

auto DrainTracker::requestStarted(const TargetId &Target) -> void {
  invariant(takesNewWork(Target), "a draining target gets no new work");
  ++Targets[Target].RunningRequests;
}

auto DrainTracker::requestFinished(const TargetId &Target) -> void {
  State &Drain = Targets[Target];
  invariant(Drain.RunningRequests > 0, "a finished request was running");
  --Drain.RunningRequests;
}

auto DrainTracker::runningRequests(const TargetId &Target) const
    -> std::uint32_t {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() ? 0 : Found->second.RunningRequests;
}

auto DrainTracker::setSlices(const TargetId &Target, std::uint32_t Count)
    -> void {
  Targets[Target].Slices = Count;
}

auto DrainTracker::nextBatch(const TargetId &Target,
                             std::vector<Receiver> Receivers,
                             std::uint32_t BatchLimit) -> std::vector<Batch> {
  State &Drain = Targets[Target];
  if (Drain.BatchMoving || Drain.Sources.empty())
    return {};
  std::erase_if(Receivers, [&](const Receiver &Candidate) {
    return Candidate.Target == Target || !takesNewWork(Candidate.Target);
  });
  std::map<TargetId, std::uint32_t> SlicesByReceiver;
  std::uint32_t Remaining = std::min(Drain.Slices, BatchLimit);
  while (Remaining > 0) {
    const auto MostFree = std::max_element(Receivers.begin(), Receivers.end(),
                                           [](const auto &A, const auto &B) {
                                             return A.FreeSlices < B.FreeSlices;
                                           });
    if (MostFree == Receivers.end() || MostFree->FreeSlices == 0)
      break;
    --MostFree->FreeSlices;
    --Remaining;
    ++SlicesByReceiver[MostFree->Target];
  }
  std::vector<Batch> Batches;
  Batches.reserve(SlicesByReceiver.size());
  for (const auto &[Receiver, Slices] : SlicesByReceiver)
    Batches.push_back({Receiver, Slices});
  Drain.BatchMoving = !Batches.empty();
  return Batches;
}

auto DrainTracker::batchEnded(const TargetId &Target) -> void {
  Targets[Target].BatchMoving = false;
}

auto DrainTracker::isDrained(const TargetId &Target) const -> bool {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return false;
  const State &Drain = Found->second;
  return !Drain.Sources.empty() && Drain.RunningRequests == 0 &&
         Drain.Slices == 0;
}

} // namespace buckthornring
