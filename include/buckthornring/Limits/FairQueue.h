#pragma once

#include "buckthornring/Common/Ids.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>

namespace buckthornring {

/// One bounded queue of waiting requests per workspace; the queues are served
/// by deficit round robin.
///
/// Deficit round robin after Shreedhar and Varghese, "Efficient Fair Queuing
/// Using Deficit Round-Robin" (SIGCOMM 1995). One FairQueue per target (or
/// service) and traffic thread.
class FairQueue {
public:
  /// Number by which the caller recognizes a request. The caller must keep it
  /// unique in the queue; this is not checked.
  using Ticket = std::uint64_t;

  struct Limits {
    /// Cost that the workspace may be served per turn.
    std::uint32_t Weight = 1;
    /// Most requests that may wait.
    std::uint32_t QueueLimit = 64;
  };

  /// Sets the limits of a workspace; a weight of zero counts as one. When the
  /// queue limit is lowered, requests beyond it stay in the queue.
  auto configure(const WorkspaceId &Workspace, Limits NewLimits) -> void;

  /// Returns false when the workspace's queue is full. \p Cost is in the unit
  /// of Limits::Weight. A workspace that was not configured has the default
  /// limits.
  auto push(const WorkspaceId &Workspace, Ticket Request,
            std::uint32_t Cost = 1) -> bool;

  /// Returns the next request, or nothing when none waits.
  auto pop() -> std::optional<Ticket>;

  /// Withdraws a waiting request. Returns false when it does not wait.
  auto remove(const WorkspaceId &Workspace, Ticket Request) -> bool;

  auto size() const -> std::size_t { return Count; }
  auto waiting(const WorkspaceId &Workspace) const -> std::size_t;

private:
  struct Entry {
    Ticket Request;
    std::uint32_t Cost;
  };
  /// Queue of one workspace.
  struct Flow {
    Limits Bounds;
    std::deque<Entry> Waiting;
    /// Cost that the flow may still be served; what is left carries over to its
    /// next turn while requests wait.
    std::uint64_t Deficit = 0;
  };

  std::map<WorkspaceId, Flow> Flows;
  /// Flows with waiting requests, next one first.
  std::list<Flow *> ActiveFlows;
  std::size_t Count = 0;
  /// The weight of the first active flow has been added to its deficit in this
  /// turn.
  bool FrontHasQuantum = false;
};

} // namespace buckthornring
