#pragma once

#include <cstdint>
#include <string>

namespace buckthornring {

/// Returns whether the text is an IPv4 address or an IPv6 address in brackets,
/// a colon, and a decimal port from \p MinPort to 65535.
auto isAddress(const std::string &Text, std::uint32_t MinPort) -> bool;

} // namespace buckthornring
