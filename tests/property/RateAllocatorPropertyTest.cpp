#include "buckthornring/Common/Random.h"
#include "buckthornring/Limits/RateAllocator.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <optional>

using namespace buckthornring;

namespace {

const WorkspaceId Workspace("w");
constexpr ShareAmount Total{1'000'000, 200'000};

/// The platform object, kept in memory.
struct Store {
  std::optional<RateAllocationTable> Value;
  std::uint64_t Version = 0;

  auto write(const RateAllocationTable &Next, std::uint64_t Expected) -> bool {
    if (Expected != Version)
      return false;
    Value = parseRateAllocations(formatRateAllocations(Next)).value();
    ++Version;
    return true;
  }
};

/// One data centre: its allocator and a ledger that takes lent shares back
/// late.
struct Site {
  RateAllocator Allocator;
  ShareAmount InForce;
  struct Write {
    RateAllocationTable Table;
    std::uint64_t Expected;
  };
  std::optional<Write> Delayed;

  explicit Site(const char *Name) : Allocator(DataCentreId(Name)) {}

  auto follow(RandomSource &Random) -> void {
    const ShareAmount Allowed = Allocator.allowed(Workspace);
    // An increase is lent at once; a reduction takes effect at some later time.
    if (Allowed.Rate > InForce.Rate || Random.chance(0.3))
      InForce.Rate = Allowed.Rate;
    if (Allowed.Units > InForce.Units || Random.chance(0.3))
      InForce.Units = Allowed.Units;
    Allocator.setEffectiveTotal(Workspace, InForce);
  }
};

class Schedule {
public:
  explicit Schedule(std::uint64_t Seed) : Random(Seed) {
    for (const char *Name : {"a", "b", "c"})
      Sites.emplace_back(Name);
    for (Site &Each : Sites)
      setTotals(Each);
  }

  auto step() -> void {
    Site &Current = Sites[Random.below(Sites.size())];
    if (Random.chance(0.1))
      Current.Allocator.setDemand(
          Workspace, static_cast<MilliUnits>(Random.below(2'000'000)));
    if (Random.chance(0.02))
      setTotals(Current);
    if (Current.Delayed && Random.chance(0.3)) {
      Objects.write(Current.Delayed->Table, Current.Delayed->Expected);
      Current.Delayed.reset();
    }
    if (Random.chance(0.5))
      Current.Allocator.setRecorded(Objects.Value, Objects.Version);
    else if (!Current.Delayed)
      write(Current);
    for (Site &Each : Sites)
      Each.follow(Random);
  }

  auto inForce() const -> ShareAmount {
    ShareAmount Sum;
    for (const Site &Each : Sites) {
      Sum.Rate += Each.InForce.Rate;
      Sum.Units += Each.InForce.Units;
    }
    return Sum;
  }

private:
  auto setTotals(Site &Current) -> void {
    RateAllocator::Totals Totals;
    for (const char *Name : {"a", "b", "c"})
      Totals.Weights[DataCentreId(Name)] =
          static_cast<std::uint32_t>(Random.below(3));
    Totals.Workspaces[Workspace] = Total;
    Current.Allocator.setTotals(std::move(Totals));
  }

  auto write(Site &Current) -> void {
    const std::uint64_t Expected = Current.Allocator.version();
    const auto Next = Current.Allocator.beginWrite();
    if (!Next)
      return;
    if (Random.chance(0.3)) {
      Current.Delayed = {*Next, Expected};
      return;
    }
    const bool Done = Objects.write(*Next, Expected);
    const bool ResponseLost = Random.chance(0.2);
    if (Done && !ResponseLost)
      Current.Allocator.onWriteSucceeded(Objects.Version);
  }

  RandomSource Random;
  Store Objects;
  std::vector<Site> Sites;
};

auto firstSeed() -> std::uint64_t {
  const char *Seed = std::getenv("BTR_SEED");
  return Seed != nullptr ? std::strtoull(Seed, nullptr, 10) : 1;
}

auto seedCount() -> std::uint64_t {
  if (std::getenv("BTR_SEED") != nullptr)
    return 1;
  return std::getenv("BTR_LONG") != nullptr ? 10'000 : 500;
}

// Guards against data centres that together lend more than a workspace's rate
// while demand and weights change and platform responses are late or lost.
TEST(RateAllocatorPropertyTest, AllocationsInForceNeverExceedTheTotal) {
  for (std::uint64_t Seed = firstSeed(); Seed < firstSeed() + seedCount();
       ++Seed) {
    Schedule Run(Seed);
    for (int Step = 0; Step < 200; ++Step) {
      Run.step();
      const ShareAmount Sum = Run.inForce();
      ASSERT_LE(Sum.Rate, Total.Rate)
          << "replay: BTR_SEED=" << Seed << " property_tests, step " << Step;
      ASSERT_LE(Sum.Units, Total.Units)
          << "replay: BTR_SEED=" << Seed << " property_tests, step " << Step;
    }
  }
}

// Guards against refusals in a data centre that was just taken out, while its
// slices still run there.
TEST(RateAllocatorPropertyTest,
     TakenOutDataCentreKeepsAnAllocationForItsDemand) {
  RateAllocator Allocator(DataCentreId("b"));
  RateAllocator::Totals Totals;
  Totals.Weights = {{DataCentreId("a"), 1}, {DataCentreId("b"), 1}};
  Totals.Workspaces[Workspace] = Total;
  Allocator.setTotals(Totals);
  Allocator.setDemand(Workspace, 300'000);
  Allocator.setRecorded(std::nullopt, 0);
  ASSERT_TRUE(Allocator.beginWrite().has_value());
  Allocator.onWriteSucceeded(1);
  ASSERT_GE(Allocator.allowed(Workspace).Rate, 300'000);
  Totals.Weights[DataCentreId("b")] = 0;
  Allocator.setTotals(Totals);
  EXPECT_GE(Allocator.allowed(Workspace).Rate, 300'000);
}

// Guards against a rate that stays unused: with steady demand at one data
// centre, nearly all of the rate must be allocated to it.
TEST(RateAllocatorPropertyTest, AllocationsFollowDemand) {
  Store Objects;
  std::vector<Site> Sites;
  for (const char *Name : {"a", "b", "c"})
    Sites.emplace_back(Name);
  RandomSource Random(1);
  for (int Round = 0; Round < 60; ++Round)
    for (Site &Each : Sites) {
      RateAllocator::Totals Totals;
      for (const char *Name : {"a", "b", "c"})
        Totals.Weights[DataCentreId(Name)] = 1;
      Totals.Workspaces[Workspace] = Total;
      Each.Allocator.setTotals(Totals);
      Each.Allocator.setDemand(Workspace, &Each == Sites.data() ? 800'000 : 0);
      Each.Allocator.setRecorded(Objects.Value, Objects.Version);
      const std::uint64_t Expected = Each.Allocator.version();
      if (const auto Next = Each.Allocator.beginWrite())
        if (Objects.write(*Next, Expected))
          Each.Allocator.onWriteSucceeded(Objects.Version);
      Each.follow(Random);
    }
  EXPECT_GE(Sites[0].InForce.Rate, 800'000);
}

} // namespace
