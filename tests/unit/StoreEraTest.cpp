#include "Store.h"

#include "Fleet/StoreRevision.h"
#include "support/ScriptedTarget.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

struct Reply {
  std::string Era; ///< Text of the header; empty: there is none.
  unsigned Status = 200;
  Json Body;
  bool Held = false; ///< Sent after the release.
};

auto object(const std::string &Name, std::uint64_t Number) -> Json {
  return {{"metadata", {{"name", Name}, {"revision", Number}}},
          {"spec", {{"written", Number}}}};
}

auto listing(const std::string &Era, std::uint64_t Number, Json Items,
             bool HasMore = false) -> Reply {
  return {Era,
          200,
          {{"store_revision", Number},
           {"has_more", HasMore},
           {"items", std::move(Items)}}};
}

auto events(const std::string &Era, std::uint64_t Number, Json Items) -> Reply {
  return {Era, 200, {{"store_revision", Number}, {"events", std::move(Items)}}};
}

/// Store that gives scripted replies to its calls in their order of arrival.
class StoreEraTest : public testing::Test {
protected:
  ~StoreEraTest() override { Released = true; }

  auto reply(Reply Next) -> void {
    const std::lock_guard Guard(Mutex);
    Replies.push_back(std::move(Next));
  }

  auto list(const std::string &Kind = "things") -> StoreChanges {
    return waitFor<StoreChanges>(
        [&](auto Done) { Store->list(Kind, std::move(Done)); });
  }
  auto watch(std::uint64_t Revision) -> StoreChanges {
    return waitFor<StoreChanges>(
        [&](auto Done) { Store->watch("things", Revision, 1s, Done); });
  }
  auto write(std::uint64_t Expected) -> StoreWriteResult {
    return waitFor<StoreWriteResult>([&](auto Done) {
      Store->write("things", "main", Expected, {{"of", "the writer"}}, Done);
    });
  }
  /// Lets the adapter see an era.
  auto see(const std::string &Era) -> void {
    reply(listing(Era, 1, Json::array()));
    ASSERT_EQ(list().Status, StoreStatus::Done);
  }

  template <class Predicate>
  auto runUntil(const Predicate &Reached) -> bool {
    const auto Until = std::chrono::steady_clock::now() + 4s;
    while (!Reached() && std::chrono::steady_clock::now() < Until) {
      Io.restart();
      Io.run_for(2ms);
    }
    return Reached();
  }
  /// Runs until the calls that were made have reached the store.
  auto runUntilSent() -> bool {
    return runUntil([this] {
      const std::lock_guard Guard(Mutex);
      return Replies.empty();
    });
  }
  /// Starts a call and runs until its handler was called.
  template <class Answer, class Call>
  auto waitFor(const Call &Start) -> Answer {
    std::optional<Answer> Received;
    Start([&Received](Answer Result) { Received = std::move(Result); });
    EXPECT_FALSE(Received) << "called from within the call";
    EXPECT_TRUE(runUntil([&] { return Received.has_value(); })) << "not called";
    return Received.value_or(Answer());
  }

  std::mutex Mutex;
  std::deque<Reply> Replies;
  std::atomic<bool> Released = false;
  ScriptedTarget Server{[this](ScriptedTarget::Tcp::socket &Socket,
                               const std::string &) { return answer(Socket); }};
  boost::asio::io_context Io;
  std::unique_ptr<platform::Store> Store =
      platform::Store::create(Io, Server.address()).value();

private:
  auto answer(ScriptedTarget::Tcp::socket &Socket) -> bool {
    Reply Next;
    {
      const std::lock_guard Guard(Mutex);
      if (Replies.empty())
        return false;
      Next = std::move(Replies.front());
      Replies.pop_front();
    }
    while (Next.Held && !Released)
      std::this_thread::sleep_for(1ms);
    const std::string Text = Next.Body.dump();
    const std::string EraField =
        Next.Era.empty() ? "" : "Store-Era: " + Next.Era + "\r\n";
    return ScriptedTarget::send(
        Socket, "HTTP/1.1 " + std::to_string(Next.Status) + " Reply\r\n" +
                    EraField + "Content-Length: " +
                    std::to_string(Text.size()) + "\r\n\r\n" + Text);
  }
};

TEST_F(StoreEraTest, RevisionsAreTheNumbersOfAStoreWithoutEras) {
  reply(listing("", 9, {object("main", 7)}));
  const StoreChanges Read = list();
  EXPECT_EQ(Read.Revision, 9U);
  ASSERT_EQ(Read.Objects.size(), 1U);
  EXPECT_EQ(Read.Objects[0].Revision, 7U);
}

// Guards against revisions that go back: what a restored store held counted as
// old and was not applied.
TEST_F(StoreEraTest, RevisionsRiseWhenTheNumbersGoBack) {
  reply(listing("1", 90, {object("main", 80)}));
  reply(listing("2", 40, {object("main", 30)}));
  const StoreChanges Before = list();
  const StoreChanges After = list();
  EXPECT_EQ(Before.Revision, makeRevision(1, 90));
  EXPECT_EQ(After.Revision, makeRevision(2, 40));
  ASSERT_EQ(After.Objects.size(), 1U);
  EXPECT_EQ(After.Objects[0].Revision, makeRevision(2, 30));
  EXPECT_GT(After.Objects[0].Revision, Before.Revision);
}

// Guards against a store that gets combined revisions, which it does not know.
TEST_F(StoreEraTest, CallsCarryTheNumberAlone) {
  see("1");
  reply(events(
      "1", 41,
      Json::array({{{"object", object("main", 41)}, {"deleted", false}}})));
  const StoreChanges Changes = watch(makeRevision(1, 40));
  EXPECT_EQ(Changes.Status, StoreStatus::Done);
  EXPECT_EQ(Changes.Revision, makeRevision(1, 41));
  ASSERT_EQ(Changes.Objects.size(), 1U);
  EXPECT_EQ(Changes.Objects[0].Revision, makeRevision(1, 41));
  reply({"1", 200, object("main", 42)});
  const StoreWriteResult Write = write(makeRevision(1, 41));
  EXPECT_EQ(Write.Status, StoreStatus::Done);
  ASSERT_TRUE(Write.Object);
  EXPECT_EQ(Write.Object->Revision, makeRevision(1, 42));
  const auto Requests = Server.requests();
  ASSERT_EQ(Requests.size(), 3U);
  EXPECT_NE(Requests[1].find("watch=40&"), std::string::npos) << Requests[1];
  EXPECT_NE(Requests[2].find("\"revision\":41}"), std::string::npos)
      << Requests[2];
}

// Guards against a restored store whose numbers have reached the watched one
// again: its changes up to there were never read.
TEST_F(StoreEraTest, WatchAnsweredInALaterEraEndsAsHistoryLost) {
  see("1");
  reply(events(
      "2", 50,
      Json::array({{{"object", object("main", 50)}, {"deleted", false}}})));
  const StoreChanges Changes = watch(makeRevision(1, 40));
  EXPECT_EQ(Changes.Status, StoreStatus::HistoryLost);
  EXPECT_TRUE(Changes.Objects.empty());
}

// Guards against the same number given out in two eras: a watch from an era
// that is known to be over would wait for changes after the wrong one.
TEST_F(StoreEraTest, WatchFromAnEarlierEraNeedsNoCall) {
  see("2");
  EXPECT_EQ(watch(makeRevision(1, 40)).Status, StoreStatus::HistoryLost);
  EXPECT_EQ(Server.requests().size(), 1U);
}

// Guards against a lost restoration: an instance that knows the new era from
// its peers took a response of the old one for news.
TEST_F(StoreEraTest, EraOfARevisionFromAPeerCounts) {
  see("1");
  reply(events("1", 50, Json::array()));
  EXPECT_EQ(watch(makeRevision(2, 40)).Status, StoreStatus::Unreachable);
  reply(listing("1", 50, Json::array()));
  EXPECT_EQ(list().Status, StoreStatus::Unreachable);
}

// Guards against a condition that holds by coincidence of numbers.
TEST_F(StoreEraTest, ConditionOfAnEarlierEraIsAConflictWithoutACall) {
  see("2");
  const StoreWriteResult Write = write(makeRevision(1, 40));
  EXPECT_EQ(Write.Status, StoreStatus::Conflict);
  EXPECT_FALSE(Write.Object);
  EXPECT_EQ(Server.requests().size(), 1U);
}

// Guards against a conflict whose object has a revision of the earlier era.
TEST_F(StoreEraTest, ConflictInALaterEraGivesItsObject) {
  see("1");
  reply({"2", 409, object("main", 30)});
  const StoreWriteResult Write = write(makeRevision(1, 40));
  EXPECT_EQ(Write.Status, StoreStatus::Conflict);
  ASSERT_TRUE(Write.Object);
  EXPECT_EQ(Write.Object->Revision, makeRevision(2, 30));
  // The new era is known from now on.
  EXPECT_EQ(watch(makeRevision(1, 40)).Status, StoreStatus::HistoryLost);
}

// Guards against a write that took effect in the new era and is reported as one
// of the old era.
TEST_F(StoreEraTest, WriteThatTookEffectInALaterEraHasItsRevision) {
  see("1");
  reply({"2", 200, object("main", 41)});
  const StoreWriteResult Write = write(makeRevision(1, 40));
  EXPECT_EQ(Write.Status, StoreStatus::Done);
  ASSERT_TRUE(Write.Object);
  EXPECT_EQ(Write.Object->Revision, makeRevision(2, 41));
}

// Guards against a refusal that hides the restoration.
TEST_F(StoreEraTest, RefusalsTellTheEraToo) {
  see("1");
  reply({"2", 503, Json::object()});
  EXPECT_EQ(list().Status, StoreStatus::Refused);
  EXPECT_EQ(watch(makeRevision(1, 40)).Status, StoreStatus::HistoryLost);
  EXPECT_EQ(Server.requests().size(), 2U);
}

// Guards against state of before the restoration that arrives after it.
TEST_F(StoreEraTest, LateReadEndsAsUnreachable) {
  see("1");
  Reply Late = listing("1", 90, {object("main", 80)});
  Late.Held = true;
  reply(Late);
  std::optional<StoreChanges> LateRead;
  Store->list("others", [&LateRead](StoreChanges Changes) {
    LateRead = std::move(Changes);
  });
  ASSERT_TRUE(runUntilSent());
  see("2");
  Released = true;
  ASSERT_TRUE(runUntil([&] { return LateRead.has_value(); }));
  EXPECT_EQ(LateRead->Status, StoreStatus::Unreachable);
  EXPECT_TRUE(LateRead->Objects.empty());
}

// Guards against a write that counts as done although the copy lacks it.
TEST_F(StoreEraTest, LateWriteEndsAsUnknown) {
  see("1");
  reply({"1", 200, object("main", 91), true});
  std::optional<StoreWriteResult> LateWrite;
  Store->write(
      "things", "main", makeRevision(1, 90), {},
      [&LateWrite](StoreWriteResult Write) { LateWrite = std::move(Write); });
  ASSERT_TRUE(runUntilSent());
  see("2");
  Released = true;
  ASSERT_TRUE(runUntil([&] { return LateWrite.has_value(); }));
  EXPECT_EQ(LateWrite->Status, StoreStatus::Unknown);
  EXPECT_FALSE(LateWrite->Object);
}

// Guards against a watch that waits to its end for the changes of an era that
// is over, while other calls have been answered in the next one.
TEST_F(StoreEraTest, OpenWatchesEndWhenAnotherCallTellsALaterEra) {
  see("1");
  Reply Waiting = events("1", 40, Json::array());
  Waiting.Held = true;
  reply(Waiting);
  reply(Waiting);
  std::optional<StoreChanges> Watched;
  bool CancelledIsCalled = false;
  Store->watch("things", makeRevision(1, 40), 5s,
               [&Watched](const StoreChanges &Changes) { Watched = Changes; });
  const auto Cancelled =
      Store->watch("things", makeRevision(1, 40), 5s,
                   [&](const StoreChanges &) { CancelledIsCalled = true; });
  ASSERT_TRUE(runUntilSent());
  Cancelled->cancel();
  see("2");
  // The store never responds to the watches.
  ASSERT_TRUE(runUntil([&] { return Watched.has_value(); }));
  EXPECT_EQ(Watched->Status, StoreStatus::HistoryLost);
  EXPECT_FALSE(CancelledIsCalled);
}

// Guards against a list made of two eras, whose objects never existed together.
TEST_F(StoreEraTest, ListStartsAgainWhenTheEraChangesBetweenPages) {
  reply(listing("1", 90, {object("a", 80)}, true));
  reply(listing("2", 40, {object("b", 20)}));
  reply(listing("2", 41, {object("a", 10)}, true));
  reply(listing("2", 42, {object("b", 20)}));
  const StoreChanges Read = list();
  EXPECT_EQ(Read.Status, StoreStatus::Done);
  EXPECT_EQ(Read.Revision, makeRevision(2, 41));
  ASSERT_EQ(Read.Objects.size(), 2U);
  EXPECT_EQ(Read.Objects[0].Name, "a");
  EXPECT_EQ(Read.Objects[0].Revision, makeRevision(2, 10));
  EXPECT_EQ(Read.Objects[1].Revision, makeRevision(2, 20));
  const auto Requests = Server.requests();
  ASSERT_EQ(Requests.size(), 4U);
  EXPECT_EQ(Requests[2].find("after="), std::string::npos) << Requests[2];
}

// Guards against a list whose last page is older than its first one.
TEST_F(StoreEraTest, ListWithALatePageEndsAsUnreachable) {
  reply(listing("2", 40, {object("a", 10)}, true));
  reply(listing("1", 90, {object("b", 80)}));
  const StoreChanges Read = list();
  EXPECT_EQ(Read.Status, StoreStatus::Unreachable);
  EXPECT_TRUE(Read.Objects.empty());
}

// Guards against a response without the header that counts as one of era 0, and
// so as late for good.
TEST_F(StoreEraTest, ResponseWithoutTheHeaderBelongsToTheNewestEra) {
  see("3");
  reply(listing("", 9, Json::array()));
  EXPECT_EQ(list().Revision, makeRevision(3, 9));
}

// Guards against unreadable headers that are taken for a number, or that nobody
// notices.
TEST_F(StoreEraTest, UnreadableHeaderIsLoggedAndCountsAsTheNewestEra) {
  see("3");
  for (const std::string Text :
       {"4th", "-4", "+4", "4 5", "four", "99999999999999999999", "16777216"}) {
    reply(listing(Text, 9, Json::array()));
    testing::internal::CaptureStderr();
    const StoreChanges Read = list();
    const std::string Logged = testing::internal::GetCapturedStderr();
    EXPECT_EQ(Read.Status, StoreStatus::Done) << Text;
    EXPECT_EQ(Read.Revision, makeRevision(3, 9)) << Text;
    EXPECT_NE(Logged.find(Text), std::string::npos) << Text << ": " << Logged;
  }
}

} // namespace
