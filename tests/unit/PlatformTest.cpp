#include "HeaderFields.h"
#include "Records.h"
#include "buckthornring/Config/CallerKeys.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

using namespace buckthornring;
using Json = nlohmann::json;

namespace {

auto configuration() -> Json {
  return Json::parse(R"({
    "version": "r12",
    "limits": {"max_header_bytes": 1000, "max_body_bytes": 2000,
               "header_timeout_s": 3, "idle_timeout_s": 15.5},
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 0,
                 "rate_per_s": 117, "burst": 50}],
    "listeners": [{"host": "h.example", "route_rules": [
      {"name": "a", "kind": "safe", "target_latency_s": 0.4, "priority": 2,
       "public": false, "match": {"path_prefix": "/a/"},
       "action": {"traffic_split": [{"service": "s1", "weight": 90},
                                    {"service": "s2", "weight": 10}],
                  "timeout_s": 1.2, "max_attempts": 3}},
      {"name": "b", "kind": "unsafe", "public": true,
       "match": {"path_prefix": "/a/b/"}, "action": {"service": "s2"}}]}],
    "clusters": [{"name": "s1", "health_path": "/health", "max_conns": 130,
                  "warmup_s": 3.0, "warmup_per_s": 7.8},
                 {"name": "s2", "sharded": true}]})");
}

TEST(PlatformTest, ReadsEveryPartOfAConfiguration) {
  const auto Read = platform::readConfiguration(configuration());
  ASSERT_TRUE(Read) << Read.error().message();
  EXPECT_EQ(Read->Generation, 12U);
  EXPECT_EQ(Read->Limits.HeadBytes, 1000U);
  EXPECT_EQ(Read->Limits.IdleTimeout, std::chrono::milliseconds(15500));
  const auto &Workspace = Read->Workspaces.at(WorkspaceId("t1"));
  EXPECT_EQ(Workspace.RatePerSecond, 117);
  EXPECT_EQ(Workspace.Burst, 50);
  EXPECT_EQ(Workspace.Priority, 0U);
  const CallerKeys Keys(*Read);
  ASSERT_TRUE(Keys.find("k2"));
  EXPECT_EQ(Keys.find("k2")->Workspace.str(), "t1");
  EXPECT_FALSE(Keys.find("k3"));
  const auto &SplitRoute = Read->Routes.at("h.example/a/");
  EXPECT_EQ(SplitRoute.Split.size(), 2U);
  EXPECT_EQ(SplitRoute.Split[0].Weight, 90U);
  EXPECT_EQ(SplitRoute.MaxAttempts, 3U);
  EXPECT_EQ(SplitRoute.Timeout, std::chrono::milliseconds(1200));
  EXPECT_TRUE(*SplitRoute.Idempotent);
  const auto &SecondRoute = Read->Routes.at("h.example/a/b/");
  EXPECT_FALSE(*SecondRoute.Idempotent);
  EXPECT_TRUE(SecondRoute.Open);
  EXPECT_FALSE(SecondRoute.Timeout);
  EXPECT_EQ(Read->Services.at(ServiceId("s1")).ColdRequestsPerSecond, 7.8);
  EXPECT_EQ(Read->Services.at(ServiceId("s2")).NumberedKeys, 65536U);
}

TEST(PlatformTest, ReadsWhatTargetsAnnounceOfThemselves) {
  using std::chrono::milliseconds;
  EXPECT_TRUE(platform::readNotices(200, {{"server-leaving", "1"}}).Leaving);
  EXPECT_FALSE(platform::readNotices(200, {{"Server-Leaving", "0"}}).Leaving);
  EXPECT_FALSE(platform::readNotices(200, {}).Leaving);
  const auto Pause = [](const char *Text) {
    return platform::readNotices(503, {{"Retry-After", Text}}).RequestedPause;
  };
  EXPECT_EQ(Pause("2"), milliseconds(2000));
  EXPECT_EQ(Pause("0.25"), milliseconds(250));
  EXPECT_EQ(Pause("0"), milliseconds(0));
  EXPECT_FALSE(
      platform::readNotices(429, {{"Retry-After", "2"}}).RequestedPause);
}

TEST(PlatformTest, PauseThatIsNoReasonableNumberOfSecondsIsUnreadable) {
  for (const char *Text :
       {"", "-1", "-0.5", "soon", "1s", "1e3", "inf", "nan", "3601",
        "99999999999999999999", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    const auto Notices = platform::readNotices(503, {{"Retry-After", Text}});
    EXPECT_FALSE(Notices.RequestedPause) << Text;
    EXPECT_TRUE(Notices.UnreadablePause) << Text;
  }
  EXPECT_FALSE(platform::readNotices(503, {}).UnreadablePause);
  EXPECT_FALSE(
      platform::readNotices(200, {{"Retry-After", "x"}}).UnreadablePause);
}

// Guards against the end of the leading instance: the bytes that a target hands
// over are sent to the next owner in a JSON body, which holds only UTF-8.
TEST(PlatformTest, HandoverThatCannotBeSentOnIsUnreadable) {
  RangeOrder Grant;
  for (const std::string Text : {"\xff\xfe", "caf\xe9", "\xed\xa0\x80",
                                 "\xf4\x90\x80\x80", "5c0e\xc3"}) {
    const HttpHeaders Fields = {{"Handover", Text}};
    EXPECT_EQ(platform::readHandover(Fields), "");
    EXPECT_TRUE(platform::readNotices(200, Fields).UnreadableHandover);
    Grant.Handover = Text;
    EXPECT_NO_THROW(platform::encodeOrder(Grant));
  }
  const HttpHeaders TooLong = {{"Handover", std::string(5000, 'a')}};
  EXPECT_EQ(platform::readHandover(TooLong), "");
  EXPECT_TRUE(platform::readNotices(200, TooLong).UnreadableHandover);
  for (const std::string Text : {"", "5c0e7a21d94b36f8", "caf\xc3\xa9"}) {
    const HttpHeaders Fields = {{"Handover", Text}};
    EXPECT_EQ(platform::readHandover(Fields), Text);
    EXPECT_FALSE(platform::readNotices(200, Fields).UnreadableHandover);
  }
  EXPECT_FALSE(platform::readNotices(200, {}).UnreadableHandover);
}

TEST(PlatformTest, InvalidConfigurationIsRejectedAsAWhole) {
  for (
      const char *Patch :
      {R"([{"op":"replace","path":"/version","value":"12"}])",
       R"([{"op":"replace","path":"/version","value":"r"}])",
       R"([{"op":"remove","path":"/listeners/0/route_rules/0/match"}])",
       R"([{"op":"replace","path":"/tenants/0/api_keys","value":7}])",
       R"([{"op":"replace","path":"/listeners/0/route_rules/0/action/timeout_s","value":-1}])",
       R"([{"op":"remove","path":"/clusters"}])"})
    EXPECT_FALSE(
        platform::readConfiguration(configuration().patch(Json::parse(Patch))))
        << Patch;
  EXPECT_FALSE(platform::readConfiguration(Json("bytes")));
}

auto target(Json Record) -> Result<TargetRecord> {
  return platform::readTarget({"i1", 5, false, std::move(Record)});
}

TEST(PlatformTest, ReadsTargetRecords) {
  const auto Read = target(Json::parse(
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",
          "slots":4,"state":"draining","warmup_left_s":1.5,"seq":7,
          "born":1700000000123,"new_field":true})"));
  ASSERT_TRUE(Read) << Read.error().message();
  EXPECT_EQ(Read->Id.str(), "i1");
  EXPECT_EQ(Read->DataCentre.str(), "z");
  EXPECT_TRUE(Read->Draining);
  EXPECT_EQ(Read->RemainingColdTime, std::chrono::milliseconds(1500));
  EXPECT_EQ(Read->StartedAtMs, 1700000000123);
  EXPECT_EQ(Read->Sequence, 7U);
}

TEST(PlatformTest, InvalidTargetRecordsAreRejected) {
  const Json Valid = Json::parse(
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
          "state":"ready","seq":7,"born":17})");
  ASSERT_TRUE(target(Valid));
  for (const char *Field :
       {"service", "address", "zone", "slots", "state", "seq"}) {
    Json Missing = Valid;
    Missing.erase(Field);
    EXPECT_FALSE(target(Missing)) << Field;
    Json Invalid = Valid;
    Invalid[Field] = Json::array();
    EXPECT_FALSE(target(Invalid)) << Field;
  }
  for (const auto &[Field, Value] :
       std::vector<std::pair<std::string, Json>>{{"state", "gone"},
                                                 {"address", "host:80"},
                                                 {"slots", 0},
                                                 {"born", 1.5},
                                                 {"born", "17"}}) {
    Json Invalid = Valid;
    Invalid[Field] = Value;
    EXPECT_FALSE(target(Invalid)) << Field << " " << Value;
  }
  EXPECT_FALSE(target("bytes"));
}

// Guards against numbers that wrap around to valid ones: a record with -1 slots
// drew all requests, and one with sequence -1 hid all later ones.
TEST(PlatformTest, TargetRecordsWithNumbersOutOfRangeAreRejected) {
  const Json Valid = Json::parse(
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
          "state":"ready","seq":7,"born":17,"warmup_left_s":0})");
  ASSERT_TRUE(target(Valid));
  const std::uint64_t Largest = std::numeric_limits<std::uint64_t>::max();
  for (const auto &[Field, Value] : std::vector<std::pair<std::string, Json>>{
           {"slots", -1},
           {"slots", 4.5},
           {"slots", 1e300},
           {"slots", Largest},
           {"slots", std::uint64_t{1} << 32U},
           {"slots", 4'000'000'000U},
           {"seq", -1},
           {"seq", 1.5},
           {"seq", 1e300},
           {"born", Largest},
           {"born", 1e300},
           {"warmup_left_s", -1},
           {"warmup_left_s", 1e300}}) {
    Json Invalid = Valid;
    Invalid[Field] = Value;
    EXPECT_FALSE(target(Invalid)) << Field << " " << Value;
  }
}

// Guards against ids and addresses that add fields to the requests in which
// they are sent.
TEST(PlatformTest, TargetRecordsWithUnusableNamesAreRejected) {
  const Json Valid = Json::parse(
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
          "state":"ready","seq":7,"born":17})");
  for (const std::string &Id :
       {std::string(), std::string("i1\r\nTenant: other"), std::string("\0", 1),
        std::string("i\x7f"), std::string("i 1"), std::string(300, 'i')})
    EXPECT_FALSE(platform::readTarget({Id, 5, false, Valid})) << Id;
  for (const std::string &Address :
       {std::string(), std::string("10.0.0.1"), std::string("10.0.0.1:"),
        std::string("10.0.0.1:0"), std::string("10.0.0.1:65536"),
        std::string("10.0.0.1:-1"), std::string("10.0.0.1:80 "),
        std::string("10.0.0.1:99999999999999999999"),
        std::string("10.0.0.1\0\r\nTenant: other:80", 26),
        std::string("[fe80::1%\r\nTenant: other]:80"),
        std::string("10.0.0.1:8\r\n")}) {
    Json Invalid = Valid;
    Invalid["address"] = Address;
    EXPECT_FALSE(target(Invalid)) << Address;
  }
  for (const char *Field : {"service", "zone"})
    for (const std::string &Name :
         {std::string(), std::string("a\nb"), std::string(300, 'a')}) {
      Json Invalid = Valid;
      Invalid[Field] = Name;
      EXPECT_FALSE(target(Invalid)) << Field;
    }
}

TEST(PlatformTest, ReadsLoadReportsWithAndWithoutSlowness) {
  const auto WithoutSlowness = platform::readLoad("3,1,8");
  ASSERT_TRUE(WithoutSlowness);
  EXPECT_EQ(WithoutSlowness->Running, 3U);
  EXPECT_EQ(WithoutSlowness->Waiting, 1U);
  EXPECT_EQ(WithoutSlowness->Slots, 8U);
  EXPECT_EQ(WithoutSlowness->Slowness, 1);
  EXPECT_EQ(platform::readLoad("3,1,8,250")->Slowness, 2.5);
  for (const char *Invalid :
       {"", "3", "3,1", "a,b,c", "3,1,0", "3;1;8", "-1,0,4"})
    EXPECT_FALSE(platform::readLoad(Invalid)) << Invalid;
}

TEST(PlatformTest, EncodesOrders) {
  RangeOrder Call;
  Call.From = 1;
  Call.To = 9;
  Call.Fence = 12;
  Call.HoldPeriod = std::chrono::milliseconds(2500);
  Call.Handover = "abc";
  const auto Grant = platform::encodeOrder(Call);
  EXPECT_EQ(Grant.Path, "/v1/grant");
  EXPECT_EQ(Json::parse(Grant.Body),
            Json::parse(R"({"from":1,"to":9,"fence":12,"hold_s":2.5,
                            "handover":"abc"})"));
  Call.Type = RangeOrder::Kind::Release;
  const auto Release = platform::encodeOrder(Call);
  EXPECT_EQ(Release.Path, "/v1/release");
  EXPECT_EQ(Json::parse(Release.Body),
            Json::parse(R"({"from":1,"to":9,"fence":12})"));
}

} // namespace
