#include "Fleet/AuthorityEvidence.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(1000)};

auto leader(const char *Process, std::uint64_t Term) -> LeaderInfo {
  return {InstanceId(Process), Process, Process, Term};
}

// Guards against a leader that counts on the end of only some earlier ones.
TEST(AuthorityEvidenceTest, EndIsKnownWhenAllEarlierLeadersHaveAnswered) {
  AuthorityEvidence Evidence{RangeTimes()};
  Evidence.begin({{leader("b", 20), leader("a", 10)}, false}, 30, Start);
  EXPECT_EQ(Evidence.dueQueries(Start).size(), 2U);
  EXPECT_TRUE(Evidence.dueQueries(Start + milliseconds(10)).empty());
  EXPECT_TRUE(Evidence.onAnswer(
      {30, "b", true, 1000, {{TargetId("x"), 2000}, {TargetId("y"), 3000}}},
      Start));
  EXPECT_FALSE(Evidence.lastOrderEnds());
  EXPECT_EQ(Evidence.dueQueries(Start + milliseconds(200)).size(), 1U);
  EXPECT_TRUE(
      Evidence.onAnswer({30, "a", true, 100, {{TargetId("x"), 1500}}}, Start));
  // The ages are shortened by the errors of both clocks.
  const auto Ends = Evidence.lastOrderEnds();
  ASSERT_TRUE(Ends);
  EXPECT_EQ(Ends->Latest, Start - milliseconds(96));
  EXPECT_EQ(Ends->of(TargetId("x")), Start - milliseconds(1440));
  EXPECT_EQ(Ends->of(TargetId("y")), Ends->Latest) << "a may have sent it one";
}

// Guards against evidence from answers to other leaderships, about other
// processes, or by a process that still leads.
TEST(AuthorityEvidenceTest, OtherAnswersAreNoEvidence) {
  AuthorityEvidence Evidence{RangeTimes()};
  Evidence.begin({{leader("a", 10)}, false}, 30, Start);
  EXPECT_FALSE(Evidence.onAnswer({29, "a", true, 0, {}}, Start));
  EXPECT_FALSE(Evidence.onAnswer({30, "c", true, 0, {}}, Start));
  EXPECT_FALSE(Evidence.onAnswer({30, "a", false, 0, {}}, Start));
  EXPECT_FALSE(Evidence.lastOrderEnds());
  Evidence.begin({{leader("a", 10)}, true}, 31, Start);
  EXPECT_TRUE(Evidence.onAnswer({31, "a", true, 0, {}}, Start));
  EXPECT_FALSE(Evidence.lastOrderEnds()) << "there may be unknown leaders";
}

// Guards against leaving out a leader whose authority may still last.
TEST(AuthorityEvidenceTest, LeadersAreLeftOutWhenTheirGrantsHaveEnded) {
  const RangeTimes Times;
  const Duration Longest = Times.maxAuthorityPeriod() + Times.maxHoldPeriod();
  TermHistory Terms(Times);
  Terms.seen(20, Start);
  const EarlierLeaders Before{{leader("b", 10)}, true};
  const auto Early =
      Terms.leadersBefore(leader("c", 20), Before, Start + Longest);
  EXPECT_EQ(Early.Leaders.size(), 2U);
  EXPECT_TRUE(Early.MayBeMore);
  const auto Late = Terms.leadersBefore(leader("c", 20), Before,
                                        Start + Longest + milliseconds(1));
  EXPECT_EQ(Late.Leaders.size(), 1U);
  EXPECT_FALSE(Late.MayBeMore);
}

} // namespace
