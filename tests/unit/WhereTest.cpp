#include "support/GatewayFixture.h"

#include "buckthornring/Common/Random.h"
#include "buckthornring/IO/HttpMessage.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <array>

using namespace buckthornring;
using namespace buckthornring::test;

namespace {

struct WhereTest : testing::Test {
  WhereTest() {
    for (const auto &[Name, Target] : Pay)
      Fixture.addTarget("pay", Name, *Target);
    for (const auto &[Name, Target] : Stock)
      Fixture.addTarget("stock", Name, *Target);
    Fixture.configure(1);
  }

  auto ask(const std::string &Query) -> nlohmann::json {
    return nlohmann::json::parse(Fixture.askAsPeer("/where?" + Query), nullptr,
                                 false);
  }
  auto error(const std::string &Query) -> std::string {
    return ask(Query).value("error", "none");
  }

  using Targets =
      std::vector<std::pair<std::string, std::unique_ptr<ScriptedTarget>>>;
  /// Targets that respond with their names.
  static auto named(std::initializer_list<const char *> Names) -> Targets {
    Targets Out;
    for (const char *Name : Names)
      Out.emplace_back(Name, std::make_unique<ScriptedTarget>(
                                 GatewayFixture::answering(Name)));
    return Out;
  }

  auto received(const std::string &Target, const std::string &Id) const
      -> bool {
    for (const Targets *Service : {&Pay, &Stock})
      for (const auto &[Name, Each] : *Service)
        if (Name == Target)
          for (const std::string &Request : Each->requests())
            if (GatewayFixture::requestId(Request) == Id)
              return true;
    return false;
  }

  Targets Pay = named({"p1", "p2", "p3", "p4"});
  Targets Stock = named({"s1", "s2", "s3"});
  GatewayFixture Fixture;
};

// Guards against an answer that is not the decision: 1,000 requests go to the
// targets that were named for them. A hedge of a slow one may be answered by
// another target, but the named one has received it too.
TEST_F(WhereTest, NamesTheTargetsThatRequestsThenGoTo) {
  ASSERT_TRUE(Fixture.waitUntilServing());
  ASSERT_TRUE(eventually([&] {
    return Fixture.exchange("GET", "/owned/1", "Shard-Key: 7\r\n").has(" 200 ");
  }));
  RandomSource Random(1);
  int Hedged = 0;
  int Keyed = 0;
  for (int Count = 0; Count < 1000; ++Count) {
    const auto Key = std::to_string(Random.below(65536));
    const std::string Path = std::array{"/safe/1", "/unsafe/1", "/open/1",
                                        "/owned/1"}[Random.below(4)];
    const std::string Id = "w" + std::to_string(Count) + ".";
    Keyed += Path == "/owned/1" ? 1 : 0;
    const auto Said = ask(std::string("host=h&workspace=acme&path=")
                              .append(Path)
                              .append("&key=")
                              .append(Key));
    const auto View =
        Fixture.exchange("GET", Path, "Shard-Key: " + Key + "\r\n", "", Id);
    ASSERT_TRUE(Said.is_object() && Said["decision"]["action"] == "send")
        << Said.dump(1);
    const std::string Named = Said["decision"]["target"];
    // A target that a hedge was faster than may read the request later.
    ASSERT_TRUE(eventually([&] { return received(Named, Id); }))
        << Said.dump(1) << View.Bytes;
    Hedged += View.Bytes.ends_with("\r\n\r\n" + Named) ? 0 : 1;
  }
  EXPECT_LE(Hedged, 20);
  EXPECT_GT(Keyed, 200);
}

TEST_F(WhereTest, ShowsWhatSpeaksForAndAgainstEachTarget) {
  ASSERT_TRUE(Fixture.waitUntilServing());
  Fixture.addTarget("pay", "p1", *Pay[0].second, "draining", 2);
  ASSERT_TRUE(eventually([&] {
    return ask("host=h&path=/safe/1&caller_key=secret")["candidates"]
        .back()
        .value("draining", false);
  }));
  const auto Said = ask("host=h:80&path=/safe/1%3fx&caller_key=secret");
  EXPECT_EQ(Said["route"]["path_prefix"], "/safe/");
  EXPECT_EQ(Said["workspace"], "acme");
  EXPECT_EQ(Said["service"], "pay");
  EXPECT_EQ(Said["rate"]["admitted"], true);
  ASSERT_EQ(Said["candidates"].size(), 4U);
  EXPECT_EQ(Said["candidates"][3]["target"], "p1");
  EXPECT_EQ(Said["candidates"][3]["reason"], "excluded");
  EXPECT_EQ(Said["retry"]["after_loss"], true);
  EXPECT_NE(Said["retry"]["target"], Said["decision"]["target"]);
}

// Guards against answers to questions that no request corresponds to.
TEST_F(WhereTest, UnknownRoutesAndKeysAreClearErrors) {
  EXPECT_EQ(error("host=h&path=/safe/1"),
            "the instance has no configuration yet");
  ASSERT_TRUE(Fixture.waitUntilServing());
  EXPECT_EQ(error("host=h"), "host and path are needed");
  EXPECT_EQ(error("host=h&path=safe"), "path: found safe, allowed: /...");
  EXPECT_EQ(error("host=h&path=/none/1"),
            "no route matches host h and path /none/1");
  EXPECT_EQ(error("host=h&path=/safe/1"),
            "the route needs a caller key or a workspace");
  EXPECT_EQ(error("host=h&path=/safe/1&caller_key=x"),
            "the caller key is unknown");
  EXPECT_EQ(error("host=h&path=/safe/1&workspace=x"),
            "there is no workspace x");
  EXPECT_EQ(error("host=h&path=/owned/1&workspace=acme"),
            "service stock is divided by key: a key is needed");
  EXPECT_EQ(error("host=h&path=/owned/1&workspace=acme&key=99999999"),
            "key: found 99999999, allowed: a number below 65536");
}

} // namespace
