#include "Fleet/AuthorityEvidence.h"

#include <algorithm>

namespace buckthornring {

namespace {

/// Interval at which earlier leaders that have not answered are asked again. A
/// datagram and its answer take 1 ms to 16 ms; a process that is starting
/// answers as soon as its socket is open.
constexpr Duration QueryInterval = std::chrono::milliseconds(150);

/// Bound of the listed leaders. Leaders replace each other in 2 s at least, and
/// those of the last 14 s are needed.
constexpr std::size_t MaxEarlierLeaders = 8;

/// Number of terms whose first sight is remembered.
constexpr std::size_t MaxSeenTerms = 16;

} // namespace

auto TermHistory::seen(std::uint64_t Term, TimePoint Now) -> void {
  FirstSeen.try_emplace(Term, Now);
  if (FirstSeen.size() > MaxSeenTerms)
    FirstSeen.erase(FirstSeen.begin());
}

auto TermHistory::endedBefore(std::uint64_t Term, TimePoint Now) const -> bool {
  const Duration Longest = Times.maxAuthorityPeriod() + Times.maxHoldPeriod();
  return std::any_of(
      FirstSeen.lower_bound(Term), FirstSeen.end(),
      [&](const auto &Entry) { return Now - Entry.second > Longest; });
}

auto TermHistory::leadersBefore(const LeaderInfo &Replaced,
                                const EarlierLeaders &Earlier,
                                TimePoint Now) const -> EarlierLeaders {
  EarlierLeaders Out{{Replaced}, Earlier.MayBeMore};
  for (const LeaderInfo &Each : Earlier.Leaders) {
    if (endedBefore(Out.Leaders.back().Term, Now))
      break;
    if (Out.Leaders.size() == MaxEarlierLeaders) {
      Out.MayBeMore = true;
      break;
    }
    Out.Leaders.push_back(Each);
  }
  if (endedBefore(Out.Leaders.back().Term, Now))
    Out.MayBeMore = false;
  return Out;
}

auto AuthorityEvidence::begin(const EarlierLeaders &Earlier,
                              std::uint64_t NewTerm, TimePoint Now) -> void {
  Term = NewTerm;
  MayBeMore = Earlier.MayBeMore;
  Inquiries.clear();
  for (const LeaderInfo &Each : Earlier.Leaders)
    Inquiries.push_back({Each, std::nullopt, {}});
  NextQueryAt = Now;
  // Evidence that comes later does not shorten the full wait.
  QueriesUntil = Now + Times.AuthorityPeriod;
}

auto AuthorityEvidence::ended(const std::string &Process,
                              TimePoint LastOrderEnd) -> void {
  for (Inquiry &Each : Inquiries)
    if (Each.Leader.Process == Process)
      Each.LastOrderEnd =
          std::min(Each.LastOrderEnd.value_or(LastOrderEnd), LastOrderEnd);
}

auto AuthorityEvidence::dueQueries(TimePoint Now) -> std::vector<LeaderInfo> {
  std::vector<LeaderInfo> Out;
  if (MayBeMore || Now < NextQueryAt || Now > QueriesUntil)
    return Out;
  NextQueryAt = Now + QueryInterval;
  for (const Inquiry &Each : Inquiries)
    if (!Each.LastOrderEnd)
      Out.push_back(Each.Leader);
  return Out;
}

auto AuthorityEvidence::onAnswer(const AuthorityAnswer &Answer, TimePoint Now)
    -> bool {
  if (!Answer.Ended || Answer.Term != Term)
    return false;
  const bool Asked =
      std::any_of(Inquiries.begin(), Inquiries.end(), [&](const Inquiry &Each) {
        return Each.Leader.Process == Answer.Process;
      });
  if (!Asked)
    return false;
  // The delay of the answer makes the end appear later, which is safe. Both
  // clocks may be wrong.
  const auto Before = [&](std::uint32_t AgeMs) {
    return Now - std::chrono::duration_cast<Duration>(
                     std::chrono::milliseconds(AgeMs) *
                     (1 - 2 * Times.ClockRateError));
  };
  ended(Answer.Process, Before(Answer.LastOrderAgeMs));
  for (Inquiry &Each : Inquiries)
    if (Each.Leader.Process == Answer.Process)
      for (const auto &[Target, AgeMs] : Answer.OlderOrderAgesMs)
        Each.OlderOrderEnds.try_emplace(Target, Before(AgeMs));
  return true;
}

auto AuthorityEvidence::Inquiry::lastOrderEnd(const TargetId &Target) const
    -> TimePoint {
  const auto Older = OlderOrderEnds.find(Target);
  return Older == OlderOrderEnds.end() ? *LastOrderEnd
                                       : std::min(Older->second, *LastOrderEnd);
}

auto AuthorityEvidence::lastOrderEnds() const
    -> std::optional<EarlierOrderEnds> {
  if (MayBeMore)
    return std::nullopt;
  EarlierOrderEnds Out;
  for (const Inquiry &Each : Inquiries) {
    if (!Each.LastOrderEnd)
      return std::nullopt;
    Out.Latest = std::max(Out.Latest, *Each.LastOrderEnd);
  }
  // An earlier leader that does not name the target may have sent it orders
  // until its own end.
  for (const Inquiry &Each : Inquiries)
    for (const auto &[Target, End] : Each.OlderOrderEnds) {
      TimePoint &Latest =
          Out.ByTarget.try_emplace(Target, LongAgo).first->second;
      for (const Inquiry &Other : Inquiries)
        Latest = std::max(Latest, Other.lastOrderEnd(Target));
    }
  return Out;
}

} // namespace buckthornring
