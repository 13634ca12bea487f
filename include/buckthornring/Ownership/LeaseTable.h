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
#include <utility>

namespace buckthornring {

/// Leases of the verified targets of one service, on the sender's clock.
class LeaseTable {
public:
  /// What a reply told.
  enum class ReplyEffect {
    Ignored,    ///< Older than a reply already seen, or unknown target.
    Known,      ///< The target continues.
    Lapsed,     ///< Its lease ended meanwhile: it has dropped its slices.
    Restarted,  ///< A new process start: it holds nothing.
    HigherTerm, ///< The target has seen a term above ours.
  };

  LeaseTable(OwnershipTimes Times, SafetySwitches Switches);

  auto add(const TargetId &Target) -> void;
  auto remove(const TargetId &Target) -> void;
  auto contains(const TargetId &Target) const -> bool;

  /// Forgets the acknowledgements of lower terms; lease ends are kept.
  auto beginTerm(std::uint64_t NewTerm) -> void;

  auto reply(const TargetId &Target, const LeaseReply &Reply, TimePoint Now)
      -> ReplyEffect;

  /// Notes a message that is about to be sent and fills in Start. With a lease,
  /// and when the target has answered before, also fills in ClockUs and LeaseUs
  /// and notes that the lease may be held that long.
  auto sent(LeaseMessage &Message, bool WithLease) -> void;

  /// Returns the time after which the target holds no lease from this process,
  /// nor any that it held when it acknowledged the term: receipt of the last
  /// echoed reading plus the lease, stretched by the drift bound.
  auto leaseEnd(const TargetId &Target) const -> TimePoint;

  auto acknowledged(const TargetId &Target) const -> bool;
  /// False after three renewal intervals without a reply.
  auto alive(const TargetId &Target, TimePoint Now) const -> bool;

  /// Start identifier of the target, empty before the first reply.
  auto start(const TargetId &Target) const -> const std::string &;
  /// When that start identifier was first accepted.
  auto startSeen(const TargetId &Target) const -> TimePoint;

  /// Highest change sequence that the target applied in this term.
  auto applied(const TargetId &Target) const -> std::uint64_t;
  auto running(const TargetId &Target) const -> const std::set<std::uint32_t> &;
  /// Slices of the last complete report in this term, or nothing.
  auto report(const TargetId &Target) const
      -> const std::optional<std::map<std::uint32_t, Epoch>> &;
  /// Discards reports; only replies to later messages count as new ones.
  auto clearReports() -> void;

  /// Notes that the target is lost for good (operator): it holds nothing.
  auto confirmLost(const TargetId &Target, TimePoint Now) -> void;

private:
  struct Entry {
    bool Acknowledged = false;
    std::string Start;
    TimePoint StartSeen;
    /// Another start identifier, with the last sequence sent before it.
    std::optional<std::pair<std::string, std::uint64_t>> Candidate;
    std::int64_t ClockUs = 0;
    std::uint64_t Answered = 0;
    TimePoint ClockAt;
    std::optional<TimePoint> LastReply;
    TimePoint LeaseEnd;
    std::uint64_t Lapses = 0;
    std::uint64_t Applied = 0;
    std::set<std::uint32_t> Running;
    std::optional<std::map<std::uint32_t, Epoch>> Report;
    std::uint64_t ReportAfter = 0;
    std::uint64_t LastSequence = 0;
  };

  auto entry(const TargetId &Target) const -> const Entry &;
  auto leaseAfter(TimePoint From) const -> TimePoint;
  static auto otherStart(Entry &Each, const LeaseReply &Reply) -> bool;

  OwnershipTimes Times;
  SafetySwitches Switches;
  std::uint64_t Term = 0;
  std::map<TargetId, Entry> Entries;
};

} // namespace buckthornring
