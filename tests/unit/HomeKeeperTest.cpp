#include "buckthornring/Ownership/HomeKeeper.h"

#include "buckthornring/Common/Random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

using namespace buckthornring;
using namespace std::chrono_literals;

namespace {

const ServiceId Content("content");

auto configuration(ServingState StateOfB) -> Configuration {
  Configuration Config;
  Config.DataCentres[DataCentreId("a")] = {};
  Config.DataCentres[DataCentreId("b")].State = StateOfB;
  ServiceConfig &Service = Config.Services[Content];
  Service.Kind = ServiceKind::Divided;
  Service.Slices = 64;
  for (const char *Name : {"a", "b"}) {
    TargetConfig &Target = Service.Targets[TargetId(std::string(Name) + "1")];
    Target.DataCentre = DataCentreId(Name);
  }
  return Config;
}

/// Platform object in memory that can lose the answer of a write.
struct Store {
  std::string Value;
  std::uint64_t Version = 0;

  auto read() const -> ReadAnswer {
    ReadAnswer Answer;
    Answer.Answered = true;
    if (Version != 0)
      Answer.Found = ObjectValue{Value, Version};
    return Answer;
  }

  auto write(const WriteObject &Write) -> WriteAnswer {
    if (Write.IfVersion.value_or(0) != Version)
      return {WriteAnswer::Kind::Conflict, Version};
    Value = Write.Value;
    return {WriteAnswer::Kind::Written, ++Version};
  }
};

/// A keeper together with the term it leads and what its targets hold.
struct Site {
  HomeKeeper Keeper;
  std::optional<std::uint64_t> Term;
  std::vector<bool> Held = std::vector<bool>(64, false);
  /// A write on its way to the platform, and its answer on the way back.
  std::optional<WriteObject> Delayed;
  std::optional<WriteAnswer> DelayedAnswer;

  explicit Site(const char *Name)
      : Keeper(Content, DataCentreId(Name), HomeKeeper::Times()) {}

  /// Grants what the keeper allows, and releases the rest.
  auto grantHomes() -> void {
    if (Keeper.confirmed())
      Held = Keeper.homes();
  }

  auto releasedAway() const -> bool {
    const auto Own = Keeper.homes();
    for (std::size_t I = 0; I < Held.size(); ++I)
      if (Held[I] && !Own[I])
        return false;
    return true;
  }
};

auto run(Site &At, Store &Objects, TimePoint &Now, int Steps,
         RandomSource *Faults = nullptr) -> void {
  if (At.Delayed || (At.DelayedAnswer && !Faults->chance(0.2)))
    return;
  if (const auto Answer = std::exchange(At.DelayedAnswer, std::nullopt))
    At.Keeper.objectWritten(*Answer);
  for (int I = 0; I < Steps; ++I) {
    Now += 500ms;
    OwnershipActions Actions;
    At.Keeper.tick(At.Term, At.releasedAway(), Now, Actions);
    for (const OwnershipAction &Action : Actions) {
      const bool Lost = Faults != nullptr && Faults->chance(0.3);
      if (std::holds_alternative<ReadObject>(Action))
        At.Keeper.objectRead(Lost ? ReadAnswer() : Objects.read());
      if (const auto *Write = std::get_if<WriteObject>(&Action)) {
        if (Faults != nullptr && Faults->chance(0.3)) {
          At.Delayed = *Write;
          return;
        }
        const bool Effect = !Lost || Faults->chance(0.5);
        const WriteAnswer Answer =
            Effect ? Objects.write(*Write) : WriteAnswer();
        At.Keeper.objectWritten(Lost ? WriteAnswer() : Answer);
      }
    }
    At.grantHomes();
  }
}

// Guards against a data centre taken out whose slices stay there, or are
// granted elsewhere before they were released.
TEST(HomeKeeperTest, SlicesMoveWhenADataCentreIsTakenOut) {
  Store Objects;
  Site A("a");
  Site B("b");
  A.Term = 1;
  B.Term = 1;
  TimePoint Now;
  const auto Both =
      HomeMap::wanted(configuration(ServingState::InService), Content);
  A.Keeper.setWanted(Both);
  B.Keeper.setWanted(Both);
  run(A, Objects, Now, 10);
  run(B, Objects, Now, 10);
  EXPECT_GT(std::count(B.Held.begin(), B.Held.end(), true), 0);

  const auto OnlyA =
      HomeMap::wanted(configuration(ServingState::TakenOut), Content);
  A.Keeper.setWanted(OnlyA);
  run(A, Objects, Now, 10);
  EXPECT_LT(std::count(A.Held.begin(), A.Held.end(), true), 64);

  B.Keeper.setWanted(OnlyA);
  run(B, Objects, Now, 60);
  run(A, Objects, Now, 60);
  EXPECT_EQ(std::count(A.Held.begin(), A.Held.end(), true), 64);
  EXPECT_EQ(std::count(B.Held.begin(), B.Held.end(), true), 0);
}

// Guards against a leader that reads the platform in a busy loop once the homes
// are as wanted.
TEST(HomeKeeperTest, SettledKeeperReadsRarely) {
  Store Objects;
  TimePoint Now;
  Site A("a");
  A.Term = 1;
  A.Keeper.setWanted(
      HomeMap::wanted(configuration(ServingState::InService), Content));
  run(A, Objects, Now, 10);
  int Reads = 0;
  for (int I = 0; I < 1000; ++I) {
    Now += 10ms;
    OwnershipActions Actions;
    A.Keeper.tick(A.Term, true, Now, Actions);
    for (const OwnershipAction &Action : Actions) {
      ASSERT_TRUE(std::holds_alternative<ReadObject>(Action));
      A.Keeper.objectRead(Objects.read());
      ++Reads;
    }
  }
  // 10 s at one read each 2 s.
  EXPECT_LE(Reads, 6);
}

// Guards against slices of a lost data centre that stay without an owner after
// the operator confirmed the loss, and against taking them before that.
TEST(HomeKeeperTest, SlicesOfALostDataCentreMoveAfterConfirmation) {
  Store Objects;
  TimePoint Now;
  Site A("a");
  Site B("b");
  A.Term = 1;
  B.Term = 1;
  const auto Both =
      HomeMap::wanted(configuration(ServingState::InService), Content);
  A.Keeper.setWanted(Both);
  B.Keeper.setWanted(Both);
  run(A, Objects, Now, 10);
  run(B, Objects, Now, 10);

  A.Keeper.setWanted(
      HomeMap::wanted(configuration(ServingState::TakenOut), Content));
  run(A, Objects, Now, 20);
  EXPECT_LT(std::count(A.Held.begin(), A.Held.end(), true), 64);
  A.Keeper.setLost({DataCentreId("b")});
  run(A, Objects, Now, 20);
  EXPECT_EQ(std::count(A.Held.begin(), A.Held.end(), true), 64);
}

// Guards against a late write of a former leader that gives away a slice which
// the new leader of the same data centre already grants again.
TEST(HomeKeeperTest, WriteOfAFormerLeaderFailsAfterTheNewOneConfirmed) {
  Store Objects;
  TimePoint Now;
  Site Old("b");
  Old.Term = 1;
  Old.Keeper.setWanted(
      HomeMap::wanted(configuration(ServingState::InService), Content));
  run(Old, Objects, Now, 10);
  Old.Keeper.setWanted(
      HomeMap::wanted(configuration(ServingState::TakenOut), Content));
  Old.Held.assign(64, false);
  OwnershipActions Late;
  for (int I = 0; I < 100 && Late.empty(); ++I) {
    Now += 50ms;
    Old.Keeper.tick(Old.Term, true, Now, Late);
    if (!Late.empty() && std::holds_alternative<ReadObject>(Late[0])) {
      Old.Keeper.objectRead(Objects.read());
      Late.clear();
    }
  }
  ASSERT_FALSE(Late.empty());

  Site New("b");
  New.Term = 2;
  New.Keeper.setWanted(
      HomeMap::wanted(configuration(ServingState::InService), Content));
  run(New, Objects, Now, 10);
  ASSERT_TRUE(New.Keeper.confirmed());
  EXPECT_EQ(Objects.write(std::get<WriteObject>(Late[0])).Outcome,
            WriteAnswer::Kind::Conflict);
}

// Guards against two data centres that own one slice while the wanted homes
// change at different times and platform answers are lost after taking effect.
TEST(HomeKeeperTest, NoSliceIsHeldTwiceWhenAnswersAreLost) {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    RandomSource Faults(Seed);
    Store Objects;
    TimePoint Now;
    Site A("a");
    Site B("b");
    A.Term = 1;
    B.Term = 1;
    for (int Step = 0; Step < 200; ++Step) {
      Site &At = Faults.chance(0.5) ? A : B;
      if (At.Delayed && Faults.chance(0.5))
        At.DelayedAnswer =
            Objects.write(*std::exchange(At.Delayed, std::nullopt));
      if (Faults.chance(0.1))
        At.Keeper.setWanted(HomeMap::wanted(
            configuration(Faults.chance(0.5) ? ServingState::InService
                                             : ServingState::TakenOut),
            Content));
      At.grantHomes();
      if (Faults.chance(0.02))
        At.Term = *At.Term + 1;
      run(At, Objects, Now, 2, &Faults);
      for (std::size_t Slice = 0; Slice < 64; ++Slice)
        ASSERT_FALSE(A.Held[Slice] && B.Held[Slice]) << Slice;
    }
  }
}

// Guards against a take-out of one data centre that moves slices of others.
TEST(HomeMapTest, TakeOutMovesOnlyTheSlicesOfThatDataCentre) {
  const auto Both =
      HomeMap::wanted(configuration(ServingState::InService), Content);
  const auto OnlyA =
      HomeMap::wanted(configuration(ServingState::TakenOut), Content);
  for (std::uint32_t Slice = 0; Slice < 64; ++Slice) {
    EXPECT_EQ(OnlyA.home(Slice), DataCentreId("a"));
    if (Both.home(Slice) == DataCentreId("a")) {
      EXPECT_EQ(Both.home(Slice), OnlyA.home(Slice));
    }
  }
  const auto Again = HomeMap::parse(Both.text());
  ASSERT_TRUE(Again.hasValue());
  EXPECT_EQ(Again->text(), Both.text());
}

} // namespace
