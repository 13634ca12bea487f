#include "support/GatewayFixture.h"

#include <gtest/gtest.h>

#include <mutex>
#include <set>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

/// Two targets. The first one that gets a request with an id of "slow..."
/// answers it after 400 ms.
class SlowOnce {
public:
  explicit SlowOnce(GatewayFixture &Fixture) {
    Fixture.addTarget("pay", "t1", First);
    Fixture.addTarget("pay", "t2", Second);
    Fixture.configure(1);
  }

private:
  auto script() -> ScriptedTarget::Script {
    return [this](ScriptedTarget::Tcp::socket &To, const std::string &Request) {
      const std::string Id = GatewayFixture::requestId(Request);
      bool Slow = false;
      if (Id.starts_with("slow")) {
        const std::lock_guard Guard(Mutex);
        Slow = Seen.insert(Id).second;
      }
      if (Slow)
        std::this_thread::sleep_for(400ms);
      return ScriptedTarget::send(To, GatewayFixture::response(Id, "ok"));
    };
  }

  std::mutex Mutex;
  std::set<std::string> Seen;
  ScriptedTarget First{script()};
  ScriptedTarget Second{script()};
};

/// Number of slow requests of ten that are answered in less than 300 ms. Each
/// one follows requests that earn the allowance of a hedge.
auto quickAnswers(GatewayFixture &Fixture, const std::string &Method,
                  const std::string &Path) -> int {
  int Quick = 0;
  for (int Count = 0; Count < 10; ++Count) {
    for (int Usual = 0; Usual < 60; ++Usual)
      Fixture.exchange("GET", "/safe/1");
    const auto SentAt = std::chrono::steady_clock::now();
    const auto View =
        Fixture.exchange(Method, Path, "", "", "slow" + std::to_string(Count));
    EXPECT_TRUE(View.has(" 200 ")) << View.Bytes;
    Quick += std::chrono::steady_clock::now() - SentAt < 300ms ? 1 : 0;
  }
  return Quick;
}

// Guards against slow responses of idempotent requests that no hedge cuts
// short, and hedges that no counter shows.
TEST(GatewayHedgeTest, SlowRequestIsAnsweredByTheOtherTarget) {
  GatewayFixture Fixture;
  SlowOnce Targets(Fixture);
  ASSERT_TRUE(Fixture.waitUntilServing());
  EXPECT_GE(quickAnswers(Fixture, "GET", "/safe/slow"), 1);
  const std::string Metrics = Fixture.askAsPeer("/metrics");
  EXPECT_EQ(Metrics.find("btr_hedges_total{result=\"won\"} 0"),
            std::string::npos);
  EXPECT_NE(Metrics.find("btr_hedges_refused_total{reason=\"no-room\"}"),
            std::string::npos);
}

// Guards against a failure that is passed on while the other attempt of a
// hedged request is still running.
TEST(GatewayHedgeTest, FailureOfOneAttemptDoesNotHideTheOthersResponse) {
  std::mutex Mutex;
  std::set<std::string> Seen;
  const auto FirstFails = [&](ScriptedTarget::Tcp::socket &To,
                              const std::string &Request) {
    const std::string Id = GatewayFixture::requestId(Request);
    std::string Response = GatewayFixture::response(Id, "ok");
    // The time of usual requests earns the allowance of hedges.
    if (!Id.starts_with("slow")) {
      std::this_thread::sleep_for(4ms);
    } else {
      const bool Fails = [&] {
        const std::lock_guard Guard(Mutex);
        return Seen.insert(Id).second;
      }();
      std::this_thread::sleep_for(Fails ? 60ms : 90ms);
      if (Fails)
        Response.replace(Response.find(" 200 "), 5, " 500 ");
    }
    return ScriptedTarget::send(To, Response);
  };
  ScriptedTarget First{FirstFails};
  ScriptedTarget Second{FirstFails};
  GatewayFixture Fixture;
  Fixture.addTarget("pay", "t1", First);
  Fixture.addTarget("pay", "t2", Second);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  // Each request is answered with 200, by its hedge or by a retry.
  quickAnswers(Fixture, "GET", "/safe/slow");
  EXPECT_EQ(
      Fixture.askAsPeer("/metrics").find("btr_hedges_total{result=\"won\"} 0"),
      std::string::npos);
}

// Guards against a second run of a request that must not be repeated.
TEST(GatewayHedgeTest, NonIdempotentRequestIsNotHedged) {
  GatewayFixture Fixture;
  SlowOnce Targets(Fixture);
  ASSERT_TRUE(Fixture.waitUntilServing());
  EXPECT_EQ(quickAnswers(Fixture, "POST", "/unsafe/slow"), 0);
}

} // namespace
