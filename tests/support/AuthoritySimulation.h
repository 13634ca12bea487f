#pragma once

#include "Fleet/AuthorityEvidence.h"
#include "Fleet/StoreRevision.h"
#include "buckthornring/Common/Random.h"
#include "support/AuthorityQuorum.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring {

/// Rules of the authority by echoes of which a schedule breaks one.
enum class AuthorityFault {
  None,
  EchoCountsFromArrival,  ///< Instead of from the sending of the reply.
  MembersByInstance,      ///< A restarted member is the same member.
  RecordNotReplaced,      ///< A new leader uses the members that it has read.
  NewMembersAtOnce,       ///< They count before the store has confirmed them.
  ClockErrorsIgnored,     ///< By the new leader.
  RecordedBeforeEchoes,   ///< Members are recorded that do not echo.
  LeaderPromisesAsMember, ///< Its own echoes do not count as replies.
  AnswersOnly,            ///< A majority of the members that answer suffices.
  PromiseForgotten,       ///< A member forgets it with its leader.
  EarlierLeaderIgnored,   ///< Leaders before the last one are not waited for.
  RestoredWithoutEchoes,  ///< A leader that claims again needs no echoes.
  KernelRetransmits,      ///< Orders of a paused process are sent again.
};

struct AuthorityFaults {
  double LostMessage = 0.05;
  double LateMessage = 0.05; ///< By up to 4 s.
  double ClockError = 0.02;
  double NoMembers = 0.1; ///< Per record of members.
  /// Incidents that hit the leader, 4 s to 16 s after each other. Those that
  /// follow are the probabilities of each part of one.
  bool Incidents = true;
  double CutWithOthers = 0.3;
  double CutFromStore = 0.5;
  double StoreOutage = 0.2;
  double StoreRestored = 0.25;
  double RestartsWithoutStore = 0.2;
  double Restart = 0.5;
  double Pause = 0.5;
  double LeaderForgotten = 0.3;
  AuthorityFault Broken = AuthorityFault::None;
};

/// Simulates instances in several data centres that replace each other as the
/// leader of one key, in virtual time, each with a clock of its own. A new
/// leader reaches none of the targets of earlier ones: it grants the key to a
/// target of its own when it has waited. Checks that no two targets hold it.
class AuthoritySimulation {
public:
  static constexpr Duration Period = std::chrono::milliseconds(1200);

  AuthoritySimulation(std::uint64_t Seed, AuthorityFaults Faults, int Instances,
                      int DataCentres)
      : Random(Seed), Faults(Faults), Sides(DataCentres, 0),
        StoreCuts(DataCentres, LongAgo) {
    History.emplace_back(Now, Store);
    for (int Index = 0; Index < Instances; ++Index)
      startProcess(Index, Index % DataCentres);
    if (!Faults.Incidents)
      return;
    // Some hit a leader that has just begun.
    if (Random.chance(0.3))
      schedule(std::chrono::milliseconds(1300) + milliseconds(2000),
               [this] { startIncident(); });
    planIncident();
  }

  /// Returns the first violation, or nothing.
  auto run(Duration Time) -> std::optional<std::string> {
    const TimePoint End = Now + Time;
    while (!Violation && !Events.empty() && Events.begin()->first <= End) {
      Now = Events.begin()->first;
      const auto Callback = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Callback();
    }
    Now = End;
    return Violation;
  }

  /// Ends all processes in the data centre of the leader for good.
  auto loseLeaderDataCentre() -> void {
    for (const auto &[Name, Each] : Processes)
      if (Each->Leads && Each->Alive && Each->Name == Store.Leader.Process)
        Lost = Each->DataCentre;
    for (const auto &[Name, Each] : Processes)
      if (Each->DataCentre == Lost)
        Each->Alive = false;
  }
  /// No instance reaches the store for the time.
  auto loseStore(Duration Time) -> void { OutageUntil = Now + Time; }
  auto held() const -> bool {
    return std::any_of(HeldUntil.begin(), HeldUntil.end(),
                       [&](const auto &Each) { return Each.second > Now; });
  }
  auto timeToHeld() -> Duration {
    const TimePoint Start = Now;
    const TimePoint Grants = LastGrant;
    while (LastGrant == Grants || !held()) {
      run(std::chrono::milliseconds(10));
      if (Now - Start > std::chrono::seconds(30))
        break;
      if (Processes.at(LastGranter)->DataCentre == Lost)
        LastGrant = Grants;
    }
    return Now - Start;
  }
  /// Number of leaders that waited less because of promises.
  auto shortened() const -> int { return Shortened; }

private:
  static constexpr Duration Tick = std::chrono::milliseconds(100);
  static constexpr Duration ReportInterval = std::chrono::milliseconds(400);
  static constexpr Duration LeaderTimeout = std::chrono::milliseconds(1300);
  /// Time after which a process resets the connection of its order, and after
  /// which the kernel gives up by itself.
  static constexpr Duration OrderTimeout = std::chrono::milliseconds(500);

  struct StoreState {
    LeaderInfo Leader;
    EarlierLeaders Earlier;
    std::uint64_t MembersRevision = 0;
    std::uint64_t MembersTerm = 0;
    std::optional<MemberSet> Members;
  };
  struct Leadership {
    Leadership(RangeTimes Times) : Authority(Times, Period), Promises(Times) {}

    std::uint64_t Term = 0;
    TimePoint ConfirmedAt = LongAgo;
    TimePoint WaitUntil = LongAgo;
    TimePoint RenewUntil = LongAgo; ///< LongAgo: not limited.
    bool Granted = false;
    std::string Target;
    EchoAuthority Authority;
    MajorityPromises Promises;
    EarlierLeaders Earlier;
    /// The record of members that this leader has replaced or replaces, and
    /// whether it has.
    StoreState Replaced;
    bool ReplacedKnown = false;
    bool MayShorten = true;
    bool Recording = false; ///< It has replaced the record in this era.
    std::uint64_t Condition = 0;
    std::optional<MemberSet> Wanted;
    bool WriteOpen = false;
    TimePoint WriteAt = LongAgo;
    std::map<std::uint64_t, TimePoint> ReportedAt;
  };
  struct Process {
    Process(std::string Name, int Instance, int DataCentre, double Rate,
            TimePoint StartedAt)
        : Name(std::move(Name)), Instance(Instance), DataCentre(DataCentre),
          Rate(Rate), Replies(StartedAt), StartedAt(StartedAt) {}

    std::string Name;
    int Instance;
    int DataCentre;
    double Rate; ///< Of its clock.
    bool Alive = true;
    TimePoint PausedUntil = LongAgo;
    ReplyRecord Replies;
    TimePoint StartedAt; ///< By its clock, as the following ones.
    TermHistory Terms{RangeTimes()};
    LeaderInfo Leader; ///< Term 0: none.
    TimePoint HeardAt = LongAgo;
    TimePoint ReportAt = LongAgo;
    TimePoint ReadAt = LongAgo;
    TimePoint ClaimAt = LongAgo;
    StoreState Known;
    StoreState AtClaim; ///< Known at the last claim.
    bool StoreRead = false;
    std::unique_ptr<Leadership> Leads;
  };
  using ProcessPtr = std::shared_ptr<Process>;
  struct Report {
    std::string Process;
    std::uint64_t Member = 0;
    LeaderInfo Leader;
    ReplyEcho Echo;
    Duration EarlierAge{0};
  };

  auto local(const Process &Each) const -> TimePoint {
    return TimePoint(std::chrono::duration_cast<Duration>(
        Now.time_since_epoch() * Each.Rate));
  }
  auto broken(AuthorityFault Fault) const -> bool {
    return Faults.Broken == Fault;
  }
  auto memberOf(const Process &Each) const -> std::uint64_t {
    return std::hash<std::string>()(broken(AuthorityFault::MembersByInstance)
                                        ? std::to_string(Each.Instance)
                                        : Each.Name);
  }
  auto connected(int From, int To) const -> bool {
    // At first only the messages of the leader's side are lost.
    return Sides[From] == Sides[To] || (Now < OneWayUntil && Sides[To] == 1);
  }
  auto reachesStore(const Process &Each) const -> bool {
    return Now >= StoreCuts[Each.DataCentre] && Now >= OutageUntil;
  }
  auto milliseconds(std::uint64_t Bound) -> Duration {
    return std::chrono::milliseconds(Random.below(Bound));
  }
  auto delay() -> Duration {
    return std::chrono::milliseconds(1) + (Random.chance(Faults.LateMessage)
                                               ? milliseconds(4000)
                                               : milliseconds(30));
  }
  auto schedule(Duration Delay, std::function<void()> Callback) -> void {
    Events.emplace(Now + Delay, std::move(Callback));
  }
  /// Runs in the process, when it is not paused.
  auto runIn(const ProcessPtr &To, const std::function<void()> &Callback)
      -> void {
    if (!To->Alive)
      return;
    if (Now < To->PausedUntil)
      return schedule(To->PausedUntil - Now + milliseconds(20),
                      [this, To, Callback] { runIn(To, Callback); });
    Callback();
  }
  /// The message may be lost, late and repeated.
  auto send(const Process &From, const std::string &To,
            const std::function<void(const ProcessPtr &)> &Deliver) -> void {
    const ProcessPtr Receiver = Processes.at(To);
    const int Copies = Random.chance(0.02) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      if (!Random.chance(Faults.LostMessage) &&
          connected(From.DataCentre, Receiver->DataCentre))
        schedule(delay(), [this, Receiver, Deliver, Side = From.DataCentre] {
          if (connected(Side, Receiver->DataCentre))
            runIn(Receiver, [Receiver, Deliver] { Deliver(Receiver); });
        });
  }
  /// Calls the store; \p Done gets what it holds then.
  auto call(const ProcessPtr &From, const std::function<bool()> &Write,
            const std::function<void(bool, const StoreState &)> &Done) -> void {
    if (!reachesStore(*From))
      return;
    schedule(delay(), [this, From, Write, Done] {
      if (!reachesStore(*From))
        return;
      const bool Written = Write && Write();
      if (Written)
        History.emplace_back(Now, Store);
      schedule(delay(), [this, From, Written, Done, State = Store] {
        if (reachesStore(*From))
          runIn(From, [Written, Done, State] { Done(Written, State); });
      });
    });
  }

  auto startProcess(int Instance, int DataCentre) -> void {
    const std::string Name =
        std::to_string(Instance) + "-" + std::to_string(++LastProcess);
    const double Rate = 1 + Faults.ClockError * (Random.chance(0.5) ? 1 : -1) *
                                (Random.chance(0.9) ? 1 : Random.unit());
    const auto Added = std::make_shared<Process>(Name, Instance, DataCentre,
                                                 Rate, TimePoint());
    Added->StartedAt = local(*Added);
    Added->Replies = ReplyRecord(Added->StartedAt);
    Added->HeardAt = Added->StartedAt;
    Processes[Name] = Added;
    schedule(milliseconds(100), [this, Added] { runProcess(Added); });
  }
  auto runProcess(const ProcessPtr &Each) -> void {
    if (!Each->Alive)
      return;
    if (Now >= Each->PausedUntil)
      step(Each);
    schedule(Tick, [this, Each] { runProcess(Each); });
  }

  auto step(const ProcessPtr &Each) -> void {
    const TimePoint Time = local(*Each);
    if (Time >= Each->ReadAt) {
      Each->ReadAt = Time + std::chrono::milliseconds(200);
      if (!reachesStore(*Each) && Each->Leader.Term == 0)
        askNeighbour(Each);
      call(Each, nullptr, [this, Each, Time](bool, const StoreState &State) {
        onRead(Each, State, Time);
      });
    }
    if (Time >= Each->ReportAt && Each->Leader.Term != 0) {
      Each->ReportAt = Time + ReportInterval;
      report(Each);
    }
    if (Each->Leads)
      return lead(Each);
    if (Each->StoreRead && Time - Each->HeardAt > LeaderTimeout &&
        reachesStore(*Each) && Time >= Each->ClaimAt) {
      Each->ClaimAt = Time + std::chrono::milliseconds(500) + milliseconds(300);
      claim(Each);
    }
  }

  /// Learns the leader from what another process last knew.
  auto askNeighbour(const ProcessPtr &Each) -> void {
    const ProcessPtr Other = someProcess();
    if (Other->Leader.Term != 0 && Other != Each &&
        connected(Other->DataCentre, Each->DataCentre))
      schedule(delay(), [this, Each, Known = Other->Leader] {
        runIn(Each, [this, Each, Known] {
          if (Known.Term > Each->Replies.term())
            follow(Each, Known, LongAgo, {});
        });
      });
  }

  auto onRead(const ProcessPtr &Each, const StoreState &State, TimePoint SentAt)
      -> void {
    Each->StoreRead = true;
    Each->Known = State;
    if (eraOf(State.Leader.Term) != Era && State.Leader.Term != 0) {
      // The claim is void in this era. Its leader claims again.
      if (Each->Leads && eraOf(Each->Leads->Term) < Era)
        claim(Each);
      return;
    }
    if (State.Leader.Term == 0)
      return;
    if (Each->Leads && Each->Leads->Term == State.Leader.Term)
      Each->Leads->ConfirmedAt = std::max(Each->Leads->ConfirmedAt, SentAt);
    if (State.Leader.Term > Each->Replies.term())
      follow(Each, State.Leader, SentAt, State.Earlier);
  }
  auto follow(const ProcessPtr &Each, const LeaderInfo &Next, TimePoint SentAt,
              const EarlierLeaders &Earlier) -> void {
    const TimePoint Time = local(*Each);
    if (Each->Leads && !broken(AuthorityFault::LeaderPromisesAsMember))
      Each->Replies.stopLeading(Time);
    Each->Replies.follow(Next.Term, Next.Process);
    Each->Terms.seen(Next.Term, Time);
    Each->Leader = Next;
    Each->HeardAt = Time;
    if (Next.Process != Each->Name) {
      Each->Leads = nullptr;
      return;
    }
    if (Each->Leads)
      return continueAs(*Each, Next.Term, SentAt);
    if (SentAt == LongAgo)
      return; // Its own claim, told by another instance; the store tells more.
    begin(*Each, Next.Term, SentAt, Earlier);
  }

  auto timesOfWait() const -> RangeTimes {
    RangeTimes Out = Times;
    if (broken(AuthorityFault::ClockErrorsIgnored))
      Out.ClockRateError = 0;
    return Out;
  }
  /// Longest time from the arrival of a grant until it has ended, by the clock
  /// of a leader.
  auto holdWait() const -> Duration {
    const RangeTimes Wait = timesOfWait();
    return scaled(Wait.HoldPeriod, 2) + scaled(Wait.TransitLimit, 1);
  }
  auto scaled(Duration Exact, int Clocks) const -> Duration {
    return std::chrono::duration_cast<Duration>(
        Exact * (1 + Clocks * timesOfWait().ClockRateError));
  }
  auto fullWait() const -> Duration {
    return scaled(Times.AuthorityPeriod, 2) + holdWait();
  }

  auto begin(Process &Each, std::uint64_t Term, TimePoint SentAt,
             const EarlierLeaders &Earlier) -> void {
    const TimePoint Time = local(Each);
    Each.Leads = std::make_unique<Leadership>(timesOfWait());
    Leadership &Leads = *Each.Leads;
    Leads.Term = Term;
    Leads.ConfirmedAt = SentAt;
    Leads.Earlier = Earlier;
    Leads.Authority.begin(Term);
    Leads.Promises.onPromise(memberOf(Each), Time - Each.Replies.otherReplyAt(),
                             Time);
    Leads.Target = "t" + std::to_string(Term);
    const bool First = Earlier.Leaders.empty() && !Earlier.MayBeMore;
    Leads.WaitUntil = First ? Time : Time + fullWait();
  }
  /// A claim after a restoration of the store.
  auto continueAs(Process &Each, std::uint64_t Term, TimePoint SentAt) -> void {
    Leadership &Leads = *Each.Leads;
    const TimePoint Time = local(Each);
    if (broken(AuthorityFault::RestoredWithoutEchoes))
      Leads.Authority.begin(Term);
    else
      Leads.Authority.continueAs(Term, Time);
    const bool Lapsed = Time - Leads.ConfirmedAt > holdWait();
    if (!Leads.Granted || Leads.RenewUntil != LongAgo) {
      Leads.WaitUntil = Time + fullWait();
    } else if (Lapsed) {
      Leads.RenewUntil = Leads.ConfirmedAt + Times.AuthorityPeriod;
      Leads.WaitUntil = Time + fullWait();
    }
    Leads.Term = Term;
    Leads.ConfirmedAt = SentAt;
    Leads.MayShorten = false;
    Leads.ReplacedKnown = false;
    Leads.Recording = false;
    Leads.WriteOpen = false;
  }

  auto claim(const ProcessPtr &Each) -> void {
    const StoreState Seen = Each->Known;
    Each->AtClaim = Seen;
    const std::uint64_t Condition = Seen.Leader.Term;
    const TimePoint Time = local(*Each);
    EarlierLeaders Earlier;
    if (Condition == 0)
      Earlier.MayBeMore = Era != 0 || !Each->Terms.empty() || Restored;
    else if (eraOf(Condition) == Era)
      Earlier = Each->Terms.leadersBefore(Seen.Leader, Seen.Earlier, Time);
    const std::uint64_t AtEra = Era;
    call(
        Each,
        [this, Each, Condition, Earlier, AtEra] {
          if (Store.Leader.Term != Condition || Era != AtEra)
            return false;
          Store.Leader = {InstanceId(Each->Name), Each->Name, Each->Name,
                          makeRevision(Era, ++Number)};
          Store.Earlier = Earlier;
          if (const auto Changed = std::exchange(NextLeader, nullptr))
            Changed();
          return true;
        },
        [this, Each, Time](bool, const StoreState &State) {
          onRead(Each, State, Time);
        });
  }

  auto report(const ProcessPtr &Each) -> void {
    const TimePoint Time = local(*Each);
    const Report Sent{Each->Name, memberOf(*Each), Each->Leader,
                      Each->Replies.echo(),
                      Time - Each->Replies.otherReplyAt()};
    if (Each->Leader.Process != Each->Name)
      send(*Each, Each->Leader.Process,
           [this, Sent](const ProcessPtr &To) { onReport(To, Sent); });
  }
  auto onReport(const ProcessPtr &Each, const Report &Sent) -> void {
    if (Sent.Leader.Term > Each->Replies.term())
      follow(Each, Sent.Leader, LongAgo, {});
    if (!Each->Leads)
      return;
    Leadership &Leads = *Each->Leads;
    const TimePoint Time = local(*Each);
    if (Sent.Leader.Term == Leads.Term) {
      Leads.ReportedAt[Sent.Member] = Time;
      Leads.Promises.onPromise(Sent.Member, Sent.EarlierAge, Time);
      ReplyEcho Echo = Sent.Echo;
      if (broken(AuthorityFault::EchoCountsFromArrival) && Echo.SentAtMs != 0)
        Echo.SentAtMs = msOf(Time);
      Leads.Authority.onEcho(Sent.Member, Echo);
    }
    const LeaderInfo Info{InstanceId(Each->Name), Each->Name, Each->Name,
                          Leads.Term};
    send(*Each, Sent.Process,
         [this, Info, SentAtMs = msOf(Time)](const ProcessPtr &To) {
           onReply(To, Info, SentAtMs);
         });
  }
  auto onReply(const ProcessPtr &Each, const LeaderInfo &From,
               std::uint64_t SentAtMs) -> void {
    if (From.Term < Each->Replies.term())
      return;
    if (From.Term > Each->Replies.term())
      follow(Each, From, LongAgo, {});
    if (Each->Leads)
      return;
    Each->Leader = From;
    Each->HeardAt = local(*Each);
    Each->Replies.onReply(From.Term, SentAtMs, local(*Each));
  }
  static auto msOf(TimePoint Time) -> std::uint64_t {
    return static_cast<std::uint64_t>(Time.time_since_epoch() /
                                      std::chrono::milliseconds(1));
  }

  auto lead(const ProcessPtr &Each) -> void {
    Leadership &Leads = *Each->Leads;
    const TimePoint Time = local(*Each);
    Each->HeardAt = Time;
    Leads.ReportedAt[memberOf(*Each)] = Time;
    if (eraOf(Leads.Term) == Era && Time >= Leads.WriteAt)
      recordMembers(Each);
    shorten(Leads);
    const TimePoint Echoed = Leads.Authority.end(memberOf(*Each), Time);
    const TimePoint End =
        std::min(Leads.ConfirmedAt + Times.AuthorityPeriod, Echoed);
    // Orders at the last moment of the authority and at the first one after
    // the wait.
    for (const TimePoint At : {Leads.WaitUntil + std::chrono::milliseconds(1),
                               End - std::chrono::milliseconds(2)})
      if (At > Time + std::chrono::milliseconds(5) && At < Time + Tick)
        schedule(std::chrono::duration_cast<Duration>((At - Time) / Each->Rate),
                 [this, Each] {
                   if (Each->Alive && Now >= Each->PausedUntil && Each->Leads)
                     lead(Each);
                 });
    if (Leads.RenewUntil != LongAgo && Time <= Leads.RenewUntil)
      return order(Each, std::min(End, Leads.RenewUntil));
    if (Time <= Leads.WaitUntil || Time > End)
      return;
    if (Leads.RenewUntil != LongAgo)
      Leads.Target = "t" + std::to_string(Leads.Term);
    Leads.RenewUntil = LongAgo;
    Leads.Granted = true;
    order(Each, End);
  }
  auto shorten(Leadership &Leads) -> void {
    if (Leads.Granted || !Leads.MayShorten || !Leads.ReplacedKnown ||
        Leads.Earlier.MayBeMore || Leads.Earlier.Leaders.empty())
      return;
    if (Leads.Earlier.Leaders.size() > 1 &&
        !broken(AuthorityFault::EarlierLeaderIgnored))
      return;
    const StoreState &Last = Leads.Replaced;
    if (!Last.Members || Last.MembersTerm != Leads.Earlier.Leaders[0].Term)
      return;
    MemberSet Members = *Last.Members;
    if (broken(AuthorityFault::AnswersOnly))
      std::erase_if(Members, [&](std::uint64_t Member) {
        return !Leads.ReportedAt.contains(Member);
      });
    const auto Reply = Leads.Promises.lastMajorityReply(Members);
    if (!Reply)
      return;
    const TimePoint Until = *Reply + scaled(Period, 2) + holdWait();
    if (Until >= Leads.WaitUntil)
      return;
    Leads.WaitUntil = Until;
    ++Shortened;
  }

  /// First replaces the record of earlier leaders by an empty one, then keeps
  /// the members up to date.
  auto recordMembers(const ProcessPtr &Each) -> void {
    Leadership &Leads = *Each->Leads;
    const TimePoint Time = local(*Each);
    if (!Leads.WriteOpen) {
      Leads.Wanted.reset();
      if (Leads.Recording && !Random.chance(Faults.NoMembers)) {
        Leads.Wanted.emplace();
        for (const auto &[Member, At] : Leads.ReportedAt)
          if (Time - At < (broken(AuthorityFault::RecordedBeforeEchoes)
                               ? std::chrono::milliseconds(4000)
                               : std::chrono::milliseconds(1000)))
            Leads.Wanted->insert(Member);
        if (!broken(AuthorityFault::RecordedBeforeEchoes) &&
            Leads.Authority.supportedUntil(*Leads.Wanted, memberOf(*Each),
                                           Time) < Time + OrderTimeout)
          return;
      }
      if (!Leads.Recording) {
        Leads.Replaced = Each->Known;
        Leads.Condition = Each->Known.MembersRevision;
        if (broken(AuthorityFault::RecordNotReplaced))
          Leads.ReplacedKnown = true;
        if (broken(AuthorityFault::RecordNotReplaced))
          Leads.Replaced = Each->AtClaim;
      }
      Leads.WriteOpen = true;
      Leads.Authority.writing(Leads.Wanted);
      if (broken(AuthorityFault::NewMembersAtOnce))
        Leads.Authority.recorded(Leads.Wanted);
    }
    Leads.WriteAt = Time + std::chrono::milliseconds(400);
    const std::uint64_t Term = Leads.Term;
    const std::uint64_t Condition = Leads.Condition;
    call(
        Each,
        [this, Condition, Term, Wanted = Leads.Wanted] {
          if (Store.MembersRevision != Condition || eraOf(Term) != Era)
            return false;
          Store.MembersRevision = makeRevision(Era, ++Number);
          Store.MembersTerm = Term;
          Store.Members = Wanted;
          return true;
        },
        [this, Each, Term](bool, const StoreState &State) {
          if (Each->Leads && Each->Leads->Term == Term)
            onMembers(*Each, State);
        });
  }
  /// A write of the members has been answered.
  auto onMembers(Process &Each, const StoreState &State) -> void {
    Leadership &Leads = *Each.Leads;
    if (State.MembersTerm == Leads.Term) {
      if (State.MembersRevision <= Leads.Condition)
        return;
      Leads.Authority.recorded(State.Members);
      Leads.ReplacedKnown = true;
      Leads.Recording = true;
      Leads.Condition = State.MembersRevision;
      Leads.WriteOpen = false;
      Leads.WriteAt = local(Each) + milliseconds(2000);
      return;
    }
    // The earlier leader has changed it before; its successor may have too.
    if (Leads.Recording || State.MembersTerm > Leads.Term)
      return;
    if (!broken(AuthorityFault::RecordNotReplaced))
      Leads.Replaced = State;
    Leads.Condition = State.MembersRevision;
  }

  auto order(const ProcessPtr &From, TimePoint AuthorityEnd) -> void {
    const TimePoint Deadline =
        std::min(local(*From) + OrderTimeout, AuthorityEnd);
    const Duration Rest = Deadline - local(*From);
    const TimePoint KernelEnd =
        broken(AuthorityFault::KernelRetransmits)
            ? TimePoint::max()
            : Now + std::chrono::duration_cast<Duration>(Rest * 0.96);
    attempt(From, From->Leads->Target, Deadline, KernelEnd,
            std::chrono::milliseconds(200));
  }
  /// One transmission of an order. The kernel repeats it while it is not
  /// acknowledged and the connection is not reset.
  auto attempt(const ProcessPtr &From, const std::string &Target,
               TimePoint Deadline, TimePoint KernelEnd, Duration Repeat)
      -> void {
    const bool Reset =
        !From->Alive || (Now >= From->PausedUntil && local(*From) > Deadline);
    if (Reset || Now > KernelEnd)
      return;
    // The target may be on the other side of a cut.
    if (!Random.chance(
            Sides[From->DataCentre] == 1 && Random.chance(0.5) ? 0.95 : 0.3))
      return schedule(milliseconds(Random.chance(0.5) ? 149 : 10),
                      [this, From, Target] { arrive(From->Name, Target); });
    schedule(Repeat, [this, From, Target, Deadline, KernelEnd, Repeat] {
      attempt(From, Target, Deadline, KernelEnd, 2 * Repeat);
    });
  }
  auto arrive(const std::string &Granter, const std::string &Target) -> void {
    if (Processes.at(Granter)->DataCentre == Lost)
      return;
    for (const auto &[Other, Until] : HeldUntil)
      if (Other != Target && Until > Now && !Violation)
        Violation = std::string(Target)
                        .append(" and ")
                        .append(Other)
                        .append(" hold the key at ")
                        .append(std::to_string(msOf(Now)))
                        .append(" ms");
    LastGrant = Now;
    LastGranter = Granter;
    // A grant that is carried out late counts from its arrival, too.
    TimePoint &Until = HeldUntil[Target];
    Until = std::max(
        Until, Now + std::chrono::duration_cast<Duration>(
                         Times.HoldPeriod * (Random.chance(0.5) ? 1.02 : 1.0)));
  }

  auto planIncident() -> void {
    schedule(std::chrono::milliseconds(4000) + milliseconds(12'000), [this] {
      startIncident();
      planIncident();
    });
  }
  /// Cuts the data centre of the leader off, with other faults meanwhile.
  auto startIncident() -> void {
    const auto Found = Processes.find(Store.Leader.Process);
    if (Found == Processes.end())
      return;
    const ProcessPtr Leader = Found->second;
    for (std::size_t Index = 0; Index < Sides.size(); ++Index) {
      const bool Cut = static_cast<int>(Index) == Leader->DataCentre ||
                       Random.chance(Faults.CutWithOthers);
      Sides[Index] = Cut ? 1 : 0;
      if (Cut && Random.chance(Faults.CutFromStore))
        StoreCuts[Index] = Now + milliseconds(10'000);
    }
    if (Random.chance(0.5))
      OneWayUntil = Now + milliseconds(2000);
    schedule(milliseconds(10'000), [this] { heal(); });
    if (Random.chance(Faults.StoreOutage))
      OutageUntil = Now + milliseconds(9000);
    if (Random.chance(Faults.StoreRestored))
      schedule(milliseconds(10'000),
               [this] { restoreStore(Now - milliseconds(4000)); });
    if (Random.chance(Faults.Pause))
      schedule(milliseconds(Random.chance(0.5) ? 600 : 5000), [this, Leader] {
        pause(Random.chance(0.5) ? Leader : someProcess());
      });
    disturbMembers();
    NextLeader = [this] { onNextLeader(); };
  }
  auto heal() -> void {
    std::fill(Sides.begin(), Sides.end(), 0);
    NextLeader = nullptr;
  }
  auto disturbMembers() -> void {
    if (Random.chance(Faults.LeaderForgotten))
      for (int Count = 0; Count < 3; ++Count)
        schedule(milliseconds(5000), [this] { forgetLeader(*someProcess()); });
    if (Random.chance(Faults.Restart))
      for (auto Count = Random.below(6); Count > 0; --Count)
        schedule(milliseconds(3000), [this] { restart(someProcess()); });
  }
  /// Another instance has replaced the leader that is cut off. Most faults
  /// matter while it waits or soon after.
  auto onNextLeader() -> void {
    disturbMembers();
    if (Random.chance(0.4))
      schedule(milliseconds(3000), [this] { heal(); });
    if (Random.chance(Faults.StoreOutage))
      schedule(milliseconds(500),
               [this] { OutageUntil = Now + milliseconds(9000); });
    if (Random.chance(Faults.RestartsWithoutStore)) {
      // The restarted processes learn the leader from others.
      schedule(std::chrono::milliseconds(600) + milliseconds(1000), [this] {
        heal();
        OutageUntil = Now + milliseconds(9000);
        for (int Count = 0; Count < 4; ++Count)
          schedule(milliseconds(300), [this] {
            if (const ProcessPtr Some = someProcess(); !Some->Leads)
              restart(Some);
          });
      });
      return;
    }
    if (!Random.chance(Faults.StoreRestored))
      return;
    // The earlier leader returns to a store that has lost the claim.
    const Duration Delay = milliseconds(6000);
    std::fill(StoreCuts.begin(), StoreCuts.end(), LongAgo);
    for (std::size_t Index = 0; Index < Sides.size(); ++Index)
      if (Sides[Index] == 1)
        StoreCuts[Index] = Now + Delay;
    schedule(Delay, [this, Claimed = Now - std::chrono::milliseconds(1)] {
      restoreStore(Claimed);
    });
  }
  auto someProcess() -> ProcessPtr {
    std::vector<ProcessPtr> Alive;
    for (const auto &[Name, Each] : Processes)
      if (Each->Alive)
        Alive.push_back(Each);
    return Alive.empty() ? Processes.begin()->second
                         : Alive[Random.below(Alive.size())];
  }
  auto pause(const ProcessPtr &Some) -> void {
    Some->PausedUntil =
        Now + (Random.chance(0.5)
                   ? std::chrono::milliseconds(2500) + milliseconds(4000)
                   : milliseconds(1500));
  }
  /// The leader object was deleted.
  auto forgetLeader(Process &Some) const -> void {
    if (broken(AuthorityFault::PromiseForgotten))
      Some.Replies = ReplyRecord(Some.StartedAt);
    Some.Leader = LeaderInfo();
  }
  auto restart(const ProcessPtr &Some) -> void {
    if (!std::exchange(Some->Alive, false))
      return;
    schedule(milliseconds(1500),
             [this, Some] { startProcess(Some->Instance, Some->DataCentre); });
  }
  /// The store comes back from a copy that lacks the last writes.
  auto restoreStore(TimePoint Copied) -> void {
    while (History.size() > 1 && History.back().first > Copied)
      History.pop_back();
    Store = History.back().second;
    Restored = true;
    ++Era;
    for (const auto &[Name, Each] : Processes)
      Each->StoreRead = false;
    OutageUntil = std::max(OutageUntil, Now + milliseconds(1000));
  }

  RandomSource Random;
  AuthorityFaults Faults;
  RangeTimes Times;
  TimePoint Now = TimePoint(std::chrono::seconds(1000));
  std::multimap<TimePoint, std::function<void()>> Events;
  std::map<std::string, ProcessPtr> Processes;
  int LastProcess = 0;
  std::vector<int> Sides; ///< Of data centres; sides are cut off.
  TimePoint OneWayUntil = LongAgo;
  std::function<void()> NextLeader; ///< Called at the next claim.
  std::vector<TimePoint> StoreCuts; ///< Of data centres from the store.
  TimePoint OutageUntil = LongAgo;
  StoreState Store;
  std::uint64_t Era = 0;
  std::uint64_t Number = 0;
  bool Restored = false;
  std::vector<std::pair<TimePoint, StoreState>> History;
  std::map<std::string, TimePoint> HeldUntil; ///< By target.
  TimePoint LastGrant = LongAgo;
  std::string LastGranter;
  int Lost = -1;
  int Shortened = 0;
  std::optional<std::string> Violation;
};

} // namespace buckthornring
