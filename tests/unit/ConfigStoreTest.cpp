#include "buckthornring/Config/ConfigStore.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

auto config(std::uint64_t Generation) -> std::shared_ptr<const Configuration> {
  auto Out = std::make_shared<Configuration>();
  Out->Generation = Generation;
  return Out;
}

// Guards against a lower generation coming into force from any source.
TEST(ConfigStoreTest, HighestGenerationWins) {
  ConfigStore Store;
  EXPECT_EQ(Store.generation(), 0U);
  EXPECT_EQ(Store.offer(config(5), "five", ConfigSource::Peer),
            ConfigOfferResult::Accepted);
  for (const auto Source :
       {ConfigSource::Platform, ConfigSource::Peer, ConfigSource::Restart})
    EXPECT_EQ(Store.offer(config(4), "four", Source),
              ConfigOfferResult::RefusedLower);
  EXPECT_EQ(Store.offer(config(5), "five", ConfigSource::Platform),
            ConfigOfferResult::AlreadyInForce);
  EXPECT_EQ(Store.generation(), 5U);
  EXPECT_EQ(Store.source(), ConfigSource::Peer);
  EXPECT_EQ(Store.offer(config(9), "nine", ConfigSource::Platform),
            ConfigOfferResult::Accepted);
  EXPECT_EQ(Store.generation(), 9U);
  EXPECT_EQ(Store.digest(), "nine");
}

// Guards against instances that run different contents of one generation
// without a report.
TEST(ConfigStoreTest, ReportsAnotherContentOfTheSameGeneration) {
  ConfigStore Store;
  (void)Store.offer(config(5), "five", ConfigSource::Platform);
  EXPECT_EQ(Store.offer(config(5), "other", ConfigSource::Peer),
            ConfigOfferResult::RefusedConflict);
  EXPECT_EQ(Store.digest(), "five");
}

// Guards against a configuration that was never accepted at the platform.
TEST(ConfigStoreTest, RejectsAnOfferWithoutAGeneration) {
  ConfigStore Store;
  EXPECT_DEATH((void)Store.offer(config(0), "zero", ConfigSource::Peer),
               "an offered configuration has a generation");
}

} // namespace
