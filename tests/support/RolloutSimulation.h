#pragma once

#include "Rollout/RolloutController.h"
#include "Rollout/RolloutShare.h"
#include "buckthornring/Common/Random.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace buckthornring::test {

/// How a version behaves.
enum class Badness { None, Failures, Slow, Later, UnderLoad, OneRoute };

inline constexpr EnumNames<Badness, 6> BadnessNames({"good", "failures", "slow",
                                                     "later", "under-load",
                                                     "one-route"});

struct RolloutScenario {
  std::uint32_t Instances = 60;
  double RequestsPerSecond = 150;
  std::uint32_t Targets = 35; ///< Of each version.
  Duration Length = std::chrono::seconds(14);
  Badness Kind = Badness::None;
  double FailurePart = 0.3; ///< Of the responses, for Badness::Failures.
  double Slowdown = 3;      ///< For Badness::Slow.
  /// New targets start within ColdStartSpread of the order and are slower by
  /// ColdSlowdown for ColdPeriod. The requests of one route take longer and
  /// have a time-out that the responses of cold targets outlast.
  bool ColdTargets = false;
  double ColdSlowdown = 2;
  double LostMessages = 0.01;
  /// The leader is lost then; the next one leads after LeaderGap, was started
  /// during it and has only the record in the store.
  std::optional<Duration> LeaderLostAt;
  /// A target of the new version crashes while the versions are compared.
  bool Crash = false;
};

struct RolloutOutcome {
  RolloutState State = RolloutState::None;
  Duration EndedAt{0};
  std::uint32_t Requests = 0; ///< From the order to its deadline.
  std::uint32_t ToNew = 0;    ///< Of them, sent to the new version.
  std::uint32_t MaxBadAtOneInstance = 0;
  /// Latest send to the new version after its 50th bad response.
  Duration SentAfterBad{0};
  bool SentToOldAfterSuccess = false;
  std::string Cause;
  VersionComparison Comparison;
};

/// One rollout in virtual time: instances with their own requests and reports,
/// targets with two slots and a queue, and a leader. Targets differ in speed,
/// have noisy neighbours and slow requests as the platform's targets do.
class RolloutSimulation {
public:
  RolloutSimulation(const RolloutScenario &Scenario, std::uint64_t Seed)
      : Setup(Scenario), Random(Seed),
        Control(makeOrder(), bounds(), false, "v1", Start) {
    for (std::uint32_t Index = 0; Index < 2 * Setup.Targets; ++Index) {
      Servers.push_back({0.55 + 0.95 * Random.unit(), Index >= Setup.Targets});
      if (!Setup.ColdTargets || Index < Setup.Targets)
        continue;
      Servers.back().ReadyAt =
          Start + Duration(Random.below(ColdStartSpread.count()));
      Servers.back().ColdUntil = Servers.back().ReadyAt + ColdPeriod;
    }
    for (std::uint32_t Index = 0; Index < Setup.Instances; ++Index)
      Nodes.push_back({InstanceId("i" + std::to_string(Index)),
                       RolloutShare("v2", bounds(),
                                    InstanceId(std::to_string(Seed) + "i" +
                                               std::to_string(Index)))});
  }

  static auto bounds() -> RolloutBounds { return {0.1, 50}; }

  auto run() -> RolloutOutcome {
    for (std::uint32_t Index = 0; Index < Nodes.size(); ++Index)
      at(Start + Duration(Random.below(400'000)),
         [this, Index] { report(Index); });
    at(Start, [this] { arrive(); });
    at(Start, [this] { tick(); });
    if (Setup.LeaderLostAt)
      at(Start + *Setup.LeaderLostAt, [this] { loseLeader(); });
    if (Setup.Crash)
      at(Start + Duration(3'000'000 + Random.below(3'000'000)),
         [this] { crash(); });
    const TimePoint End = Start + Setup.Length + std::chrono::seconds(2);
    while (!Events.empty() && Events.top().Time < End) {
      const Event Next = Events.top();
      Events.pop();
      Now = Next.Time;
      Next.Action();
    }
    Out.State = Status;
    Out.Cause = Control.cause();
    Out.Comparison = Control.comparison();
    for (const Node &Each : Nodes)
      Out.MaxBadAtOneInstance =
          std::max(Out.MaxBadAtOneInstance, Each.BadResponses);
    return Out;
  }

private:
  struct Server {
    double Factor = 1;
    bool Fresh = false;
    std::uint32_t Running = 0;
    bool Noisy = false;
    TimePoint NoiseUntil = LongAgo;
    bool Crashed = false;
    TimePoint ReadyAt = LongAgo;
    TimePoint ColdUntil = LongAgo;
    std::uint32_t ColdSends = 0;
    std::vector<TimePoint> SlotFreeAt = {LongAgo, LongAgo};
  };
  struct Node {
    InstanceId Id;
    RolloutShare Share;
    std::uint32_t AtOld = 0;
    std::uint32_t BadResponses = 0;
  };
  struct Event {
    TimePoint Time;
    std::uint64_t Number;
    std::function<void()> Action;

    auto operator<(const Event &Other) const -> bool {
      return Time != Other.Time ? Time > Other.Time : Number > Other.Number;
    }
  };

  auto makeOrder() const -> RolloutOrder {
    RolloutOrder Order;
    Order.Service = ServiceId("s");
    Order.To = "v2";
    Order.Length = Setup.Length;
    Order.Revision = 7;
    return Order;
  }

  auto at(TimePoint Time, std::function<void()> Action) -> void {
    Events.push({Time, ++LastEvent, std::move(Action)});
  }

  auto lost() -> bool { return Random.chance(Setup.LostMessages); }

  auto loseLeader() -> void {
    Leading = false;
    ++Leader; // Its writes that are on their way get no answer.
    at(Now + LeaderGap, [this] {
      Control = RolloutController(makeOrder(), bounds(), false, "v1", Now);
      if (Stored)
        Control.continueFrom(*Stored, Now);
      Leading = true;
      LedSince = Now;
      WritingRecord = WritingStatus = false;
    });
  }

  /// The store is sometimes a hundred times slower.
  auto storeDelay() -> Duration {
    return Duration(Random.chance(0.1) ? 500'000 : 5'000);
  }

  auto writeRecord() -> void {
    const auto Record = Control.pendingRecord(Now);
    if (!Record || WritingRecord)
      return;
    WritingRecord = true;
    at(Now + storeDelay(), [this, Record, Writer = Leader] {
      Stored = Record;
      if (Writer != Leader)
        return;
      WritingRecord = false;
      Control.recorded(*Record, Now);
    });
  }

  auto writeStatus() -> void {
    const RolloutState Due = Control.dueState();
    if (Due == Status || WritingStatus || Status == RolloutState::Succeeded ||
        Status == RolloutState::RolledBack)
      return;
    WritingStatus = true;
    at(Now + storeDelay(), [this, Due, Writer = Leader] {
      Status = Due;
      WritingStatus = WritingStatus && Writer != Leader;
      if (Due != RolloutState::Running)
        Out.EndedAt = Now - Start;
    });
  }

  auto tick() -> void {
    at(Now + std::chrono::milliseconds(100), [this] { tick(); });
    if (!Leading)
      return;
    RolloutController::View View;
    View.OldSlots = 2 * Setup.Targets;
    for (const Server &Each : Servers) {
      if (!Each.Fresh || Now < Each.ReadyAt)
        continue;
      View.NewSlots += 2;
      View.WarmNewSlots += Now >= Each.ColdUntil ? 2 : 0;
    }
    View.MembersKnown = !Setup.LeaderLostAt || Now - LedSince >= MembersKnown;
    for (const Node &Each : Nodes)
      View.Members.insert(Each.Id);
    Control.step(View, Now);
    writeRecord();
    writeStatus();
  }

  auto report(std::uint32_t Index) -> void {
    Node &Sender = Nodes[Index];
    if (Leading && !lost()) {
      RolloutReport Report = Sender.Share.report();
      Report.RunningAtOld = Sender.AtOld;
      Report.Age = Now - Start;
      Report.SeenRevision = makeOrder().Revision;
      Control.recordReport(Sender.Id, "p", Report, Now);
      if (!lost())
        at(Now + std::chrono::milliseconds(5),
           [this, Index, Notice = Control.notice(Now)] {
             Nodes[Index].Share.decided(Notice, Now);
           });
    }
    at(Now + std::chrono::milliseconds(400), [this, Index] { report(Index); });
  }

  auto arrive() -> void {
    at(Now + Duration(static_cast<std::int64_t>(-std::log(1 - Random.unit()) /
                                                Setup.RequestsPerSecond * 1e6)),
       [this] { arrive(); });
    if (Now - Start < Setup.Length)
      ++Out.Requests;
    const auto Index = static_cast<std::uint32_t>(Random.below(Nodes.size()));
    Node &Sender = Nodes[Index];
    Server *Chosen = nullptr;
    const bool Complete = Sender.Share.stage() == RolloutStage::Complete;
    if (Complete)
      Chosen = chooseAny(true);
    else if (Sender.Share.mayCompare(Setup.Instances, Now))
      Chosen = chooseFew(Sender);
    const bool Compared = Chosen && !Complete;
    if (!Chosen)
      Chosen = chooseAny(Complete);
    if (!Chosen)
      return; // All are full: the request is refused.
    Sender.Share.requestSent();
    if (Compared)
      Sender.Share.sentToNew();
    send(Index, *Chosen);
  }

  auto chooseFew(const Node &Sender) -> Server * {
    std::vector<std::size_t> Ready;
    std::vector<bool> Cold;
    for (std::size_t Index = Setup.Targets; Index < Servers.size(); ++Index)
      if (Now >= Servers[Index].ReadyAt) {
        Ready.push_back(Index);
        Cold.push_back(Now < Servers[Index].ColdUntil);
      }
    const std::vector<std::size_t> Few =
        Sender.Share.compared(Cold, Setup.Targets);
    if (Few.empty())
      return nullptr;
    return choose([&] { return Ready[Few[Random.below(Few.size())]]; }, 2);
  }
  auto chooseAny(bool Fresh) -> Server * {
    return choose(
        [&] {
          return Random.below(Setup.Targets) + (Fresh ? Setup.Targets : 0);
        },
        5);
  }

  /// The best of six random targets.
  auto choose(const std::function<std::size_t()> &Sampled,
              std::uint32_t MaxRunning) -> Server * {
    Server *Best = nullptr;
    double BestCost = 0;
    for (int Sample = 0; Sample < 6; ++Sample) {
      Server &Each = Servers[Sampled()];
      const bool Cold = Now < Each.ColdUntil;
      if (Each.Crashed || Now < Each.ReadyAt || Each.Running >= MaxRunning ||
          (Cold && Each.ColdSends >= 10))
        continue;
      const double Cost = Each.Factor * (Each.Noisy ? 2 : 1) *
                          (1 + std::max(0.0, Each.Running - 1.0) / 2);
      if (!Best || Cost < BestCost) {
        Best = &Each;
        BestCost = Cost;
      }
    }
    return Best;
  }

  auto send(std::uint32_t Index, Server &To) -> void {
    if (To.Fresh) {
      if (Now - Start < Setup.Length)
        ++Out.ToNew;
      if (FiftiethBadAt != LongAgo)
        Out.SentAfterBad = Now - FiftiethBadAt;
    } else if (Status == RolloutState::Succeeded) {
      Out.SentToOldAfterSuccess = true;
    }
    if (Now >= To.NoiseUntil) {
      To.Noisy = Random.chance(0.2);
      To.NoiseUntil = Now + std::chrono::milliseconds(400);
    }
    To.ColdSends += Now < To.ColdUntil ? 1 : 0;
    const std::string Route = "/r" + std::to_string(Random.below(3));
    const bool Bad = To.Fresh && isBad(To, Route);
    const bool Cold = Now < To.ColdUntil;
    const bool LongRoute = Setup.ColdTargets && Route == "/r2";
    const Duration TimeLimit = LongRoute ? LongRouteTimeout : Deadline;
    double Ms = (LongRoute ? 240 : 94) * To.Factor * (To.Noisy ? 3 : 1) *
                (Random.chance(0.03) ? 7 : 1) * (0.5 + Random.unit()) *
                (Cold ? Setup.ColdSlowdown : 1);
    if (Bad && Setup.Kind == Badness::Slow)
      Ms *= Setup.Slowdown;
    auto &Slot = *std::min_element(To.SlotFreeAt.begin(), To.SlotFreeAt.end());
    Slot = std::max(Slot, Now) + Duration(static_cast<std::int64_t>(Ms * 1000));
    ++To.Running;
    Nodes[Index].AtOld += To.Fresh ? 0 : 1;
    at(Slot, [&To] { --To.Running; });
    const bool Late = Slot - Now > TimeLimit;
    at(std::min(Slot, Now + TimeLimit),
       [this, Index, &To, Route, Bad, Late, Cold, SentAt = Now] {
         const bool Failed =
             Late || To.Crashed || (Bad && Setup.Kind != Badness::Slow);
         Node &Sender = Nodes[Index];
         Sender.AtOld -= To.Fresh ? 0 : 1;
         Sender.BadResponses += Bad ? 1 : 0;
         BadResponses += Bad ? 1 : 0;
         if (BadResponses == 50 && FiftiethBadAt == LongAgo)
           FiftiethBadAt = Now;
         Sender.Share.ended(
             To.Fresh ? "v2" : "v1", Route,
             {Failed && !Late ? std::nullopt : std::optional(Now - SentAt),
              Late, Cold});
       });
  }

  auto isBad(const Server &To, const std::string &Route) -> bool {
    switch (Setup.Kind) {
    case Badness::None:
      return false;
    case Badness::Failures:
      return Random.chance(Setup.FailurePart);
    case Badness::Slow:
      return true;
    case Badness::Later:
      return Now - Start > Setup.Length * 2 / 5 && Random.chance(0.4);
    case Badness::UnderLoad:
      return To.Running >= 1 && Random.chance(0.6);
    case Badness::OneRoute:
      return Route == "/r1" && Random.chance(0.6);
    }
    return false;
  }

  auto crash() -> void {
    Server &Ended = Servers[Setup.Targets + Random.below(Setup.Targets)];
    Ended.Crashed = true;
  }

  /// Time-out of a leader's replies, delay of the claims and a slow write of
  /// the claim, as in FleetMember.
  static constexpr Duration LeaderGap = std::chrono::milliseconds(2600);
  static constexpr Duration MembersKnown = std::chrono::milliseconds(900);
  static constexpr Duration Deadline = std::chrono::milliseconds(1500);
  static constexpr Duration LongRouteTimeout = std::chrono::milliseconds(900);
  static constexpr Duration ColdPeriod = std::chrono::seconds(3);
  static constexpr Duration ColdStartSpread = std::chrono::seconds(2);
  static constexpr TimePoint Start{std::chrono::seconds(1000)};

  RolloutScenario Setup;
  RandomSource Random;
  RolloutController Control;
  std::vector<Server> Servers;
  std::vector<Node> Nodes;
  std::priority_queue<Event> Events;
  std::uint64_t LastEvent = 0;
  TimePoint Now = Start;
  bool Leading = true;
  std::uint32_t Leader = 0;
  TimePoint LedSince = Start;
  bool WritingRecord = false;
  bool WritingStatus = false;
  std::optional<RolloutRecord> Stored;
  RolloutState Status = RolloutState::None;
  std::uint32_t BadResponses = 0;
  TimePoint FiftiethBadAt = LongAgo;
  RolloutOutcome Out;
};

} // namespace buckthornring::test
