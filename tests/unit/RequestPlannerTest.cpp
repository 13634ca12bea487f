#include "Entry/RequestPlanner.h"
#include "Entry/SnapshotBuilder.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

struct RequestPlannerTest : testing::Test {
  RequestPlannerTest() {
    Config.Workspaces[WorkspaceId("acme")] = {};
    Config.CallerKeys["k1"] = {CallerKeys::hex(CallerKeys::digest("secret")),
                               WorkspaceId("acme"), false};
    Config.CallerKeys["k2"] = {CallerKeys::hex(CallerKeys::digest("old")),
                               WorkspaceId("acme"), true};
    Config.Services[ServiceId("pay")] = {};
    ServiceConfig &Stock = Config.Services[ServiceId("stock")];
    Stock.Kind = ServiceKind::Divided;
    addRoute("/pay", "pay");
    addRoute("/pay/open", "pay").Open = true;
    addRoute("/stock", "stock");
    RouteConfig &ByHeader = addRoute("/h", "stock");
    ByHeader.Source = KeySource::Header;
    ByHeader.KeyName = "X-Key";
    RouteConfig &ByQuery = addRoute("/q", "stock");
    ByQuery.Source = KeySource::Query;
    ByQuery.KeyName = "key";
    addRoute("/once", "pay").Idempotent = false;
  }

  auto addRoute(const std::string &Prefix, const std::string &Service)
      -> RouteConfig & {
    RouteConfig &Route = Config.Routes[Prefix];
    Route.PathPrefix = Prefix;
    Route.Service = ServiceId(Service);
    return Route;
  }

  auto plan(const std::string &Method, const std::string &Target,
            HttpHeaders Fields = {{"X-Caller-Key", "secret"}})
      -> std::variant<RequestPlan, RefusalReason> {
    RoutingSnapshot Snapshot;
    Snapshot.Index = std::make_shared<const ConfigIndex>(
        std::make_shared<const Configuration>(Config));
    for (const auto &[Name, Service] : Snapshot.config().Services)
      Snapshot.Services[Name].Config = &Service;
    Snapshot.Stale = Stale;
    RequestHead Head;
    Head.Method = Method;
    Head.Target = Target;
    Head.Fields = std::move(Fields);
    return planRequest(Snapshot, Head);
  }

  auto refusal(const std::string &Target,
               HttpHeaders Fields = {{"X-Caller-Key", "secret"}})
      -> std::string {
    const auto Planned = plan("GET", Target, std::move(Fields));
    const auto *Reason = std::get_if<RefusalReason>(&Planned);
    return Reason ? std::string(RefusalReasonNames.name(*Reason)) : "";
  }

  auto slice(const std::string &Target,
             HttpHeaders Fields = {{"X-Caller-Key", "secret"}})
      -> std::uint32_t {
    return std::get<RequestPlan>(plan("GET", Target, std::move(Fields))).Slice;
  }

  Configuration Config;
  std::set<WorkspaceId> Stale;
};

// Guards against a request that runs without, or with the wrong, caller key.
TEST_F(RequestPlannerTest, ChecksTheCallerKey) {
  EXPECT_EQ(refusal("/pay/1"), "");
  EXPECT_EQ(refusal("/pay/1", {{"authorization", "bearer secret"}}), "");
  EXPECT_EQ(refusal("/pay/1", {}), "unknown-caller-key");
  EXPECT_EQ(refusal("/pay/1", {{"X-Caller-Key", "Secret"}}),
            "unknown-caller-key");
  EXPECT_EQ(refusal("/pay/1", {{"X-Caller-Key", "old"}}),
            "withdrawn-caller-key");
  EXPECT_EQ(refusal("/pay/1", {{"Authorization", "Basic secret"}}),
            "unknown-caller-key");
  EXPECT_EQ(refusal("/pay/open/1", {}), "");
}

// Guards against a second key in a request that overrides the first.
TEST_F(RequestPlannerTest, TwoDifferentCallerKeysCountAsNone) {
  EXPECT_EQ(refusal("/pay/1", {{"X-Caller-Key", "secret"},
                               {"Authorization", "Bearer old"}}),
            "unknown-caller-key");
  EXPECT_EQ(refusal("/pay/1", {{"X-Caller-Key", "secret"},
                               {"Authorization", "Bearer secret"}}),
            "");
}

// Guards against keyed requests under a configuration that may be out of date.
TEST_F(RequestPlannerTest, StaleWorkspaceIsRefusedOnKeyedRoutesOnly) {
  Stale.insert(WorkspaceId("acme"));
  EXPECT_EQ(refusal("/pay/1"), "stale-configuration");
  EXPECT_EQ(refusal("/pay/1", {{"X-Caller-Key", "new"}}),
            "stale-configuration");
  EXPECT_EQ(refusal("/pay/open/1", {}), "");
}

// Guards against a path that a target resolves to another route than the one
// it was matched by.
TEST_F(RequestPlannerTest, AmbiguousPathsAreRefused) {
  for (const char *Path :
       {"/pay/open/../1", "/pay/open/%2e%2E/1", "/pay/./1", "/pay/open%2f..",
        "/pay/%5c1", "/pay/%00", "/pay/%zz", "*", "pay"})
    EXPECT_EQ(refusal(Path, {}), "malformed-request") << Path;
}

// Guards against two spellings of a key that reach two owners, and against a
// key that router and target read from different places.
TEST_F(RequestPlannerTest, OneKeyHasOneSlice) {
  EXPECT_EQ(slice("/stock/a%62c/x"), slice("/stock/abc"));
  EXPECT_EQ(slice("/q?x=1&key=abc"), slice("/stock/abc"));
  EXPECT_EQ(slice("/h", {{"X-Caller-Key", "secret"}, {"x-key", "abc"}}),
            slice("/stock/abc"));
  EXPECT_EQ(refusal("/q?key=abc&key=abd"), "missing-key");
  EXPECT_EQ(refusal("/q?key=abc&k%65y=abd"), "missing-key");
  EXPECT_EQ(
      refusal("/h",
              {{"X-Caller-Key", "secret"}, {"X-Key", "abc"}, {"x-key", "abd"}}),
      "missing-key");
  EXPECT_EQ(refusal("/stock"), "missing-key");
  EXPECT_EQ(refusal("/stock/"), "missing-key");
}

// Guards against a prefix that covers the paths of another service.
TEST_F(RequestPlannerTest, PrefixEndsAtASegment) {
  EXPECT_EQ(refusal("/payments"), "unknown-route");
  EXPECT_EQ(refusal("/"), "unknown-route");
}

// Guards against a retried request that must run once.
TEST_F(RequestPlannerTest, IdempotenceByMethodAndRoute) {
  const auto Idempotent = [this](const char *Method, const char *Target) {
    return std::get<RequestPlan>(plan(Method, Target)).Idempotent;
  };
  for (const char *Method : {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
    EXPECT_TRUE(Idempotent(Method, "/pay/1")) << Method;
  for (const char *Method : {"POST", "PATCH", "get", "LOCK"})
    EXPECT_FALSE(Idempotent(Method, "/pay/1")) << Method;
  EXPECT_FALSE(Idempotent("PUT", "/once/1"));
}

// Guards against a caller that raises its deadline, or disables it.
TEST_F(RequestPlannerTest, DeadlineCanOnlyBeLowered) {
  const auto Deadline = [this](const char *Text) {
    const auto Planned =
        plan("GET", "/pay/1",
             {{"X-Caller-Key", "secret"}, {"Btr-Deadline-Ms", Text}});
    const auto *Plan = std::get_if<RequestPlan>(&Planned);
    return Plan ? Plan->Deadline.count() / 1000 : -1;
  };
  EXPECT_EQ(Deadline("200"), 200);
  EXPECT_EQ(Deadline("60000"), 5000);
  for (const char *Text : {"0", "-1", "1s", "", "99999999999"})
    EXPECT_EQ(Deadline(Text), -1) << Text;
}

} // namespace
