#include "buckthornring/Limits/FairQueue.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>

namespace buckthornring {

auto FairQueue::configure(const WorkspaceId &Workspace, Limits NewLimits)
    -> void {
  NewLimits.Weight = std::max(NewLimits.Weight, 1U);
  Flows[Workspace].Bounds = NewLimits;
}

auto FairQueue::push(const WorkspaceId &Workspace, Ticket Request,
                     std::uint32_t Cost) -> bool {
  Flow &Current = Flows[Workspace];
  if (Current.Waiting.size() >= Current.Bounds.QueueLimit)
    return false;
  if (Current.Waiting.empty()) {
    Current.Deficit = 0;
    ActiveFlows.push_back(&Current);
  }
  Current.Waiting.push_back({Request, Cost});
  ++Count;
  return true;
}

auto FairQueue::pop() -> std::optional<Ticket> {
  while (!ActiveFlows.empty()) {
    Flow &Current = *ActiveFlows.front();
    if (!FrontHasQuantum)
      Current.Deficit += Current.Bounds.Weight;
    FrontHasQuantum = true;
    const Entry Next = Current.Waiting.front();
    if (Current.Deficit < Next.Cost) {
      ActiveFlows.splice(ActiveFlows.end(), ActiveFlows, ActiveFlows.begin());
      FrontHasQuantum = false;
      continue;
    }
    Current.Deficit -= Next.Cost;
    Current.Waiting.pop_front();
    --Count;
    if (Current.Waiting.empty()) {
      ActiveFlows.pop_front();
      FrontHasQuantum = false;
    }
    return Next.Request;
  }
  invariant(Count == 0, "every waiting request is in the round");
  return std::nullopt;
}

auto FairQueue::remove(const WorkspaceId &Workspace, Ticket Request) -> bool {
  const auto Found = Flows.find(Workspace);
  if (Found == Flows.end())
    return false;
  Flow &Current = Found->second;
  const auto Position =
      std::find_if(Current.Waiting.begin(), Current.Waiting.end(),
                   [&](const Entry &E) { return E.Request == Request; });
  if (Position == Current.Waiting.end())
    return false;
  Current.Waiting.erase(Position);
  --Count;
  if (!Current.Waiting.empty())
    return true;
  if (ActiveFlows.front() == &Current)
    FrontHasQuantum = false;
  ActiveFlows.remove(&Current);
  return true;
}

auto FairQueue::waiting(const WorkspaceId &Workspace) const -> std::size_t {
  const auto Found = Flows.find(Workspace);
  return Found == Flows.end() ? 0 : Found->second.Waiting.size();
}

} // namespace buckthornring
