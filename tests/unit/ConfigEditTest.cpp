#include "buckthornring/Config/ConfigEdit.h"
#include "buckthornring/Config/ConfigDiff.h"
#include "buckthornring/Config/SettingsReader.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

auto read(const std::string &Text) -> SettingsDocument {
  return SettingsReader::read(Text, "c.json").Value.value();
}

const char *const Base = R"({
  "caller_keys": {"k": {"digest": "d1"}},
  "data_centres": {"dc1": {}, "dc2": {"state": "taken-out"}},
  "services": {"s": {"targets": {"t": {"address": "a"}}}}})";

// Guards against a withdrawal that changes anything else, or is not
// recognised as being in force already.
TEST(ConfigEditTest, WithdrawsAKey) {
  const auto Once = ConfigEdit::withdrawKey(read(Base), "k");
  ASSERT_TRUE(Once);
  const auto Changes = configDiff(read(Base), *Once);
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].Key, "caller_keys/k/withdrawn");
  EXPECT_EQ(Changes[0].After, "true");
  const auto Twice = ConfigEdit::withdrawKey(*Once, "k");
  EXPECT_EQ(Twice->canonicalText(), Once->canonicalText());
}

// Guards against a take-out that leaves a confirmed loss behind when the data
// centre or target returns: its slices would move without release.
TEST(ConfigEditTest, BringBackUndoesTakeOut) {
  for (const char *Name : {"dc1", "s/t"}) {
    const auto Out = ConfigEdit::takeOut(read(Base), Name, true);
    ASSERT_TRUE(Out);
    EXPECT_EQ(configDiff(read(Base), *Out).size(), 2U);
    const auto Back = ConfigEdit::bringBack(*Out, Name);
    ASSERT_TRUE(Back);
    EXPECT_EQ(Back->canonicalText(), read(Base).canonicalText());
  }
}

// Guards against a mistyped name that creates a new entry.
TEST(ConfigEditTest, NamesMustExist) {
  EXPECT_EQ(ConfigEdit::withdrawKey(read(Base), "x").error().message(),
            "there is no caller key x; defined: k");
  EXPECT_EQ(ConfigEdit::takeOut(read(Base), "dc3", false).error().message(),
            "there is no data centre dc3; defined: dc1, dc2");
  EXPECT_EQ(ConfigEdit::takeOut(read(Base), "x/t", false).error().message(),
            "there is no service x; defined: s");
  EXPECT_EQ(ConfigEdit::bringBack(read(Base), "s/x").error().message(),
            "there is no target s/x; defined: t");
  EXPECT_FALSE(ConfigEdit::takeOut(read("{}"), "s/x", false));
}

// Guards against an old folder that grants a withdrawn key again, also under
// another name, or returns what was taken out.
TEST(ConfigEditTest, FindsReversals) {
  const auto Current = read(R"({
    "caller_keys": {"k": {"digest": "d1", "withdrawn": true}},
    "data_centres": {"dc1": {}, "dc2": {"state": "taken-out"}},
    "services": {"s": {"targets": {"t": {"state": "taken-out"}}}}})");
  const auto Next =
      read("{\n\"caller_keys\": {\"other\": {\"digest\": \"d1\"}},"
           "\n\"data_centres\": {\"dc1\": {}, \"dc2\": {}},\n"
           "\"services\": {\"s\": {\"targets\": {\"t\": {}}}}}");
  EXPECT_EQ(settingsErrorText(ConfigEdit::reversals(Current, Next)),
            "c.json:2: caller_keys/other/withdrawn: found a granted key, "
            "allowed: true, as in the accepted configuration\n"
            "c.json:3: data_centres/dc2/state: found in-service, allowed: "
            "\"taken-out\", as in the accepted configuration\n"
            "c.json:4: services/s/targets/t/state: found in-service, allowed: "
            "\"taken-out\", as in the accepted configuration");
  EXPECT_TRUE(ConfigEdit::reversals(Current, Current).empty());
  EXPECT_TRUE(ConfigEdit::reversals(Current, read("{}")).empty());
}

// Guards against differences that are missed or shown at the wrong key.
TEST(ConfigDiffTest, ShowsEachDifferingKey) {
  const auto Found = configDiff(read(R"({"a": {"x": 1, "y": [1]}, "b": 1})"),
                                read(R"({"a": {"x": 1, "y": [2]}, "c": {}})"));
  ASSERT_EQ(Found.size(), 3U);
  EXPECT_EQ(Found[0].Key, "a/y");
  EXPECT_EQ(Found[0].Before, "[1]");
  EXPECT_EQ(Found[0].After, "[2]");
  EXPECT_EQ(Found[1].Key, "b");
  EXPECT_FALSE(Found[1].After.has_value());
  EXPECT_EQ(Found[2].Key, "c");
  EXPECT_FALSE(Found[2].Before.has_value());
}

} // namespace
