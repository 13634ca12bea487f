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

/// Requests tokens from the rate keeper or the leader's reserve for requests
/// that exceed this instance's parts of the workspace rates. Each workspace has
/// at most one request pending.
class RateReserveClient {
public:
  using Callback = std::function<void(bool)>;
  /// Sends a request to the rate keeper or the leader; returns false when there
  /// is neither. The reply is passed to onRateReply(), at once or later.
  using Sender = std::function<bool(const RateReserveRequest &)>;

  /// \p OnTimeout is called when a request got no reply in time.
  RateReserveClient(
      boost::asio::io_context &Context, RateShares &Rates, Sender Send,
      std::function<void()> OnTimeout = [] {})
      : Context(Context), Rates(Rates), Send(std::move(Send)),
        OnTimeout(std::move(OnTimeout)) {}

  /// \p Done is called with whether one request of the workspace may run, at
  /// once or when the reply has arrived or timed out.
  auto ask(const WorkspaceId &Workspace, Callback Done) -> void {
    ask(Workspace, std::vector<Callback>{std::move(Done)});
  }
  auto onRateReply(const RateReserveReply &Reply) -> void;

private:
  /// A reserve request without a reply yet, and the requests that wait for it.
  struct PendingRequest {
    PendingRequest(boost::asio::io_context &Context, std::uint64_t Number)
        : Timer(Context), Number(Number) {}

    boost::asio::steady_timer Timer;
    std::uint64_t Number;
    std::vector<Callback> WaitingCallbacks;
  };

  /// Asks for one token for each callback.
  auto ask(const WorkspaceId &Workspace, std::vector<Callback> Callbacks)
      -> void;
  auto onTimeout(const WorkspaceId &Workspace, std::uint64_t Number) -> void;
  auto finish(const WorkspaceId &Workspace, std::uint32_t Granted) -> void;
  auto takeWaitingCallbacks(const WorkspaceId &Workspace)
      -> std::vector<Callback>;

  boost::asio::io_context &Context;
  RateShares &Rates;
  Sender Send;
  std::function<void()> OnTimeout;
  std::map<WorkspaceId, PendingRequest> PendingRequests;
  std::uint64_t LastRequestNumber = 0;
  /// Numbers of requests that timed out and whose replies may still arrive.
  std::set<std::uint64_t> UnansweredNumbers;
};

} // namespace buckthornring
