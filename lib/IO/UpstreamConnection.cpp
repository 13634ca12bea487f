#include "IO/UpstreamConnection.h"

#include "IO/SocketOptions.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <optional>

namespace buckthornring {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t BodyChunk = std::size_t{16} * 1024;
constexpr std::uint32_t AnswerHeadLimit = 64 * 1024;

using Parser = http::response_parser<http::buffer_body>;

/// Copies the parsed head. Returns false for a body that ends with the
/// connection: a target that stops in the middle of it cannot be told from one
/// that has finished.
auto copyHead(const Parser &From, bool HeadOnly, ResponseHead &To) -> bool {
  const auto &Message = From.get();
  To.Status = Message.result_int();
  To.Reason = std::string(Message.reason());
  To.Fields = {};
  for (const auto &Field : Message)
    To.Fields.add(std::string(Field.name_string()), std::string(Field.value()));
  To.Bodiless = HeadOnly || To.Status == 204 || To.Status == 304;
  To.Framing.Length = std::nullopt;
  if (To.Bodiless || From.chunked())
    return true;
  if (!From.content_length())
    return false;
  To.Framing.Length = *From.content_length();
  return true;
}

} // namespace

struct UpstreamConnection::State {
  explicit State(const asio::any_io_executor &Executor)
      : Socket(Executor), Timer(Executor) {}

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Answer;
  ResponseHead Head;
  std::array<char, BodyChunk> Body{};
  std::string Out;
  bool HeadOnly = false;
  bool Used = false;
};

UpstreamConnection::UpstreamConnection(const asio::any_io_executor &Executor)
    : Io(std::make_unique<State>(Executor)) {}

UpstreamConnection::~UpstreamConnection() = default;

auto UpstreamConnection::connect(const asio::ip::tcp::endpoint &Peer,
                                 Duration Limit, Handler Done) -> void {
  Io->Timer.expires_after(Limit);
  Io->Timer.async_wait([Weak = weak_from_this()](const error_code &Failure) {
    auto Self = Weak.lock();
    error_code Ignored;
    if (!Failure && Self)
      Self->Io->Socket.cancel(Ignored);
  });
  Io->Socket.async_connect(
      Peer, [Self = shared_from_this(),
             Done = std::move(Done)](const error_code &Failure) {
        Self->Io->Timer.cancel();
        if (!Self->open())
          return;
        error_code Ignored;
        Self->Io->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
        Done(!Failure);
      });
}

auto UpstreamConnection::beginExchange(bool HeadOnly) -> void {
  Io->HeadOnly = HeadOnly;
  Io->Used = true;
  Io->Answer.reset();
}

auto UpstreamConnection::write(std::string Head, std::string_view Body,
                               Handler Done) -> void {
  Io->Out = std::move(Head);
  const std::array<asio::const_buffer, 2> Buffers = {
      asio::buffer(Io->Out), asio::buffer(Body.data(), Body.size())};
  asio::async_write(Io->Socket, Buffers,
                    [Self = shared_from_this(), Done = std::move(Done)](
                        const error_code &Failure, std::size_t) {
                      if (Self->open())
                        Done(!Failure);
                    });
}

auto UpstreamConnection::readHead(Handler Done) -> void {
  Io->Answer.emplace();
  Io->Answer->header_limit(AnswerHeadLimit);
  Io->Answer->body_limit(boost::none);
  Io->Answer->skip(Io->HeadOnly);
  http::async_read_header(
      Io->Socket, Io->Buffer, *Io->Answer,
      [Self = shared_from_this(),
       Done = std::move(Done)](const error_code &Failure, std::size_t) mutable {
        if (!Self->open())
          return;
        State &Io = *Self->Io;
        const unsigned Status = Io.Answer->get().result_int();
        // 101 is final; it cannot follow, since Upgrade is never forwarded.
        if (!Failure && Status >= 100 && Status < 200 && Status != 101)
          return Self->readHead(std::move(Done));
        Done(!Failure && Status != 101 &&
             copyHead(*Io.Answer, Io.HeadOnly, Io.Head));
      });
}

auto UpstreamConnection::response() -> ResponseHead & { return Io->Head; }

auto UpstreamConnection::bodyBuffered() const -> bool {
  return Io->Buffer.size() > 0;
}

auto UpstreamConnection::responseDone() const -> bool {
  return Io->Answer && Io->Answer->is_done();
}

auto UpstreamConnection::readBody(BodyHandler Done) -> void {
  auto &Target = Io->Answer->get().body();
  Target.data = Io->Body.data();
  Target.size = Io->Body.size();
  http::async_read_some(Io->Socket, Io->Buffer, *Io->Answer,
                        [Self = shared_from_this(), Done = std::move(Done)](
                            error_code Failure, std::size_t) {
                          if (!Self->open())
                            return;
                          State &Io = *Self->Io;
                          if (Failure == http::error::need_buffer)
                            Failure = {};
                          const std::size_t Left = Io.Answer->get().body().size;
                          Done(!Failure,
                               {Io.Body.data(), Io.Body.size() - Left},
                               Io.Answer->is_done());
                        });
}

auto UpstreamConnection::keepAlive() const -> bool {
  if (!Io->Used)
    return true;
  return responseDone() && Io->Answer->keep_alive() && Io->Buffer.size() == 0;
}

auto UpstreamConnection::brokenWhileIdle() const -> bool {
  return buckthornring::brokenWhileIdle(Io->Socket);
}

auto UpstreamConnection::close() -> void {
  error_code Ignored;
  Io->Timer.cancel();
  Io->Socket.close(Ignored);
}

auto UpstreamConnection::open() const -> bool { return Io->Socket.is_open(); }

} // namespace buckthornring
