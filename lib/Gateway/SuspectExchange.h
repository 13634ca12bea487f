#pragma once

#include "Fleet/CrashSuspects.h"
#include "Fleet/FleetMessage.h"
#include "IO/EventLog.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornring {

/// Exchanges with the other instances which requests crash targets.
///
/// What is found here goes to the neighbours and the leader at once. The leader
/// passes it on to the other data centres. Reports and replies carry a digest,
/// and the suspects themselves while the digests differ, which repairs lost
/// messages and tells new leaders and new processes.
class SuspectExchange {
public:
  using Addresses = std::vector<std::string>;

  struct FleetContext {
    CrashSuspects &Suspects;
    EventLog &Events;
    std::function<void(const Addresses &, const SuspectNotice &)> Send;
    std::function<bool()> Leading;
    /// Addresses of the neighbours and of the leader.
    std::function<Addresses()> NeighboursAndLeader;
    /// Addresses of all instances that report to this one, except those in the
    /// given data centre.
    std::function<Addresses(const DataCentreId &)> MembersOutside;
    /// Data centre of the instance at the address; empty if not known.
    std::function<DataCentreId(const std::string &)> DataCentreOf;
    /// Arranges that flush() is called after the time.
    std::function<void(Duration)> ScheduleFlush;
  };

  explicit SuspectExchange(FleetContext Context)
      : Context(std::move(Context)) {}

  /// This instance has accused a request or has seen it completed.
  auto onChanged(CrashSuspects::Change Kind) -> void;
  /// Sends what has changed since the last call.
  auto flush(TimePoint Now) -> void;
  auto receive(const SuspectNotice &Notice, const std::string &From,
               TimePoint Now) -> void;

  auto addTo(FleetReport &Report, TimePoint Now) -> void;
  /// Handles what a report to this leader tells of suspects and adds to the
  /// reply what its sender lacks.
  auto answer(const FleetReport &Report, const std::string &From,
              FleetReply &Reply, TimePoint Now) -> void;
  auto onReply(const FleetReply &Reply, const std::string &From, TimePoint Now)
      -> void;
  /// The next report tells the new leader all suspects.
  auto onLeaderChanged() -> void { LeaderDigest = 0; }

  /// Number of suspects that were learned, or cleared, by other instances'
  /// notices.
  auto learned() const -> std::uint64_t { return Learned; }

private:
  auto digest(TimePoint Now) -> std::uint64_t;
  auto schedule(Duration Delay) -> void;
  auto send(const Addresses &To, const SuspectNotice &Notice) -> void;
  /// Merges a notice. Returns whether anything was new.
  auto merge(const SuspectNotice &Notice, const std::string &From,
             TimePoint Now) -> bool;

  FleetContext Context;
  /// Data centres from which the unsent changes came; the empty name stands for
  /// this instance and for unknown ones.
  std::set<DataCentreId> Origins;
  std::optional<Duration> FlushDelay; ///< Of the scheduled flush.
  std::uint64_t LeaderDigest = 0;     ///< Of the leader's last reply.
  std::uint64_t Digest = 0;
  TimePoint DigestAt = LongAgo; ///< LongAgo: the digest is out of date.
  std::uint64_t Learned = 0;
};

} // namespace buckthornring
