#include "Gateway/RelayedStore.h"

#include "Gateway/ChangeRelay.h"
#include "IO/BootClock.h"
#include "support/FakeObjectStore.h"
#include "support/ScriptedTarget.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

const std::string Kind = "things";

/// Of objects with members, only "n" is read.
auto schema() -> ObjectSchema {
  ObjectSchema Schema;
  Schema.add(Kind, {.IsPrefix = true, .Value = {.Members = {"n"}, .Depth = 1}});
  return Schema;
}

/// Two instances: a relay that reads the store for others, and a follower that
/// reads through it.
class RelayedStoreTest : public testing::Test {
protected:
  RelayedStoreTest()
      : Events("i"), RelayStore(Io, RelayContents),
        Source(Io, RelayStore, {Kind, 100ms, 1, 100ms},
               {[](const auto &) {}, [](const StoredObject &) {},
                [this](bool Connected, const char *) {
                  if (!Connected)
                    Relay.onContactLost();
                },
                [this] { Relay.onFeedAdvanced(); }}),
        Relay(Io, Source),
        Store(Io, std::make_unique<FakeObjectStore>(Io, DirectContents),
              schema(), Events),
        Follower(Io, Store, {Kind, 25s, 2, 100ms},
                 {[](const auto &) {}, [](const StoredObject &) {},
                  [](bool, const char *) {}}) {
    Relay.add(Kind, Source);
    Server = HttpServer::start(Io, {},
                               [this](const HttpRequest &Request,
                                      const HttpResponder &Responder) {
                                 Relay.handleRequest(Request, Responder);
                               })
                 .value();
    RelayContents->set(Kind, "a", 1);
    Source.start();
    EXPECT_TRUE(until([this] { return Source.loaded(); }));
    Store.useRelays("127.0.0.1:" + std::to_string(Server->port()), "");
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
  /// The contents that the relay reads, and those that the follower reads
  /// directly. They are separate so that a test sees which way a change came.
  std::shared_ptr<StoreContents> RelayContents =
      std::make_shared<StoreContents>();
  std::shared_ptr<StoreContents> DirectContents =
      std::make_shared<StoreContents>();
  FakeObjectStore RelayStore;
  StoreFeed Source;
  ChangeRelay Relay;
  RelayedStore Store;
  StoreFeed Follower;
  std::unique_ptr<HttpServer> Server;
};

TEST_F(RelayedStoreTest, ChangesArriveThroughTheRelayWithoutStoreCalls) {
  Follower.start();
  ASSERT_TRUE(until([this] { return followerHas("a"); }));
  RelayContents->set(Kind, "b", 2);
  ASSERT_TRUE(until([this] { return followerHas("b"); }, 2s));
  RelayContents->remove(Kind, "a");
  ASSERT_TRUE(until([this] { return !followerHas("a"); }, 2s));
  EXPECT_EQ(DirectContents->calls(), 0U);
}

// Guards against entries that fill the memory of each reader of a relay, which
// may be of a release that keeps them whole.
TEST_F(RelayedStoreTest, OnlyWhatIsReadOfAnObjectIsKept) {
  const nlohmann::json Unread = nlohmann::json::array({{{"", 1}}, {{"", 2}}});
  RelayContents->set(Kind, "list", Unread);
  RelayContents->set(Kind, "wide", {{"n", 5}, {"unread", Unread}});
  Follower.start();
  ASSERT_TRUE(until([this] { return followerHas("wide"); }));
  EXPECT_EQ(Follower.objects().at("list").Value,
            nlohmann::json::array({nullptr, nullptr}));
  EXPECT_EQ(Follower.objects().at("wide").Value, nlohmann::json({{"n", 5}}));
  RelayContents->set(Kind, "later", {{"n", 6}, {"unread", Unread}});
  ASSERT_TRUE(until([this] { return followerHas("later"); }, 2s));
  EXPECT_EQ(Follower.objects().at("later").Value, nlohmann::json({{"n", 6}}));
}

TEST_F(RelayedStoreTest, ConfirmationIsNoNewerThanTheRelays) {
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  EXPECT_LE(Follower.confirmedAt(), Source.confirmedAt() + 5ms);
}

TEST_F(RelayedStoreTest, SilentRelayIsAbandonedWithinTheTimeLimit) {
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  DirectContents->set(Kind, "a", 1);
  DirectContents->set(Kind, "b", 1);
  DirectContents->set(Kind, "c", 2);
  const TimePoint Silent = bootNow();
  Server->silenceConnections();
  ASSERT_TRUE(until([this] { return followerHas("c"); }, 2s));
  EXPECT_LE(bootNow() - Silent, 1500ms);
}

TEST_F(RelayedStoreTest, ReadersOfARelayWithoutContactReadTheStoreDirectly) {
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  for (int Count = 0; Count < 3; ++Count)
    DirectContents->set(Kind, "c" + std::to_string(Count), Count);
  const TimePoint Down = bootNow();
  RelayContents->setDown(true);
  ASSERT_TRUE(until([this] { return followerHas("c2"); }, 3s));
  EXPECT_LE(bootNow() - Down, 1000ms);
}

// Guards against a read in place of a failed relay that stays open on a silent
// connection, and counts as contact, long after the store answers again.
TEST_F(RelayedStoreTest, ReadInPlaceOfARelayIsShort) {
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  DirectContents->setSilent(true);
  RelayContents->setDown(true);
  const std::size_t Calls = DirectContents->calls();
  ASSERT_TRUE(until([&] { return DirectContents->calls() > Calls; }));
  DirectContents->setSilent(false);
  DirectContents->set(Kind, "c0", 0);
  DirectContents->set(Kind, "c1", 1);
  EXPECT_TRUE(until([this] { return followerHas("c1"); }, 3s));
}

// Guards against time limits of both relays and of the store that add up while
// the feed counts as connected.
TEST_F(RelayedStoreTest, SilenceOfRelaysAndStoreIsNoticedInTime) {
  ScriptedTarget Backup([](ScriptedTarget::Tcp::socket &, const std::string &) {
    std::this_thread::sleep_for(6s);
    return false;
  });
  Store.useRelays("127.0.0.1:" + std::to_string(Server->port()),
                  Backup.address());
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  DirectContents->setSilent(true);
  const TimePoint Silent = bootNow();
  Server->silenceConnections();
  ASSERT_TRUE(until([this] { return !Follower.connected(); }, 10s));
  EXPECT_LE(bootNow() - Silent, 2500ms);
}

// Guards against rechecks that end each read before its time limit, so that a
// silent store counts as connected for as long as they go on.
TEST_F(RelayedStoreTest, RecheckedReadOfASilentStoreFails) {
  Store.useRelays("", "");
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  DirectContents->setSilent(true);
  for (int Count = 0; Count < 10 && Follower.connected(); ++Count) {
    until([this] { return !Follower.connected(); }, 800ms);
    Follower.recheck();
  }
  EXPECT_FALSE(Follower.connected());
}

// The same for the rechecks after writes without an answer: two services whose
// ranges are written again 0.4 s after each failure, at different times.
TEST_F(RelayedStoreTest, UnansweredWritesDoNotHideASilentStore) {
  Store.useRelays("", "");
  Store.onWriteUnanswered([this] { Follower.recheck(); });
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  until([] { return false; }, 200ms);
  DirectContents->setSilent(true);
  std::map<std::string, TimePoint> NextWriteAt = {{"a", bootNow()},
                                                  {"b", bootNow() + 800ms}};
  const TimePoint End = bootNow() + 8s;
  while (Follower.connected() && bootNow() < End) {
    for (auto &[Name, At] : NextWriteAt)
      if (bootNow() >= At) {
        At = TimePoint::max();
        Store.write(Kind, Name, 0, 1, [&Next = At](const StoreWriteResult &) {
          Next = bootNow() + 400ms;
        });
      }
    until([] { return false; }, 20ms);
  }
  EXPECT_FALSE(Follower.connected());
}

// Guards against calls to the store at short intervals, which are charged,
// where no relay is named.
TEST_F(RelayedStoreTest, ReadWithoutARelayIsLong) {
  Store.useRelays("", "");
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  until([] { return false; }, 3s);
  EXPECT_EQ(DirectContents->calls(), 2U);
}

// Guards against a read that stays open on a silent connection to the store
// although a relay has been named since.
TEST_F(RelayedStoreTest, OpenReadMovesToANewRelay) {
  Store.useRelays("", "");
  DirectContents->set(Kind, "a", 1);
  Follower.start();
  ASSERT_TRUE(until([this] { return DirectContents->calls() == 2; }));
  until([] { return false; }, 50ms);
  DirectContents->setSilent(true);
  Store.useRelays("127.0.0.1:" + std::to_string(Server->port()), "");
  RelayContents->set(Kind, "b", 2);
  EXPECT_TRUE(until([this] { return followerHas("b"); }, 1s));
  EXPECT_EQ(DirectContents->calls(), 2U);
}

TEST_F(RelayedStoreTest, BackupRelayIsUsedBeforeTheStore) {
  // Nothing listens at the discard port.
  Store.useRelays("127.0.0.1:9", "127.0.0.1:" + std::to_string(Server->port()));
  Follower.start();
  ASSERT_TRUE(until([this] { return followerHas("a"); }));
  RelayContents->set(Kind, "b", 2);
  ASSERT_TRUE(until([this] { return followerHas("b"); }, 2s));
  EXPECT_EQ(DirectContents->calls(), 0U);
}

// Guards against an instance that has just become the relay and answers from
// what it read earlier through another one.
TEST_F(RelayedStoreTest, NewRelayAnswersOnlyWithWhatItHasReadSince) {
  RelayContents->setDown(true);
  ASSERT_TRUE(until([this] { return !Source.connected(); }));
  Relay.begin();
  RelayContents->set(Kind, "b", 2);
  RelayContents->setDown(false);
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  EXPECT_TRUE(followerHas("b"));
  EXPECT_GE(Follower.confirmedAt(), Source.confirmedAt() - 2s);
}

TEST_F(RelayedStoreTest, ReaderBehindTheKeptChangesReadsAllObjects) {
  Follower.start();
  ASSERT_TRUE(until([this] { return Follower.loaded(); }));
  // More changes than the relay keeps, while the follower does not run.
  for (int Count = 0; Count < 400; ++Count)
    RelayContents->set(Kind, "n" + std::to_string(Count), Count);
  RelayContents->remove(Kind, "a");
  ASSERT_TRUE(until([this] { return followerHas("n399"); }));
  EXPECT_TRUE(until([this] { return !followerHas("a"); }));
  EXPECT_EQ(Follower.objects().size(), 400U);
  EXPECT_EQ(DirectContents->calls(), 0U);
}

/// HTTP response of a relay at revision 7 with these objects.
auto relayResponse(const nlohmann::json &Objects) -> std::string {
  const std::string Text = nlohmann::json{
      {"revision", 7},
      {"age_us", 0},
      {"objects", Objects}}.dump();
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Text.size()) +
         "\r\n\r\n" + Text;
}

/// Response with one object, of 400 KB.
auto largeResponse() -> std::string {
  return relayResponse({{"large", 7, false, std::string(400'000, 'x')}});
}

/// Sends in 20 parts with pauses, 2 s in all, like a relay behind a link of
/// 1.6 Mbit/s.
auto sendSlowly(ScriptedTarget::Tcp::socket &Socket, const std::string &Text)
    -> bool {
  constexpr std::size_t Parts = 20;
  const std::size_t PartSize = Text.size() / Parts + 1;
  for (std::size_t From = 0; From < Text.size(); From += PartSize) {
    if (!ScriptedTarget::send(Socket, Text.substr(From, PartSize)))
      return false;
    std::this_thread::sleep_for(100ms);
  }
  return true;
}

// Guards against giving up a relay whose response is on its way: instances with
// slow links began to read a large configuration again and again, and answered
// 404 for its routes.
TEST_F(RelayedStoreTest, LargeResponseIsReadToTheEndOverASlowLink) {
  ScriptedTarget SlowRelay(
      [](ScriptedTarget::Tcp::socket &Socket, const std::string &) {
        return sendSlowly(Socket, largeResponse());
      });
  Store.useRelays(SlowRelay.address(), "");
  Follower.start();
  ASSERT_TRUE(until([this] { return followerHas("large"); }));
  EXPECT_EQ(SlowRelay.requests().size(), 1U);
  EXPECT_EQ(DirectContents->calls(), 0U);
}

// Guards against a relay that holds its readers by sending little at a time.
TEST_F(RelayedStoreTest, RelayThatSendsLittleAtATimeIsAbandoned) {
  ScriptedTarget Trickling(
      [](ScriptedTarget::Tcp::socket &Socket, const std::string &) {
        bool Open = ScriptedTarget::send(
            Socket, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
        while (Open) {
          Open = ScriptedTarget::send(Socket, " ");
          std::this_thread::sleep_for(100ms);
        }
        return false;
      });
  DirectContents->set(Kind, "direct", 1);
  Store.useRelays(Trickling.address(), "");
  const TimePoint Begun = bootNow();
  Follower.start();
  ASSERT_TRUE(until([this] { return followerHas("direct"); }));
  EXPECT_LE(bootNow() - Begun, 3500ms);
}

// Guards against beginning a read again that is in progress: an instance that
// heard from others that it was behind never got a large configuration.
TEST_F(RelayedStoreTest, RecheckLeavesAResponseInProgressAlone) {
  std::atomic<int> Calls = 0;
  ScriptedTarget SlowRelay([&Calls](ScriptedTarget::Tcp::socket &Socket,
                                    const std::string &) {
    if (Calls++ > 0)
      return sendSlowly(Socket, largeResponse());
    return ScriptedTarget::send(Socket, relayResponse(nlohmann::json::array()));
  });
  Store.useRelays(SlowRelay.address(), "");
  Follower.start();
  ASSERT_TRUE(until([&Calls] { return Calls > 1; }));
  const TimePoint Begun = bootNow();
  while (!followerHas("large") && bootNow() < Begun + 5s) {
    Follower.recheck();
    until([this] { return followerHas("large"); }, 200ms);
  }
  EXPECT_TRUE(followerHas("large"));
  EXPECT_EQ(Calls, 2);
}

// Guards against a relay that fills its link with copies of a large
// configuration for all instances of its data centre.
TEST_F(RelayedStoreTest, LargeObjectsAreCompressedForReadersThatAcceptIt) {
  std::string Text;
  for (int Count = 0; Count < 2000; ++Count)
    Text.append("route ").append(std::to_string(Count)).append(" of a host, ");
  RelayContents->set(Kind, "large", Text);
  ASSERT_TRUE(until([this] { return Source.objects().contains("large"); }));
  std::map<std::string, std::size_t> Sizes;
  auto Client =
      HttpClient::create(Io, "127.0.0.1:" + std::to_string(Server->port()))
          .value();
  for (const std::string Coding : {"deflate", "identity"}) {
    HttpRequest Request;
    Request.Target = std::string(ChangeRelay::Path) + "?kind=" + Kind;
    Request.Headers.add("Accept-Encoding", Coding);
    Client->request(std::move(Request), {},
                    [&Sizes, Coding](const HttpOutcome &Outcome) {
                      Sizes[Coding] = Outcome.Response.Body.size();
                    });
    ASSERT_TRUE(until([&] { return Sizes.contains(Coding); }));
  }
  EXPECT_GE(Sizes["identity"], Text.size());
  EXPECT_LE(Sizes["deflate"], Text.size() / 4);
  Follower.start();
  ASSERT_TRUE(until([this] { return followerHas("large"); }));
  EXPECT_EQ(Follower.objects().at("large").Value, Text);
  EXPECT_LE(Follower.confirmedAt(), Source.confirmedAt() + 5ms);
  EXPECT_EQ(DirectContents->calls(), 0U);
}

TEST_F(RelayedStoreTest, WritesGoToTheStore) {
  bool Done = false;
  Store.write(Kind, "w", 0, 1, [&Done](const StoreWriteResult &Answer) {
    Done = Answer.Status == StoreStatus::Done;
  });
  EXPECT_TRUE(until([&Done] { return Done; }));
  EXPECT_TRUE(DirectContents->value(Kind, "w").has_value());
}

// Guards against watches that stay open on silent connections after a write has
// shown that the store does not answer.
TEST_F(RelayedStoreTest, WriteWithoutAnAnswerIsReported) {
  int Reports = 0;
  int Writes = 0;
  Store.onWriteUnanswered([&Reports] { ++Reports; });
  const auto Write = [&] {
    Store.write(Kind, "w", 0, 1,
                [&Writes](const StoreWriteResult &) { ++Writes; });
  };
  Write();
  ASSERT_TRUE(until([&] { return Writes == 1; }));
  Write();
  ASSERT_TRUE(until([&] { return Writes == 2; }));
  EXPECT_EQ(Reports, 0);
  DirectContents->setDown(true);
  Write();
  ASSERT_TRUE(until([&] { return Writes == 3; }));
  EXPECT_EQ(Reports, 1);
}

// Guards against readers of a relay that take what a copy lacks for removed: to
// them, too, the restoration has to be visible.
TEST_F(RelayedStoreTest, ReadersOfARelayNoticeThatTheStoreWasRestored) {
  const auto Copy = RelayContents->copy();
  RelayContents->set(Kind, "b", 2);
  Follower.start();
  ASSERT_TRUE(until([this] { return followerHas("b"); }));
  const TimePoint Restored = bootNow();
  RelayContents->restore(Copy);
  ASSERT_TRUE(until([this] { return !followerHas("b"); }, 2s));
  EXPECT_GE(Follower.outageEndedAt(), Restored);
  EXPECT_TRUE(followerHas("a"));
  EXPECT_EQ(DirectContents->calls(), 0U);
}

} // namespace
