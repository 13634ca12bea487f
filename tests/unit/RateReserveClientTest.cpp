#include "Gateway/RateReserveClient.h"

#include <gtest/gtest.h>

#include <optional>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

const WorkspaceId Small("small");

/// An instance whose part of a rate is left to the reserve as a whole.
class RateQuestionsTest : public testing::Test {
protected:
  RateQuestionsTest() {
    Configuration Config;
    Config.Workspaces[Small] = {10, 10, 1, 64, {}, {}};
    Rates.configure(Config, TimePoint(0us));
    Rates.setParts({}, 0, 60, TimePoint(0us));
  }

  auto ask() -> std::shared_ptr<std::optional<bool>> {
    auto Answer = std::make_shared<std::optional<bool>>();
    Questions.ask(Small, [Answer](bool Granted) { *Answer = Granted; });
    return Answer;
  }

  boost::asio::io_context Io;
  RateShares Rates{RateTolerance()};
  bool Leading = true;
  std::vector<RateQuestion> Sent;
  RateQuestions Questions{Io, Rates, [this](const RateQuestion &Question) {
                            if (Leading)
                              Sent.push_back(Question);
                            return Leading;
                          }};
};

TEST_F(RateQuestionsTest, AnswerEndsTheQuestion) {
  const auto Answer = ask();
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_FALSE(Answer->has_value());
  Questions.gotAnswer({Small, 1, Sent[0].Number});
  EXPECT_EQ(*Answer, true);
}

TEST_F(RateQuestionsTest, WithoutALeaderNothingIsGranted) {
  Leading = false;
  EXPECT_EQ(*ask(), false);
}

// What the reserve had granted used to be lost with an answer that was late:
// most of the rate, when the leader was busy.
TEST_F(RateQuestionsTest, LateAnswerIsUsedOnceForTheNextRequest) {
  const auto Answer = ask();
  Io.run_for(150ms);
  EXPECT_EQ(*Answer, false);
  Questions.gotAnswer({Small, 1, Sent[0].Number});
  EXPECT_TRUE(Rates.spend(Small));
  Questions.gotAnswer({Small, 1, Sent[0].Number});
  EXPECT_FALSE(Rates.spend(Small));
}

TEST_F(RateQuestionsTest, RequestsThatWaitAskOneAfterAnother) {
  const auto First = ask();
  const auto Second = ask();
  ASSERT_EQ(Sent.size(), 1U);
  Questions.gotAnswer({Small, 1, Sent[0].Number});
  EXPECT_EQ(*First, true);
  ASSERT_EQ(Sent.size(), 2U);
  Questions.gotAnswer({Small, 0, Sent[1].Number});
  EXPECT_EQ(*Second, false);
}

} // namespace
