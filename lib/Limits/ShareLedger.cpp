#include "buckthornring/Limits/ShareLedger.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace buckthornring {

namespace {

// Targets are computed for all holders at once; at most this often, because
// the cost grows with the number of holders.
constexpr Duration RetargetInterval = std::chrono::milliseconds(20);

// Holders that want more units than there are take turns at this interval,
// longer than a report interval so that each turn is used.
constexpr Duration TurnInterval = std::chrono::milliseconds(250);

auto maxOf(ShareAmount A, ShareAmount B) -> ShareAmount {
  return {std::max(A.Rate, B.Rate), std::max(A.Units, B.Units)};
}

/// Returns the level up to which wants are met when \p Total is divided
/// max-min fairly.
auto fairLevel(std::vector<MilliUnits> Wants, MilliUnits Total) -> MilliUnits {
  std::sort(Wants.begin(), Wants.end());
  auto Left = static_cast<MilliUnits>(Wants.size());
  for (const MilliUnits Want : Wants) {
    if (Want > Total / Left)
      return Total / Left;
    Total -= Want;
    --Left;
  }
  return Wants.empty() ? 0 : Wants.back();
}

} // namespace

ShareLedger::ShareLedger(Options Settings, ShareAmount Total,
                         std::uint64_t Term, TimePoint TermBegan)
    : Settings(Settings), Total(), Term(Term),
      ThawAt(TermBegan + withDrift(Settings.LeasePeriod) +
             withDrift(Settings.UseTail)),
      Rest(0, 0, 0, TermBegan) {
  setTotal(Total, TermBegan);
}

auto ShareLedger::withDrift(Duration Span) const -> Duration {
  return Span + Duration((Span.count() * Settings.DriftPerMille + 999) / 1000);
}

auto ShareLedger::setTotal(ShareAmount NewTotal, TimePoint Now) -> void {
  SetRate = NewTotal.Rate;
  // A holder's clock may run fast by the drift bound and earn that much more.
  NewTotal.Rate = NewTotal.Rate * 1000 / (1000 + Settings.DriftPerMille);
  Total = NewTotal;
  TargetsStale = true;
  reshapeRest(Now);
}

auto ShareLedger::effectiveTotal() const -> ShareAmount {
  // Shares of an earlier giver that are not reported yet may be as large as
  // that giver's total, which is not known here.
  if (!Thawed)
    return {std::numeric_limits<MilliUnits>::max(),
            std::numeric_limits<MilliUnits>::max()};
  ShareAmount InForce = {SetRate, std::max(Total.Units, Lent.Units)};
  // Undoes the reduction for the fastest clock, rounded up.
  if (Lent.Rate > Total.Rate)
    InForce.Rate = (Lent.Rate * (1000 + Settings.DriftPerMille) + 999) / 1000;
  return InForce;
}

auto ShareLedger::reshapeRest(TimePoint Now) -> void {
  // Before the thaw the whole total may be in force at unknown holders.
  if (!thawed(Now))
    return;
  Thawed = true;
  const MilliUnits Rate = std::max<MilliUnits>(Total.Rate - Lent.Rate, 0);
  const MilliUnits Units = std::max<MilliUnits>(Total.Units - Lent.Units, 0);
  Rest.reshape(Rate, Units, Now);
}

auto ShareLedger::recount(Session &Of) -> void {
  ShareAmount Largest = Of.Held;
  for (const Pending &Grant : Of.Unconfirmed)
    Largest = maxOf(Largest, Grant.Share);
  Lent.Rate += Largest.Rate - Of.Counted.Rate;
  Lent.Units += Largest.Units - Of.Counted.Units;
  Of.Counted = Largest;
  invariant(Lent.Rate >= 0 && Lent.Units >= 0, "lent shares are not negative");
}

auto ShareLedger::retire(const Session &Ended) -> void {
  TargetsStale = true;
  if (Settings.Kind == ShareKind::Units) {
    Remnants.push_back({Ended.Counted, Ended.ReclaimAt});
    return;
  }
  Lent.Rate -= Ended.Counted.Rate;
  Lent.Units -= Ended.Counted.Units;
}

auto ShareLedger::expire(TimePoint Now) -> void {
  if (Now < NextReclaim) {
    if (!Thawed)
      reshapeRest(Now);
    return;
  }
  NextReclaim = TimePoint::max();
  for (auto It = Sessions.begin(); It != Sessions.end();) {
    if (Now < It->second.ReclaimAt) {
      NextReclaim = std::min(NextReclaim, It->second.ReclaimAt);
      ++It;
      continue;
    }
    // Tokens of an expired share count as spent; only its capacity returns.
    Lent.Rate -= It->second.Counted.Rate;
    Lent.Units -= It->second.Counted.Units;
    TargetsStale = true;
    It = Sessions.erase(It);
  }
  std::erase_if(Remnants, [&](const Remnant &Old) {
    if (Now < Old.ReclaimAt) {
      NextReclaim = std::min(NextReclaim, Old.ReclaimAt);
      return false;
    }
    Lent.Units -= Old.Share.Units;
    return true;
  });
  reshapeRest(Now);
}

auto ShareLedger::admit(const ShareRequest &Request, TimePoint Now)
    -> Session * {
  const auto Known = Sessions.find(Request.Holder);
  if (Known != Sessions.end()) {
    Session &Old = Known->second;
    if (Request.Session == Old.Number)
      return Request.Sequence > Old.Sequence ? &Old : nullptr;
    if (Request.Session < Old.Number)
      return nullptr;
    // The holder has dropped the share of its earlier session.
    retire(Old);
    Sessions.erase(Known);
  }
  Session &New = Sessions[Request.Holder];
  New.Number = Request.Session;
  TargetsStale = true;
  // A share from an earlier giver is taken over only while nothing else has
  // been lent.
  if (!thawed(Now)) {
    New.Held = Request.Held;
    New.Current = Request.Held;
  }
  return &New;
}

auto ShareLedger::confirm(Session &Of, const ShareRequest &Request,
                          TimePoint Now) -> void {
  Of.Sequence = Request.Sequence;
  Of.WantedRate = Request.WantedRate;
  Of.WantedUnits = Request.WantedUnits;
  Of.ReclaimAt = std::max(Of.ReclaimAt, Now + withDrift(Settings.LeasePeriod) +
                                            withDrift(Settings.UseTail));
  NextReclaim = std::min(NextReclaim, Of.ReclaimAt);
  if (Of.Version > 0) {
    std::erase_if(Of.Unconfirmed, [&](const Pending &Grant) {
      return Grant.Version <= Request.AppliedVersion;
    });
    // A report never raises what the giver counts as lent.
    Of.Held = {std::min(Request.Held.Rate, Of.Counted.Rate),
               std::min(Request.Held.Units, Of.Counted.Units)};
  }
  const MilliUnits Before = Of.Counted.Units;
  recount(Of);
  reshapeRest(Now);
  // Released tokens return only with the capacity that held them. When a later
  // grant has raised the share again, the holder may have refilled it, and the
  // released tokens would come on top.
  const MilliUnits Released = std::min(Request.ReleasedTotal - Of.ReleasedSeen,
                                       Before - Of.Counted.Units);
  Of.ReleasedSeen = std::max(Of.ReleasedSeen, Request.ReleasedTotal);
  if (Released > 0 && thawed(Now))
    Rest.add(Released, Now);
}

auto ShareLedger::handle(const ShareRequest &Request, TimePoint Now)
    -> std::optional<ShareGrant> {
  if (Request.Term != Term || Now >= Authority)
    return std::nullopt;
  expire(Now);
  ShareGrant Answer;
  Answer.Holder = Request.Holder;
  Answer.Session = Request.Session;
  Answer.Term = Term;
  Answer.Sequence = Request.Sequence;
  const auto Known = Sessions.find(Request.Holder);
  const bool Unknown =
      Known == Sessions.end() || Known->second.Number < Request.Session;
  if (Unknown && Request.Held != ShareAmount() && thawed(Now)) {
    Answer.Rejected = true;
    return Answer;
  }
  Session *Of = admit(Request, Now);
  if (Of == nullptr)
    return std::nullopt;
  confirm(*Of, Request, Now);
  regrant(*Of, Now);
  Answer.Version = Of->Version;
  Answer.Share = Of->Current;
  Answer.GrantedTotal = Of->GrantedTotal;
  Answer.LeasePeriod = Settings.LeasePeriod;
  return Answer;
}

auto ShareLedger::nextShare(const Session &Of, TimePoint Now) -> ShareAmount {
  ShareAmount Next = Of.Target;
  if (Settings.Kind == ShareKind::Rate && Of.WantedUnits > 0) {
    // Tokens are given together with the capacity that they are kept in,
    // because the holder's own capacity may be full when they arrive. Without
    // tokens to give, spent capacity goes back and refills here.
    const MilliUnits Give = std::min(Of.WantedUnits, Rest.tokens(Now));
    if (Give >= OneUnit)
      Next.Units = std::max(Next.Units, Of.Counted.Units) + Give;
  }
  Next.Rate = std::min(Next.Rate, Of.Counted.Rate + Rest.rate());
  Next.Units = std::min(Next.Units, Of.Counted.Units + Rest.capacity());
  if (Settings.Kind == ShareKind::Units)
    Next.Units -= Next.Units % OneUnit;
  return Next;
}

auto ShareLedger::regrant(Session &Of, TimePoint Now) -> void {
  if (!thawed(Now))
    return;
  retarget(Now);
  const ShareAmount Next = nextShare(Of, Now);
  if (Next == Of.Current && Of.Version > 0)
    return;
  const MilliUnits Before = Of.Counted.Units;
  const ShareAmount Limit = maxOf(Total, Lent);
  Of.Current = Next;
  ++Of.Version;
  Of.Unconfirmed.push_back({Of.Version, Next});
  recount(Of);
  const MilliUnits Growth = Of.Counted.Units - Before;
  const MilliUnits Give = std::min(Growth, Rest.tokens(Now));
  if (Settings.Kind == ShareKind::Rate && Give > 0) {
    invariant(Rest.tryTake(Give, Now), "lent tokens are there");
    Of.GrantedTotal += Give;
  }
  reshapeRest(Now);
  invariant(Lent.Rate <= Limit.Rate && Lent.Units <= Limit.Units,
            "lent shares stay within the total");
}

auto ShareLedger::retarget(TimePoint Now) -> void {
  if (!TargetsStale && Now - TargetsAt < RetargetInterval)
    return;
  TargetsStale = false;
  TargetsAt = Now;
  if (Settings.Kind == ShareKind::Rate)
    targetRates();
  else
    targetUnits(Now);
}

auto ShareLedger::targetRates() -> void {
  const auto Count = static_cast<MilliUnits>(Sessions.size());
  // A holder without demand keeps a little, so that its first requests don't
  // wait for a round trip. The slack above the demand follows its noise.
  const MilliUnits Floor = Total.Rate / 20 / Count;
  std::vector<MilliUnits> Wants;
  for (auto &[Name, Each] : Sessions)
    Wants.push_back(Each.WantedRate * 5 / 4 + Floor);
  const MilliUnits Level = fairLevel(Wants, Total.Rate);
  std::size_t Index = 0;
  for (auto &[Name, Each] : Sessions) {
    const MilliUnits Rate = std::min(Wants[Index++], Level);
    // Half of the burst follows the rates; the giver keeps the other half for
    // requests of single holders.
    const double Part =
        static_cast<double>(Rate) /
        static_cast<double>(std::max<MilliUnits>(Total.Rate, 1));
    const auto Units = static_cast<MilliUnits>(
        Part * static_cast<double>(Total.Units) * 3 / 4);
    // A capacity below one token never admits a request; the giver then serves
    // single tokens instead. Two, because a share of one is mostly lost to
    // refill that doesn't fit.
    Each.Target =
        Units < 2 * OneUnit ? ShareAmount() : ShareAmount{Rate, Units};
  }
}

auto ShareLedger::targetUnits(TimePoint Now) -> void {
  std::vector<MilliUnits> Wants;
  for (auto &[Name, Each] : Sessions)
    Wants.push_back(Each.WantedUnits);
  const MilliUnits Level = fairLevel(Wants, Total.Units);
  MilliUnits Left = Total.Units;
  std::vector<Session *> Order;
  for (auto &[Name, Each] : Sessions) {
    const MilliUnits Units = std::min(Each.WantedUnits, Level);
    Each.Target = {0, Units - Units % OneUnit};
    Left -= Each.Target.Units;
    Order.push_back(&Each);
  }
  // What is left after whole units goes round.
  const auto Turn =
      static_cast<std::size_t>(Now.time_since_epoch() / TurnInterval) %
      Order.size();
  std::rotate(Order.begin(), Order.begin() + static_cast<std::ptrdiff_t>(Turn),
              Order.end());
  for (Session *Each : Order)
    if (Left >= OneUnit && Each->Target.Units < Each->WantedUnits) {
      Each->Target.Units += OneUnit;
      Left -= OneUnit;
    }
}

} // namespace buckthornring
