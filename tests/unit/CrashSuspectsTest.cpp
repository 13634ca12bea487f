#include "Fleet/CrashSuspects.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Verdict = CrashSuspects::Verdict;

namespace {

const TimePoint Start(seconds(100));
constexpr std::uint64_t Deadly = 7;
constexpr std::uint64_t Innocent = 8;

auto quarantined() -> CrashSuspects {
  CrashSuspects Table;
  for (const int Crash : {1, 2, 3})
    Table.accuse(Deadly, static_cast<std::uint64_t>(Crash),
                 Start + Crash * seconds(1));
  return Table;
}

} // namespace

TEST(CrashSuspectsTest, FingerprintTellsEachPartOfARequest) {
  const auto Original = CrashSuspects::fingerprint("GET", "/a", "key", "body");
  EXPECT_EQ(Original, CrashSuspects::fingerprint("GET", "/a", "key", "body"));
  // The division into parts differs between instances.
  EXPECT_EQ(Original, CrashSuspects::fingerprint(
                          "GET", "/a", "key",
                          std::vector<std::string_view>{"b", "od", "y"}));
  EXPECT_NE(Original, CrashSuspects::fingerprint("PUT", "/a", "key", "body"));
  EXPECT_NE(Original, CrashSuspects::fingerprint("GET", "/a?b", "key", "body"));
  EXPECT_NE(Original, CrashSuspects::fingerprint("GET", "/a", "other", "body"));
  EXPECT_NE(Original, CrashSuspects::fingerprint("GET", "/a", "key", "other"));
  EXPECT_NE(Original, CrashSuspects::fingerprint("GET", "/a", "keybody", ""));
}

TEST(CrashSuspectsTest, IncarnationTellsARestartAndAnotherAddress) {
  const auto Original = CrashSuspects::incarnation("t1", 1, "10.0.0.1:80");
  EXPECT_NE(Original, CrashSuspects::incarnation("t2", 1, "10.0.0.1:80"));
  EXPECT_NE(Original, CrashSuspects::incarnation("t1", 2, "10.0.0.1:80"));
  EXPECT_NE(Original, CrashSuspects::incarnation("t1", 1, "10.0.0.2:80"));
}

TEST(CrashSuspectsTest, RequestIsQuarantinedAfterThreeCrashes) {
  CrashSuspects Table;
  EXPECT_EQ(Table.verdict(Deadly, Start), Verdict::Clear);
  EXPECT_TRUE(Table.accuse(Deadly, 1, Start));
  EXPECT_EQ(Table.verdict(Deadly, Start), Verdict::Suspected);
  EXPECT_TRUE(Table.accuse(Deadly, 2, Start + seconds(1)));
  EXPECT_EQ(Table.verdict(Deadly, Start + seconds(1)), Verdict::Suspected);
  EXPECT_TRUE(Table.accuse(Deadly, 3, Start + seconds(2)));
  EXPECT_EQ(Table.verdict(Deadly, Start + seconds(2)), Verdict::Quarantined);
  EXPECT_EQ(Table.quarantineRest(Deadly, Start + seconds(2)),
            CrashSuspects::QuarantinePeriod);
  EXPECT_EQ(Table.verdict(Innocent, Start + seconds(2)), Verdict::Clear);
}

TEST(CrashSuspectsTest, OneCrashCountsOnceForARequest) {
  CrashSuspects Table;
  EXPECT_TRUE(Table.accuse(Deadly, 1, Start));
  EXPECT_FALSE(Table.accuse(Deadly, 1, Start + seconds(1)));
  EXPECT_FALSE(Table.accuse(Deadly, 1, Start + seconds(2)));
  EXPECT_EQ(Table.crashes(Deadly, Start + seconds(2)), 1U);
}

// Guards against the refusal of requests that only ran beside the one that
// crashes targets.
TEST(CrashSuspectsTest, CompletionClearsEarlierCrashes) {
  CrashSuspects Table;
  Table.accuse(Innocent, 1, Start);
  Table.accuse(Innocent, 2, Start + seconds(1));
  EXPECT_TRUE(Table.completed(Innocent, Start + seconds(2)));
  EXPECT_EQ(Table.verdict(Innocent, Start + seconds(2)), Verdict::Clear);
  Table.accuse(Innocent, 3, Start + seconds(3));
  EXPECT_EQ(Table.verdict(Innocent, Start + seconds(3)), Verdict::Suspected);
  EXPECT_FALSE(Table.completed(Deadly, Start));
  EXPECT_EQ(Table.size(), 1U);
}

TEST(CrashSuspectsTest, QuarantineReturnsAfterOneFurtherCrash) {
  CrashSuspects Table = quarantined();
  const TimePoint End = Start + seconds(3) + CrashSuspects::QuarantinePeriod;
  EXPECT_EQ(Table.verdict(Deadly, End - milliseconds(1)), Verdict::Quarantined);
  EXPECT_EQ(Table.verdict(Deadly, End), Verdict::Suspected);
  Table.accuse(Deadly, 4, End + seconds(1));
  EXPECT_EQ(Table.verdict(Deadly, End + seconds(1)), Verdict::Quarantined);
}

TEST(CrashSuspectsTest, CrashesAreForgotten) {
  CrashSuspects Table;
  Table.accuse(Deadly, 1, Start);
  const TimePoint End = Start + CrashSuspects::RetentionPeriod;
  EXPECT_EQ(Table.verdict(Deadly, End - milliseconds(1)), Verdict::Suspected);
  EXPECT_EQ(Table.verdict(Deadly, End), Verdict::Clear);
  Table.expire(End);
  EXPECT_EQ(Table.size(), 0U);
}

TEST(CrashSuspectsTest, NoticesAreIdempotentAndIndependentOfTheirOrder) {
  CrashSuspects First;
  CrashSuspects Second;
  First.accuse(Deadly, 1, Start);
  First.accuse(Innocent, 1, Start);
  const SuspectNotice Early = First.takeChanges(Start);
  EXPECT_TRUE(First.takeChanges(Start).Suspects.empty());
  First.accuse(Deadly, 2, Start + seconds(1));
  First.completed(Innocent, Start + seconds(1));
  const SuspectNotice Late = First.takeChanges(Start + seconds(1));
  EXPECT_TRUE(Second.merge(Late, Start + seconds(1) + milliseconds(20)));
  EXPECT_FALSE(Second.merge(Late, Start + seconds(1) + milliseconds(40)));
  EXPECT_FALSE(Second.merge(Early, Start + milliseconds(1040)));
  EXPECT_EQ(Second.crashes(Deadly, Start + seconds(2)), 2U);
  EXPECT_EQ(Second.verdict(Innocent, Start + seconds(2)), Verdict::Clear);
  EXPECT_FALSE(
      First.merge(Second.takeChanges(Start + seconds(2)), Start + seconds(2)));
}

TEST(CrashSuspectsTest, CrashesKnownToDifferentInstancesAddUp) {
  CrashSuspects First;
  CrashSuspects Second;
  First.accuse(Deadly, 1, Start);
  First.accuse(Deadly, 2, Start);
  Second.accuse(Deadly, 2, Start);
  Second.accuse(Deadly, 3, Start);
  First.merge(Second.active(10, Start), Start + milliseconds(20));
  EXPECT_EQ(First.verdict(Deadly, Start + seconds(1)), Verdict::Quarantined);
}

TEST(CrashSuspectsTest, MostAccusedRequestsAreToldFirst) {
  CrashSuspects Table = quarantined();
  Table.accuse(Innocent, 1, Start + seconds(4));
  const SuspectNotice Notice = Table.active(1, Start + seconds(4));
  ASSERT_EQ(Notice.Suspects.size(), 1U);
  EXPECT_EQ(Notice.Suspects.front().Request, Deadly);
  EXPECT_EQ(Notice.Suspects.front().CrashAgesMs.at(1), 3000U);
}

TEST(CrashSuspectsTest, TableIsBoundedAndKeepsTheMostAccused) {
  CrashSuspects Table = quarantined();
  for (std::uint64_t Count = 0; Count < 3 * CrashSuspects::MaxSuspects; ++Count)
    Table.accuse(1000 + Count, Count, Start + minutes(1));
  EXPECT_LE(Table.size(), CrashSuspects::MaxSuspects);
  EXPECT_EQ(Table.verdict(Deadly, Start + minutes(1)), Verdict::Quarantined);
}

TEST(CrashSuspectsTest, CrashesKeptOfOneRequestAreBounded) {
  CrashSuspects Table;
  SuspectNotice::Suspect Told;
  Told.Request = Deadly;
  for (std::uint32_t Crash = 0; Crash < 1000; ++Crash)
    Told.CrashAgesMs[Crash] = 1000 * (Crash % 500);
  EXPECT_TRUE(Table.merge({{Told}}, Start));
  EXPECT_EQ(Table.crashes(Deadly, Start), CrashSuspects::MaxCrashes);
  EXPECT_EQ(Table.active(1, Start).Suspects.front().CrashAgesMs.size(),
            CrashSuspects::MaxCrashes);
}

// Guards against a request that stays suspected because its completion is told
// shortly after an earlier one.
TEST(CrashSuspectsTest, EachToldCompletionClearsTheCrashesBeforeIt) {
  CrashSuspects Table;
  Table.accuse(Innocent, 1, Start);
  Table.completed(Innocent, Start + milliseconds(10));
  Table.accuse(Innocent, 2, Start + milliseconds(100));
  SuspectNotice Told;
  Told.Suspects = {{Innocent, {}, 5}};
  EXPECT_TRUE(Table.merge(Told, Start + milliseconds(200)));
  EXPECT_EQ(Table.verdict(Innocent, Start + milliseconds(200)), Verdict::Clear);
  EXPECT_FALSE(Table.merge(Told, Start + milliseconds(200)));
}

TEST(CrashSuspectsTest, CompletionsThatASenderLacksAreNamed) {
  CrashSuspects Table;
  Table.accuse(Innocent, 1, Start);
  Table.completed(Innocent, Start + seconds(1));
  const TimePoint Now = Start + seconds(2);
  SuspectNotice Told;
  Told.Suspects = {{Innocent, {{1, 2000}}, std::nullopt}};
  const SuspectNotice Missing = Table.completionsMissingIn(Told, Now);
  ASSERT_EQ(Missing.Suspects.size(), 1U);
  EXPECT_EQ(Missing.Suspects[0].CompletedAgeMs, 1000U);
  // The sender knows the completion, or a crash after it.
  Told.Suspects[0].CompletedAgeMs = 1000;
  EXPECT_TRUE(Table.completionsMissingIn(Told, Now).Suspects.empty());
  Told.Suspects = {{Innocent, {{2, 500}}, std::nullopt}};
  EXPECT_TRUE(Table.completionsMissingIn(Told, Now).Suspects.empty());
}

// Guards against instances that disagree for minutes, and repeat the request in
// all their reports, because one took the crash for the later event.
TEST(CrashSuspectsTest, CrashThatIsClearedAtOneInstanceIsClearedAtAll) {
  CrashSuspects Table;
  Table.accuse(Innocent, 1, Start);
  Table.completed(Innocent, Start + milliseconds(5));
  CrashSuspects Late;
  Late.accuse(Innocent, 1, Start + milliseconds(30));
  const TimePoint Now = Start + seconds(1);
  const SuspectNotice Missing =
      Table.completionsMissingIn(Late.active(1, Now), Now);
  ASSERT_EQ(Missing.Suspects.size(), 1U);
  EXPECT_TRUE(Late.merge(Missing, Now + milliseconds(10)));
  EXPECT_EQ(Late.verdict(Innocent, Now + milliseconds(10)), Verdict::Clear);
}

TEST(CrashSuspectsTest, ObservationsAreReportedAndNoticesAreNot) {
  CrashSuspects Table;
  std::vector<CrashSuspects::Change> Changes;
  Table.setChangeHandler(
      [&](CrashSuspects::Change Kind) { Changes.push_back(Kind); });
  Table.completed(Innocent, Start);
  Table.accuse(Innocent, 1, Start);
  Table.accuse(Innocent, 1, Start);
  SuspectNotice Told;
  Told.Suspects = {{Deadly, {{1, 0}}, std::nullopt}};
  Table.merge(Told, Start);
  Table.completed(Innocent, Start + seconds(1));
  EXPECT_EQ(Changes, (std::vector{CrashSuspects::Change::Accused,
                                  CrashSuspects::Change::Completed}));
}
