#include "buckthornring/Config/SettingsReader.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace buckthornring;

namespace {

auto errorText(const std::string &Text) -> std::string {
  return settingsErrorText(SettingsReader::read(Text, "a.json").Errors);
}

// Guards against errors that name the wrong line: comments, numbers before a
// line break and nested values must not shift the count.
TEST(SettingsReaderTest, KeepsTheLineOfEachKey) {
  const auto Read = SettingsReader::read("{ // first\n"
                                         "  \"a\": 1,\n"
                                         "  /* two\n lines */\n"
                                         "  \"b\": {\"c\": 2\n"
                                         "  , \"d\": [3\n"
                                         ", {\"e\": 4}]}\n"
                                         "}\n",
                                         "a.json");
  ASSERT_TRUE(Read) << settingsErrorText(Read.Errors);
  const auto Line = [&](const char *Path) {
    return Read.Value->origin(Path).Line;
  };
  EXPECT_EQ(Line("a"), 2U);
  EXPECT_EQ(Line("b"), 5U);
  EXPECT_EQ(Line("b/c"), 5U);
  EXPECT_EQ(Line("b/d"), 6U);
  EXPECT_EQ(Line("b/d/0"), 6U);
  EXPECT_EQ(Line("b/d/1/e"), 7U);
  EXPECT_EQ(Line("b/d/1/e/missing"), 7U);
  EXPECT_EQ(Read.Value->origin("a").File, "a.json");
  EXPECT_EQ(Read.Value->canonicalText(),
            R"({"a":1,"b":{"c":2,"d":[3,{"e":4}]}})");
}

// Guards against the second of two equal keys silently replacing the first.
TEST(SettingsReaderTest, ReportsEveryDuplicateKey) {
  EXPECT_EQ(errorText("{\"a\": 1,\n\"a\": {\"b\": 1},\n\"c\": {\"d\": 1,\n"
                      "\"d\": 2}}"),
            "a.json:2: a: found a duplicate key (first in line 1), allowed: "
            "each key once\n"
            "a.json:4: c/d: found a duplicate key (first in line 3), allowed: "
            "each key once");
}

// Guards against a syntax error reported without its file and line.
TEST(SettingsReaderTest, ReportsSyntaxErrors) {
  EXPECT_EQ(errorText("{\"a\":\n  tru }"),
            "a.json:2: found tru, allowed: JSON with comments");
  EXPECT_EQ(errorText("{\"a\": 1\n"), "a.json:1: found the end of the file, "
                                      "allowed: ',' or '}'");
  EXPECT_EQ(errorText(""), "a.json:1: found the end of the file, allowed: "
                           "'[', '{', or a literal");
}

// Guards against a root that later code cannot use.
TEST(SettingsReaderTest, RootIsAnObject) {
  EXPECT_EQ(errorText("[1]"), "a.json:1: found an array, allowed: an object");
  EXPECT_EQ(errorText("7"), "a.json:1: found 7, allowed: an object");
}

// Guards against deep nesting exhausting the stack.
TEST(SettingsReaderTest, LimitsTheNesting) {
  std::string Deep;
  for (int I = 0; I < 100'000; ++I)
    Deep += "{\"a\":";
  const auto Read = SettingsReader::read(Deep, "a.json");
  ASSERT_EQ(Read.Errors.size(), 1U);
  EXPECT_EQ(Read.Errors[0].Allowed, "at most 32 levels of nesting");
}

} // namespace
