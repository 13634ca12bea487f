#pragma once

#include "buckthornring/Limits/ShareHolder.h"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthornring {

/// Traffic thread's side of one target's concurrent requests.
///
/// A share counts for one start of the target. The thread reads the start
/// identifier (GET /control/health) on a connection and may send requests only
/// while connections opened since then lead to the same start: a restart
/// breaks them all.
class AllowanceTaker {
public:
  /// Names the start under which a unit was acquired.
  using Unit = std::uint64_t;

  AllowanceTaker(std::string Name, std::uint64_t FirstSession)
      : Name(std::move(Name)), Session(FirstSession) {}

  auto follow(std::uint64_t NewTerm) -> void;

  /// \p StartId was read on an open connection. A new identifier drops the
  /// share.
  auto connected(const std::string &StartId, TimePoint Now) -> void;

  /// A connection broke or was refused; nothing is sent until connected().
  /// Closing an idle connection on purpose is no loss while others are open.
  auto connectionLost() -> void { Usable = false; }

  /// Returns a unit for one request, or nothing when the share has no free one.
  auto tryAcquire(TimePoint Now) -> std::optional<Unit>;
  auto release(Unit Acquired) -> void;

  /// The start identifier that requests are for; empty before connected().
  auto startId() const -> const std::string & { return StartId; }

  /// The share for the messages to the giver; nothing before connected().
  auto share() -> ShareHolder * { return Share ? &*Share : nullptr; }

private:
  std::string Name;
  std::uint64_t Session;
  std::uint64_t Term = 0;
  Unit Start = 0;
  std::string StartId;
  bool Usable = false;
  std::optional<ShareHolder> Share;
};

} // namespace buckthornring
