#include "buckthornring/Config/ConfigChecker.h"
#include "buckthornring/Config/SettingsReader.h"

#include <gtest/gtest.h>

using namespace buckthornring;

namespace {

auto check(const std::string &Text) -> Checked<Configuration> {
  auto Read = SettingsReader::read(Text, "c.json");
  if (!Read)
    return {std::nullopt, std::move(Read.Errors)};
  return ConfigChecker::check(*Read.Value, 7);
}

const std::string Digest(64, 'a');

auto valid() -> std::string {
  return R"({
  "data_centres": {"dc1": {"weight": 2, "region": "jm"},
                   "dc2": {"state": "taken-out"}},
  "workspaces": {"acme": {"rate_per_second": 100.5, "burst": 50,
                          "staleness_limit_ms": 3000}},
  "caller_keys": {"acme-1": {"digest": ")" +
         Digest + R"(", "workspace": "acme", "withdrawn": true}},
  "services": {"stock": {"kind": "divided", "verification": "unverified",
    "slices": 512, "max_deadline_ms": 800, "default_deadline_ms": 500,
    "targets": {"s1": {"address": "127.0.0.1:9001", "data_centre": "dc1"}}}},
  "routes": {"stock": {"path_prefix": "/stock", "service": "stock",
    "key_source": "header", "key_name": "X-Key", "idempotent": false}}
})";
}

// Guards against a key that is read into the wrong field, or not at all.
TEST(ConfigCheckerTest, ReadsEveryKey) {
  const auto Found = check(valid());
  ASSERT_TRUE(Found) << settingsErrorText(Found.Errors);
  const auto &Config = *Found.Value;
  EXPECT_EQ(Config.Generation, 7U);
  const auto &Centre = Config.DataCentres.at(DataCentreId("dc1"));
  EXPECT_EQ(Centre.Weight, 2U);
  EXPECT_EQ(Centre.Region, "jm");
  EXPECT_EQ(Config.DataCentres.at(DataCentreId("dc2")).State,
            ServingState::TakenOut);
  const auto &Workspace = Config.Workspaces.at(WorkspaceId("acme"));
  EXPECT_EQ(Workspace.RatePerSecond, 100.5);
  EXPECT_EQ(Workspace.Burst, 50);
  EXPECT_EQ(Workspace.StalenessLimit, std::chrono::seconds(3));
  const auto &Key = Config.CallerKeys.at("acme-1");
  EXPECT_EQ(Key.Digest, Digest);
  EXPECT_EQ(Key.Workspace.str(), "acme");
  EXPECT_TRUE(Key.Withdrawn);
  const auto &Service = Config.Services.at(ServiceId("stock"));
  EXPECT_EQ(Service.Kind, ServiceKind::Divided);
  EXPECT_EQ(Service.Verification, TargetVerification::Unverified);
  EXPECT_EQ(Service.Slices, 512U);
  EXPECT_EQ(Service.MaxDeadline, std::chrono::milliseconds(800));
  EXPECT_EQ(Service.DefaultDeadline, std::chrono::milliseconds(500));
  EXPECT_EQ(Service.Targets.at(TargetId("s1")).Address, "127.0.0.1:9001");
  const auto &Route = Config.Routes.at("stock");
  EXPECT_EQ(Route.PathPrefix, "/stock");
  EXPECT_EQ(Route.Source, KeySource::Header);
  EXPECT_EQ(Route.KeyName, "X-Key");
  EXPECT_EQ(Route.Idempotent, false);
  EXPECT_FALSE(Route.Open);
}

// Guards against a check that stops at the first error, and against errors
// without file, line, key, found and allowed value.
TEST(ConfigCheckerTest, ReportsAllErrorsAtOnce) {
  const auto Found = check(R"({
  "data_centres": {"dc1": {"weight": 0}},
  "workspaces": {"acme": {"rate_per_second": "fast"}},
  "caller_keys": {"k": {"digest": "XYZ", "workspace": "acne"}},
  "services": {"stock": {"kind": "sharded", "slices": 300,
    "targets": {"s1": {"address": "localhost:1", "data_centre": "dc1"}}}},
  "routes": {"r": {"path_prefix": "stock", "service": "stock",
    "colour": "red"}},
  "extra": 1
})");
  EXPECT_EQ(
      settingsErrorText(Found.Errors),
      "c.json:2: data_centres/dc1/weight: found 0, allowed: a whole number "
      "from 1 to 1000\n"
      "c.json:3: workspaces/acme/rate_per_second: found \"fast\", allowed: a "
      "number from 0.001 to 1000000000\n"
      "c.json:3: workspaces/acme/burst: found nothing, allowed: this key is "
      "required\n"
      "c.json:4: caller_keys/k/digest: found \"XYZ\", allowed: 64 lower-case "
      "hex digits (SHA-256)\n"
      "c.json:4: caller_keys/k/workspace: found \"acne\", allowed: a name "
      "defined in workspaces: acme\n"
      "c.json:5: services/stock/kind: found \"sharded\", allowed: "
      "\"undivided\", \"divided\"\n"
      "c.json:5: services/stock/slices: found 300, allowed: a power of two "
      "from 1 to 65536\n"
      "c.json:6: services/stock/targets/s1/address: found \"localhost:1\", "
      "allowed: an IP address and a port from 1 to 65535, like "
      "\"127.0.0.1:8080\" or \"[::1]:8080\"\n"
      "c.json:7: routes/r/path_prefix: found \"stock\", allowed: a path that "
      "starts with \"/\"\n"
      "c.json:8: routes/r/colour: found an unknown key, allowed: one of "
      "idempotent, key_name, key_segment, key_source, open, path_prefix, "
      "service\n"
      "c.json:9: extra: found an unknown key, allowed: one of caller_keys, "
      "data_centres, routes, services, workspaces");
}

// Guards against two keys, targets or routes that shadow each other.
TEST(ConfigCheckerTest, ReportsValuesUsedTwice) {
  const auto Found = check(R"({
  "data_centres": {"dc1": {}},
  "workspaces": {"a": {"rate_per_second": 1, "burst": 1}},
  "caller_keys": {"k1": {"digest": ")" +
                           Digest + R"(", "workspace": "a"},
    "k2": {"digest": ")" + Digest +
                           R"(", "workspace": "a"}},
  "services": {"s": {"kind": "undivided",
    "targets": {"t1": {"address": "127.0.0.1:1", "data_centre": "dc1"},
      "t2": {"address": "127.0.0.1:1", "data_centre": "dc1"}}}},
  "routes": {"r1": {"path_prefix": "/a", "service": "s"},
    "r2": {"path_prefix": "/a", "service": "s"}}
})");
  ASSERT_EQ(Found.Errors.size(), 3U) << settingsErrorText(Found.Errors);
  EXPECT_EQ(Found.Errors[0].Key, "caller_keys/k2/digest");
  EXPECT_EQ(Found.Errors[1].Key, "services/s/targets/t2/address");
  EXPECT_EQ(Found.Errors[1].Allowed,
            "an address that services/s/targets/t1/address does not use");
  EXPECT_EQ(Found.Errors[2].Key, "routes/r2/path_prefix");
}

// Guards against a configuration that leaves no home for any slice.
TEST(ConfigCheckerTest, RequiresADataCentreInService) {
  EXPECT_EQ(settingsErrorText(check("{}").Errors),
            "c.json:1: data_centres: found nothing, allowed: this key is "
            "required");
  EXPECT_EQ(
      settingsErrorText(
          check(R"({"data_centres": {"d": {"state": "taken-out"}}})").Errors),
      "c.json:1: data_centres: found no data centre in service, "
      "allowed: at least one with the state \"in-service\"");
}

} // namespace
