#include "process/Caller.h"
#include "process/ChildProcess.h"

#include <gtest/gtest.h>

#include <set>

using namespace buckthornring;
using namespace buckthornring::test;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

constexpr int Keys = 6;

/// Content with one caller key for each command of the race.
auto content() -> Json {
  Json Out = {{"data_centres", {{"dc1", Json::object()}}},
              {"workspaces", {{"a", {{"rate_per_second", 1}, {"burst", 1}}}}}};
  for (int I = 0; I < Keys; ++I)
    Out["caller_keys"]["k" + std::to_string(I)] = {
        {"workspace", "a"},
        {"digest", std::string(64, static_cast<char>('0' + I))}};
  return Out;
}

auto readAll(ChildProcess &Process) -> Json {
  std::string Text;
  while (const auto Line = Process.readLine(20s))
    Text += *Line + "\n";
  return Json::parse(Text, nullptr, false);
}

struct RaceResult {
  std::set<std::string> Applied; ///< Keys whose withdrawal was reported.
  std::set<std::uint64_t> Generations;
  int Refused = 0;
};

class CommandRaceTest : public testing::Test {
protected:
  CommandRaceTest() : Address(Platform.waitForLine("listening ")) {}

  auto run(std::vector<std::string> Arguments) -> ChildProcess {
    Arguments.insert(Arguments.end(), {"--json", "--platform", Address});
    return {"buckthornring", std::move(Arguments)};
  }

  auto applyContent() -> void {
    const std::string Path = testing::TempDir() + "btr-race-" +
                             Address.substr(Address.rfind(':') + 1) + ".json";
    std::FILE *File = std::fopen(Path.c_str(), "w");
    ASSERT_NE(File, nullptr);
    std::fputs(content().dump().c_str(), File);
    std::fclose(File);
    auto Apply = run({"apply", Path});
    EXPECT_EQ(readAll(Apply)["result"], "applied");
    std::remove(Path.c_str());
  }

  /// Runs one withdraw-key for each key, all at once.
  auto race(RaceResult &Out) -> void {
    std::vector<ChildProcess> Commands;
    Commands.reserve(Keys);
    for (int I = 0; I < Keys; ++I)
      Commands.push_back(run({"withdraw-key", "k" + std::to_string(I)}));
    for (int I = 0; I < Keys; ++I) {
      const auto Output = readAll(Commands[I]);
      const auto Code = Commands[I].waitForEnd(10s);
      if (Output["result"] == "applied") {
        EXPECT_EQ(Code, 0);
        Out.Applied.insert("k" + std::to_string(I));
        EXPECT_TRUE(
            Out.Generations.insert(Output["generation"].get<std::uint64_t>())
                .second)
            << "two commands report one generation";
      } else {
        EXPECT_EQ(Output["result"], "refused") << Output;
        EXPECT_EQ(Code, 3);
        EXPECT_GE(Output["winner"], 2) << Output;
        ++Out.Refused;
      }
    }
  }

  ChildProcess Platform{"standin_platform", {"--max-seconds", "60"}};
  std::string Address;
  Caller Client;
};

// Guards against concurrent commands that report one change twice, and against
// lost responses that lead to a second effect or to a wrong refusal.
TEST_F(CommandRaceTest, EachCommandAppliesOnceOrIsRefused) {
  applyContent();
  // The delay makes the commands read the same version.
  Client.post(Address, "/faults", R"({"delay_ms":100,"lose_answers":2})");
  RaceResult Found;
  race(Found);
  Client.post(Address, "/faults", R"({"delay_ms":0,"lose_answers":0})");
  const auto Record = Client.fetchJson(Address, "/v1/objects/config/current");
  std::set<std::string> Withdrawn;
  for (const auto &[Name, Key] : Record["content"]["caller_keys"].items())
    if (Key.value("withdrawn", false))
      Withdrawn.insert(Name);
  EXPECT_EQ(Withdrawn, Found.Applied);
  EXPECT_EQ(Record["generation"], 1 + Found.Applied.size());
  EXPECT_GE(Found.Applied.size(), 1U);
  EXPECT_GE(Found.Refused, 1) << "the commands did not race";
}

} // namespace
