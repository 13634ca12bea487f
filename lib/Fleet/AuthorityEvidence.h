#pragma once

#include "Fleet/FleetMessage.h"
#include "Fleet/RangeAssigner.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring {

/// Leaders before a claim whose orders may still be in force, newest first. It
/// is part of the leader object, whose writes are conditional, so it is exact.
struct EarlierLeaders {
  std::vector<LeaderInfo> Leaders;
  /// There may be others that are not listed.
  bool MayBeMore = true;
};

/// When this process first knew of each term. A leader of an earlier term has
/// no confirmation from the store after that.
class TermHistory {
public:
  explicit TermHistory(RangeTimes Times) : Times(Times) {}

  auto seen(std::uint64_t Term, TimePoint Now) -> void;
  /// Whether no term was seen.
  auto empty() const -> bool { return FirstSeen.empty(); }
  /// Returns the leaders before a claim that replaces \p Replaced, whose own
  /// object lists \p Earlier. Leaves out those whose last grants have certainly
  /// ended.
  auto leadersBefore(const LeaderInfo &Replaced, const EarlierLeaders &Earlier,
                     TimePoint Now) const -> EarlierLeaders;

private:
  /// Whether all grants of leaders before the term have certainly ended.
  auto endedBefore(std::uint64_t Term, TimePoint Now) const -> bool;

  RangeTimes Times;
  std::map<std::uint64_t, TimePoint> FirstSeen;
};

/// Collects what the processes of earlier leaders say about the end of their
/// leadership, for one leadership. Without an answer of each of them nothing is
/// known, and the full AuthorityPeriod applies.
class AuthorityEvidence {
public:
  explicit AuthorityEvidence(RangeTimes Times) : Times(Times) {}

  /// Starts a leadership with \p Term. Forgets all earlier evidence.
  auto begin(const EarlierLeaders &Earlier, std::uint64_t Term, TimePoint Now)
      -> void;
  /// The process has sent no order since \p LastOrderEnd.
  auto ended(const std::string &Process, TimePoint LastOrderEnd) -> void;

  /// Returns the earlier leaders that are to be asked now.
  auto dueQueries(TimePoint Now) -> std::vector<LeaderInfo>;
  /// Returns whether the answer is about one of the earlier leaders and this
  /// leadership, and says that it has ended.
  auto onAnswer(const AuthorityAnswer &Answer, TimePoint Now) -> bool;

  /// Returns the times since which no earlier leader has sent an order, or
  /// nothing while one of them may still send orders.
  auto lastOrderEnds() const -> std::optional<EarlierOrderEnds>;

private:
  struct Inquiry {
    LeaderInfo Leader;
    std::optional<TimePoint> LastOrderEnd;
    std::map<TargetId, TimePoint> OlderOrderEnds;

    auto lastOrderEnd(const TargetId &Target) const -> TimePoint;
  };

  RangeTimes Times;
  std::uint64_t Term = 0;
  bool MayBeMore = true;
  std::vector<Inquiry> Inquiries;
  TimePoint NextQueryAt = LongAgo;
  TimePoint QueriesUntil = LongAgo;
};

} // namespace buckthornring
