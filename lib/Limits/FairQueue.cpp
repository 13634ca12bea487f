#include "buckthornring/Limits/FairQueue.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>

namespace buckthornring {

auto FairQueue::configure(const WorkspaceId &Workspace, Limits NewLimits)
    -> void {
  NewLimits.Weight = std::max(NewLimits.Weight, 1U);
  Lanes[Workspace].Bounds = NewLimits;
}

auto FairQueue::push(const WorkspaceId &Workspace, Ticket Request,
                     std::uint32_t Cost) -> bool {
  Lane &Own = Lanes[Workspace];
  if (Own.Waiting.size() >= Own.Bounds.QueueLimit)
    return false;
  if (Own.Waiting.empty()) {
    Own.Deficit = 0;
    Round.push_back(&Own);
  }
  Own.Waiting.push_back({Request, Cost});
  ++Count;
  return true;
}

auto FairQueue::pop() -> std::optional<Ticket> {
  while (!Round.empty()) {
    Lane &Own = *Round.front();
    if (!FrontHasQuantum)
      Own.Deficit += Own.Bounds.Weight;
    FrontHasQuantum = true;
    const Entry Next = Own.Waiting.front();
    if (Own.Deficit < Next.Cost) {
      Round.splice(Round.end(), Round, Round.begin());
      FrontHasQuantum = false;
      continue;
    }
    Own.Deficit -= Next.Cost;
    Own.Waiting.pop_front();
    --Count;
    if (Own.Waiting.empty()) {
      Round.pop_front();
      FrontHasQuantum = false;
    }
    return Next.Request;
  }
  invariant(Count == 0, "every waiting request is in the round");
  return std::nullopt;
}

auto FairQueue::remove(const WorkspaceId &Workspace, Ticket Request) -> bool {
  const auto Found = Lanes.find(Workspace);
  if (Found == Lanes.end())
    return false;
  Lane &Own = Found->second;
  const auto Position =
      std::find_if(Own.Waiting.begin(), Own.Waiting.end(),
                   [&](const Entry &E) { return E.Request == Request; });
  if (Position == Own.Waiting.end())
    return false;
  Own.Waiting.erase(Position);
  --Count;
  if (!Own.Waiting.empty())
    return true;
  if (Round.front() == &Own)
    FrontHasQuantum = false;
  Round.remove(&Own);
  return true;
}

auto FairQueue::waiting(const WorkspaceId &Workspace) const -> std::size_t {
  const auto Found = Lanes.find(Workspace);
  return Found == Lanes.end() ? 0 : Found->second.Waiting.size();
}

} // namespace buckthornring
