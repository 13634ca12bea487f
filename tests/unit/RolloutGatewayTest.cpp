#include "support/GatewayFixture.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <array>

namespace buckthornring::test {
namespace {

using Json = nlohmann::json;

/// One instance and the service "pay" with two targets of each version.
class RolloutGatewayTest : public testing::Test {
protected:
  explicit RolloutGatewayTest(int NewStatus = 200)
      : New{{ScriptedTarget(GatewayFixture::answering("new", "", NewStatus)),
             ScriptedTarget(GatewayFixture::answering("new", "", NewStatus))}} {
    for (std::size_t Index = 0; Index < Old.size(); ++Index)
      addTarget("old" + std::to_string(Index), "v1", Old.at(Index));
    Gateway.configure(1);
  }

  auto addTarget(const std::string &Name, const std::string &Version,
                 const ScriptedTarget &Target,
                 const std::string &Service = "pay") -> void {
    Gateway.store().set("servers", Name,
                        {{"service", Service},
                         {"address", Target.address()},
                         {"zone", "dc1"},
                         {"version", Version},
                         {"slots", 4},
                         {"state", "ready"},
                         {"seq", 1},
                         {"born", 1000}});
  }
  auto addNewTargets() -> void {
    for (std::size_t Index = 0; Index < New.size(); ++Index)
      addTarget("new" + std::to_string(Index), "v2", New.at(Index));
  }
  auto order(double Seconds, const std::string &Service = "pay") -> void {
    Gateway.store().set(
        "rollouts", Service,
        {{"service", Service}, {"to", "v2"}, {"duration_s", Seconds}});
  }
  auto state(const std::string &Service = "pay") const -> std::string {
    const Json Status = Gateway.store().status("rollouts", Service);
    return Status.is_object() ? Status.value("state", "") : "";
  }
  auto count(const std::array<ScriptedTarget, 2> &Targets) const
      -> std::size_t {
    return Targets[0].requests().size() + Targets[1].requests().size();
  }
  /// Sends requests until the state is \p Wanted. Returns whether all of them
  /// were answered and it was so in time.
  auto serveUntil(const std::string &Wanted, Duration Limit) -> bool {
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (state() != Wanted) {
      if (std::chrono::steady_clock::now() > End)
        return false;
      if (!serve())
        return false;
    }
    return true;
  }
  auto serve() -> bool {
    ++Requests;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    return Gateway
        .exchange("GET", "/safe/x", "", "", "r" + std::to_string(Requests))
        .has(" 200 ");
  }

  mutable GatewayFixture Gateway{0, {0.1, 50, std::chrono::seconds(5)}};
  std::array<ScriptedTarget, 2> Old{
      {ScriptedTarget(GatewayFixture::answering("old")),
       ScriptedTarget(GatewayFixture::answering("old"))}};
  std::array<ScriptedTarget, 2> New;
  std::size_t Requests = 0;
};

// Guards against a good version that is not finished in time, requests on it
// before its order, and requests at old targets after `succeeded`.
TEST_F(RolloutGatewayTest, GoodVersionGetsAllRequestsBeforeSuccess) {
  ASSERT_TRUE(Gateway.waitUntilServing());
  std::this_thread::sleep_for(std::chrono::milliseconds(2200));
  addNewTargets();
  for (int Count = 0; Count < 50; ++Count)
    ASSERT_TRUE(serve());
  EXPECT_EQ(count(New), 0U);
  order(6);
  EXPECT_TRUE(serveUntil("running", std::chrono::seconds(2)));
  EXPECT_TRUE(serveUntil("succeeded", std::chrono::seconds(6)));
  EXPECT_GT(count(New), 0U);
  const std::size_t AtOld = count(Old);
  for (int Count = 0; Count < 50; ++Count)
    ASSERT_TRUE(serve());
  EXPECT_EQ(count(Old), AtOld);
}

class BadRolloutGatewayTest : public RolloutGatewayTest {
protected:
  BadRolloutGatewayTest() : RolloutGatewayTest(500) {}
};

// Guards against a failing version that is accepted, gets more requests than
// the bound or shows its failures to callers.
TEST_F(BadRolloutGatewayTest, FailingVersionIsRolledBack) {
  ASSERT_TRUE(Gateway.waitUntilServing());
  std::this_thread::sleep_for(std::chrono::milliseconds(2200));
  addNewTargets();
  order(6);
  EXPECT_TRUE(serveUntil("rolled_back", std::chrono::seconds(6)));
  const std::size_t AtNew = count(New);
  EXPECT_LE(static_cast<double>(AtNew),
            0.1 * static_cast<double>(Requests) + 50);
  for (int Count = 0; Count < 50; ++Count)
    ASSERT_TRUE(serve());
  EXPECT_EQ(count(New), AtNew);
}

// Guards against keys that stay at old targets when `succeeded` is written, or
// that have no owner for long while they move.
TEST_F(RolloutGatewayTest, KeysMoveBeforeSuccess) {
  const auto Owner = [](const std::string &Body) {
    return [Body](ScriptedTarget::Tcp::socket &To, const std::string &Request) {
      return ScriptedTarget::send(
          To, Request.starts_with("POST /v1/")
                  ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                  : GatewayFixture::response(GatewayFixture::requestId(Request),
                                             Body));
    };
  };
  ScriptedTarget OldOwner(Owner("old"));
  ScriptedTarget NewOwner(Owner("new"));
  const auto Serve = [this](const std::string &Body) {
    ++Requests;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    return Gateway
        .exchange("GET", "/owned/x",
                  "Shard-Key: " + std::to_string(Requests * 997 % 65536) +
                      "\r\n",
                  "", "k" + std::to_string(Requests))
        .has(Body);
  };
  for (int Index = 0; Index < 12; ++Index)
    addTarget("o" + std::to_string(Index), "v1", OldOwner, "stock");
  ASSERT_TRUE(eventually([&] { return Serve("old"); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(2200));
  for (int Index = 0; Index < 12; ++Index)
    addTarget("n" + std::to_string(Index), "v2", NewOwner, "stock");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_TRUE(Serve("old"));
  order(8, "stock");
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(8);
  int Failed = 0;
  while (state("stock") != "succeeded") {
    ASSERT_LT(std::chrono::steady_clock::now(), End);
    Failed += Serve(" 200 ") ? 0 : 1;
  }
  // Keys move twice, and each request without an owner waits 0.1 s: no more
  // than a second without an owner each time.
  EXPECT_LT(Failed, 20);
  for (int Count = 0; Count < 20; ++Count)
    EXPECT_TRUE(Serve("new"));
}

// Guards against entries of other writers that stop a service.
TEST_F(RolloutGatewayTest, MalformedEntryChangesNothing) {
  ASSERT_TRUE(Gateway.waitUntilServing());
  Gateway.store().set("rollouts", "pay", Json::array({1}));
  Gateway.store().set("rollouts", "other", {{"to", 3}});
  EXPECT_TRUE(eventually([this] {
    return Gateway.askAsPeer("/metrics").find("btr_ignored_rollouts_total 2") !=
           std::string::npos;
  }));
  EXPECT_TRUE(serve());
}

} // namespace
} // namespace buckthornring::test
