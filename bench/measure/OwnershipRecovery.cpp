#include "Measurement.h"
#include "ownership/FaultSchedule.h"

#include <algorithm>
#include <string>

namespace buckthornring::measure {

namespace {

using namespace buckthornring::test;

constexpr std::uint64_t RecoverySeeds = 10;
constexpr std::uint64_t FaultSeeds = 100;

/// Measures how long the slices of a lost target are unavailable. A slice is
/// available again when a target serves it and every instance routes it to that
/// target.
class RecoveryRun {
public:
  RecoveryRun(std::uint64_t Seed, bool Verified, bool PlatformUp)
      : Service(Verified ? "v" : "u"), Verified(Verified),
        Simulation(options(Seed, Verified)) {
    Simulation.run(8 * Second);
    Simulation.Faults.Outage = !PlatformUp;
    Simulation.run(5 * Second +
                   static_cast<TrueTime>(Simulation.Random.below(Second)));
  }

  /// Stops the target and returns the seconds without service of each of its
  /// slices, at most 60.
  auto measureUnavailability(std::size_t Lost) -> std::vector<double> {
    std::vector<std::uint32_t> Unserved;
    for (std::uint32_t Slice = 0; Slice < Slices; ++Slice)
      if (servingTarget(Slice) == Simulation.Targets[Lost].Id)
        Unserved.push_back(Slice);
    const TrueTime Start = Simulation.now();
    Simulation.stopTarget(Lost);
    std::vector<double> Results;
    while (!Unserved.empty() && Simulation.now() < Start + 60 * Second) {
      Simulation.run(10 * Millisecond);
      const auto Elapsed =
          static_cast<double>(Simulation.now() - Start) / Second;
      std::erase_if(Unserved, [&](std::uint32_t Slice) {
        const auto Owner = servingTarget(Slice);
        const bool ServedAgain =
            !Owner.empty() && Owner != Simulation.Targets[Lost].Id;
        if (ServedAgain)
          Results.push_back(Elapsed);
        return ServedAgain;
      });
    }
    Results.insert(Results.end(), Unserved.size(), 60.0);
    return Results;
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
    // The longest deadline for which the documentation guarantees recovery
    // within 2 s.
    Options.MaxDeadline = std::chrono::milliseconds(800);
    return Options;
  }

  /// Returns the target to which every instance routes the slice if that target
  /// would serve it, or an empty id.
  auto servingTarget(std::uint32_t Slice) -> TargetId {
    TargetId Owner;
    for (const auto &Instance : Simulation.Instances) {
      const SliceMap *Map = Instance.Routing->map(Service);
      if (Map == nullptr ||
          !Instance.Routing->maySend(Service, Slice, Verified,
                                     Instance.Clock.at(Simulation.now())))
        return TargetId();
      if (!Owner.empty() && Owner != Map->at(Slice).Owner)
        return TargetId();
      Owner = Map->at(Slice).Owner;
    }
    if (!Verified)
      return Owner;
    const auto Holder = Simulation.ownerOf(Slice);
    return Holder && Simulation.Targets[*Holder].Id == Owner ? Owner
                                                             : TargetId();
  }

  ServiceId Service;
  bool Verified;
  OwnershipWorld Simulation;
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
                           percentile99(Run.measureUnavailability(Lost)), "s",
                           2, Bound::AtMost});
      }
  return Results;
}

auto measureOwnershipViolations() -> Measurements {
  Measurements Results;
  double Violations = 0;
  for (std::uint64_t Seed = 1; Seed <= FaultSeeds; ++Seed) {
    OwnershipWorld::Options Options;
    Options.Seed = Seed;
    OwnershipWorld Simulation(Options);
    Simulation.run(2 * Second);
    FaultSchedule Faults(Simulation, Seed);
    Faults.start(Simulation.now() + 60 * Second);
    Simulation.run(70 * Second);
    Violations += Simulation.violation().empty() ? 0 : 1;
  }
  Results.push_back({"ownership.violations", "random faults, seeds 1 to 100", 1,
                     Violations, "schedules", 0, Bound::AtMost});
  return Results;
}

} // namespace buckthornring::measure
