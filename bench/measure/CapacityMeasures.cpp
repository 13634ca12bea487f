// Slopes of state, message size and processor time over the size of the fleet,
// for docs/CAPACITY.md.

#include "Measurement.h"

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

/// One measured size.
struct Point {
  double Size = 0;
  double Value = 0;
};

struct Line {
  double Slope = 0;
  double Intercept = 0;
  double Fit = 0; ///< Coefficient of determination, r squared.
};

/// Least squares.
auto fit(const std::vector<Point> &Points) -> Line {
  double X = 0;
  double Y = 0;
  for (const Point &Each : Points) {
    X += Each.Size / static_cast<double>(Points.size());
    Y += Each.Value / static_cast<double>(Points.size());
  }
  double Xx = 0;
  double Xy = 0;
  double Yy = 0;
  for (const Point &Each : Points) {
    Xx += (Each.Size - X) * (Each.Size - X);
    Xy += (Each.Size - X) * (Each.Value - Y);
    Yy += (Each.Value - Y) * (Each.Value - Y);
  }
  Line Found;
  Found.Slope = Xy / Xx;
  Found.Intercept = Y - Found.Slope * X;
  Found.Fit = Yy == 0 ? 1 : Xy * Xy / (Xx * Yy);
  return Found;
}

/// Adds the points, the slope and the fit of one quantity. A fit below 0.98
/// means that the line bends and must not be extended.
auto report(Measurements &Out, const std::string &Name, const std::string &Unit,
            const std::string &Per, const std::vector<Point> &Points) -> void {
  for (const Point &Each : Points)
    Out.push_back({"capacity." + Name,
                   "size=" + std::to_string(static_cast<long>(Each.Size)), 1,
                   Each.Value, Unit, 0, Bound::AtLeast});
  const Line Found = fit(Points);
  Out.push_back({"capacity." + Name + ".slope", "least-squares", 1, Found.Slope,
                 Unit + "/" + Per, 0, Bound::AtLeast});
  Out.push_back({"capacity." + Name + ".fit", "least-squares", 1, Found.Fit,
                 "r2", 0.98, Bound::AtLeast});
}

auto heapBytes() -> double { return static_cast<double>(mallinfo2().uordblks); }

/// Processor time of this thread in microseconds.
auto processorTime() -> double {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) * 1e6 +
         static_cast<double>(Now.tv_nsec) / 1e3;
}

/// Returns the smallest processor time of five runs in microseconds; other
/// load on the machine only adds to it.
auto bestTime(const std::function<void()> &Run) -> double {
  double Best = 0;
  for (int I = 0; I < 5; ++I) {
    const double Start = processorTime();
    Run();
    const double Taken = processorTime() - Start;
    Best = I == 0 ? Taken : std::min(Best, Taken);
  }
  return Best;
}

auto targetName(std::size_t Number) -> TargetId {
  return TargetId("content-kingston-" + std::to_string(Number));
}

/// A map in which every slice has an owner and a successor.
auto filledMap(std::uint32_t Slices, std::size_t Targets) -> SliceMap {
  auto Map = SliceMap::make(ServiceId("content"), Slices).value();
  Map.beginTerm(1);
  for (std::uint32_t Slice = 0; Slice < Slices; ++Slice)
    Map.set(Slice, {targetName(Slice % Targets),
                    targetName((Slice + 1) % Targets),
                    {1, Slice + 1},
                    true});
  return Map;
}

auto measureSliceMap(Measurements &Out) -> void {
  std::vector<Point> Memory;
  std::vector<Point> Object;
  for (const std::uint32_t Slices : {1024U, 4096U, 16384U, 65536U}) {
    const double Before = heapBytes();
    const SliceMap Map = filledMap(Slices, Slices / 64);
    Memory.push_back({static_cast<double>(Slices), heapBytes() - Before});
    double Bytes = 0;
    for (std::uint32_t Segment = 0; Segment < Map.segments(); ++Segment)
      Bytes += static_cast<double>(Map.segmentText(Segment, 1).size());
    Object.push_back({static_cast<double>(Slices), Bytes});
  }
  // One million slices as sixteen services.
  std::vector<SliceMap> Million;
  Million.reserve(16);
  const double Before = heapBytes();
  for (int I = 0; I < 16; ++I)
    Million.push_back(filledMap(65536, 1024));
  Memory.push_back({16 * 65536.0, heapBytes() - Before});
  report(Out, "slice_map.memory", "bytes", "slice", Memory);
  report(Out, "slice_map.object", "bytes", "slice", Object);
}

auto measureDelta(Measurements &Out) -> void {
  std::vector<Point> Bytes;
  std::vector<Point> Time;
  for (const std::uint32_t Changed : {1U, 16U, 64U, 256U, 1024U}) {
    SliceMap Map = filledMap(4096, 64);
    const std::uint64_t Version = Map.version();
    for (std::uint32_t Slice = 0; Slice < Changed; ++Slice)
      Map.set(Slice, {targetName(7), targetName(8), {2, Slice + 1}, true});
    RoutingHeartbeat Beat;
    Beat.Term = 1;
    Beat.Deltas = {Map.delta(1, Version)};
    const auto Encoded = LinkCodec::encode(Beat);
    Bytes.push_back(
        {static_cast<double>(Changed), static_cast<double>(Encoded.size())});
    Time.push_back({static_cast<double>(Changed), bestTime([&] {
                      const auto Decoded = LinkCodec::decode(Encoded);
                      invariant(Decoded.hasValue(), "the delta decodes");
                    })});
  }
  report(Out, "delta.size", "bytes", "changed slice", Bytes);
  report(Out, "delta.decode_time", "us", "changed slice", Time);
}

/// One leader with its targets, all in memory, in virtual time.
class LeaderRun {
public:
  LeaderRun(std::size_t Targets, std::size_t Instances, std::uint32_t Slices)
      : Core({InstanceId("leader#1"), DataCentreId("a"), "r0"},
             OwnershipTimes(), SafetySwitches(), Now) {
    std::vector<PairCandidate> Others;
    for (std::size_t I = 0; I < Instances; ++I)
      Others.push_back({InstanceId("instance" + std::to_string(I) + "#1"),
                        "r" + std::to_string(I + 1)});
    for (const PairCandidate &Each : Others)
      Routing.emplace(Each.Id, RoutingLease(SafetySwitches()));
    Routing.emplace(InstanceId("leader#1"), RoutingLease(SafetySwitches()));
    OwnedService Service;
    Service.Id = ServiceId("content");
    Service.Slices = Slices;
    for (std::size_t I = 0; I < Targets; ++I)
      Service.Targets[targetName(I)] = ServingState::InService;
    Core.setServices({Service}, Now);
    Core.setInstances(Others, Now);
  }

  /// Runs for the given time and counts from there on.
  auto run(Duration Span) -> void {
    const double Start = processorTime();
    for (const TimePoint End = Now + Span; Now < End;) {
      Now += std::chrono::milliseconds(15);
      perform(Core.tick(Now));
    }
    Time = processorTime() - Start - Outside;
  }

  auto reset() -> void {
    LeaseBytes = 0;
    HeartbeatBytes = 0;
    PlatformCalls = 0;
    Outside = 0;
  }

  double Time = 0; ///< Of the core, in microseconds.
  double LeaseBytes = 0;
  double HeartbeatBytes = 0;
  double PlatformCalls = 0;

private:
  auto perform(const OwnershipActions &Actions) -> void {
    for (const OwnershipAction &Action : Actions)
      std::visit([this](const auto &Kind) { perform(Kind); }, Action);
  }

  auto perform(const SendLease &Action) -> void {
    const double Start = processorTime();
    LeaseReply Reply;
    Reply.Term = Action.Message.Term;
    Reply.Sequence = Action.Message.Sequence;
    Reply.Applied = Action.Message.Sequence;
    Reply.Start = "start";
    Reply.ClockUs = Now.time_since_epoch().count();
    Reply.Reported = Action.Message.Report;
    LeaseBytes += static_cast<double>(leaseMessageText(Action.Message).size() +
                                      leaseReplyText(Reply).size());
    Outside += processorTime() - Start;
    perform(Core.leaseReply(Action.Message.Target, Reply, Now));
  }

  auto perform(const SendLink &Action) -> void {
    const double Start = processorTime();
    std::vector<LinkMessage> Answers;
    if (const auto *Beat = std::get_if<RoutingHeartbeat>(&Action.Message)) {
      HeartbeatBytes +=
          static_cast<double>(LinkCodec::encode(Action.Message).size());
      const auto Found = Routing.find(Action.To);
      if (Found != Routing.end())
        Answers.emplace_back(Found->second.receive(*Beat, Now));
    }
    if (const auto *Asked = std::get_if<TermConfirmRequest>(&Action.Message))
      Answers.emplace_back(TermConfirm{Asked->Record.Term, Asked->Number,
                                       Now.time_since_epoch().count()});
    if (const auto *Copy = std::get_if<AssignmentCopy>(&Action.Message))
      Answers.emplace_back(AssignmentCopyAck{Copy->Term, Copy->Delta.Service,
                                             Copy->Delta.To, false});
    Outside += processorTime() - Start;
    for (const LinkMessage &Answer : Answers)
      perform(Core.receive(Action.To, Answer, Now));
  }

  auto perform(const ReadObject &Action) -> void {
    ++PlatformCalls;
    ReadAnswer Answer;
    Answer.Answered = true;
    if (const auto Found = Objects.find(Action.Name); Found != Objects.end())
      Answer.Found = Found->second;
    perform(Core.objectRead(Action.Name, Answer, Now));
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
  double Outside = 0;
};

constexpr auto WarmUp = std::chrono::seconds(20);
constexpr auto Measured = std::chrono::seconds(10);
constexpr double MeasuredSeconds = 10;

auto measureLeader(Measurements &Out) -> void {
  std::vector<Point> Time;
  std::vector<Point> Bytes;
  for (const std::size_t Targets : {5U, 10U, 20U, 40U, 80U}) {
    LeaderRun Run(Targets, 2, 1024);
    Run.run(WarmUp);
    Run.reset();
    Run.run(Measured);
    const auto Size = static_cast<double>(Targets);
    Time.push_back({Size, Run.Time / MeasuredSeconds});
    Bytes.push_back({Size, Run.LeaseBytes / MeasuredSeconds});
  }
  report(Out, "leader.time_by_targets", "us/s", "target", Time);
  report(Out, "leader.lease_bytes", "bytes/s", "target", Bytes);

  std::vector<Point> SliceTime;
  for (const std::uint32_t Slices : {1024U, 4096U, 16384U, 65536U}) {
    LeaderRun Run(16, 2, Slices);
    Run.run(WarmUp);
    Run.reset();
    Run.run(Measured);
    SliceTime.push_back(
        {static_cast<double>(Slices), Run.Time / MeasuredSeconds});
  }
  report(Out, "leader.time_by_slices", "us/s", "slice", SliceTime);

  std::vector<Point> BeatTime;
  std::vector<Point> BeatBytes;
  std::vector<Point> Calls;
  for (const std::size_t Instances : {5U, 10U, 20U, 40U, 80U}) {
    LeaderRun Run(4, Instances, 256);
    Run.run(WarmUp);
    Run.reset();
    Run.run(Measured);
    const auto Size = static_cast<double>(Instances);
    BeatTime.push_back({Size, Run.Time / MeasuredSeconds});
    BeatBytes.push_back({Size, Run.HeartbeatBytes / MeasuredSeconds});
    Calls.push_back({Size, Run.PlatformCalls / MeasuredSeconds});
  }
  report(Out, "leader.time_by_instances", "us/s", "instance", BeatTime);
  report(Out, "leader.heartbeat_bytes", "bytes/s", "instance", BeatBytes);
  for (const Point &Each : Calls)
    Out.push_back({"capacity.leader.platform_calls",
                   "size=" + std::to_string(static_cast<long>(Each.Size)), 1,
                   Each.Value, "calls/s", 1, Bound::AtMost});
}

auto measureShares(Measurements &Out) -> void {
  std::vector<Point> Time;
  for (const std::size_t Holders : {10U, 40U, 160U, 640U, 2560U}) {
    const TimePoint Start{std::chrono::seconds(10)};
    ShareLedger Ledger({}, {1'000'000'000, 100'000'000}, 1, Start);
    std::vector<ShareHolder> All;
    for (std::size_t I = 0; I < Holders; ++I) {
      All.emplace_back("instance" + std::to_string(I) + "/0", ShareKind::Rate,
                       1, Start);
      All.back().follow(1);
    }
    TimePoint Now = Start + std::chrono::seconds(2);
    const double Taken = bestTime([&] {
      Now += std::chrono::milliseconds(100);
      Ledger.expire(Now);
      for (ShareHolder &Each : All)
        if (const auto Grant = Ledger.handle(Each.makeRequest(Now), Now))
          Each.apply(*Grant, Now);
    });
    Time.push_back({static_cast<double>(Holders), 10 * Taken});
  }
  report(Out, "shares.time_by_holders", "us/s", "holder", Time);

  ShareHolder Holder("kingston-entry-1/0", ShareKind::Rate, 1, TimePoint());
  ShareGrant Grant;
  Grant.Holder = "kingston-entry-1/0";
  const auto Asked = LinkCodec::encode(
      ShareRequestMessage{"rate/blue-board", Holder.makeRequest(TimePoint())});
  const auto Given =
      LinkCodec::encode(ShareGrantMessage{"rate/blue-board", Grant});
  Out.push_back({"capacity.shares.exchange_size", "request and grant", 1,
                 static_cast<double>(Asked.size() + Given.size()), "bytes", 0,
                 Bound::AtLeast});
}

auto measureConfiguration(Measurements &Out) -> void {
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
    Lookup.push_back({static_cast<double>(Keys), bestTime([&] {
                                                   for (int I = 0; I < 1000;
                                                        ++I)
                                                     Index->find("key-17");
                                                 }) / 1000});
  }
  report(Out, "caller_keys.memory", "bytes", "key", Memory);
  for (const Point &Each : Lookup)
    Out.push_back({"capacity.caller_keys.lookup",
                   "size=" + std::to_string(static_cast<long>(Each.Size)), 1,
                   Each.Value, "us", 0, Bound::AtLeast});
}

} // namespace

auto measureCapacity() -> Measurements {
  Measurements Out;
  measureSliceMap(Out);
  measureDelta(Out);
  measureLeader(Out);
  measureShares(Out);
  measureConfiguration(Out);
  return Out;
}

} // namespace buckthornring::measure
