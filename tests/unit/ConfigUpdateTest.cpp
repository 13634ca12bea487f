#include "buckthornring/Config/ConfigUpdate.h"
#include "buckthornring/Config/SettingsReader.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

auto content() -> SettingsDocument {
  return SettingsReader::read("{}", "c.json").Value.value();
}

class ConfigUpdateTest : public testing::Test {
protected:
  auto follow(const ConfigRecord &Previous, const char *Id) -> ConfigRecord {
    return ConfigRecord::next(&Previous, content(), Id).value();
  }

  ConfigRecord Base = ConfigRecord::next(nullptr, content(), "base").value();
  ConfigRecord Mine = follow(Base, "mine");
  ConfigRecord Other = follow(Base, "other");
  ConfigUpdate Update{Mine, 10};
};

// Guards against a confirmed write that is not reported as applied.
TEST_F(ConfigUpdateTest, ConfirmedWriteIsApplied) {
  EXPECT_EQ(Update.step(), ConfigUpdateStep::Write);
  Update.onWritten();
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Applied);
}

// Guards against a lost response that is reported as a failure, or that leads
// to a second write.
TEST_F(ConfigUpdateTest, LostResponseIsResolvedByReading) {
  Update.onWriteUnanswered();
  ASSERT_EQ(Update.step(), ConfigUpdateStep::Read);
  Update.onRead(&Mine, 11);
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Applied);
}

// Guards against an applied update that is reported as refused because another
// update followed it before the read.
TEST_F(ConfigUpdateTest, OwnUpdateIsFoundInTheHistory) {
  Update.onWriteUnanswered();
  const auto Later = follow(Mine, "later");
  Update.onRead(&Later, 12);
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Applied);
  EXPECT_EQ(Update.highestSeenGeneration(), 3U);
}

// Guards against a competing update of the same generation being mistaken for
// this one.
TEST_F(ConfigUpdateTest, RefusedUpdateReportsTheWinningGeneration) {
  Update.onConflict();
  Update.onRead(&Other, 11);
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Refused);
  EXPECT_EQ(Update.winnerGeneration(), 2U);
}

// Guards against a repeated write that is reported as refused because its first
// write took effect.
TEST_F(ConfigUpdateTest, ConflictWithOwnEarlierWriteIsApplied) {
  Update.onWriteUnanswered();
  Update.onRead(&Base, 10);
  ASSERT_EQ(Update.step(), ConfigUpdateStep::Write);
  Update.onConflict();
  Update.onRead(&Mine, 11);
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Applied);
}

// Guards against the outcome "unchanged" after a write that may still arrive.
TEST_F(ConfigUpdateTest, GivesUpAsUnknownAfterALostWrite) {
  Update.onWriteUnanswered();
  for (unsigned I = 1; I < ConfigUpdate::MaxAttempts; ++I)
    Update.onReadUnanswered();
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Unknown);
}

// Guards against "unknown" when nothing was ever sent.
TEST_F(ConfigUpdateTest, GivesUpAsUnchangedWhenNothingWasSent) {
  for (unsigned I = 0; I < ConfigUpdate::MaxAttempts; ++I)
    Update.onWriteUnsent();
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Unchanged);
}

// Guards against an endless loop with a platform that contradicts itself.
TEST_F(ConfigUpdateTest, RetriesAreBounded) {
  unsigned Writes = 0;
  while (Update.step() != ConfigUpdateStep::Done) {
    ASSERT_LT(++Writes, 100U);
    Update.onConflict();
    Update.onRead(&Base, 10);
  }
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Unchanged);
}

// Guards against a lost race being reported as unknown when the two updates
// made different generations.
TEST_F(ConfigUpdateTest,
       RefusedUpdateOfAnotherGenerationReportsTheWinningGeneration) {
  const auto Raised =
      ConfigRecord::next(&Base, content(), "raised", 50).value();
  ConfigUpdate First(Raised, 10);
  First.onWriteUnanswered();
  First.onRead(&Other, 11);
  EXPECT_EQ(First.outcome(), ConfigUpdateOutcome::Refused);
  EXPECT_EQ(First.winnerGeneration(), 2U);
  Update.onWriteUnanswered();
  Update.onRead(&Raised, 11);
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Refused);
  EXPECT_EQ(Update.winnerGeneration(), 50U);
}

// Guards against a definite outcome when the history no longer covers the
// update's generation.
TEST_F(ConfigUpdateTest, OutcomeIsUnknownWhenTheHistoryIsTooShort) {
  Update.onWriteUnanswered();
  auto Far = Other;
  for (std::size_t I = 0; I <= ConfigRecord::HistoryLimit; ++I)
    Far = follow(Far, "x");
  Update.onRead(&Far, 99);
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Unknown);
}

// Guards against a value that is too large being retried.
TEST_F(ConfigUpdateTest, RejectionIsFinal) {
  Update.onRejected("too large");
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Rejected);
  EXPECT_EQ(Update.reason(), "too large");
}

} // namespace
