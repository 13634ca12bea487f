#include "buckthornring/Limits/ShareHolder.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <utility>

namespace buckthornring {

namespace {

constexpr Duration ReportInterval = std::chrono::milliseconds(100);

// Several round trips inside a data centre; waiting requests that arrive
// together share one report.
// Time without a request after which a share is not renewed. Shorter times make
// workspaces with a request every few seconds wait for each one.
constexpr Duration IdleAfter = std::chrono::seconds(10);
constexpr Duration UrgentInterval = std::chrono::milliseconds(5);

constexpr Duration DemandInterval = std::chrono::milliseconds(50);

// Weight of the newest demand measurement. With a half, a holder of a small
// workspace was often left with a third of its rate by a single quiet interval,
// which showed whenever the giver was away. A sudden rise is met by tokens.
constexpr double DemandWeight = 0.2;

// A grant that answers an older request than this has no lease left.
constexpr std::size_t MaxOutstanding = 256;

} // namespace

ShareHolder::ShareHolder(std::string Name, ShareKind Kind,
                         std::uint64_t FirstSession, TimePoint Now)
    : Name(std::move(Name)), Kind(Kind), Session(FirstSession),
      Bucket(0, 0, 0, Now), MeasuredAt(Now), DemandAt(Now) {}

auto ShareHolder::follow(std::uint64_t NewTerm) -> void {
  if (NewTerm <= Term)
    return;
  Term = NewTerm;
  AppliedVersion = 0;
  GrantedSeen = 0;
  ReleasedTotal = 0;
  Outstanding.clear();
  Urgent = true;
}

auto ShareHolder::startSession(TimePoint Now) -> void {
  ++Session;
  Sequence = 0;
  AppliedVersion = 0;
  GrantedSeen = 0;
  ReleasedTotal = 0;
  Current = ShareAmount();
  InUseBefore = InUse;
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
  // Most workspaces send nothing through most instances. Their shares lapse
  // and are asked for again with the next request, which waits one round trip.
  const bool Idle = Arrivals == 0 && Waiting == 0 && InUse == 0 && !Urgent &&
                    Now - DemandAt >= IdleAfter;
  if (Idle)
    return false;
  const Duration Since = Now - ReportedAt;
  const bool Hurry = Urgent || Waiting > 0;
  return Since >= (Hurry ? UrgentInterval : ReportInterval);
}

auto ShareHolder::measureDemand(TimePoint Now) -> void {
  const Duration Span = Now - MeasuredAt;
  if (Span < DemandInterval)
    return;
  if (Arrivals > 0)
    DemandAt = Now;
  const double Seconds = std::chrono::duration<double>(Span).count();
  const double Measured = static_cast<double>(Arrivals) / Seconds;
  DemandPerSecond += DemandWeight * (Measured - DemandPerSecond);
  Arrivals = 0;
  MeasuredAt = Now;
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
  // A unit in use can't be given back before its request ends.
  Request.Held.Units = std::max(
      Current.Units, static_cast<MilliUnits>(InUse - InUseBefore) * OneUnit);
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
  const auto Answered =
      std::find_if(Outstanding.begin(), Outstanding.end(),
                   [&](const Sent &S) { return S.Sequence == Grant.Sequence; });
  if (Answered == Outstanding.end())
    return false;
  const TimePoint End = Answered->At + Grant.LeasePeriod;
  // Answers to earlier requests carry older versions and shorter leases.
  Outstanding.erase(Outstanding.begin(), Answered + 1);
  if (Grant.Rejected) {
    startSession(Now);
    return true;
  }
  if (Now >= End)
    return false;
  LeaseEnd = std::max(LeaseEnd, End);
  if (Grant.Version <= AppliedVersion)
    return true;
  // Tokens granted in a session and term only grow; a giver that lost its
  // record of the session contradicts itself.
  if (Grant.GrantedTotal < GrantedSeen)
    return false;
  AppliedVersion = Grant.Version;
  const bool Shrinks =
      Grant.Share.Rate < Current.Rate || Grant.Share.Units < Current.Units;
  Urgent = Urgent || Shrinks;
  Current = Grant.Share;
  if (Kind == ShareKind::Units)
    return true;
  // Tokens first fill the old share's room, so the sum is cut only once.
  const MilliUnits Granted = Grant.GrantedTotal - GrantedSeen;
  GrantedSeen = Grant.GrantedTotal;
  const MilliUnits Room = Bucket.capacity() + Granted;
  Bucket.reshape(Bucket.rate(), Room, Now);
  Bucket.add(Granted, Now);
  ReleasedTotal += Bucket.reshape(Current.Rate, Current.Units, Now);
  return true;
}

auto ShareHolder::tryTake(TimePoint Now) -> bool {
  invariant(Kind == ShareKind::Rate, "tokens are taken from a rate");
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
  // Counting every release as one of the earlier session reports at least what
  // this session uses; the giver keeps the earlier share until its use tail.
  if (InUseBefore > 0)
    --InUseBefore;
  Urgent = Urgent || Waiting > 0;
}

auto ShareHolder::share(TimePoint Now) -> ShareAmount {
  dropIfExpired(Now);
  return Current;
}

} // namespace buckthornring
