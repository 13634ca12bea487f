#include "ChildProcess.h"

#include <gtest/gtest.h>

using namespace buckthornring::test;

namespace {

// Guards against examples that no longer match the configuration format.
TEST(ExampleTest, ExampleConfigurationsAreValid) {
  for (const std::string Name : {"consortium", "quetzal"}) {
    ChildProcess Command("buckthornring",
                         {"check", BTR_SOURCE_DIR "/examples/" + Name});
    Command.waitForLine("valid: ");
    EXPECT_EQ(Command.waitForEnd(std::chrono::seconds(10)), 0) << Name;
  }
}

} // namespace
