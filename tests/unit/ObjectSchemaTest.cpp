#include "Gateway/ObjectSchema.h"

#include "Fleet/KeyRanges.h"
#include "Records.h"
#include "Rollout/RolloutRecord.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace buckthornring;

namespace {

using Json = nlohmann::json;

/// What the router reads on the users' platform.
class ObjectSchemaTest : public testing::Test {
protected:
  auto read(const std::string &Kind, const std::string &Name,
            const Json &Value) const -> Json {
    const auto Kept = Kinds.Schema.readValue(Kind, Name, Value.dump());
    return Kept ? *Kept : Json("not read");
  }
  /// Expects that nothing of the value is lost, and that what it holds besides
  /// is.
  auto expectKept(const std::string &Kind, const std::string &Name,
                  const Json &Value) const -> void {
    SCOPED_TRACE(Kind + "/" + Name);
    EXPECT_EQ(read(Kind, Name, Value), Value);
    Json More = Value;
    More["unread"] = {{"", {1, 2, 3}}};
    EXPECT_EQ(read(Kind, Name, More), Value);
  }

  const ObjectKinds Kinds = platform::objectKinds();
};

TEST_F(ObjectSchemaTest, WhatIsReadOfTargetsAndRolloutsIsKept) {
  expectKept(Kinds.Targets, "t1",
             {{"service", "pay"},
              {"address", "127.0.0.1:80"},
              {"zone", "dc1"},
              {"version", "v1"},
              {"slots", 4},
              {"warmup_left_s", 1.5},
              {"seq", 7},
              {"born", 1000},
              {"state", "ready"}});
  expectKept(Kinds.Rollouts, "pay",
             {{"service", "pay"}, {"to", "v2"}, {"duration_s", 5.5}});
  const auto Status = Kinds.EncodeRolloutStatus(RolloutState::Running, "v2");
  EXPECT_EQ(Kinds.Schema.readStatus(Kinds.Rollouts, "pay", Status.dump()),
            Status);
}

TEST_F(ObjectSchemaTest, WhatIsReadOfTheConfigurationIsKept) {
  const auto Rule = [](const Json &Action) {
    return Json{{"kind", "safe"},
                {"public", false},
                {"priority", 2},
                {"target_latency_s", 0.4},
                {"match", {{"path_prefix", "/a/"}}},
                {"action", Action}};
  };
  const Json Split = {{"max_attempts", 2},
                      {"traffic_split",
                       {{{"service", "pay"}, {"weight", 3}},
                        {{"service", "play"}, {"weight", 1}}}}};
  expectKept(
      Kinds.Settings, Kinds.SettingsName,
      {{"version", "r12"},
       {"limits",
        {{"max_header_bytes", 16384},
         {"max_body_bytes", 65536},
         {"header_timeout_s", 3},
         {"idle_timeout_s", 15}}},
       {"tenants",
        {{{"name", "shop"},
          {"rate_per_s", 5},
          {"burst", 2.5},
          {"priority", 1},
          {"api_keys", {"k1", std::string(2000, 'k')}}}}},
       {"clusters",
        {{{"name", "pay"},
          {"health_path", "/health"},
          {"max_conns", 130},
          {"warmup_s", 3.0},
          {"warmup_per_s", 7.8},
          {"sharded", true}}}},
       {"listeners",
        {{{"host", "h"},
          {"route_rules",
           {Rule({{"service", "pay"}, {"timeout_s", 1.2}}), Rule(Split)}}}}}});
}

TEST_F(ObjectSchemaTest, WhatTheRouterWritesIsKept) {
  RangeRecord Ranges;
  Ranges.NextFence = 9;
  Ranges.Era = 1;
  Ranges.WriterTerm = 5;
  Ranges.Ranges = {{0, 9, TargetId("t1"), 1000, 3, TargetId("t2"), 900, 2},
                   {10, 19, TargetId("t2"), 900, 4, {}, 0, 0}};
  expectKept(Kinds.Own, "ranges.pay", Ranges.json());
  RolloutRecord Rollout;
  Rollout.To = "v2";
  Rollout.Base = "v1";
  Rollout.Cause = "failures";
  expectKept(Kinds.Own, "rollout.pay", Rollout.toJson());
  expectKept(Kinds.Own, "fleet", {{"instances", 12}, {"ended_before", 3}});
  expectKept(Kinds.Own, "leader",
             {{"instance", "i1"},
              {"process", "i1-77"},
              {"address", "127.0.0.1:7100"},
              {"era", 0},
              {"earlier", {{"i2", "i2-5", "127.0.0.1:7101", 4}}},
              {"earlier_complete", true}});
}

// Guards against entries of another writer that take the memory of the process:
// of the other forms and names nothing is kept.
TEST_F(ObjectSchemaTest, NothingIsKeptOfWhatNobodyReads) {
  const Json Lists = Json::array({{{"", 1}}, {{"", 2}}});
  EXPECT_TRUE(read(Kinds.Evacuations, "dc1", Lists).is_null());
  EXPECT_TRUE(read(Kinds.Settings, "other", {{"version", "r1"}}).is_null());
  EXPECT_TRUE(read(Kinds.Own, "other", {{"era", 1}}).is_null());
  EXPECT_EQ(read(Kinds.Targets, "t1", {{"service", Lists}, {"seq", Lists}}),
            Json({{"service", nullptr}, {"seq", nullptr}}));
  EXPECT_EQ(read(Kinds.Own, "ranges.pay", {{"ranges", Lists}}), "not read");
  const Json Listed = {{"earlier", Json(std::vector<Json>(1000, Lists))}};
  EXPECT_EQ(read(Kinds.Own, "leader", Listed), "not read");
  for (const std::string &Kind :
       {Kinds.Settings, Kinds.Targets, Kinds.Evacuations, Kinds.Own})
    EXPECT_TRUE(
        Kinds.Schema.readStatus(Kind, "main", R"({"state":"x"})").is_null());
}

// A string that is cut off must not become a valid name.
TEST_F(ObjectSchemaTest, NamesThatAreTooLongStayInvalid) {
  const auto Target = [this](const std::string &Field,
                             const std::string &Value) {
    Json Spec = {{"service", "pay"}, {"address", "127.0.0.1:80"},
                 {"zone", "dc1"},    {"slots", 4},
                 {"seq", 7},         {"state", "ready"}};
    Spec[Field] = Value;
    StoredObject Object;
    Object.Name = "t1";
    Object.Value = read(Kinds.Targets, "t1", Spec);
    return platform::readTarget(Object);
  };
  for (const char *Field : {"service", "address", "zone", "state"}) {
    SCOPED_TRACE(Field);
    for (const std::size_t Size : {256U, 513U, 100'000U})
      EXPECT_FALSE(Target(Field, std::string(Size, 'x')));
    std::string Wide;
    while (Wide.size() < 1000)
      Wide += "\u00e4\u4e2d";
    EXPECT_FALSE(Target(Field, Wide));
  }
  EXPECT_TRUE(Target("version", std::string(100'000, 'x')));
}

} // namespace
