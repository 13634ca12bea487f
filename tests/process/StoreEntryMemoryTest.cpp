#include "RouterProcess.h"
#include "support/GatewayFixture.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <string>
#include <thread>
#include <vector>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

constexpr RouterProcess::Limits Machine = {.MemoryMb = 64};

/// Entries, each almost as large as an object of the store may be. One of them
/// alone took 30 MB when its whole value was kept.
constexpr int EntryCount = 8;
constexpr std::size_t EntryBytes = 1'000'000;

/// Share of the machine's memory that a process may use at its peak, as in
/// ClientMemoryTest.
constexpr double PeakShare = 0.8;

/// A list of many small values, whose parsed form is much larger than its text.
auto manyLists() -> Json {
  const Json Part = Json::array({{{"", Json::object()}}});
  return Json(std::vector<Json>(EntryBytes / (Part.dump().size() + 1), Part));
}

auto manyObjects() -> Json {
  return Json(std::vector<Json>(EntryBytes / 3, Json::object()));
}

/// A target's record that can be used and holds more.
auto wideTarget() -> Json {
  return {{"service", "other"}, {"address", "127.0.0.1:1"},
          {"zone", "dc1"},      {"version", std::string(1000, 'v')},
          {"slots", 4},         {"state", "ready"},
          {"seq", 1},           {"unread", manyLists()}};
}

struct EntryCase {
  std::string Name;
  std::string Kind;
  std::string Prefix; ///< Of the entries' names.
  Json (*Value)();
};

auto operator<<(std::ostream &Out, const EntryCase &Case) -> std::ostream & {
  return Out << Case.Name;
}

/// Whether a process stays within its memory when another writer leaves such
/// entries, and when it starts while they are there.
class StoreEntryMemoryTest : public testing::TestWithParam<EntryCase> {
protected:
  auto expectSound() -> void {
    EXPECT_TRUE(Router.running());
    EXPECT_TRUE(Router.ordinaryRequest().has(" 200 "));
    std::printf("peak %zu kB\n", Router.peakMemory() / 1000);
    EXPECT_LT(static_cast<double>(Router.peakMemory()),
              PeakShare * 1e6 * Machine.MemoryMb);
  }

  RouterProcess Router{
      Machine, [](ScriptedTarget::Tcp::socket &To, const std::string &Request) {
        return ScriptedTarget::send(
            To,
            GatewayFixture::response(GatewayFixture::requestId(Request), "ok"));
      }};
};

// Guards against an end of every process by entries of another writer, whose
// parsed values were kept although nobody can use them.
TEST_P(StoreEntryMemoryTest, LargeEntriesOfAnotherWriterAreNotKept) {
  ASSERT_TRUE(Router.waitUntilServing());
  const auto &[Name, Kind, Prefix, Value] = GetParam();
  const Json Entry = Value();
  for (int Number = 0; Number < EntryCount; ++Number) {
    Router.store().set(Kind, Prefix + std::to_string(Number), Entry);
    std::this_thread::sleep_for(300ms);
  }
  std::this_thread::sleep_for(1s);
  expectSound();
  Router.restart();
  ASSERT_TRUE(Router.waitUntilServing());
  std::this_thread::sleep_for(1s);
  expectSound();
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, StoreEntryMemoryTest,
    testing::Values(
        EntryCase{"TargetsOfAnotherType", "servers", "zz-", manyLists},
        EntryCase{"TargetsThatHoldMore", "servers", "zz-", wideTarget},
        EntryCase{"OtherConfigurations", "config", "zz-", manyLists},
        EntryCase{"Evacuations", "evacuations", "zz-", manyLists},
        EntryCase{"OwnObjects", "buckthornring", "zz-", manyLists},
        EntryCase{"RangesOfAnotherForm", "buckthornring", "ranges.",
                  [] {
                    return Json{{"ranges", manyObjects()}};
                  }},
        EntryCase{"SomeRangesOfAnotherForm", "buckthornring", "ranges.",
                  [] {
                    return Json{
                        {"ranges", std::vector<Json>(100'000, Json::object())}};
                  }}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
