#pragma once

#include "buckthornring/Common/Time.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace buckthornring {

/// Makes the kernel close a connection whose peer no longer responds, since
/// middleboxes may drop the state of open connections without notifying either
/// end.
///
/// Sets TCP_NODELAY. Sends keep-alive probes after one second of idleness, one
/// per second, and closes the connection when the peer has been silent for
/// \p Silence, but at least two seconds. PeerWatch detects a peer that does not
/// acknowledge what was sent to it. Options that the system rejects keep their
/// defaults.
auto enableDeadPeerDetection(boost::asio::ip::tcp::socket &Socket,
                             Duration Silence) -> void;

/// Whether the peer has closed an idle connection, or sent bytes that belong to
/// no request; such a connection must not be reused.
auto brokenWhileIdle(boost::asio::ip::tcp::socket &Socket) -> bool;

/// Whether bytes from the peer have arrived that were not read yet.
auto hasUnreadInput(boost::asio::ip::tcp::socket &Socket) -> bool;

/// Number of sent bytes that the peer has not acknowledged yet. Zero where the
/// system does not tell.
auto unacknowledgedBytes(boost::asio::ip::tcp::socket &Socket) -> std::size_t;

/// Whether sent bytes have not been acknowledged by the peer yet. False where
/// the system does not tell.
auto hasUnsentOutput(boost::asio::ip::tcp::socket &Socket) -> bool;

/// For how long the peer's host has left data or window probes unacknowledged.
/// Zero if it need not acknowledge anything, or where the system does not tell.
auto silenceOfPeer(boost::asio::ip::tcp::socket &Socket) -> Duration;

/// Whether the peer has closed or reset the connection and all bytes that it
/// sent before have been read.
auto endedByPeer(boost::asio::ip::tcp::socket &Socket) -> bool;

} // namespace buckthornring
