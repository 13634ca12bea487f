#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Ownership/LeaseMessage.h"
#include "buckthornring/Ownership/OwnershipTimes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace buckthornring {

/// Leases of the verified targets of one service, on the sender's clock.
class LeaseTable {
public:
  /// What a reply told.
  enum class ReplyEffect {
    Ignored,    ///< Older than a reply already seen, or unknown target.
    Known,      ///< The target continues.
    Restarted,  ///< A new process start: it holds nothing.
    HigherTerm, ///< The target has seen a term above ours.
  };

  LeaseTable(OwnershipTimes Times, SafetySwitches Switches);

  /// Adds a target. Until it answers, its lease bound is \p Now plus a whole
  /// lease, since a message of this process may not be the last one it got.
  auto add(const TargetId &Target, TimePoint Now) -> void;
  auto remove(const TargetId &Target) -> void;
  auto contains(const TargetId &Target) const -> bool;

  /// Forgets the acknowledgements of lower terms.
  auto beginTerm(std::uint64_t NewTerm, TimePoint Now) -> void;

  auto reply(const TargetId &Target, const LeaseReply &Reply, TimePoint Now)
      -> ReplyEffect;

  /// Fills Start, ClockUs and LeaseUs from the last reply and notes that the
  /// lease may be held that long. Leaves them empty when no reply was seen.
  auto stampLease(LeaseMessage &Message) -> void;

  /// Returns the time after which the target holds no lease that this process
  /// sent: receipt of the last echoed reading, plus the lease, stretched.
  auto leaseEnd(const TargetId &Target) const -> TimePoint;

  auto acknowledged(const TargetId &Target) const -> bool;
  /// True when every target added has acknowledged the term.
  auto allAcknowledged() const -> bool;

  /// False after three renewal intervals without a reply.
  auto alive(const TargetId &Target, TimePoint Now) const -> bool;
  auto lastReply(const TargetId &Target) const -> std::optional<TimePoint>;

  /// Start identifier of the last reply, empty before the first.
  auto start(const TargetId &Target) const -> const std::string &;

  /// Highest change sequence that the target applied in this term.
  auto applied(const TargetId &Target) const -> std::uint64_t;
  auto running(const TargetId &Target) const -> const std::set<std::uint32_t> &;
  /// Slices of the last complete report in this term, or nothing.
  auto report(const TargetId &Target) const
      -> const std::optional<std::map<std::uint32_t, Epoch>> &;
  /// Discards reports, so that the next one is newer than this moment.
  auto clearReports() -> void;

  /// Notes that the target is lost for good (operator).
  auto confirmLost(const TargetId &Target) -> void;

private:
  struct Entry {
    bool Acknowledged = false;
    std::string Start;
    std::int64_t ClockUs = 0;
    TimePoint ClockAt;
    std::optional<TimePoint> LastReply;
    TimePoint LeaseEnd;
    std::uint64_t Applied = 0;
    std::set<std::uint32_t> Running;
    std::optional<std::map<std::uint32_t, Epoch>> Report;
    /// Replies to messages up to this sequence are older than clearReports().
    std::uint64_t ReportAfter = 0;
    std::uint64_t LastSequence = 0;
  };

  auto entry(const TargetId &Target) const -> const Entry &;

  OwnershipTimes Times;
  SafetySwitches Switches;
  std::uint64_t Term = 0;
  std::map<TargetId, Entry> Entries;
};

} // namespace buckthornring
