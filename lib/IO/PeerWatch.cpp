#include "IO/PeerWatch.h"

#include "IO/BootClock.h"
#include "IO/SocketOptions.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

PeerWatch::PeerWatch(boost::asio::ip::tcp::socket &Socket, Duration Limit)
    : Socket(Socket), Limit(Limit), Timer(Socket.get_executor()) {}

auto PeerWatch::start(std::weak_ptr<void> Owner, std::function<void()> OnSilent)
    -> void {
  enableDeadPeerDetection(Socket, Limit);
  this->Owner = std::move(Owner);
  this->OnSilent = std::move(OnSilent);
}

auto PeerWatch::onSendBegan() -> void {
  if (!OnSilent)
    return;
  Sending = true;
  SendBeganAt = bootNow();
  if (!Armed)
    armTimer(Limit);
}

auto PeerWatch::onSendEnded() -> void { Sending = false; }

auto PeerWatch::stop() -> void {
  OnSilent = nullptr;
  Timer.cancel();
}

auto PeerWatch::armTimer(Duration Wait) -> void {
  Armed = true;
  Timer.expires_after(Wait);
  Timer.async_wait(
      [this, Owner = Owner](const boost::system::error_code &Cancelled) {
        if (const auto Alive = Owner.lock(); Alive && !Cancelled)
          check();
      });
}

auto PeerWatch::check() -> void {
  Armed = false;
  // The timer may have been stopped after its handler was queued.
  if (!OnSilent || (!Sending && unacknowledgedBytes(Socket) == 0))
    return;
  const Duration Silence =
      std::min(silenceOfPeer(Socket), bootNow() - SendBeganAt);
  if (Silence < Limit)
    return armTimer(Limit - Silence);
  std::exchange(OnSilent, nullptr)();
}

} // namespace buckthornring
