#include "buckthornring/Limits/ShareLedger.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace buckthornring {

namespace {

// Fair shares are computed for all holders at once. The cost grows with their
// number, so they are recomputed only after this interval, or after a change of
// the total or of the sessions.
constexpr Duration FairShareInterval = std::chrono::milliseconds(20);

// Whole units left after the fair division go to the holders in turn. The first
// holder changes at this interval, which is longer than the report interval
// (100 ms), so that each holder reports during each turn.
constexpr Duration TurnInterval = std::chrono::milliseconds(250);

auto maxOf(ShareAmount A, ShareAmount B) -> ShareAmount {
  return {std::max(A.Rate, B.Rate), std::max(A.Units, B.Units)};
}

/// Returns the level up to which demands are met when \p Total is divided
/// max-min fairly.
auto fairLevel(std::vector<MilliUnits> Demands, MilliUnits Total)
    -> MilliUnits {
  std::sort(Demands.begin(), Demands.end());
  auto DemandsLeft = static_cast<MilliUnits>(Demands.size());
  for (const MilliUnits Demand : Demands) {
    if (Demand > Total / DemandsLeft)
      return Total / DemandsLeft;
    Total -= Demand;
    --DemandsLeft;
  }
  return Demands.empty() ? 0 : Demands.back();
}

} // namespace

ShareLedger::ShareLedger(Options Settings, ShareAmount Total,
                         std::uint64_t Term, TimePoint TermStartedAt)
    : Settings(Settings), Total(), Term(Term),
      LendingStartsAt(TermStartedAt + withDrift(Settings.LeasePeriod) +
                      withDrift(Settings.MaxUseDuration)),
      Unlent(0, 0, 0, TermStartedAt) {
  setTotal(Total, TermStartedAt);
}

auto ShareLedger::withDrift(Duration Span) const -> Duration {
  return Span + Duration((Span.count() * Settings.DriftPerMille + 999) / 1000);
}

auto ShareLedger::setTotal(ShareAmount NewTotal, TimePoint Now) -> void {
  NominalRate = NewTotal.Rate;
  // A holder's clock may run fast by the drift bound, and its bucket then
  // refills faster by as much.
  NewTotal.Rate = NewTotal.Rate * 1000 / (1000 + Settings.DriftPerMille);
  Total = NewTotal;
  FairSharesStale = true;
  updateUnlent(Now);
}

auto ShareLedger::effectiveTotal() const -> ShareAmount {
  // Shares of an earlier lender that are not reported yet may be as large as
  // that lender's total, which is not known here.
  if (!LendingStarted)
    return {std::numeric_limits<MilliUnits>::max(),
            std::numeric_limits<MilliUnits>::max()};
  ShareAmount InForce = {NominalRate, std::max(Total.Units, Lent.Units)};
  // Undoes the reduction for the fastest clock, rounded up.
  if (Lent.Rate > Total.Rate)
    InForce.Rate = (Lent.Rate * (1000 + Settings.DriftPerMille) + 999) / 1000;
  return InForce;
}

auto ShareLedger::updateUnlent(TimePoint Now) -> void {
  // Before lending starts, the whole total may be in force at unknown holders.
  if (!mayLend(Now))
    return;
  LendingStarted = true;
  const MilliUnits Rate = std::max<MilliUnits>(Total.Rate - Lent.Rate, 0);
  const MilliUnits Units = std::max<MilliUnits>(Total.Units - Lent.Units, 0);
  Unlent.reconfigure(Rate, Units, Now);
}

auto ShareLedger::recountLent(Session &Holder) -> void {
  ShareAmount Largest = Holder.Held;
  for (const PendingGrant &Grant : Holder.Unconfirmed)
    Largest = maxOf(Largest, Grant.Share);
  Lent.Rate += Largest.Rate - Holder.LentShare.Rate;
  Lent.Units += Largest.Units - Holder.LentShare.Units;
  Holder.LentShare = Largest;
  invariant(Lent.Rate >= 0 && Lent.Units >= 0, "lent shares are not negative");
}

auto ShareLedger::retire(const Session &Ended) -> void {
  FairSharesStale = true;
  if (Settings.Kind == ShareKind::Units) {
    RetiredShares.push_back({Ended.LentShare, Ended.ReclaimAt});
    return;
  }
  Lent.Rate -= Ended.LentShare.Rate;
  Lent.Units -= Ended.LentShare.Units;
}

auto ShareLedger::expire(TimePoint Now) -> void {
  if (Now < NextReclaim) {
    if (!LendingStarted)
      updateUnlent(Now);
    return;
  }
  NextReclaim = TimePoint::max();
  for (auto It = Sessions.begin(); It != Sessions.end();) {
    if (Now < It->second.ReclaimAt) {
      NextReclaim = std::min(NextReclaim, It->second.ReclaimAt);
      ++It;
      continue;
    }
    // Tokens of an expired share count as spent; only its rate and
    // capacity return.
    Lent.Rate -= It->second.LentShare.Rate;
    Lent.Units -= It->second.LentShare.Units;
    FairSharesStale = true;
    It = Sessions.erase(It);
  }
  std::erase_if(RetiredShares, [&](const RetiredShare &Old) {
    if (Now < Old.ReclaimAt) {
      NextReclaim = std::min(NextReclaim, Old.ReclaimAt);
      return false;
    }
    Lent.Units -= Old.Share.Units;
    return true;
  });
  updateUnlent(Now);
}

auto ShareLedger::sessionFor(const ShareRequest &Request, TimePoint Now)
    -> Session * {
  const auto Existing = Sessions.find(Request.Holder);
  if (Existing != Sessions.end()) {
    Session &Old = Existing->second;
    if (Request.Session == Old.Number)
      return Request.Sequence > Old.Sequence ? &Old : nullptr;
    if (Request.Session < Old.Number)
      return nullptr;
    // The holder has dropped the share of its earlier session.
    retire(Old);
    Sessions.erase(Existing);
  }
  Session &New = Sessions[Request.Holder];
  New.Number = Request.Session;
  FairSharesStale = true;
  // Before lending starts, the share that a holder reports from an earlier
  // lender is accepted.
  if (!mayLend(Now)) {
    New.Held = Request.Held;
    New.Current = Request.Held;
  }
  return &New;
}

auto ShareLedger::recordReport(Session &Holder, const ShareRequest &Request,
                               TimePoint Now) -> void {
  Holder.Sequence = Request.Sequence;
  Holder.WantedRate = Request.WantedRate;
  Holder.WantedUnits = Request.WantedUnits;
  Holder.ReclaimAt =
      std::max(Holder.ReclaimAt, Now + withDrift(Settings.LeasePeriod) +
                                     withDrift(Settings.MaxUseDuration));
  NextReclaim = std::min(NextReclaim, Holder.ReclaimAt);
  if (Holder.Version > 0) {
    std::erase_if(Holder.Unconfirmed, [&](const PendingGrant &Grant) {
      return Grant.Version <= Request.AppliedVersion;
    });
    // A report never raises what the lender counts as lent.
    Holder.Held = {std::min(Request.Held.Rate, Holder.LentShare.Rate),
                   std::min(Request.Held.Units, Holder.LentShare.Units)};
  }
  const MilliUnits Before = Holder.LentShare.Units;
  recountLent(Holder);
  updateUnlent(Now);
  // Released tokens return only with the capacity that held them. If a later
  // grant has enlarged the share again, the holder may have refilled that
  // capacity, and the released tokens would be added to the refill.
  const MilliUnits Released =
      std::min(Request.ReleasedTotal - Holder.RecordedReleasedTotal,
               Before - Holder.LentShare.Units);
  Holder.RecordedReleasedTotal =
      std::max(Holder.RecordedReleasedTotal, Request.ReleasedTotal);
  if (Released > 0 && mayLend(Now))
    Unlent.add(Released, Now);
}

auto ShareLedger::handle(const ShareRequest &Request, TimePoint Now)
    -> std::optional<ShareGrant> {
  if (Request.Term != Term || Now >= AuthorityEnd)
    return std::nullopt;
  expire(Now);
  ShareGrant Grant;
  Grant.Holder = Request.Holder;
  Grant.Session = Request.Session;
  Grant.Term = Term;
  Grant.Sequence = Request.Sequence;
  const auto Existing = Sessions.find(Request.Holder);
  const bool Unknown =
      Existing == Sessions.end() || Existing->second.Number < Request.Session;
  if (Unknown && Request.Held != ShareAmount() && mayLend(Now)) {
    Grant.Rejected = true;
    return Grant;
  }
  Session *Holder = sessionFor(Request, Now);
  if (Holder == nullptr)
    return std::nullopt;
  recordReport(*Holder, Request, Now);
  updateGrant(*Holder, Now);
  Grant.Version = Holder->Version;
  Grant.Share = Holder->Current;
  Grant.GrantedTotal = Holder->GrantedTotal;
  Grant.LeasePeriod = Settings.LeasePeriod;
  return Grant;
}

auto ShareLedger::nextShare(const Session &Holder, TimePoint Now)
    -> ShareAmount {
  ShareAmount Next = Holder.FairShare;
  if (Settings.Kind == ShareKind::Rate && Holder.WantedUnits > 0) {
    // Tokens are granted together with the capacity that holds them, because
    // the holder's own capacity may be full when they arrive. If there is less
    // than one token to grant, only the fair share is granted; capacity above
    // it returns to the lender and refills there.
    const MilliUnits Granted = std::min(Holder.WantedUnits, Unlent.tokens(Now));
    if (Granted >= OneUnit)
      Next.Units = std::max(Next.Units, Holder.LentShare.Units) + Granted;
  }
  Next.Rate = std::min(Next.Rate, Holder.LentShare.Rate + Unlent.rate());
  Next.Units = std::min(Next.Units, Holder.LentShare.Units + Unlent.capacity());
  if (Settings.Kind == ShareKind::Units)
    Next.Units -= Next.Units % OneUnit;
  return Next;
}

auto ShareLedger::updateGrant(Session &Holder, TimePoint Now) -> void {
  if (!mayLend(Now))
    return;
  updateFairShares(Now);
  const ShareAmount Next = nextShare(Holder, Now);
  if (Next == Holder.Current && Holder.Version > 0)
    return;
  const MilliUnits Before = Holder.LentShare.Units;
  const ShareAmount Limit = maxOf(Total, Lent);
  Holder.Current = Next;
  ++Holder.Version;
  Holder.Unconfirmed.push_back({Holder.Version, Next});
  recountLent(Holder);
  const MilliUnits Growth = Holder.LentShare.Units - Before;
  const MilliUnits Granted = std::min(Growth, Unlent.tokens(Now));
  if (Settings.Kind == ShareKind::Rate && Granted > 0) {
    invariant(Unlent.tryTake(Granted, Now), "lent tokens are available");
    Holder.GrantedTotal += Granted;
  }
  updateUnlent(Now);
  invariant(Lent.Rate <= Limit.Rate && Lent.Units <= Limit.Units,
            "lent shares stay within the total");
}

auto ShareLedger::updateFairShares(TimePoint Now) -> void {
  if (!FairSharesStale && Now - FairSharesComputedAt < FairShareInterval)
    return;
  FairSharesStale = false;
  FairSharesComputedAt = Now;
  if (Settings.Kind == ShareKind::Rate)
    computeFairRates();
  else
    computeFairUnits(Now);
}

auto ShareLedger::computeFairRates() -> void {
  const auto Count = static_cast<MilliUnits>(Sessions.size());
  // A holder without demand keeps a small rate, so that its first requests
  // don't wait for a round trip. The margin above the demand covers its
  // fluctuation.
  const MilliUnits Floor = Total.Rate / 20 / Count;
  std::vector<MilliUnits> Demands;
  for (auto &[Name, Each] : Sessions)
    Demands.push_back(Each.WantedRate * 5 / 4 + Floor);
  const MilliUnits Level = fairLevel(Demands, Total.Rate);
  std::size_t Index = 0;
  for (auto &[Name, Each] : Sessions) {
    const MilliUnits Rate = std::min(Demands[Index++], Level);
    // Three quarters of the burst are divided in proportion to the rates; the
    // lender keeps the rest to grant tokens to holders that ask for them
    // (WantedUnits).
    const double Part =
        static_cast<double>(Rate) /
        static_cast<double>(std::max<MilliUnits>(Total.Rate, 1));
    const auto Units = static_cast<MilliUnits>(
        Part * static_cast<double>(Total.Units) * 3 / 4);
    // A capacity below one token never admits a request; the lender then grants
    // single tokens instead. The bound is two tokens, because a bucket of one
    // is often full, and a full bucket loses its refill.
    Each.FairShare =
        Units < 2 * OneUnit ? ShareAmount() : ShareAmount{Rate, Units};
  }
}

auto ShareLedger::computeFairUnits(TimePoint Now) -> void {
  std::vector<MilliUnits> Demands;
  for (auto &[Name, Each] : Sessions)
    Demands.push_back(Each.WantedUnits);
  const MilliUnits Level = fairLevel(Demands, Total.Units);
  MilliUnits UnitsLeft = Total.Units;
  std::vector<Session *> Order;
  for (auto &[Name, Each] : Sessions) {
    const MilliUnits Units = std::min(Each.WantedUnits, Level);
    Each.FairShare = {0, Units - Units % OneUnit};
    UnitsLeft -= Each.FairShare.Units;
    Order.push_back(&Each);
  }
  // Units that are left after the division into whole units go to the holders
  // in turn.
  const auto Turn =
      static_cast<std::size_t>(Now.time_since_epoch() / TurnInterval) %
      Order.size();
  std::rotate(Order.begin(), Order.begin() + static_cast<std::ptrdiff_t>(Turn),
              Order.end());
  for (Session *Each : Order)
    if (UnitsLeft >= OneUnit && Each->FairShare.Units < Each->WantedUnits) {
      Each->FairShare.Units += OneUnit;
      UnitsLeft -= OneUnit;
    }
}

} // namespace buckthornring
