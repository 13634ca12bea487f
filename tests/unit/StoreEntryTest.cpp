#include "Store.h"

#include "support/ScriptedTarget.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

auto repeated(const std::string &Text, std::size_t Times) -> std::string {
  std::string Out;
  for (std::size_t Count = 0; Count < Times; ++Count)
    Out += Text;
  return Out;
}

constexpr std::size_t Deep = 100'000;

/// Values as another writer may leave them.
auto oddValues() -> std::map<std::string, std::string> {
  return {
      {"deep array", repeated("[", Deep) + repeated("]", Deep)},
      {"deep object", repeated(R"({"a":)", Deep) + "1" + repeated("}", Deep)},
      {"large exponent", R"({"seq":1e999})"},
      {"400 digits", R"({"seq":)" + std::string(400, '9') + "}"},
      {"no number", R"({"seq":NaN})"},
      {"invalid UTF-8", "{\"zone\":\"\xff\xfe\"}"},
      {"half a character", R"({"zone":"\ud800"})"}};
}

auto object(const std::string &Name, const std::string &Value) -> std::string {
  return R"({"metadata":{"name":")" + Name +
         R"(","revision":7},"status":null,"spec":)" + Value + "}";
}

/// Store whose next response has the given body.
class StoreEntryTest : public testing::Test {
protected:
  template <class Answer, class Call>
  auto answer(const std::string &Body, const Call &Start, unsigned Status = 200)
      -> Answer {
    ScriptedTarget Server(ScriptedTarget::answering(
        "HTTP/1.1 " + std::to_string(Status) + " X\r\nContent-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body));
    boost::asio::io_context Io;
    const auto Store = platform::Store::create(Io, Server.address()).value();
    std::optional<Answer> Received;
    Start(*Store, [&](const Answer &Result) {
      Received = Result;
      Io.stop();
    });
    Io.run_for(5s);
    EXPECT_TRUE(Received);
    return Received.value_or(Answer());
  }
  auto list(const std::string &Items) -> StoreChanges {
    return answer<StoreChanges>(
        R"({"store_revision":9,"has_more":false,"items":[)" + Items + "]}",
        [](platform::Store &Store, auto Done) { Store.list("things", Done); });
  }
  auto watch(const std::string &Events) -> StoreChanges {
    return answer<StoreChanges>(R"({"store_revision":9,"events":[)" + Events +
                                    "]}",
                                [](platform::Store &Store, auto Done) {
                                  Store.watch("things", 5, 1s, Done);
                                });
  }
};

auto find(const StoreChanges &Changes, const std::string &Name)
    -> const StoredObject * {
  for (const StoredObject &Each : Changes.Objects)
    if (Each.Name == Name)
      return &Each;
  return nullptr;
}

// Guards against one odd entry in the list of targets that makes the whole list
// unreadable, or ends the process when the entry is copied or written.
TEST_F(StoreEntryTest, OddEntryInAListHidesNoOther) {
  for (const auto &[Name, Value] : oddValues()) {
    SCOPED_TRACE(Name);
    const auto Read =
        list(object("a", R"({"n":"one, two"})") + "," + object("odd", Value) +
             "," + object("z", R"({"n":"[\"]"})"));
    ASSERT_EQ(Read.Status, StoreStatus::Done);
    EXPECT_EQ(Read.Revision, 9U);
    ASSERT_TRUE(find(Read, "a") && find(Read, "z"));
    EXPECT_EQ(find(Read, "a")->Value.at("n"), "one, two");
    EXPECT_EQ(find(Read, "z")->Value.at("n"), "[\"]");
    ASSERT_TRUE(find(Read, "odd"));
    EXPECT_TRUE(find(Read, "odd")->Value.is_null());
    EXPECT_EQ(find(Read, "odd")->Revision, 7U);
  }
}

// Guards against the same entry among changes: the watch would fail each time.
TEST_F(StoreEntryTest, OddEntryAmongChangesHidesNoOther) {
  const auto Event = [](const std::string &Object, const char *Deleted) {
    return R"({"object":)" + Object + R"(,"deleted":)" + Deleted + "}";
  };
  for (const auto &[Name, Value] : oddValues()) {
    SCOPED_TRACE(Name);
    const auto Read = watch(Event(object("odd", Value), "false") + "," +
                            Event(object("gone", Value), "true") + "," +
                            Event(object("z", "8"), "false"));
    ASSERT_EQ(Read.Status, StoreStatus::Done);
    EXPECT_EQ(Read.Revision, 9U);
    ASSERT_EQ(Read.Objects.size(), 3U);
    EXPECT_TRUE(find(Read, "gone")->Deleted);
    EXPECT_EQ(find(Read, "z")->Value, 8);
  }
}

TEST_F(StoreEntryTest, EntryWithoutAReadableNameIsLeftOut) {
  for (const char *Odd : {"7", "[]", "{}", R"({"metadata":7})",
                          R"({"metadata":{"name":"x","revision":1e999}})",
                          R"({"metadata":{"name":"x","revision":-1}})",
                          R"({"metadata":{"name":7,"revision":7}})",
                          R"({"metadata":{"name":"\ud800","revision":7}})"}) {
    SCOPED_TRACE(Odd);
    const auto Read = list(std::string(Odd) + "," + object("z", "8"));
    ASSERT_EQ(Read.Status, StoreStatus::Done);
    ASSERT_EQ(Read.Objects.size(), 1U);
    EXPECT_EQ(Read.Objects.front().Name, "z");
  }
}

// Guards against a writer that cannot replace an odd object, since it never
// learns its revision.
TEST_F(StoreEntryTest, ConflictWithAnOddObjectTellsItsRevision) {
  for (const auto &[Name, Value] : oddValues()) {
    SCOPED_TRACE(Name);
    const auto Write = answer<StoreWriteResult>(
        object("odd", Value),
        [](platform::Store &Store, auto Done) {
          Store.write("things", "odd", 5, 1, Done);
        },
        409);
    EXPECT_EQ(Write.Status, StoreStatus::Conflict);
    ASSERT_TRUE(Write.Object);
    EXPECT_EQ(Write.Object->Revision, 7U);
  }
}

TEST_F(StoreEntryTest, BodyThatIsNoListIsNoAnswer) {
  for (const char *Body :
       {"", "7", "[", "{}", R"({"store_revision":9,"items":7})",
        R"({"store_revision":9,"items":[)", R"({"items":[]})",
        R"({"store_revision":9,"items":[]}})"}) {
    SCOPED_TRACE(Body);
    const auto Read =
        answer<StoreChanges>(Body, [](platform::Store &Store, auto Done) {
          Store.list("things", Done);
        });
    EXPECT_EQ(Read.Status, StoreStatus::Unreachable);
  }
}

} // namespace
