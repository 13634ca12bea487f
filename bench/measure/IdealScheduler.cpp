#include "OverloadSimulation.h"

#include <algorithm>
#include <array>
#include <optional>

namespace buckthornring::measure {

namespace {

using Arrival = OverloadScenario::Arrival;

auto earned(const RequestKind &Kind, Duration Latency) -> double {
  if (Latency > Kind.Deadline)
    return 0;
  return Latency > Kind.Goal ? Kind.LateValue : Kind.Value;
}

/// Share of the value that requests earn at a target.
auto soundShare(const OverloadScenario &Scenario, std::size_t Target,
                TimePoint Now) -> double {
  return 1 - Scenario.failureShare(Target, Now);
}

/// Whether a target accepts requests. Shedding of a part of the arrivals does
/// not hold up a scheduler that may send again without limit.
auto accepts(const OverloadScenario &Scenario, std::size_t Target,
             TimePoint Now) -> bool {
  return Scenario.shedShare(Target, Now) < 1 && !Scenario.down(Target, Now);
}

/// Schedules the requests of one owner.
class IdealOwner {
public:
  IdealOwner(const OverloadScenario &Scenario, std::size_t Index)
      : Scenario(Scenario), Index(Index), FreeAt(OverloadScenario::Slots) {}

  auto run() -> double {
    std::vector<const Arrival *> Coming;
    for (const Arrival &Request : Scenario.arrivals())
      if (Request.Owner == Index)
        Coming.push_back(&Request);
    std::size_t Next = 0;
    while (true) {
      auto &Slot = *std::min_element(FreeAt.begin(), FreeAt.end());
      if (Waiting.empty()) {
        if (Next == Coming.size())
          return Value;
        Slot = std::max(Slot, Coming[Next]->At);
      }
      while (Next < Coming.size() && Coming[Next]->At <= Slot)
        Waiting.push_back(Coming[Next++]);
      Slot = runOne(Slot);
    }
  }

private:
  /// Runs the best waiting request. Returns the time at which the slot is free.
  auto runOne(TimePoint Now) -> TimePoint {
    if (!accepts(Scenario, Index, Now))
      return Now + std::chrono::milliseconds(10);
    std::erase_if(Waiting, [&](const Arrival *Request) {
      return earned(*Request, Now + expected(*Request, Now)) == 0;
    });
    if (Waiting.empty())
      return Now;
    const auto Best =
        std::max_element(Waiting.begin(), Waiting.end(),
                         [&](const Arrival *First, const Arrival *Second) {
                           return density(*First, Now) < density(*Second, Now);
                         });
    const Arrival Request = **Best;
    Waiting.erase(Best);
    const TimePoint End =
        Now + Duration(static_cast<std::int64_t>(
                  Request.WorkUs * Scenario.slowness(Index, Now)));
    Value += earned(Request, End) * soundShare(Scenario, Index, End);
    return End;
  }

  auto expected(const Arrival &Request, TimePoint Now) const -> Duration {
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(RequestKinds.at(Request.Kind).Work.count()) *
        Scenario.slowness(Index, Now)));
  }

  static auto earned(const Arrival &Request, TimePoint End) -> double {
    return measure::earned(RequestKinds.at(Request.Kind), End - Request.At);
  }

  /// Value for the work; among equal requests the earliest is first.
  auto density(const Arrival &Request, TimePoint Now) const -> double {
    const Duration Work = expected(Request, Now);
    const double Age = static_cast<double>((Now - Request.At).count()) * 1e-12;
    return earned(Request, Now + Work) / static_cast<double>(Work.count()) +
           Age * 1e-6;
  }

  const OverloadScenario &Scenario;
  std::size_t Index;
  std::vector<TimePoint> FreeAt;
  std::vector<const Arrival *> Waiting;
  double Value = 0;
};

/// Schedules the requests of an undivided service: a request runs at once on
/// the fastest target with a free slot, and waits only if there is none.
class IdealPool {
public:
  explicit IdealPool(const OverloadScenario &Scenario)
      : Scenario(Scenario),
        Free(Scenario.targetCount(), OverloadScenario::Slots) {}

  auto run() -> double {
    const auto &Coming = Scenario.arrivals();
    std::size_t Next = 0;
    while (Next < Coming.size() || !Ends.empty()) {
      const bool Arrives =
          Next < Coming.size() &&
          (Ends.empty() || Coming[Next].At <= Ends.begin()->first);
      const TimePoint Now = Arrives ? Coming[Next].At : Ends.begin()->first;
      if (Arrives) {
        Waiting.at(Coming[Next].Kind).push_back(&Coming[Next]);
        ++Next;
      } else {
        ++Free[Ends.begin()->second];
        Ends.erase(Ends.begin());
      }
      runWaiting(Now);
    }
    return Value;
  }

private:
  using Queue = std::deque<const Arrival *>;

  auto runWaiting(TimePoint Now) -> void {
    while (true) {
      for (std::size_t Kind = 0; Kind < Waiting.size(); ++Kind)
        while (!Waiting[Kind].empty() &&
               Now - Waiting[Kind].front()->At > RequestKinds.at(Kind).Deadline)
          Waiting[Kind].pop_front();
      const bool Any =
          std::any_of(Waiting.begin(), Waiting.end(),
                      [](const Queue &Kind) { return !Kind.empty(); });
      const auto Target = Any ? fastest(Now) : std::nullopt;
      if (!Target)
        return;
      runOne(*Target, Now);
    }
  }

  auto fastest(TimePoint Now) -> std::optional<std::size_t> {
    std::optional<std::size_t> Best;
    double BestCost = 0;
    for (std::size_t Target = 0; Target < Free.size(); ++Target) {
      if (Free[Target] == 0 || !accepts(Scenario, Target, Now))
        continue;
      const double Cost =
          slowness(Target, Now) / soundShare(Scenario, Target, Now);
      if (!Best || Cost < BestCost) {
        Best = Target;
        BestCost = Cost;
      }
    }
    return Best;
  }

  /// Runs the request of most value for its work on the target.
  auto runOne(std::size_t Target, TimePoint Now) -> void {
    const double Slowness = slowness(Target, Now);
    Queue *BestQueue = nullptr;
    Queue::iterator Best;
    double BestDensity = -1;
    for (std::size_t Kind = 0; Kind < Waiting.size(); ++Kind) {
      const RequestKind &Of = RequestKinds.at(Kind);
      const Duration Work(static_cast<std::int64_t>(
          static_cast<double>(Of.Work.count()) * Slowness));
      Queue &Requests = Waiting.at(Kind);
      // The earliest one that still reaches its goal, else the earliest.
      auto First = std::partition_point(
          Requests.begin(), Requests.end(), [&](const Arrival *Request) {
            return Now + Work - Request->At > Of.Goal;
          });
      if (First == Requests.end())
        First = Requests.begin();
      if (First == Requests.end())
        continue;
      const double Density = earned(Of, Now + Work - (*First)->At) /
                             static_cast<double>(Work.count());
      if (Density > BestDensity) {
        BestDensity = Density;
        BestQueue = &Requests;
        Best = First;
      }
    }
    const Arrival Request = **Best;
    BestQueue->erase(Best);
    const TimePoint End =
        Now + Duration(static_cast<std::int64_t>(Request.WorkUs * Slowness));
    Value += earned(RequestKinds.at(Request.Kind), End - Request.At) *
             soundShare(Scenario, Target, End);
    --Free[Target];
    Ends.emplace(End, Target);
  }

  /// OverloadScenario::slowness(), which is constant for some time.
  auto slowness(std::size_t Target, TimePoint Now) -> double {
    constexpr Duration CachePeriod = std::chrono::milliseconds(100);
    const auto Period = Now.time_since_epoch() / CachePeriod;
    if (Period != CachedPeriod) {
      CachedPeriod = Period;
      Slowness.clear();
      for (std::size_t Index = 0; Index < Free.size(); ++Index)
        Slowness.push_back(Scenario.slowness(Index, Now));
    }
    return Slowness[Target];
  }

  const OverloadScenario &Scenario;
  std::vector<std::uint32_t> Free; ///< Slots.
  std::multimap<TimePoint, std::size_t> Ends;
  std::array<Queue, RequestKinds.size()> Waiting;
  std::int64_t CachedPeriod = -1;
  std::vector<double> Slowness;
  double Value = 0;
};

} // namespace

auto idealValue(const OverloadScenario &Scenario) -> double {
  if (!Scenario.divided())
    return IdealPool(Scenario).run();
  double Value = 0;
  for (std::size_t Owner = 0; Owner < Scenario.targetCount(); ++Owner)
    Value += IdealOwner(Scenario, Owner).run();
  return Value;
}

} // namespace buckthornring::measure
