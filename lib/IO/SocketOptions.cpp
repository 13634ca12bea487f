#include "IO/SocketOptions.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace buckthornring {

namespace {

constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;

/// Unanswered probes of a closed window that show that the peer's host is gone.
/// The last one may have been sent just now.
constexpr int MinUnansweredProbes = 2;

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
                             Duration Silence) -> void {
  const auto Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(Silence).count();
  const int Probes =
      std::max(1, (static_cast<int>(Seconds) - KeepAliveIdleSeconds) /
                      KeepAliveIntervalSeconds);
  const int Descriptor = Socket.native_handle();
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, Probes);
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

auto silenceOfPeer(boost::asio::ip::tcp::socket &Socket) -> Duration {
  struct tcp_info Info {};
  socklen_t Size = sizeof(Info);
  if (!hasUnsentOutput(Socket) ||
      ::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                   &Size) != 0)
    return Duration(0);
  // Without segments in flight the window is closed. The first retransmission
  // shows that an acknowledgement is late, also after a long idle time.
  const bool Late = Info.tcpi_unacked > 0
                        ? Info.tcpi_retransmits > 0
                        : Info.tcpi_probes >= MinUnansweredProbes;
  return Late ? std::chrono::milliseconds(Info.tcpi_last_ack_recv)
              : Duration(0);
}

auto endedByPeer(boost::asio::ip::tcp::socket &Socket) -> bool {
  return peek(Socket) == PendingInput::End;
}

} // namespace buckthornring
