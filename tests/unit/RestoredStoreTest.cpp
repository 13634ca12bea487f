#include "support/GatewayFixture.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

constexpr const char *Own = "buckthornring";

/// A target of the divided service that accepts all orders and records its
/// grants.
class Owner {
public:
  struct Grant {
    Clock::time_point At;
    std::uint64_t From;
    std::uint64_t To;
    std::uint64_t Fence;
  };

  Owner()
      : Target([this](ScriptedTarget::Tcp::socket &To,
                      const std::string &Request) {
          record(Request);
          return ScriptedTarget::send(
              To, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }) {}

  auto target() -> ScriptedTarget & { return Target; }
  auto grants() const -> std::vector<Grant> {
    const std::lock_guard Guard(Mutex);
    return Grants;
  }
  auto grantsAfter(Clock::time_point Start) const -> std::vector<Grant> {
    auto All = grants();
    std::erase_if(All, [&](const Grant &Each) { return Each.At < Start; });
    return All;
  }
  /// Longest time without a grant since \p Start.
  auto longestGap(Clock::time_point Start) const -> Clock::duration {
    Clock::duration Longest{0};
    Clock::time_point Last = Start;
    for (const Grant &Each : grantsAfter(Start)) {
      Longest = std::max(Longest, Each.At - Last);
      Last = Each.At;
    }
    return std::max(Longest, Clock::now() - Last);
  }

private:
  auto record(const std::string &Request) -> void {
    if (!Request.starts_with("POST /v1/grant"))
      return;
    const Json Body = Json::parse(Request.substr(Request.find("\r\n\r\n") + 4));
    const std::lock_guard Guard(Mutex);
    Grants.push_back({Clock::now(), Body.at("from").get<std::uint64_t>(),
                      Body.at("to").get<std::uint64_t>(),
                      Body.at("fence").get<std::uint64_t>()});
  }

  mutable std::mutex Mutex;
  std::vector<Grant> Grants;
  ScriptedTarget Target;
};

class RestoredStoreTest : public testing::Test {
protected:
  auto leader() -> Json {
    return Fixture.store().value(Own, "leader").value_or(Json::object());
  }
  auto ranges() -> Json {
    return Fixture.store().value(Own, "ranges.stock").value_or(Json::object());
  }
  static auto setLeader(StoreContents::Copy &Copy, const std::string &Instance)
      -> void {
    StoredObject &Object = Copy.Objects[{Own, "leader"}];
    Object.Name = "leader";
    Object.Revision = std::max<std::uint64_t>(Object.Revision, 1);
    Object.Value = {{"instance", Instance},
                    {"process", Instance + "-1"},
                    {"address", "127.0.0.1:1"}};
  }
  /// Restores the store after it was away for a moment, as the copies that
  /// targets and operators write again are in it already.
  auto restore(StoreContents::Copy Copy) -> void {
    Fixture.store().setDown(true);
    std::this_thread::sleep_for(500ms);
    Fixture.store().restore(std::move(Copy));
    RestoredAt = Clock::now();
    Fixture.store().setDown(false);
  }
  /// Both owners have grants, and the store has the records of both.
  auto startWithTwoOwners() -> bool {
    Fixture.addTarget("stock", "o1", First.target());
    Fixture.configure(1);
    if (!eventually([&] { return !First.grants().empty(); }))
      return false;
    Early = Fixture.store().copy();
    Fixture.addTarget("stock", "o2", Second.target());
    return eventually([&] { return !Second.grants().empty(); });
  }
  /// The early copy with the targets that have registered again since.
  auto earlyCopyWithTargets() -> StoreContents::Copy {
    StoreContents::Copy Copy = Early;
    const auto Latest = Fixture.store().copy();
    for (const auto &[Key, Object] : Latest.Objects)
      if (Key.first == "servers") {
        Copy.Objects[Key] = Object;
        Copy.Objects[Key].Revision = Copy.Revision;
      }
    return Copy;
  }

  Owner First;
  Owner Second;
  GatewayFixture Fixture;
  StoreContents::Copy Early;
  Clock::time_point RestoredAt;
};

// Guards against a leader that continues from the copy's key ranges: it granted
// keys to earlier owners, or left them without a grant.
TEST_F(RestoredStoreTest, LeaderKeepsItsRangesAndRenewsThemThroughout) {
  ASSERT_TRUE(startWithTwoOwners());
  const Json Before = ranges();
  restore(earlyCopyWithTargets());
  EXPECT_TRUE(eventually([&] {
    return leader().value("era", 0) == 1 && ranges().value("era", 0) == 1;
  }));
  EXPECT_EQ(leader().value("instance", ""), "i1");
  std::map<std::string, int> Owners;
  for (const Json &Range : ranges().value("ranges", Json::array()))
    ++Owners[Range.at("owner").get<std::string>()];
  EXPECT_EQ(Owners["o1"] > 0, true);
  EXPECT_EQ(Owners["o2"] > 0, true) << ranges() << " before: " << Before;
  std::this_thread::sleep_for(4s);
  // A grant lasts 3 s.
  EXPECT_LT(First.longestGap(RestoredAt), 2500ms);
  EXPECT_LT(Second.longestGap(RestoredAt), 2500ms);
}

// Guards against fencing tokens of the copy: the new owner of a key had a lower
// one than the previous owner.
TEST_F(RestoredStoreTest, TokensOfMovesAfterwardsAreAboveAllEarlierOnes) {
  ASSERT_TRUE(startWithTwoOwners());
  restore(earlyCopyWithTargets());
  ASSERT_TRUE(eventually([&] { return ranges().value("era", 0) == 1; }));
  std::uint64_t Highest = 0;
  for (const Owner *Each : {&First, &Second})
    for (const auto &Grant : Each->grants())
      Highest = std::max(Highest, Grant.Fence);
  Owner Third;
  Fixture.addTarget("stock", "o3", Third.target());
  ASSERT_TRUE(eventually([&] { return !Third.grants().empty(); }));
  for (const auto &Grant : Third.grants())
    EXPECT_GT(Grant.Fence, std::max(Highest, std::uint64_t{1} << 32));
}

// Guards against following the leader that the copy names.
TEST_F(RestoredStoreTest, LeaderNamedByTheCopyIsNotFollowed) {
  ASSERT_TRUE(startWithTwoOwners());
  auto Copy = earlyCopyWithTargets();
  setLeader(Copy, "other");
  restore(std::move(Copy));
  EXPECT_TRUE(eventually([&] { return leader().value("era", 0) == 1; }));
  EXPECT_EQ(leader().value("instance", ""), "i1");
  std::this_thread::sleep_for(3s);
  EXPECT_LT(First.longestGap(RestoredAt), 2500ms);
}

// Guards against claims that are conditional on a revision which the restored
// store does not have: nobody could lead any more.
TEST_F(RestoredStoreTest, LeaderIsRecordedAgainWhenTheCopyHasNone) {
  ASSERT_TRUE(startWithTwoOwners());
  auto Copy = earlyCopyWithTargets();
  Copy.Objects.erase({Own, "leader"});
  Copy.Objects.erase({Own, "ranges.stock"});
  Copy.Objects.erase({Own, "fleet"});
  restore(std::move(Copy));
  EXPECT_TRUE(eventually([&] {
    return leader().value("era", 0) == 1 && ranges().value("era", 0) == 1;
  }));
  EXPECT_TRUE(eventually(
      [&] { return Fixture.store().value(Own, "fleet").has_value(); }));
  std::this_thread::sleep_for(2s);
  EXPECT_LT(First.longestGap(RestoredAt), 2500ms);
  EXPECT_LT(Second.longestGap(RestoredAt), 2500ms);
}

// Guards against a leader that waits until all targets have registered, as if
// no keys had an owner yet: grants ended that it knew of.
TEST_F(RestoredStoreTest, GrantsGoOnWhileTargetsRegisterAndTheCopyHasNoRanges) {
  ASSERT_TRUE(startWithTwoOwners());
  auto Copy = earlyCopyWithTargets();
  Copy.Objects.erase({Own, "ranges.stock"});
  Owner Others;
  restore(std::move(Copy));
  for (int Index = 3; Index < 15; ++Index) {
    std::this_thread::sleep_for(350ms);
    Fixture.addTarget("stock", "o" + std::to_string(Index), Others.target());
  }
  EXPECT_LT(First.longestGap(RestoredAt), 2500ms);
  EXPECT_LT(Second.longestGap(RestoredAt), 2500ms);
}

// Guards against a second restoration that finds the leader's state changed by
// the first.
TEST_F(RestoredStoreTest, LeaderKeepsItsRangesThroughTwoRestorations) {
  ASSERT_TRUE(startWithTwoOwners());
  restore(earlyCopyWithTargets());
  const auto Start = RestoredAt;
  std::this_thread::sleep_for(300ms);
  restore(earlyCopyWithTargets());
  EXPECT_TRUE(eventually([&] {
    return leader().value("era", 0) == 2 && ranges().value("era", 0) == 2;
  }));
  std::this_thread::sleep_for(3s);
  EXPECT_LT(First.longestGap(Start), 2500ms);
  EXPECT_LT(Second.longestGap(Start), 2500ms);
}

// Guards against a write of an earlier era that meets its condition by a
// coincidence of revisions.
TEST_F(RestoredStoreTest, LateClaimOfAnEarlierEraIsReplaced) {
  ASSERT_TRUE(startWithTwoOwners());
  restore(earlyCopyWithTargets());
  ASSERT_TRUE(eventually([&] { return leader().value("era", 0) == 1; }));
  Fixture.store().set(Own, "leader",
                      {{"instance", "other"},
                       {"process", "other-1"},
                       {"address", "127.0.0.1:1"},
                       {"era", 0}});
  Fixture.store().set(Own, "ranges.stock",
                      Early.Objects[{Own, "ranges.stock"}].Value);
  EXPECT_TRUE(eventually([&] {
    return leader().value("instance", "") == "i1" &&
           ranges().value("era", 0) == 1;
  }));
  std::this_thread::sleep_for(3s);
  EXPECT_LT(First.longestGap(RestoredAt), 2500ms);
  EXPECT_LT(Second.longestGap(RestoredAt), 2500ms);
}

// Guards against a claim that takes the leadership from a leader that is about
// to claim again.
TEST_F(RestoredStoreTest, OthersGiveTheLeaderTimeAndThenClaim) {
  setLeader(Early, "other");
  Early.Revision = 2;
  Fixture.store().set(Own, "leader", Early.Objects[{Own, "leader"}].Value);
  std::this_thread::sleep_for(300ms);
  Fixture.store().restore(Early);
  const auto Start = Clock::now();
  ASSERT_TRUE(
      eventually([&] { return leader().value("instance", "") == "i1"; }));
  EXPECT_GE(Clock::now() - Start, 2500ms);
  EXPECT_EQ(leader().value("era", 0), 1);
}

// Guards against requests that are sent to the owners in the copy until the
// leader has written the ranges again.
TEST_F(RestoredStoreTest, RequestsGoToTheLastKnownOwnersNotToThoseOfTheCopy) {
  ScriptedTarget Earlier(GatewayFixture::answering("from the earlier owner"));
  ScriptedTarget Last(GatewayFixture::answering("from the last owner"));
  setLeader(Early, "other");
  Fixture.store().set(Own, "leader", Early.Objects[{Own, "leader"}].Value);
  Fixture.addTarget("stock", "o1", Earlier);
  Fixture.addTarget("stock", "o2", Last);
  Fixture.configure(1);
  const auto Record = [](const char *Owner, int Fence) {
    return Json{{"next_fence", Fence + 1},
                {"ranges", Json::array({{{"from", 0},
                                         {"to", 65'535},
                                         {"owner", Owner},
                                         {"owner_started_at", 1000},
                                         {"fence", Fence}}})}};
  };
  const auto Answered = [this](const char *Body) {
    return eventually([&] {
      return Fixture.exchange("GET", "/owned/1", "Shard-Key: 7\r\n").has(Body);
    });
  };
  Fixture.store().set(Own, "ranges.stock", Record("o1", 1));
  ASSERT_TRUE(Answered("from the earlier owner"));
  const auto Copy = Fixture.store().copy();
  Fixture.store().set(Own, "ranges.stock", Record("o2", 2));
  ASSERT_TRUE(Answered("from the last owner"));
  Fixture.store().restore(Copy);
  const auto Start = Clock::now();
  while (Clock::now() - Start < 1s)
    ASSERT_TRUE(Fixture.exchange("GET", "/owned/1", "Shard-Key: 7\r\n")
                    .has("from the last owner"));
}

// Guards against grants by a leader that does not know the last owners.
TEST_F(RestoredStoreTest, NewLeaderGrantsNothingBeforeEarlierGrantsHaveEnded) {
  Fixture.addTarget("stock", "o1", First.target());
  Fixture.configure(1);
  setLeader(Early, "other");
  Early = [&, Leader = Early.Objects[{Own, "leader"}]] {
    auto Copy = Fixture.store().copy();
    Copy.Objects[{Own, "leader"}] = Leader;
    return Copy;
  }();
  Fixture.store().restore(Early);
  const auto Start = Clock::now();
  ASSERT_TRUE(
      eventually([&] { return leader().value("instance", "") == "i1"; }));
  EXPECT_TRUE(First.grants().empty());
  const auto Claimed = Clock::now();
  while (First.grants().empty() && Clock::now() - Start < 25s)
    std::this_thread::sleep_for(50ms);
  ASSERT_FALSE(First.grants().empty());
  EXPECT_GE(First.grants().front().At - Claimed, 12'900ms);
  EXPECT_GT(First.grants().front().Fence, std::uint64_t{1} << 32);
}

// Guards against first grants by a process that has started after a restoration
// which lost all key ranges, while their owners still hold them.
TEST(RestoredBeforeTheStartTest, NothingIsGrantedBeforeEarlierGrantsHaveEnded) {
  Owner Only;
  GatewayFixture Fixture(1);
  Fixture.addTarget("stock", "o1", Only.target());
  Fixture.configure(1);
  const auto Start = Clock::now();
  std::this_thread::sleep_for(13s);
  EXPECT_TRUE(Only.grants().empty());
  EXPECT_TRUE(Fixture.store().value(Own, "leader"));
  EXPECT_TRUE(eventually([&] { return !Only.grants().empty(); }));
  EXPECT_LT(Clock::now() - Start, 18s);
}

// Guards against fencing tokens that are given out twice in an era, when a late
// write of an earlier one has replaced records that were never read.
TEST(RestoredBeforeTheStartTest, TokensAreAboveThoseOfReplacedRecords) {
  constexpr std::uint64_t Next = (std::uint64_t{1} << 32) + 500;
  Owner Only;
  GatewayFixture Fixture(1);
  const auto Record = [](std::uint64_t Era, std::uint64_t NextFence) {
    return Json{{"era", Era},
                {"next_fence", NextFence},
                {"ranges", Json::array({{{"from", 0},
                                         {"to", 65'535},
                                         {"owner", "o1"},
                                         {"owner_started_at", 1000},
                                         {"fence", NextFence - 1}}})}};
  };
  Fixture.store().set(Own, "leader",
                      {{"instance", "other"},
                       {"process", "other-1"},
                       {"address", "127.0.0.1:1"},
                       {"era", 1}});
  Fixture.store().set(Own, "ranges.stock", Record(1, Next));
  Fixture.addTarget("stock", "o1", Only.target());
  Fixture.configure(1);
  std::this_thread::sleep_for(400ms);
  Fixture.store().set(Own, "ranges.stock", Record(0, 3));
  const auto Start = Clock::now();
  std::this_thread::sleep_for(12s);
  EXPECT_TRUE(Only.grants().empty());
  while (Only.grants().empty() && Clock::now() - Start < 25s)
    std::this_thread::sleep_for(50ms);
  ASSERT_FALSE(Only.grants().empty());
  EXPECT_GE(Only.grants().front().Fence, Next + (1 << 20));
}

} // namespace
