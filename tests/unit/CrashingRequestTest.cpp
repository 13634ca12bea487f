#include "support/GatewayFixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
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
  explicit Targets(std::size_t Count, const Reaction &OnDeadly = crash) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      const auto Slot = std::make_shared<ScriptedTarget *>(nullptr);
      All.push_back(std::make_unique<ScriptedTarget>(
          [Slot, OnDeadly](Socket &To, const std::string &Request) {
            if (Request.find("safe/deadly") != std::string::npos)
              return OnDeadly(**Slot, To);
            std::this_thread::sleep_for(
                Request.find("/slow") == std::string::npos ? 0ms : 50ms);
            return GatewayFixture::answering()(To, Request);
          }));
      *Slot = All.back().get();
    }
  }

  auto join(GatewayFixture &Fixture) const -> void {
    for (std::size_t Index = 0; Index < All.size(); ++Index)
      Fixture.addTarget("pay", "t" + std::to_string(Index), *All[Index]);
  }
  auto at(std::size_t Index) const -> const ScriptedTarget & {
    return *All.at(Index);
  }
  auto crashFirst() -> void { All.front()->crash(); }
  auto crashAll() -> void {
    for (const auto &Each : All)
      Each->crash();
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

// Guards against the refusal of requests that only ran beside the one that
// crashes targets (BUDGET).
TEST(CrashingRequestTest,
     RequestThatRanBesideItIsNotRefusedAfterItsCompletion) {
  Targets Fleet(8);
  GatewayFixture Fixture;
  Fleet.join(Fixture);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  for (int Round = 0; Round < 3; ++Round) {
    std::vector<RawCaller> Callers;
    for (int Copy = 0; Copy < 16; ++Copy) {
      Callers.push_back(Fixture.connect());
      Callers.back().send(GatewayFixture::request("GET", "/safe/slow",
                                                  "s" + std::to_string(Copy),
                                                  "Connection: close\r\n"));
    }
    std::this_thread::sleep_for(10ms);
    Fixture.exchange("GET", "/safe/deadly");
    for (RawCaller &Each : Callers)
      EXPECT_FALSE(Each.readAll().has("request-quarantined"));
    EXPECT_TRUE(eventually(
        [&] { return Fixture.exchange("GET", "/safe/slow").has(" 200 "); }));
  }
  EXPECT_EQ(Fleet.crashed(), 3);
}

// Guards against requests that are taken for deadly because a target that still
// runs has reset their connections, as one does that is full.
TEST(CrashingRequestTest, LostConnectionsToATargetThatStillRunsAccuseNobody) {
  Targets Fleet(4, [](ScriptedTarget &, Socket &) { return false; });
  GatewayFixture Fixture;
  Fleet.join(Fixture);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  for (int Copy = 0; Copy < 6; ++Copy) {
    const auto View = Fixture.exchange("GET", "/safe/deadly");
    EXPECT_FALSE(View.has("request-")) << View.Bytes;
  }
  EXPECT_GE(Fleet.received("/safe/deadly"), 6U);
  EXPECT_EQ(Fleet.crashed(), 0);
}

// Guards against requests that are taken for deadly because they were running
// on targets that ended in the course of a drain.
TEST(CrashingRequestTest, TargetsThatHaveAnnouncedTheirEndAccuseNobody) {
  std::atomic<bool> Ends = true;
  Targets Fleet(4, [&Ends](ScriptedTarget &Target, Socket &) {
    std::this_thread::sleep_for(300ms);
    if (Ends)
      Target.crash();
    return false;
  });
  GatewayFixture Fixture;
  Fleet.join(Fixture);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  RawCaller Caller = Fixture.connect();
  Caller.send(GatewayFixture::request("POST", "/unsafe/deadly", "a1",
                                      "Connection: close\r\n", "body"));
  std::this_thread::sleep_for(50ms);
  for (std::size_t Index = 0; Index < 4; ++Index)
    Fixture.addTarget("pay", "t" + std::to_string(Index), Fleet.at(Index),
                      "draining", 2);
  EXPECT_TRUE(Caller.readAll().has("HTTP/1.1 502"));
  EXPECT_EQ(Fleet.crashed(), 1);
  std::this_thread::sleep_for(50ms);
  EXPECT_NE(Fixture.askAsPeer("/metrics")
                .find("btr_crash_suspects_total{kind=\"accused\"} 0"),
            std::string::npos);
}

// Guards against the promise of "not run" for a request that a target may have
// run before it crashed (REFUSED).
TEST(CrashingRequestTest, CrashOfARequestThatMayRunOnceIsAnsweredAsUnknown) {
  Targets Fleet(6);
  GatewayFixture Fixture;
  Fleet.join(Fixture);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  for (int Copy = 0; Copy < 3; ++Copy) {
    const auto View = Fixture.exchange("POST", "/unsafe/deadly", "", "body");
    EXPECT_TRUE(View.has("HTTP/1.1 502")) << View.Bytes;
    EXPECT_TRUE(View.has("Btr-Run: unknown")) << View.Bytes;
  }
  EXPECT_EQ(Fleet.crashed(), 3);
  const auto Refused = Fixture.exchange("POST", "/unsafe/deadly", "", "body");
  EXPECT_TRUE(Refused.has("HTTP/1.1 503")) << Refused.Bytes;
  EXPECT_TRUE(Refused.has("Btr-Refusal: request-quarantined"));
  EXPECT_TRUE(Refused.has("Btr-Run: not-run"));
  EXPECT_TRUE(Refused.has("Retry-After: ")) << Refused.Bytes;
  const auto Other = Fixture.exchange("POST", "/unsafe/other", "", "body");
  EXPECT_TRUE(Other.has(" 200 ")) << Other.Bytes;
}

// Guards against copies that arrive at the same time and end a target each,
// though one of them would have shown the cause (BUDGET).
TEST(CrashingRequestTest, CopiesOfASuspectedRequestRunOneAfterAnother) {
  Targets Fleet(12);
  GatewayFixture Fixture;
  Fleet.join(Fixture);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  Fixture.exchange("GET", "/safe/deadly");
  std::this_thread::sleep_for(50ms);
  ASSERT_EQ(Fleet.crashed(), 2);
  std::vector<RawCaller> Callers;
  for (int Copy = 0; Copy < 8; ++Copy) {
    Callers.push_back(Fixture.connect());
    Callers.back().send(GatewayFixture::request("GET", "/safe/deadly",
                                                "c" + std::to_string(Copy),
                                                "Connection: close\r\n"));
  }
  for (RawCaller &Each : Callers)
    Each.readAll();
  EXPECT_EQ(Fleet.crashed(), 3);
}

// Guards against requests that are taken for deadly because what many targets
// share has failed.
TEST(CrashingRequestTest, TargetsThatEndAtTheSameMomentAccuseNobody) {
  Targets Fleet(6);
  GatewayFixture Fixture;
  Fleet.join(Fixture);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  std::vector<RawCaller> Callers;
  for (int Copy = 0; Copy < 24; ++Copy) {
    Callers.push_back(Fixture.connect());
    Callers.back().send(GatewayFixture::request("GET", "/safe/slow",
                                                "s" + std::to_string(Copy),
                                                "Connection: close\r\n"));
  }
  std::this_thread::sleep_for(10ms);
  Fleet.crashAll();
  for (RawCaller &Each : Callers)
    Each.readAll();
  Targets Later(1);
  Fixture.addTarget("pay", "later", Later.at(0));
  EXPECT_TRUE(eventually(
      [&] { return Fixture.exchange("GET", "/safe/slow").has(" 200 "); }));
}

// Guards against copies of a deadly request that crash their targets in the
// same moment: that counted as a common cause, and their retries crashed as
// many.
TEST(CrashingRequestTest, CopiesThatCrashTheirTargetsTogetherAreSuspected) {
  constexpr std::size_t Copies = 4;
  Targets Fleet(3 * Copies);
  GatewayFixture Fixture;
  Fleet.join(Fixture);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  std::vector<RawCaller> Callers;
  for (std::size_t Copy = 0; Copy < Copies; ++Copy) {
    Callers.push_back(Fixture.connect());
    Callers.back().send(GatewayFixture::request("GET", "/safe/deadly",
                                                "d" + std::to_string(Copy),
                                                "Connection: close\r\n"));
  }
  for (RawCaller &Each : Callers)
    Each.readAll();
  for (int Later = 0; Later < 6; ++Later)
    Fixture.exchange("GET", "/safe/deadly");
  // Those that ran it at first, and two further ones before the quarantine.
  EXPECT_LE(Fleet.crashed(), static_cast<std::ptrdiff_t>(Copies) + 2);
}

// Guards against the quarantine of a request that only ran beside a deadly one,
// because both were sent on to the same targets.
TEST(CrashingRequestTest, SuspectedRequestsRunOnDifferentTargets) {
  Targets Fleet(4);
  Targets Idle(1);
  GatewayFixture Fixture;
  Fleet.join(Fixture);
  Fixture.configure(1);
  ASSERT_TRUE(Fixture.waitUntilServing());
  std::vector<RawCaller> Callers;
  for (int Copy = 0; Copy < 16; ++Copy) {
    const std::string Name = "slow" + std::to_string(Copy);
    Callers.push_back(Fixture.connect());
    Callers.back().send(GatewayFixture::request(
        "GET", "/safe/" + Name, Name + ".", "Connection: close\r\n"));
  }
  Fixture.addTarget("pay", "idle", Idle.at(0));
  std::this_thread::sleep_for(30ms);
  ASSERT_GE(Fleet.at(0).requests().size(), 3U);
  Fleet.crashFirst();
  for (RawCaller &Each : Callers)
    EXPECT_TRUE(Each.readAll().has(" 200 "));
  std::size_t Together = 0;
  for (const std::string &Request : Fleet.at(0).requests()) {
    const std::string Id = GatewayFixture::requestId(Request);
    Together += Id.starts_with("slow") ? Idle.received(Id) : 0;
  }
  EXPECT_EQ(Together, 1U);
}
