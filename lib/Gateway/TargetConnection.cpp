#include "Gateway/TargetConnection.h"

#include "IO/SocketOptions.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <charconv>
#include <optional>

namespace buckthornring {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Largest answer body that is held in memory.
constexpr std::uint64_t AnswerLimit = 64ULL * 1024 * 1024;
constexpr std::uint32_t AnswerHeadLimit = 64 * 1024;

/// Answers to other requests that are skipped before the connection counts as
/// out of step.
constexpr int MaxSkipped = 4;

/// Sent data without acknowledgement for this long means a dead connection;
/// round trips to targets take a few milliseconds.
constexpr Duration TargetSilence = std::chrono::milliseconds(1000);

using Parser = http::response_parser<http::string_body>;

/// Reads "timeout=N" of a Keep-Alive field.
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
  explicit State(const asio::any_io_executor &Executor)
      : Socket(Executor), Timer(Executor) {}

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Response;
  std::string Out;
  std::string IdField;
  std::string Id;
  AnswerHandler Done;
  Duration IdleLimit{0};
  int Skipped = 0;
  bool Connecting = false;
  bool HeadOnly = false;
  bool Written = true;
  bool KeepAlive = true;
  bool Closed = false;
};

TargetConnection::TargetConnection(const asio::any_io_executor &Executor)
    : Io(std::make_unique<State>(Executor)) {}

TargetConnection::~TargetConnection() = default;

auto TargetConnection::connect(const asio::ip::tcp::endpoint &Peer,
                               Duration Limit, ConnectHandler Done) -> void {
  Io->Timer.expires_after(Limit);
  Io->Timer.async_wait([Weak = weak_from_this()](const error_code &Cancelled) {
    const auto Self = Weak.lock();
    error_code Ignored;
    if (!Cancelled && Self && Self->Io->Connecting)
      Self->Io->Socket.cancel(Ignored);
  });
  Io->Connecting = true;
  Io->Socket.async_connect(
      Peer, [Self = shared_from_this(),
             Done = std::move(Done)](const error_code &Failure) {
        Self->Io->Connecting = false;
        Self->Io->Timer.cancel();
        if (Self->Io->Closed)
          return;
        if (!Failure)
          enableDeadPeerDetection(Self->Io->Socket, TargetSilence);
        Done(!Failure);
      });
}

auto TargetConnection::exchange(std::string Wire, std::string IdField,
                                std::string Id, bool HeadOnly,
                                AnswerHandler Done) -> void {
  Io->Out = std::move(Wire);
  Io->IdField = std::move(IdField);
  Io->Id = std::move(Id);
  Io->HeadOnly = HeadOnly;
  Io->Done = std::move(Done);
  Io->Skipped = 0;
  Io->Written = false;
  asio::async_write(
      Io->Socket, asio::buffer(Io->Out),
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        // After a failed write the target may still have answered, so the
        // read decides.
        if (!Failure)
          Self->Io->Written = true;
      });
  readAnswer();
}

auto TargetConnection::readAnswer() -> void {
  Io->Response.emplace();
  Io->Response->header_limit(AnswerHeadLimit);
  Io->Response->body_limit(AnswerLimit);
  Io->Response->skip(Io->HeadOnly);
  http::async_read(
      Io->Socket, Io->Buffer, *Io->Response,
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        if (Self->Io->Closed || !Self->Io->Done)
          return;
        if (!Failure)
          return Self->gotAnswer();
        static const auto &HttpCategory =
            make_error_code(http::error::bad_method).category();
        const bool Ended = Failure == http::error::end_of_stream ||
                           Failure == http::error::partial_message;
        Self->finish(Failure.category() == HttpCategory && !Ended
                         ? ExchangeResult::Malformed
                         : ExchangeResult::Lost);
      });
}

auto TargetConnection::gotAnswer() -> void {
  const auto &Message = Io->Response->get();
  const unsigned Status = Message.result_int();
  if (Status >= 100 && Status < 200)
    return Status == 101 ? finish(ExchangeResult::Malformed) : readAnswer();
  if (!Io->IdField.empty() && Message[Io->IdField] != Io->Id) {
    if (++Io->Skipped > MaxSkipped || !Io->Response->keep_alive())
      return finish(ExchangeResult::Malformed);
    return readAnswer();
  }
  finish(ExchangeResult::Answered);
}

auto TargetConnection::finish(ExchangeResult End) -> void {
  TargetResponse Answer;
  Io->KeepAlive = false;
  if (End == ExchangeResult::Answered) {
    auto &Message = Io->Response->get();
    Answer.Status = Message.result_int();
    for (const auto &Field : Message)
      Answer.Fields.add(std::string(Field.name_string()),
                        std::string(Field.value()));
    Answer.Body = std::move(Message.body());
    Io->KeepAlive = Io->Response->keep_alive() && Io->Written &&
                    Io->Buffer.size() == 0 && Io->Skipped == 0;
    if (const auto Told = Answer.Fields.find("Keep-Alive"))
      Io->IdleLimit = std::chrono::seconds(keepAliveSeconds(*Told));
  }
  std::exchange(Io->Done, nullptr)(End, std::move(Answer));
}

auto TargetConnection::reusable() const -> bool {
  return !Io->Closed && Io->KeepAlive;
}

auto TargetConnection::brokenWhileIdle() const -> bool {
  return buckthornring::brokenWhileIdle(Io->Socket);
}

auto TargetConnection::idleLimit() const -> Duration { return Io->IdleLimit; }

auto TargetConnection::close() -> void {
  if (std::exchange(Io->Closed, true))
    return;
  Io->Done = nullptr;
  Io->Timer.cancel();
  error_code Ignored;
  Io->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Io->Socket.close(Ignored);
}

} // namespace buckthornring
