#pragma once

#include "buckthornring/Limits/ShareMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace buckthornring {

/// Giver of one fleet-wide quantity inside a data centre (docs/design.md, 7).
///
/// For each holder it counts as lent the largest share that the holder may
/// have in force: what it last reported and every later grant. Lent shares plus
/// the rest never exceed the total, and tokens never exceed the capacity that
/// they are kept in, so over any window t all holders together admit at most
/// burst + rate * t.
class ShareLedger {
public:
  struct Options {
    ShareKind Kind = ShareKind::Rate;
    Duration LeasePeriod = std::chrono::seconds(1);
    /// Largest rate difference of two clocks, in thousandths.
    std::int64_t DriftPerMille = 10;
    /// How long a use that began under a lease can outlast it. For slots this
    /// is the longest request deadline of the service; for tokens zero.
    Duration UseTail{};
  };

  /// \p TermBegan is when the own authority began, also for a quantity that is
  /// new. Until one lease (and use tail) after it, everything is treated as
  /// lent, because an earlier giver's grants may still be in force.
  ShareLedger(Options Settings, ShareAmount Total, std::uint64_t Term,
              TimePoint TermBegan);

  /// Grants are given only before \p Until, the end of the leader's move
  /// authority. A successor starts after it, so its wait covers all leases.
  auto setAuthorityEnd(TimePoint Until) -> void { Authority = Until; }

  /// Changes the total. A smaller one is reached as holders return shares.
  auto setTotal(ShareAmount Total, TimePoint Now) -> void;

  /// The total that is not yet undercut: the set total, or what is still lent
  /// when that is more. Another data centre may be credited only with what is
  /// above this. Unbounded until the wait of a new giver is over, as seen by
  /// handle() or expire().
  auto effectiveTotal() const -> ShareAmount;

  /// Returns the answer to \p Request, or nothing for a repeated, late or
  /// misdirected one and after the end of authority.
  auto handle(const ShareRequest &Request, TimePoint Now)
      -> std::optional<ShareGrant>;

  /// Takes back shares whose lease has ended. Call at least every 100 ms.
  auto expire(TimePoint Now) -> void;

  auto lent() const -> ShareAmount { return Lent; }
  auto holders() const -> std::size_t { return Sessions.size(); }

private:
  struct Pending {
    std::uint64_t Version;
    ShareAmount Share;
  };
  struct Session {
    std::uint64_t Number = 0;
    std::uint64_t Sequence = 0;
    std::uint64_t Version = 0;
    ShareAmount Held;    ///< As reported.
    ShareAmount Current; ///< Of the last grant.
    ShareAmount Counted; ///< Part of Lent.
    ShareAmount Target;
    std::deque<Pending> Unconfirmed;
    MilliUnits GrantedTotal = 0;
    MilliUnits ReleasedSeen = 0;
    MilliUnits WantedRate = 0;
    MilliUnits WantedUnits = 0;
    TimePoint ReclaimAt;
  };
  /// A share in use by a session that has ended.
  struct Remnant {
    ShareAmount Share;
    TimePoint ReclaimAt;
  };

  auto withDrift(Duration Span) const -> Duration;
  auto thawed(TimePoint Now) const -> bool { return Now >= ThawAt; }
  auto recount(Session &Of) -> void;
  auto reshapeRest(TimePoint Now) -> void;
  auto retire(const Session &Ended) -> void;
  auto admit(const ShareRequest &Request, TimePoint Now) -> Session *;
  auto confirm(Session &Of, const ShareRequest &Request, TimePoint Now) -> void;
  auto regrant(Session &Of, TimePoint Now) -> void;
  auto nextShare(const Session &Of, TimePoint Now) -> ShareAmount;
  auto retarget(TimePoint Now) -> void;
  auto targetRates() -> void;
  auto targetUnits(TimePoint Now) -> void;

  Options Settings;
  ShareAmount Total;      ///< Rate reduced for the fastest clock.
  MilliUnits SetRate = 0; ///< Rate of the total as set.
  std::uint64_t Term;
  TimePoint ThawAt;
  bool Thawed = false; ///< The wait was over at the last event.
  TimePoint Authority = TimePoint::max();
  /// No share is to be taken back before this, so expire() scans all holders
  /// about once per lease.
  TimePoint NextReclaim = TimePoint::max();
  TimePoint TargetsAt = TimePoint::min();
  bool TargetsStale = true;
  std::map<std::string, Session> Sessions;
  std::deque<Remnant> Remnants;
  ShareAmount Lent;
  TokenBucket Rest; ///< Rate, capacity and tokens that are not lent.
};

} // namespace buckthornring
