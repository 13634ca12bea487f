#include "support/GatewayFixture.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace buckthornring::test;

namespace {

auto service(GatewayFixture &Fixture, const std::string &Name)
    -> nlohmann::json {
  const auto Said =
      nlohmann::json::parse(Fixture.askAsPeer("/status"), nullptr, false);
  if (Said.is_object() && Said.contains("services"))
    for (const auto &Each : Said["services"])
      if (Each.at("service") == Name)
        return Each;
  return nlohmann::json::object();
}

// Guards against a status that counts an unreachable target as room, or misses
// requests that wait and keys without an owner.
TEST(StatusReportTest, ShowsTargetsWaitingRequestsAndKeysWithoutOwner) {
  ScriptedTarget Reached(GatewayFixture::answering());
  ScriptedTarget Crashed(GatewayFixture::answering());
  GatewayFixture Fixture;
  EXPECT_NE(Fixture.askAsPeer("/status").find("no configuration yet"),
            std::string::npos);
  Fixture.addTarget("pay", "p1", Reached);
  Fixture.addTarget("pay", "p2", Crashed);
  Crashed.crash();
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  nlohmann::json Pay;
  ASSERT_TRUE(eventually([&] {
    Fixture.exchange("GET", "/safe/1");
    Pay = service(Fixture, "pay");
    return Pay["targets"].value("unreachable", 0) == 1;
  }));
  EXPECT_EQ(Pay["divided"], false);
  EXPECT_EQ(Pay["targets"]["all"], 2);
  EXPECT_EQ(Pay["targets"]["taking_requests"], 1);
  EXPECT_GT(Pay["room"]["slots"], 0);
  EXPECT_TRUE(Pay["waiting"].empty());
  EXPECT_TRUE(eventually([&] {
    Fixture.exchange("GET", "/safe/1");
    return service(Fixture, "pay")["recent"].value("requests", 0) > 0;
  }));

  // The divided service has no target.
  RawCaller Caller = Fixture.connect();
  Caller.send(
      GatewayFixture::request("GET", "/owned/1", "w1", "Shard-Key: 7\r\n"));
  nlohmann::json Stock;
  ASSERT_TRUE(eventually([&] {
    Stock = service(Fixture, "stock");
    return Stock["waiting"].size() == 1;
  }));
  EXPECT_EQ(Stock["divided"], true);
  EXPECT_EQ(Stock["waiting"][0].value("requests", 0), 1) << Stock.dump(1);
  EXPECT_EQ(Stock["without_owner"]["keys"], 65536);
  EXPECT_EQ(Stock["without_owner"]["ranges"], 1);
}

} // namespace
