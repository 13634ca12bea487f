#include "Fleet.h"
#include "Traffic.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

using namespace buckthornring;
using namespace buckthornring::test;

namespace {

// Guards against a key that only the instances of its home data centre serve,
// and against instances that contact targets of other data centres.
TEST(DataCentreTest, KeysHomedElsewhereAreServedThroughEachInstance) {
  FleetOptions Options;
  Options.DataCentres = {"a", "b"};
  Options.InstancesPerDataCentre = 2;
  Options.TargetsPerDataCentre = 2;
  Options.Services = {"content"};
  Fleet TestFleet(Options);
  ASSERT_TRUE(TestFleet.waitUntilServing());
  std::map<std::string, int> Served;
  for (int Key = 0; Key < 40; ++Key) {
    const auto Path = "/content/key-" + std::to_string(Key);
    const auto Owner = TestFleet.servedBy(0, Path);
    ASSERT_FALSE(Owner.empty()) << Path;
    EXPECT_EQ(TestFleet.servedBy(3, Path), Owner) << Path;
    ++Served[TestFleet.Targets.at(Owner).DataCentre];
  }
  EXPECT_GT(Served["a"], 0);
  EXPECT_GT(Served["b"], 0);
  TestFleet.expectRunInvariants();
}

// Guards against a data centre that starts without a share of a workspace's
// rate because another data centre changes the shares as often as it reads
// them.
TEST(DataCentreTest, EachDataCentreGetsItsRateSoonAfterTheStart) {
  FleetOptions Options;
  Options.DataCentres = {"a", "b"};
  Options.InstancesPerDataCentre = 2;
  Options.Services = {"orders"};
  Fleet TestFleet(Options);
  const auto First = TestFleet.Instances[0].CallerAddress;
  std::atomic<int> Level = 0;
  // Varying demand makes the first data centre write its share often.
  Traffic Load(4, [&](std::size_t Number) {
    if (++Level % 100 < 50)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    HttpRequest Request{"GET",
                        "/orders/" + std::to_string(Number),
                        {{"X-Caller-Key", "key-one"}},
                        {}};
    return std::pair(First, Request);
  });
  const auto Started = std::chrono::steady_clock::now();
  EXPECT_TRUE(TestFleet.waitUntilServing());
  EXPECT_LE(std::chrono::steady_clock::now() - Started,
            std::chrono::seconds(4));
}

} // namespace
