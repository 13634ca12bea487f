#include "Fleet.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace buckthornring::test;

namespace {

// Guards against a key that is served only by the instances of its home data
// centre, and against instances that contact targets of other data centres.
TEST(DataCentreTest, KeysHomedElsewhereAreServedThroughEachInstance) {
  FleetOptions Options;
  Options.DataCentres = {"a", "b"};
  Options.InstancesPerDataCentre = 2;
  Options.TargetsPerDataCentre = 2;
  Options.Services = {"content"};
  Fleet Running(Options);
  ASSERT_TRUE(Running.waitUntilServing());
  std::map<std::string, int> Served;
  for (int Key = 0; Key < 40; ++Key) {
    const auto Path = "/content/key-" + std::to_string(Key);
    const auto Owner = Running.servedBy(0, Path);
    ASSERT_FALSE(Owner.empty()) << Path;
    EXPECT_EQ(Running.servedBy(3, Path), Owner) << Path;
    ++Served[Running.Targets.at(Owner).DataCentre];
  }
  EXPECT_GT(Served["a"], 0);
  EXPECT_GT(Served["b"], 0);
  Running.expectOwnershipKept();
}

} // namespace
