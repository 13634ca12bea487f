#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Random.h"
#include "buckthornring/Common/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornring::measure {

/// Load and faults of one run of the overload simulation. Owners are the
/// targets of a divided service.
enum class LoadPattern {
  Calm,           ///< Demand in proportion to the speed of the owners.
  UnevenSpeed,    ///< The same demand at owners of all speeds.
  UnevenDemand,   ///< Half of the requests arrive at a tenth of the instances.
  Surge,          ///< Callers send 2.5 times as much.
  LowSurge,       ///< The least urgent kind sends three times as much.
  HotKey,         ///< A few owners get six times their usual demand.
  Shedding,       ///< A quarter of the owners rejects all requests.
  RetryStorm,     ///< A surge in which a third of the callers retry at once.
  ColdReturn,     ///< A quarter of the targets restarts and returns cold.
  Grey,           ///< Half of the responses of a tenth of the targets fail.
  SheddingAll,    ///< All targets reject 55 of 100 arrivals while mostly idle.
  DataCentreLoss, ///< A data centre with its instances and targets is lost.
  InstanceLoss,   ///< A tenth of the instances is lost.
};

inline constexpr EnumNames<LoadPattern, 13> LoadPatternNames(
    {"calm", "uneven-speed", "uneven-demand", "surge", "low-surge", "hot-key",
     "shedding", "retry-storm", "cold-return", "grey", "shedding-all",
     "data-centre-loss", "instance-loss"});

/// Whether each request has one target that may run it.
enum class ServiceDivision { Divided, Undivided };

/// One kind of requests (docs/design/overload.md, "Requests").
struct RequestKind {
  double Share;      ///< Of all requests to the divided service.
  Duration Work;     ///< Mean processing time.
  Duration Goal;     ///< Latency goal.
  Duration Deadline; ///< From the arrival of the first try.
  double Value;
  double LateValue;
  std::uint32_t Priority;
  bool Idempotent;
};

inline constexpr std::array<RequestKind, 2> RequestKinds = {{
    {0.86, std::chrono::milliseconds(94), std::chrono::milliseconds(400),
     std::chrono::milliseconds(1200), 1, 0.3, 2, true},
    {0.14, std::chrono::milliseconds(110), std::chrono::milliseconds(1000),
     std::chrono::milliseconds(2000), 2, 0.6, 1, false},
}};

/// The requests of callers and the state of the owners, all fixed by the seed,
/// so that each policy and the ideal scheduler meet the same ones.
class OverloadScenario {
public:
  struct Arrival {
    TimePoint At;
    std::size_t Kind = 0;
    std::size_t Owner = 0; ///< Unused where the service is not divided.
    double WorkUs = 0;     ///< At an owner of usual speed.
    bool Impatient = false;
  };

  /// A divided service with OwnerCount owners.
  OverloadScenario(LoadPattern Pattern, std::uint64_t Seed)
      : OverloadScenario(Pattern, Seed, ServiceDivision::Divided, OwnerCount) {}
  OverloadScenario(LoadPattern Pattern, std::uint64_t Seed,
                   ServiceDivision Division, std::size_t TargetCount);

  /// Number of targets of an undivided service for a fleet: 122 for 71.
  static auto undividedTargets(std::size_t Instances) -> std::size_t;

  auto divided() const -> bool { return Division == ServiceDivision::Divided; }
  auto targetCount() const -> std::size_t { return Speeds.size(); }
  auto arrivals() const -> const std::vector<Arrival> & { return Arrivals; }
  /// Current processing time at the owner relative to a usual owner.
  auto slowness(std::size_t Owner, TimePoint Now) const -> double;
  /// The part of slowness() that its neighbours on the machine cause.
  auto noise(std::size_t Owner, TimePoint Now) const -> double;
  /// Selects one of \p Instances for a try of a caller.
  auto instance(std::size_t Instances, RandomSource &Random) const
      -> std::size_t;
  /// Share of the arrivals that the target rejects, whatever its load.
  auto shedShare(std::size_t Target, TimePoint Now) const -> double;
  /// Share of the responses of the target that fail.
  auto failureShare(std::size_t Target, TimePoint Now) const -> double;
  /// Whether the target does not run.
  auto down(std::size_t Target, TimePoint Now) const -> bool;
  /// Whether the target has returned a short while ago.
  auto cold(std::size_t Target, TimePoint Now) const -> bool;
  /// Whether the pattern takes the target, or the instance, out of service.
  auto losesTarget(std::size_t Target) const -> bool;
  auto losesInstance(std::size_t Instance, std::size_t Instances) const -> bool;
  auto lostAt() const -> TimePoint;
  auto targetsReturnAt() const -> TimePoint;
  auto instancesReturnAt() const -> TimePoint;
  /// Whether the network drops packets to lost targets; else they refuse
  /// connections.
  auto lossIsSilent() const -> bool {
    return Pattern == LoadPattern::DataCentreLoss;
  }
  auto end() const -> TimePoint;

  static constexpr std::size_t DataCentres = 4;
  /// Cold limit of a target, in requests per second of all instances.
  static constexpr double ColdRate = 5;
  static constexpr Duration ColdPeriod = std::chrono::seconds(3);
  static constexpr std::size_t OwnerCount = 40;
  static constexpr std::uint32_t Slots = 2;
  static constexpr std::size_t QueueCapacity = 8;

private:
  auto demand(std::size_t Owner, std::size_t Kind, TimePoint Now) const
      -> double;
  auto troubled(TimePoint Now) const -> bool;
  auto troubleEnd() const -> TimePoint;

  LoadPattern Pattern;
  std::uint64_t Seed;
  ServiceDivision Division;
  std::vector<double> Speeds; ///< Processing time relative to the usual one.
  std::vector<Arrival> Arrivals;
};

} // namespace buckthornring::measure
