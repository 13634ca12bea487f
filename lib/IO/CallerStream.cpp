#include "IO/CallerStream.h"

#include "IO/AsyncParse.h"
#include "IO/HttpWire.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <sys/socket.h>

namespace buckthornring {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t BodyChunkBytes = std::size_t{16} * 1024;
constexpr std::size_t LingerBytes = std::size_t{8} * 1024 * 1024;
constexpr auto LingerTimeout = std::chrono::seconds(1);

auto readOutcome(const error_code &Failure) -> ReadOutcome {
  if (!Failure)
    return ReadOutcome::Ok;
  if (Failure == http::error::header_limit)
    return ReadOutcome::HeadTooLarge;
  if (Failure == http::error::body_limit)
    return ReadOutcome::BodyTooLarge;
  return isUnreadable(Failure) ? ReadOutcome::Malformed : ReadOutcome::Closed;
}

using Parser = MessageParser<true, http::buffer_body>;

/// Copies the parsed head. Returns false for transfer codings other than
/// chunked, since such a body can be neither forwarded nor its length
/// determined.
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
        WriteTimer(this->Socket.get_executor()), Limits(Limits),
        Buffer(std::max<std::size_t>(MaxUnparsedBytes,
                                     2 * std::size_t{Limits.HeadBytes})) {}

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  asio::steady_timer WriteTimer;
  CallerLimits Limits;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Request;
  RequestHead Head;
  std::array<char, BodyChunkBytes> Body{};
  std::string Output;
  std::uint64_t WatchNumber = 0;
  bool TimedOut = false;
  bool WriteTimedOut = false;
};

CallerStream::CallerStream(asio::ip::tcp::socket Socket,
                           const CallerLimits &Limits)
    : Impl(std::make_unique<State>(std::move(Socket), Limits)) {
  error_code Ignored;
  Impl->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
}

CallerStream::~CallerStream() = default;

auto CallerStream::head() -> RequestHead & { return Impl->Head; }

auto CallerStream::keepAlive() const -> bool {
  return Impl->Request && Impl->Request->get().keep_alive();
}

auto CallerStream::receiving() const -> bool {
  if (Impl->Buffer.size() > 0 ||
      (Impl->Request && Impl->Request->got_some() && !Impl->Request->is_done()))
    return true;
  char Peeked = 0;
  return ::recv(Impl->Socket.native_handle(), &Peeked, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

auto CallerStream::writeTimedOut() const -> bool { return Impl->WriteTimedOut; }

auto CallerStream::bodyDone() const -> bool {
  return Impl->Request && Impl->Request->is_done();
}

auto CallerStream::armTimer(Duration Limit) -> void {
  Impl->TimedOut = false;
  Impl->Timer.expires_after(Limit);
  Impl->Timer.async_wait([Weak = weak_from_this()](const error_code &Failure) {
    auto Self = Weak.lock();
    if (Failure || !Self ||
        Self->Impl->Timer.expiry() > asio::steady_timer::clock_type::now())
      return;
    Self->Impl->TimedOut = true;
    error_code Ignored;
    Self->Impl->Socket.cancel(Ignored);
  });
}

auto CallerStream::readHead(ReadHandler Done) -> void {
  Impl->Request.emplace();
  // Beast applies the limit to the whole head and fails as soon as more has
  // arrived, which bounds the memory that an endless head occupies.
  Impl->Request->limitFields(
      static_cast<std::uint32_t>(Impl->Limits.HeadBytes));
  Impl->Request->body_limit(Impl->Limits.BodyBytes);
  armTimer(Impl->Buffer.size() > 0 ? Impl->Limits.HeadTimeout
                                   : Impl->Limits.IdleTimeout);
  continueHead(std::move(Done));
}

auto CallerStream::continueHead(ReadHandler Done) -> void {
  const bool Started = Impl->Request->got_some();
  asyncParse(Impl->Socket, Impl->Buffer, *Impl->Request, ParseUntil::NextPart,
             [Self = shared_from_this(), Started,
              Done = std::move(Done)](const error_code &Failure) mutable {
               State &Impl = *Self->Impl;
               if (!Failure && !Impl.Request->is_header_done()) {
                 if (!Started)
                   Self->armTimer(Impl.Limits.HeadTimeout);
                 Self->continueHead(std::move(Done));
                 return;
               }
               Impl.Timer.cancel();
               if (Impl.TimedOut)
                 return Done(Impl.Request->got_some() ? ReadOutcome::SlowSender
                                                      : ReadOutcome::Idle);
               if (Failure)
                 return Done(readOutcome(Failure));
               Done(copyHead(*Impl.Request, Impl.Head)
                        ? ReadOutcome::Ok
                        : ReadOutcome::Malformed);
             });
}

auto CallerStream::readBody(BodyHandler Done) -> void {
  auto &Target = Impl->Request->get().body();
  Target.data = Impl->Body.data();
  Target.size = Impl->Body.size();
  armTimer(Impl->Limits.BodyReadTimeout);
  asyncParse(
      Impl->Socket, Impl->Buffer, *Impl->Request, ParseUntil::NextPart,
      [Self = shared_from_this(), Done = std::move(Done)](error_code Failure) {
        State &Impl = *Self->Impl;
        Impl.Timer.cancel();
        if (Failure == http::error::need_buffer)
          Failure = {};
        if (Impl.TimedOut)
          return Done(ReadOutcome::SlowSender, {});
        const std::size_t Left = Impl.Request->get().body().size;
        Done(readOutcome(Failure), {Impl.Body.data(), Impl.Body.size() - Left});
      });
}

auto CallerStream::write(std::string Head, std::string_view Body,
                         WriteHandler Done) -> void {
  Impl->Output = std::move(Head);
  const std::array<asio::const_buffer, 2> Buffers = {
      asio::buffer(Impl->Output), asio::buffer(Body.data(), Body.size())};
  Impl->WriteTimer.expires_after(Impl->Limits.WriteTimeout);
  Impl->WriteTimer.async_wait(
      [Weak = weak_from_this()](const error_code &Failure) {
        auto Self = Weak.lock();
        if (!Failure && Self &&
            Self->Impl->WriteTimer.expiry() <=
                asio::steady_timer::clock_type::now())
          Self->abort();
      });
  asio::async_write(Impl->Socket, Buffers,
                    [Self = shared_from_this(), Done = std::move(Done)](
                        const error_code &Failure, std::size_t) {
                      Self->Impl->WriteTimer.cancel();
                      Done(!Failure);
                    });
}

auto CallerStream::watchForClose(std::function<void()> OnClosed) -> void {
  const std::uint64_t WatchNumber = ++Impl->WatchNumber;
  Impl->Socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this(), WatchNumber,
       OnClosed = std::move(OnClosed)](const error_code &Failure) {
        if (Failure || Self->Impl->WatchNumber != WatchNumber)
          return;
        char Peeked = 0;
        const auto Count = ::recv(Self->Impl->Socket.native_handle(), &Peeked,
                                  1, MSG_PEEK | MSG_DONTWAIT);
        if (Count == 0 || (Count < 0 && errno != EAGAIN))
          OnClosed();
      });
}

auto CallerStream::stopWatching() -> void { ++Impl->WatchNumber; }

auto CallerStream::closeGracefully() -> void {
  error_code Ignored;
  Impl->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  if (Ignored)
    return abort();
  armTimer(LingerTimeout);
  discardUntilClosed(LingerBytes);
}

auto CallerStream::discardUntilClosed(std::size_t Remaining) -> void {
  Impl->Socket.async_read_some(
      asio::buffer(Impl->Body),
      [Self = shared_from_this(), Remaining](const error_code &Failure,
                                             std::size_t Count) {
        if (!Failure && Count < Remaining)
          return Self->discardUntilClosed(Remaining - Count);
        Self->Impl->Timer.cancel();
        error_code Ignored;
        Self->Impl->Socket.close(Ignored);
      });
}

auto CallerStream::abort() -> void {
  error_code Ignored;
  Impl->Timer.cancel();
  Impl->WriteTimer.cancel();
  Impl->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Impl->Socket.close(Ignored);
}

} // namespace buckthornring
