#include "buckthornring/Common/Result.h"
#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Random.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

enum class Colour { Red, Green };
constexpr EnumNames<Colour, 2> ColourNames({"red", "green"});

// Guards against a failed result being read as if it held a value.
TEST(ResultTest, ReadingAFailedResultStopsTheProcess) {
  Result<int> Failed = Error("no value");
  EXPECT_FALSE(Failed.hasValue());
  EXPECT_EQ(Failed.error().message(), "no value");
  EXPECT_DEATH((void)Failed.value(), "result holds a value");
}

// Guards against a name table that does not match its enum.
TEST(EnumNamesTest, NamesRoundTrip) {
  EXPECT_EQ(ColourNames.name(Colour::Green), "green");
  EXPECT_EQ(ColourNames.parse("red"), Colour::Red);
  EXPECT_FALSE(ColourNames.parse("blue").has_value());
}

// Guards against a generator whose runs cannot be replayed by seed.
TEST(RandomSourceTest, SameSeedGivesSameSequence) {
  RandomSource First(7);
  RandomSource Second(7);
  for (int I = 0; I < 100; ++I)
    EXPECT_EQ(First.next(), Second.next());
}

} // namespace
