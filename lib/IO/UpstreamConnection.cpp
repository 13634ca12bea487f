#include "IO/UpstreamConnection.h"

#include "IO/AsyncParse.h"
#include "IO/HttpWire.h"
#include "IO/ResponseBuffer.h"
#include "IO/SocketOptions.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>

#include <array>
#include <optional>

namespace buckthornring {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t BodyChunkBytes = std::size_t{16} * 1024;
constexpr std::uint32_t ResponseHeadLimit = 64 * 1024;

using Parser = MessageParser<false, http::buffer_body>;

/// Why a message cannot be read, empty if its connection has ended.
auto faultOf(const error_code &Failure) -> std::string {
  return isUnreadable(Failure) ? Failure.message() : std::string();
}

/// Copies the parsed head. Returns false for a body that is delimited by the
/// closing of the connection: a target that fails in the middle of it cannot be
/// distinguished from one that has finished.
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
  ResponseBuffer Buffer{MaxUnparsedBytes};
  std::optional<Parser> Response;
  ResponseHead Head;
  std::array<char, BodyChunkBytes> Body{};
  std::string Output;
  std::string Fault;
  int InterimResponses = 0;
  bool HeadOnly = false;
  bool Used = false;
};

UpstreamConnection::UpstreamConnection(const asio::any_io_executor &Executor)
    : Impl(std::make_unique<State>(Executor)) {}

UpstreamConnection::~UpstreamConnection() = default;

auto UpstreamConnection::connect(const asio::ip::tcp::endpoint &Peer,
                                 Duration Limit, Handler Done) -> void {
  Impl->Timer.expires_after(Limit);
  Impl->Timer.async_wait([Weak = weak_from_this()](const error_code &Failure) {
    auto Self = Weak.lock();
    error_code Ignored;
    if (!Failure && Self)
      Self->Impl->Socket.cancel(Ignored);
  });
  Impl->Socket.async_connect(
      Peer, [Self = shared_from_this(),
             Done = std::move(Done)](const error_code &Failure) {
        Self->Impl->Timer.cancel();
        if (!Self->open())
          return;
        error_code Ignored;
        Self->Impl->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
        Done(!Failure);
      });
}

auto UpstreamConnection::beginExchange(bool HeadOnly) -> void {
  Impl->HeadOnly = HeadOnly;
  Impl->Used = true;
  Impl->Response.reset();
  Impl->Fault.clear();
  Impl->InterimResponses = 0;
}

auto UpstreamConnection::write(std::string Head, std::string_view Body,
                               Handler Done) -> void {
  Impl->Output = std::move(Head);
  const std::array<asio::const_buffer, 2> Buffers = {
      asio::buffer(Impl->Output), asio::buffer(Body.data(), Body.size())};
  asio::async_write(Impl->Socket, Buffers,
                    [Self = shared_from_this(), Done = std::move(Done)](
                        const error_code &Failure, std::size_t) {
                      if (Self->open())
                        Done(!Failure);
                    });
}

auto UpstreamConnection::readHead(Handler Done) -> void {
  Impl->Response.emplace();
  Impl->Buffer.takeFoldedLine(); // Of the body of an earlier response.
  Impl->Response->limitFields(ResponseHeadLimit);
  Impl->Response->body_limit(boost::none);
  Impl->Response->skip(Impl->HeadOnly);
  asyncParse(Impl->Socket, Impl->Buffer, *Impl->Response, ParseUntil::HeadDone,
             [Self = shared_from_this(),
              Done = std::move(Done)](const error_code &Failure) mutable {
               if (!Self->open())
                 return;
               State &Impl = *Self->Impl;
               const unsigned Status = Impl.Response->get().result_int();
               const bool Folded = Impl.Buffer.takeFoldedLine();
               // 101 is final; it cannot follow, since Upgrade is never
               // forwarded.
               if (!Failure && !Folded && isInterimStatus(Status) &&
                   Status != 101 &&
                   ++Impl.InterimResponses <= MaxInterimResponses)
                 return Self->readHead(std::move(Done));
               if (Failure)
                 Impl.Fault = faultOf(Failure);
               else if (Folded)
                 Impl.Fault = "folded line";
               else if (!isFinalStatus(Status))
                 Impl.Fault = "invalid status " + std::to_string(Status);
               else if (!copyHead(*Impl.Response, Impl.HeadOnly, Impl.Head))
                 Impl.Fault = "neither a length nor chunked encoding";
               Done(!Failure && Impl.Fault.empty());
             });
}

auto UpstreamConnection::response() -> ResponseHead & { return Impl->Head; }

auto UpstreamConnection::bodyBuffered() const -> bool {
  return Impl->Buffer.size() > 0;
}

auto UpstreamConnection::responseDone() const -> bool {
  return Impl->Response && Impl->Response->is_done();
}

auto UpstreamConnection::readBody(BodyHandler Done) -> void {
  auto &Target = Impl->Response->get().body();
  Target.data = Impl->Body.data();
  Target.size = Impl->Body.size();
  asyncParse(
      Impl->Socket, Impl->Buffer, *Impl->Response, ParseUntil::NextPart,
      [Self = shared_from_this(), Done = std::move(Done)](error_code Failure) {
        if (!Self->open())
          return;
        State &Impl = *Self->Impl;
        if (Failure == http::error::need_buffer)
          Failure = {};
        Impl.Fault = faultOf(Failure);
        const std::size_t Left = Impl.Response->get().body().size;
        Done(!Failure, {Impl.Body.data(), Impl.Body.size() - Left},
             Impl.Response->is_done());
      });
}

auto UpstreamConnection::fault() const -> const std::string & {
  return Impl->Fault;
}

auto UpstreamConnection::keepAlive() const -> bool {
  if (!Impl->Used)
    return true;
  return responseDone() && Impl->Response->keep_alive() &&
         Impl->Buffer.size() == 0;
}

auto UpstreamConnection::brokenWhileIdle() const -> bool {
  return buckthornring::brokenWhileIdle(Impl->Socket);
}

auto UpstreamConnection::close() -> void {
  error_code Ignored;
  Impl->Timer.cancel();
  Impl->Socket.close(Ignored);
}

auto UpstreamConnection::open() const -> bool { return Impl->Socket.is_open(); }

} // namespace buckthornring
