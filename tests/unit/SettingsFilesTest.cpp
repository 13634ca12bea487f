#include "buckthornring/IO/SettingsFiles.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace buckthornring;

namespace {

namespace fs = std::filesystem;

class SettingsFilesTest : public testing::Test {
protected:
  SettingsFilesTest() { fs::create_directories(Folder); }
  ~SettingsFilesTest() override { fs::remove_all(Folder); }

  auto write(const std::string &Name, const std::string &Text) -> void {
    std::ofstream(Folder / Name) << Text;
  }

  fs::path Folder = fs::temp_directory_path() /
                    ("btr-settings-" + std::to_string(::getpid()));
};

// Guards against merging editors' backup copies and hidden files.
TEST_F(SettingsFilesTest, ReadsOnlyVisibleJsonFilesInOrder) {
  write("b.json", "{\"x\": 2}");
  write("a.json", "{\"x\": 1}");
  write("a.json~", "{");
  write(".c.json", "{");
  write("README.md", "text");
  fs::create_directory(Folder / "d.json.d");
  const auto Files = readSettingsFiles(Folder.string());
  ASSERT_TRUE(Files) << settingsErrorText(Files.Errors);
  ASSERT_EQ(Files.Value->size(), 2U);
  EXPECT_EQ((*Files.Value)[0].Name, (Folder / "a.json").string());
  EXPECT_EQ(readConfigFolder(Folder.string()).Value->canonicalText(),
            "{\"x\":2}");
  EXPECT_EQ(
      readConfigFolder((Folder / "a.json").string()).Value->canonicalText(),
      "{\"x\":1}");
}

// Guards against reading an empty or missing folder as empty settings, and
// against accepting a file larger than the platform stores.
TEST_F(SettingsFilesTest, ReportsUnreadablePaths) {
  EXPECT_EQ(settingsErrorText(readSettingsFiles(Folder.string()).Errors),
            Folder.string() +
                ": found no *.json file, allowed: a folder with *.json files");
  EXPECT_EQ(
      settingsErrorText(readSettingsFiles((Folder / "x").string()).Errors),
      (Folder / "x").string() +
          ": found No such file or directory, allowed: a readable file");
  write("a.json", std::string(1'000'001, ' '));
  fs::create_directory(Folder / "b.json");
  const auto Files = readSettingsFiles(Folder.string());
  ASSERT_EQ(Files.Errors.size(), 2U) << settingsErrorText(Files.Errors);
  EXPECT_EQ(Files.Errors[0].Found, "1000001 bytes");
}

} // namespace
