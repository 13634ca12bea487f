#pragma once

#include "buckthornring/Limits/ShareHolder.h"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthornring {

/// A traffic thread's side of the limit on one target's concurrent requests.
///
/// A share is valid for one incarnation of the target. The thread reads the
/// start identifier (GET /control/health) on a connection. It may send requests
/// only while the connections opened since then lead to the same incarnation; a
/// restart breaks them all.
class AllowanceBorrower {
public:
  /// Identifies the incarnation for which a unit was acquired.
  using Unit = std::uint64_t;

  AllowanceBorrower(std::string Name, std::uint64_t FirstSession)
      : Name(std::move(Name)), Session(FirstSession) {}

  auto follow(std::uint64_t NewTerm) -> void;

  /// \p StartId was read on an open connection. A new identifier drops the
  /// share.
  auto onConnected(const std::string &StartId, TimePoint Now) -> void;

  /// A connection broke or was refused; nothing is sent until onConnected(). An
  /// idle connection that is closed on purpose does not count as lost while
  /// others are open.
  auto onConnectionLost() -> void { ConnectionUsable = false; }

  /// Returns a unit for one request, or nothing when the share has no free one.
  auto tryAcquire(TimePoint Now) -> std::optional<Unit>;
  auto release(Unit Acquired) -> void;

  /// The start identifier of the incarnation that requests are sent to; empty
  /// before onConnected().
  auto startId() const -> const std::string & { return StartId; }

  /// The share, for exchanging its messages with the lender; null before
  /// onConnected().
  auto share() -> ShareHolder * { return Share ? &*Share : nullptr; }

private:
  std::string Name;
  std::uint64_t Session;
  std::uint64_t Term = 0;
  Unit StartNumber = 0;
  std::string StartId;
  bool ConnectionUsable = false;
  std::optional<ShareHolder> Share;
};

} // namespace buckthornring
