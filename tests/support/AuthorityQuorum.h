#pragma once

#include "Fleet/RangeAssigner.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornring {

/// Digests of LeaderInfo::Process. A process that restarts is another member.
using MemberSet = std::set<std::uint64_t>;

/// A member's acknowledgement of the last reply of its leader.
struct ReplyEcho {
  std::uint64_t Term = 0;
  /// FleetReply::SentAtMs, by the clock of the leader.
  std::uint64_t SentAtMs = 0;
  /// Highest term of another leader that the member has followed.
  std::uint64_t OtherTerm = 0;
};

/// What a member knows of the replies of its leaders. It never follows an
/// earlier term again, so each of its reports to a leader promises to
/// acknowledge no more replies of leaders before.
class ReplyRecord {
public:
  explicit ReplyRecord(TimePoint StartedAt) : OtherReplyAt(StartedAt) {}

  auto follow(std::uint64_t NewTerm, const std::string &Process) -> void;
  auto onReply(std::uint64_t OfTerm, std::uint64_t SentAtMs, TimePoint Now)
      -> void;
  /// This process has led until now, so it counted as a member that echoes.
  auto stopLeading(TimePoint Now) -> void {
    LastReplyAt = std::max(LastReplyAt, Now);
  }
  /// Highest term followed.
  auto term() const -> std::uint64_t { return Term; }
  auto echo() const -> ReplyEcho { return {Term, LastSentAtMs, OtherTerm}; }
  /// When a reply of another leader was last received. At the earliest the
  /// start of the process.
  auto otherReplyAt() const -> TimePoint { return OtherReplyAt; }

private:
  std::uint64_t Term = 0;
  std::string LeaderProcess;
  std::uint64_t LastSentAtMs = 0;
  TimePoint LastReplyAt = LongAgo;
  std::uint64_t OtherTerm = 0;
  TimePoint OtherReplyAt;
};

/// Authority of a leader by the echoes of a majority of the recorded members.
class EchoAuthority {
public:
  EchoAuthority(RangeTimes Times, Duration Period)
      : Times(Times), Period(Period) {}

  /// Starts a leadership, without recorded members.
  auto begin(std::uint64_t NewTerm) -> void;
  /// Continues the leadership by a claim after a restoration of the store. A
  /// leader whose claim is lost may have collected promises, so the members
  /// recorded before have to go on echoing without having followed another.
  auto continueAs(std::uint64_t NewTerm, TimePoint Now) -> void;

  /// Returns when the authority by these members would end. They may be
  /// recorded only if all orders in flight will have ended before.
  auto supportedUntil(const MemberSet &Members, std::uint64_t Self,
                      TimePoint Now) const -> TimePoint;
  /// A write of the record is being sent. Its members count from now on, since
  /// the write may take effect without an answer. Nothing: no members.
  auto writing(std::optional<MemberSet> Members) -> void;
  /// The store has confirmed that the record names these members.
  auto recorded(const std::optional<MemberSet> &Members) -> void;

  auto onEcho(std::uint64_t Member, const ReplyEcho &Echo) -> void;
  /// Returns when the authority ends; TimePoint::max() without members.
  auto end(std::uint64_t Self, TimePoint Now) const -> TimePoint;

private:
  struct Rule {
    std::optional<MemberSet> Members;
    std::uint64_t Term = 0;
    TimePoint Until = TimePoint::max();
    std::map<std::uint64_t, TimePoint> Echoed;
  };

  auto endBy(const Rule &Each, std::uint64_t Self, TimePoint Now) const
      -> TimePoint;

  RangeTimes Times;
  Duration Period;
  std::uint64_t Term = 0;
  std::vector<Rule> Rules;
  std::map<std::uint64_t, TimePoint> Echoed; ///< In this term.
};

/// Promises of members to a new leader.
class MajorityPromises {
public:
  explicit MajorityPromises(RangeTimes Times) : Times(Times) {}

  auto begin() -> void { LastReplies.clear(); }
  /// The member follows this leader; the last reply of an earlier one arrived
  /// \p Age ago by its clock.
  auto onPromise(std::uint64_t Member, Duration Age, TimePoint Now) -> void;
  /// Returns the latest time at which a reply can have been sent that a
  /// majority of the members has echoed or will; nothing without promises of a
  /// majority.
  auto lastMajorityReply(const MemberSet &Members) const
      -> std::optional<TimePoint>;

private:
  RangeTimes Times;
  std::map<std::uint64_t, TimePoint> LastReplies;
};

inline auto majorityOf(const MemberSet &Members) -> std::size_t {
  return Members.size() / 2 + 1;
}

inline auto ReplyRecord::follow(std::uint64_t NewTerm,
                                const std::string &Process) -> void {
  if (NewTerm <= Term)
    return;
  if (Process != LeaderProcess) {
    OtherTerm = Term;
    OtherReplyAt = std::max(OtherReplyAt, LastReplyAt);
  }
  Term = NewTerm;
  LeaderProcess = Process;
  LastSentAtMs = 0;
}

inline auto ReplyRecord::onReply(std::uint64_t OfTerm, std::uint64_t SentAtMs,
                                 TimePoint Now) -> void {
  if (OfTerm != Term)
    return;
  LastReplyAt = Now;
  LastSentAtMs = std::max(LastSentAtMs, SentAtMs);
}

inline auto EchoAuthority::begin(std::uint64_t NewTerm) -> void {
  Term = NewTerm;
  Rules = {Rule{std::nullopt, Term, TimePoint::max(), {}}};
  Echoed.clear();
}

inline auto EchoAuthority::continueAs(std::uint64_t NewTerm, TimePoint Now)
    -> void {
  Term = NewTerm;
  Echoed.clear();
  // By then the authority and the grants of a leader whose claim is lost have
  // ended.
  for (Rule &Each : Rules)
    Each.Until = std::min(Each.Until, Now + Times.maxAuthorityPeriod() +
                                          Times.maxHoldPeriod());
  Rules.push_back({std::nullopt, Term, TimePoint::max(), {}});
}

inline auto EchoAuthority::writing(std::optional<MemberSet> Members) -> void {
  Rules.push_back({std::move(Members), Term, TimePoint::max(), Echoed});
}

inline auto EchoAuthority::supportedUntil(const MemberSet &Members,
                                          std::uint64_t Self,
                                          TimePoint Now) const -> TimePoint {
  return endBy({Members, Term, TimePoint::max(), Echoed}, Self, Now);
}

inline auto EchoAuthority::recorded(const std::optional<MemberSet> &Members)
    -> void {
  std::erase_if(Rules, [&](const Rule &Each) {
    return Each.Term == Term && Each.Members != Members;
  });
}

inline auto EchoAuthority::onEcho(std::uint64_t Member, const ReplyEcho &Echo)
    -> void {
  if (Echo.Term != Term || Echo.SentAtMs == 0)
    return;
  const TimePoint SentAt{std::chrono::milliseconds(Echo.SentAtMs)};
  const auto Record = [&](std::map<std::uint64_t, TimePoint> &In) {
    TimePoint &Last = In.try_emplace(Member, LongAgo).first->second;
    Last = std::max(Last, SentAt);
  };
  Record(Echoed);
  for (Rule &Each : Rules)
    if (Echo.OtherTerm < Each.Term)
      Record(Each.Echoed);
}

inline auto EchoAuthority::endBy(const Rule &Each, std::uint64_t Self,
                                 TimePoint Now) const -> TimePoint {
  if (!Each.Members || Now > Each.Until)
    return TimePoint::max();
  std::vector<TimePoint> Last;
  for (const std::uint64_t Member : *Each.Members) {
    const auto Found = Each.Echoed.find(Member);
    if (Member == Self)
      Last.push_back(Now);
    else
      Last.push_back(Found == Each.Echoed.end() ? LongAgo : Found->second);
  }
  const auto Quorum =
      Last.begin() + static_cast<std::ptrdiff_t>(majorityOf(*Each.Members) - 1);
  std::nth_element(Last.begin(), Quorum, Last.end(), std::greater<>());
  return *Quorum + Period;
}

inline auto EchoAuthority::end(std::uint64_t Self, TimePoint Now) const
    -> TimePoint {
  TimePoint End = TimePoint::max();
  for (const Rule &Each : Rules)
    End = std::min(End, endBy(Each, Self, Now));
  return End;
}

inline auto MajorityPromises::onPromise(std::uint64_t Member, Duration Age,
                                        TimePoint Now) -> void {
  // The delay of the report makes the reply appear later, which is safe. Both
  // clocks may be wrong.
  const TimePoint At = Now - std::chrono::duration_cast<Duration>(
                                 Age * (1 - 2 * Times.ClockRateError));
  TimePoint &Last =
      LastReplies.try_emplace(Member, TimePoint::max()).first->second;
  Last = std::min(Last, At);
}

inline auto MajorityPromises::lastMajorityReply(const MemberSet &Members) const
    -> std::optional<TimePoint> {
  std::vector<TimePoint> Last;
  for (const std::uint64_t Member : Members)
    if (const auto Found = LastReplies.find(Member); Found != LastReplies.end())
      Last.push_back(Found->second);
  // A majority shares at least this number of members with those that have
  // promised, and a reply that it has echoed had reached all of them.
  const std::size_t Shared = Last.size() + majorityOf(Members);
  if (Last.empty() || Shared <= Members.size())
    return std::nullopt;
  const auto Bound =
      Last.begin() + static_cast<std::ptrdiff_t>(Shared - Members.size() - 1);
  std::nth_element(Last.begin(), Bound, Last.end(), std::greater<>());
  return *Bound;
}

} // namespace buckthornring
