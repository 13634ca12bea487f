#include "IO/SocketOptions.h"

#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace buckthornring {

namespace {

constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

auto setOption(int Descriptor, int Level, int Name, int Value) -> void {
  // Without the option the connection still works, but a failure is detected
  // later.
  static_cast<void>(
      ::setsockopt(Descriptor, Level, Name, &Value, sizeof(Value)));
}

/// What the next read from a connection would find.
enum class PendingInput { None, Bytes, End };

auto peek(boost::asio::ip::tcp::socket &Socket) -> PendingInput {
  char Peeked = 0;
  const auto Count =
      ::recv(Socket.native_handle(), &Peeked, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0)
    return PendingInput::Bytes;
  const bool Empty = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return Empty ? PendingInput::None : PendingInput::End;
}

} // namespace

auto enableDeadPeerDetection(boost::asio::ip::tcp::socket &Socket,
                             Duration Unacknowledged) -> void {
  const int Descriptor = Socket.native_handle();
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Unacknowledged.count() / 1000));
}

auto brokenWhileIdle(boost::asio::ip::tcp::socket &Socket) -> bool {
  return peek(Socket) != PendingInput::None;
}

auto hasUnreadInput(boost::asio::ip::tcp::socket &Socket) -> bool {
  return peek(Socket) == PendingInput::Bytes;
}

auto unacknowledgedBytes(boost::asio::ip::tcp::socket &Socket) -> std::size_t {
  int Unacknowledged = 0;
  const bool Known =
      ::ioctl(Socket.native_handle(), SIOCOUTQ, &Unacknowledged) == 0;
  return Known && Unacknowledged > 0 ? static_cast<std::size_t>(Unacknowledged)
                                     : 0;
}

auto hasUnsentOutput(boost::asio::ip::tcp::socket &Socket) -> bool {
  return unacknowledgedBytes(Socket) > 0;
}

auto endedByPeer(boost::asio::ip::tcp::socket &Socket) -> bool {
  return peek(Socket) == PendingInput::End;
}

} // namespace buckthornring
