#include "OverloadSimulation.h"

#include <algorithm>

namespace buckthornring::measure {

namespace {

using Arrival = OverloadScenario::Arrival;

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
    if (Scenario.sheds(Index, Now))
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
    Value += earned(Request, End);
    return End;
  }

  auto expected(const Arrival &Request, TimePoint Now) const -> Duration {
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(RequestKinds.at(Request.Kind).Work.count()) *
        Scenario.slowness(Index, Now)));
  }

  static auto earned(const Arrival &Request, TimePoint End) -> double {
    const RequestKind &Kind = RequestKinds.at(Request.Kind);
    const Duration Latency = End - Request.At;
    if (Latency > Kind.Deadline)
      return 0;
    return Latency > Kind.Goal ? Kind.LateValue : Kind.Value;
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

} // namespace

auto idealValue(const OverloadScenario &Scenario) -> double {
  double Value = 0;
  for (std::size_t Owner = 0; Owner < OverloadScenario::OwnerCount; ++Owner)
    Value += IdealOwner(Scenario, Owner).run();
  return Value;
}

} // namespace buckthornring::measure
