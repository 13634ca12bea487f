#pragma once

#include "buckthornring/Limits/ShareMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace buckthornring {

/// Lender of one fleet-wide quantity inside a data centre (docs/design.md, 7).
///
/// For each holder it counts as lent the largest share that the holder may have
/// in force: the share that it last reported and every later grant. Lent shares
/// and the unlent remainder never exceed the total, and tokens never exceed the
/// capacity that holds them. Therefore, over any window t, all holders together
/// admit at most burst + rate * t.
class ShareLedger {
public:
  struct Options {
    ShareKind Kind = ShareKind::Rate;
    Duration LeasePeriod = std::chrono::seconds(1);
    /// Largest difference between the rates of two clocks, in thousandths.
    std::int64_t DriftPerMille = 10;
    /// How long a use that began under a lease can outlast the lease. For slots
    /// this is the longest request deadline of the service, for tokens zero.
    Duration MaxUseDuration{};
  };

  /// \p TermStartedAt is the start of this lender's authority, also for a
  /// quantity that is new. Until one lease period plus MaxUseDuration after it,
  /// the whole total counts as lent, because grants of an earlier lender may
  /// still be in force.
  ShareLedger(Options Settings, ShareAmount Total, std::uint64_t Term,
              TimePoint TermStartedAt);

  /// Grants are given only before \p Until, the end of the leader's move
  /// authority. A successor starts after it, so its initial wait covers all
  /// leases.
  auto setAuthorityEnd(TimePoint Until) -> void { AuthorityEnd = Until; }

  /// Changes the total. A smaller one takes effect as holders return shares.
  auto setTotal(ShareAmount Total, TimePoint Now) -> void;

  /// Returns the total that may be in force: the total as set, or what is still
  /// lent if that is more. Another data centre may be allocated only what
  /// exceeds this. Unbounded until handle() or expire() has found the initial
  /// wait of a new lender to be over.
  auto effectiveTotal() const -> ShareAmount;

  /// Returns the grant for \p Request, or nothing if the request is repeated,
  /// late or misdirected or the authority has ended.
  auto handle(const ShareRequest &Request, TimePoint Now)
      -> std::optional<ShareGrant>;

  /// Takes back shares whose lease has ended. Call it at least every 100 ms.
  auto expire(TimePoint Now) -> void;

  auto lent() const -> ShareAmount { return Lent; }
  auto holders() const -> std::size_t { return Sessions.size(); }

private:
  struct PendingGrant {
    std::uint64_t Version;
    ShareAmount Share;
  };
  struct Session {
    std::uint64_t Number = 0;
    std::uint64_t Sequence = 0;
    std::uint64_t Version = 0;
    ShareAmount Held;      ///< As last reported.
    ShareAmount Current;   ///< Of the last grant.
    ShareAmount LentShare; ///< Included in Lent.
    ShareAmount FairShare;
    std::deque<PendingGrant> Unconfirmed;
    MilliUnits GrantedTotal = 0;
    MilliUnits RecordedReleasedTotal = 0;
    MilliUnits WantedRate = 0;
    MilliUnits WantedUnits = 0;
    TimePoint ReclaimAt;
  };
  /// Units of a session that has ended, which may still be in use.
  struct RetiredShare {
    ShareAmount Share;
    TimePoint ReclaimAt;
  };

  auto withDrift(Duration Span) const -> Duration;
  auto mayLend(TimePoint Now) const -> bool { return Now >= LendingStartsAt; }
  auto recountLent(Session &Holder) -> void;
  auto updateUnlent(TimePoint Now) -> void;
  auto retire(const Session &Ended) -> void;
  auto sessionFor(const ShareRequest &Request, TimePoint Now) -> Session *;
  auto recordReport(Session &Holder, const ShareRequest &Request, TimePoint Now)
      -> void;
  auto updateGrant(Session &Holder, TimePoint Now) -> void;
  auto nextShare(const Session &Holder, TimePoint Now) -> ShareAmount;
  auto updateFairShares(TimePoint Now) -> void;
  auto computeFairRates() -> void;
  auto computeFairUnits(TimePoint Now) -> void;

  Options Settings;
  ShareAmount Total;          ///< With the rate reduced for the fastest clock.
  MilliUnits NominalRate = 0; ///< Rate passed to setTotal().
  std::uint64_t Term;
  TimePoint LendingStartsAt;
  bool LendingStarted = false; ///< The initial wait was over at the last call.
  TimePoint AuthorityEnd = TimePoint::max();
  /// No share is due to be taken back before this time, so expire() scans all
  /// holders only about once per lease.
  TimePoint NextReclaim = TimePoint::max();
  TimePoint FairSharesComputedAt = TimePoint::min();
  bool FairSharesStale = true;
  std::map<std::string, Session> Sessions;
  std::deque<RetiredShare> RetiredShares;
  ShareAmount Lent;
  TokenBucket Unlent; ///< Rate, capacity and tokens that are not lent.
};

} // namespace buckthornring
