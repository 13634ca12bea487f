#pragma once

#include "buckthornring/Common/Result.h"

#include <boost/asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace buckthornring {

/// Largest message that a link accepts, in bytes. Equals the platform's limit
/// on a value, so every object fits into one message.
inline constexpr std::size_t MaxLinkMessageBytes = 1'000'000;

/// One HTTP/2 connection between two instances, as client or as server.
///
/// A message is the request body of one stream; its reply is the response body
/// on the same stream. All methods and callbacks run on the socket's executor.
class LinkSession : public std::enable_shared_from_this<LinkSession> {
public:
  enum class Role { Client, Server };

  using StreamId = std::int32_t;

  struct Callbacks {
    /// A complete message arrived: a request at the server, a reply at the
    /// client.
    std::function<void(StreamId, std::string)> OnMessage;
    /// A stream ended before its message was complete.
    std::function<void(StreamId)> OnStreamFailed;
    /// The peer acknowledged a ping.
    std::function<void()> OnPingAcknowledged;
    /// The connection ended; called once, also after close().
    std::function<void()> OnClosed;
  };

  /// Takes over a connected socket. Fails when nghttp2 cannot allocate a
  /// session.
  static auto create(boost::asio::ip::tcp::socket Socket, Role SessionRole,
                     Callbacks Handlers)
      -> Result<std::shared_ptr<LinkSession>>;

  ~LinkSession();
  LinkSession(const LinkSession &) = delete;
  auto operator=(const LinkSession &) -> LinkSession & = delete;

  /// Sends the connection preface and starts reading.
  auto start() -> void;

  /// Opens a stream with the message. Fails when the connection is closed or
  /// the peer's stream limit is reached.
  auto submitRequest(std::string Message) -> Result<StreamId>;

  /// Sends the reply to a request. Does nothing if the stream has ended.
  auto submitResponse(StreamId Stream, std::string Message) -> void;

  /// Resets a stream whose reply is no longer needed.
  auto cancel(StreamId Stream) -> void;

  auto sendPing() -> void;
  auto close() -> void;
  auto closed() const -> bool { return Closed; }

private:
  struct Stream {
    std::string Incoming;
    std::string Outgoing;
    std::size_t SentBytes = 0;
    bool Complete = false;
  };

  LinkSession(boost::asio::ip::tcp::socket Socket, Role SessionRole,
              Callbacks Handlers);

  auto initialise() -> int;
  auto readMore() -> void;
  auto flush() -> void;
  auto completeMessage(StreamId Id) -> void;
  auto dataProvider() -> nghttp2_data_provider;

  static auto onFrame(nghttp2_session *, const nghttp2_frame *Frame, void *Self)
      -> int;
  /// Resets the stream of a response that is no reply.
  static auto onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                       const std::uint8_t *Name, std::size_t NameLength,
                       const std::uint8_t *Value, std::size_t ValueLength,
                       std::uint8_t Flags, void *Self) -> int;
  static auto onData(nghttp2_session *, std::uint8_t Flags, StreamId Id,
                     const std::uint8_t *Data, std::size_t Length, void *Self)
      -> int;
  static auto onStreamClose(nghttp2_session *, StreamId Id, std::uint32_t Code,
                            void *Self) -> int;
  static auto readOutgoing(nghttp2_session *, StreamId Id, std::uint8_t *Buffer,
                           std::size_t Length, std::uint32_t *Flags,
                           nghttp2_data_source *Source, void *Self) -> ssize_t;

  boost::asio::ip::tcp::socket Socket;
  Role SessionRole;
  Callbacks Handlers;
  nghttp2_session *Session = nullptr;
  std::map<StreamId, Stream> Streams;
  std::array<std::uint8_t, 16384> ReadBuffer{};
  std::string WriteBuffer;
  bool Writing = false;
  bool Receiving = false;
  bool Closed = false;
};

} // namespace buckthornring
