#pragma once

#include "ownership/OwnershipWorld.h"

#include <array>

namespace buckthornring::test {

/// Random faults on a world, one after another.
class FaultSchedule {
public:
  FaultSchedule(OwnershipWorld &World, std::uint64_t Seed)
      : World(World), Random(Seed * 77 + 5) {}

  auto start(TrueTime Until) -> void {
    End = Until;
    next();
  }

private:
  using Fault = void (FaultSchedule::*)();

  auto next() -> void {
    if (World.now() >= End)
      return;
    static constexpr std::array<Fault, 14> Faults = {
        &FaultSchedule::pauseInstance, &FaultSchedule::pauseInstance,
        &FaultSchedule::pauseTarget,   &FaultSchedule::restartInstance,
        &FaultSchedule::restartTarget, &FaultSchedule::outage,
        &FaultSchedule::cutPlatform,   &FaultSchedule::cutLink,
        &FaultSchedule::cutTarget,     &FaultSchedule::cutTarget,
        &FaultSchedule::badNetwork,    &FaultSchedule::badPlatform,
        &FaultSchedule::split,         &FaultSchedule::resign};
    (this->*Faults[Random.below(Faults.size())])();
    World.Queue.after(span(50 * Millisecond, 1500 * Millisecond),
                      [this] { next(); });
  }

  auto span(TrueTime Least, TrueTime Most) -> TrueTime {
    return Least + static_cast<TrueTime>(
                       Random.below(static_cast<std::uint64_t>(Most - Least)));
  }
  auto instance() -> std::size_t {
    // The leader and its deputy matter most.
    const auto Leader = World.leader();
    if (Leader && Random.chance(0.4))
      return *Leader;
    return Random.below(World.Instances.size());
  }
  auto target() -> std::size_t { return Random.below(World.Targets.size()); }

  auto pauseInstance() -> void {
    World.pauseInstance(instance(), span(50 * Millisecond, 4 * Second));
  }
  auto pauseTarget() -> void {
    World.pauseTarget(target(), span(50 * Millisecond, 4 * Second));
  }
  auto restartInstance() -> void {
    const std::size_t Index = instance();
    if (!World.Instances[Index].Up)
      return;
    World.killInstance(Index);
    World.Queue.after(span(100 * Millisecond, 5 * Second),
                      [this, Index] { World.startInstance(Index); });
  }
  auto restartTarget() -> void {
    const std::size_t Index = target();
    if (!World.Targets[Index].Up)
      return;
    World.stopTarget(Index);
    World.Queue.after(span(10 * Millisecond, 3 * Second),
                      [this, Index] { World.startTarget(Index); });
  }
  auto outage() -> void {
    World.Faults.Outage = true;
    World.Queue.after(span(300 * Millisecond, 10 * Second),
                      [this] { World.Faults.Outage = false; });
  }
  auto cutPlatform() -> void {
    World.cut(World.Instances[instance()].Host, "platform",
              span(300 * Millisecond, 8 * Second));
  }
  auto cutLink() -> void {
    const std::size_t Left = instance();
    const std::size_t Right = Random.below(World.Instances.size());
    if (Left != Right)
      World.cut(World.Instances[Left].Host, World.Instances[Right].Host,
                span(300 * Millisecond, 6 * Second));
  }
  auto cutTarget() -> void {
    World.cut(World.Instances[instance()].Host,
              World.Targets[target()].Id.str(),
              span(300 * Millisecond, 6 * Second));
  }
  auto badNetwork() -> void {
    World.Net.Loss = Random.unit() * 0.4;
    World.Net.Repeat = Random.unit() * 0.2;
    World.Net.Late = Random.unit() * 0.2;
    World.Queue.after(span(500 * Millisecond, 4 * Second),
                      [this] { World.Net = OwnershipWorld::Network(); });
  }
  auto badPlatform() -> void {
    World.Faults.LostAnswer = Random.unit() * 0.5;
    World.Faults.LateEffect = Random.unit() * 0.3;
    World.Faults.Stale = Random.unit() * 0.4;
    World.Queue.after(span(1 * Second, 6 * Second), [this] {
      World.Faults.LostAnswer = 0;
      World.Faults.LateEffect = 0;
      World.Faults.Stale = 0;
    });
  }
  /// Separates some instances and targets from all the others.
  auto split() -> void {
    const TrueTime Span = span(1 * Second, 8 * Second);
    std::vector<std::string> Sides[2];
    Sides[Random.below(2)].push_back("platform");
    for (const auto &Each : World.Instances)
      Sides[Random.below(2)].push_back(Each.Host);
    for (const auto &Each : World.Targets)
      Sides[Random.below(2)].push_back(Each.Id.str());
    for (const std::string &Left : Sides[0])
      for (const std::string &Right : Sides[1])
        World.cut(Left, Right, Span);
  }
  auto resign() -> void {
    const std::size_t Index = instance();
    if (!World.Instances[Index].Up)
      return;
    World.resign(Index);
    const std::uint64_t Run = World.Instances[Index].Run;
    World.Queue.after(span(300 * Millisecond, 2 * Second), [this, Index, Run] {
      if (World.Instances[Index].Run != Run)
        return;
      World.killInstance(Index);
      World.startInstance(Index);
    });
  }

  OwnershipWorld &World;
  RandomSource Random;
  TrueTime End = 0;
};

} // namespace buckthornring::test
