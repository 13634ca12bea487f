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

// Guards against a lost answer that is reported as a failure, or that leads to
// a second write.
TEST_F(ConfigUpdateTest, LostAnswerIsFoundByReading) {
  Update.onWriteLost();
  ASSERT_EQ(Update.step(), ConfigUpdateStep::Read);
  Update.onRead(&Mine, 11);
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Applied);
}

// Guards against the loss of an own update that another one followed before
// the read.
TEST_F(ConfigUpdateTest, OwnUpdateIsFoundBelowALaterOne) {
  Update.onWriteLost();
  const auto Later = follow(Mine, "later");
  Update.onRead(&Later, 12);
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Applied);
  EXPECT_EQ(Update.seenGeneration(), 3U);
}

// Guards against the winner's equal generation being taken for the own one.
TEST_F(ConfigUpdateTest, LoserNamesTheWinner) {
  Update.onConflict();
  Update.onRead(&Other, 11);
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Refused);
  EXPECT_EQ(Update.winner(), 2U);
}

// Guards against a repeated write that meets its own first one and is reported
// as refused.
TEST_F(ConfigUpdateTest, ConflictWithTheOwnWriteIsSuccess) {
  Update.onWriteLost();
  Update.onRead(&Base, 10);
  ASSERT_EQ(Update.step(), ConfigUpdateStep::Write);
  Update.onConflict();
  Update.onRead(&Mine, 11);
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Applied);
}

// Guards against "not applied" after a write that may still arrive.
TEST_F(ConfigUpdateTest, GivesUpAsUnknownAfterALostWrite) {
  Update.onWriteLost();
  for (unsigned I = 1; I < ConfigUpdate::MaxLost; ++I)
    Update.onReadLost();
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Unknown);
}

// Guards against "unknown" when nothing was ever sent.
TEST_F(ConfigUpdateTest, GivesUpAsUnchangedWhenNothingWasSent) {
  for (unsigned I = 0; I < ConfigUpdate::MaxLost; ++I)
    Update.onWriteUnsent();
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Unchanged);
}

// Guards against an endless loop with a platform that contradicts itself.
TEST_F(ConfigUpdateTest, RepeatsAreBounded) {
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
TEST_F(ConfigUpdateTest, LoserOfAnotherGenerationNamesTheWinner) {
  const auto Raised =
      ConfigRecord::next(&Base, content(), "raised", 50).value();
  ConfigUpdate First(Raised, 10);
  First.onWriteLost();
  First.onRead(&Other, 11);
  EXPECT_EQ(First.outcome(), ConfigUpdateOutcome::Refused);
  EXPECT_EQ(First.winner(), 2U);
  Update.onWriteLost();
  Update.onRead(&Raised, 11);
  EXPECT_EQ(Update.outcome(), ConfigUpdateOutcome::Refused);
  EXPECT_EQ(Update.winner(), 50U);
}

// Guards against guessing when the history no longer reaches back.
TEST_F(ConfigUpdateTest, ForgottenGenerationIsUnknown) {
  Update.onWriteLost();
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
