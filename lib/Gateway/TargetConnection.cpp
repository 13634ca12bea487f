#include "Gateway/TargetConnection.h"

#include "IO/BootClock.h"
#include "IO/HttpWire.h"
#include "IO/SocketOptions.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
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

/// A connection counts as dead when sent data is not acknowledged for this
/// time; round trips to targets take a few milliseconds.
constexpr Duration TargetSilenceTimeout = std::chrono::milliseconds(1000);

/// Upper bound of the wait for a reset of a new connection; round trips to
/// targets in the same region are shorter.
constexpr Duration MaxResetWait = std::chrono::milliseconds(5);

using Parser = http::response_parser<http::string_body>;

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

struct TargetConnection::State {
  State(const asio::any_io_executor &Executor,
        std::shared_ptr<BodyBudget> Budget)
      : Socket(Executor), Timer(Executor), Buffer(MaxUnparsedBytes),
        Budget(std::move(Budget)) {}
  ~State() { Budget->resize(BodyBytes, 0); }
  State(const State &) = delete;
  auto operator=(const State &) -> State & = delete;

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::shared_ptr<BodyBudget> Budget;
  std::size_t BodyBytes = 0; ///< Taken from the budget.
  std::optional<Parser> ResponseParser;
  std::string Output;
  std::string IdField;
  std::string Id;
  std::vector<std::string> RejectedIds;
  ResponseHandler Done;
  Duration IdleLimit{0};
  int SkippedResponses = 0;
  int InterimResponses = 0;
  bool Connecting = false;
  bool HeadOnly = false;
  bool Written = true;
  bool KeepAlive = true;
  bool Closed = false;
};

TargetConnection::TargetConnection(const asio::any_io_executor &Executor,
                                   std::shared_ptr<BodyBudget> Budget)
    : Pimpl(std::make_unique<State>(Executor, std::move(Budget))) {}

TargetConnection::~TargetConnection() = default;

auto TargetConnection::connect(const asio::ip::tcp::endpoint &Peer,
                               Duration Timeout, ConnectOptions Options,
                               ConnectHandler Done) -> void {
  Pimpl->Timer.expires_after(Timeout);
  Pimpl->Timer.async_wait(
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
        Self->Pimpl->Timer.cancel();
        if (Self->Pimpl->Closed)
          return;
        if (Failure)
          return Done(false);
        error_code Ignored;
        if (Options.ResetAtProcessEnd)
          Self->Pimpl->Socket.set_option(asio::socket_base::linger(true, 0),
                                         Ignored);
        if (Options.DetectSilence)
          enableDeadPeerDetection(Self->Pimpl->Socket, TargetSilenceTimeout);
        Self->onConnected(bootNow() - StartedAt, Options.AwaitReset,
                          std::move(Done));
      });
}

auto TargetConnection::onConnected(Duration RoundTrip, bool AwaitReset,
                                   ConnectHandler Done) -> void {
  if (!AwaitReset)
    return Done(true);
  Pimpl->Timer.expires_after(std::min(RoundTrip, MaxResetWait));
  Pimpl->Timer.async_wait(
      [Self = shared_from_this(), Done = std::move(Done)](const error_code &) {
        if (!Self->Pimpl->Closed)
          Done(!Self->brokenWhileIdle());
      });
}

auto TargetConnection::exchange(std::string RequestMessage, std::string IdField,
                                std::string Id, bool HeadOnly,
                                ResponseHandler Done) -> void {
  Pimpl->Output = std::move(RequestMessage);
  Pimpl->IdField = std::move(IdField);
  Pimpl->Id = std::move(Id);
  Pimpl->HeadOnly = HeadOnly;
  Pimpl->Done = std::move(Done);
  Pimpl->SkippedResponses = 0;
  Pimpl->InterimResponses = 0;
  Pimpl->Written = false;
  asio::async_write(Pimpl->Socket, asio::buffer(Pimpl->Output),
                    [Self = shared_from_this()](const error_code &Failure,
                                                std::size_t Written) {
                      if (Failure)
                        return Self->onWriteFailed(Written);
                      Self->Pimpl->Written = true;
                    });
  readResponse();
}

auto TargetConnection::onWriteFailed(std::size_t Written) -> void {
  // If a part was sent, the target may have responded to it, so the result of
  // the read decides.
  if (Written == 0 && !Pimpl->Closed && Pimpl->Done)
    finish(ExchangeResult::NotSent);
}

auto TargetConnection::readResponse() -> void {
  Pimpl->ResponseParser.emplace();
  Pimpl->ResponseParser->header_limit(MaxResponseHeadBytes);
  Pimpl->ResponseParser->body_limit(MaxResponseBodyBytes);
  Pimpl->ResponseParser->skip(Pimpl->HeadOnly);
  readMore();
}

auto TargetConnection::readMore() -> void {
  http::async_read_some(
      Pimpl->Socket, Pimpl->Buffer, *Pimpl->ResponseParser,
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        State &Current = *Self->Pimpl;
        if (Current.Closed || !Current.Done)
          return;
        if (Failure)
          return Self->onReadFailed(Failure);
        if (!Current.Budget->resize(
                Current.BodyBytes, Current.ResponseParser->get().body().size()))
          return Self->finish(ExchangeResult::Malformed);
        if (Current.ResponseParser->is_done())
          return Self->onResponse();
        Self->readMore();
      });
}

auto TargetConnection::onReadFailed(const error_code &Failure) -> void {
  static const auto &HttpCategory =
      make_error_code(http::error::bad_method).category();
  const bool Ended = Failure == http::error::end_of_stream ||
                     Failure == http::error::partial_message;
  finish(Failure.category() == HttpCategory && !Ended
             ? ExchangeResult::Malformed
             : ExchangeResult::Lost);
}

auto TargetConnection::onResponse() -> void {
  const auto &Message = Pimpl->ResponseParser->get();
  const unsigned Status = Message.result_int();
  if (Status >= 100 && Status < 200)
    return Status == 101 || ++Pimpl->InterimResponses > MaxInterimResponses
               ? finish(ExchangeResult::Malformed)
               : readResponse();
  if (!Pimpl->IdField.empty() && Message[Pimpl->IdField] != Pimpl->Id) {
    if (++Pimpl->SkippedResponses > MaxSkippedResponses ||
        !Pimpl->ResponseParser->keep_alive())
      return finish(ExchangeResult::Malformed);
    return readResponse();
  }
  finish(ExchangeResult::Answered);
}

auto TargetConnection::finish(ExchangeResult Outcome) -> void {
  TargetResponse Response;
  Pimpl->Budget->resize(Pimpl->BodyBytes, 0);
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
  std::exchange(Pimpl->Done, nullptr)(Outcome, std::move(Response));
}

auto TargetConnection::recordRejection() -> void {
  Pimpl->RejectedIds.push_back(Pimpl->Id);
}

auto TargetConnection::hasRejected(const std::string &Id) const -> bool {
  return std::find(Pimpl->RejectedIds.begin(), Pimpl->RejectedIds.end(), Id) !=
         Pimpl->RejectedIds.end();
}

auto TargetConnection::reusable() const -> bool {
  return !Pimpl->Closed && Pimpl->KeepAlive;
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
  Pimpl->Timer.cancel();
  Pimpl->Budget->resize(Pimpl->BodyBytes, 0);
  error_code Ignored;
  Pimpl->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Pimpl->Socket.close(Ignored);
}

} // namespace buckthornring
