#include "Caller.h"
#include "ChildProcess.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

class CommandDaemonTest : public testing::Test {
protected:
  CommandDaemonTest() : Address(Platform.waitForLine("listening ")) {}

  auto run(std::vector<std::string> Arguments) -> Caller::Json {
    Arguments.insert(Arguments.end(), {"--json", "--platform", Address});
    ChildProcess Command("buckthornring", std::move(Arguments));
    std::string Text;
    while (const auto Line = Command.readLine(10s))
      Text += *Line + "\n";
    return Caller::Json::parse(Text, nullptr, false);
  }

  /// Writes the settings of one instance and returns their path.
  auto writeSettings() const -> std::string {
    auto Path = testing::TempDir() + "btr-daemon-" +
                Address.substr(Address.rfind(':') + 1) + ".json";
    const std::string AnyPort = "127.0.0.1:0";
    std::ofstream(Path) << Caller::Json{
        {"instance", "i1"},           {"data_centre", "dc1"},
        {"failure_domain", "r1"},     {"caller_address", AnyPort},
        {"admin_address", AnyPort},   {"link_address", AnyPort},
        {"platform_address", Address}};
    return Path;
  }

  ChildProcess Platform{"standin_platform", {"--max-seconds", "100"}};
  std::string Address;
};

auto addressOf(const std::string &Line, const std::string &Name)
    -> std::string {
  const auto Start = Line.find(Name + "=") + Name.size() + 1;
  return Line.substr(Start, Line.find(' ', Start) - Start);
}

// Guards against a daemon that reads the accepted configuration differently
// from the command that writes it: a withdrawn key must be refused as such
// once status reports its generation in force, and the why command must
// count it.
TEST_F(CommandDaemonTest, WithdrawnKeyIsRefusedOnceInForce) {
  const auto Path = writeSettings();
  ChildProcess Daemon("buckthornringd", {"--settings", Path});
  const auto Line = Daemon.waitForLine("listening ");
  std::remove(Path.c_str());
  const auto Admin = addressOf(Line, "admin");
  const auto Folder = std::string(BTR_SOURCE_DIR) + "/tests/golden/command/";
  EXPECT_EQ(run({"apply", Folder + "valid"})["result"], "applied");
  EXPECT_EQ(run({"status", "--admin", Admin, "--wait-ms", "5000"})["result"],
            "in-force");
  EXPECT_EQ(run({"withdraw-key", "acme-1"})["generation"], 2);
  EXPECT_EQ(run({"status", "--admin", Admin, "--wait-ms", "5000"})["result"],
            "in-force");
  Caller Client;
  // The digest in the configuration is that of "abc".
  const auto Refused = Client.get(addressOf(Line, "caller"), "/stock/1",
                                  {{"X-Caller-Key", "abc"}});
  EXPECT_EQ(Refused.Response.Status, 401U);
  EXPECT_EQ(Refused.Response.Headers.find("Btr-Refusal"),
            "withdrawn-caller-key");
  const auto WhyOutput = run({"why", "--admin", Admin});
  ASSERT_EQ(WhyOutput["reasons"].size(), 1U) << WhyOutput;
  EXPECT_EQ(WhyOutput["reasons"][0]["reason"], "withdrawn-caller-key");
  EXPECT_EQ(WhyOutput["reasons"][0]["count"], 1);
}

} // namespace
