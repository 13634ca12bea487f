#include "support/GatewayFixture.h"
#include "support/ShellCommand.h"

#include <gtest/gtest.h>

using namespace buckthornring::test;

namespace {

/// Output of the command and its exit status.
auto where(const GatewayFixture &Fixture, const std::string &Options)
    -> ShellResult {
  return runShell(std::string("'") + BTR_BINARY_DIR +
                  "/buckthornring' where --instance " + Fixture.peerAddress() +
                  " --host h " + Options + " 2>&1");
}

// Guards against a command that cannot read the answers of an instance.
TEST(WhereCommandTest, ShowsTheAnswerOfAnInstance) {
  ScriptedTarget Target(GatewayFixture::answering());
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "p1", Target);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  const auto [Sent, Done] =
      where(Fixture, "--path '/safe/a b?c&d' --caller-key secret");
  EXPECT_EQ(Done, 0) << Sent;
  EXPECT_NE(Sent.find("workspace: acme"), std::string::npos) << Sent;
  EXPECT_NE(Sent.find("decision: send to p1"), std::string::npos) << Sent;
  EXPECT_NE(Sent.find("candidates: 1\n  p1 in dc1"), std::string::npos) << Sent;
  // The divided service has no target.
  const auto [Waiting, Different] =
      where(Fixture, "--path /owned/1 --workspace acme --key 7");
  EXPECT_EQ(Different, 7) << Waiting;
  EXPECT_NE(Waiting.find("owner of key 7: none"), std::string::npos) << Waiting;
  const auto [Unknown, Invalid] = where(Fixture, "--path /none/1");
  EXPECT_EQ(Invalid, 1) << Unknown;
  EXPECT_EQ(Unknown, "invalid: no route matches host h and path /none/1\n");
}

} // namespace
