#include "Gateway/TargetConnection.h"

#include "Gateway/BlockBody.h"
#include "IO/BootClock.h"
#include "IO/HttpWire.h"
#include "IO/MessageParser.h"
#include "IO/PeerWatch.h"
#include "IO/ResponseBuffer.h"
#include "IO/SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <string>
#include <vector>

namespace buckthornring {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Largest response body that is held in memory.
constexpr std::uint64_t MaxResponseBodyBytes = 64ULL * 1024 * 1024;
constexpr std::uint32_t MaxResponseHeadBytes = 64 * 1024;

/// Responses to other requests that are skipped before the connection counts as
/// out of sync.
constexpr int MaxSkippedResponses = 4;

/// Rejections after which a connection is not used again, which bounds the
/// memory for them.
constexpr std::size_t MaxRejections = 256;

/// A connection counts as dead when sent data is not acknowledged for this
/// time; round trips to targets take a few milliseconds.
constexpr Duration TargetSilenceTimeout = std::chrono::milliseconds(1000);

/// Upper bound of the wait for a reset of a new connection; round trips to
/// targets in the same region are shorter.
constexpr Duration MaxResetWait = std::chrono::milliseconds(5);

/// Least and largest read. Reads grow with the body.
constexpr std::size_t MinReadBytes = 512;
constexpr std::size_t MaxReadBytes = BlockBuffer::MaxBlockBytes;

/// Bytes that count as progress of a response.
constexpr std::size_t ProgressStep = 4096;

using Parser = MessageParser<false, BlockBody>;

/// Reads "timeout=N" of a Keep-Alive field; zero if it is missing.
auto keepAliveSeconds(std::string_view Value) -> int {
  constexpr std::string_view Name = "timeout=";
  const auto Position = Value.find(Name);
  int Seconds = 0;
  if (Position != std::string_view::npos)
    std::from_chars(Value.data() + Position + Name.size(),
                    Value.data() + Value.size(), Seconds);
  return Seconds;
}

} // namespace

struct TargetConnection::Connection {
  Connection(const asio::any_io_executor &Executor,
             std::shared_ptr<BodyBudget> Budget,
             std::shared_ptr<MemoryBudget> Memory)
      : Socket(Executor), Watch(Socket, TargetSilenceTimeout),
        Buffer(MaxUnparsedBytes), Budget(std::move(Budget)),
        Memory(std::move(Memory)), Charge(this->Memory) {}
  ~Connection() { Budget->resize(BodyBytes, 0); }
  Connection(const Connection &) = delete;
  auto operator=(const Connection &) -> Connection & = delete;

  asio::ip::tcp::socket Socket;
  PeerWatch Watch;
  std::unique_ptr<asio::steady_timer> Timer; ///< While connecting.
  ResponseBuffer Buffer;
  std::shared_ptr<BodyBudget> Budget;
  std::size_t BodyBytes = 0; ///< Taken from the budget.
  std::shared_ptr<MemoryBudget> Memory;
  MemoryCharge Charge;                    ///< The input buffer.
  TimePoint ProgressAt = LongAgo;         ///< When the target last sent much.
  std::size_t ProgressBytes = 0;          ///< Sent since.
  TimePoint PausedAt = LongAgo;           ///< Valid while Paused.
  std::unique_ptr<Parser> ResponseParser; ///< Null before a response begins.
  std::string Output;
  std::shared_ptr<const BlockBuffer> OutputBody;
  std::string IdField;
  std::string Id; ///< Empty after the exchange.
  /// Hashes, since ids may be as long as a head, and hundreds of connections
  /// are kept. An equal hash costs another connection at most.
  std::vector<std::size_t> RejectedIds;
  ResponseHandler Done;
  Duration IdleLimit{0};
  int SkippedResponses = 0;
  int InterimResponses = 0;
  bool Connecting = false;
  bool HeadOnly = false;
  bool Written = true;
  error_code WriteFailure;
  bool KeepAlive = true;
  bool Closed = false;
  bool Paused = false; ///< Waits for memory before it reads on.
};

TargetConnection::TargetConnection(const asio::any_io_executor &Executor,
                                   std::shared_ptr<BodyBudget> Budget,
                                   std::shared_ptr<MemoryBudget> Memory)
    : Pimpl(std::make_unique<Connection>(Executor, std::move(Budget),
                                         std::move(Memory))) {}

TargetConnection::~TargetConnection() { Pimpl->Memory->leave(*this); }

auto TargetConnection::connect(const asio::ip::tcp::endpoint &Peer,
                               Duration Timeout, ConnectOptions Options,
                               ConnectHandler Done) -> void {
  Pimpl->Timer = std::make_unique<asio::steady_timer>(
      Pimpl->Socket.get_executor(), Timeout);
  Pimpl->Timer->async_wait(
      [Weak = weak_from_this()](const error_code &Cancelled) {
        const auto Self = Weak.lock();
        error_code Ignored;
        if (!Cancelled && Self && Self->Pimpl->Connecting)
          Self->Pimpl->Socket.cancel(Ignored);
      });
  Pimpl->Connecting = true;
  Pimpl->Socket.async_connect(
      Peer, [Self = shared_from_this(), Options, StartedAt = bootNow(),
             Done = std::move(Done)](const error_code &Failure) mutable {
        Self->Pimpl->Connecting = false;
        Self->Pimpl->Timer.reset();
        if (Self->Pimpl->Closed)
          return;
        if (Failure)
          return Done(false);
        error_code Ignored;
        Self->Pimpl->Socket.non_blocking(true, Ignored);
        if (Options.ResetAtProcessEnd)
          Self->Pimpl->Socket.set_option(asio::socket_base::linger(true, 0),
                                         Ignored);
        if (Options.DetectSilence)
          Self->Pimpl->Watch.start(Self,
                                   [Raw = Self.get()] { Raw->onSilent(); });
        Self->onConnected(bootNow() - StartedAt, Options.AwaitReset,
                          std::move(Done));
      });
}

auto TargetConnection::onConnected(Duration RoundTrip, bool AwaitReset,
                                   ConnectHandler Done) -> void {
  if (!AwaitReset)
    return Done(true);
  Pimpl->Timer = std::make_unique<asio::steady_timer>(
      Pimpl->Socket.get_executor(), std::min(RoundTrip, MaxResetWait));
  Pimpl->Timer->async_wait(
      [Self = shared_from_this(), Done = std::move(Done)](const error_code &) {
        Self->Pimpl->Timer.reset();
        if (!Self->Pimpl->Closed)
          Done(!Self->brokenWhileIdle());
      });
}

auto TargetConnection::exchange(std::string RequestMessage, std::string IdField,
                                std::string Id, bool HeadOnly,
                                ResponseHandler Done,
                                std::shared_ptr<const BlockBuffer> Body)
    -> void {
  Pimpl->Output = std::move(RequestMessage);
  Pimpl->OutputBody = std::move(Body);
  Pimpl->IdField = std::move(IdField);
  Pimpl->Id = std::move(Id);
  Pimpl->HeadOnly = HeadOnly;
  Pimpl->Done = std::move(Done);
  Pimpl->SkippedResponses = 0;
  Pimpl->InterimResponses = 0;
  Pimpl->Written = false;
  Pimpl->WriteFailure = {};
  Pimpl->ProgressAt = bootNow();
  Pimpl->Memory->enter(*this);
  std::vector<asio::const_buffer> Message{asio::buffer(Pimpl->Output)};
  if (Pimpl->OutputBody)
    for (const std::string_view Part : Pimpl->OutputBody->parts())
      Message.emplace_back(Part.data(), Part.size());
  Pimpl->Watch.onSendBegan();
  asio::async_write(Pimpl->Socket, Message,
                    [Self = shared_from_this()](const error_code &Failure,
                                                std::size_t Written) {
                      Self->Pimpl->Watch.onSendEnded();
                      Self->Pimpl->OutputBody.reset();
                      // An assignment would keep its memory.
                      std::string().swap(Self->Pimpl->Output);
                      if (Failure)
                        return Self->onWriteFailed(Failure, Written);
                      Self->Pimpl->Written = true;
                    });
  awaitInput();
}

auto TargetConnection::awaitInput() -> void {
  Pimpl->Socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this()](const error_code &Failure) {
        if (Self->Pimpl->Closed || !Self->Pimpl->Done)
          return;
        if (Failure)
          return Self->onReadFailed(Failure);
        Self->readAvailable();
      });
}

auto TargetConnection::onWriteFailed(const error_code &Failure,
                                     std::size_t Written) -> void {
  Pimpl->WriteFailure = Failure;
  // If a part was sent, the target may have responded to it, so the result of
  // the read decides.
  if (Written == 0 && !Pimpl->Closed && Pimpl->Done)
    finish(ExchangeResult::NotSent);
}

auto TargetConnection::onSilent() -> void {
  if (Pimpl->Done)
    finish(ExchangeResult::Lost);
  else
    close();
}

auto TargetConnection::beginResponse() -> void {
  Pimpl->ResponseParser = std::make_unique<Parser>();
  Pimpl->ResponseParser->get().body() = BlockBuffer(Pimpl->Memory);
  Pimpl->ResponseParser->limitFields(MaxResponseHeadBytes);
  Pimpl->ResponseParser->body_limit(MaxResponseBodyBytes);
  Pimpl->ResponseParser->skip(Pimpl->HeadOnly);
}

auto TargetConnection::readNextResponse() -> void {
  Pimpl->ResponseParser.reset();
  if (Pimpl->Buffer.size() == 0)
    return awaitInput();
  beginResponse();
  parseBuffered();
}

auto TargetConnection::receivedBytes() const -> std::size_t {
  return Pimpl->ResponseParser
             ? Pimpl->Buffer.capacity() +
                   Pimpl->ResponseParser->get().body().capacity()
             : 0;
}

auto TargetConnection::readMore() -> void {
  Connection &Current = *Pimpl;
  const std::size_t Received = Current.ResponseParser->get().body().size();
  const std::size_t Wanted = std::min(Received, MaxReadBytes);
  if (Received > 0 && !Current.Memory->mayReceive(*this, receivedBytes(),
                                                  Wanted + MinReadBytes)) {
    Current.Paused = true;
    Current.PausedAt = bootNow();
    return;
  }
  Current.Buffer.reserve(std::max(Wanted, MinReadBytes));
  Current.Charge.set(Current.Buffer.capacity());
  awaitInput();
}

auto TargetConnection::readAvailable() -> void {
  Connection &Current = *Pimpl;
  if (!Current.ResponseParser)
    beginResponse();
  Current.Buffer.reserve(MinReadBytes);
  const std::size_t Space =
      boost::beast::read_size(Current.Buffer, 4 * MaxReadBytes);
  if (Space == 0)
    return onReadFailed(http::error::buffer_overflow);
  error_code Failure;
  const std::size_t Count =
      Current.Socket.read_some(Current.Buffer.prepare(Space), Failure);
  if (Failure == asio::error::would_block)
    return awaitInput();
  Current.Buffer.commit(Count);
  recordProgress(Count);
  if (Failure == asio::error::eof)
    return onInputEnded();
  if (Failure)
    return onReadFailed(Failure);
  parseBuffered();
}

// The system reports a reset to the first call that learns of it. If that was
// the write, reads find an end as if the target had closed the connection in
// order. The handler of such a write may still be queued, but then it precedes
// what is posted here.
auto TargetConnection::onInputEnded() -> void {
  if (Pimpl->Written)
    return endResponse();
  asio::post(Pimpl->Socket.get_executor(), [Self = shared_from_this()] {
    if (!Self->Pimpl->Closed && Self->Pimpl->Done)
      Self->endResponse();
  });
}

auto TargetConnection::endResponse() -> void {
  Connection &Current = *Pimpl;
  // A write after an orderly end fails with broken_pipe, even if the target
  // resets the connection then.
  if (Current.WriteFailure && Current.WriteFailure != asio::error::broken_pipe)
    return onReadFailed(Current.WriteFailure);
  error_code Failure = http::error::end_of_stream;
  if (Current.ResponseParser->got_some())
    Current.ResponseParser->put_eof(Failure);
  if (Failure)
    return onReadFailed(Failure);
  parseBuffered();
}

auto TargetConnection::recordProgress(std::size_t Bytes) -> void {
  Pimpl->ProgressBytes += Bytes;
  if (Pimpl->ProgressBytes < ProgressStep)
    return;
  Pimpl->ProgressBytes = 0;
  Pimpl->ProgressAt = bootNow();
}

auto TargetConnection::parseBuffered() -> void {
  Connection &Current = *Pimpl;
  Parser &Response = *Current.ResponseParser;
  error_code Failure;
  while (!Failure && !Response.is_done()) {
    const std::size_t BodyBytes = Response.get().body().size();
    Response.parsePart(Current.Buffer, Failure);
    // Lines of a body may begin with a blank.
    if (Current.Buffer.takeFoldedLine() &&
        Response.get().body().size() == BodyBytes)
      return reject("folded line");
  }
  if (Failure && Failure != http::error::need_more)
    return onReadFailed(Failure);
  onPartRead();
}

auto TargetConnection::onPartRead() -> void {
  if (!hasValidStatus())
    return reject("invalid status");
  Pimpl->Charge.set(Pimpl->Buffer.capacity());
  if (!Pimpl->Budget->resize(Pimpl->BodyBytes,
                             Pimpl->ResponseParser->get().body().size()))
    return reject("no room for the body");
  if (Pimpl->ResponseParser->is_done())
    return onResponse();
  readMore();
}

auto TargetConnection::hasValidStatus() const -> bool {
  if (!Pimpl->ResponseParser->is_header_done())
    return true;
  const unsigned Status = Pimpl->ResponseParser->get().result_int();
  return isInterimStatus(Status) || isFinalStatus(Status);
}

auto TargetConnection::memoryState(TimePoint Now) const -> MemoryHolder::State {
  MemoryHolder::State Found;
  if (Pimpl->Closed || !Pimpl->Done || !Pimpl->ResponseParser ||
      !Pimpl->ResponseParser->is_header_done())
    return Found;
  Found.Use = MemoryUse::Receiving;
  Found.Bytes = receivedBytes();
  Found.Stalled = (Pimpl->Paused ? Pimpl->PausedAt : Now) - Pimpl->ProgressAt;
  // The end of a response without a length is not known.
  Found.Remaining = static_cast<std::size_t>(
      Pimpl->ResponseParser->content_length_remaining().value_or(
          MaxResponseBodyBytes));
  return Found;
}

auto TargetConnection::releaseMemory() -> void {
  Pimpl->Paused = false;
  if (!Pimpl->Closed && Pimpl->Done)
    reject("memory taken back");
}

auto TargetConnection::resumeReceiving() -> void {
  if (!std::exchange(Pimpl->Paused, false) || Pimpl->Closed || !Pimpl->Done)
    return;
  // The pause is no fault of the target.
  Pimpl->ProgressAt += bootNow() - Pimpl->PausedAt;
  readMore();
}

auto TargetConnection::onReadFailed(const error_code &Failure) -> void {
  if (isUnreadable(Failure))
    return reject(Failure.message());
  finish(ExchangeResult::Lost);
}

auto TargetConnection::onResponse() -> void {
  const auto &Message = Pimpl->ResponseParser->get();
  const unsigned Status = Message.result_int();
  if (isInterimStatus(Status))
    return Status == 101 || ++Pimpl->InterimResponses > MaxInterimResponses
               ? reject("invalid interim response")
               : readNextResponse();
  if (!Pimpl->IdField.empty() && Message[Pimpl->IdField] != Pimpl->Id) {
    if (++Pimpl->SkippedResponses > MaxSkippedResponses ||
        !Pimpl->ResponseParser->keep_alive())
      return reject("response to another request");
    return readNextResponse();
  }
  finish(ExchangeResult::Answered);
}

auto TargetConnection::reject(std::string Fault) -> void {
  TargetResponse Response;
  Response.Fault = std::move(Fault);
  finish(ExchangeResult::Malformed, std::move(Response));
}

auto TargetConnection::finish(ExchangeResult Outcome, TargetResponse Response)
    -> void {
  Pimpl->Budget->resize(Pimpl->BodyBytes, 0);
  Pimpl->Memory->leave(*this);
  std::string().swap(Pimpl->Id);
  Pimpl->KeepAlive = false;
  if (Outcome == ExchangeResult::Answered) {
    auto &Message = Pimpl->ResponseParser->get();
    Response.Status = Message.result_int();
    for (const auto &Field : Message)
      Response.Fields.add(std::string(Field.name_string()),
                          std::string(Field.value()));
    Response.Body = std::move(Message.body());
    Response.EndsWithClose = Pimpl->ResponseParser->need_eof();
    Pimpl->KeepAlive = Pimpl->ResponseParser->keep_alive() && Pimpl->Written &&
                       Pimpl->Buffer.size() == 0 &&
                       Pimpl->SkippedResponses == 0;
    if (const auto KeepAliveField = Response.Fields.find("Keep-Alive"))
      Pimpl->IdleLimit =
          std::chrono::seconds(keepAliveSeconds(*KeepAliveField));
  }
  if (!Pimpl->KeepAlive)
    Pimpl->Watch.stop();
  // Hundreds of idle connections are kept.
  if (Outcome == ExchangeResult::Answered && Pimpl->Buffer.size() == 0) {
    Pimpl->ResponseParser.reset();
    Pimpl->Buffer.shrink_to_fit();
    Pimpl->Charge.set(0);
  }
  std::exchange(Pimpl->Done, nullptr)(Outcome, std::move(Response));
}

auto TargetConnection::recordRejection(const std::string &Id) -> void {
  Pimpl->RejectedIds.push_back(std::hash<std::string>()(Id));
}

auto TargetConnection::hasRejected(const std::string &Id) const -> bool {
  return std::find(Pimpl->RejectedIds.begin(), Pimpl->RejectedIds.end(),
                   std::hash<std::string>()(Id)) != Pimpl->RejectedIds.end();
}

auto TargetConnection::reusable() const -> bool {
  return !Pimpl->Closed && Pimpl->KeepAlive &&
         Pimpl->RejectedIds.size() < MaxRejections;
}

auto TargetConnection::brokenWhileIdle() const -> bool {
  return buckthornring::brokenWhileIdle(Pimpl->Socket);
}

auto TargetConnection::idleLimit() const -> Duration {
  return Pimpl->IdleLimit;
}

auto TargetConnection::close() -> void {
  if (std::exchange(Pimpl->Closed, true))
    return;
  Pimpl->Done = nullptr;
  Pimpl->Watch.stop();
  Pimpl->Memory->leave(*this);
  Pimpl->Timer.reset();
  Pimpl->Budget->resize(Pimpl->BodyBytes, 0);
  error_code Ignored;
  Pimpl->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Pimpl->Socket.close(Ignored);
}

} // namespace buckthornring
