#include "support/GatewayFixture.h"

#include <gtest/gtest.h>

#include <memory>
#include <stdexcept>
#include <string>

using namespace buckthornring;
using namespace buckthornring::test;

namespace {

// Guards against an exception in a handler that ends the process without a line
// in its log.
TEST(GatewayEndTest, ExceptionInAHandlerIsLoggedAndEndsTheInstance) {
  const auto Contents = std::make_shared<StoreContents>();
  Contents->set("servers", "p1", {});
  PlatformProtocol Protocol = GatewayFixture::protocol();
  Protocol.Kinds.ReadTarget = [](const StoredObject &) -> Result<TargetRecord> {
    throw std::length_error("no room");
  };
  const auto Created = Gateway::create(
      GatewayFixture::settings(), Protocol,
      [&](boost::asio::io_context &Context,
          const std::string &) -> Result<std::unique_ptr<ObjectStore>> {
        return std::unique_ptr<ObjectStore>(
            std::make_unique<FakeObjectStore>(Context, Contents));
      });
  ASSERT_TRUE(Created);
  testing::internal::CaptureStdout();
  const bool Stopped = Created.value()->run();
  const std::string Log = testing::internal::GetCapturedStdout();
  EXPECT_FALSE(Stopped);
  EXPECT_NE(Log.find("\"event\":\"handler-failed\",\"type\":"
                     "\"std::length_error\",\"reason\":\"no room\""),
            std::string::npos)
      << Log;
}

} // namespace
