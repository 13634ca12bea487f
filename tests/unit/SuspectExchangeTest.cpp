#include "Gateway/SuspectExchange.h"
#include "buckthornring/Common/Random.h"
#include "support/EventQueue.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>

using namespace buckthornring;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = CrashSuspects::Verdict;

namespace {

constexpr Duration ReportInterval = milliseconds(400);
constexpr std::uint64_t Deadly = 7;
constexpr std::uint64_t Innocent = 8;

/// One instance. Its address tells its data centre.
struct Peer {
  Peer(std::string Address, SuspectExchange::FleetContext Context)
      : Address(std::move(Address)), Exchange(std::move(Context)) {}

  std::string Address;
  SuspectExchange Exchange;
};

/// Instances of several data centres in virtual time, with messages that are
/// encoded, delayed and lost.
class VirtualFleet {
public:
  static constexpr std::size_t DataCentres = 3;

  explicit VirtualFleet(std::size_t PeersInEach, std::uint64_t Seed = 5)
      : Random(Seed), Count(DataCentres * PeersInEach), Tables(Count),
        Peers(Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      restart(Index);
      scheduleReport(Index);
    }
    run(milliseconds(1));
  }

  /// Starts a new process in place of an instance.
  auto restart(std::size_t Index) -> void {
    Tables[Index] = std::make_unique<CrashSuspects>();
    Peers[Index] = std::make_unique<Peer>(address(Index), context(Index));
    Tables[Index]->setChangeHandler([this, Index](CrashSuspects::Change Kind) {
      Peers[Index]->Exchange.onChanged(Kind);
    });
  }
  auto setLeader(std::optional<std::size_t> Next) -> void {
    Leader = Next;
    for (const auto &Each : Peers)
      Each->Exchange.onLeaderChanged();
  }
  /// Only messages inside a data centre arrive.
  auto setCut(bool IsCut) -> void { Cut = IsCut; }
  auto loseNotices(bool Lost) -> void { NoticesLost = Lost; }
  auto setLoss(double Share) -> void { Loss = Share; }

  auto accuse(std::size_t Index, std::uint64_t Request,
              std::uint64_t Incarnation) -> void {
    Tables[Index]->accuse(Request, Incarnation, Queue.now());
  }
  auto complete(std::size_t Index, std::uint64_t Request) -> void {
    Tables[Index]->completed(Request, Queue.now());
  }
  /// Completes the request at one of the instances that suspect it.
  auto completeAtOne(std::uint64_t Request) -> void {
    for (std::size_t Index = 0; Index < Count; ++Index)
      if (verdict(Index, Request) != Verdict::Clear)
        return complete(Index, Request);
  }
  auto run(Duration Time) -> void { Queue.runUntil(Queue.now() + Time); }

  auto verdict(std::size_t Index, std::uint64_t Request) const -> Verdict {
    return Tables[Index]->verdict(Request, Queue.now());
  }
  /// Number of instances with this verdict.
  auto agreeing(std::uint64_t Request, Verdict Expected) const -> std::size_t {
    std::size_t Agreeing = 0;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Agreeing += verdict(Index, Request) == Expected ? 1 : 0;
    return Agreeing;
  }
  auto size() const -> std::size_t { return Count; }

  std::size_t Notices = 0;       ///< Sent to one instance each.
  std::size_t ToldByReports = 0; ///< Suspects in reports and replies.

private:
  static auto address(std::size_t Index) -> std::string {
    return std::to_string(Index % DataCentres) + ":" + std::to_string(Index);
  }
  static auto indexOf(const std::string &Address) -> std::size_t {
    return std::stoul(Address.substr(2));
  }
  static auto dataCentreOf(const std::string &Address) -> DataCentreId {
    return DataCentreId(Address.substr(0, 1));
  }
  auto leads(std::size_t Index) const -> bool { return Leader == Index; }

  auto context(std::size_t Index) -> SuspectExchange::FleetContext {
    return {*Tables[Index],
            Events,
            [this, Index](const SuspectExchange::Addresses &To,
                          const SuspectNotice &Notice) {
              Notices += To.size();
              for (const std::string &Each : To)
                if (!NoticesLost)
                  transmit(Index, indexOf(Each), Notice);
            },
            [this, Index] { return leads(Index); },
            [this, Index] { return neighboursAndLeader(Index); },
            [this, Index](const DataCentreId &Left) {
              return outside(Index, Left);
            },
            dataCentreOf,
            [this, Index](Duration Delay) {
              Queue.after(Delay, [this, Index] {
                Peers[Index]->Exchange.flush(Queue.now());
              });
            }};
  }
  auto neighboursAndLeader(std::size_t Index) const
      -> SuspectExchange::Addresses {
    SuspectExchange::Addresses Out;
    for (std::size_t Other = 0; Other < Count; ++Other)
      if (Other != Index &&
          (Other % DataCentres == Index % DataCentres || leads(Other)))
        Out.push_back(address(Other));
    return Out;
  }
  auto outside(std::size_t Index, const DataCentreId &Left) const
      -> SuspectExchange::Addresses {
    SuspectExchange::Addresses Out;
    for (std::size_t Other = 0; Other < Count; ++Other)
      if (Other != Index && dataCentreOf(address(Other)) != Left)
        Out.push_back(address(Other));
    return Out;
  }

  auto scheduleReport(std::size_t Index) -> void {
    Queue.after(ReportInterval, [this, Index] {
      if (Leader && !leads(Index)) {
        FleetReport Report;
        Peers[Index]->Exchange.addTo(Report, Queue.now());
        ToldByReports += Report.Suspects.Suspects.size();
        transmit(Index, *Leader, Report);
      }
      scheduleReport(Index);
    });
  }

  auto transmit(std::size_t From, std::size_t To, const FleetMessage &Message)
      -> void {
    if ((Cut && From % DataCentres != To % DataCentres) || Random.chance(Loss))
      return;
    const Duration Delay = milliseconds(1 + Random.below(15));
    Queue.after(Delay, [this, From, To, Bytes = encodeFleetMessage(Message)] {
      const auto Decoded = decodeFleetMessage(Bytes);
      ASSERT_TRUE(Decoded) << Decoded.error().message();
      receive(From, To, *Decoded);
    });
  }
  auto receive(std::size_t From, std::size_t To, const FleetMessage &Message)
      -> void {
    SuspectExchange &Receiver = Peers[To]->Exchange;
    if (const auto *Notice = std::get_if<SuspectNotice>(&Message))
      Receiver.receive(*Notice, address(From), Queue.now());
    if (const auto *Reply = std::get_if<FleetReply>(&Message))
      Receiver.onReply(*Reply, address(From), Queue.now());
    const auto *Report = std::get_if<FleetReport>(&Message);
    if (!Report || !leads(To))
      return;
    FleetReply Reply;
    Receiver.answer(*Report, address(From), Reply, Queue.now());
    ToldByReports += Reply.Suspects.Suspects.size();
    transmit(To, From, Reply);
  }

  buckthornring::testing::EventQueue Queue{TimePoint(seconds(1000))};
  EventLog Events{"i", {}, -1};
  RandomSource Random;
  std::size_t Count;
  std::optional<std::size_t> Leader = 0;
  bool Cut = false;
  bool NoticesLost = false;
  double Loss = 0;
  std::vector<std::unique_ptr<CrashSuspects>> Tables;
  std::vector<std::unique_ptr<Peer>> Peers;
};

auto crashThreeTimes(VirtualFleet &Fleet, std::uint64_t Request) -> void {
  for (const std::size_t Crash : {1, 2, 3}) {
    Fleet.accuse(Crash, Request, Crash);
    Fleet.run(milliseconds(5));
  }
}

// Guards against a request that crashes targets for each instance, or each data
// centre, anew.
TEST(SuspectExchangeTest, ThreeCrashesAtDifferentInstancesAreKnownToAllAtOnce) {
  VirtualFleet Fleet(4);
  crashThreeTimes(Fleet, Deadly);
  Fleet.run(milliseconds(80));
  EXPECT_EQ(Fleet.agreeing(Deadly, Verdict::Quarantined), Fleet.size());
  EXPECT_EQ(Fleet.agreeing(Innocent, Verdict::Clear), Fleet.size());
}

TEST(SuspectExchangeTest, CompletionClearsTheRequestAtAllInstances) {
  VirtualFleet Fleet(4);
  crashThreeTimes(Fleet, Innocent);
  Fleet.run(milliseconds(80));
  Fleet.complete(5, Innocent);
  Fleet.run(milliseconds(200));
  EXPECT_EQ(Fleet.agreeing(Innocent, Verdict::Clear), Fleet.size());
}

// Guards against a completion that is lost on its way and leaves a request
// quarantined at others, who then never see it completed.
TEST(SuspectExchangeTest, LostNoticesAreRepairedByReports) {
  VirtualFleet Fleet(4);
  Fleet.loseNotices(true);
  crashThreeTimes(Fleet, Deadly);
  crashThreeTimes(Fleet, Innocent);
  EXPECT_LT(Fleet.agreeing(Deadly, Verdict::Quarantined), Fleet.size());
  Fleet.run(seconds(1));
  EXPECT_EQ(Fleet.agreeing(Deadly, Verdict::Quarantined), Fleet.size());
  Fleet.complete(5, Innocent);
  Fleet.loseNotices(false);
  Fleet.run(seconds(1));
  EXPECT_EQ(Fleet.agreeing(Innocent, Verdict::Clear), Fleet.size());
  EXPECT_EQ(Fleet.agreeing(Deadly, Verdict::Quarantined), Fleet.size());
}

TEST(SuspectExchangeTest, LostCompletionIsRepairedByTheNextReports) {
  VirtualFleet Fleet(4);
  crashThreeTimes(Fleet, Innocent);
  Fleet.run(milliseconds(80));
  Fleet.loseNotices(true);
  Fleet.complete(5, Innocent);
  Fleet.run(milliseconds(200));
  EXPECT_EQ(Fleet.agreeing(Innocent, Verdict::Clear), 1U);
  Fleet.loseNotices(false);
  Fleet.run(seconds(2));
  EXPECT_EQ(Fleet.agreeing(Innocent, Verdict::Clear), Fleet.size());
}

// Guards against a new leader that starts without what the others know and
// tells nothing to the instances that start after it.
TEST(SuspectExchangeTest, NewLeaderAndNewProcessesLearnFromReportsAndReplies) {
  VirtualFleet Fleet(4);
  crashThreeTimes(Fleet, Deadly);
  Fleet.run(seconds(1));
  Fleet.setLeader(std::nullopt);
  for (const std::size_t Restarted : {0, 4, 5, 8})
    Fleet.restart(Restarted);
  EXPECT_EQ(Fleet.verdict(4, Deadly), Verdict::Clear);
  Fleet.run(seconds(1));
  Fleet.setLeader(4);
  Fleet.run(seconds(1));
  EXPECT_EQ(Fleet.agreeing(Deadly, Verdict::Quarantined), Fleet.size());
  Fleet.restart(7);
  Fleet.run(ReportInterval + milliseconds(50));
  EXPECT_EQ(Fleet.verdict(7, Deadly), Verdict::Quarantined);
}

TEST(SuspectExchangeTest, NeighboursLearnWithoutALeaderAndOthersFromTheNext) {
  VirtualFleet Fleet(4);
  Fleet.run(seconds(1));
  Fleet.setLeader(std::nullopt);
  for (const std::uint64_t Incarnation : {1, 2, 3})
    Fleet.accuse(1, Deadly, Incarnation);
  Fleet.run(milliseconds(80));
  EXPECT_EQ(Fleet.agreeing(Deadly, Verdict::Quarantined), 4U);
  Fleet.setLeader(2);
  Fleet.run(seconds(1));
  EXPECT_EQ(Fleet.agreeing(Deadly, Verdict::Quarantined), Fleet.size());
}

TEST(SuspectExchangeTest, DataCentresThatWereCutOffLearnAfterTheCut) {
  VirtualFleet Fleet(4);
  Fleet.setCut(true);
  Fleet.accuse(1, Deadly, 1);
  Fleet.accuse(2, Deadly, 2);
  Fleet.accuse(4, Deadly, 3);
  Fleet.run(seconds(5));
  EXPECT_EQ(Fleet.agreeing(Deadly, Verdict::Quarantined), 0U);
  EXPECT_EQ(Fleet.agreeing(Deadly, Verdict::Suspected), 8U);
  Fleet.setCut(false);
  Fleet.run(seconds(1));
  EXPECT_EQ(Fleet.agreeing(Deadly, Verdict::Quarantined), Fleet.size());
}

// Guards against notices that circulate, and against traffic between data
// centres that lasts as long as a suspect is remembered.
TEST(SuspectExchangeTest, EachInstanceIsToldOnceAndSuspectsAreNotRepeated) {
  VirtualFleet Fleet(4);
  Fleet.run(seconds(1));
  EXPECT_EQ(Fleet.Notices, 0U);
  Fleet.accuse(1, Deadly, 1);
  Fleet.run(seconds(2));
  EXPECT_EQ(Fleet.agreeing(Deadly, Verdict::Suspected), Fleet.size());
  // Neighbours and leader by the accuser, the others by the leader.
  EXPECT_LE(Fleet.Notices, Fleet.size());
  const std::size_t Told = Fleet.ToldByReports;
  Fleet.run(seconds(20));
  EXPECT_EQ(Fleet.ToldByReports, Told);
  EXPECT_LE(Fleet.Notices, Fleet.size());
}

/// Many crashes and completions, of which every tenth message is lost.
auto crashAndLoseMessages(VirtualFleet &Fleet, RandomSource &Random) -> void {
  Fleet.setLoss(0.1);
  for (int Step = 0; Step < 60; ++Step) {
    const std::size_t Index = Random.below(Fleet.size());
    Fleet.accuse(Index, Step % 2 == 0 ? Deadly : Innocent + Random.below(4),
                 Random.next());
    if (Random.chance(0.5))
      Fleet.complete(Random.below(Fleet.size()), Innocent + Random.below(4));
    Fleet.run(milliseconds(Random.below(200)));
  }
}

TEST(SuspectExchangeTest, AllAgreeSoonAfterManyCrashesUnderLossOfMessages) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SCOPED_TRACE(Seed);
    VirtualFleet Fleet(6, Seed);
    RandomSource Random(Seed);
    crashAndLoseMessages(Fleet, Random);
    // Within the time by which an instance counts as in contact.
    Fleet.run(seconds(3));
    EXPECT_EQ(Fleet.agreeing(Deadly, Verdict::Quarantined), Fleet.size());
    for (std::uint64_t Request = Innocent; Request < Innocent + 4; ++Request) {
      EXPECT_EQ(Fleet.agreeing(Request, Fleet.verdict(0, Request)),
                Fleet.size())
          << Request;
      Fleet.completeAtOne(Request);
      Fleet.run(seconds(3));
      EXPECT_EQ(Fleet.agreeing(Request, Verdict::Clear), Fleet.size())
          << Request;
    }
  }
}

TEST(SuspectExchangeTest, ThirdCrashIsKnownInTimeUnderHeavyLossOfMessages) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    VirtualFleet Fleet(6, Seed);
    Fleet.setLoss(0.3);
    crashThreeTimes(Fleet, Deadly);
    Fleet.run(seconds(3));
    EXPECT_EQ(Fleet.agreeing(Deadly, Verdict::Quarantined), Fleet.size())
        << Seed;
  }
}

} // namespace
