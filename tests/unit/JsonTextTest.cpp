#include "Common/JsonText.h"

#include <gtest/gtest.h>

#include <string>

using namespace buckthornring;

namespace {

// Guards against an exception in a handler of the event loop, which ends the
// process, when a text from outside is written.
TEST(JsonTextTest, TextThatIsNotUtf8IsWrittenWithReplacements) {
  const nlohmann::json Value = {{"name", "a\xff"}};
  EXPECT_EQ(writeJson(Value), "{\"name\":\"a\xef\xbf\xbd\"}");
  EXPECT_TRUE(parseJson(writeJson(Value)));
}

// Guards against log lines of the size of an object in the store: the messages
// of the parser quote the text.
TEST(JsonTextTest, ReasonsOfParseErrorsAreShort) {
  const auto Read = parseJson("\"" + std::string(100'000, 'x'));
  ASSERT_FALSE(Read);
  EXPECT_LT(Read.error().message().size(), 300U);
}

TEST(JsonTextTest, CborTextThatIsNotUtf8IsRejected) {
  const auto Encoded = [](const std::string &Text) {
    std::string Bytes;
    nlohmann::json::to_cbor(nlohmann::json::array({Text}), Bytes);
    return Bytes;
  };
  EXPECT_TRUE(parseCbor(Encoded("plain")));
  EXPECT_TRUE(parseCbor(Encoded("caf\xc3\xa9")));
  EXPECT_FALSE(parseCbor(Encoded("caf\xe9")));
  EXPECT_FALSE(parseCbor(Encoded("\xed\xa0\x80")));
}

} // namespace
