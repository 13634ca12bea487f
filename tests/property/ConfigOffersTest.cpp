#include "buckthornring/Common/Random.h"
#include "buckthornring/Config/ConfigStore.h"

#include "Seeds.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace buckthornring;

namespace {

// Guards against any order, repetition or source of offers that lowers the
// generation in force or leaves a lower one than was offered.
TEST(ConfigOffersTest, GenerationNeverFalls) {
  test::forEachSeed("ConfigOffersTest.*", 300, [](std::uint64_t Seed) {
    RandomSource Random(Seed);
    ConfigStore Store;
    std::uint64_t Highest = 0;
    for (int I = 0; I < 100; ++I) {
      auto Offered = std::make_shared<Configuration>();
      Offered->Generation = 1 + Random.below(40);
      const auto Before = Store.generation();
      const auto Result =
          Store.offer(Offered, std::to_string(Offered->Generation),
                      static_cast<ConfigSource>(Random.below(3)));
      Highest = std::max(Highest, Offered->Generation);
      ASSERT_GE(Store.generation(), Before);
      ASSERT_EQ(Store.generation(), Highest);
      ASSERT_EQ(Store.digest(), std::to_string(Highest));
      ASSERT_EQ(Result == ConfigOfferResult::Accepted,
                Offered->Generation > Before);
    }
  });
}

} // namespace
