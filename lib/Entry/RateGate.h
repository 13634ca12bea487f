#pragma once

#include "Entry/RoutingSnapshot.h"
#include "Entry/ShareChannel.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Limits/AdmissionGate.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace buckthornring {

/// Admits the requests of one traffic thread within its shares of the
/// workspaces' rates.
class RateGate {
public:
  using Ticket = AdmissionGate::Ticket;
  using Answer = AdmissionGate::Answer;
  /// Receives whether a request that had to wait is admitted.
  using Handler = std::function<void(bool)>;

  /// \p HolderName is "instance/thread". \p Channel may be null: then nothing
  /// is limited.
  RateGate(std::string HolderName, ShareChannel *Channel);

  /// Keeps a share for each configured workspace.
  auto setSnapshot(const RoutingSnapshot &Snapshot, TimePoint Now) -> void;
  /// Follows a giver with a higher term.
  auto follow(std::uint64_t Term) -> void;
  auto apply(const std::string &Quantity, const ShareGrant &Grant,
             TimePoint Now) -> void;

  auto newTicket() -> Ticket { return ++LastTicket; }
  /// Decides on a request. \p Done runs later when the answer is Wait.
  auto offer(const WorkspaceId &Workspace, Ticket Number, TimePoint Deadline,
             TimePoint Now, Handler Done) -> Answer;
  /// Withdraws a waiting request; its handler does not run.
  auto cancel(const WorkspaceId &Workspace, Ticket Number) -> void;

  /// Serves waiting requests and reports to the giver. Call every 5 ms while
  /// waiting() and every 20 ms otherwise.
  auto tick(TimePoint Now) -> void;
  auto waiting() const -> bool { return !Handlers.empty(); }

  /// Seconds until a refused request may be sent again, at least one.
  auto retryAfter(const WorkspaceId &Workspace, TimePoint Now) -> std::int64_t;

private:
  auto serve(AdmissionGate &Gate, TimePoint Now) -> void;
  auto report(const WorkspaceId &Workspace, AdmissionGate &Gate, TimePoint Now)
      -> void;
  auto finish(Ticket Number, bool Admitted) -> void;
  auto addGate(const WorkspaceId &Workspace, const WorkspaceConfig &Config,
               TimePoint Now) -> void;

  std::string HolderName;
  ShareChannel *Channel;
  std::map<WorkspaceId, AdmissionGate> Gates;
  std::unordered_map<Ticket, Handler> Handlers;
  std::uint64_t Term = 0;
  Ticket LastTicket = 0;
};

/// Name of the quantity of a workspace's rate.
auto rateQuantity(const WorkspaceId &Workspace) -> std::string;

} // namespace buckthornring
