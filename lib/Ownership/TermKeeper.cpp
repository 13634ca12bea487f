#include "buckthornring/Ownership/TermKeeper.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <functional>

namespace buckthornring {

namespace {

// A leader and its deputy read the term object this often, as a watch would.
constexpr Duration ReadEvery = std::chrono::seconds(1);
// Limits how often a leader proves its term while the platform answers.
constexpr Duration ProofRetry = std::chrono::milliseconds(50);
// A platform call without an answer for this long counts as not answered.
constexpr Duration CallTimeout = std::chrono::seconds(2);
// A deputy without confirmation for this long is replaced. It is longer than
// the confirmation lease, so that a short pause does not cost a new term.
constexpr Duration ReplaceDeputyAfter = std::chrono::milliseconds(1200);
// A replaced deputy is chosen again only after this time.
constexpr Duration AvoidUnresponsive = std::chrono::seconds(30);

auto sinceEpoch(TimePoint Time) -> std::int64_t {
  return Time.time_since_epoch().count();
}

} // namespace

TermKeeper::TermKeeper(InstanceId Self, std::string FailureDomain,
                       const DataCentreId &DataCentre, OwnershipTimes Times,
                       SafetySwitches Switches, TimePoint Now)
    : Self(std::move(Self)), FailureDomain(std::move(FailureDomain)),
      ObjectName(termObjectName(DataCentre)), Times(Times), Switches(Switches),
      ReadAt(Now - ReadEvery), WriteAt(Now), LastRequest(Now),
      ConfirmedFrom(Now), DeputyHeard(Now), ConfirmedAt(Now), PairHeard(Now) {
  invariant(!this->Self.empty(), "an instance has an identifier");
  const auto Hash = std::hash<std::string>()(this->Self.str());
  Spread = std::chrono::milliseconds(Hash % 500);
}

auto TermKeeper::stretched(Duration Span) const -> Duration {
  if (!Switches.DriftBound)
    return Span;
  return Duration(static_cast<Duration::rep>(static_cast<double>(Span.count()) *
                                             (1 + Times.Drift))) +
         Duration(1);
}

auto TermKeeper::role() const -> TermRole {
  if (Record.Term == 0)
    return TermRole::Follower;
  if (Record.Leader == Self)
    return TermRole::Leader;
  return Record.Deputy == Self ? TermRole::Deputy : TermRole::Follower;
}

auto TermKeeper::withoutDeputy() const -> bool {
  return role() == TermRole::Leader &&
         (Record.Deputy.empty() || DeputyResigned);
}

auto TermKeeper::mayMove(TimePoint Now) const -> bool {
  if (role() != TermRole::Leader || superseded() || Resigned || Pending)
    return false;
  if (withoutDeputy())
    return true;
  // The deputy waits for the stretched span after it sent the confirmation,
  // which is after the request was sent.
  return DeputyClock != 0 && Now < ConfirmedFrom + Times.ConfirmLease;
}

auto TermKeeper::moveAuthorityEnd() const -> TimePoint {
  return withoutDeputy() ? TimePoint::max()
                         : ConfirmedFrom + Times.ConfirmLease;
}

auto TermKeeper::mayRenew(TimePoint Now) const -> bool {
  if (superseded() || Resigned)
    return false;
  if (role() == TermRole::Leader) {
    if (!Switches.RenewOnlyLimit)
      return true;
    // The pending update may have made another instance deputy already.
    if (Pending && Now >= Pending->SentAt + Times.RenewOnlyLimit)
      return false;
    if (withoutDeputy())
      return true;
    return Now < ConfirmedFrom + Times.ConfirmLease + Times.RenewOnlyLimit;
  }
  if (role() != TermRole::Deputy || !LeaderContact || LeaderResigned)
    return false;
  // Before the leader's authority has ended, a renewal by the deputy could
  // keep a lease alive whose end the leader waits for.
  if (Now < ConfirmedAt + stretched(Times.ConfirmLease) || PlatformAnswers)
    return false;
  return !Switches.RenewOnlyLimit ||
         Now < *LeaderContact + Times.RenewOnlyLimit;
}

auto TermKeeper::silentAt() const -> std::optional<TimePoint> {
  TimePoint Latest;
  for (const auto &[Instance, Bound] : Previous) {
    if (!Bound)
      return std::nullopt;
    Latest = std::max(Latest, *Bound);
  }
  return Latest;
}

/// Instances without a time bound do not count: the record names them.
auto TermKeeper::quiet(TimePoint Now) const -> bool {
  return Now >= QuietAfter &&
         std::all_of(Previous.begin(), Previous.end(), [&](const auto &Each) {
           return !Each.second || Now >= *Each.second;
         });
}

auto TermKeeper::noteLapse(TimePoint Now) -> void {
  if (Switches.LapseWait && DeputyEchoed &&
      Now >= ConfirmedFrom + Times.ConfirmLease)
    LapsedAt = Now;
}

auto TermKeeper::setCandidates(std::vector<PairCandidate> List) -> void {
  Candidates = std::move(List);
}

auto TermKeeper::heardFrom(const InstanceId &From, std::uint64_t Term,
                           TimePoint Now) -> void {
  learnTerm(Term);
  if (Term == Record.Term && (From == Record.Leader || From == Record.Deputy))
    PairHeard = Now;
}

auto TermKeeper::learnTerm(std::uint64_t Term) -> void {
  HighestTerm = std::max(HighestTerm, Term);
}

/// Takes a record of a higher term into use.
auto TermKeeper::adopt(const TermRecord &Seen, TimePoint Now) -> void {
  HighestTerm = std::max(HighestTerm, Seen.Term);
  if (Seen.Term <= Record.Term)
    return;
  Record = Seen;
  if (Pending && Pending->Value.Term <= Seen.Term)
    Pending.reset();
  LeaderResigned = false;
  DeputyResigned = false;
  RequestsSent.clear();
  DeputyClock = 0;
  DeputyEchoed = false;
  DeputyHeard = Now;
  LastRequest = Now - Times.RenewEvery;
  ConfirmedAt = Now;
  LeaderContact.reset();
  PairHeard = Now;
  if (role() == TermRole::Leader)
    return;
  for (const auto &[Instance, Bound] : Previous)
    QuietAfter = std::max(QuietAfter, Bound.value_or(QuietAfter));
  Previous.clear();
}

/// Takes the record of this instance's own successful update into use.
auto TermKeeper::won(const TermRecord &Old, const TermRecord &New,
                     TimePoint Now) -> void {
  invariant(New.Leader == Self && New.Term == Old.Term + 1,
            "a new leader raises the term by one");
  const TimePoint SentAt = Pending->SentAt;
  const Duration Tail = stretched(Times.ConfirmLease + Times.RenewOnlyLimit);
  auto Before = std::move(Previous);
  if (Old.Leader == Self) {
    if (!Old.Deputy.empty() && !DeputyResigned) {
      // The deputy may itself have led an earlier term.
      auto &Bound = Before.try_emplace(Old.Deputy, Now).first->second;
      if (Bound && DeputyEchoed)
        Bound = std::max(*Bound, DeputyHeard + Tail);
    }
  } else if (Old.Deputy == Self) {
    Before.clear();
    for (const InstanceId &Each : Old.Unsettled)
      if (Switches.KeepUnsettled)
        Before[Each] = std::nullopt;
    const bool Stopped = LeaderResigned && LeaderQuiet;
    Before[Old.Leader] = Stopped ? Now : ConfirmedAt + Tail;
  } else {
    Before.clear();
    for (const InstanceId &Each : New.Unsettled)
      Before[Each] = std::nullopt;
  }
  if (!Old.Deputy.empty() && Old.Leader == Self)
    Unresponsive[Old.Deputy] = Now;
  adopt(New, Now);
  Previous = std::move(Before);
  // The new deputy may have learned of the term as early as the update was
  // sent, so this instance's renew-only time counts from there.
  ConfirmedFrom = SentAt - Times.ConfirmLease;
  ProvedAt = SentAt;
}

auto TermKeeper::deputyMayTake(TimePoint Now) const -> bool {
  return role() == TermRole::Deputy &&
         (LeaderResigned || Now >= ConfirmedAt + stretched(Times.ConfirmLease));
}

auto TermKeeper::thirdMayTake(TimePoint Now) const -> bool {
  if (role() != TermRole::Follower)
    return false;
  return Record.Term == 0 ? Version == 0
                          : Now >= PairHeard + Times.ThirdInstanceWait + Spread;
}

auto TermKeeper::wantsDeputy(TimePoint Now) const -> bool {
  if (role() != TermRole::Leader || superseded())
    return false;
  const bool Lost = !withoutDeputy() && Now >= DeputyHeard + ReplaceDeputyAfter;
  return (withoutDeputy() && !chooseDeputy(Now).empty()) || Lost;
}

auto TermKeeper::wantsUpdate(TimePoint Now) const -> bool {
  return !Resigned && (Pending || deputyMayTake(Now) || thirdMayTake(Now) ||
                       wantsDeputy(Now));
}

/// Returns an instance of another failure domain, or nothing: one rack never
/// holds both leader and deputy.
auto TermKeeper::chooseDeputy(TimePoint Now) const -> InstanceId {
  std::vector<InstanceId> Fit;
  for (const PairCandidate &Each : Candidates) {
    if (Each.Id == Self || Each.FailureDomain == FailureDomain)
      continue;
    if (Each.Id == Record.Leader || Each.Id == Record.Deputy)
      continue;
    const auto Lost = Unresponsive.find(Each.Id);
    if (Lost == Unresponsive.end() || Now >= Lost->second + AvoidUnresponsive)
      Fit.push_back(Each.Id);
  }
  if (Fit.empty())
    return InstanceId();
  return Fit[Record.Term % Fit.size()];
}

auto TermKeeper::nextRecord(TimePoint Now) const -> TermRecord {
  TermRecord Next{Record.Term + 1, Self, chooseDeputy(Now), {}};
  if (role() == TermRole::Leader) {
    for (const auto &[Instance, Bound] : Previous)
      if (!Bound)
        Next.Unsettled.push_back(Instance);
    return Next;
  }
  Next.Unsettled = Record.Unsettled;
  if (role() == TermRole::Deputy || Record.Term == 0)
    return Next;
  for (const InstanceId &Each : {Record.Leader, Record.Deputy})
    if (!Each.empty() && std::find(Next.Unsettled.begin(), Next.Unsettled.end(),
                                   Each) == Next.Unsettled.end())
      Next.Unsettled.push_back(Each);
  return Next;
}

auto TermKeeper::sendConfirmRequest(TimePoint Now, OwnershipActions &Actions)
    -> void {
  LastRequest = Now;
  RequestsSent[++NextNumber] = Now;
  // A confirmation of a request older than this has no use any more.
  while (RequestsSent.size() > 16)
    RequestsSent.erase(RequestsSent.begin());
  DeputyEchoed = DeputyEchoed || DeputyClock != 0;
  Actions.push_back(SendLink{
      Record.Deputy, TermConfirmRequest{Record, NextNumber, DeputyClock}});
}

auto TermKeeper::tick(TimePoint Now, OwnershipActions &Actions) -> void {
  if (ReadPending && Now >= ReadAt + CallTimeout) {
    ReadPending = false;
    PlatformAnswers = false;
  }
  if (role() == TermRole::Leader && !withoutDeputy() && !superseded() &&
      !Resigned && !Pending && Now >= LastRequest + Times.RenewEvery)
    sendConfirmRequest(Now, Actions);
  const bool Wanted = wantsUpdate(Now) || superseded() || ProofWanted;
  Duration Every = Wanted || Record.Term == 0 ? Times.PlatformRetry : ReadEvery;
  // Grants to a restarted target wait for the proof.
  if (ProofWanted && PlatformAnswers)
    Every = ProofRetry;
  if (Resigned || ReadPending || WritePending || Now < ReadAt + Every)
    return;
  if (!Wanted && role() == TermRole::Follower && Record.Term != 0)
    return;
  ReadPending = true;
  ReadAt = Now;
  Actions.push_back(ReadObject{ObjectName});
}

/// Sends the conditional update; called right after a read that was answered,
/// so that an outage leaves no update with an unknown outcome behind.
auto TermKeeper::write(TimePoint Now, OwnershipActions &Actions) -> void {
  const bool Update = wantsUpdate(Now);
  const bool Proof = ProofWanted && role() == TermRole::Leader && !superseded();
  if (WritePending || Resigned || !(Update || Proof))
    return;
  if (Update && !Pending)
    Pending = Attempt{nextRecord(Now), Version, Now};
  WritePending = true;
  ProofPending = !Update;
  WriteAt = Now;
  std::optional<std::uint64_t> Base;
  if (Version != 0)
    Base = Version;
  Actions.push_back(WriteObject{
      ObjectName, termRecordText(Update ? Pending->Value : Record), Base});
}

auto TermKeeper::objectRead(const ReadAnswer &Answer, TimePoint Now,
                            OwnershipActions &Actions) -> void {
  ReadPending = false;
  PlatformAnswers = Answer.Answered;
  if (!Answer.Answered)
    return;
  // A read may be stale: an older version than one seen before tells nothing.
  if (Answer.Found && Answer.Found->Version >= Version) {
    const auto Seen = parseTermRecord(Answer.Found->Value);
    if (!Seen)
      return;
    Version = Answer.Found->Version;
    if (Pending && Version > Pending->Base) {
      const TermRecord Mine = Pending->Value;
      if (*Seen == Mine && Record.Term + 1 == Mine.Term)
        won(Record, Mine, Now);
      else
        Pending.reset();
    }
    // Only an update that this process sent makes it leader.
    if (Seen->Leader != Self || Seen->Term <= Record.Term)
      adopt(*Seen, Now);
  }
  write(Now, Actions);
}

auto TermKeeper::objectWritten(const WriteAnswer &Answer, TimePoint Now)
    -> void {
  WritePending = false;
  PlatformAnswers = Answer.Outcome == WriteAnswer::Kind::Written ||
                    Answer.Outcome == WriteAnswer::Kind::Conflict;
  const bool Proof = std::exchange(ProofPending, false);
  if (Answer.Outcome == WriteAnswer::Kind::Written) {
    Version = std::max(Version, Answer.Version);
    if (Proof) {
      ProvedAt = WriteAt;
      ProofWanted = false;
    } else if (Pending && Record.Term + 1 == Pending->Value.Term) {
      won(Record, TermRecord(Pending->Value), Now);
    }
    return;
  }
  // After a conflict the next read shows whether an earlier attempt took
  // effect; it follows at once.
  if (Answer.Outcome == WriteAnswer::Kind::Conflict)
    ReadAt = Now - ReadEvery;
}

auto TermKeeper::receive(const InstanceId &From,
                         const TermConfirmRequest &Request, TimePoint Now,
                         OwnershipActions &Actions) -> void {
  if (Request.Record.Term > Record.Term)
    adopt(Request.Record, Now);
  heardFrom(From, Request.Record.Term, Now);
  if (Request.Record.Term < HighestTerm) {
    Actions.push_back(SendLink{From, TermAck{HighestTerm, quiet(Now)}});
    return;
  }
  if (role() != TermRole::Deputy || From != Record.Leader || Resigned ||
      Pending || LeaderResigned)
    return;
  ConfirmedAt = Now;
  if (Request.ClockUs != 0)
    LeaderContact = std::max(
        LeaderContact.value_or(TimePoint()),
        TimePoint(Duration(std::min(Request.ClockUs, sinceEpoch(Now)))));
  Actions.push_back(SendLink{
      From, TermConfirm{Record.Term, Request.Number, sinceEpoch(Now)}});
}

auto TermKeeper::receive(const InstanceId &From, const TermConfirm &Confirm,
                         TimePoint Now) -> void {
  heardFrom(From, Confirm.Term, Now);
  if (role() != TermRole::Leader || Confirm.Term != Record.Term ||
      From != Record.Deputy || Pending)
    return;
  const auto Sent = RequestsSent.find(Confirm.Number);
  if (Sent == RequestsSent.end())
    return;
  noteLapse(Now);
  ConfirmedFrom = std::max(ConfirmedFrom, Sent->second);
  if (Confirm.ClockUs > DeputyClock) {
    DeputyClock = Confirm.ClockUs;
    DeputyHeard = Now;
  }
}

auto TermKeeper::receive(const InstanceId &From, const TermAnnounce &Announce,
                         TimePoint Now, OwnershipActions &Actions) -> void {
  const bool WasQuiet = quiet(Now);
  if (Announce.Record.Leader != Self)
    adopt(Announce.Record, Now);
  heardFrom(From, Announce.Record.Term, Now);
  Actions.push_back(SendLink{From, TermAck{HighestTerm, WasQuiet}});
}

auto TermKeeper::receive(const InstanceId &From, const TermAck &Ack,
                         TimePoint Now) -> void {
  learnTerm(Ack.Term);
  const auto Place = Previous.find(From);
  if (Ack.Term != Record.Term || Place == Previous.end())
    return;
  const Duration Tail = stretched(Times.ConfirmLease + Times.RenewOnlyLimit);
  const TimePoint Bound = Ack.PredecessorsExpired ? Now : Now + Tail;
  if (!Place->second || Bound < *Place->second)
    Place->second = Bound;
}

auto TermKeeper::receive(const InstanceId &From, const Resign &Message,
                         TimePoint Now) -> void {
  heardFrom(From, Message.Term, Now);
  if (Message.Term != Record.Term)
    return;
  if (From == Record.Leader && role() == TermRole::Deputy) {
    LeaderResigned = true;
    LeaderQuiet = Message.PredecessorsExpired;
    ReadAt = Now - ReadEvery;
  }
  if (From == Record.Deputy && role() == TermRole::Leader) {
    noteLapse(Now);
    DeputyResigned = true;
    ReadAt = Now - ReadEvery;
  }
}

auto TermKeeper::confirmLost(const InstanceId &Instance, TimePoint Now)
    -> void {
  const auto Place = Previous.find(Instance);
  if (Place != Previous.end() && !Place->second)
    Place->second = Now + stretched(Times.ConfirmLease + Times.RenewOnlyLimit);
}

auto TermKeeper::resign(TimePoint Now, OwnershipActions &Actions) -> void {
  const TermRole Role = role();
  const Resign Message{Record.Term, quiet(Now)};
  Resigned = true;
  if (Pending)
    return; // The update may still take effect, so nothing can be promised.
  if (Role == TermRole::Leader && !Record.Deputy.empty())
    Actions.push_back(SendLink{Record.Deputy, Message});
  if (Role == TermRole::Deputy)
    Actions.push_back(SendLink{Record.Leader, Message});
}

} // namespace buckthornring
