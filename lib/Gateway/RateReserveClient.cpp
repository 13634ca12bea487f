#include "Gateway/RateReserveClient.h"

#include "IO/BootClock.h"

#include <iterator>
#include <utility>

namespace buckthornring {

namespace {

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
                            std::vector<Callback> Callbacks) -> void {
  if (!Rates.mayRequestTokens(Workspace, bootNow())) {
    for (const Callback &Done : Callbacks)
      Done(false);
    return;
  }
  const auto Existing = PendingRequests.find(Workspace);
  if (Existing != PendingRequests.end()) {
    std::move(Callbacks.begin(), Callbacks.end(),
              std::back_inserter(Existing->second.WaitingCallbacks));
    return;
  }
  const auto Wanted = static_cast<std::uint32_t>(Callbacks.size());
  const std::uint64_t Number = ++LastRequestNumber;
  PendingRequest &Pending =
      PendingRequests.try_emplace(Workspace, Context, Number).first->second;
  Pending.WaitingCallbacks = std::move(Callbacks);
  Pending.Timer.expires_after(ReplyTimeout);
  Pending.Timer.async_wait(
      [this, Workspace, Number](const boost::system::error_code &Cancelled) {
        if (!Cancelled)
          onTimeout(Workspace, Number);
      });
  if (Send({Workspace, Wanted, Number}))
    return;
  for (const Callback &Done : takeWaitingCallbacks(Workspace))
    Done(false);
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
  OnTimeout();
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
    -> std::vector<Callback> {
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
  std::vector<Callback> Unserved;
  for (const Callback &Done : WaitingCallbacks)
    if (Granted > 0 && Rates.spend(Workspace))
      Done(true);
    else
      Unserved.push_back(Done);
  // Requests that arrived while this one was pending ask again.
  if (!Unserved.empty())
    ask(Workspace, std::move(Unserved));
}

} // namespace buckthornring
