#include "buckthornring/Limits/ShareHolder.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

constexpr Duration ReportInterval = std::chrono::milliseconds(100);

// Time without a request after which a share is not renewed. With a shorter
// time, workspaces with a request every few seconds wait for each one.
constexpr Duration IdleTimeout = std::chrono::seconds(10);

// Several round trips inside a data centre; waiting requests that arrive
// together share one report.
constexpr Duration UrgentInterval = std::chrono::milliseconds(5);

constexpr Duration DemandInterval = std::chrono::milliseconds(50);

// Weight of the newest demand measurement. With a weight of 0.5, a single
// interval with few requests often left a holder of a small workspace with a
// third of its rate, which took effect whenever the lender could not be
// reached. A sudden rise of demand is covered by tokens.
constexpr double DemandWeight = 0.2;

// A grant for a request older than the last MaxOutstanding has no lease left.
constexpr std::size_t MaxOutstanding = 256;

} // namespace

ShareHolder::ShareHolder(std::string Name, ShareKind Kind,
                         std::uint64_t FirstSession, TimePoint Now)
    : Name(std::move(Name)), Kind(Kind), Session(FirstSession),
      Bucket(0, 0, 0, Now), DemandMeasuredAt(Now), LastDemandAt(Now) {}

auto ShareHolder::follow(std::uint64_t NewTerm) -> void {
  if (NewTerm <= Term)
    return;
  Term = NewTerm;
  AppliedVersion = 0;
  AppliedGrantedTotal = 0;
  ReleasedTotal = 0;
  Outstanding.clear();
  Urgent = true;
}

auto ShareHolder::startSession(TimePoint Now) -> void {
  ++Session;
  Sequence = 0;
  AppliedVersion = 0;
  AppliedGrantedTotal = 0;
  ReleasedTotal = 0;
  Current = ShareAmount();
  InUseOfEarlierSession = InUse;
  Bucket = TokenBucket(0, 0, 0, Now);
  LeaseEnd = TimePoint::min();
  Outstanding.clear();
  Urgent = true;
}

auto ShareHolder::dropIfExpired(TimePoint Now) -> void {
  if (LeaseEnd != TimePoint::min() && Now >= LeaseEnd)
    startSession(Now);
}

auto ShareHolder::reportDue(TimePoint Now) const -> bool {
  if (ReportedAt == TimePoint::min())
    return true;
  // Most workspaces send nothing through most instances. Their shares expire
  // and are requested again with the next request, which waits one round trip.
  const bool Idle = Arrivals == 0 && Waiting == 0 && InUse == 0 && !Urgent &&
                    Now - LastDemandAt >= IdleTimeout;
  if (Idle)
    return false;
  const Duration Since = Now - ReportedAt;
  const bool IsUrgent = Urgent || Waiting > 0;
  return Since >= (IsUrgent ? UrgentInterval : ReportInterval);
}

auto ShareHolder::measureDemand(TimePoint Now) -> void {
  const Duration Span = Now - DemandMeasuredAt;
  if (Span < DemandInterval)
    return;
  if (Arrivals > 0)
    LastDemandAt = Now;
  const double Seconds = std::chrono::duration<double>(Span).count();
  const double Measured = static_cast<double>(Arrivals) / Seconds;
  DemandPerSecond += DemandWeight * (Measured - DemandPerSecond);
  Arrivals = 0;
  DemandMeasuredAt = Now;
}

auto ShareHolder::wantedUnits() const -> MilliUnits {
  const std::uint64_t Count =
      Waiting + (Kind == ShareKind::Units ? std::uint64_t(InUse) : 0);
  return static_cast<MilliUnits>(Count) * OneUnit;
}

auto ShareHolder::makeRequest(TimePoint Now) -> ShareRequest {
  dropIfExpired(Now);
  measureDemand(Now);
  ShareRequest Request;
  Request.Holder = Name;
  Request.Session = Session;
  Request.Term = Term;
  Request.Sequence = ++Sequence;
  Request.AppliedVersion = AppliedVersion;
  Request.Held = Current;
  // A unit in use can't be returned before its request ends.
  Request.Held.Units = std::max(
      Current.Units,
      static_cast<MilliUnits>(InUse - InUseOfEarlierSession) * OneUnit);
  Request.ReleasedTotal = ReleasedTotal;
  Request.WantedRate = static_cast<MilliUnits>(DemandPerSecond * OneUnit);
  Request.WantedUnits = wantedUnits();
  Outstanding.push_back({Sequence, Now});
  if (Outstanding.size() > MaxOutstanding)
    Outstanding.pop_front();
  Urgent = false;
  ReportedAt = Now;
  return Request;
}

auto ShareHolder::apply(const ShareGrant &Grant, TimePoint Now) -> bool {
  dropIfExpired(Now);
  if (Grant.Holder != Name || Grant.Session != Session || Grant.Term != Term)
    return false;
  const auto Answered = std::find_if(
      Outstanding.begin(), Outstanding.end(), [&](const SentRequest &Request) {
        return Request.Sequence == Grant.Sequence;
      });
  if (Answered == Outstanding.end())
    return false;
  const TimePoint NewLeaseEnd = Answered->SentAt + Grant.LeasePeriod;
  // Grants for earlier requests have older versions and shorter leases.
  Outstanding.erase(Outstanding.begin(), Answered + 1);
  if (Grant.Rejected) {
    startSession(Now);
    return true;
  }
  if (Now >= NewLeaseEnd)
    return false;
  LeaseEnd = std::max(LeaseEnd, NewLeaseEnd);
  if (Grant.Version <= AppliedVersion)
    return true;
  // The total granted in a session and term never decreases, unless the lender
  // has lost its record of the session.
  if (Grant.GrantedTotal < AppliedGrantedTotal)
    return false;
  AppliedVersion = Grant.Version;
  const bool IsSmaller =
      Grant.Share.Rate < Current.Rate || Grant.Share.Units < Current.Units;
  Urgent = Urgent || IsSmaller;
  Current = Grant.Share;
  if (Kind == ShareKind::Units)
    return true;
  // Enlarges the capacity for the granted tokens first, so that the sum is
  // limited only once, by the new capacity.
  const MilliUnits Granted = Grant.GrantedTotal - AppliedGrantedTotal;
  AppliedGrantedTotal = Grant.GrantedTotal;
  const MilliUnits Room = Bucket.capacity() + Granted;
  Bucket.reconfigure(Bucket.rate(), Room, Now);
  Bucket.add(Granted, Now);
  ReleasedTotal += Bucket.reconfigure(Current.Rate, Current.Units, Now);
  return true;
}

auto ShareHolder::tryTake(TimePoint Now) -> bool {
  invariant(Kind == ShareKind::Rate, "tokens are taken from a rate share");
  dropIfExpired(Now);
  return Bucket.tryTake(OneUnit, Now);
}

auto ShareHolder::timeUntilToken(TimePoint Now) -> std::optional<Duration> {
  dropIfExpired(Now);
  return Bucket.timeUntil(OneUnit, Now);
}

auto ShareHolder::tryAcquire(TimePoint Now) -> bool {
  invariant(Kind == ShareKind::Units, "units are acquired from a unit share");
  dropIfExpired(Now);
  if (static_cast<MilliUnits>(InUse + 1) * OneUnit > Current.Units)
    return false;
  ++InUse;
  return true;
}

auto ShareHolder::release() -> void {
  invariant(InUse > 0, "a released unit was in use");
  --InUse;
  // Attributing each release to the earlier session first reports at least what
  // this session uses. The lender counts the earlier share as lent until
  // MaxUseDuration has passed.
  if (InUseOfEarlierSession > 0)
    --InUseOfEarlierSession;
  Urgent = Urgent || Waiting > 0;
}

auto ShareHolder::share(TimePoint Now) -> ShareAmount {
  dropIfExpired(Now);
  return Current;
}

} // namespace buckthornring
