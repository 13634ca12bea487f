#pragma once

#include "buckthornring/Common/Time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace buckthornring {

/// Detects that the peer's host acknowledges nothing of what a connection
/// sends. A peer that reads slowly, or not at all, is not silent as long as its
/// host acknowledges window probes.
///
/// Takes the place of TCP_USER_TIMEOUT, by which the kernel also ends
/// connections with slow readers: it counts from the first window probe until
/// the window is open for a whole segment.
class PeerWatch {
public:
  /// \p Socket has to outlive the watch.
  PeerWatch(boost::asio::ip::tcp::socket &Socket, Duration Limit);

  /// Sets the options by which the kernel ends an idle connection whose peer is
  /// gone. Before this call nothing is watched. \p OnSilent runs when sent data
  /// is not acknowledged within the limit, unless \p Owner is gone.
  auto start(std::weak_ptr<void> Owner, std::function<void()> OnSilent) -> void;

  /// A message is being sent from now on.
  auto onSendBegan() -> void;
  /// The kernel has taken the whole message.
  auto onSendEnded() -> void;
  /// Nothing more is sent.
  auto stop() -> void;

private:
  auto armTimer(Duration Wait) -> void;
  auto check() -> void;

  boost::asio::ip::tcp::socket &Socket;
  Duration Limit;
  /// Expires once in the limit at most, so that short messages cost little.
  boost::asio::steady_timer Timer;
  std::weak_ptr<void> Owner;
  std::function<void()> OnSilent;
  TimePoint SendBeganAt = LongAgo;
  bool Sending = false;
  bool Armed = false;
};

} // namespace buckthornring
