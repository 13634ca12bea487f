#include "Gateway/RateReserveClient.h"

#include "IO/BootClock.h"

namespace buckthornring {

namespace {

/// Tokens requested in one call. Tokens that an instance does not use soon are
/// lost to the workspace, and most instances need one at a time.
constexpr std::uint32_t RequestsPerCall = 1;

/// Timeout of the leader's reply. The reply takes a few milliseconds, but an
/// instance that has used up its share of the processor is suspended for up to
/// 100 ms.
constexpr Duration ReplyTimeout = std::chrono::milliseconds(100);

/// Maximum number of timed-out requests that are kept. Replies to older ones
/// are considered lost.
constexpr std::size_t MaxUnansweredNumbers = 64;

/// Time for which the reserve is not asked again after it granted nothing.
constexpr Duration EmptyReservePause = std::chrono::milliseconds(150);

} // namespace

auto RateReserveClient::ask(const WorkspaceId &Workspace,
                            std::function<void(bool)> Done) -> void {
  if (!Rates.mayRequestTokens(Workspace, bootNow()))
    return Done(false);
  const auto Existing = PendingRequests.find(Workspace);
  if (Existing != PendingRequests.end()) {
    Existing->second.WaitingCallbacks.push_back(std::move(Done));
    return;
  }
  const std::uint64_t Number = ++LastRequestNumber;
  PendingRequest &Pending =
      PendingRequests.try_emplace(Workspace, Context, Number).first->second;
  Pending.WaitingCallbacks.push_back(std::move(Done));
  Pending.Timer.expires_after(ReplyTimeout);
  Pending.Timer.async_wait(
      [this, Workspace, Number](const boost::system::error_code &Cancelled) {
        if (!Cancelled)
          onTimeout(Workspace, Number);
      });
  if (Send({Workspace, RequestsPerCall, Number}))
    return;
  for (const auto &OnDone : takeWaitingCallbacks(Workspace))
    OnDone(false);
}

auto RateReserveClient::onTimeout(const WorkspaceId &Workspace,
                                  std::uint64_t Number) -> void {
  const auto Pending = PendingRequests.find(Workspace);
  // The reply may have arrived while this handler was already queued.
  if (Pending == PendingRequests.end() || Pending->second.Number != Number)
    return;
  UnansweredNumbers.insert(Number);
  if (UnansweredNumbers.size() > MaxUnansweredNumbers)
    UnansweredNumbers.erase(UnansweredNumbers.begin());
  finish(Workspace, 0);
}

auto RateReserveClient::onRateReply(const RateReserveReply &Reply) -> void {
  const auto Pending = PendingRequests.find(Reply.Workspace);
  if (Pending != PendingRequests.end() &&
      Pending->second.Number == Reply.Number)
    return finish(Reply.Workspace, Reply.Granted);
  // Tokens of a late reply are available to the next requests, once.
  if (UnansweredNumbers.erase(Reply.Number) > 0)
    Rates.addReserveTokens(Reply.Workspace, Reply.Granted, bootNow());
}

auto RateReserveClient::takeWaitingCallbacks(const WorkspaceId &Workspace)
    -> std::vector<std::function<void(bool)>> {
  const auto Pending = PendingRequests.find(Workspace);
  auto WaitingCallbacks = std::move(Pending->second.WaitingCallbacks);
  PendingRequests.erase(Pending);
  return WaitingCallbacks;
}

auto RateReserveClient::finish(const WorkspaceId &Workspace,
                               std::uint32_t Granted) -> void {
  const auto WaitingCallbacks = takeWaitingCallbacks(Workspace);
  const TimePoint Now = bootNow();
  if (Granted == 0)
    Rates.onReserveEmpty(Workspace, Now + EmptyReservePause);
  Rates.addReserveTokens(Workspace, Granted, Now);
  for (const auto &Done : WaitingCallbacks)
    if (Granted > 0 && Rates.spend(Workspace))
      Done(true);
    else
      // Requests that arrived while this one was pending ask again.
      ask(Workspace, Done);
}

} // namespace buckthornring
