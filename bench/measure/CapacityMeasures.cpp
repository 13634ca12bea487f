// Measures how state, message size and processor time grow with the size of the
// fleet, for docs/CAPACITY.md.

#include "Measurement.h"

#include "Fleet/RangeAssigner.h"

#include "buckthornring/Common/Invariant.h"
#include "buckthornring/Config/CallerKeys.h"
#include "buckthornring/Limits/ShareHolder.h"
#include "buckthornring/Limits/ShareLedger.h"
#include "buckthornring/Link/LinkCodec.h"
#include "buckthornring/Ownership/LeaderCore.h"
#include "buckthornring/Ownership/RoutingLease.h"

#include <ctime>
#include <functional>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

namespace buckthornring::measure {

namespace {

/// Value measured at one size.
struct Point {
  double Size = 0;
  double Value = 0;
};

struct LinearFit {
  double Slope = 0;
  double Intercept = 0;
  double RSquared = 0; ///< Coefficient of determination.
};

/// Fits a line by least squares.
auto fitLine(const std::vector<Point> &Points) -> LinearFit {
  double MeanX = 0;
  double MeanY = 0;
  for (const Point &Each : Points) {
    MeanX += Each.Size / static_cast<double>(Points.size());
    MeanY += Each.Value / static_cast<double>(Points.size());
  }
  double SumXx = 0;
  double SumXy = 0;
  double SumYy = 0;
  for (const Point &Each : Points) {
    SumXx += (Each.Size - MeanX) * (Each.Size - MeanX);
    SumXy += (Each.Size - MeanX) * (Each.Value - MeanY);
    SumYy += (Each.Value - MeanY) * (Each.Value - MeanY);
  }
  LinearFit Result;
  Result.Slope = SumXy / SumXx;
  Result.Intercept = MeanY - Result.Slope * MeanX;
  Result.RSquared = SumYy == 0 ? 1 : SumXy * SumXy / (SumXx * SumYy);
  return Result;
}

/// Adds the points, the slope and the coefficient of determination of one
/// quantity. A coefficient below 0.98 means that the growth is not linear and
/// must not be extrapolated.
auto report(Measurements &Results, const std::string &Name,
            const std::string &Unit, const std::string &SizeUnit,
            const std::vector<Point> &Points) -> void {
  for (const Point &Each : Points)
    Results.push_back({"capacity." + Name,
                       "size=" + std::to_string(static_cast<long>(Each.Size)),
                       1, Each.Value, Unit, 0, Bound::AtLeast});
  const LinearFit Fitted = fitLine(Points);
  Results.push_back({"capacity." + Name + ".slope", "least-squares", 1,
                     Fitted.Slope, Unit + "/" + SizeUnit, 0, Bound::AtLeast});
  Results.push_back({"capacity." + Name + ".fit", "least-squares", 1,
                     Fitted.RSquared, "r2", 0.98, Bound::AtLeast});
}

auto heapBytes() -> double { return static_cast<double>(mallinfo2().uordblks); }

/// Returns the processor time of this thread in microseconds.
auto cpuMicroseconds() -> double {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) * 1e6 +
         static_cast<double>(Now.tv_nsec) / 1e3;
}

/// Returns the smallest processor time of five runs in microseconds. Other load
/// on the machine can only increase a run's time.
auto minimumCpuMicroseconds(const std::function<void()> &Run) -> double {
  double Minimum = 0;
  for (int I = 0; I < 5; ++I) {
    const double Start = cpuMicroseconds();
    Run();
    const double Elapsed = cpuMicroseconds() - Start;
    Minimum = I == 0 ? Elapsed : std::min(Minimum, Elapsed);
  }
  return Minimum;
}

auto targetName(std::size_t Number) -> TargetId {
  return TargetId("content-kingston-" + std::to_string(Number));
}

/// Returns a map in which every slice has an owner and a successor.
auto makeAssignedMap(std::uint32_t Slices, std::size_t Targets) -> SliceMap {
  auto Map = SliceMap::make(ServiceId("content"), Slices).value();
  Map.beginTerm(1);
  for (std::uint32_t Slice = 0; Slice < Slices; ++Slice)
    Map.set(Slice, {targetName(Slice % Targets),
                    targetName((Slice + 1) % Targets),
                    {1, Slice + 1},
                    true});
  return Map;
}

auto measureSliceMap(Measurements &Results) -> void {
  std::vector<Point> Memory;
  std::vector<Point> ObjectSize;
  for (const std::uint32_t Slices : {1024U, 4096U, 16384U, 65536U}) {
    const double Before = heapBytes();
    const SliceMap Map = makeAssignedMap(Slices, Slices / 64);
    Memory.push_back({static_cast<double>(Slices), heapBytes() - Before});
    double Bytes = 0;
    for (std::uint32_t Segment = 0; Segment < Map.segments(); ++Segment)
      Bytes += static_cast<double>(Map.segmentText(Segment, 1).size());
    ObjectSize.push_back({static_cast<double>(Slices), Bytes});
  }
  // About one million slices, divided among 16 services.
  std::vector<SliceMap> MillionSlices;
  MillionSlices.reserve(16);
  const double Before = heapBytes();
  for (int I = 0; I < 16; ++I)
    MillionSlices.push_back(makeAssignedMap(65536, 1024));
  Memory.push_back({16 * 65536.0, heapBytes() - Before});
  report(Results, "slice_map.memory", "bytes", "slice", Memory);
  report(Results, "slice_map.object", "bytes", "slice", ObjectSize);
}

auto measureDelta(Measurements &Results) -> void {
  std::vector<Point> Bytes;
  std::vector<Point> Time;
  for (const std::uint32_t Changed : {1U, 16U, 64U, 256U, 1024U}) {
    SliceMap Map = makeAssignedMap(4096, 64);
    const std::uint64_t Version = Map.version();
    for (std::uint32_t Slice = 0; Slice < Changed; ++Slice)
      Map.set(Slice, {targetName(7), targetName(8), {2, Slice + 1}, true});
    RoutingHeartbeat Heartbeat;
    Heartbeat.Term = 1;
    Heartbeat.Deltas = {Map.delta(1, Version)};
    const auto Encoded = LinkCodec::encode(Heartbeat);
    Bytes.push_back(
        {static_cast<double>(Changed), static_cast<double>(Encoded.size())});
    Time.push_back({static_cast<double>(Changed), minimumCpuMicroseconds([&] {
                      const auto Decoded = LinkCodec::decode(Encoded);
                      invariant(Decoded.hasValue(), "the delta decodes");
                    })});
  }
  report(Results, "delta.size", "bytes", "changed slice", Bytes);
  report(Results, "delta.decode_time", "us", "changed slice", Time);
}

/// Runs one leader with its instances and targets in memory, in virtual time.
class LeaderSimulation {
public:
  LeaderSimulation(std::size_t Targets, std::size_t Instances,
                   std::uint32_t Slices)
      : Core({InstanceId("leader#1"), DataCentreId("a"), "r0"},
             OwnershipTimes(), SafetySwitches(), Now) {
    std::vector<PairCandidate> Candidates;
    for (std::size_t I = 0; I < Instances; ++I)
      Candidates.push_back({InstanceId("instance" + std::to_string(I) + "#1"),
                            "r" + std::to_string(I + 1)});
    for (const PairCandidate &Each : Candidates)
      Routing.emplace(Each.Id, RoutingLease(SafetySwitches()));
    Routing.emplace(InstanceId("leader#1"), RoutingLease(SafetySwitches()));
    OwnedService Service;
    Service.Id = ServiceId("content");
    Service.Slices = Slices;
    for (std::size_t I = 0; I < Targets; ++I)
      Service.Targets[targetName(I)] = ServingState::InService;
    Core.setServices({Service}, Now);
    Core.setInstances(Candidates, Now);
  }

  /// Runs the leader for \p Span of virtual time and sets \c CoreMicroseconds.
  auto run(Duration Span) -> void {
    const double Start = cpuMicroseconds();
    for (const TimePoint End = Now + Span; Now < End;) {
      Now += std::chrono::milliseconds(15);
      perform(Core.tick(Now));
    }
    CoreMicroseconds = cpuMicroseconds() - Start - HarnessMicroseconds;
  }

  /// Resets the counters, so that the warm-up is not included in them.
  auto reset() -> void {
    LeaseBytes = 0;
    HeartbeatBytes = 0;
    PlatformCalls = 0;
    HarnessMicroseconds = 0;
  }

  double CoreMicroseconds = 0; ///< Processor time of LeaderCore.
  double LeaseBytes = 0;
  double HeartbeatBytes = 0;
  double PlatformCalls = 0;

private:
  auto perform(const OwnershipActions &Actions) -> void {
    for (const OwnershipAction &Action : Actions)
      std::visit([this](const auto &Alternative) { perform(Alternative); },
                 Action);
  }

  auto perform(const SendLease &Action) -> void {
    const double Start = cpuMicroseconds();
    LeaseReply Reply;
    Reply.Term = Action.Message.Term;
    Reply.Sequence = Action.Message.Sequence;
    Reply.Applied = Action.Message.Sequence;
    Reply.Start = "start";
    Reply.ClockUs = Now.time_since_epoch().count();
    Reply.Reported = Action.Message.Report;
    LeaseBytes += static_cast<double>(leaseMessageText(Action.Message).size() +
                                      leaseReplyText(Reply).size());
    HarnessMicroseconds += cpuMicroseconds() - Start;
    perform(Core.leaseReply(Action.Message.Target, Reply, Now));
  }

  auto perform(const SendLink &Action) -> void {
    const double Start = cpuMicroseconds();
    std::vector<LinkMessage> Replies;
    if (const auto *Heartbeat =
            std::get_if<RoutingHeartbeat>(&Action.Message)) {
      HeartbeatBytes +=
          static_cast<double>(LinkCodec::encode(Action.Message).size());
      const auto Lease = Routing.find(Action.To);
      if (Lease != Routing.end())
        Replies.emplace_back(Lease->second.receive(*Heartbeat, Now));
    }
    if (const auto *ConfirmRequest =
            std::get_if<TermConfirmRequest>(&Action.Message))
      Replies.emplace_back(TermConfirm{ConfirmRequest->Record.Term,
                                       ConfirmRequest->Number,
                                       Now.time_since_epoch().count()});
    if (const auto *Copy = std::get_if<AssignmentCopy>(&Action.Message))
      Replies.emplace_back(AssignmentCopyAck{Copy->Term, Copy->Delta.Service,
                                             Copy->Delta.To, false});
    HarnessMicroseconds += cpuMicroseconds() - Start;
    for (const LinkMessage &Reply : Replies)
      perform(Core.receive(Action.To, Reply, Now));
  }

  auto perform(const ReadObject &Action) -> void {
    ++PlatformCalls;
    ReadAnswer Result;
    Result.Answered = true;
    if (const auto Object = Objects.find(Action.Name); Object != Objects.end())
      Result.Found = Object->second;
    perform(Core.objectRead(Action.Name, Result, Now));
  }

  auto perform(const WriteObject &Action) -> void {
    ++PlatformCalls;
    Objects[Action.Name] = {Action.Value, ++Revision};
    perform(Core.objectWritten(Action.Name,
                               {WriteAnswer::Kind::Written, Revision}, Now));
  }

  TimePoint Now{std::chrono::seconds(10)};
  LeaderCore Core;
  std::map<InstanceId, RoutingLease> Routing;
  std::map<std::string, ObjectValue> Objects;
  std::uint64_t Revision = 0;
  /// Processor time of the simulation itself, which is not part of the core's.
  double HarnessMicroseconds = 0;
};

constexpr auto WarmUpPeriod = std::chrono::seconds(20);
constexpr auto MeasuredPeriod = std::chrono::seconds(10);
constexpr double MeasuredSeconds = 10;

auto measureLeader(Measurements &Results) -> void {
  std::vector<Point> Time;
  std::vector<Point> Bytes;
  for (const std::size_t Targets : {5U, 10U, 20U, 40U, 80U}) {
    LeaderSimulation Leader(Targets, 2, 1024);
    Leader.run(WarmUpPeriod);
    Leader.reset();
    Leader.run(MeasuredPeriod);
    const auto Size = static_cast<double>(Targets);
    Time.push_back({Size, Leader.CoreMicroseconds / MeasuredSeconds});
    Bytes.push_back({Size, Leader.LeaseBytes / MeasuredSeconds});
  }
  report(Results, "leader.time_by_targets", "us/s", "target", Time);
  report(Results, "leader.lease_bytes", "bytes/s", "target", Bytes);

  std::vector<Point> TimeBySlices;
  for (const std::uint32_t Slices : {1024U, 4096U, 16384U, 65536U}) {
    LeaderSimulation Leader(16, 2, Slices);
    Leader.run(WarmUpPeriod);
    Leader.reset();
    Leader.run(MeasuredPeriod);
    TimeBySlices.push_back({static_cast<double>(Slices),
                            Leader.CoreMicroseconds / MeasuredSeconds});
  }
  report(Results, "leader.time_by_slices", "us/s", "slice", TimeBySlices);

  std::vector<Point> TimeByInstances;
  std::vector<Point> HeartbeatBytes;
  std::vector<Point> PlatformCalls;
  for (const std::size_t Instances : {5U, 10U, 20U, 40U, 80U}) {
    LeaderSimulation Leader(4, Instances, 256);
    Leader.run(WarmUpPeriod);
    Leader.reset();
    Leader.run(MeasuredPeriod);
    const auto Size = static_cast<double>(Instances);
    TimeByInstances.push_back(
        {Size, Leader.CoreMicroseconds / MeasuredSeconds});
    HeartbeatBytes.push_back({Size, Leader.HeartbeatBytes / MeasuredSeconds});
    PlatformCalls.push_back({Size, Leader.PlatformCalls / MeasuredSeconds});
  }
  report(Results, "leader.time_by_instances", "us/s", "instance",
         TimeByInstances);
  report(Results, "leader.heartbeat_bytes", "bytes/s", "instance",
         HeartbeatBytes);
  for (const Point &Each : PlatformCalls)
    Results.push_back({"capacity.leader.platform_calls",
                       "size=" + std::to_string(static_cast<long>(Each.Size)),
                       1, Each.Value, "calls/s", 1, Bound::AtMost});
}

auto measureShares(Measurements &Results) -> void {
  std::vector<Point> Time;
  for (const std::size_t Holders : {10U, 40U, 160U, 640U, 2560U}) {
    const TimePoint Start{std::chrono::seconds(10)};
    ShareLedger Ledger({}, {1'000'000'000, 100'000'000}, 1, Start);
    std::vector<ShareHolder> ShareHolders;
    for (std::size_t I = 0; I < Holders; ++I) {
      ShareHolders.emplace_back("instance" + std::to_string(I) + "/0",
                                ShareKind::Rate, 1, Start);
      ShareHolders.back().follow(1);
    }
    TimePoint Now = Start + std::chrono::seconds(2);
    const double RoundMicroseconds = minimumCpuMicroseconds([&] {
      Now += std::chrono::milliseconds(100);
      Ledger.expire(Now);
      for (ShareHolder &Each : ShareHolders)
        if (const auto Grant = Ledger.handle(Each.makeRequest(Now), Now))
          Each.apply(*Grant, Now);
    });
    Time.push_back({static_cast<double>(Holders), 10 * RoundMicroseconds});
  }
  report(Results, "shares.time_by_holders", "us/s", "holder", Time);

  ShareHolder Holder("kingston-entry-1/0", ShareKind::Rate, 1, TimePoint());
  ShareGrant Grant;
  Grant.Holder = "kingston-entry-1/0";
  const auto EncodedRequest = LinkCodec::encode(
      ShareRequestMessage{"rate/blue-board", Holder.makeRequest(TimePoint())});
  const auto EncodedGrant =
      LinkCodec::encode(ShareGrantMessage{"rate/blue-board", Grant});
  Results.push_back(
      {"capacity.shares.exchange_size", "request and grant", 1,
       static_cast<double>(EncodedRequest.size() + EncodedGrant.size()),
       "bytes", 0, Bound::AtLeast});
}

/// Ranges of one target of a busy divided service.
constexpr std::uint32_t RangesPerTarget = 5;

auto makeRanges(std::uint32_t Targets) -> RangeRecord {
  constexpr std::uint32_t Width = 16;
  RangeRecord Record;
  for (std::uint32_t I = 0; I < Targets * RangesPerTarget; ++I) {
    KeyRange Range;
    Range.From = I * Width;
    Range.To = Range.From + Width - 1;
    Range.Owner = targetName(I % Targets);
    Range.Fence = Record.NextFence++;
    Record.Ranges.push_back(Range);
  }
  return Record;
}

/// Returns the processor time of granting all ranges anew, as a leader does
/// that takes over. \p AllTargets: looks at all targets after each order,
/// instead of those that it concerns.
auto takeoverMicroseconds(std::uint32_t Targets, bool AllTargets) -> double {
  const TimePoint Now{std::chrono::seconds(10)};
  const RangeRecord Record = makeRanges(Targets);
  return minimumCpuMicroseconds([&] {
    RangeAssigner Assigner(Record.Ranges.back().To + 1, RangeTimes());
    Assigner.takeOver(Record, 7, Now);
    Assigner.writeDone(8, Now);
    std::vector<RangeOrder> Open;
    std::set<TargetId> Granting;
    const auto Send = [&](const std::set<TargetId> &To) {
      for (const TargetId &Target : To)
        if (!Granting.contains(Target))
          if (const auto Order = Assigner.nextGrant(Target, Now, Now)) {
            Granting.insert(Target);
            Open.push_back(*Order);
          }
    };
    Send(Assigner.involvedTargets());
    while (!Open.empty()) {
      const RangeOrder Ended = std::move(Open.back());
      Open.pop_back();
      Granting.erase(Ended.Target);
      Assigner.onOrderEnded(Ended, RangeOrderOutcome::Accepted, "", Now);
      Send(AllTargets ? Assigner.involvedTargets()
                      : Assigner.targetsAfter(Ended));
    }
    const auto Granted = Assigner.takeGranted().size();
    invariant(Granted == Record.Ranges.size(), "all ranges were granted");
  });
}

auto measureTakeover(Measurements &Results) -> void {
  for (const std::uint32_t Targets : {25U, 50U, 100U, 200U})
    for (const bool AllTargets : {false, true})
      Results.push_back(
          {"capacity.takeover.time_per_range",
           std::string(AllTargets ? "baseline" : "concerned-targets") +
               ",size=" + std::to_string(Targets * RangesPerTarget),
           1,
           takeoverMicroseconds(Targets, AllTargets) /
               (Targets * RangesPerTarget),
           "us", 0, Bound::AtLeast});
}

auto measureConfiguration(Measurements &Results) -> void {
  std::vector<Point> Memory;
  std::vector<Point> Lookup;
  for (const std::size_t Keys : {1000U, 4000U, 16000U, 64000U}) {
    Configuration Config;
    for (std::size_t I = 0; I < Keys; ++I) {
      const std::string Name = "key-" + std::to_string(I);
      Config.CallerKeys[Name] = {CallerKeys::hex(CallerKeys::digest(Name)),
                                 WorkspaceId("blue-board"), false};
    }
    const double Before = heapBytes();
    const auto Index = std::make_unique<CallerKeys>(Config);
    Memory.push_back({static_cast<double>(Keys), heapBytes() - Before});
    Lookup.push_back({static_cast<double>(Keys), minimumCpuMicroseconds([&] {
                                                   for (int I = 0; I < 1000;
                                                        ++I)
                                                     Index->find("key-17");
                                                 }) / 1000});
  }
  report(Results, "caller_keys.memory", "bytes", "key", Memory);
  for (const Point &Each : Lookup)
    Results.push_back({"capacity.caller_keys.lookup",
                       "size=" + std::to_string(static_cast<long>(Each.Size)),
                       1, Each.Value, "us", 0, Bound::AtLeast});
}

} // namespace

auto measureCapacity() -> Measurements {
  Measurements Results;
  measureSliceMap(Results);
  measureDelta(Results);
  measureLeader(Results);
  measureShares(Results);
  measureTakeover(Results);
  measureConfiguration(Results);
  return Results;
}

} // namespace buckthornring::measure
