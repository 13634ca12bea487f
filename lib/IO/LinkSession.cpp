#include "IO/LinkSession.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstring>
#include <string_view>
#include <utility>

namespace buckthornring {

namespace {

constexpr std::uint32_t MaxConcurrentStreams = 1024;

/// The status of every reply.
constexpr std::string_view ReplyStatus = "200";

// The default window of 64 KiB would stall a slice map of 100 KB for one round
// trip, so the window covers the largest message.
constexpr std::int32_t WindowBytes = 1 << 20;

auto header(std::string_view Name, std::string_view Value) -> nghttp2_nv {
  // nghttp2 takes mutable pointers but copies the text without changing it.
  return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data())),
          reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data())),
          Name.size(), Value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

auto LinkSession::create(boost::asio::ip::tcp::socket Socket, Role SessionRole,
                         Callbacks Handlers)
    -> Result<std::shared_ptr<LinkSession>> {
  std::shared_ptr<LinkSession> Created(
      new LinkSession(std::move(Socket), SessionRole, std::move(Handlers)));
  if (const int Code = Created->initialise(); Code != 0)
    return Error(std::string("cannot create a link session: ") +
                 nghttp2_strerror(Code));
  return Created;
}

LinkSession::LinkSession(boost::asio::ip::tcp::socket Socket, Role SessionRole,
                         Callbacks Handlers)
    : Socket(std::move(Socket)), SessionRole(SessionRole),
      Handlers(std::move(Handlers)) {}

LinkSession::~LinkSession() { nghttp2_session_del(Session); }

auto LinkSession::initialise() -> int {
  nghttp2_session_callbacks *Table = nullptr;
  if (const int Code = nghttp2_session_callbacks_new(&Table); Code != 0)
    return Code;
  nghttp2_session_callbacks_set_on_frame_recv_callback(Table, onFrame);
  nghttp2_session_callbacks_set_on_header_callback(Table, onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Table, onData);
  nghttp2_session_callbacks_set_on_stream_close_callback(Table, onStreamClose);
  const int Code = SessionRole == Role::Client
                       ? nghttp2_session_client_new(&Session, Table, this)
                       : nghttp2_session_server_new(&Session, Table, this);
  nghttp2_session_callbacks_del(Table);
  return Code;
}

auto LinkSession::start() -> void {
  // Control messages are small and latency-sensitive; without this option the
  // kernel may delay them by up to 40 ms.
  boost::system::error_code Ignored;
  Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);

  const std::array<nghttp2_settings_entry, 2> Settings = {
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes}}};
  nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, Settings.data(),
                          Settings.size());
  nghttp2_session_set_local_window_size(Session, NGHTTP2_FLAG_NONE, 0,
                                        WindowBytes);
  flush();
  readMore();
}

auto LinkSession::submitRequest(std::string Message) -> Result<StreamId> {
  if (Closed)
    return Error("link is closed");
  const std::array<nghttp2_nv, 4> Headers = {
      header(":method", "POST"), header(":scheme", "http"),
      header(":authority", "instance"), header(":path", "/message")};
  nghttp2_data_provider Provider = dataProvider();
  const StreamId Id = nghttp2_submit_request(
      Session, nullptr, Headers.data(), Headers.size(), &Provider, nullptr);
  if (Id < 0)
    return Error(std::string("cannot open a stream: ") + nghttp2_strerror(Id));
  Streams[Id].Outgoing = std::move(Message);
  flush();
  return Id;
}

auto LinkSession::submitResponse(StreamId Id, std::string Message) -> void {
  const auto Found = Streams.find(Id);
  if (Closed || Found == Streams.end())
    return;
  Found->second.Outgoing = std::move(Message);
  const std::array<nghttp2_nv, 1> Headers = {header(":status", ReplyStatus)};
  nghttp2_data_provider Provider = dataProvider();
  nghttp2_submit_response(Session, Id, Headers.data(), Headers.size(),
                          &Provider);
  flush();
}

auto LinkSession::cancel(StreamId Id) -> void {
  if (Closed || Streams.find(Id) == Streams.end())
    return;
  nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, Id, NGHTTP2_CANCEL);
  flush();
}

auto LinkSession::sendPing() -> void {
  if (Closed)
    return;
  nghttp2_submit_ping(Session, NGHTTP2_FLAG_NONE, nullptr);
  flush();
}

auto LinkSession::close() -> void {
  if (Closed)
    return;
  Closed = true;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  // The callback may destroy the owner of this session, so it runs later and
  // keeps the session alive until then.
  boost::asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    if (Self->Handlers.OnClosed)
      Self->Handlers.OnClosed();
    Self->Handlers = {};
  });
}

auto LinkSession::readMore() -> void {
  Socket.async_read_some(
      boost::asio::buffer(ReadBuffer),
      [Self = shared_from_this()](boost::system::error_code Failure,
                                  std::size_t Length) {
        if (Self->Closed)
          return;
        if (Failure)
          return Self->close();
        Self->Receiving = true;
        const ssize_t Used = nghttp2_session_mem_recv(
            Self->Session, Self->ReadBuffer.data(), Length);
        Self->Receiving = false;
        if (Used < 0)
          return Self->close();
        Self->flush();
        if (!Self->Closed)
          Self->readMore();
      });
}

auto LinkSession::flush() -> void {
  // nghttp2 does not allow sending from inside its receive callbacks; the read
  // handler flushes afterwards.
  if (Writing || Receiving || Closed)
    return;
  WriteBuffer.clear();
  const std::uint8_t *Chunk = nullptr;
  ssize_t Length = 0;
  while ((Length = nghttp2_session_mem_send(Session, &Chunk)) > 0)
    WriteBuffer.append(reinterpret_cast<const char *>(Chunk),
                       static_cast<std::size_t>(Length));
  if (Length < 0)
    return close();
  if (WriteBuffer.empty()) {
    if (nghttp2_session_want_read(Session) == 0 &&
        nghttp2_session_want_write(Session) == 0)
      close();
    return;
  }
  Writing = true;
  boost::asio::async_write(Socket, boost::asio::buffer(WriteBuffer),
                           [Self = shared_from_this()](
                               boost::system::error_code Failure, std::size_t) {
                             Self->Writing = false;
                             if (Failure)
                               return Self->close();
                             Self->flush();
                           });
}

auto LinkSession::completeMessage(StreamId Id) -> void {
  const auto Found = Streams.find(Id);
  if (Found == Streams.end() || Found->second.Complete)
    return;
  Found->second.Complete = true;
  if (Handlers.OnMessage)
    Handlers.OnMessage(Id, std::move(Found->second.Incoming));
}

auto LinkSession::dataProvider() -> nghttp2_data_provider {
  nghttp2_data_provider Provider{};
  Provider.read_callback = readOutgoing;
  return Provider;
}

auto LinkSession::onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                          void *Self) -> int {
  auto &Link = *static_cast<LinkSession *>(Self);
  const auto &Header = Frame->hd;
  if (Header.type == NGHTTP2_PING && (Header.flags & NGHTTP2_FLAG_ACK) != 0) {
    if (Link.Handlers.OnPingAcknowledged)
      Link.Handlers.OnPingAcknowledged();
    return 0;
  }
  if (Header.type == NGHTTP2_HEADERS && Link.SessionRole == Role::Server)
    Link.Streams.try_emplace(Header.stream_id);
  const bool CarriesMessage =
      Header.type == NGHTTP2_HEADERS || Header.type == NGHTTP2_DATA;
  if (CarriesMessage && (Header.flags & NGHTTP2_FLAG_END_STREAM) != 0)
    Link.completeMessage(Header.stream_id);
  return 0;
}

auto LinkSession::onHeader(nghttp2_session *, const nghttp2_frame *,
                           const std::uint8_t *Name, std::size_t NameLength,
                           const std::uint8_t *Value, std::size_t ValueLength,
                           std::uint8_t, void *) -> int {
  const auto Text = [](const std::uint8_t *Bytes, std::size_t Length) {
    return std::string_view(reinterpret_cast<const char *>(Bytes), Length);
  };
  // Requests have no status.
  return Text(Name, NameLength) == ":status" &&
                 Text(Value, ValueLength) != ReplyStatus
             ? NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE
             : 0;
}

auto LinkSession::onData(nghttp2_session *Session, std::uint8_t, StreamId Id,
                         const std::uint8_t *Data, std::size_t Length,
                         void *Self) -> int {
  auto &Link = *static_cast<LinkSession *>(Self);
  const auto Found = Link.Streams.find(Id);
  if (Found == Link.Streams.end())
    return 0;
  std::string &Incoming = Found->second.Incoming;
  if (Incoming.size() + Length > MaxLinkMessageBytes) {
    nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, Id,
                              NGHTTP2_REFUSED_STREAM);
    return 0;
  }
  Incoming.append(reinterpret_cast<const char *>(Data), Length);
  return 0;
}

auto LinkSession::onStreamClose(nghttp2_session *, StreamId Id, std::uint32_t,
                                void *Self) -> int {
  auto &Link = *static_cast<LinkSession *>(Self);
  const auto Found = Link.Streams.find(Id);
  if (Found == Link.Streams.end())
    return 0;
  const bool Failed = !Found->second.Complete;
  Link.Streams.erase(Found);
  if (Failed && Link.Handlers.OnStreamFailed)
    Link.Handlers.OnStreamFailed(Id);
  return 0;
}

auto LinkSession::readOutgoing(nghttp2_session *, StreamId Id,
                               std::uint8_t *Buffer, std::size_t Length,
                               std::uint32_t *Flags, nghttp2_data_source *,
                               void *Self) -> ssize_t {
  auto &Link = *static_cast<LinkSession *>(Self);
  const auto Found = Link.Streams.find(Id);
  if (Found == Link.Streams.end())
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  Stream &Current = Found->second;
  const std::size_t RemainingBytes =
      Current.Outgoing.size() - Current.SentBytes;
  const std::size_t ChunkBytes = std::min(RemainingBytes, Length);
  std::memcpy(Buffer, Current.Outgoing.data() + Current.SentBytes, ChunkBytes);
  Current.SentBytes += ChunkBytes;
  if (ChunkBytes == RemainingBytes)
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(ChunkBytes);
}

} // namespace buckthornring
