#pragma once

#include "Entry/RoutingSnapshot.h"
#include "Entry/ShareChannel.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Limits/ShareHolder.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace buckthornring {

/// Admits the requests of one traffic thread within its shares of the
/// workspaces' rates.
class RateGate {
public:
  using Ticket = std::uint64_t;
  /// Receives whether the request is admitted.
  using Handler = std::function<void(bool)>;

  struct Options {
    std::size_t Thread = 0;
    std::string HolderName; ///< "instance/thread".
    /// How long a request may wait for a token. Shares follow demand within
    /// two reports (100 ms each), so a request that still waits after this is
    /// above the workspace's rate and not only above the thread's share.
    Duration LongestWait = std::chrono::milliseconds(250);
  };

  /// \p Channel may be null: then nothing is limited.
  RateGate(Options Settings, ShareChannel *Channel);

  /// Keeps a share for each configured workspace.
  auto setSnapshot(const RoutingSnapshot &Snapshot, TimePoint Now) -> void;
  /// Follows a giver with a higher term.
  auto follow(std::uint64_t Term) -> void;
  auto apply(const std::string &Quantity, const ShareGrant &Grant,
             TimePoint Now) -> void;

  /// Admits a request at once. Returns false when it has to wait().
  auto tryAdmit(const WorkspaceId &Workspace, TimePoint Now) -> bool;
  /// Queues a request. Returns zero when too many wait already.
  auto wait(const WorkspaceId &Workspace, TimePoint Now, Handler Done)
      -> Ticket;
  auto cancel(const WorkspaceId &Workspace, Ticket Number) -> void;

  /// Serves waiting requests and reports to the giver. Call every 5 ms while
  /// waiting() and every 20 ms otherwise.
  auto tick(TimePoint Now) -> void;
  auto waiting() const -> bool;

  /// Seconds until a refused request may be sent again, at least one.
  auto retryAfter(const WorkspaceId &Workspace, TimePoint Now) -> std::int64_t;

private:
  struct Waiter {
    Ticket Number;
    TimePoint Until;
    Handler Done;
  };
  struct Lane {
    ShareHolder Share;
    std::size_t Limit;
    std::list<Waiter> Waiting;
  };

  auto serve(Lane &Of, TimePoint Now) -> void;
  auto report(const WorkspaceId &Workspace, Lane &Of, TimePoint Now) -> void;

  Options Settings;
  ShareChannel *Channel;
  std::map<WorkspaceId, Lane> Lanes;
  std::uint64_t Term = 0;
  Ticket LastTicket = 0;
};

/// Name of the quantity of a workspace's rate.
auto rateQuantity(const WorkspaceId &Workspace) -> std::string;

} // namespace buckthornring
