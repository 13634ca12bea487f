#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace buckthornring {

/// Parses an IP address and port: "127.0.0.1:80" or "[::1]:80".
auto parseEndpoint(const std::string &Address)
    -> std::optional<boost::asio::ip::tcp::endpoint>;

/// Returns the endpoint in the format that parseEndpoint() accepts.
auto endpointText(const boost::asio::ip::tcp::endpoint &Endpoint)
    -> std::string;

} // namespace buckthornring
