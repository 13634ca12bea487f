#pragma once

#include <cstddef>
#include <limits>

namespace buckthornring {

/// Open connections that each kind of peer may have, so that none of them takes
/// the descriptors of the others.
struct ConnectionLimits {
  /// Descriptors that are reserved for files.
  static constexpr std::size_t FileDescriptors = 200;
  /// Shares of the rest. What is left is for targets and the store. Other
  /// instances read the store through this one, by a few connections each.
  static constexpr double CallerShare = 0.5;
  static constexpr double PeerShare = 0.28;
  static constexpr double ReadyShare = 0.02;

  std::size_t Callers = std::numeric_limits<std::size_t>::max();
  std::size_t Peers = std::numeric_limits<std::size_t>::max();
  std::size_t Readiness = std::numeric_limits<std::size_t>::max();

  /// \p Descriptors that the process may open; 0: not limited.
  static auto of(std::size_t Descriptors) -> ConnectionLimits {
    ConnectionLimits Limits;
    if (Descriptors <= FileDescriptors)
      return Limits;
    const auto Usable = static_cast<double>(Descriptors - FileDescriptors);
    Limits.Callers = static_cast<std::size_t>(CallerShare * Usable);
    Limits.Peers = static_cast<std::size_t>(PeerShare * Usable);
    Limits.Readiness = static_cast<std::size_t>(ReadyShare * Usable) + 4;
    return Limits;
  }
};

} // namespace buckthornring
