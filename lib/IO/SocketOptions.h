#pragma once

#include "buckthornring/Common/Time.h"

#include <boost/asio/ip/tcp.hpp>

namespace buckthornring {

/// Makes the kernel end a connection whose peer no longer answers: middleboxes
/// drop the state of open connections without a sign to either end.
///
/// Sends without delay; probes an idle connection after a second and ends it
/// two probes later; ends it when sent data is not acknowledged within
/// \p Unacknowledged. Options that the system refuses keep their defaults.
auto enableDeadPeerDetection(boost::asio::ip::tcp::socket &Socket,
                             Duration Unacknowledged) -> void;

/// Whether the peer has closed an idle connection, or sent bytes that belong to
/// no request; such a connection must not be reused.
auto brokenWhileIdle(boost::asio::ip::tcp::socket &Socket) -> bool;

/// Whether the peer has closed or reset the connection and all bytes that it
/// sent before have been read.
auto endedByPeer(boost::asio::ip::tcp::socket &Socket) -> bool;

} // namespace buckthornring
