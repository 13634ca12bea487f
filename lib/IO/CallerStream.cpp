#include "IO/CallerStream.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <optional>
#include <sys/socket.h>

namespace buckthornring {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t BodyChunk = std::size_t{16} * 1024;
constexpr std::size_t LingerBytes = std::size_t{8} * 1024 * 1024;
constexpr auto LingerTime = std::chrono::seconds(1);

auto outcomeOf(const error_code &Failure) -> ReadOutcome {
  if (!Failure)
    return ReadOutcome::Ok;
  if (Failure == http::error::header_limit)
    return ReadOutcome::HeadTooLarge;
  if (Failure == http::error::body_limit)
    return ReadOutcome::BodyTooLarge;
  if (Failure == http::error::end_of_stream ||
      Failure == http::error::partial_message)
    return ReadOutcome::Closed;
  static const auto &HttpCategory =
      make_error_code(http::error::bad_method).category();
  return Failure.category() == HttpCategory ? ReadOutcome::Malformed
                                            : ReadOutcome::Closed;
}

using Parser = http::request_parser<http::buffer_body>;

/// Copies the parsed head. Returns false for transfer codings other than
/// plain chunked: they can be neither forwarded nor measured.
auto copyHead(const Parser &From, RequestHead &To) -> bool {
  const auto &Message = From.get();
  To.Method = std::string(Message.method_string());
  To.Target = std::string(Message.target());
  To.Fields = {};
  To.ExpectsContinue = false;
  for (const auto &Field : Message) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    const std::string_view Value(Field.value().data(), Field.value().size());
    if (sameHeaderName(Name, "Expect") && sameHeaderName(Value, "100-continue"))
      To.ExpectsContinue = true;
    if (sameHeaderName(Name, "Transfer-Encoding") &&
        !sameHeaderName(Value, "chunked"))
      return false;
    To.Fields.add(std::string(Name), std::string(Value));
  }
  To.Framing.Length = std::nullopt;
  if (!From.chunked())
    To.Framing.Length = From.content_length() ? *From.content_length() : 0;
  return true;
}

} // namespace

struct CallerStream::State {
  State(asio::ip::tcp::socket Socket, const CallerLimits &Limits)
      : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
        WriteTimer(this->Socket.get_executor()), Limits(Limits) {}

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  asio::steady_timer WriteTimer;
  CallerLimits Limits;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Request;
  RequestHead Head;
  std::array<char, BodyChunk> Body{};
  std::string Out;
  std::uint64_t Watch = 0;
  bool TimedOut = false;
  bool WriteTimedOut = false;
};

CallerStream::CallerStream(asio::ip::tcp::socket Socket,
                           const CallerLimits &Limits)
    : Io(std::make_unique<State>(std::move(Socket), Limits)) {
  error_code Ignored;
  Io->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
}

CallerStream::~CallerStream() = default;

auto CallerStream::head() -> RequestHead & { return Io->Head; }

auto CallerStream::keepAlive() const -> bool {
  return Io->Request && Io->Request->get().keep_alive();
}

auto CallerStream::receiving() const -> bool {
  if (Io->Buffer.size() > 0 ||
      (Io->Request && Io->Request->got_some() && !Io->Request->is_done()))
    return true;
  char Peeked = 0;
  return ::recv(Io->Socket.native_handle(), &Peeked, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

auto CallerStream::writeTimedOut() const -> bool { return Io->WriteTimedOut; }

auto CallerStream::bodyDone() const -> bool {
  return Io->Request && Io->Request->is_done();
}

auto CallerStream::armTimer(Duration Limit) -> void {
  Io->TimedOut = false;
  Io->Timer.expires_after(Limit);
  Io->Timer.async_wait([Weak = weak_from_this()](const error_code &Failure) {
    auto Self = Weak.lock();
    if (Failure || !Self ||
        Self->Io->Timer.expiry() > asio::steady_timer::clock_type::now())
      return;
    Self->Io->TimedOut = true;
    error_code Ignored;
    Self->Io->Socket.cancel(Ignored);
  });
}

auto CallerStream::readHead(ReadHandler Done) -> void {
  Io->Request.emplace();
  // Beast counts the limit over the whole head and fails as soon as more has
  // arrived, so an endless head occupies no more memory than this.
  Io->Request->header_limit(static_cast<std::uint32_t>(Io->Limits.HeadBytes));
  Io->Request->body_limit(Io->Limits.BodyBytes);
  armTimer(Io->Buffer.size() > 0 ? Io->Limits.HeadTimeout
                                 : Io->Limits.IdleTimeout);
  continueHead(std::move(Done));
}

auto CallerStream::continueHead(ReadHandler Done) -> void {
  const bool Started = Io->Request->got_some();
  http::async_read_some(
      Io->Socket, Io->Buffer, *Io->Request,
      [Self = shared_from_this(), Started,
       Done = std::move(Done)](const error_code &Failure, std::size_t) mutable {
        State &Io = *Self->Io;
        if (!Failure && !Io.Request->is_header_done()) {
          if (!Started)
            Self->armTimer(Io.Limits.HeadTimeout);
          Self->continueHead(std::move(Done));
          return;
        }
        Io.Timer.cancel();
        if (Io.TimedOut)
          return Done(Io.Request->got_some() ? ReadOutcome::SlowSender
                                             : ReadOutcome::Idle);
        if (Failure)
          return Done(outcomeOf(Failure));
        Done(copyHead(*Io.Request, Io.Head) ? ReadOutcome::Ok
                                            : ReadOutcome::Malformed);
      });
}

auto CallerStream::readBody(BodyHandler Done) -> void {
  auto &Target = Io->Request->get().body();
  Target.data = Io->Body.data();
  Target.size = Io->Body.size();
  armTimer(Io->Limits.BodyReadTimeout);
  http::async_read_some(
      Io->Socket, Io->Buffer, *Io->Request,
      [Self = shared_from_this(), Done = std::move(Done)](error_code Failure,
                                                          std::size_t) {
        State &Io = *Self->Io;
        Io.Timer.cancel();
        if (Failure == http::error::need_buffer)
          Failure = {};
        if (Io.TimedOut)
          return Done(ReadOutcome::SlowSender, {});
        const std::size_t Left = Io.Request->get().body().size;
        Done(outcomeOf(Failure), {Io.Body.data(), Io.Body.size() - Left});
      });
}

auto CallerStream::write(std::string Head, std::string_view Body,
                         WriteHandler Done) -> void {
  Io->Out = std::move(Head);
  const std::array<asio::const_buffer, 2> Buffers = {
      asio::buffer(Io->Out), asio::buffer(Body.data(), Body.size())};
  Io->WriteTimer.expires_after(Io->Limits.WriteStall);
  Io->WriteTimer.async_wait([Weak =
                                 weak_from_this()](const error_code &Failure) {
    auto Self = Weak.lock();
    if (!Failure && Self &&
        Self->Io->WriteTimer.expiry() <= asio::steady_timer::clock_type::now())
      Self->abort();
  });
  asio::async_write(Io->Socket, Buffers,
                    [Self = shared_from_this(), Done = std::move(Done)](
                        const error_code &Failure, std::size_t) {
                      Self->Io->WriteTimer.cancel();
                      Done(!Failure);
                    });
}

auto CallerStream::watchForClose(std::function<void()> Gone) -> void {
  const std::uint64_t Watch = ++Io->Watch;
  Io->Socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [Self = shared_from_this(), Watch,
                         Gone = std::move(Gone)](const error_code &Failure) {
                          if (Failure || Self->Io->Watch != Watch)
                            return;
                          char Peeked = 0;
                          const auto Count =
                              ::recv(Self->Io->Socket.native_handle(), &Peeked,
                                     1, MSG_PEEK | MSG_DONTWAIT);
                          if (Count == 0 || (Count < 0 && errno != EAGAIN))
                            Gone();
                        });
}

auto CallerStream::stopWatching() -> void { ++Io->Watch; }

auto CallerStream::closeGracefully() -> void {
  error_code Ignored;
  Io->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  if (Ignored)
    return abort();
  armTimer(LingerTime);
  discardUntilClosed(LingerBytes);
}

auto CallerStream::discardUntilClosed(std::size_t Remaining) -> void {
  Io->Socket.async_read_some(
      asio::buffer(Io->Body),
      [Self = shared_from_this(), Remaining](const error_code &Failure,
                                             std::size_t Count) {
        if (!Failure && Count < Remaining)
          return Self->discardUntilClosed(Remaining - Count);
        Self->Io->Timer.cancel();
        error_code Ignored;
        Self->Io->Socket.close(Ignored);
      });
}

auto CallerStream::abort() -> void {
  error_code Ignored;
  Io->Timer.cancel();
  Io->WriteTimer.cancel();
  Io->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Io->Socket.close(Ignored);
}

} // namespace buckthornring
