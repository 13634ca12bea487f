#pragma once

#include "Fleet/CrashSuspects.h"
#include "Fleet/TargetTable.h"
#include "Gateway/WaitQueue.h"
#include "IO/EventLog.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace buckthornring {

/// A request as CrashMonitor knows it.
struct MonitoredRequest {
  std::uint64_t Fingerprint = 0; ///< CrashSuspects::fingerprint().
  std::string Id;
  std::string Path;
  WorkspaceId Workspace;
};

/// Finds out which lost exchanges were lost because the target crashed, and
/// accuses the requests that were running on it.
///
/// A connection is also reset by a target that is full, and closed by one that
/// leaves. A target counts as crashed only if its address refuses a new
/// connection right after the loss.
class CrashMonitor {
public:
  enum class Admission {
    Send,
    Hold,   ///< Another copy of a suspected request is running.
    Refuse, ///< The request is quarantined.
  };
  struct Counts {
    std::uint64_t Crashes = 0;     ///< Targets that have crashed.
    std::uint64_t Accusations = 0; ///< Requests that were running on them.
    std::uint64_t Quarantines = 0;
    std::uint64_t Acquittals = 0; ///< Accused requests that were completed.
  };

  CrashMonitor(boost::asio::io_context &Io, TargetTable &Targets,
               CrashSuspects &Suspects, WaitQueue &WaitingRequests,
               EventLog &Events)
      : Io(Io), Targets(Targets), Suspects(Suspects),
        WaitingRequests(WaitingRequests), Events(Events) {}

  /// Whether the request may be sent. \p OwnCopies is the number of its copies
  /// that the caller has started itself.
  auto admission(std::uint64_t Request, std::uint32_t OwnCopies,
                 TimePoint Now) const -> Admission;

  auto copyStarted(std::uint64_t Request) -> void { ++RunningCopies[Request]; }
  auto copyEnded(std::uint64_t Request) -> void;

  /// A suspected request runs on the target until suspectEnded().
  auto suspectStarted(const TargetId &Target) -> void { ++SuspectRuns[Target]; }
  auto suspectEnded(const TargetId &Target) -> void;
  /// Targets on which suspected requests of this instance run. Others are best
  /// sent elsewhere, so that the next crash tells them apart.
  auto targetsOfSuspects() const -> std::vector<TargetId>;

  /// The connection ended while the request ran on the incarnation of \p Target
  /// that started at \p StartedAtMs.
  auto exchangeLost(const TargetPtr &Target, std::int64_t StartedAtMs,
                    MonitoredRequest Request) -> void;
  /// Whether the end of the request at a target is of interest to
  /// exchangeCompleted().
  auto watches(std::uint64_t Request) const -> bool;
  /// A target has run the request to its end.
  auto exchangeCompleted(const MonitoredRequest &Request) -> void;

  auto counts() const -> const Counts & { return Total; }

private:
  /// The losses of one incarnation that are being looked into.
  struct Inquiry;
  using InquiryPtr = std::shared_ptr<Inquiry>;

  auto probe(const InquiryPtr &Current) -> void;
  auto onProbed(const InquiryPtr &Current, bool Refused) -> void;
  auto conclude(const InquiryPtr &Current, bool Crashed) -> void;
  auto accuse(const InquiryPtr &Current) -> void;
  /// Takes a request that was completed out of all inquiries.
  auto acquit(std::uint64_t Request) -> void;
  auto logRequest(const char *Event, const MonitoredRequest &Request,
                  std::string_view Target, TimePoint Now) -> void;
  /// Whether several targets have ended at the same moment, as they do when
  /// what they share has failed.
  auto endedWithOthers(std::uint64_t Incarnation, TimePoint LostAt) const
      -> bool;

  boost::asio::io_context &Io;
  TargetTable &Targets;
  CrashSuspects &Suspects;
  WaitQueue &WaitingRequests;
  EventLog &Events;
  std::unordered_map<std::uint64_t, InquiryPtr> Inquiries; ///< By incarnation.
  /// Requests that inquiries may accuse, with their number.
  std::unordered_map<std::uint64_t, std::uint32_t> Questioned;
  std::unordered_map<std::uint64_t, std::uint32_t> RunningCopies;
  std::unordered_map<TargetId, std::uint32_t> SuspectRuns;
  /// Latest crashes: when the connection ended, and the incarnation.
  std::deque<std::pair<TimePoint, std::uint64_t>> RecentCrashes;
  Counts Total;
};

} // namespace buckthornring
