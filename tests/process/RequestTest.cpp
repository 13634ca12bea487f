#include "Fleet.h"

#include <gtest/gtest.h>

using namespace buckthornring;
using namespace buckthornring::test;

namespace {

/// Shares one fleet between all tests of this file, which do not change it.
struct RequestTest : testing::Test {
  static auto SetUpTestSuite() -> void { // NOLINT(*-identifier-naming)
    FleetOptions Options;
    Options.Services = {"content", "stock", "orders"};
    TestFleet = new Fleet(Options);
    Serving = TestFleet->waitUntilServing();
  }
  static auto TearDownTestSuite() -> void { // NOLINT(*-identifier-naming)
    delete TestFleet;
    TestFleet = nullptr;
  }

  auto SetUp() -> void override { // NOLINT(*-identifier-naming)
    ASSERT_TRUE(Serving) << "the fleet does not serve";
  }

  static auto echo(const HttpOutcome &Outcome) -> nlohmann::json {
    auto Body = nlohmann::json::parse(Outcome.Response.Body, nullptr, false);
    return Body.is_object() ? Body : nlohmann::json::object();
  }

  static inline Fleet *TestFleet = nullptr;
  static inline bool Serving = false;
};

// Guards against a route kind that is not served, or whose request reaches the
// target without its workspace, request identifier or body.
TEST_F(RequestTest, EachRouteKindIsServedThroughEachInstance) {
  for (std::size_t Index = 0; Index < TestFleet->Instances.size(); ++Index)
    for (const std::string Service : {"content", "stock", "orders"}) {
      const auto Outcome =
          TestFleet->call(Index, "PUT", '/' + Service + "/key-7?x=1");
      ASSERT_EQ(Outcome.Response.Status, 200U)
          << Service << ' ' << headerOf(Outcome, "Btr-Refusal");
      const auto Echo = echo(Outcome);
      EXPECT_EQ(Echo.value("workspace", ""), "w1");
      EXPECT_EQ(Echo.value("method", ""), "PUT");
      EXPECT_EQ(Echo.value("path", ""), '/' + Service + "/key-7?x=1");
      EXPECT_FALSE(Echo.value("request_id", "").empty());
      EXPECT_EQ(Echo.value("slice", "").empty(), Service == "orders");
    }
}

// Guards against a key that is served by different targets through different
// instances.
TEST_F(RequestTest, AKeyHasTheSameOwnerThroughEachInstance) {
  for (int Key = 0; Key < 20; ++Key) {
    const auto Path = "/content/same-" + std::to_string(Key);
    const auto Owner = TestFleet->servedBy(0, Path);
    EXPECT_FALSE(Owner.empty());
    for (std::size_t Index = 1; Index < TestFleet->Instances.size(); ++Index)
      EXPECT_EQ(TestFleet->servedBy(Index, Path), Owner) << Path;
  }
}

// Guards against open routes that require a caller key.
TEST_F(RequestTest, OpenRouteNeedsNoCallerKey) {
  Caller Client;
  const auto Outcome =
      Client.get(TestFleet->Instances[0].CallerAddress, "/public/notice");
  EXPECT_EQ(Outcome.Response.Status, 200U);
  EXPECT_EQ(echo(Outcome).value("workspace", "?"), "");
}

// Guards against requests without a valid caller key reaching a target.
TEST_F(RequestTest, UnknownWithdrawnAndMissingKeysAreRefused) {
  const auto Before = TestFleet->runs().size();
  for (const auto &Extra :
       {HttpHeaders{}, HttpHeaders{{"X-Caller-Key", "nobody"}},
        HttpHeaders{{"X-Caller-Key", "key-old"}},
        HttpHeaders{{"Authorization", "Bearer key-old"}}})
    for (const std::string Path : {"/content/k", "/orders/1"}) {
      Caller Client;
      const auto Outcome =
          Client.get(TestFleet->Instances[1].CallerAddress, Path, Extra);
      EXPECT_EQ(Outcome.Response.Status, 401U) << Path;
      EXPECT_EQ(headerOf(Outcome, "Btr-Run"), "not-run");
    }
  EXPECT_EQ(headerOf(TestFleet->call(0, "GET", "/orders/1",
                                     {{"X-Caller-Key", "key-old"}}),
                     "Btr-Refusal"),
            "withdrawn-caller-key");
  EXPECT_EQ(TestFleet->runs().size(), Before);
}

// Guards against a caller key being forwarded in either header.
TEST_F(RequestTest, CallerKeyIsNotForwardedToTargets) {
  for (const auto &Extra : {HttpHeaders{{"X-Caller-Key", "key-two"}},
                            HttpHeaders{{"Authorization", "Bearer key-two"}},
                            HttpHeaders{{"authorization", "bearer key-two"},
                                        {"x-caller-key", "key-two"}}})
    for (const std::string Path : {"/content/k", "/stock/k", "/orders/1"}) {
      Caller Client;
      const auto Outcome =
          Client.get(TestFleet->Instances[0].CallerAddress, Path, Extra);
      ASSERT_EQ(Outcome.Response.Status, 200U) << Path;
      EXPECT_EQ(echo(Outcome).value("caller_key_seen", true), false) << Path;
      EXPECT_EQ(echo(Outcome).value("workspace", ""), "w2");
    }
  TestFleet->expectRunInvariants();
}

// Guards against request headers that override the workspace, slice, epoch or
// request identifier.
TEST_F(RequestTest, RouterHeadersOfTheCallerAreIgnored) {
  const auto Outcome = TestFleet->call(0, "GET", "/content/k",
                                       {{"Btr-Workspace", "w2"},
                                        {"Btr-Slice", "99"},
                                        {"Btr-Epoch", "99.99"},
                                        {"Btr-Request-Id", "mine"}});
  ASSERT_EQ(Outcome.Response.Status, 200U);
  EXPECT_EQ(echo(Outcome).value("workspace", ""), "w1");
  EXPECT_NE(echo(Outcome).value("slice", ""), "99");
  EXPECT_NE(echo(Outcome).value("request_id", ""), "mine");
}

// Guards against a truncated response that is forwarded as a complete one.
TEST_F(RequestTest, TruncatedResponseIsReportedAsAnError) {
  for (const std::string Path : {"/content/cut", "/orders/cut"}) {
    const auto Outcome =
        TestFleet->call(0, "POST", Path, {{"X-Test-Cut-Bytes", "5"}});
    if (Outcome.done()) {
      EXPECT_GE(Outcome.Response.Status, 500U);
      EXPECT_EQ(headerOf(Outcome, "Btr-Run"), "unknown");
    }
  }
}

// Guards against an unknown path being forwarded anywhere.
TEST_F(RequestTest, UnknownPathIsRefused) {
  const auto Outcome = TestFleet->call(0, "GET", "/nowhere/1");
  EXPECT_EQ(Outcome.Response.Status, 404U);
  EXPECT_EQ(headerOf(Outcome, "Btr-Refusal"), "unknown-route");
}

} // namespace
