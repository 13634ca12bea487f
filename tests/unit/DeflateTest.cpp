#include "IO/Deflate.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

TEST(DeflateTest, InflatingRestoresTheText) {
  for (const std::size_t Size : {std::size_t{0}, std::size_t{1},
                                 std::size_t{1000}, std::size_t{1'000'000}}) {
    const std::string Text(Size, 'x');
    const auto Restored = inflateText(deflateText(Text), 2'000'000);
    ASSERT_TRUE(Restored) << Size;
    EXPECT_EQ(*Restored, Text);
  }
}

// Guards against a short response that stands for more than the memory of the
// machine.
TEST(DeflateTest, TextAboveTheLimitIsRefused) {
  const std::string Bytes = deflateText(std::string(1'000'000, 'x'));
  EXPECT_LT(Bytes.size(), 20'000U);
  EXPECT_FALSE(inflateText(Bytes, 999'999));
  EXPECT_TRUE(inflateText(Bytes, 1'000'000));
}

TEST(DeflateTest, MalformedOrTruncatedBytesAreRefused) {
  const std::string Bytes = deflateText(std::string(1000, 'x') + "end");
  EXPECT_FALSE(inflateText("no compressed text", 1000));
  EXPECT_FALSE(inflateText(Bytes.substr(0, Bytes.size() / 2), 10'000));
  EXPECT_FALSE(inflateText("", 1000));
}

} // namespace
