#pragma once

#include "Gateway/GatewaySettings.h"

#include <cstddef>

namespace buckthornring {

/// Memory in bytes that the process may use by its settings, or else by the
/// system. 0: not limited.
auto memoryLimit(const GatewaySettings &Settings) -> double;

/// Descriptors that the process may open by its settings, or else by the
/// system. 0: not limited.
auto descriptorLimit(const GatewaySettings &Settings) -> std::size_t;

} // namespace buckthornring
