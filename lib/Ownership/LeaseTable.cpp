#include "buckthornring/Ownership/LeaseTable.h"
#include "buckthornring/Common/Invariant.h"

#include <algorithm>
#include <tuple>

namespace buckthornring {

LeaseTable::LeaseTable(OwnershipTimes Times, SafetySwitches Switches)
    : Times(Times), Switches(Switches) {}

auto LeaseTable::leaseAfter(TimePoint From) const -> TimePoint {
  const double Factor = Switches.DriftBound ? 1 + Times.Drift : 1;
  return From +
         Duration(static_cast<Duration::rep>(
             static_cast<double>(Times.TargetLease.count()) * Factor)) +
         Duration(1);
}

auto LeaseTable::add(const TargetId &Target) -> void {
  Entries.try_emplace(Target);
}

auto LeaseTable::remove(const TargetId &Target) -> void {
  Entries.erase(Target);
}

auto LeaseTable::contains(const TargetId &Target) const -> bool {
  return Entries.contains(Target);
}

auto LeaseTable::entry(const TargetId &Target) const -> const Entry & {
  const auto Place = Entries.find(Target);
  invariant(Place != Entries.end(), "target is in the lease table");
  return Place->second;
}

auto LeaseTable::beginTerm(std::uint64_t NewTerm) -> void {
  invariant(NewTerm > Term, "the term of a lease table rises");
  Term = NewTerm;
  for (auto &[Target, Each] : Entries) {
    Each.Acknowledged = false;
    Each.Applied = 0;
    Each.Running.clear();
    Each.Report.reset();
    Each.ReportAfter = 0;
    Each.Candidate.reset();
    Each.LastSequence = 0;
  }
}

auto LeaseTable::sent(LeaseMessage &Message, bool WithLease) -> void {
  Entry &Each = Entries.at(Message.Target);
  // A renewing deputy sends sequence zero.
  invariant(Message.Sequence == 0 || Message.Sequence > Each.LastSequence,
            "sequences of lease messages rise");
  Each.LastSequence = std::max(Each.LastSequence, Message.Sequence);
  Message.Start = Each.Start;
  if (!WithLease || Each.Start.empty())
    return;
  Message.ClockUs = Each.ClockUs;
  Message.LeaseUs = Times.TargetLease.count();
  Each.LeaseEnd = std::max(Each.LeaseEnd, leaseAfter(Each.ClockAt));
}

/// Decides about a start identifier that differs from the known one. A late
/// reply of a dead process also carries another one, so the new identifier
/// counts only when it answers a message that was sent after it was first seen.
auto LeaseTable::otherStart(Entry &Each, const LeaseReply &Reply) -> bool {
  if (!Each.Candidate || Each.Candidate->first != Reply.Start) {
    Each.Candidate = {Reply.Start, Each.LastSequence};
    return false;
  }
  return Reply.Sequence > Each.Candidate->second;
}

auto LeaseTable::reply(const TargetId &Target, const LeaseReply &Reply,
                       TimePoint Now) -> ReplyEffect {
  const auto Place = Entries.find(Target);
  if (Place == Entries.end() || Reply.Start.empty())
    return ReplyEffect::Ignored;
  if (Reply.Term > Term)
    return ReplyEffect::HigherTerm;
  Entry &Each = Place->second;
  if (Reply.Term < Term || Reply.Sequence > Each.LastSequence)
    return ReplyEffect::Ignored;
  // Before the first answer of a term another leader may have granted slices
  // to any process start, so a change since then proves nothing.
  const bool First =
      Each.Start.empty() || (!Each.Acknowledged && Each.Start != Reply.Start);
  const bool Other = !First && Each.Start != Reply.Start;
  if (Other && !otherStart(Each, Reply))
    return ReplyEffect::Ignored;
  if (!First && !Other &&
      std::tie(Reply.ClockUs, Reply.Sequence) <
          std::tie(Each.ClockUs, Each.Answered))
    return ReplyEffect::Ignored;
  if (First || Other) {
    Each.Start = Reply.Start;
    Each.StartSeen = Now;
    Each.Lapses = Reply.Lapses;
    Each.Candidate.reset();
  }
  // A new process start holds nothing; the old one holds nothing any more.
  if (Other)
    Each.LeaseEnd = Now;
  // Until now another leader, or the deputy, may have renewed.
  if (!Each.Acknowledged)
    Each.LeaseEnd = std::max(Each.LeaseEnd, leaseAfter(Now));
  Each.Acknowledged = true;
  const bool Lapsed = Each.Lapses != Reply.Lapses;
  Each.Lapses = Reply.Lapses;
  Each.ClockUs = Reply.ClockUs;
  Each.Answered = Reply.Sequence;
  Each.ClockAt = Now;
  Each.LastReply = Now;
  Each.Applied = Reply.Applied;
  Each.Running = {Reply.Running.begin(), Reply.Running.end()};
  if (Reply.Reported && Reply.Sequence > Each.ReportAfter) {
    Each.Report.emplace();
    for (const SliceEpoch &Held : Reply.Held)
      Each.Report->emplace(Held.Slice, Held.At);
  }
  if (Other)
    return ReplyEffect::Restarted;
  return Lapsed ? ReplyEffect::Lapsed : ReplyEffect::Known;
}

auto LeaseTable::leaseEnd(const TargetId &Target) const -> TimePoint {
  return entry(Target).LeaseEnd;
}

auto LeaseTable::acknowledged(const TargetId &Target) const -> bool {
  return entry(Target).Acknowledged;
}

auto LeaseTable::alive(const TargetId &Target, TimePoint Now) const -> bool {
  const Entry &Each = entry(Target);
  return Each.LastReply && Now < *Each.LastReply + 3 * Times.RenewEvery;
}

auto LeaseTable::start(const TargetId &Target) const -> const std::string & {
  return entry(Target).Start;
}

auto LeaseTable::startSeen(const TargetId &Target) const -> TimePoint {
  return entry(Target).StartSeen;
}

auto LeaseTable::applied(const TargetId &Target) const -> std::uint64_t {
  return entry(Target).Applied;
}

auto LeaseTable::running(const TargetId &Target) const
    -> const std::set<std::uint32_t> & {
  return entry(Target).Running;
}

auto LeaseTable::report(const TargetId &Target) const
    -> const std::optional<std::map<std::uint32_t, Epoch>> & {
  return entry(Target).Report;
}

auto LeaseTable::clearReports() -> void {
  for (auto &[Target, Each] : Entries) {
    Each.Report.reset();
    Each.ReportAfter = Each.LastSequence;
  }
}

auto LeaseTable::confirmLost(const TargetId &Target, TimePoint Now) -> void {
  Entry &Each = Entries.at(Target);
  Each.Acknowledged = true;
  Each.LeaseEnd = Now;
  Each.Start.clear();
  Each.LastReply.reset();
  Each.Report.emplace();
}

} // namespace buckthornring
