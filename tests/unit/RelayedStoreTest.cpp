#include "Gateway/RelayedStore.h"

#include "Gateway/ChangeRelay.h"
#include "IO/BootClock.h"
#include "support/FakeObjectStore.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

const std::string Kind = "things";

/// An instance that reads the store for others, and one that reads through it.
class RelayedStoreTest : public testing::Test {
protected:
  RelayedStoreTest()
      : Events("i"), Direct(Io, Contents),
        Source(Io, Direct, {Kind, 100ms, 1, 100ms},
               {[](const auto &) {}, [](const StoredObject &) {},
                [this](bool Connected, const char *) {
                  if (!Connected)
                    Relay.contactLost();
                },
                [this] { Relay.advanced(Kind); }}),
        Relay(Io, Source),
        Store(Io, std::make_unique<FakeObjectStore>(Io, OwnContents), Events),
        Follower(Io, Store, {Kind, 25s, 2, 100ms},
                 {[](const auto &) {}, [](const StoredObject &) {},
                  [](bool, const char *) {}}) {
    Relay.add(Kind, Source);
    Server = HttpServer::start(
                 Io, {},
                 [this](const HttpRequest &Request, const HttpResponder &To) {
                   Relay.answer(Request, To);
                 })
                 .value();
    Contents->set(Kind, "a", 1);
    Source.start();
    EXPECT_TRUE(until([this] { return Source.loaded(); }));
    Store.useRelay("127.0.0.1:" + std::to_string(Server->port()));
  }

  template <class Condition>
  auto until(Condition Holds, Duration Limit = 5s) -> bool {
    const TimePoint End = bootNow() + Limit;
    while (!Holds() && bootNow() < End) {
      Io.restart();
      Io.run_one_for(std::chrono::milliseconds(20));
    }
    return Holds();
  }
  auto followerHas(const std::string &Name) -> bool {
    return Follower.objects().contains(Name);
  }

  boost::asio::io_context Io;
  EventLog Events;
  /// The store as the relay reaches it, and as the follower does directly. They
  /// are told apart to see which way a change came.
  std::shared_ptr<StoreContents> Contents = std::make_shared<StoreContents>();
  std::shared_ptr<StoreContents> OwnContents =
      std::make_shared<StoreContents>();
  FakeObjectStore Direct;
  StoreFeed Source;
  ChangeRelay Relay;
  RelayedStore Store;
  StoreFeed Follower;
  std::unique_ptr<HttpServer> Server;
};

TEST_F(RelayedStoreTest, ChangesComeThroughTheRelayWithoutCallsOfTheirOwn) {
  Follower.start();
  ASSERT_TRUE(until([this] { return followerHas("a"); }));
  Contents->set(Kind, "b", 2);
  ASSERT_TRUE(until([this] { return followerHas("b"); }, 2s));
  Contents->remove(Kind, "a");
  ASSERT_TRUE(until([this] { return !followerHas("a"); }, 2s));
  EXPECT_EQ(OwnContents->calls(), 0U);
}

TEST_F(RelayedStoreTest, ProofOfContactIsAsOldAsTheRelaysOwn) {
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  EXPECT_LE(Follower.confirmedAt(), Source.confirmedAt() + 5ms);
}

TEST_F(RelayedStoreTest, SilentRelayIsLeftInTimeForAChange) {
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  OwnContents->set(Kind, "a", 1);
  OwnContents->set(Kind, "b", 1);
  OwnContents->set(Kind, "c", 2);
  const TimePoint Silent = bootNow();
  Server->silenceConnections();
  ASSERT_TRUE(until([this] { return followerHas("c"); }, 2s));
  EXPECT_LE(bootNow() - Silent, 1500ms);
}

TEST_F(RelayedStoreTest, RelayWithoutContactSendsItsReadersToTheStore) {
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  for (int Count = 0; Count < 3; ++Count)
    OwnContents->set(Kind, "c" + std::to_string(Count), Count);
  const TimePoint Down = bootNow();
  Contents->setDown(true);
  ASSERT_TRUE(until([this] { return followerHas("c2"); }, 3s));
  EXPECT_LE(bootNow() - Down, 1000ms);
}

TEST_F(RelayedStoreTest, ReaderBehindTheKeptChangesReadsAllObjects) {
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  // More changes than are kept, while the reader does not run.
  for (int Count = 0; Count < 400; ++Count)
    Contents->set(Kind, "n" + std::to_string(Count), Count);
  Contents->remove(Kind, "a");
  ASSERT_TRUE(until([this] { return followerHas("n399"); }));
  EXPECT_TRUE(until([this] { return !followerHas("a"); }));
  EXPECT_EQ(Follower.objects().size(), 400U);
  EXPECT_EQ(OwnContents->calls(), 0U);
}

TEST_F(RelayedStoreTest, WritesGoToTheStore) {
  bool Done = false;
  Store.write(Kind, "w", 0, 1, [&Done](const StoreWrite &Answer) {
    Done = Answer.Status == StoreStatus::Done;
  });
  EXPECT_TRUE(until([&Done] { return Done; }));
  EXPECT_TRUE(OwnContents->value(Kind, "w").has_value());
}

} // namespace
