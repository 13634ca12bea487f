#include "support/GatewayFixture.h"
#include "support/ShellCommand.h"

#include <gtest/gtest.h>

using namespace buckthornring::test;

namespace {

/// Output of the command and its exit status.
auto status(const std::string &Options) -> ShellResult {
  return runShell(std::string("'") + BTR_BINARY_DIR +
                  "/buckthornring' status " + Options + " 2>&1");
}

// Guards against a command that cannot read the status of an instance, or hides
// that the instance does not answer.
TEST(InstanceStatusCommandTest, ShowsTheServicesOfAnInstance) {
  ScriptedTarget Target(GatewayFixture::answering());
  std::string Address;
  {
    GatewayFixture Fixture;
    Address = Fixture.peerAddress();
    Fixture.addTarget("pay", "p1", Target);
    Fixture.configure(1);
    ASSERT_TRUE(Fixture.waitUntilServing());
    const auto [Text, Done] = status("--instance " + Address);
    EXPECT_EQ(Done, 0) << Text;
    EXPECT_NE(Text.find("service: pay\n  targets: 1, 1 taking requests"),
              std::string::npos)
        << Text;
    EXPECT_NE(Text.find("service: stock, divided\n  targets: 0, 0 taking"),
              std::string::npos)
        << Text;
    EXPECT_NE(
        Text.find("waiting: none\n  ranges without an owner: 1, keys: 65536"),
        std::string::npos)
        << Text;
    const auto [Json, Same] = status("--json --instance " + Address);
    EXPECT_EQ(Same, 0) << Json;
    EXPECT_NE(Json.find("\"short_of_room\": false"), std::string::npos) << Json;
  }
  const auto [Text, Unreachable] = status("--instance " + Address);
  EXPECT_EQ(Unreachable, 4) << Text;
  EXPECT_TRUE(Text.starts_with("unreachable: no answer from " + Address))
      << Text;
}

} // namespace
