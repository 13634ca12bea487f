#include "Gateway/CallerSessionState.h"

#include "IO/BootClock.h"
#include "IO/SocketOptions.h"

#include <boost/beast/http/status.hpp>

namespace buckthornring {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Appends a response with its framing. \p UntilClose: its body ends with the
/// connection.
auto appendResponse(BlockBuffer &Output, CallerResponse Response, bool HeadOnly,
                    bool UntilClose, bool Close) -> void {
  std::string Head("HTTP/1.1 ");
  Head.append(std::to_string(Response.Status))
      .append(" ")
      .append(http::obsolete_reason(static_cast<http::status>(Response.Status)))
      .append("\r\n");
  for (const auto &[Name, Value] : Response.Fields)
    appendField(Head, Name, Value);
  if (Response.Status != 204 && Response.Status != 304 && !UntilClose)
    appendField(Head, "Content-Length", std::to_string(Response.Body.size()));
  if (Close)
    appendField(Head, "Connection", "close");
  Head.append("\r\n");
  Output.append(Head);
  if (!HeadOnly)
    Output.appendBlocks(std::move(Response.Body));
}

} // namespace

auto CallerSession::respond(std::uint64_t RequestNumber,
                            CallerResponse Response) -> void {
  for (Connection::PendingResponse &Pending : Pimpl->PendingResponses)
    if (Pending.RequestNumber == RequestNumber && !Pending.Response) {
      Pending.Response = std::move(Response);
      return flush();
    }
}

auto CallerSession::collectResponses(bool &EndsUnframed) -> bool {
  bool Close = false;
  while (!Pimpl->PendingResponses.empty() &&
         Pimpl->PendingResponses.front().Response && !Close) {
    Connection::PendingResponse Pending =
        std::move(Pimpl->PendingResponses.front());
    Pimpl->PendingResponses.pop_front();
    if (Pending.Response->Abort) {
      close(true, SessionEnd::Aborted);
      return true;
    }
    // Requests behind it may be running already, and the end of the connection
    // would lose their responses.
    const bool UntilClose =
        Pending.Response->EndsWithClose && Pimpl->PendingResponses.empty();
    if (UntilClose)
      onLastRequestRead();
    EndsUnframed = UntilClose;
    Close = Pimpl->LastRequestRead && Pimpl->PendingResponses.empty();
    appendResponse(Pimpl->Output, std::move(*Pending.Response),
                   Pending.HeadOnly, UntilClose, Close);
  }
  return Close;
}

auto CallerSession::flush() -> void {
  if (Pimpl->Ended || Pimpl->Writing)
    return;
  Pimpl->Output = BlockBuffer(Pimpl->Budget);
  bool EndsUnframed = false;
  const bool Close = collectResponses(EndsUnframed);
  if (Pimpl->Ended || Pimpl->Output.empty())
    return;
  Pimpl->Writing = true;
  if (EndsUnframed)
    setResetOnClose(true);
  Pimpl->WrittenBytes = 0;
  Pimpl->WriteStartedAt = Pimpl->ProgressAt = bootNow();
  armWriteTimer(acknowledgedBytes());
  Pimpl->Watch.onSendBegan();
  writeOutput(Close);
}

auto CallerSession::writeOutput(bool Close) -> void {
  Pimpl->Socket.async_write_some(
      writeBuffers(Pimpl->Output),
      [Self = shared_from_this(), Close](const error_code &Failure,
                                         std::size_t Written) {
        Connection &Current = *Self->Pimpl;
        Current.WrittenBytes += Written;
        Current.Output.consume(Written);
        Self->recordProgress(Written);
        if (!Failure && !Current.Ended && !Current.Output.empty())
          return Self->writeOutput(Close);
        Current.Writing = false;
        Current.WriteTimer.cancel();
        Current.Watch.onSendEnded();
        Current.WrittenBefore += std::exchange(Current.WrittenBytes, 0);
        if (Current.Ended)
          return;
        if (Failure)
          return Self->onDisconnected();
        Self->onWritten(Close);
      });
}

auto CallerSession::acknowledgedBytes() -> std::size_t {
  const std::size_t Written = Pimpl->WrittenBefore + Pimpl->WrittenBytes;
  return Written - std::min(Written, unacknowledgedBytes(Pimpl->Socket));
}

auto CallerSession::armWriteTimer(std::size_t Acknowledged) -> void {
  Pimpl->WriteTimer.expires_after(CallerWriteTimeout);
  Pimpl->WriteTimer.async_wait(
      [Weak = weak_from_this(), Acknowledged](const error_code &Cancelled) {
        const auto Self = Weak.lock();
        if (Cancelled || !Self || Self->Pimpl->Ended || !Self->Pimpl->Writing)
          return;
        Connection &Current = *Self->Pimpl;
        const std::size_t Now = Self->acknowledgedBytes();
        if (Now <= Acknowledged ||
            bootNow() - Current.WriteStartedAt >= MaxCallerWriteTime)
          return Self->close(true, SessionEnd::WriteTimeout);
        Self->armWriteTimer(Now);
      });
}

auto CallerSession::onWritten(bool Close) -> void {
  if (Close)
    return close(false, SessionEnd::LastResponse);
  flush();
  if (Pimpl->Ended)
    return;
  if (Pimpl->Reading && !Pimpl->RequestParser->is_header_done() &&
      Pimpl->PendingResponses.empty() && !Pimpl->Writing)
    armHeadTimer();
  readHead();
}

auto CallerSession::sendingBytes() const -> std::size_t {
  std::size_t Bytes = Pimpl->Output.capacity();
  for (const Connection::PendingResponse &Pending : Pimpl->PendingResponses)
    if (Pending.Response)
      Bytes += Pending.Response->Body.capacity();
  return Bytes;
}

auto CallerSession::memoryState(TimePoint Now) const -> State {
  State Found;
  if (Pimpl->Ended)
    return Found;
  const std::size_t Receiving = Pimpl->LastRequestRead ? 0 : receivingBytes();
  const std::size_t Sending = sendingBytes();
  Found.Bytes = std::max(Receiving, Sending);
  if (Found.Bytes == 0)
    return Found;
  // The time in which the connection does not read counts only if there is
  // nothing to read.
  const bool Held = Pimpl->Paused && hasUnreadInput(Pimpl->Socket);
  Found.Stalled = (Held ? Pimpl->PausedAt : Now) - Pimpl->ProgressAt;
  if (Sending >= Receiving) {
    Found.Use = MemoryUse::Sending;
    Found.Remaining = Sending;
    return Found;
  }
  Found.Use = MemoryUse::Receiving;
  if (Pimpl->ReadingBody) {
    const auto Length = Pimpl->RequestParser->content_length_remaining();
    const std::size_t Received = Pimpl->RequestParser->get().body().size();
    // The end of a body in chunks is not known.
    Found.Remaining =
        Length ? static_cast<std::size_t>(*Length)
               : Pimpl->Limits.BodyBytes -
                     std::min<std::size_t>(Received, Pimpl->Limits.BodyBytes);
  }
  return Found;
}

auto CallerSession::releaseMemory() -> void {
  constexpr unsigned ServiceUnavailable = 503;
  if (Pimpl->Ended)
    return;
  const bool Receiving =
      !Pimpl->LastRequestRead && receivingBytes() > sendingBytes();
  if (Receiving)
    failRead(ServiceUnavailable);
  else
    close(true, SessionEnd::MemoryShort);
}

} // namespace buckthornring
