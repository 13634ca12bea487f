#include "Common/JsonParts.h"

#include "Common/JsonText.h"

#include <gtest/gtest.h>

#include <string>

using namespace buckthornring;

namespace {

using Json = nlohmann::json;

const JsonParts Named = {.Members = {"a", "b", "list"}, .Depth = 3};

auto kept(const std::string &Text, const JsonParts &Parts = Named) -> Json {
  const auto Read = parseJsonParts(Text, Parts);
  EXPECT_TRUE(Read) << Text;
  return Read ? *Read : Json("not read");
}

TEST(JsonPartsTest, KeepsNamedMembersAtAnyDepth) {
  EXPECT_EQ(kept(R"({"a":1,"x":{"a":2},"b":{"a":"t","x":[3]},"y":4.5})"),
            Json::parse(R"({"a":1,"b":{"a":"t"}})"));
  EXPECT_EQ(kept(R"({"list":[{"x":0,"a":-1},{"b":true},null,1.5]})"),
            Json::parse(R"({"list":[{"a":-1},{"b":true},null,1.5]})"));
  EXPECT_EQ(kept(R"([[1],{"x":[{"a":[]}]},"t"])"),
            Json::parse(R"([[1],{},"t"])"));
  EXPECT_EQ(kept("7"), 7);
}

TEST(JsonPartsTest, DeeperContainerReadsAsNull) {
  EXPECT_EQ(kept(R"({"a":{"a":{"a":{"a":1},"b":[2]}},"b":3})"),
            Json::parse(R"({"a":{"a":{"a":null,"b":null}},"b":3})"));
  EXPECT_EQ(kept(R"({"a":[],"b":{}})", {.Members = {"a"}, .Depth = 1}),
            Json::parse(R"({"a":null})"));
  EXPECT_TRUE(kept(R"({"a":1})", {.Members = {"a"}}).is_null());
  EXPECT_TRUE(kept("7", {}).is_null());
}

// Another type in the place of the one that is read must not go unnoticed.
TEST(JsonPartsTest, LastOfSeveralMembersCounts) {
  EXPECT_EQ(kept(R"({"a":1,"a":[2]})"), Json::parse(R"({"a":[2]})"));
  EXPECT_EQ(kept(R"({"a":1,"a":[2]})", {.Members = {"a"}, .Depth = 1}),
            Json::parse(R"({"a":null})"));
}

TEST(JsonPartsTest, LongStringsAreCutOffBetweenCharacters) {
  const JsonParts Short = {.Members = {"a"}, .Depth = 1, .StringBytes = 4};
  EXPECT_EQ(kept(R"({"a":"12345"})", Short).at("a"), "1234");
  EXPECT_EQ(kept(R"({"a":"1234"})", Short).at("a"), "1234");
  EXPECT_EQ(kept("{\"a\":\"123\u00e4\"}", Short).at("a"), "123");
  EXPECT_EQ(kept("{\"a\":\"\U0001f600\U0001f600\"}", Short).at("a"),
            "\U0001f600");
}

TEST(JsonPartsTest, MoreValuesThanAllowedAreNotRead) {
  const JsonParts Few = {.Members = {"a"}, .Depth = 2, .Values = 4};
  EXPECT_TRUE(parseJsonParts(R"({"a":[1,2],"x":[1,2,3,4,5]})", Few));
  EXPECT_FALSE(parseJsonParts(R"({"a":[1,2,3]})", Few));
  EXPECT_FALSE(parseJsonParts(R"({"a":[{},{},{}]})", Few));
}

// The whole text has to be sound, as for parseJson().
TEST(JsonPartsTest, FailsWhereTheWholeTextCannotBeRead) {
  for (const std::string &Text :
       {std::string(""), std::string("{"), std::string(R"({"x":1e999})"),
        std::string(R"({"x":NaN})"), std::string("{\"x\":\"\xff\"}"),
        std::string(R"({"a":1}})"),
        std::string(MaxJsonDepth + 1, '[') +
            std::string(MaxJsonDepth + 1, ']')}) {
    SCOPED_TRACE(Text);
    EXPECT_FALSE(parseJson(Text));
    EXPECT_FALSE(parseJsonParts(Text, Named));
    EXPECT_FALSE(parseJsonParts(Text, {}));
  }
  const std::string Deepest =
      std::string(MaxJsonDepth, '[') + std::string(MaxJsonDepth, ']');
  EXPECT_TRUE(parseJsonParts(Deepest, Named));
}

} // namespace
