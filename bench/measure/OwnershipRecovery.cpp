#include "Measurement.h"
#include "ownership/FaultSchedule.h"

#include <algorithm>
#include <string>

namespace buckthornring::measure {

namespace {

using namespace buckthornring::test;

constexpr std::uint64_t RecoverySeeds = 10;
constexpr std::uint64_t FaultSeeds = 100;

/// Times without service, in seconds, of the slices of one lost target. A slice
/// is served again when a target runs it and every instance sends it there.
class RecoveryRun {
public:
  RecoveryRun(std::uint64_t Seed, bool Verified, bool PlatformUp)
      : Service(Verified ? "v" : "u"), Verified(Verified),
        World(options(Seed, Verified)) {
    World.run(8 * Second);
    World.Faults.Outage = !PlatformUp;
    World.run(5 * Second + static_cast<TrueTime>(World.Random.below(Second)));
  }

  auto lose(std::size_t Lost) -> std::vector<double> {
    std::vector<std::uint32_t> Waiting;
    for (std::uint32_t Slice = 0; Slice < Slices; ++Slice)
      if (served(Slice) == World.Targets[Lost].Id)
        Waiting.push_back(Slice);
    const TrueTime Start = World.now();
    World.stopTarget(Lost);
    std::vector<double> Times;
    while (!Waiting.empty() && World.now() < Start + 60 * Second) {
      World.run(10 * Millisecond);
      const auto Seconds = static_cast<double>(World.now() - Start) / Second;
      std::erase_if(Waiting, [&](std::uint32_t Slice) {
        const auto Owner = served(Slice);
        const bool Back = !Owner.empty() && Owner != World.Targets[Lost].Id;
        if (Back)
          Times.push_back(Seconds);
        return Back;
      });
    }
    Times.insert(Times.end(), Waiting.size(), 60.0);
    return Times;
  }

private:
  static constexpr std::uint32_t Slices = 256;

  static auto options(std::uint64_t Seed, bool Verified)
      -> OwnershipWorld::Options {
    OwnershipWorld::Options Options;
    Options.Seed = Seed;
    Options.Instances = 10;
    Options.VerifiedTargets = Verified ? 10 : 1;
    Options.UnverifiedTargets = Verified ? 0 : 10;
    Options.VerifiedSlices = Verified ? Slices : 1;
    Options.UnverifiedSlices = Slices;
    // The longest deadline for which the page promises 2 s.
    Options.MaxDeadline = std::chrono::milliseconds(800);
    return Options;
  }

  /// Returns the target to which every instance sends the slice, when it would
  /// run it, or nothing.
  auto served(std::uint32_t Slice) -> TargetId {
    TargetId Owner;
    for (const auto &Each : World.Instances) {
      const SliceMap *Map = Each.Routing->map(Service);
      if (Map == nullptr || !Each.Routing->maySend(Service, Slice, Verified,
                                                   Each.Clock.at(World.now())))
        return TargetId();
      if (!Owner.empty() && Owner != Map->at(Slice).Owner)
        return TargetId();
      Owner = Map->at(Slice).Owner;
    }
    if (!Verified)
      return Owner;
    const auto Holder = World.ownerOf(Slice);
    return Holder && World.Targets[*Holder].Id == Owner ? Owner : TargetId();
  }

  ServiceId Service;
  bool Verified;
  OwnershipWorld World;
};

auto percentile99(std::vector<double> Values) -> double {
  std::sort(Values.begin(), Values.end());
  if (Values.empty())
    return 60;
  const std::size_t Index = (Values.size() * 99 + 99) / 100 - 1;
  return Values[std::min(Index, Values.size() - 1)];
}

} // namespace

auto measureOwnershipRecovery() -> Measurements {
  Measurements Results;
  for (const bool Verified : {true, false})
    for (const bool PlatformUp : {true, false})
      for (std::uint64_t Seed = 1; Seed <= RecoverySeeds; ++Seed) {
        RecoveryRun Run(Seed, Verified, PlatformUp);
        const std::size_t Lost = (Verified ? 0 : 1) + Seed % 10;
        const std::string Policy =
            std::string(Verified ? "verified" : "unverified") +
            (PlatformUp ? ", platform up" : ", platform down");
        Results.push_back({"key.unavailable_p99_s", Policy, Seed,
                           percentile99(Run.lose(Lost)), "s", 2,
                           Bound::AtMost});
      }
  return Results;
}

auto measureOwnershipViolations() -> Measurements {
  Measurements Results;
  double Violations = 0;
  for (std::uint64_t Seed = 1; Seed <= FaultSeeds; ++Seed) {
    OwnershipWorld::Options Options;
    Options.Seed = Seed;
    OwnershipWorld World(Options);
    World.run(2 * Second);
    FaultSchedule Faults(World, Seed);
    Faults.start(World.now() + 60 * Second);
    World.run(70 * Second);
    Violations += World.violation().empty() ? 0 : 1;
  }
  Results.push_back({"ownership.violations", "random faults, seeds 1 to 100", 1,
                     Violations, "schedules", 0, Bound::AtMost});
  return Results;
}

} // namespace buckthornring::measure
