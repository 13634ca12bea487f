#include "Gateway/RateReserveClient.h"

#include <gtest/gtest.h>

#include <optional>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

const WorkspaceId Small("small");

/// An instance without a part of the workspace's rate: every request needs the
/// leader's reserve.
class RateReserveClientTest : public testing::Test {
protected:
  RateReserveClientTest() {
    Configuration Config;
    Config.Workspaces[Small] = {10, 10, 1, 64, {}, {}};
    Rates.configure(Config, TimePoint(0us));
    Rates.setShares({}, 0, 60, TimePoint(0us));
  }

  auto ask() -> std::shared_ptr<std::optional<bool>> {
    auto Answer = std::make_shared<std::optional<bool>>();
    Client.ask(Small, [Answer](bool Granted) { *Answer = Granted; });
    return Answer;
  }

  boost::asio::io_context Io;
  RateShares Rates{RateTolerance()};
  bool Leading = true;
  std::vector<RateReserveRequest> Sent;
  RateReserveClient Client{Io, Rates,
                           [this](const RateReserveRequest &Request) {
                             if (Leading)
                               Sent.push_back(Request);
                             return Leading;
                           }};
};

TEST_F(RateReserveClientTest, ReplyCompletesTheRequest) {
  const auto Answer = ask();
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_FALSE(Answer->has_value());
  Client.onRateReply({Small, 1, Sent[0].Number});
  EXPECT_EQ(*Answer, true);
}

TEST_F(RateReserveClientTest, WithoutALeaderNothingIsGranted) {
  Leading = false;
  EXPECT_EQ(*ask(), false);
}

// Guards against losing the tokens of a late reply. With a busy leader, that
// was most of the rate.
TEST_F(RateReserveClientTest, LateReplyIsUsedOnceForTheNextRequest) {
  const auto Answer = ask();
  Io.run_for(150ms);
  EXPECT_EQ(*Answer, false);
  Client.onRateReply({Small, 1, Sent[0].Number});
  EXPECT_TRUE(Rates.spend(Small));
  Client.onRateReply({Small, 1, Sent[0].Number});
  EXPECT_FALSE(Rates.spend(Small));
}

// Pattern: hot workspace at an instance that is short of processor time. One
// token a round trip would hold back most of its requests.
TEST_F(RateReserveClientTest, WaitingRequestsAreAskedForTogether) {
  const auto First = ask();
  std::vector<std::shared_ptr<std::optional<bool>>> Others;
  Others.reserve(5);
  for (int Count = 0; Count < 5; ++Count)
    Others.push_back(ask());
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(Sent[0].Wanted, 1U);
  Client.onRateReply({Small, 1, Sent[0].Number});
  EXPECT_EQ(*First, true);
  ASSERT_EQ(Sent.size(), 2U);
  EXPECT_EQ(Sent[1].Wanted, 5U);
  Client.onRateReply({Small, 5, Sent[1].Number});
  for (const auto &Answer : Others)
    EXPECT_EQ(*Answer, true);
}

TEST_F(RateReserveClientTest, WaitingRequestsAskTheReserveOneAtATime) {
  const auto First = ask();
  const auto Second = ask();
  ASSERT_EQ(Sent.size(), 1U);
  Client.onRateReply({Small, 1, Sent[0].Number});
  EXPECT_EQ(*First, true);
  ASSERT_EQ(Sent.size(), 2U);
  Client.onRateReply({Small, 0, Sent[1].Number});
  EXPECT_EQ(*Second, false);
}

} // namespace
