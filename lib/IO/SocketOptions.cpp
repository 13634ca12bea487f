#include "IO/SocketOptions.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace buckthornring {

namespace {

constexpr int IdleSeconds = 1;
constexpr int ProbeSeconds = 1;
constexpr int Probes = 2;

auto setOption(int Descriptor, int Level, int Name, int Value) -> void {
  // A refused option leaves the connection usable, only slower to fail.
  static_cast<void>(
      ::setsockopt(Descriptor, Level, Name, &Value, sizeof(Value)));
}

/// What the next read from a connection would find.
enum class Input { None, Bytes, End };

auto peek(boost::asio::ip::tcp::socket &Socket) -> Input {
  char Peeked = 0;
  const auto Count =
      ::recv(Socket.native_handle(), &Peeked, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0)
    return Input::Bytes;
  const bool Empty = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return Empty ? Input::None : Input::End;
}

} // namespace

auto enableDeadPeerDetection(boost::asio::ip::tcp::socket &Socket,
                             Duration Unacknowledged) -> void {
  const int Descriptor = Socket.native_handle();
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, IdleSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, ProbeSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, Probes);
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Unacknowledged.count() / 1000));
}

auto brokenWhileIdle(boost::asio::ip::tcp::socket &Socket) -> bool {
  return peek(Socket) != Input::None;
}

auto endedByPeer(boost::asio::ip::tcp::socket &Socket) -> bool {
  return peek(Socket) == Input::End;
}

} // namespace buckthornring
