#pragma once

#include "Fleet/AuthorityEvidence.h"
#include "Fleet/RangeAssigner.h"
#include "Fleet/StoreRevision.h"
#include "buckthornring/Common/Random.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring {

/// Faults of the evidence that earlier leaders have ended, which the schedules
/// have to notice.
enum class EvidenceFault {
  None,
  AnswersBeforeStopping, ///< An earlier leader stops after its answer only.
  TransitNotCounted,     ///< Orders of an ended process arrive later.
  OnlyLastLeader,        ///< Leaders before the last one are not asked.
  UnansweredForgotten,   ///< Ages for targets leave out unanswered orders.
};

/// Probabilities of the faults in one schedule.
struct RangeFaults {
  double LostOrder = 0.02;     ///< The order never arrives.
  double LostResponse = 0.02;  ///< The order arrives, its response does not.
  double LateOrder = 0.02;     ///< Accepted on arrival, takes effect later.
  double LostWrite = 0.05;     ///< The response to the write is lost.
  double LeaderChange = 0.002; ///< Per step of 10 ms, as the following ones.
  double TargetRestart = 0.002;
  double TargetUnreachable = 0.002; ///< Unreachable for some seconds.
  double TargetDrain = 0.001;
  double StoreRestored = 0; ///< The store comes back from an earlier state.
  /// A target is cut off from the directory only and restarts meanwhile.
  double RestartBehindCut = 0;
  /// Per new leader: its target records are some seconds old at first.
  double StaleRecords = 0;
  /// Whether a superseded leader that knows no later record of a target
  /// reaches its later incarnations.
  bool EarlierLeadersReachRestarted = true;
  /// The connection is slow, or the leader is short of processor time: the
  /// order arrives at any time before its connection ends.
  double SlowOrder = 0;
  /// Per leader change: a part of the targets is reached by the earlier leaders
  /// only, for longer than those have authority. The others are not.
  double LeaderCutOff = 0;
  /// Per new leader: it asks the earlier ones whether they have ended.
  double EarlierAsked = 0;
  /// Per leader change: the process of the earlier leader ends within seconds,
  /// and mostly starts again.
  double LeaderKilled = 0;
  EvidenceFault Evidence = EvidenceFault::None;
  /// Keys become busier than a target bears, others every 10 s, so that ranges
  /// are split, moved and joined all the time.
  bool BusyKeys = false;
};

/// Simulates the range assigners of several leaders, targets that hold keys,
/// and the store, in virtual time. Checks after each step that no key has two
/// holders.
class RangeSimulation {
public:
  static constexpr std::uint32_t Keys = 256;
  static constexpr Duration Timeout = std::chrono::milliseconds(500);
  /// Time for opening a connection and for the response to an order on it.
  static constexpr Duration LongestOrder = std::chrono::milliseconds(750);
  /// Time without a sign of a target after which its record is removed.
  static constexpr Duration RecordLifetime = std::chrono::milliseconds(3000);
  static constexpr Duration SupersededWriteLimit =
      std::chrono::milliseconds(700);

  RangeSimulation(std::uint64_t Seed, RangeFaults Faults, RangeTimes Times = {})
      : Random(Seed), Faults(Faults), Times(Times) {
    for (int Index = 0; Index < 5; ++Index) {
      Target &Added = Targets["t" + std::to_string(Index)];
      Added.Id = "t" + std::to_string(Index);
      Added.Listings[LongAgo] = Added.Incarnation;
    }
    changeLeader();
  }

  /// Runs \p Steps of 10 ms. Returns the first violation, or nothing.
  auto run(int Steps) -> std::optional<std::string> {
    for (int Step = 0; Step < Steps; ++Step) {
      Now += std::chrono::milliseconds(10);
      injectFaults();
      runDueEvents();
      for (const auto &Each : Leaders)
        runLeader(*Each);
      if (auto Violation = check())
        return Violation;
      countServed();
    }
    return std::nullopt;
  }

  /// Stops all faults, so that the assignment becomes stable.
  auto stopFaults() -> void {
    Faults = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, true, 0, 0, 0, 0};
    for (auto &[Id, Each] : Targets) {
      Each.UnreachableUntil = LongAgo;
      Each.Draining = false;
    }
  }

  /// What becomes of the process of a leader that is replaced.
  enum class LeaderEnd {
    Lives,    ///< It has lost the store only, and sends orders until asked.
    Restarts, ///< It ends now, and another one answers at its address later.
    Silent,   ///< It ends now, and nobody answers.
  };
  /// A target ends and does not come back. Its record is removed later.
  auto loseOwner() -> void {
    Target &Lost = Targets.begin()->second;
    Lost.UnreachableUntil = TimePoint::max();
    Lost.HeldUntil.clear();
    schedule(RecordLifetime,
             [this, &Lost] { Lost.Listings[Now] = std::nullopt; });
  }
  /// Another instance claims the leadership after \p Claim.
  auto loseLeader(LeaderEnd End, Duration Claim, Duration Restart) -> void {
    LeaderProcess &Last = *Leaders.back();
    Last.Answers = End != LeaderEnd::Silent;
    if (End == LeaderEnd::Restarts)
      Last.RestartedAt = Now + Restart;
    if (End != LeaderEnd::Lives)
      endLeadership(Last);
    schedule(Claim, [this] { changeLeader(); });
  }
  /// Returns the time until all keys have a holder.
  auto timeToServed() -> Duration {
    const TimePoint Start = Now;
    while (servedNow() < 1 && Now - Start < std::chrono::seconds(60))
      run(1);
    return Now - Start;
  }

  /// Average share of the keys that have a holder, over all steps.
  auto servedShare() const -> double {
    return Steps == 0 ? 0 : Served / static_cast<double>(Steps);
  }
  /// Number of takeovers in which all earlier leaders were known to have ended.
  auto evidencedTakeovers() const -> int { return Evidenced; }
  /// Largest number of recorded ranges, as seen at changes of the leader.
  auto mostRanges() const -> std::size_t { return MostRanges; }
  auto servedNow() const -> double { return heldKeys() / double{Keys}; }

private:
  struct Target {
    std::string Id;
    std::int64_t Incarnation = 1;
    double ClockRate = 1; ///< Duration of a granted second, up to 1.02 s.
    std::map<std::uint32_t, std::uint64_t> Fences;
    std::map<std::uint32_t, TimePoint> HeldUntil;
    TimePoint UnreachableUntil = LongAgo;
    bool Draining = false;
    TimePoint CutUntil = LongAgo; ///< Cut off from the directory.
    /// Incarnation in the directory from each time on; nothing: no record.
    std::map<TimePoint, std::optional<std::int64_t>> Listings;

    auto listedAt(TimePoint When) const -> std::optional<std::int64_t> {
      return std::prev(Listings.upper_bound(When))->second;
    }
  };
  struct LeaderProcess {
    explicit LeaderProcess(RangeTimes Times)
        : Assigner(Keys, Times), Evidence(Times) {}

    RangeAssigner Assigner;
    KeyLoad Load;
    std::uint64_t Term = 0;
    std::uint64_t Era = 0; ///< In which it became the leader.
    TimePoint ConfirmedAt;
    TimePoint PlanAt = LongAgo;
    std::set<TargetId> Granting;
    std::uint64_t Generation = 0; ///< Of the assigner whose answers are used.
    /// The assigner waits for the grants of earlier leaders only.
    bool FirstTakeover = true;
    bool OrdersSent = false;
    bool Dropped =
        false; ///< Refused by a target; has not read the store since.
    bool Writing = false;
    std::uint64_t WriteNumber = 0; ///< Of the write whose answer is used.
    AuthorityEvidence Evidence;
    std::string Name;
    double ClockRate = 1; ///< Of the ages that it tells.
    bool Answers = true;
    /// Orders on their way arrive until TransitLimit after that.
    TimePoint EndedAt = TimePoint::max();
    TimePoint RestartedAt = TimePoint::max();
    /// When the last orders ended, and the targets of those that have not.
    std::map<TargetId, TimePoint> OrderEnds;
    std::multiset<TargetId> InFlight;
    bool Stopped = false;
    bool Superseded = false; ///< Replaced by a new leader, without knowing it.
    TimePoint SupersededAt = LongAgo;
    /// Until then it knows the target records of StaleFrom only.
    TimePoint StaleUntil = LongAgo;
    TimePoint StaleFrom = LongAgo;

    auto recordsOf(TimePoint Now) const -> TimePoint {
      return Now < StaleUntil ? StaleFrom : Now;
    }
  };
  using LeaderPtr = std::shared_ptr<LeaderProcess>;

  auto changeLeader() -> void {
    for (const auto &Each : Leaders) {
      if (!std::exchange(Each->Superseded, true))
        Each->SupersededAt = Now;
    }
    if (Leaders.size() > 2)
      Leaders.pop_front();
    if (!Leaders.empty() && Faults.LeaderKilled > 0 &&
        Random.chance(Faults.LeaderKilled))
      killSoon(Leaders.back());
    MostRanges = std::max(MostRanges, Recorded.Ranges.size());
    auto Next = std::make_shared<LeaderProcess>(Times);
    Next->Term = ++LastTerm;
    Next->Era = eraOf(Revision);
    Next->ConfirmedAt = Now;
    if (Faults.EarlierAsked > 0)
      beginInquiry(Next);
    takeOver(*Next, Recorded, Revision);
    if (Faults.StaleRecords > 0 && Random.chance(Faults.StaleRecords)) {
      Next->StaleFrom = Now - std::chrono::milliseconds(Random.below(6000));
      Next->StaleUntil = Now + std::chrono::milliseconds(Random.below(4000));
    }
    Leaders.push_back(std::move(Next));
    if (Faults.LeaderCutOff > 0 && Random.chance(Faults.LeaderCutOff))
      for (auto &[Id, Each] : Targets)
        if (Random.chance(0.5))
          Each.UnreachableUntil = Now + Times.AuthorityPeriod + RecordLifetime +
                                  Times.maxHoldPeriod();
  }

  /// Starts the inquiry of a new leader by the leader object that it replaces.
  auto beginInquiry(const LeaderPtr &NextPtr) -> void {
    LeaderProcess &Next = *NextPtr;
    Next.Name = "p" + std::to_string(Next.Term);
    Next.ClockRate = 1 + 0.04 * Random.unit();
    Next.Answers = Random.chance(0.9);
    LeaderInfo Info{InstanceId(Next.Name), Next.Name, Next.Name, Next.Term};
    EarlierLeaders Earlier;
    if (RecordedLeader.Term != 0) {
      // Some processes have started recently and know the last term only.
      TermHistory Recent(Times);
      Recent.seen(RecordedLeader.Term, Now);
      Earlier = (Random.chance(0.5) ? Terms : Recent)
                    .leadersBefore(RecordedLeader, RecordedEarlier, Now);
    } else if (Next.Term == 1) {
      Earlier.MayBeMore = false;
    }
    if (Faults.Evidence == EvidenceFault::OnlyLastLeader &&
        !Earlier.Leaders.empty())
      Earlier = {{Earlier.Leaders.front()}, false};
    if (Random.chance(Faults.EarlierAsked))
      Next.Evidence.begin(Earlier, Next.Term, Now);
    RecordedLeader = Info;
    RecordedEarlier = Earlier;
    Processes[Next.Name] = NextPtr;
    Terms.seen(Next.Term, Now);
  }
  auto killSoon(const LeaderPtr &Process) -> void {
    schedule(std::chrono::milliseconds(Random.below(4000)), [this, Process] {
      if (!Process->Superseded || Process->RestartedAt != TimePoint::max())
        return;
      endLeadership(*Process);
      // Orders in transit show only if the restart is sooner than they arrive.
      const TimePoint Restart = Now + std::chrono::milliseconds(Random.below(
                                          Random.chance(0.6) ? 30 : 2000));
      Process->RestartedAt = Random.chance(0.8) ? Restart : TimePoint::max();
      Process->Answers = Process->RestartedAt != TimePoint::max();
    });
  }
  auto endLeadership(LeaderProcess &Process) -> void {
    Process.Stopped = true;
    Process.EndedAt = std::min(Process.EndedAt, Now);
    for (const TargetId &Each : std::exchange(Process.InFlight, {}))
      if (Faults.Evidence != EvidenceFault::UnansweredForgotten)
        Process.OrderEnds[Each] = Now;
  }

  /// Messages may be lost, late and out of order.
  auto sendMessage(std::function<void()> Deliver) -> void {
    if (!Random.chance(0.2))
      schedule(Random.chance(0.1)
                   ? std::chrono::milliseconds(Random.below(2000))
                   : delay(),
               std::move(Deliver));
  }
  auto ask(LeaderProcess &Leader) -> void {
    for (const LeaderInfo &Earlier : Leader.Evidence.dueQueries(Now))
      sendMessage([this, Name = Earlier.Process, Asking = Leader.Term,
                   Weak = weakReference(Leader)] {
        const auto Answer = answerOf(Name, Asking);
        if (Answer)
          sendMessage([this, Weak, Answer = *Answer] {
            if (const auto Leader = Weak.lock())
              receive(*Leader, Answer);
          });
      });
  }
  /// Returns what the process, or a later one at its address, answers.
  auto answerOf(const std::string &Name, std::uint64_t Term)
      -> std::optional<AuthorityAnswer> {
    const LeaderPtr Process = Processes[Name];
    if (!Process || !Process->Answers)
      return std::nullopt;
    const bool Killed = Process->RestartedAt != TimePoint::max();
    if (Killed && Now < Process->RestartedAt)
      return std::nullopt;
    if (!Killed && Process->Term >= Term)
      return AuthorityAnswer{Term, Name, false, 0, {}};
    Duration Age{0};
    if (Killed)
      Age = Now - Process->RestartedAt;
    else if (Faults.Evidence != EvidenceFault::AnswersBeforeStopping)
      endLeadership(*Process);
    else
      schedule(std::chrono::milliseconds(Random.below(1500)),
               [this, Process] { endLeadership(*Process); });
    if (!Killed && Process->EndedAt < Now)
      Age = Now - Process->EndedAt;
    const auto AgeMs = [&](Duration Exact) {
      return static_cast<std::uint32_t>(Exact * Process->ClockRate /
                                        std::chrono::milliseconds(1));
    };
    AuthorityAnswer Answer{Term, Name, true, AgeMs(Age), {}};
    if (!Killed)
      for (const auto &[Target, End] : Process->OrderEnds)
        if (Now - End > Age + Times.RenewInterval)
          Answer.OlderOrderAgesMs[Target] = AgeMs(Now - End);
    return Answer;
  }
  auto receive(LeaderProcess &Leader, const AuthorityAnswer &Answer) -> void {
    if (Leader.Evidence.onAnswer(Answer, Now))
      applyEvidence(Leader);
  }
  auto applyEvidence(LeaderProcess &Leader) -> void {
    auto Ends = Leader.Evidence.lastOrderEnds();
    if (!Ends || !Leader.FirstTakeover)
      return;
    if (Faults.Evidence == EvidenceFault::TransitNotCounted)
      Ends->Latest -= Times.TransitLimit;
    ++Evidenced;
    Leader.Assigner.earlierLeadersEnded(*Ends, Now);
  }

  /// Loses some of the last writes. Then the leader claims again in the new
  /// era, or another instance becomes the leader.
  auto restoreStore() -> void {
    for (auto Lost = Random.below(6); Lost > 0 && History.size() > 1; --Lost)
      History.pop_back();
    RecordedLeader = LeaderInfo();
    const std::uint64_t Era = eraOf(Revision) + 1;
    Recorded = History.back().second;
    Revision = makeRevision(Era, History.back().first);
    const bool LeaderLives = Random.chance(0.6);
    const bool EarlierLives = Random.chance(0.3);
    schedule(std::chrono::milliseconds(
                 Random.below(Random.chance(0.7) ? 3000 : 14'000)),
             [this, Era, LeaderLives, EarlierLives] {
               if (eraOf(Revision) != Era || Leaders.back()->Era == Era)
                 return;
               if (EarlierLives)
                 makeEarlierLeaderLast();
               if (LeaderLives)
                 claimAgain(*Leaders.back());
               else
                 changeLeader();
             });
  }
  /// A leader that was cut off and superseded returns, and knows nothing of the
  /// later one, whose claim is lost.
  auto makeEarlierLeaderLast() -> void {
    for (std::size_t Index = 0; Index + 1 < Leaders.size(); ++Index) {
      if (Leaders[Index]->Stopped)
        continue;
      std::swap(Leaders[Index], Leaders.back());
      if (!std::exchange(Leaders[Index]->Superseded, true))
        Leaders[Index]->SupersededAt = Now;
      Leaders.back()->Superseded = false;
      return;
    }
  }
  auto claimAgain(LeaderProcess &Leader) -> void {
    const bool Lapsed = Now - Leader.ConfirmedAt > Times.AuthorityPeriod;
    Leader.Term = ++LastTerm;
    Leader.Era = eraOf(Revision);
    Leader.ConfirmedAt = Now;
    Leader.Writing = false;
    ++Leader.WriteNumber;
    Leader.Evidence.begin({}, Leader.Term, Now);
    RecordedLeader = {InstanceId(Leader.Name), Leader.Name, Leader.Name,
                      Leader.Term};
    RecordedEarlier = EarlierLeaders();
    Terms.seen(Leader.Term, Now);
    if (Lapsed || Leader.Dropped)
      reload(Leader);
    else
      continueFrom(Leader, Recorded, Revision);
  }
  /// Continues from the store with a new assigner.
  auto reload(LeaderProcess &Leader) -> void {
    Leader.Dropped = false;
    ++Leader.Generation;
    ++Leader.WriteNumber;
    Leader.Writing = false;
    Leader.Granting.clear();
    Leader.Assigner = RangeAssigner(Keys, Times);
    takeOver(Leader, Recorded, Revision);
  }
  auto takeOver(LeaderProcess &Leader, const RangeRecord &Stored,
                std::uint64_t AtRevision) -> void {
    Leader.FirstTakeover =
        !Leader.OrdersSent && Stored.WriterTerm <= Leader.Term;
    Leader.Assigner.takeOver(Stored, AtRevision, Now);
    applyEvidence(Leader);
  }
  /// A target has refused an order, so another leader may have changed the
  /// ranges: the leader drops its state and reads the store.
  auto onRefused(LeaderProcess &Leader) -> void {
    Leader.Dropped = true;
    ++Leader.Generation;
  }
  auto continueFrom(LeaderProcess &Leader, const RangeRecord &Stored,
                    std::uint64_t AtRevision) -> void {
    if (Stored.Era == eraOf(AtRevision) && numberOf(AtRevision) != 0)
      takeOver(Leader, Stored, AtRevision);
    else
      Leader.Assigner.restored(AtRevision, Now);
  }

  auto injectFaults() -> void {
    if (Random.chance(Faults.LeaderChange))
      changeLeader();
    if (Faults.StoreRestored > 0 && Random.chance(Faults.StoreRestored))
      restoreStore();
    for (auto &[Id, Each] : Targets) {
      if (Random.chance(Faults.TargetRestart))
        restart(Each);
      if (Faults.RestartBehindCut > 0 && Now > Each.CutUntil &&
          Random.chance(Faults.RestartBehindCut))
        cutAndRestart(Each);
      if (Random.chance(Faults.TargetUnreachable))
        Each.UnreachableUntil =
            Now + std::chrono::milliseconds(Random.below(6000));
      if (Random.chance(Faults.TargetDrain))
        Each.Draining = !Each.Draining;
      Each.ClockRate = 1 + 0.02 * static_cast<double>(Random.below(2));
    }
  }

  auto restart(Target &Each) -> void {
    ++Each.Incarnation;
    Each.Fences.clear();
    Each.HeldUntil.clear();
    Each.UnreachableUntil = LongAgo;
    Each.Draining = false;
    if (Now > Each.CutUntil)
      Each.Listings[Now] = Each.Incarnation;
  }
  /// The directory keeps the record of the earlier incarnation for some time,
  /// and has none after that until the cut ends.
  auto cutAndRestart(Target &Each) -> void {
    Each.CutUntil = Now + std::chrono::milliseconds(500 + Random.below(6500));
    const std::string Id = Each.Id;
    schedule(std::chrono::milliseconds(Random.below(1000)),
             [this, Id] { restart(Targets.at(Id)); });
    if (Each.CutUntil > Now + RecordLifetime)
      schedule(RecordLifetime,
               [this, Id] { Targets.at(Id).Listings[Now] = std::nullopt; });
    schedule(Each.CutUntil - Now + std::chrono::milliseconds(1), [this, Id] {
      Target &Healed = Targets.at(Id);
      Healed.Listings[Now] = Healed.Incarnation;
    });
  }

  auto runLeader(LeaderProcess &Leader) -> void {
    if (Leader.Stopped)
      return;
    if (!Leader.Superseded && Leader.Era == eraOf(Revision)) {
      Leader.ConfirmedAt = Now;
      // The last write of a superseded leader may have been applied after the
      // takeover.
      if (Leader.Dropped)
        reload(Leader);
      else if (!Leader.Writing && Revision > Leader.Assigner.revision())
        continueFrom(Leader, Recorded, Revision);
    }
    if (Leader.Dropped)
      return;
    ask(Leader);
    if (Now >= Leader.PlanAt) {
      Leader.PlanAt = Now + std::chrono::milliseconds(250);
      Leader.Load.add(static_cast<std::uint32_t>(Random.below(20)), Now);
      if (Faults.BusyKeys) {
        const auto Tens = Now.time_since_epoch() / std::chrono::seconds(10);
        Leader.Load.add(static_cast<std::uint32_t>(Tens * 53 % Keys), Now);
        Leader.Load.add(static_cast<std::uint32_t>(Random.below(Keys)), Now);
      }
      Leader.Assigner.plan(view(Leader), Leader.Load, Now);
    }
    if (Leader.Assigner.pendingWrite() && !Leader.Writing)
      write(Leader);
    for (const TargetId &Id : Leader.Assigner.involvedTargets()) {
      if (!Leader.Granting.contains(Id))
        if (const auto Order =
                Leader.Assigner.nextGrant(Id, Leader.ConfirmedAt, Now)) {
          Leader.Granting.insert(Id);
          order(Leader, *Order);
        }
      if (const auto Order =
              Leader.Assigner.nextRelease(Id, Leader.ConfirmedAt, Now))
        order(Leader, *Order);
    }
  }

  auto view(const LeaderProcess &Leader) const -> RangeAssigner::View {
    RangeAssigner::View View;
    View.ProcessingSeconds = Faults.BusyKeys ? 2 : 0;
    for (const auto &[Id, Each] : Targets) {
      const auto Listed = Each.listedAt(Leader.recordsOf(Now));
      if (!Listed)
        continue;
      View.Incarnations[TargetId(Id)] = *Listed;
      if (Each.Draining)
        View.Leaving.insert(TargetId(Id));
      else
        View.Targets.push_back({TargetId(Id), *Listed, 4, true});
    }
    return View;
  }

  auto write(LeaderProcess &Leader) -> void {
    Leader.Writing = true;
    // A superseded leader can write to the store only for a short time; then it
    // learns that it was superseded, or loses its connection.
    if (Leader.Superseded && Now - Leader.SupersededAt > SupersededWriteLimit)
      return;
    RangeRecord Wanted = *Leader.Assigner.pendingWrite();
    Wanted.WriterTerm = Leader.Term;
    const std::uint64_t Expected = Leader.Assigner.revision();
    const auto WeakLeader = weakReference(Leader);
    const std::uint64_t WriteNumber = Leader.WriteNumber;
    schedule(delay(), [this, WeakLeader, Wanted, Expected, WriteNumber] {
      const bool Same = Recorded.json() == Wanted.json();
      // The store numbers its revisions again after it was restored, so an
      // earlier number may match.
      const bool Holds = numberOf(Expected) == numberOf(Revision);
      if (Holds) {
        Recorded = Wanted;
        ++Revision;
        History.emplace_back(numberOf(Revision), Recorded);
      }
      const bool SameEra = eraOf(Expected) == eraOf(Revision);
      const bool Done = (Holds || Same) && SameEra;
      const std::uint64_t NewRevision = Revision;
      const bool Lost = Random.chance(Faults.LostWrite);
      const RangeRecord Stored = Recorded;
      schedule(delay(), [this, WeakLeader, WriteNumber, Done, SameEra,
                         NewRevision, Lost, Stored] {
        const auto Leader = WeakLeader.lock();
        if (!Leader || Leader->WriteNumber != WriteNumber)
          return;
        Leader->Writing = false;
        if (Lost || (!SameEra && !Leader->Superseded))
          return;
        if (Done)
          Leader->Assigner.writeDone(NewRevision, Now);
        else if (Leader->Superseded)
          endLeadership(*Leader); // The leader record names another leader.
        else
          continueFrom(*Leader, Stored, NewRevision);
      });
    });
  }

  auto order(LeaderProcess &Leader, const RangeOrder &Order) -> void {
    const auto WeakLeader = weakReference(Leader);
    const auto Generation = Leader.Generation;
    const LeaderPtr Sender = WeakLeader.lock();
    const auto Finish = [this, WeakLeader, Sender, Order,
                         Generation](Duration Delay, RangeOrderOutcome Outcome,
                                     const std::string &Handover) {
      schedule(Delay, [this, WeakLeader, Sender, Order, Generation, Outcome,
                       Handover] {
        recordEnd(*Sender, Order.Target, Outcome);
        const auto Leader = WeakLeader.lock();
        if (!Leader || Leader->Generation != Generation)
          return;
        if (Order.Type == RangeOrder::Kind::Grant)
          Leader->Granting.erase(Order.Target);
        Leader->Assigner.onOrderEnded(Order, Outcome, Handover, Now);
        if (Outcome == RangeOrderOutcome::Refused)
          onRefused(*Leader);
      });
    };
    Leader.OrdersSent = true;
    const Target &Receiver = Targets.at(Order.Target.str());
    if (Receiver.listedAt(Leader.recordsOf(Now)) != Order.StartedAt ||
        !reaches(Leader, Receiver) ||
        (Leader.Superseded && !Faults.EarlierLeadersReachRestarted &&
         Receiver.Incarnation != Order.StartedAt))
      return Finish(Timeout, RangeOrderOutcome::NotSent, "");
    Sender->InFlight.insert(Order.Target);
    if (Random.chance(Faults.LostOrder))
      return Finish(Timeout, RangeOrderOutcome::Unanswered, "");
    if (Faults.SlowOrder > 0 && Random.chance(Faults.SlowOrder)) {
      const Duration Limit = std::min(LongestOrder, Order.AuthorityEnd - Now);
      const Duration Transit = std::chrono::milliseconds(Random.below(750));
      if (Transit < Limit)
        schedule(Transit, [this, Sender, Order, Peer = Receiver.Incarnation] {
          if (arrives(*Sender))
            apply(Order, Peer, Now);
        });
      return Finish(Limit, RangeOrderOutcome::Unanswered, "");
    }
    const bool ResponseLost = Random.chance(Faults.LostResponse);
    const bool Late = Order.Type == RangeOrder::Kind::Grant &&
                      Random.chance(Faults.LateOrder);
    // A connection ends with the incarnation that it leads to.
    const std::int64_t Peer = Receiver.Incarnation;
    schedule(delay(), [this, Sender, Order, Peer, ResponseLost, Late, Finish] {
      if (!arrives(*Sender))
        return;
      const TimePoint Arrived = Now;
      if (Late) {
        schedule(std::chrono::milliseconds(500 + Random.below(4000)),
                 [this, Order, Peer, Arrived] { apply(Order, Peer, Arrived); });
        return Finish(Timeout, RangeOrderOutcome::Unanswered, "");
      }
      const RangeOrderOutcome Outcome = apply(Order, Peer, Arrived);
      Finish(ResponseLost ? Timeout : delay(),
             ResponseLost ? RangeOrderOutcome::Unanswered : Outcome, "state");
    });
  }

  auto recordEnd(LeaderProcess &Sender, const TargetId &Target,
                 RangeOrderOutcome Outcome) const -> void {
    const auto Found = Sender.InFlight.find(Target);
    if (Outcome == RangeOrderOutcome::NotSent || Found == Sender.InFlight.end())
      return;
    Sender.InFlight.erase(Found);
    if (Outcome != RangeOrderOutcome::Unanswered ||
        Faults.Evidence != EvidenceFault::UnansweredForgotten)
      Sender.OrderEnds[Target] = Now;
  }

  /// Whether an order that the process has sent may still arrive now.
  auto arrives(const LeaderProcess &Sender) const -> bool {
    return Sender.EndedAt == TimePoint::max() ||
           Now <= Sender.EndedAt + Times.TransitLimit;
  }

  auto reaches(const LeaderProcess &Leader, const Target &Receiver) const
      -> bool {
    const bool Reachable = Now >= Receiver.UnreachableUntil;
    const bool OnOtherSide = Leader.Superseded && Faults.LeaderCutOff > 0;
    return Reachable != OnOtherSide;
  }

  /// Applies an order that arrived at the target at \p Arrived on a connection
  /// to the incarnation \p Peer.
  auto apply(const RangeOrder &Order, std::int64_t Peer, TimePoint Arrived)
      -> RangeOrderOutcome {
    // Orders name the target but not its incarnation.
    Target &Receiver = Targets.at(Order.Target.str());
    if (Receiver.Incarnation != Peer)
      return RangeOrderOutcome::Unanswered;
    if (Order.Type == RangeOrder::Kind::Release) {
      for (std::uint32_t Key = Order.From; Key <= Order.To; ++Key)
        Receiver.HeldUntil.erase(Key);
      return RangeOrderOutcome::Accepted;
    }
    for (std::uint32_t Key = Order.From; Key <= Order.To; ++Key)
      if (Receiver.Fences[Key] > Order.Fence)
        return RangeOrderOutcome::Refused;
    const TimePoint End = Arrived + std::chrono::duration_cast<Duration>(
                                        Order.HoldPeriod * Receiver.ClockRate);
    for (std::uint32_t Key = Order.From; Key <= Order.To; ++Key) {
      Receiver.Fences[Key] = Order.Fence;
      Receiver.HeldUntil[Key] = std::max(Receiver.HeldUntil[Key], End);
      std::uint64_t &Highest = HighestFence[Key];
      const auto Holder =
          Order.Target.str() + "/" + std::to_string(Receiver.Incarnation);
      // A renewal meant for the earlier incarnation repeats its grant.
      const bool Repeated =
          Order.StartedAt < Receiver.Incarnation && Order.Fence == Highest &&
          LastHolder[Key].starts_with(Order.Target.str() + "/");
      if (LastHolder[Key] != Holder && Order.Fence <= Highest && End > Now &&
          !Repeated)
        Violation = "key " + std::to_string(Key) + " is granted to " + Holder +
                    " with fencing token " + std::to_string(Order.Fence) +
                    ", which is not above the earlier token " +
                    std::to_string(Highest);
      if (End > Now) {
        LastHolder[Key] = Holder;
        Highest = std::max(Highest, Order.Fence);
      }
    }
    return RangeOrderOutcome::Accepted;
  }

  auto check() -> std::optional<std::string> {
    if (Violation)
      return Violation;
    for (std::uint32_t Key = 0; Key < Keys; ++Key) {
      std::string Holder;
      for (const auto &[Id, Each] : Targets) {
        const auto HeldUntil = Each.HeldUntil.find(Key);
        if (HeldUntil == Each.HeldUntil.end() || HeldUntil->second <= Now)
          continue;
        if (!Holder.empty())
          return std::string("key ")
              .append(std::to_string(Key))
              .append(" is held by ")
              .append(Holder)
              .append(" and ")
              .append(Id)
              .append(" at ")
              .append(std::to_string(Now.time_since_epoch().count() / 1000))
              .append(" ms");
        Holder = Id;
      }
    }
    return std::nullopt;
  }

  auto heldKeys() const -> std::uint32_t {
    std::uint32_t Count = 0;
    for (std::uint32_t Key = 0; Key < Keys; ++Key)
      for (const auto &[Id, Each] : Targets) {
        const auto HeldUntil = Each.HeldUntil.find(Key);
        if (HeldUntil != Each.HeldUntil.end() && HeldUntil->second > Now) {
          ++Count;
          break;
        }
      }
    return Count;
  }
  auto countServed() -> void {
    ++Steps;
    Served += heldKeys() / double{Keys};
  }

  auto weakReference(LeaderProcess &Leader) -> std::weak_ptr<LeaderProcess> {
    for (const auto &Each : Leaders)
      if (Each.get() == &Leader)
        return Each;
    return {};
  }
  auto delay() -> Duration {
    return std::chrono::milliseconds(1 + Random.below(30));
  }
  auto schedule(Duration Delay, std::function<void()> Callback) -> void {
    Events.emplace(Now + Delay, std::move(Callback));
  }
  auto runDueEvents() -> void {
    while (!Events.empty() && Events.begin()->first <= Now) {
      const auto Callback = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Callback();
    }
  }

  RandomSource Random;
  RangeFaults Faults;
  RangeTimes Times;
  TimePoint Now = TimePoint(std::chrono::seconds(1000));
  std::map<std::string, Target> Targets;
  std::deque<LeaderPtr> Leaders;
  /// All leaders, also those that have ended.
  std::map<std::string, LeaderPtr> Processes;
  LeaderInfo RecordedLeader; ///< Term 0: none, or void.
  EarlierLeaders RecordedEarlier;
  TermHistory Terms{Times};
  int Evidenced = 0;
  std::size_t MostRanges = 0;
  std::multimap<TimePoint, std::function<void()>> Events;
  RangeRecord Recorded;
  std::uint64_t LastTerm = 0;
  std::uint64_t Revision = 0;
  /// All records with the store's numbers of their revisions.
  std::vector<std::pair<std::uint64_t, RangeRecord>> History = {{0, {}}};
  std::map<std::uint32_t, std::uint64_t> HighestFence;
  std::map<std::uint32_t, std::string> LastHolder;
  std::optional<std::string> Violation;
  double Served = 0;
  int Steps = 0;
};

} // namespace buckthornring
