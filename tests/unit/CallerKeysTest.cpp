#include "buckthornring/Config/CallerKeys.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

// Guards against a digest that other tools compute differently (the value is
// the SHA-256 test vector for "abc" of FIPS 180-2).
TEST(CallerKeysTest, DigestIsSha256) {
  EXPECT_EQ(CallerKeys::hex(CallerKeys::digest("abc")),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a withdrawn key passing, and against an unknown key being
// reported as withdrawn.
TEST(CallerKeysTest, FindsGrantedAndWithdrawnKeys) {
  Configuration Config;
  Config.CallerKeys["one"] = {CallerKeys::hex(CallerKeys::digest("secret-1")),
                              WorkspaceId("acme"), false};
  Config.CallerKeys["two"] = {CallerKeys::hex(CallerKeys::digest("secret-2")),
                              WorkspaceId("bolt"), true};
  const CallerKeys Keys(Config);
  ASSERT_NE(Keys.find("secret-1"), nullptr);
  EXPECT_EQ(Keys.find("secret-1")->Workspace.str(), "acme");
  EXPECT_FALSE(Keys.find("secret-1")->Withdrawn);
  ASSERT_NE(Keys.find("secret-2"), nullptr);
  EXPECT_TRUE(Keys.find("secret-2")->Withdrawn);
  EXPECT_EQ(Keys.find("secret-3"), nullptr);
  EXPECT_EQ(Keys.find(""), nullptr);
}

// Guards against a malformed digest that is read as another one.
TEST(CallerKeysTest, RejectsMalformedDigests) {
  const auto Digest = CallerKeys::digest("x");
  const auto Text = CallerKeys::hex(Digest);
  EXPECT_EQ(CallerKeys::parseHex(Text), Digest);
  EXPECT_FALSE(CallerKeys::parseHex(Text.substr(1)).has_value());
  EXPECT_FALSE(CallerKeys::parseHex(Text + "0").has_value());
  EXPECT_FALSE(CallerKeys::parseHex("-1" + Text.substr(2)).has_value());
  EXPECT_FALSE(CallerKeys::parseHex("g0" + Text.substr(2)).has_value());
}

} // namespace
