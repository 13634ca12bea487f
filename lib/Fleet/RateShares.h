#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Config/Configuration.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace buckthornring {

/// How far a workspace's admissions may exceed its rate in one window, summed
/// over all instances.
struct RateTolerance {
  Duration Window = std::chrono::seconds(5);
  double Excess = 0.1; ///< Part of rate and burst.
  double Slack = 20;   ///< Requests.
};

/// This instance's parts of the workspace rates.
///
/// The parts of all instances add up to at most one, so no workspace exceeds
/// its rate whatever messages are lost. The tolerance of the rate, divided in
/// the same way, is the depth of the local buckets.
class RateShares {
public:
  explicit RateShares(const RateTolerance &Tolerance) : Tolerance(Tolerance) {}

  /// Takes over the rates of a configuration.
  auto configure(const Configuration &Config, TimePoint Now) -> void;

  /// Sets the parts as computed by the divider. A workspace that is not listed
  /// gets \p Others.
  auto setParts(const std::map<WorkspaceId, double> &Parts, double Others,
                std::uint32_t Instances, TimePoint Now) -> void;

  /// Takes one request of the workspace. False when it is over its rate here.
  auto admit(const WorkspaceId &Workspace, TimePoint Now) -> bool;

  /// Time after which the next request is likely to be admitted.
  auto retryAfter(const WorkspaceId &Workspace) const -> Duration;

  /// Returns the requests seen per workspace since the last call.
  auto takeDemand() -> std::map<WorkspaceId, std::uint32_t>;

private:
  struct Bucket {
    double Rate = 0; ///< Requests per second over all instances; 0: no limit.
    double Burst = 0;
    double Part = 0;
    double Tokens = 0;
    TimePoint Filled = TimePoint::min();
  };

  auto depth(const Bucket &Of) const -> double;
  auto refill(Bucket &Of, TimePoint Now) const -> void;

  RateTolerance Tolerance;
  std::unordered_map<WorkspaceId, Bucket> Buckets;
  std::map<WorkspaceId, std::uint32_t> Demand;
  std::uint32_t Instances = 16; ///< Assumed until the divider has told it.
};

/// Divides the workspace rates over the instances by their demand. Kept by the
/// leader.
class RateDivider {
public:
  /// Requests per workspace that an instance saw in \p Span.
  auto reported(const InstanceId &Instance,
                const std::map<WorkspaceId, std::uint32_t> &Demand,
                Duration Span, TimePoint Now) -> void;

  /// Forgets instances that have not reported for long. An instance keeps its
  /// parts for that time, since it may still be serving.
  auto expire(TimePoint Now) -> void;

  struct Parts {
    std::map<WorkspaceId, double> ByWorkspace;
    double Others = 0; ///< Part of each workspace without demand here.
    std::uint32_t Instances = 1;
  };

  /// Computes all parts anew from the same demand. Call at the interval of the
  /// reports.
  auto recompute() -> void;

  /// Parts that an instance may use now. A part grows one interval after the
  /// parts of others have shrunk for it.
  auto partsOf(const InstanceId &Instance) const -> Parts;

  auto instances() const -> std::uint32_t {
    return static_cast<std::uint32_t>(Holders.size());
  }

private:
  struct Holder {
    std::map<WorkspaceId, double> Rates; ///< Requests per second, smoothed.
    TimePoint Seen;
  };
  using Table = std::map<InstanceId, Parts>;

  std::map<InstanceId, Holder> Holders;
  Table Newest;
  Table Previous;
};

} // namespace buckthornring
