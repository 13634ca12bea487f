#include "support/GatewayFixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Socket = ScriptedTarget::Tcp::socket;
/// What a target does with a request to the path /safe/deadly or
/// /unsafe/deadly.
using Reaction = std::function<bool(ScriptedTarget &, Socket &)>;

auto crash(ScriptedTarget &Target, Socket & /*To*/) -> bool {
  Target.crash();
  return false;
}

/// A fleet of targets of the service "pay".
class Targets {
public:
  explicit Targets(std::size_t Count, Reaction OnDeadly = crash) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      const auto Slot = std::make_shared<ScriptedTarget *>(nullptr);
      All.push_back(std::make_unique<ScriptedTarget>(
          [Slot, OnDeadly](Socket &To, const std::string &Request) {
            if (Request.find("safe/deadly") != std::string::npos)
              return OnDeadly(**Slot, To);
            std::this_thread::sleep_for(
                Request.find("/slow") == std::string::npos ? 0ms : 40ms);
            return GatewayFixture::answering()(To, Request);
          }));
      *Slot = All.back().get();
    }
  }

  auto join(GatewayFixture &Fixture) const -> void {
    for (std::size_t Index = 0; Index < All.size(); ++Index)
      Fixture.addTarget("pay", "t" + std::to_string(Index), *All[Index]);
  }
  auto crashed() const -> std::ptrdiff_t {
    return std::count_if(All.begin(), All.end(),
                         [](const auto &Each) { return Each->crashed(); });
  }
  /// Number of received requests whose text contains \p Text.
  auto received(const std::string &Text) const -> std::size_t {
    std::size_t Count = 0;
    for (const auto &Each : All)
      for (const std::string &Request : Each->requests())
        Count += Request.find(Text) == std::string::npos ? 0 : 1;
    return Count;
  }

private:
  std::vector<std::unique_ptr<ScriptedTarget>> All;
};

} // namespace

// Guards against a request that crashes target after target, because each of
// its copies is taken for a request of its own (BUDGET).
TEST(CrashingRequestTest, RequestIsNotSentAgainAfterItHasCrashedThreeTargets) {
  Targets Fleet(8);
  GatewayFixture Fixture;
  Fleet.join(Fixture);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  CallerView Last;
  for (int Copy = 0; Copy < 6; ++Copy)
    Last = Fixture.exchange("GET", "/safe/deadly");
  EXPECT_EQ(Fleet.crashed(), 3);
  EXPECT_TRUE(Last.has("HTTP/1.1 503")) << Last.Bytes;
  EXPECT_TRUE(Last.has("Btr-Run: not-run")) << Last.Bytes;
  EXPECT_TRUE(Fixture.exchange("GET", "/safe/other").has(" 200 "));
}
