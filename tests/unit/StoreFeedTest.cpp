#include "Gateway/StoreFeed.h"

#include "Fleet/StoreRevision.h"
#include "IO/BootClock.h"

#include <gtest/gtest.h>

#include <deque>
#include <thread>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

/// Store whose calls are answered one by one by the test.
class ManualStore final : public ObjectStore {
public:
  struct Call {
    bool Watch;
    std::uint64_t Revision;
    ChangesHandler Done;
  };

  auto list(const std::string &, ChangesHandler Done) -> ReadPtr override {
    Calls.push_back({false, 0, std::move(Done)});
    return nullptr;
  }
  auto watch(const std::string &, std::uint64_t Revision, Duration,
             ChangesHandler Done) -> ReadPtr override {
    Calls.push_back({true, Revision, std::move(Done)});
    return nullptr;
  }
  auto write(const std::string &, const std::string &, std::uint64_t,
             nlohmann::json, WriteHandler) -> void override {}
  auto writeStatus(const std::string &, const std::string &, std::uint64_t,
                   nlohmann::json, WriteHandler) -> void override {}

  auto answer(StoreChanges Changes) -> void {
    const Call Next = std::move(Calls.front());
    Calls.pop_front();
    Next.Done(std::move(Changes));
  }

  std::deque<Call> Calls;
};

class StoreFeedTest : public testing::Test {
protected:
  StoreFeedTest()
      : Feed(Io, Store, {"servers", 1s, 1, 1200ms},
             {[this](const auto &Objects) { SnapshotSize = Objects.size(); },
              [this](const StoredObject &Object) {
                Changed.push_back(Object.Name);
              },
              [](bool, const char *) {}}) {
    Feed.start();
  }

  static auto done(std::vector<StoredObject> Objects, std::uint64_t Revision)
      -> StoreChanges {
    return {StoreStatus::Done, std::move(Objects), Revision};
  }
  static auto object(const char *Name, std::uint64_t Revision,
                     bool Deleted = false) -> StoredObject {
    return {Name, Revision, Deleted, {}};
  }
  /// Runs until the feed has made a call.
  auto waitForCall() -> void {
    while (Store.Calls.empty()) {
      Io.restart();
      Io.run_one();
    }
  }

  boost::asio::io_context Io;
  ManualStore Store;
  StoreFeed Feed;
  std::size_t SnapshotSize = 0;
  std::vector<std::string> Changed;
};

TEST_F(StoreFeedTest, ContinuesFromTheRevisionOfEachAnswer) {
  Store.answer(done({object("a", 3)}, 10));
  EXPECT_EQ(SnapshotSize, 1U);
  waitForCall();
  EXPECT_TRUE(Store.Calls.front().Watch);
  EXPECT_EQ(Store.Calls.front().Revision, 10U);
  Store.answer(done({object("b", 12)}, 13));
  waitForCall();
  EXPECT_EQ(Store.Calls.front().Revision, 13U);
  EXPECT_EQ(Changed, std::vector<std::string>{"b"});
}

TEST_F(StoreFeedTest, ReadsAllObjectsWhenTheHistoryIsLost) {
  Store.answer(done({object("a", 3), object("b", 4)}, 10));
  waitForCall();
  Store.answer({StoreStatus::HistoryLost, {}, 0});
  waitForCall();
  EXPECT_FALSE(Store.Calls.front().Watch);
  Store.answer(done({object("a", 3)}, 20));
  EXPECT_EQ(SnapshotSize, 1U);
}

TEST_F(StoreFeedTest, OlderStateIsNotApplied) {
  Store.answer(done({object("a", 15)}, 20));
  Feed.applyPeerSnapshot({object("a", 5), object("b", 6)}, 18);
  EXPECT_EQ(Feed.objects().size(), 1U);
  waitForCall();
  Store.answer(done({object("a", 9)}, 21));
  EXPECT_EQ(Feed.objects().at("a").Revision, 15U);
  Feed.applyPeerSnapshot({object("a", 15), object("b", 22)}, 25);
  EXPECT_EQ(Feed.objects().size(), 2U);
}

TEST_F(StoreFeedTest, RefusedCallsAreRetriedWithGrowingBackoff) {
  std::vector<Duration> Pauses;
  for (int Count = 0; Count < 4; ++Count) {
    waitForCall();
    const TimePoint Refused = bootNow();
    Store.answer({StoreStatus::Refused, {}, 0});
    waitForCall();
    Pauses.push_back(bootNow() - Refused);
  }
  EXPECT_GE(Pauses.front(), 100ms);
  EXPECT_GE(Pauses.back(), 600ms);
}

TEST_F(StoreFeedTest, BackoffStaysWithinItsLimit) {
  ManualStore Other;
  StoreFeed Quick(Io, Other, {"servers", 1s, 1, 200ms},
                  {[](const auto &) {}, [](const StoredObject &) {},
                   [](bool, const char *) {}});
  Quick.start();
  for (int Count = 0; Count < 5; ++Count) {
    const TimePoint Refused = bootNow();
    Other.answer({StoreStatus::Refused, {}, 0});
    while (Other.Calls.empty()) {
      Io.restart();
      Io.run_one();
    }
    EXPECT_LE(bootNow() - Refused, 400ms);
  }
}

// Guards against each feed waiting for the end of its own back-off. An instance
// that was cut off then read the target records up to 0.8 s after its first
// contact and kept records of targets that had left for too long.
TEST_F(StoreFeedTest, RetriesAtOnceWhenAnotherFeedReachedTheStore) {
  for (int Count = 0; Count < 4; ++Count) {
    waitForCall();
    Store.answer({StoreStatus::Unreachable, {}, 0});
  }
  Feed.retry();
  EXPECT_EQ(Store.Calls.size(), 1U);
  // A call that has just been sent is not repeated; one that hangs is.
  Feed.retry();
  EXPECT_EQ(Store.Calls.size(), 1U);
  std::this_thread::sleep_for(150ms);
  Feed.retry();
  ASSERT_EQ(Store.Calls.size(), 2U);
  // The answer to the earlier call is ignored.
  Store.answer({StoreStatus::Unreachable, {}, 0});
  Store.answer(done({object("a", 3)}, 10));
  EXPECT_EQ(SnapshotSize, 1U);
  EXPECT_TRUE(Feed.connected());
  Feed.retry();
  waitForCall();
  EXPECT_TRUE(Store.Calls.front().Watch);
}

// Guards against giving up a watch on a dead connection only after its whole
// wait (soak seed 1: targets that had left were used for 4 s).
TEST_F(StoreFeedTest, SilentWatchIsReplacedByARead) {
  Store.answer(done({object("a", 3), object("b", 4)}, 10));
  waitForCall();
  ASSERT_TRUE(Store.Calls.front().Watch);
  // A watch that has just been sent is kept.
  Feed.recheck();
  EXPECT_EQ(Store.Calls.size(), 1U);
  std::this_thread::sleep_for(150ms);
  Feed.recheck();
  ASSERT_EQ(Store.Calls.size(), 2U);
  EXPECT_FALSE(Store.Calls.back().Watch);
  // A late answer to the silent watch is ignored, whatever it contains.
  Store.answer(done({object("a", 11, true)}, 11));
  EXPECT_EQ(Feed.revision(), 10U);
  Store.answer(done({object("a", 3)}, 12));
  EXPECT_EQ(Feed.objects().size(), 1U);
  EXPECT_TRUE(Feed.connected());
}

// A record that is missing after an interrupted watch was removed; it did not
// expire in an outage.
TEST_F(StoreFeedTest, InterruptedWatchDoesNotCountAsOutage) {
  Store.answer(done({object("a", 3)}, 10));
  waitForCall();
  Store.answer({StoreStatus::Unreachable, {}, 0});
  waitForCall();
  EXPECT_FALSE(Store.Calls.front().Watch);
  Store.answer(done({}, 12));
  EXPECT_EQ(Feed.outageEndedAt(), LongAgo);
}

// Guards against ending an outage only with the next change. The watch after
// the outage is answered by that change only, and a record that it removed then
// counted as expired in the outage.
TEST_F(StoreFeedTest, OutageEndsWithTheFirstAnswerNotWithTheNextChange) {
  Store.answer(done({object("a", 3)}, 10));
  waitForCall();
  Store.answer({StoreStatus::Unreachable, {}, 0});
  const TimePoint Until = bootNow() + 700ms;
  while (bootNow() < Until) {
    waitForCall();
    Store.answer({StoreStatus::Unreachable, {}, 0});
  }
  waitForCall();
  EXPECT_FALSE(Store.Calls.front().Watch);
  Store.answer(done({object("a", 3)}, 10));
  const TimePoint Ended = Feed.outageEndedAt();
  EXPECT_NE(Ended, LongAgo);
  waitForCall();
  std::this_thread::sleep_for(100ms);
  Store.answer(done({object("a", 11, true)}, 11));
  EXPECT_EQ(Feed.outageEndedAt(), Ended);
}

// Guards against dropping records that are missing from a copy from which the
// store was restored, although the interruption was too short for an outage.
TEST_F(StoreFeedTest, RestorationFromACopyCountsAsAnOutage) {
  Store.answer(done({object("a", 3), object("b", 9)}, 10));
  waitForCall();
  Store.answer({StoreStatus::HistoryLost, {}, 0});
  waitForCall();
  const TimePoint Listed = bootNow();
  Store.answer(done({object("a", makeRevision(1, 3))}, makeRevision(1, 5)));
  EXPECT_GE(Feed.outageEndedAt(), Listed);
}

// Guards against missing what the copy lacks when a watch is answered in the
// new era: its events do not tell it.
TEST_F(StoreFeedTest, ChangesOfANewEraAreReadAsAWhole) {
  Store.answer(done({object("a", 3), object("b", 9)}, 10));
  waitForCall();
  Store.answer(done({object("c", makeRevision(1, 6))}, makeRevision(1, 6)));
  waitForCall();
  EXPECT_FALSE(Store.Calls.front().Watch);
  EXPECT_TRUE(Changed.empty());
  Store.answer(done({object("c", makeRevision(1, 6))}, makeRevision(1, 6)));
  EXPECT_EQ(Feed.objects().size(), 1U);
  EXPECT_NE(Feed.outageEndedAt(), LongAgo);
}

// Guards against readers of a relay that take what a copy lacks for removed:
// they have to list the objects as the relay had to.
TEST_F(StoreFeedTest, NoChangesAreReportedAcrossARestoration) {
  Store.answer(done({object("a", 3), object("b", 9)}, 10));
  waitForCall();
  Store.answer({StoreStatus::HistoryLost, {}, 0});
  waitForCall();
  Store.answer(done({object("a", makeRevision(1, 3))}, makeRevision(1, 5)));
  EXPECT_FALSE(Feed.changesSince(10));
  waitForCall();
  Store.answer(done({object("b", makeRevision(1, 6))}, makeRevision(1, 6)));
  const auto Changes = Feed.changesSince(makeRevision(1, 5));
  ASSERT_TRUE(Changes);
  EXPECT_EQ(Changes->size(), 1U);
}

// Guards against a whole fleet that distrusts its relays and reads the store
// again when it starts, since the leader has read it first.
// Guards against keeping all values of an object that changes often: the ranges
// of a divided service filled the memory of each instance with 0.5 MB/s.
TEST_F(StoreFeedTest, OnlyTheLastChangeOfAnObjectIsKept) {
  Store.answer(done({object("a", 1), object("b", 1)}, 1));
  constexpr std::uint64_t Changes = 1000;
  std::vector<StoredObject> Many;
  for (std::uint64_t Revision = 2; Revision <= Changes; ++Revision)
    Many.push_back({"a", Revision, false, Revision});
  Store.answer(done(Many, Changes));
  EXPECT_TRUE(Feed.differsFrom(1));
  EXPECT_FALSE(Feed.differsFrom(Changes));
  const auto Kept = Feed.changesSince(1);
  ASSERT_TRUE(Kept);
  ASSERT_EQ(Kept->size(), 1U);
  EXPECT_EQ(Kept->front().Revision, Changes);
  EXPECT_EQ(Kept->front().Value, Changes);
}

TEST_F(StoreFeedTest, DeletedObjectIsKeptAsAChange) {
  Store.answer(done({object("a", 1), object("b", 1)}, 1));
  Store.answer(done({object("a", 2), object("b", 3, true)}, 3));
  const auto Kept = Feed.changesSince(1);
  ASSERT_TRUE(Kept);
  ASSERT_EQ(Kept->size(), 2U);
  EXPECT_EQ(Kept->front().Name, "a");
  EXPECT_TRUE(Kept->back().Deleted);
}

TEST_F(StoreFeedTest, FirstReadInProgressIsNotBehind) {
  EXPECT_FALSE(Feed.isBehind(5));
  Store.answer(StoreChanges());
  EXPECT_TRUE(Feed.isBehind(5));
  waitForCall();
  Store.answer(done({}, 7));
  EXPECT_FALSE(Feed.isBehind(7));
  EXPECT_TRUE(Feed.isBehind(8));
}

} // namespace
