#include "Rollout/RolloutController.h"

#include <algorithm>
#include <cmath>

namespace buckthornring {

namespace {

/// Part of the exposure share that is used; the rest covers requests that the
/// instances count and the service does not get.
constexpr double UsedShare = 0.92;
constexpr double Million = 1e6;

/// Part of the share by responses of the new version or by time, whichever
/// comes first: a version that is bad from the start gets few requests.
struct GrowthStep {
  std::uint32_t Responses;
  Duration Time;
  double Part;
};
constexpr std::array<GrowthStep, 3> GrowthSteps = {
    {{20, std::chrono::milliseconds(2000), 1.0},
     {8, std::chrono::milliseconds(1000), 0.7},
     {0, Duration(0), 0.35}}};

/// Part of the exposure bound at which the keys of a divided service leave the
/// targets of the new version: moving them takes time.
constexpr double KeyExposure = 0.7;

/// Period after which other targets of the new version are used, so that slow
/// and fast ones average out.
constexpr Duration TargetPeriod = std::chrono::milliseconds(1500);

constexpr Duration SnapshotInterval = std::chrono::milliseconds(500);
/// A target that crashes fails at most the requests in its slots and queue.
/// They are reported within 0.4 s, so they are in two snapshots at most, and
/// are left out of the comparison: old targets crash as well.
constexpr std::uint32_t MaxFailuresOfACrash = 10;
/// Spans that are compared by themselves, since a version may become bad later.
constexpr std::array<Duration, 2> RecentSpans = {
    {std::chrono::milliseconds(2000), std::chrono::milliseconds(4000)}};

/// Time before the deadline at which the verdict is taken, as a part of the
/// length within bounds: a lost leader may have to be replaced (2.6 s) and the
/// next one to learn of the instances (0.9 s), all instances have to learn of
/// the verdict (0.4 s for a report and its reply, more if they are lost), and
/// requests in progress have to end. Keys take longer to move.
constexpr double CompletionPart = 0.5;
constexpr double DividedCompletionPart = 0.5;
constexpr Duration MinCompletionTime = std::chrono::milliseconds(2500);
constexpr Duration MaxCompletionTime = std::chrono::milliseconds(6000);
constexpr Duration MaxDividedCompletionTime = std::chrono::milliseconds(8000);

/// Time in `complete` before `succeeded` is written, and the time before the
/// deadline from which it is written without further waiting: a lost leader
/// may have to be replaced.
constexpr Duration MinCompletePeriod = std::chrono::milliseconds(1000);
constexpr Duration SuccessMargin = std::chrono::milliseconds(4500);

/// Responses of the new version that the verdict asks for, unless the service
/// gets too few requests for them.
constexpr std::uint32_t MinEvidence = 25;
constexpr std::uint32_t FewRequests = 400;

/// Least slots of the new version, as a part of the old version's, for all
/// requests to go there.
constexpr double MinSlotPart = 0.5;

/// Part of the new version's slots at which it is compared: a single target
/// may be a slow one, and cold ones are not used beside others.
constexpr double MinWarmPart = 0.3;
/// Time before the verdict at which it is compared anyway. The share takes 2 s
/// to grow, and 25 responses take a second of 250 requests/s.
constexpr Duration MinComparePeriod = std::chrono::milliseconds(3000);

/// Slowdown that ends a rollout in `complete`, when all targets share the load.
constexpr double CompleteSlowness = 2.5;

/// An instance that has not reported for this time does not delay the end.
constexpr Duration SilentPeriod = std::chrono::milliseconds(3000);

auto pooled(const OutcomesByRoute &Routes) -> RolloutOutcomes {
  RolloutOutcomes Sum;
  for (const auto &[Route, Outcomes] : Routes)
    Sum.add(Outcomes);
  return Sum;
}

auto addAll(OutcomesByRoute &Sum, const OutcomesByRoute &Part) -> void {
  for (const auto &[Route, Outcomes] : Part)
    Sum[Route].add(Outcomes);
}

auto difference(const OutcomesByRoute &Sum, const OutcomesByRoute &Earlier)
    -> OutcomesByRoute {
  OutcomesByRoute Out;
  for (const auto &[Route, Outcomes] : Sum) {
    const auto Found = Earlier.find(Route);
    Out[Route] =
        Found == Earlier.end() ? Outcomes : Outcomes.since(Found->second);
  }
  return Out;
}

auto addReport(RolloutController::Totals &Sum, const RolloutReport &Report)
    -> void {
  Sum.Requests += Report.Requests;
  Sum.SentToNew += Report.SentToNew;
  addAll(Sum.Old, Report.Old);
  addAll(Sum.New, Report.New);
}

} // namespace

RolloutController::RolloutController(RolloutOrder Order,
                                     const RolloutBounds &Bounds, bool Divided,
                                     std::string Base, TimePoint SeenAt)
    : Order(std::move(Order)), Id(this->Order.Revision), Bounds(Bounds),
      Divided(Divided), Base(std::move(Base)), StartedAt(SeenAt) {}

auto RolloutController::continueFrom(const RolloutRecord &Record,
                                     TimePoint ReadAt) -> void {
  Id = Record.Order;
  if (!Record.Base.empty())
    Base = Record.Base;
  StartedAt = std::min(StartedAt, ReadAt - Record.Elapsed);
  Stage = InForce = Record.Stage;
  Written = Record.Stage;
  InForceAt = ReadAt;
  Cause = Record.Cause;
}

auto RolloutController::recordReport(const InstanceId &Instance,
                                     const std::string &Process,
                                     const RolloutReport &Report, TimePoint Now)
    -> void {
  Reported &Known = Reports[Instance];
  if (!Known.Process.empty() && Known.Process != Process)
    addReport(Known.Earlier, std::exchange(Known.Latest, {}));
  Known.Process = Process;
  const bool OfOtherOrder = Report.Order != 0 && Report.Order != Id;
  Known.Latest = OfOtherOrder ? RolloutReport() : Report;
  Known.At = Now;
  learnAge(Report, Now);
  // An earlier leader's decision may be missing from a restored record.
  if (Report.Order == Id)
    follow(Report.Stage, Now);
}

// An instance that has not read this order yet may report the age of an
// earlier one of the same service.
auto RolloutController::learnAge(const RolloutReport &Report, TimePoint Now)
    -> void {
  const bool OfThisOrder = Report.Order == Id || Report.Order == 0;
  if (Report.Age && OfThisOrder && Report.SeenRevision >= Id)
    StartedAt = std::min(StartedAt, Now - *Report.Age);
}

auto RolloutController::adopt(const RolloutRecord &Record, TimePoint Now)
    -> void {
  if (Record.Order == Id)
    follow(Record.Stage, Now);
}

auto RolloutController::follow(RolloutStage Other, TimePoint Now) -> void {
  if (Other == RolloutStage::Stopped && Stage != RolloutStage::Stopped)
    moveTo(RolloutStage::Stopped, "stopped by another leader", Now);
  else if (Other == RolloutStage::Complete &&
           (Stage == RolloutStage::Hold || Stage == RolloutStage::Compare))
    moveTo(RolloutStage::Complete, "completed by another leader", Now);
}

auto RolloutController::sumReports() -> void {
  Sums = Totals();
  for (const auto &[Instance, Known] : Reports) {
    addReport(Sums, Known.Latest);
    Sums.Requests += Known.Earlier.Requests;
    Sums.SentToNew += Known.Earlier.SentToNew;
    addAll(Sums.Old, Known.Earlier.Old);
    addAll(Sums.New, Known.Earlier.New);
  }
}

auto RolloutController::keepSnapshot(TimePoint Now) -> void {
  if (!Snapshots.empty() && Now - Snapshots.back().first < SnapshotInterval)
    return;
  const std::uint32_t Before =
      Snapshots.empty() ? 0 : pooled(Snapshots.back().second.New).Failures;
  const std::uint32_t Failures = pooled(Sums.New).Failures;
  NewFailures.push_back(Failures > Before ? Failures - Before : 0);
  Snapshots.emplace_back(Now, Sums);
  while (Now - Snapshots.front().first > RecentSpans.back() + SnapshotInterval)
    Snapshots.pop_front();
}

auto RolloutController::snapshotBefore(TimePoint Time) const -> const Totals * {
  const Totals *Found = nullptr;
  for (const auto &[At, Snapshot] : Snapshots)
    if (At <= Time)
      Found = &Snapshot;
  return Found;
}

auto RolloutController::failuresOfACrash(Duration Span) const -> std::uint32_t {
  const std::size_t Count =
      std::min<std::size_t>(NewFailures.size(), Span / SnapshotInterval + 2);
  std::uint32_t Most = 0;
  std::uint32_t Previous = 0;
  for (std::size_t Index = NewFailures.size() - Count;
       Index < NewFailures.size(); ++Index) {
    Most = std::max(Most, Previous + NewFailures[Index]);
    Previous = NewFailures[Index];
  }
  return std::min(Most, MaxFailuresOfACrash);
}

auto RolloutController::badSince(const Totals *Earlier, Duration Span,
                                 Strictness Wanted) -> bool {
  const std::uint32_t Excused = failuresOfACrash(Span);
  const OutcomesByRoute New =
      Earlier ? difference(Sums.New, Earlier->New) : Sums.New;
  const auto Judge = [&](const OutcomesByRoute &Old,
                         const OutcomesByRoute &Fresh,
                         const std::string &Route) {
    const VersionComparison Found =
        compareVersions(Old, Fresh, Excused, Wanted);
    if (Found.Bad || Route.empty()) {
      Latest = Found;
      LatestRoute = Route;
    }
    return Found.Bad;
  };
  if (Judge(Sums.Old, New, ""))
    return true;
  for (const auto &[Route, Outcomes] : New) {
    const auto Old = Sums.Old.find(Route);
    if (Old != Sums.Old.end() && Judge({*Old}, {{Route, Outcomes}}, Route))
      return true;
  }
  return false;
}

auto RolloutController::isBad(Strictness Wanted, TimePoint Now) -> bool {
  for (const Duration Span : RecentSpans)
    if (const Totals *Earlier = snapshotBefore(Now - Span))
      if (badSince(Earlier, Span, Wanted))
        return true;
  return badSince(nullptr, elapsed(Now), Wanted);
}

auto RolloutController::badInComplete(TimePoint Now) -> bool {
  if (!BeforeComplete ||
      !badSince(&*BeforeComplete, Now - InForceAt, Strictness::Early))
    return false;
  return std::string(Latest.Cause) == "failures" ||
         Latest.SlownessRatio > CompleteSlowness;
}

auto RolloutController::completionTime() const -> Duration {
  const double Part = Divided ? DividedCompletionPart : CompletionPart;
  return std::clamp(std::chrono::duration_cast<Duration>(Order.Length * Part),
                    MinCompletionTime,
                    Divided ? MaxDividedCompletionTime : MaxCompletionTime);
}

auto RolloutController::latestCompletion() const -> Duration {
  return Order.Length - MinCompletionTime;
}

auto RolloutController::enoughEvidence() const -> bool {
  const std::uint32_t Responses = pooled(Sums.New).Requests;
  // Sends that get no response are rejected by the new targets.
  return Responses >= MinEvidence ||
         (Sums.Requests < FewRequests && 2 * Responses >= Sums.SentToNew);
}

auto RolloutController::mayCompare(const View &Current, TimePoint Now) const
    -> bool {
  return Current.WarmNewSlots >= MinWarmPart * Current.NewSlots ||
         elapsed(Now) >= Order.Length - completionTime() - MinComparePeriod;
}

auto RolloutController::moveTo(RolloutStage Next, std::string Reason,
                               TimePoint Now) -> void {
  Stage = Next;
  Cause = std::move(Reason);
  if (Next == RolloutStage::Complete)
    BeforeComplete = Sums;
  if (Next != RolloutStage::Stopped)
    return;
  // Needs no store: it only takes requests away from the new version.
  InForce = Next;
  InForceAt = Now;
}

auto RolloutController::step(const View &Current, TimePoint Now) -> void {
  sumReports();
  keepSnapshot(Now);
  switch (Stage) {
  case RolloutStage::Hold:
  case RolloutStage::Compare:
    return stepCompare(Current, Now);
  case RolloutStage::Complete:
    return stepComplete(Current, Now);
  case RolloutStage::Stopped:
    return;
  }
}

auto RolloutController::stepCompare(const View &Current, TimePoint Now)
    -> void {
  if (isBad(Strictness::Early, Now))
    return moveTo(RolloutStage::Stopped, Latest.Cause, Now);
  const Duration Elapsed = elapsed(Now);
  if (Elapsed >= Order.Length)
    return moveTo(RolloutStage::Stopped, "deadline", Now);
  if (Current.NewSlots == 0) {
    Cause = "no target of the new version is ready";
    if (Stage == RolloutStage::Compare)
      moveTo(RolloutStage::Hold, Cause, Now);
    return;
  }
  // There is nothing to compare with.
  if (Current.OldSlots == 0 && Current.MembersKnown)
    return moveTo(RolloutStage::Complete, "no target of another version", Now);
  if (Stage == RolloutStage::Hold) {
    Cause = "targets of the new version are cold";
    if (mayCompare(Current, Now))
      moveTo(RolloutStage::Compare, "targets are ready", Now);
    return;
  }
  const std::uint32_t Responses = pooled(Sums.New).Requests;
  const Duration Compared =
      InForce == RolloutStage::Compare ? Now - InForceAt : Duration(0);
  for (const GrowthStep &Step : GrowthSteps)
    if (Responses >= Step.Responses || Compared >= Step.Time) {
      SharePpm = static_cast<std::uint32_t>(Bounds.ExposureShare * UsedShare *
                                            Step.Part * Million);
      break;
    }
  Cause = "comparing";
  // The keys that new targets own may get more requests than planned.
  if (Divided &&
      Sums.SentToNew > KeyExposure * (Bounds.ExposureShare * Sums.Requests +
                                      Bounds.ExposureSlack)) {
    SharePpm = 0;
    Cause = "exposure bound";
  }
  if (Elapsed < Order.Length - completionTime() || !Current.MembersKnown)
    return;
  if (isBad(Strictness::Final, Now))
    return moveTo(RolloutStage::Stopped, Latest.Cause, Now);
  const bool Last = Elapsed >= latestCompletion();
  // Cold targets take few requests until they are warm.
  const std::uint32_t Usable = Last ? Current.NewSlots : Current.WarmNewSlots;
  const bool Capable = Usable >= MinSlotPart * Current.OldSlots;
  if (enoughEvidence() && Capable)
    return moveTo(RolloutStage::Complete, "not worse", Now);
  Cause = Capable ? "too few responses" : "too few warm targets";
  if (Last)
    moveTo(RolloutStage::Stopped, Cause, Now);
}

auto RolloutController::allLeftOld(const View &Current, TimePoint Now) const
    -> bool {
  if (Current.KeysAtOld || !Current.MembersKnown)
    return false;
  return std::all_of(Current.Members.begin(), Current.Members.end(),
                     [&](const InstanceId &Instance) {
                       const auto Found = Reports.find(Instance);
                       if (Found == Reports.end())
                         return false;
                       const Reported &Known = Found->second;
                       if (Now - Known.At > SilentPeriod)
                         return true;
                       return Known.At > InForceAt &&
                              Known.Latest.Order == Id &&
                              Known.Latest.Stage == RolloutStage::Complete &&
                              Known.Latest.RunningAtOld == 0;
                     });
}

auto RolloutController::stepComplete(const View &Current, TimePoint Now)
    -> void {
  if (Succeeded)
    return;
  if (InForce != RolloutStage::Complete) {
    // Without the store the requests stay where they are.
    if (isBad(Strictness::Early, Now))
      moveTo(RolloutStage::Stopped, Latest.Cause, Now);
    else if (elapsed(Now) >= Order.Length)
      moveTo(RolloutStage::Stopped, "deadline", Now);
    return;
  }
  if (badInComplete(Now))
    return moveTo(RolloutStage::Stopped, Latest.Cause, Now);
  if (!allLeftOld(Current, Now)) {
    Cause = Current.KeysAtOld ? "keys at other versions"
                              : "requests at other versions";
    return;
  }
  const Duration Elapsed = elapsed(Now);
  Succeeded = Now - InForceAt >= MinCompletePeriod &&
              Elapsed >= Order.Length - SuccessMargin;
  Cause = Succeeded ? "all requests moved" : "observing";
}

auto RolloutController::pendingRecord(TimePoint Now) const
    -> std::optional<RolloutRecord> {
  if (Written == Stage)
    return std::nullopt;
  RolloutRecord Record;
  Record.Order = Id;
  Record.To = Order.To;
  Record.Base = Base;
  Record.Length = Order.Length;
  Record.Elapsed = elapsed(Now);
  Record.Stage = Stage;
  Record.SharePpm = SharePpm;
  Record.Cause = Cause;
  Record.Requests = Sums.Requests;
  Record.Old = pooled(Sums.Old);
  Record.New = pooled(Sums.New);
  return Record;
}

auto RolloutController::recorded(const RolloutRecord &Record, TimePoint Now)
    -> void {
  Written = Record.Stage;
  if (InForce == RolloutStage::Stopped || InForce == Record.Stage)
    return;
  InForce = Record.Stage;
  InForceAt = Now;
}

auto RolloutController::notice(TimePoint Now) const -> RolloutNotice {
  RolloutNotice Out;
  Out.Order = Id;
  Out.To = Order.To;
  Out.Stage = InForce;
  if (InForce == RolloutStage::Compare && Stage == RolloutStage::Compare)
    Out.SharePpm = SharePpm;
  Out.Period = static_cast<std::uint32_t>(elapsed(Now) / TargetPeriod);
  return Out;
}

auto RolloutController::dueState() const -> RolloutState {
  if (Stage == RolloutStage::Stopped)
    return RolloutState::RolledBack;
  return Succeeded ? RolloutState::Succeeded : RolloutState::Running;
}

} // namespace buckthornring
