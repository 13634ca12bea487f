#include "Gateway/SuspectExchange.h"

#include <algorithm>

namespace buckthornring {

namespace {

/// Interval over which changes are batched. Several instances detect the crash
/// of a target, each for its own requests.
constexpr Duration AccusationDelay = std::chrono::milliseconds(10);
/// A completion only lifts restrictions. Requests that ran beside the one that
/// crashed the target are completed one after the other.
constexpr Duration CompletionDelay = std::chrono::milliseconds(100);

/// The digest changes without a notice when suspects expire.
constexpr Duration DigestLifetime = std::chrono::seconds(1);

} // namespace

auto SuspectExchange::onChanged(CrashSuspects::Change Kind) -> void {
  DigestAt = LongAgo;
  Origins.insert(DataCentreId());
  schedule(Kind == CrashSuspects::Change::Accused ? AccusationDelay
                                                  : CompletionDelay);
}

auto SuspectExchange::schedule(Duration Delay) -> void {
  if (FlushDelay && *FlushDelay <= Delay)
    return;
  FlushDelay = Delay;
  Context.ScheduleFlush(Delay);
}

auto SuspectExchange::flush(TimePoint Now) -> void {
  FlushDelay.reset();
  const SuspectNotice Changes = Context.Suspects.takeChanges(Now);
  const std::set<DataCentreId> From = std::exchange(Origins, {});
  const bool OwnChanges = From.contains(DataCentreId());
  if (!Context.Leading()) {
    if (OwnChanges)
      send(Context.NeighboursAndLeader(), Changes);
    return;
  }
  // The instances of a data centre tell each other.
  send(
      Context.MembersOutside(From.size() == 1 ? *From.begin() : DataCentreId()),
      Changes);
}

auto SuspectExchange::send(const Addresses &To, const SuspectNotice &Notice)
    -> void {
  for (auto Next = Notice.Suspects.begin(); Next != Notice.Suspects.end();) {
    const auto Count = std::min<std::ptrdiff_t>(
        MaxSuspectsInMessage, std::distance(Next, Notice.Suspects.end()));
    Context.Send(To, SuspectNotice{{Next, Next + Count}});
    Next += Count;
  }
}

auto SuspectExchange::receive(const SuspectNotice &Notice,
                              const std::string &From, TimePoint Now) -> void {
  if (Notice.Suspects.empty())
    return;
  send({From}, Context.Suspects.completionsMissingIn(Notice, Now));
  if (!Context.Leading()) {
    // The leader passes on what others have sent.
    flush(Now);
    merge(Notice, From, Now);
    static_cast<void>(Context.Suspects.takeChanges(Now));
    return;
  }
  if (!merge(Notice, From, Now))
    return;
  Origins.insert(Context.DataCentreOf(From));
  schedule(AccusationDelay);
}

auto SuspectExchange::merge(const SuspectNotice &Notice,
                            const std::string &From, TimePoint Now) -> bool {
  std::vector<std::size_t> CrashesBefore;
  for (const SuspectNotice::Suspect &Told : Notice.Suspects)
    CrashesBefore.push_back(Context.Suspects.crashes(Told.Request, Now));
  if (!Context.Suspects.merge(Notice, Now))
    return false;
  DigestAt = LongAgo;
  for (std::size_t Index = 0; Index < Notice.Suspects.size(); ++Index) {
    const std::uint64_t Request = Notice.Suspects[Index].Request;
    const std::size_t Crashes = Context.Suspects.crashes(Request, Now);
    if (Crashes == CrashesBefore[Index])
      continue;
    ++Learned;
    Context.Events.write(
        EventLine("suspect-learned")
            .field("fingerprint", CrashSuspects::fingerprintText(Request))
            .field("crashes", Crashes)
            .field("crashes_before", CrashesBefore[Index])
            .field("from", From));
  }
  return true;
}

auto SuspectExchange::digest(TimePoint Now) -> std::uint64_t {
  if (DigestAt == LongAgo || Now - DigestAt > DigestLifetime) {
    DigestAt = Now;
    Digest = digestOf(Context.Suspects.active(MaxSuspectsInMessage, Now));
  }
  return Digest;
}

auto SuspectExchange::addTo(FleetReport &Report, TimePoint Now) -> void {
  Report.SuspectsDigest = digest(Now);
  if (Report.SuspectsDigest != LeaderDigest)
    Report.Suspects = Context.Suspects.active(MaxSuspectsInMessage, Now);
}

auto SuspectExchange::answer(const FleetReport &Report, const std::string &From,
                             FleetReply &Reply, TimePoint Now) -> void {
  receive(Report.Suspects, From, Now);
  Reply.SuspectsDigest = digest(Now);
  if (Report.SuspectsDigest != Reply.SuspectsDigest)
    Reply.Suspects = Context.Suspects.active(MaxSuspectsInMessage, Now);
}

auto SuspectExchange::onReply(const FleetReply &Reply, const std::string &From,
                              TimePoint Now) -> void {
  LeaderDigest = Reply.SuspectsDigest;
  receive(Reply.Suspects, From, Now);
}

} // namespace buckthornring
