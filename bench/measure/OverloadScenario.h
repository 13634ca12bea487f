#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Random.h"
#include "buckthornring/Common/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornring::measure {

/// Load and faults of one run of the overload simulation.
enum class LoadPattern {
  Calm,         ///< Demand in proportion to the speed of the owners.
  UnevenSpeed,  ///< The same demand at owners of all speeds.
  UnevenDemand, ///< Half of the requests arrive at a tenth of the instances.
  Surge,        ///< Callers send 2.5 times as much.
  LowSurge,     ///< The least urgent kind sends three times as much.
  HotKey,       ///< A few owners get six times their usual demand.
  Shedding,     ///< A quarter of the owners rejects all requests.
  RetryStorm,   ///< A surge in which a third of the callers retry at once.
};

inline constexpr EnumNames<LoadPattern, 8>
    LoadPatternNames({"calm", "uneven-speed", "uneven-demand", "surge",
                      "low-surge", "hot-key", "shedding", "retry-storm"});

/// One kind of requests (docs/design/overload.md, "Requests").
struct RequestKind {
  double Share;      ///< Of all requests to the divided service.
  Duration Work;     ///< Mean processing time.
  Duration Goal;     ///< Latency goal.
  Duration Deadline; ///< From the arrival of the first try.
  double Value;
  double LateValue;
  std::uint32_t Priority;
};

inline constexpr std::array<RequestKind, 2> RequestKinds = {{
    {0.86, std::chrono::milliseconds(94), std::chrono::milliseconds(400),
     std::chrono::milliseconds(1200), 1, 0.3, 2},
    {0.14, std::chrono::milliseconds(110), std::chrono::milliseconds(1000),
     std::chrono::milliseconds(2000), 2, 0.6, 1},
}};

/// The requests of callers and the state of the owners, all fixed by the seed,
/// so that each policy and the ideal scheduler meet the same ones.
class OverloadScenario {
public:
  struct Arrival {
    TimePoint At;
    std::size_t Kind = 0;
    std::size_t Owner = 0;
    double WorkUs = 0; ///< At an owner of usual speed.
    bool Impatient = false;
  };

  OverloadScenario(LoadPattern Pattern, std::uint64_t Seed);

  auto arrivals() const -> const std::vector<Arrival> & { return Arrivals; }
  /// Current processing time at the owner relative to a usual owner.
  auto slowness(std::size_t Owner, TimePoint Now) const -> double;
  /// The part of slowness() that its neighbours on the machine cause.
  auto noise(std::size_t Owner, TimePoint Now) const -> double;
  /// Selects one of \p Instances for a try of a caller.
  auto instance(std::size_t Instances, RandomSource &Random) const
      -> std::size_t;
  auto sheds(std::size_t Owner, TimePoint Now) const -> bool;

  static constexpr std::size_t OwnerCount = 40;
  static constexpr std::uint32_t Slots = 2;
  static constexpr std::size_t QueueCapacity = 8;
  static constexpr TimePoint End{std::chrono::seconds(8)};

private:
  auto demand(std::size_t Owner, std::size_t Kind, TimePoint Now) const
      -> double;

  LoadPattern Pattern;
  std::uint64_t Seed;
  std::vector<double> Speeds; ///< Processing time relative to the usual one.
  std::vector<Arrival> Arrivals;
};

} // namespace buckthornring::measure
