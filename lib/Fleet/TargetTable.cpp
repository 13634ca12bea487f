#include "Fleet/TargetTable.h"

#include <algorithm>
#include <cmath>

namespace buckthornring {

namespace {

/// Processing time of a request that is assumed before the first response.
constexpr Duration DefaultProcessingTime = std::chrono::milliseconds(100);

/// Number of requests at a target, in multiples of its slots, from which it
/// gets no more. A full target resets connections; whether it has executed a
/// request that must not be repeated is then unknown, so non-idempotent
/// requests keep a greater distance from that point.
constexpr double IdempotentQueuePerSlot = 2.5;
constexpr double NonIdempotentQueuePerSlot = 2.0;
/// A key with an owner has no other target, but a longer queue would make all
/// its requests late. A queue of 2 per slot gave more goodput in a surge than
/// 2.5 or 1.5 with SendWindow ("bench_measure overload").
constexpr double OwnerQueuePerSlot = 2.0;
/// A smaller window is taken for this one in an outlook: the longest interval
/// between requests is about 2 s then.
constexpr double MinOutlookWindow = 0.05;
/// With OwnerAdmission::EqualShares.
constexpr double EqualSharesQueuePerSlot = 2.5;

/// Multiple of an equal share of the owner's request limit that one instance
/// may use. An instance learns of the requests of others only from responses,
/// so requests for keys that become busy would fill their owner before any
/// instance knows.
constexpr double OwnerShareFactor = 2.2;

/// Time for which the mean load of a service's targets is used. In 10 ms, a
/// target of 2 slots ends a fifth of a request.
constexpr Duration ServiceLoadPeriod = std::chrono::milliseconds(10);

/// Age of the last report of a service's targets from which nothing is known of
/// their load.
constexpr Duration ReportLifetime = std::chrono::seconds(1);

/// Between two load notices, each neighbour in a data centre selects targets by
/// the same loads. If all of them compared all targets, they would fill the
/// same few, so each request compares a random sample in each data centre
/// group: this many of the targets in the own data centre, divided by the
/// number of neighbours, or MinSampleSize. A sample of 3 left too many free
/// targets unseen ("bench_measure overload": goodput in calm 0.974 with 71
/// instances).
constexpr double SampledShareOfAllNeighbours = 5;
constexpr std::uint32_t MinSampleSize = 3;

/// Penalty of targets in other data centres, as a fraction of the target
/// latency of the request: traffic between data centres is charged by the byte.
constexpr double CrossDataCentrePenalty = 0.5;

/// Penalty of a target at which every request fails, in multiples of the target
/// latency.
constexpr double FailurePenalty = 4.0;

/// Random fraction of the expected time, so that instances with the same
/// information do not all select the same target.
constexpr double Jitter = 0.1;

constexpr Duration InitialBackoff = std::chrono::milliseconds(300);
constexpr Duration MaxBackoff = std::chrono::seconds(2);

/// Fraction of a cold target's limit that is used: requests of different
/// instances reach the target with different delays, and the instances learn of
/// a changed fleet size one report after another.
constexpr double UsedColdLimitShare = 0.7;

/// Time within which all instances learn of a changed fleet size, after some
/// missed replies of the leader, and the second over which the limit of a cold
/// target counts.
constexpr Duration SizeChangePeriod = std::chrono::milliseconds(2500);

constexpr double ProcessingTimeWeight = 0.02; ///< About the last 50 responses.

/// Time for which a target that has left is remembered. It is longer than the
/// age of a copy from which the directory may be restored.
constexpr Duration DepartureMemory = std::chrono::seconds(120);
constexpr std::size_t MaxDepartures = 1024;

/// Time after which a record that is not renewed has certainly expired: three
/// heartbeat intervals of the targets and the delay of the store.
constexpr Duration RecordLifetime = std::chrono::seconds(5);

/// Whether \p Record was written before \p Existing by the same target.
auto outdated(const TargetRecord &Record, const TargetRecord &Existing)
    -> bool {
  if (Record.StartedAtMs != Existing.StartedAtMs)
    return Record.StartedAtMs < Existing.StartedAtMs;
  return Record.Sequence < Existing.Sequence;
}

} // namespace

auto TargetTable::copy() const -> TargetTable {
  TargetTable Out = *this;
  for (auto &[Id, State] : Out.Targets)
    State = std::make_shared<TargetState>(*State);
  for (auto &[Service, Members] : Out.ByService)
    for (TargetPtr &Member : Members)
      Member = Out.Targets.at(Member->Record.Id);
  return Out;
}

auto TargetTable::apply(const TargetRecord &Record, TimePoint Now) -> bool {
  const auto Existing = find(Record.Id);
  if (Existing && outdated(Record, Existing->Record)) {
    Existing->MissingUntil.reset();
    return false;
  }
  if (!Existing && hasDeparted(Record, Now))
    return false;
  const bool NewIncarnation =
      !Existing || Existing->Record.StartedAtMs != Record.StartedAtMs ||
      Existing->Record.Service != Record.Service ||
      Existing->Record.Address != Record.Address;
  if (!NewIncarnation) {
    Existing->Record = Record;
    Existing->MissingUntil.reset();
    if (Record.RemainingColdTime > Duration(0))
      Existing->ColdUntil =
          std::max(Existing->ColdUntil, Now + Record.RemainingColdTime);
    return false;
  }
  erase(Record.Id);
  auto Added = std::make_shared<TargetState>();
  Added->Record = Record;
  const std::size_t Seed = std::hash<std::string>()(
      TableSettings.Instance.str() + "/" + Record.Id.str());
  Added->Window = SendWindow(Seed);
  Added->Returns = ReturnTimes(Seed);
  Added->Announced = Announcements.of(Record, Now);
  if (Record.RemainingColdTime > Duration(0))
    Added->ColdUntil = Now + Record.RemainingColdTime;
  Targets[Record.Id] = Added;
  ByService[Record.Service].push_back(std::move(Added));
  return true;
}

auto TargetTable::remove(const TargetId &Id, TimePoint KeepUntil, TimePoint Now)
    -> void {
  const auto Existing = find(Id);
  const auto Departed = Departures.find(Id);
  if (Departed != Departures.end())
    forgetReturned(Departed->second, Now);
  if (!Existing)
    return;
  if (Now >= KeepUntil)
    return depart(Id, Now);
  if (!Existing->MissingUntil)
    Existing->MissingUntil = KeepUntil;
}

auto TargetTable::replace(const std::vector<TargetRecord> &Records,
                          TimePoint KeepUntil, TimePoint Now) -> void {
  std::set<TargetId> Listed;
  for (const TargetRecord &Record : Records) {
    Listed.insert(Record.Id);
    apply(Record, Now);
  }
  std::vector<TargetId> MissingIds;
  for (const auto &[Id, State] : Targets)
    if (!Listed.contains(Id))
      MissingIds.push_back(Id);
  for (const TargetId &Id : MissingIds)
    remove(Id, KeepUntil, Now);
  for (auto &[Id, Departed] : Departures)
    if (!Listed.contains(Id))
      forgetReturned(Departed, Now);
}

auto TargetTable::dropMissing(TimePoint Now) -> bool {
  std::vector<TargetId> ExpiredIds;
  for (const auto &[Id, State] : Targets)
    if (State->MissingUntil && Now >= *State->MissingUntil)
      ExpiredIds.push_back(Id);
  for (const TargetId &Id : ExpiredIds)
    depart(Id, Now);
  Announcements.expire(Now);
  return !ExpiredIds.empty();
}

auto TargetTable::depart(const TargetId &Id, TimePoint Now) -> void {
  if (Departures.size() >= MaxDepartures)
    Departures.erase(std::min_element(
        Departures.begin(), Departures.end(),
        [](const auto &First, const auto &Second) {
          return First.second.ForgetAt < Second.second.ForgetAt;
        }));
  Departures[Id] = {Targets.at(Id)->Record, Now + DepartureMemory, {}};
  erase(Id);
}

auto TargetTable::hasDeparted(const TargetRecord &Record, TimePoint Now)
    -> bool {
  const auto Found = Departures.find(Record.Id);
  if (Found == Departures.end())
    return false;
  Departure &Departed = Found->second;
  if (Now >= Departed.ForgetAt || outdated(Departed.Last, Record)) {
    Departures.erase(Found);
    return false;
  }
  if (!Departed.Returned)
    Departed.ForgetAt = Now + RecordLifetime;
  Departed.Returned = Record;
  return true;
}

auto TargetTable::forgetReturned(Departure &Departed, TimePoint Now) -> void {
  if (!Departed.Returned)
    return;
  Departed.Returned.reset();
  Departed.ForgetAt = Now + DepartureMemory;
}

auto TargetTable::readmitDeparted(TimePoint Now) -> bool {
  std::vector<TargetRecord> Readmitted;
  for (const auto &[Id, Departed] : Departures)
    if (Departed.Returned && Now >= Departed.ForgetAt)
      Readmitted.push_back(*Departed.Returned);
  std::erase_if(Departures, [Now](const auto &Entry) {
    return Now >= Entry.second.ForgetAt;
  });
  for (const TargetRecord &Record : Readmitted)
    apply(Record, Now);
  return !Readmitted.empty();
}

auto TargetTable::erase(const TargetId &Id) -> void {
  const auto Existing = Targets.find(Id);
  if (Existing == Targets.end())
    return;
  std::erase(ByService[Existing->second->Record.Service], Existing->second);
  Targets.erase(Existing);
}

auto TargetTable::setEvacuated(std::set<DataCentreId> DataCentres,
                               TimePoint Now) -> void {
  // Targets of a data centre that returns to service may have become cold
  // meanwhile.
  for (const DataCentreId &Returned : Evacuated)
    if (!DataCentres.contains(Returned))
      for (const auto &[Id, State] : Targets)
        if (State->Record.DataCentre == Returned)
          State->UnverifiedUntil = Now + TableSettings.RecordDelay;
  Evacuated = std::move(DataCentres);
}

auto TargetTable::find(const TargetId &Id) const -> TargetPtr {
  const auto Found = Targets.find(Id);
  return Found == Targets.end() ? nullptr : Found->second;
}

auto TargetTable::targetsOfService(const ServiceId &Service) const
    -> const std::vector<TargetPtr> & {
  static const std::vector<TargetPtr> Empty;
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? Empty : Found->second;
}

auto TargetTable::announcing(const ServiceId &Service, TimePoint Now) const
    -> std::vector<TargetPtr> {
  std::vector<TargetPtr> Out;
  for (const TargetPtr &Target : targetsOfService(Service))
    if (Target->Announced->refusesRequests(Now))
      Out.push_back(Target);
  return Out;
}

auto TargetTable::allPausedUntil(const ServiceId &Service, TimePoint Now) const
    -> std::optional<TimePoint> {
  std::optional<TimePoint> First;
  bool AnyPaused = false;
  for (const TargetPtr &Target : targetsOfService(Service)) {
    if (!takesRequests(*Target))
      continue;
    const bool Paused = Target->Announced->paused(Now);
    const TimePoint UnreachableUntil = unreachableUntil(*Target, Now);
    if (!Paused && Now >= UnreachableUntil)
      return std::nullopt;
    AnyPaused = AnyPaused || Paused;
    const TimePoint Until =
        std::max(Target->Announced->pausedUntil(), UnreachableUntil);
    First = std::min(First.value_or(Until), Until);
  }
  return AnyPaused ? First : std::nullopt;
}

auto TargetTable::takesRequests(const TargetState &Target) const -> bool {
  return !Target.Record.Draining && !Target.Announced->leaving() &&
         !Evacuated.contains(Target.Record.DataCentre);
}

auto TargetTable::returnLimitReached(const TargetState &Target,
                                     TimePoint Now) const -> bool {
  const auto Limit = Target.Announced->requestLimit(Now);
  return Limit && Target.Load.inFlight() >= *Limit;
}

auto TargetTable::coldLimitReached(TargetState &Target, TimePoint Now) -> bool {
  if (!Target.cold(Now))
    return false;
  const auto Limit = ColdLimits.find(Target.Record.Service);
  if (Limit == ColdLimits.end() || Limit->second.RequestsPerSecond <= 0)
    return false;
  // An instance that has just started does not know its share of the limit.
  if (!Fleet.known())
    return true;
  const double UsableLimit =
      UsedColdLimitShare * Limit->second.RequestsPerSecond;
  double InstanceShare = coldShare(Target.Record, Fleet, UsableLimit);
  // Until all instances know the size, those that do must not send more than
  // the others leave to them.
  for (const auto &[ReplacedAt, Size] : ReplacedSizes)
    if (Now - ReplacedAt < SizeChangePeriod)
      InstanceShare =
          std::min(InstanceShare, coldShare(Target.Record, Size, UsableLimit));
  return static_cast<double>(Target.Sends.count(Now)) >=
         std::floor(InstanceShare);
}

auto TargetTable::coldShare(const TargetRecord &Target, const FleetSize &Size,
                            double UsableLimit) const -> double {
  const bool SameDataCentre = Target.DataCentre == TableSettings.DataCentre;
  // If the limit is below the number of instances, only those in the data
  // centre of the target use it.
  double InstanceShare = UsableLimit / std::max(1U, Size.Instances);
  if (InstanceShare < 1)
    InstanceShare =
        SameDataCentre ? UsableLimit / std::max(1U, Size.InOwnDataCentre) : 0;
  // If that is still less than one request per instance, only a subset of them
  // sends.
  if (InstanceShare > 0 && InstanceShare < 1)
    InstanceShare =
        isChosenSender(Target, InstanceShare * UsedColdLimitShare) ? 1 : 0;
  return InstanceShare;
}

auto TargetTable::setFleetSize(FleetSize Size, TimePoint Now) -> void {
  std::erase_if(ReplacedSizes, [Now](const auto &Entry) {
    return Now - Entry.first >= SizeChangePeriod;
  });
  if (Fleet.known() && Fleet != Size)
    ReplacedSizes.emplace_back(Now, Fleet);
  Fleet = Size;
}

auto TargetTable::isChosenSender(const TargetRecord &Target, double Share) const
    -> bool {
  constexpr std::size_t Steps = 1000;
  const std::size_t Hash = std::hash<std::string>()(
      TableSettings.Instance.str() + "/" + Target.Id.str() + "/" +
      std::to_string(Target.StartedAtMs));
  return static_cast<double>(Hash % Steps) < Share * Steps;
}

auto TargetTable::typicalProcessingTime(const ServiceId &Service) const
    -> Duration {
  const auto Found = ProcessingTimeUs.find(Service);
  return Found == ProcessingTimeUs.end()
             ? DefaultProcessingTime
             : Duration(static_cast<std::int64_t>(Found->second));
}

auto TargetTable::processingTime(const TargetState &Target, TimePoint Now) const
    -> Duration {
  return Target.Load.processingTime(Now).value_or(
      typicalProcessingTime(Target.Record.Service));
}

auto TargetTable::expectedTime(const TargetState &Target, TimePoint Now) const
    -> Duration {
  const auto ProcessingTime =
      static_cast<double>(processingTime(Target, Now).count());
  const double Slots = std::max(1U, Target.Record.Slots);
  const double Queue = Target.Load.queue(Now);
  const double Waiting = std::max(0.0, Queue + 1 - Slots) / Slots;
  // Targets slow down before all slots are taken.
  const double SlotContention = 0.15 * std::min(1.0, Queue / Slots);
  return Duration(static_cast<std::int64_t>(ProcessingTime *
                                            (1 + Waiting + SlotContention)));
}

auto TargetTable::sampleSize(const std::vector<TargetPtr> &Candidates) const
    -> std::uint32_t {
  const auto Local = static_cast<double>(std::count_if(
      Candidates.begin(), Candidates.end(), [this](const TargetPtr &Target) {
        return Target->Record.DataCentre == TableSettings.DataCentre;
      }));
  return std::max(MinSampleSize, static_cast<std::uint32_t>(
                                     SampledShareOfAllNeighbours * Local /
                                     std::max(1U, Fleet.InOwnDataCentre)));
}

auto TargetTable::unavailable(TargetState &Target, const TargetRequest &Request,
                              TimePoint Now) -> NoTargetReason {
  const double QueuePerSlot =
      Request.Idempotent ? IdempotentQueuePerSlot : NonIdempotentQueuePerSlot;
  if (Target.Announced->paused(Now))
    return NoTargetReason::Paused;
  if (Now < unreachableUntil(Target, Now))
    return NoTargetReason::Down;
  if (Target.Load.queue(Now) >= QueuePerSlot * Target.Record.Slots ||
      returnLimitReached(Target, Now))
    return NoTargetReason::Busy;
  return coldLimitReached(Target, Now) ? NoTargetReason::Cold
                                       : NoTargetReason::None;
}

auto TargetTable::cost(const TargetState &Target, const TargetRequest &Request,
                       Duration ExpectedTime, TimePoint Now) -> double {
  const double Latency = static_cast<double>(Request.TargetLatency.count());
  const double Expected = static_cast<double>(ExpectedTime.count());
  double Cost = Expected * (1 + Jitter * Random.unit());
  if (Target.Record.DataCentre != TableSettings.DataCentre)
    Cost += CrossDataCentrePenalty * Latency;
  Cost += FailurePenalty * Latency * Target.Load.failureShare();
  if (Target.cold(Now))
    Cost += Expected;
  return Cost;
}

auto TargetTable::excluded(const TargetState &Target,
                           const TargetRequest &Request) const -> bool {
  return !takesRequests(Target) ||
         (Request.Admits && !Request.Admits(Target.Record)) ||
         std::find(Request.ExcludedTargets.begin(),
                   Request.ExcludedTargets.end(),
                   Target.Record.Id) != Request.ExcludedTargets.end();
}

auto TargetTable::assess(TargetState &Target, const TargetRequest &Request,
                         TimePoint Now) -> TargetAssessment {
  TargetAssessment Out;
  Out.Excluded = excluded(Target, Request);
  Out.Reason = unavailable(Target, Request, Now);
  Out.Expected = expectedTime(Target, Now);
  Out.CostUs = cost(Target, Request, Out.Expected, Now);
  return Out;
}

auto TargetTable::serviceLoad(const ServiceId &Service, TimePoint Now)
    -> ServiceLoad {
  KnownServiceLoad &Known = ServiceLoads[Service];
  ServiceLoad Load;
  const bool Fresh = Now - Known.ComputedAt < ServiceLoadPeriod;
  if (Fresh)
    Load = Known.Load;
  Load.InFlight = 0;
  for (const TargetPtr &Target : targetsOfService(Service)) {
    Load.InFlight += Target->Load.inFlight();
    if (Fresh || !takesRequests(*Target) || Target->Announced->paused(Now) ||
        Now < Target->UnreachableUntil || Target->cold(Now))
      continue;
    Load.Slots += Target->Record.Slots;
    Load.Requests += Target->Load.queue(Now);
    Load.Reported =
        Load.Reported || Now - Target->Load.reportedAt() < ReportLifetime;
  }
  if (!Fresh)
    Known = {Now, Load};
  return Load;
}

auto TargetTable::serviceAdmits(const ServiceId &Service, TimePoint Now)
    -> bool {
  if (!Fleet.known())
    return true;
  const ServiceLoad Load = serviceLoad(Service, Now);
  // The fraction of a request is a probability: with few targets, each instance
  // has a window of less than one.
  return !Load.Reported ||
         Load.InFlight + Random.unit() <= serviceWindow(Load, Fleet.Instances);
}

auto TargetTable::select(const TargetRequest &Request, TimePoint Now)
    -> TargetSelection {
  TargetSelection Best;
  if (!serviceAdmits(Request.Service, Now)) {
    Best.Reason = NoTargetReason::Busy;
    return Best;
  }
  double BestCost = 0;
  const std::vector<TargetPtr> &Candidates = targetsOfService(Request.Service);
  // Starts at a random target, so that the sample is a different one each time.
  const std::size_t First =
      Candidates.empty()
          ? 0
          : static_cast<std::size_t>(Random.unit() *
                                     static_cast<double>(Candidates.size()));
  std::uint32_t MissingLocal = sampleSize(Candidates);
  std::uint32_t MissingRemote = MissingLocal;
  for (std::size_t Step = 0; Step < Candidates.size(); ++Step) {
    const TargetPtr &Target = Candidates[(First + Step) % Candidates.size()];
    std::uint32_t &Missing =
        Target->Record.DataCentre == TableSettings.DataCentre ? MissingLocal
                                                              : MissingRemote;
    if (Missing == 0 || excluded(*Target, Request))
      continue;
    const NoTargetReason Reason = unavailable(*Target, Request, Now);
    if (Reason != NoTargetReason::None) {
      Best.Reason = std::max(Best.Reason, Reason);
      continue;
    }
    --Missing;
    const Duration ExpectedTime = expectedTime(*Target, Now);
    const double Cost = cost(*Target, Request, ExpectedTime, Now);
    if (!Best.Target || Cost < BestCost) {
      Best.Target = Target;
      Best.Expected = ExpectedTime;
      BestCost = Cost;
    }
    if (MissingLocal == 0 && MissingRemote == 0)
      break;
  }
  return Best;
}

auto TargetTable::ownerShare(const TargetState &Target,
                             double QueuePerSlot) const -> double {
  return OwnerShareFactor * QueuePerSlot * Target.Record.Slots /
         Fleet.estimatedInstances();
}

auto TargetTable::ownerAdmits(TargetState &Target, TimePoint Now) -> bool {
  const double Queue = Target.Load.queue(Now);
  const std::uint32_t InFlight = Target.Load.inFlight();
  if (TableSettings.Admission == OwnerAdmission::EqualShares) {
    const auto Limit = static_cast<std::uint32_t>(
        std::lround(ownerShare(Target, EqualSharesQueuePerSlot)));
    return Queue < EqualSharesQueuePerSlot * Target.Record.Slots &&
           InFlight < std::max(1U, Limit);
  }
  if (Queue >= OwnerQueuePerSlot * Target.Record.Slots) {
    ++Counts.LongQueue;
    return false;
  }
  Target.Window.begin(ownerShare(Target, OwnerQueuePerSlot));
  const bool Admitted =
      Target.Window.admits(InFlight, processingTime(Target, Now), Now);
  ++(Admitted ? Counts.Admitted : Counts.NarrowWindow);
  return Admitted;
}

auto TargetTable::ownerEstimates(TimePoint Now) const -> OwnerEstimates {
  OwnerEstimates Estimates;
  for (const auto &[Id, State] : Targets) {
    if (!State->Window.used())
      continue;
    const double Size = State->Window.size(Now);
    if (Estimates.SmallestWindow == 0 || Size < Estimates.SmallestWindow)
      Estimates.SmallestWindow = Size;
    Estimates.LongestQueue =
        std::max(Estimates.LongestQueue, State->Load.queue(Now));
  }
  return Estimates;
}

auto TargetTable::ownerOutlook(const TargetState &Target, TimePoint Now) const
    -> RoomOutlook {
  const auto Period = static_cast<double>(processingTime(Target, Now).count());
  const double Slots = std::max(1U, Target.Record.Slots);
  const double Excess =
      std::max(0.0, Target.Load.queue(Now) + 1 - OwnerQueuePerSlot * Slots);
  return {Duration(static_cast<std::int64_t>(Period * Excess / Slots)),
          Duration(static_cast<std::int64_t>(
              Period / std::max(Target.Window.size(Now), MinOutlookWindow)))};
}

auto TargetTable::selectOwner(const TargetPtr &Target, TimePoint Now)
    -> TargetSelection {
  TargetSelection Selected;
  if (!Target || !takesRequests(*Target))
    return Selected;
  if (Target->Announced->paused(Now)) {
    Selected.Reason = NoTargetReason::Paused;
    Selected.OwnerPausedUntil = Target->Announced->pausedUntil();
  } else if (Now < unreachableUntil(*Target, Now))
    Selected.Reason = NoTargetReason::Down;
  else if (returnLimitReached(*Target, Now) || !ownerAdmits(*Target, Now))
    Selected.Reason = NoTargetReason::Busy;
  else if (coldLimitReached(*Target, Now))
    Selected.Reason = NoTargetReason::Cold;
  else
    Selected = {Target, NoTargetReason::None, expectedTime(*Target, Now),
                LongAgo};
  return Selected;
}

auto TargetTable::answered(TargetState &Target, Duration Latency) -> void {
  double &Average = ProcessingTimeUs[Target.Record.Service];
  const auto Sample = static_cast<double>(Latency.count());
  Average = Average == 0 ? Sample
                         : Average + ProcessingTimeWeight * (Sample - Average);
  Target.Load.succeeded();
  markReachable(Target);
}

auto TargetTable::sending(TargetState &Target, TimePoint Now) -> void {
  Target.Load.sent();
  Target.Window.sent();
  Target.Sends.add(Now);
  Reach.sent(Target.Record.DataCentre, Now);
}

auto TargetTable::markUnreachable(TargetState &Target, TimePoint Now) -> void {
  Target.Backoff = std::clamp(2 * Target.Backoff, InitialBackoff, MaxBackoff);
  Target.UnreachableUntil = Now + Target.Backoff;
  Target.UnverifiedUntil = Target.UnreachableUntil + TableSettings.RecordDelay;
  Reach.failed(Target.Record.DataCentre, Target.Record.Id, Now);
}

auto TargetTable::connected(const TargetState &Target) -> void {
  Reach.reached(Target.Record.DataCentre);
}

auto TargetTable::markReachable(TargetState &Target) -> void {
  Target.Backoff = Duration(0);
  Target.UnreachableUntil = LongAgo;
  connected(Target);
}

auto TargetTable::unreachableUntil(const TargetState &Target,
                                   TimePoint Now) const -> TimePoint {
  return std::max(Target.UnreachableUntil,
                  Reach.unreachableUntil(Target.Record.DataCentre, Now));
}

auto TargetTable::ownerUnreachable(const TargetState &Owner, TimePoint WaitEnd,
                                   TimePoint Now) const -> bool {
  if (Now < Reach.unreachableUntil(Owner.Record.DataCentre, Now))
    return true;
  // The response to another request may show that only one connection failed.
  return Owner.UnreachableUntil >= WaitEnd && Owner.Load.inFlight() == 0;
}

auto TargetTable::announced(const TargetRecord &Target,
                            const TargetNotices &Notices, TimePoint Now)
    -> AnnouncementChange {
  const AnnouncementTable::Entry Announced = Announcements.of(Target, Now);
  AnnouncementChange Change;
  if (Notices.Leaving)
    Change.Leaving = Announced->setLeaving();
  if (Notices.RequestedPause && *Notices.RequestedPause > Duration(0))
    Change.Paused =
        Announced->pause(*Notices.RequestedPause, Random.unit(), Now);
  return Change;
}

} // namespace buckthornring
