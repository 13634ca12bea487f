#pragma once

#include "Fleet/FleetMessage.h"
#include "Fleet/RateShares.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace buckthornring {

/// Requests tokens from the leader's reserve for requests that exceed this
/// instance's parts of the workspace rates. Each workspace has at most one
/// reserve request pending.
class RateReserveClient {
public:
  /// Sends a reserve request to the leader; returns false when there is no
  /// leader. The reply is passed to onRateReply(), at once or later.
  using Sender = std::function<bool(const RateReserveRequest &)>;

  RateReserveClient(boost::asio::io_context &Context, RateShares &Rates,
                    Sender Send)
      : Context(Context), Rates(Rates), Send(std::move(Send)) {}

  /// \p Done is called with whether one request of the workspace may run, at
  /// once or when the reply has arrived or timed out.
  auto ask(const WorkspaceId &Workspace, std::function<void(bool)> Done)
      -> void;
  auto onRateReply(const RateReserveReply &Reply) -> void;

private:
  /// A reserve request without a reply yet, and the requests that wait for it.
  struct PendingRequest {
    PendingRequest(boost::asio::io_context &Context, std::uint64_t Number)
        : Timer(Context), Number(Number) {}

    boost::asio::steady_timer Timer;
    std::uint64_t Number;
    std::vector<std::function<void(bool)>> WaitingCallbacks;
  };

  auto onTimeout(const WorkspaceId &Workspace, std::uint64_t Number) -> void;
  auto finish(const WorkspaceId &Workspace, std::uint32_t Granted) -> void;
  auto takeWaitingCallbacks(const WorkspaceId &Workspace)
      -> std::vector<std::function<void(bool)>>;

  boost::asio::io_context &Context;
  RateShares &Rates;
  Sender Send;
  std::map<WorkspaceId, PendingRequest> PendingRequests;
  std::uint64_t LastRequestNumber = 0;
  /// Numbers of requests that timed out and whose replies may still arrive.
  std::set<std::uint64_t> UnansweredNumbers;
};

} // namespace buckthornring
