#include "buckthornring/Config/ConfigRecord.h"
#include "buckthornring/Config/SettingsReader.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

auto content(const std::string &Text) -> SettingsDocument {
  return SettingsReader::read(Text, "c.json").Value.value();
}

// Guards against a record that other instances read differently.
TEST(ConfigRecordTest, RoundTrips) {
  const auto First = ConfigRecord::next(nullptr, content("{\"b\":1}"), "u1");
  ASSERT_TRUE(First);
  EXPECT_EQ(First->generation(), 1U);
  const auto Second =
      ConfigRecord::next(&*First, content("{\"b\":2,\"a\":1}"), "u2");
  ASSERT_TRUE(Second);
  const auto Read = ConfigRecord::parse(Second->text());
  ASSERT_TRUE(Read) << Read.error().message();
  EXPECT_EQ(Read->generation(), 2U);
  EXPECT_EQ(Read->digest(), Second->digest());
  EXPECT_EQ(Read->content().canonicalText(), R"({"a":1,"b":2})");
  EXPECT_EQ(Read->updateId(), "u2");
  EXPECT_EQ(Read->baseGeneration(), 1U);
  EXPECT_TRUE(Read->hasUpdate("u1"));
  EXPECT_TRUE(Read->hasUpdate("u2"));
  EXPECT_FALSE(Read->hasUpdate("u3"));
  EXPECT_EQ(First->baseGeneration(), 0U);
  EXPECT_TRUE(Read->reachesBackTo(0));
}

// Guards against a content that was changed without its digest.
TEST(ConfigRecordTest, ChecksTheDigest) {
  const auto Record = ConfigRecord::next(nullptr, content("{\"b\":1}"), "u1");
  auto Text = Record->text();
  Text.replace(Text.find("\"b\":1"), 5, "\"b\":2");
  const auto Read = ConfigRecord::parse(Text);
  ASSERT_FALSE(Read);
  EXPECT_EQ(Read.error().message(),
            "config/current: the digest does not match the content");
}

// Guards against malformed records that end in an exception.
TEST(ConfigRecordTest, RefusesMalformedRecords) {
  for (const char *Text :
       {"", "[]", "{}", R"({"generation":"1"})",
        R"({"generation":1,"digest":"x","content":{},"history":[[1]]})",
        R"({"generation":1,"digest":"x","content":{},"history":[]})",
        R"({"generation":2,"digest":"x","content":{},"history":[[1,"u"]]})"})
    EXPECT_FALSE(ConfigRecord::parse(Text)) << Text;
}

// Guards against a history that grows without bound.
TEST(ConfigRecordTest, BoundsTheHistory) {
  auto Record = ConfigRecord::next(nullptr, content("{}"), "u1").value();
  for (int I = 2; I <= 100; ++I)
    Record = ConfigRecord::next(&Record, content("{}"), "u" + std::to_string(I))
                 .value();
  EXPECT_EQ(Record.generation(), 100U);
  EXPECT_TRUE(Record.hasUpdate("u69"));
  EXPECT_FALSE(Record.hasUpdate("u68"));
  EXPECT_TRUE(Record.reachesBackTo(69));
  EXPECT_FALSE(Record.reachesBackTo(68));
}

// Guards against a platform restored from a backup whose configuration stays
// below the generation that instances have in force.
TEST(ConfigRecordTest, GenerationCanBeRaised) {
  const auto First = ConfigRecord::next(nullptr, content("{}"), "u1", 40);
  EXPECT_EQ(First->generation(), 40U);
  EXPECT_EQ(ConfigRecord::next(&*First, content("{}"), "u2", 7)->generation(),
            41U);
  EXPECT_EQ(ConfigRecord::next(&*First, content("{}"), "u2", 50)->generation(),
            50U);
}

// Guards against a value that the platform refuses only after the write.
TEST(ConfigRecordTest, BoundsTheSize) {
  const auto Large = content("{\"a\":\"" + std::string(1'000'000, 'x') + "\"}");
  const auto Record = ConfigRecord::next(nullptr, Large, "u1");
  ASSERT_FALSE(Record);
  EXPECT_NE(Record.error().message().find("at most 1000000"),
            std::string::npos);
}

} // namespace
