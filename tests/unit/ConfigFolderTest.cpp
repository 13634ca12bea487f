#include "buckthornring/Config/ConfigFolder.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

auto originText(const SettingsDocument &Document, const char *Path)
    -> std::string {
  const auto Origin = Document.origin(Path);
  return Origin.File + ":" + std::to_string(Origin.Line);
}

// Guards against a merge in the order given instead of the order of the names,
// against arrays that are appended, and against origins lost in the merge.
TEST(ConfigFolderTest, MergesInTheOrderOfNames) {
  const auto Merged = ConfigFolder::merge(
      {{"20.json",
        "{\n\"a\": {\n\"x\": 2,\n\"list\": [3]}, \"s\": {\"t\": 1}}"},
       {"10.json", "{\"a\": {\"x\": 1,\n\"y\": 1,\n\"list\": [1,\n2]},\n"
                   "\"s\": [{\"u\": 1}],\n\"b\": true}"}});
  ASSERT_TRUE(Merged) << settingsErrorText(Merged.Errors);
  const auto &Document = *Merged.Value;
  EXPECT_EQ(Document.canonicalText(),
            R"({"a":{"list":[3],"x":2,"y":1},"b":true,"s":{"t":1}})");
  EXPECT_EQ(originText(Document, "a"), "10.json:1");
  EXPECT_EQ(originText(Document, "a/x"), "20.json:3");
  EXPECT_EQ(originText(Document, "a/y"), "10.json:2");
  EXPECT_EQ(originText(Document, "a/list"), "20.json:4");
  EXPECT_EQ(originText(Document, "a/list/0"), "20.json:4");
  EXPECT_EQ(originText(Document, "a/list/1"), "20.json:4");
  EXPECT_EQ(originText(Document, "s/t"), "20.json:4");
  EXPECT_EQ(Document.origins().count("a/list/1"), 0U);
  EXPECT_EQ(Document.origins().count("s/0/u"), 0U);
  EXPECT_EQ(originText(Document, "b"), "10.json:6");
}

// Guards against a merge that stops at the first faulty file.
TEST(ConfigFolderTest, ReportsTheErrorsOfAllFiles) {
  const auto Merged = ConfigFolder::merge(
      {{"1.json", "{\"a\": 1, \"a\": 2}"}, {"2.json", "[]"}, {"2.json", "{}"}});
  EXPECT_EQ(settingsErrorText(Merged.Errors),
            "1.json:1: a: found a duplicate key (first in line 1), allowed: "
            "each key once\n"
            "2.json:1: found an array, allowed: an object\n"
            "2.json: found a duplicate file name, allowed: each name once");
}

// Guards against an empty folder that reads as an empty configuration.
TEST(ConfigFolderTest, RequiresAtLeastOneFile) {
  EXPECT_EQ(settingsErrorText(ConfigFolder::merge({}).Errors),
            "configuration: found no files, allowed: *.json files");
}

} // namespace
