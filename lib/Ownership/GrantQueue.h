#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Ownership/LeaseMessage.h"
#include "buckthornring/Ownership/SliceMap.h"

#include <cstdint>
#include <map>

namespace buckthornring {

/// Grants and releases that targets have not acknowledged, for one service.
/// Every lease message repeats them until one that carried them was applied.
class GrantQueue {
public:
  auto grant(const TargetId &Target, std::uint32_t Slice) -> void;
  auto release(const TargetId &Target, std::uint32_t Slice) -> void;
  auto forget(const TargetId &Target) -> void { Targets.erase(Target); }
  auto clear() -> void { Targets.clear(); }

  /// True when a change was never sent.
  auto unsent(const TargetId &Target) const -> bool;

  /// Adds the open changes to a message and notes its sequence.
  auto fill(LeaseMessage &Message, const SliceMap &Map) -> void;

  /// Notes that a message is sent without the open changes. Its sequence will
  /// be acknowledged although an earlier message with them may be lost, so they
  /// count as not sent again.
  auto skip(const TargetId &Target) -> void;

  /// Drops the changes that a message up to this sequence carried.
  auto applied(const TargetId &Target, std::uint64_t Sequence) -> void;

  /// True when the target applied the release.
  auto released(const TargetId &Target, std::uint32_t Slice) const -> bool;

private:
  /// First sequence that carried the change; zero before it was sent.
  using Changes = std::map<std::uint32_t, std::uint64_t>;
  struct Entry {
    Changes Grants;
    Changes Releases;
  };
  std::map<TargetId, Entry> Targets;
};

} // namespace buckthornring
