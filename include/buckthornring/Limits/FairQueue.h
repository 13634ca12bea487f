#pragma once

#include "buckthornring/Common/Ids.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>

namespace buckthornring {

/// Bounded queue per workspace, served by deficit round robin.
///
/// Deficit round robin after Shreedhar and Varghese, "Efficient Fair Queuing
/// Using Deficit Round-Robin" (SIGCOMM 1995). One queue per target (or service)
/// and traffic thread.
class FairQueue {
public:
  /// Identifies a waiting request for its owner.
  using Ticket = std::uint64_t;

  struct Limits {
    std::uint32_t Weight = 1;
    std::uint32_t QueueLimit = 64;
  };

  /// Sets the limits of a workspace; a weight of zero counts as one. When the
  /// queue limit is lowered, requests beyond it stay in the queue.
  auto configure(const WorkspaceId &Workspace, Limits NewLimits) -> void;

  /// Returns false when the workspace's queue is full.
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
  struct Flow {
    Limits Bounds;
    std::deque<Entry> Waiting;
    std::uint64_t Deficit = 0;
  };

  std::map<WorkspaceId, Flow> Flows;
  /// Flows with waiting requests, next one first.
  std::list<Flow *> ActiveFlows;
  std::size_t Count = 0;
  bool FrontHasQuantum = false;
};

} // namespace buckthornring
