#include "buckthornring/Common/Random.h"
#include "buckthornring/Config/ConfigUpdate.h"
#include "buckthornring/Config/SettingsReader.h"

#include "Seeds.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <vector>

using namespace buckthornring;

namespace {

auto content() -> SettingsDocument {
  return SettingsReader::read("{}", "c.json").Value.value();
}

/// Platform object with conditional writes, and writes that arrive late.
class Platform {
public:
  auto write(const ConfigUpdate &Update) -> bool {
    if (Version != Update.baseVersion())
      return false;
    ++Version;
    Current = Update.record();
    ++Effects[Update.record().updateId()];
    return true;
  }

  std::uint64_t Version = 0;
  std::optional<ConfigRecord> Current;
  std::map<std::string, int> Effects; ///< By update identifier.
};

/// One command: reads the record, then drives a ConfigUpdate over a network
/// that loses and delays calls and answers.
class Command {
public:
  Command(Platform &Store, std::string Id, double Loss)
      : Store(Store), Id(std::move(Id)), Loss(Loss) {}

  /// One update in five raises the generation by more than one.
  auto begin(RandomSource &Random) -> void {
    const auto *Base = Store.Current ? &*Store.Current : nullptr;
    const auto Min = Random.chance(0.2) ? Random.below(100) : 0;
    Update.emplace(ConfigRecord::next(Base, content(), Id, Min).value(),
                   Store.Version);
  }

  auto done() const -> bool {
    return Update && Update->step() == ConfigUpdateStep::Done;
  }

  auto step(RandomSource &Random) -> void {
    if (!Update)
      return begin(Random);
    if (!InFlight.empty() && Random.chance(0.3)) {
      Store.write(InFlight.back());
      InFlight.pop_back();
    }
    if (Update->step() == ConfigUpdateStep::Write)
      write(Random);
    else if (Update->step() == ConfigUpdateStep::Read)
      read(Random);
  }

  auto deliverLate() -> void {
    for (const auto &Each : InFlight)
      Store.write(Each);
    InFlight.clear();
  }

  auto update() const -> const ConfigUpdate & { return *Update; }
  auto id() const -> const std::string & { return Id; }

private:
  auto write(RandomSource &Random) -> void {
    if (Random.chance(Loss / 2))
      return Update->onWriteUnsent();
    if (Random.chance(Loss / 2)) {
      InFlight.push_back(*Update);
      return Update->onWriteUnanswered();
    }
    const bool Written = Store.write(*Update);
    if (Random.chance(Loss))
      return Update->onWriteUnanswered();
    if (Written)
      return Update->onWritten();
    Update->onConflict();
  }

  auto read(RandomSource &Random) -> void {
    if (Random.chance(Loss))
      return Update->onReadUnanswered();
    Update->onRead(Store.Current ? &*Store.Current : nullptr, Store.Version);
  }

  Platform &Store;
  std::string Id;
  double Loss;
  std::optional<ConfigUpdate> Update;
  std::vector<ConfigUpdate> InFlight;
};

auto expectTrueOutcome(const Command &Each, Platform &Store) -> void {
  const auto &Update = Each.update();
  const int Effects = Store.Effects[Each.id()];
  ASSERT_LE(Effects, 1) << Each.id() << " took effect twice";
  switch (Update.outcome()) {
  case ConfigUpdateOutcome::Applied:
    ASSERT_EQ(Effects, 1) << Each.id();
    break;
  case ConfigUpdateOutcome::Refused:
    ASSERT_EQ(Effects, 0) << Each.id();
    ASSERT_GT(Update.winnerGeneration(), Update.record().baseGeneration());
    break;
  case ConfigUpdateOutcome::Unchanged:
    ASSERT_EQ(Effects, 0) << Each.id();
    break;
  default:
    ASSERT_EQ(Update.outcome(), ConfigUpdateOutcome::Unknown);
  }
}

auto race(std::uint64_t Seed, std::size_t Count, double Loss, int &Decided)
    -> void {
  RandomSource Random(Seed);
  Platform Store;
  std::vector<Command> Commands;
  Commands.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Commands.emplace_back(Store, "u" + std::to_string(I), Loss);
  std::size_t Done = 0;
  for (int Steps = 0; Done < Count; ++Steps) {
    ASSERT_LT(Steps, 10'000);
    auto &Each = Commands[Random.below(Count)];
    const bool Before = Each.done();
    Each.step(Random);
    Done += !Before && Each.done() ? 1 : 0;
  }
  for (auto &Each : Commands)
    Each.deliverLate();
  for (const auto &Each : Commands) {
    expectTrueOutcome(Each, Store);
    const auto Outcome = Each.update().outcome();
    Decided += Outcome == ConfigUpdateOutcome::Applied ||
                       Outcome == ConfigUpdateOutcome::Refused
                   ? 1
                   : 0;
  }
}

// Guards against a lost response that leads to a second effect, and against an
// outcome that does not match the update's effect.
TEST(ConfigRaceTest, TwoUpdatesApplyOnceOrAreRefused) {
  int Decided = 0;
  test::forEachSeed("ConfigRaceTest.TwoUpdates*", 2000,
                    [&](std::uint64_t Seed) { race(Seed, 2, 0.3, Decided); });
  // "Unknown" is always allowed, so most updates must end with another outcome.
  if (std::getenv("BTR_SEED") == nullptr) {
    EXPECT_GT(Decided, 3200);
  }
}

// Guards against the same faults when several updates take effect while one of
// them still waits for its response.
TEST(ConfigRaceTest, EightUpdatesApplyOnceOrAreRefused) {
  int Decided = 0;
  test::forEachSeed("ConfigRaceTest.EightUpdates*", 500,
                    [&](std::uint64_t Seed) { race(Seed, 8, 0.5, Decided); });
}

// Guards against "unknown" or "unchanged" when nothing was lost.
TEST(ConfigRaceTest, WithoutLossEveryUpdateIsDecided) {
  test::forEachSeed("ConfigRaceTest.WithoutLoss*", 200, [](std::uint64_t Seed) {
    int Decided = 0;
    race(Seed, 4, 0, Decided);
    ASSERT_EQ(Decided, 4);
  });
}

} // namespace
