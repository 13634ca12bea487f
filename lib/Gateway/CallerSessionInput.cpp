#include "Gateway/CallerSessionState.h"

#include "IO/BootClock.h"
#include "IO/SocketOptions.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

namespace buckthornring {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Requests of one connection that may be in progress at the same time. Reading
/// continues when one of them has been answered.
constexpr std::size_t MaxPipelinedRequests = 16;

/// Time-out for reading a request's body, as a multiple of the configured
/// time-out for its head; the configuration limits only the size of the body.
constexpr int BodyTimeoutFactor = 4;

/// Least and largest read. An idle connection holds a buffer for the least one,
/// and reads grow with the body.
constexpr std::size_t MinReadBytes = 512;
constexpr std::size_t MaxReadBytes = BlockBuffer::MaxBlockBytes;

/// Largest capacity of the input buffer that is kept between requests.
constexpr std::size_t MaxIdleBufferBytes = 2048;

/// Bytes that count as progress of a caller. A caller that sends single bytes
/// makes none.
constexpr std::size_t ProgressStep = 4096;

/// Memory of a connection without its buffers: 3.5 kB were measured.
constexpr std::size_t ConnectionBytes = 4096;

constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

auto readErrorStatus(const error_code &Failure) -> unsigned {
  if (Failure == http::error::header_limit)
    return 431;
  if (Failure == http::error::body_limit)
    return 413;
  return isUnreadable(Failure) ? 400 : 0;
}

auto toRequestHead(const http::request<BlockBody> &Message) -> RequestHead {
  RequestHead Head;
  Head.Method = std::string(Message.method_string());
  Head.Target = std::string(Message.target());
  for (const auto &Field : Message) {
    const std::string Name(Field.name_string());
    const std::string Value(Field.value());
    if (sameHeaderName(Name, "Expect") && sameHeaderName(Value, "100-continue"))
      Head.ExpectsContinue = true;
    Head.Fields.add(Name, Value);
  }
  return Head;
}

} // namespace

auto CallerSession::readHead() -> void {
  if (Pimpl->Ended || Pimpl->LastRequestRead || Pimpl->Reading ||
      Pimpl->PendingResponses.size() >= MaxPipelinedRequests)
    return;
  Pimpl->Reading = true;
  Pimpl->ReadingBody = false;
  Pimpl->InputParsed = false;
  Pimpl->RequestParser.emplace();
  Pimpl->RequestParser->get().body() = BlockBuffer(Pimpl->Budget);
  limitParser();
  // A connection with responses to be written is not idle.
  if (Pimpl->PendingResponses.empty() && !Pimpl->Writing)
    armHeadTimer();
  else
    disarmTimer();
  Pimpl->IdleSince = Pimpl->ProgressAt = bootNow();
  readMore();
}

auto CallerSession::onHeadReadEnded(const error_code &Failure) -> void {
  if (!continueReading(Failure))
    return;
  disarmTimer();
  if (Pimpl->TimedOut && Failure == asio::error::operation_aborted)
    return Pimpl->RequestParser->got_some()
               ? failRead(Pimpl->TimeoutStatus)
               : close(false, SessionEnd::IdleTimeout);
  if (Failure)
    return failRead(readErrorStatus(Failure));
  onHeadRead();
}

auto CallerSession::nextReadSize() const -> std::size_t {
  const auto &Buffer = Pimpl->Buffer;
  const std::size_t Free = Buffer.max_size() - Buffer.size();
  std::size_t Size = std::max(MinReadBytes, Buffer.capacity() - Buffer.size());
  if (Pimpl->ReadingBody)
    Size = std::max(Size, std::min(Pimpl->RequestParser->get().body().size(),
                                   MaxReadBytes));
  return std::min({Size, Free, 4 * MaxReadBytes});
}

auto CallerSession::readMore() -> void {
  Connection &Current = *Pimpl;
  // A part that has arrived already is parsed as if it arrived now.
  if (Current.Buffer.size() > 0 && !Current.InputParsed) {
    asio::post(Current.Socket.get_executor(),
               [Self = shared_from_this()] { Self->onInput({}, 0); });
    return;
  }
  const std::size_t Size = nextReadSize();
  if (Size == 0)
    return endRead(http::error::buffer_overflow);
  const bool Began = Current.ReadingBody || Current.Buffer.size() > 0;
  if (Began && !Current.Budget->mayReceive(*this, receivingBytes(), Size)) {
    Current.Paused = true;
    Current.PausedAt = bootNow();
    return;
  }
  const auto Space = Current.Buffer.prepare(Size);
  updateCharge(Current.ReadingBody ? Size : 0);
  Current.Socket.async_read_some(
      Space, asio::bind_cancellation_slot(
                 Current.ReadCancellation.slot(),
                 [Self = shared_from_this()](const error_code &Failure,
                                             std::size_t Count) {
                   Self->onInput(Failure, Count);
                 }));
}

auto CallerSession::onInput(error_code Failure, std::size_t Count) -> void {
  Connection &Current = *Pimpl;
  Current.Buffer.commit(Count);
  Current.InputParsed = false;
  if (Current.Ended || Current.LastRequestRead) {
    updateCharge();
    return endRead(Failure ? Failure : asio::error::operation_aborted);
  }
  recordProgress(Count);
  if (Failure == asio::error::eof) {
    Failure = http::error::end_of_stream;
    if (Current.RequestParser->got_some())
      Current.RequestParser->put_eof(Failure);
  }
  const bool Complete = Failure || parseInput(Failure);
  updateCharge();
  if (Complete)
    return endRead(Failure);
  // The time-out found no read to cancel.
  if (Current.TimedOut)
    return endRead(asio::error::operation_aborted);
  readMore();
}

auto CallerSession::parseInput(error_code &Failure) -> bool {
  Connection &Current = *Pimpl;
  Connection::Parser &Parser = *Current.RequestParser;
  const auto Done = [&Current, &Parser] {
    return Current.ReadingBody ? Parser.is_done() : Parser.is_header_done();
  };
  while (!Done()) {
    Parser.parsePart(Current.Buffer, Failure);
    if (Failure != http::error::need_more) {
      if (Failure)
        return true;
      continue;
    }
    Failure = {};
    Current.InputParsed = true;
    break;
  }
  return Done();
}

auto CallerSession::endRead(const error_code &Failure) -> void {
  if (Pimpl->ReadingBody)
    onBodyReadEnded(Failure);
  else
    onHeadReadEnded(Failure);
}

auto CallerSession::recordProgress(std::size_t Bytes) -> void {
  Pimpl->ProgressBytes += Bytes;
  if (Pimpl->ProgressBytes < ProgressStep)
    return;
  Pimpl->ProgressBytes = 0;
  Pimpl->ProgressAt = bootNow();
}

auto CallerSession::updateCharge(std::size_t Reserved) -> void {
  Pimpl->Charge.set(ConnectionBytes + Pimpl->Buffer.capacity() + Reserved);
}

auto CallerSession::receivingBytes() const -> std::size_t {
  const bool Began = Pimpl->Reading && Pimpl->RequestParser &&
                     Pimpl->RequestParser->got_some();
  return Began ? Pimpl->Buffer.capacity() +
                     Pimpl->RequestParser->get().body().capacity()
               : 0;
}

auto CallerSession::continueReading(const error_code &Failure) -> bool {
  Pimpl->Reading = false;
  if (Pimpl->Ended)
    return false;
  if (!Pimpl->LastRequestRead)
    return true;
  if (Failure && Failure != asio::error::operation_aborted)
    onDisconnected();
  else
    watchForDisconnect();
  return false;
}

auto CallerSession::onHeadRead() -> void {
  Pimpl->HeadReceivedAt = bootNow();
  Pimpl->Head = toRequestHead(Pimpl->RequestParser->get());
  for (const auto &[Name, Value] : Pimpl->Head.Fields)
    if (sameHeaderName(Name, "Transfer-Encoding") &&
        !sameHeaderName(Value, "chunked"))
      return failRead(400);
  if (Pimpl->RequestParser->is_done())
    return onRequestRead();
  armTimer(Pimpl->Limits.HeadTimeout * BodyTimeoutFactor);
  if (!Pimpl->Head.ExpectsContinue || !Pimpl->PendingResponses.empty() ||
      Pimpl->Writing)
    return readBody();
  Pimpl->Writing = true;
  asio::async_write(
      Pimpl->Socket, asio::buffer(ContinueResponse),
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        Self->Pimpl->Writing = false;
        if (Self->Pimpl->Ended)
          return;
        if (Failure)
          return Self->onDisconnected();
        Self->readBody();
      });
}

auto CallerSession::readBody() -> void {
  Pimpl->Reading = true;
  Pimpl->ReadingBody = true;
  Pimpl->InputParsed = false;
  Pimpl->ProgressAt = bootNow();
  readMore();
}

auto CallerSession::onBodyReadEnded(const error_code &Failure) -> void {
  if (!continueReading(Failure))
    return;
  if (Pimpl->TimedOut && Failure == asio::error::operation_aborted)
    return failRead(Pimpl->TimeoutStatus);
  if (Failure)
    return failRead(readErrorStatus(Failure));
  onRequestRead();
}

auto CallerSession::onRequestRead() -> void {
  disarmTimer();
  // An instance that is short of processor time may read a request only after
  // its caller has disconnected.
  if (Pimpl->Buffer.size() == 0 && endedByPeer(Pimpl->Socket))
    return onDisconnected();
  CallerRequest Request;
  Request.Head = std::move(Pimpl->Head);
  BlockBuffer &Body = Pimpl->RequestParser->get().body();
  if (!Body.empty())
    Request.Body = std::make_shared<const BlockBuffer>(std::move(Body));
  Request.ReceivedAt = Pimpl->HeadReceivedAt;
  if (Pimpl->Buffer.size() == 0 &&
      Pimpl->Buffer.capacity() > MaxIdleBufferBytes)
    Pimpl->Buffer.shrink_to_fit();
  updateCharge();
  const std::uint64_t RequestNumber = ++Pimpl->LastRequestNumber;
  const bool KeepAlive = Pimpl->RequestParser->keep_alive();
  Pimpl->PendingResponses.push_back(
      {RequestNumber, Request.Head.Method == "HEAD", std::nullopt});
  if (!KeepAlive || Pimpl->Draining)
    onLastRequestRead();
  Pimpl->Handler.onRequest(shared_from_this(), RequestNumber,
                           std::move(Request));
  readHead();
}

auto CallerSession::watchForDisconnect() -> void {
  if (Pimpl->Ended || Pimpl->Buffer.size() > 0)
    return;
  Pimpl->Socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this()](const error_code &Failure) {
        if (!Failure && !Self->Pimpl->Ended && endedByPeer(Self->Pimpl->Socket))
          Self->onDisconnected();
      });
}

auto CallerSession::failRead(unsigned Status) -> void {
  if (Status == 0)
    return onDisconnected();
  Pimpl->RequestParser->get().body().clear();
  const std::uint64_t RequestNumber = ++Pimpl->LastRequestNumber;
  Pimpl->PendingResponses.push_back(
      {RequestNumber, false, Pimpl->Handler.makeErrorResponse(Status)});
  onLastRequestRead();
  flush();
}

auto CallerSession::resumeReceiving() -> void {
  if (!std::exchange(Pimpl->Paused, false))
    return;
  // The pause is no fault of the caller.
  Pimpl->ProgressAt += bootNow() - Pimpl->PausedAt;
  readMore();
}

} // namespace buckthornring
