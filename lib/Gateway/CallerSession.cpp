#include "Gateway/CallerSessionState.h"

#include "IO/BootClock.h"
#include "IO/SocketOptions.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace buckthornring {

namespace asio = boost::asio;
using boost::system::error_code;

CallerSession::CallerSession(asio::ip::tcp::socket Socket,
                             CallerHandler &Handler,
                             const RequestLimits &Limits,
                             std::shared_ptr<MemoryBudget> Budget)
    : Pimpl(std::make_unique<Connection>(std::move(Socket), Handler, Limits,
                                         std::move(Budget))) {
  Pimpl->Budget->enter(*this);
}

CallerSession::~CallerSession() { Pimpl->Budget->leave(*this); }

auto CallerSession::start() -> void {
  Pimpl->Watch.start(weak_from_this(), [this] { onCallerSilent(); });
  readHead();
}

auto CallerSession::armTimer(Duration Timeout) -> void {
  Pimpl->TimedOut = false;
  Pimpl->Idle = false;
  Pimpl->TimerExtended = false;
  Pimpl->Timer.expires_after(Timeout);
  Pimpl->Timer.async_wait(
      [Weak = weak_from_this(),
       Generation = ++Pimpl->TimerGeneration](const error_code &Cancelled) {
        const auto Self = Weak.lock();
        // The timer may have been cancelled after this handler was queued.
        if (Cancelled || !Self || Self->Pimpl->Ended ||
            Self->Pimpl->TimerGeneration != Generation)
          return;
        Self->onTimerExpired();
      });
}

auto CallerSession::armHeadTimer() -> void {
  const bool Began =
      Pimpl->Buffer.size() > 0 || Pimpl->RequestParser->got_some();
  armTimer(Began ? Pimpl->Limits.HeadTimeout : Pimpl->Limits.IdleTimeout);
  Pimpl->Idle = !Began;
}

auto CallerSession::onTimerExpired() -> void {
  // An instance that is short of processor time may handle the timer before
  // input that has arrived in time.
  const bool Unread = hasUnreadInput(Pimpl->Socket);
  if (Pimpl->Idle && (Unread || Pimpl->RequestParser->got_some()))
    return armTimer(Pimpl->Limits.HeadTimeout);
  if (Unread && !Pimpl->TimerExtended) {
    armTimer(Pimpl->Limits.HeadTimeout);
    Pimpl->TimerExtended = true;
    return;
  }
  Pimpl->TimedOut = true;
  Pimpl->TimeoutStatus = Pimpl->Paused ? 503 : 408;
  cancelRead();
}

auto CallerSession::disarmTimer() -> void {
  ++Pimpl->TimerGeneration;
  Pimpl->Idle = false;
  Pimpl->Timer.cancel();
}

// The response that is being written is not affected.
auto CallerSession::cancelRead() -> void {
  if (std::exchange(Pimpl->Paused, false)) {
    asio::post(Pimpl->Socket.get_executor(), [Self = shared_from_this()] {
      Self->endRead(asio::error::operation_aborted);
    });
    return;
  }
  Pimpl->ReadCancellation.emit(asio::cancellation_type::terminal);
}

auto CallerSession::onLastRequestRead() -> void {
  if (std::exchange(Pimpl->LastRequestRead, true))
    return;
  disarmTimer();
  // A further request that has arrived in part was not passed on, and its
  // caller sends it again.
  if (Pimpl->Reading)
    cancelRead();
  else
    watchForDisconnect();
}

auto CallerSession::setLimits(const RequestLimits &Limits) -> void {
  const Duration Longer = Limits.IdleTimeout - Pimpl->Limits.IdleTimeout;
  Pimpl->Limits = Limits;
  if (Pimpl->Ended || !Pimpl->Reading || Pimpl->RequestParser->got_some())
    return;
  limitParser();
  if (!Pimpl->Idle || Longer <= Duration(0))
    return;
  armTimer(std::chrono::duration_cast<Duration>(
               Pimpl->Timer.expiry() - std::chrono::steady_clock::now()) +
           Longer);
  Pimpl->Idle = true;
}

auto CallerSession::limitParser() -> void {
  Pimpl->RequestParser->limitFields(Pimpl->Limits.HeadBytes);
  Pimpl->RequestParser->body_limit(Pimpl->Limits.BodyBytes);
  Pimpl->Buffer.max_size(std::max(Pimpl->Buffer.max_size(),
                                  2 * std::size_t{Pimpl->Limits.HeadBytes}));
}

// The orderly end of the connection is the only end of a response without a
// length, and the system ends the connections of a killed process in order too.
auto CallerSession::setResetOnClose(bool Reset) -> void {
  error_code Ignored;
  Pimpl->Socket.set_option(asio::socket_base::linger(Reset, 0), Ignored);
}

auto CallerSession::drain(bool CloseIdle) -> void {
  if (Pimpl->Ended)
    return;
  Pimpl->Draining = true;
  if (!Pimpl->PendingResponses.empty())
    onLastRequestRead();
  const bool Idle =
      Pimpl->PendingResponses.empty() && !Pimpl->Writing &&
      !(Pimpl->RequestParser && Pimpl->RequestParser->got_some()) &&
      !hasUnreadInput(Pimpl->Socket);
  if (CloseIdle && Idle)
    close(false, SessionEnd::Drained);
}

auto CallerSession::idleSince() const -> std::optional<TimePoint> {
  if (Pimpl->Ended || Pimpl->Writing || !Pimpl->PendingResponses.empty() ||
      !Pimpl->Reading || Pimpl->ReadingBody || Pimpl->RequestParser->got_some())
    return std::nullopt;
  return Pimpl->IdleSince;
}

auto CallerSession::displace() -> bool {
  if (hasUnreadInput(Pimpl->Socket))
    return false;
  close(false, SessionEnd::Displaced);
  closeSocket();
  return true;
}

auto CallerSession::onDisconnected() -> void {
  close(true, SessionEnd::CallerLeft);
}

auto CallerSession::onCallerSilent() -> void {
  if (Pimpl->Ended)
    closeSocket();
  else
    onDisconnected();
}

auto CallerSession::ending() const -> const SessionEnding & {
  return Pimpl->Ending;
}

auto CallerSession::close(bool Reset, SessionEnd Cause) -> void {
  if (std::exchange(Pimpl->Ended, true))
    return;
  Pimpl->Ending = {Cause, Pimpl->PendingResponses.size(), Pimpl->Writing,
                   (Pimpl->Reading && Pimpl->RequestParser->got_some()) ||
                       Pimpl->Buffer.size() > 0 ||
                       hasUnreadInput(Pimpl->Socket)};
  const auto Self = shared_from_this();
  Pimpl->Timer.cancel();
  Pimpl->WriteTimer.cancel();
  error_code Ignored;
  setResetOnClose(Reset);
  if (!Reset) {
    Pimpl->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    cancelRead();
    discardInput(std::make_shared<DiscardedInput>());
    Pimpl->LingerUntil = bootNow() + CallerWriteTimeout;
    Pimpl->LingerAcknowledged = acknowledgedBytes();
    closeAfterLinger();
  }
  const auto PendingResponses = std::exchange(Pimpl->PendingResponses, {});
  Pimpl->Budget->leave(*this);
  Pimpl->RequestParser.reset();
  for (const Connection::PendingResponse &Pending : PendingResponses)
    if (!Pending.Response)
      Pimpl->Handler.onCallerDisconnected(*this, Pending.RequestNumber);
  Pimpl->Handler.onSessionEnded(Self);
  if (Reset)
    closeSocket();
}

auto CallerSession::closeSocket() -> void {
  if (!Pimpl->Socket.is_open())
    return;
  error_code Ignored;
  Pimpl->Watch.stop();
  Pimpl->Socket.close(Ignored);
  Pimpl->Handler.onSocketClosed();
}

auto CallerSession::discardInput(const std::shared_ptr<DiscardedInput> &Input)
    -> void {
  Pimpl->Socket.async_read_some(asio::buffer(*Input),
                                [Self = shared_from_this(), Input](
                                    const error_code &Failure, std::size_t) {
                                  if (!Failure) {
                                    Self->Pimpl->InputDiscarded = true;
                                    return Self->discardInput(Input);
                                  }
                                  Self->Pimpl->Timer.cancel();
                                  Self->closeSocket();
                                });
}

auto CallerSession::closeAfterLinger() -> void {
  Pimpl->Timer.expires_after(LingerTimeout);
  Pimpl->Timer.async_wait([Self = shared_from_this()](
                              const error_code &Cancelled) {
    if (Cancelled)
      return;
    Connection &Current = *Self->Pimpl;
    const TimePoint Now = bootNow();
    const std::size_t Acknowledged = Self->acknowledgedBytes();
    if (std::exchange(Current.LingerAcknowledged, Acknowledged) < Acknowledged)
      Current.LingerUntil =
          std::min(Now + CallerWriteTimeout,
                   Current.WriteStartedAt + MaxCallerWriteTime);
    const bool Sending = std::exchange(Current.InputDiscarded, false);
    if ((Sending || hasUnsentOutput(Current.Socket)) &&
        Now < Current.LingerUntil)
      return Self->closeAfterLinger();
    Self->closeSocket();
  });
}

} // namespace buckthornring
