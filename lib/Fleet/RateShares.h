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

/// Requests that a workspace may have beyond its rate in one window.
auto rateRoom(const WorkspaceConfig &Workspace, const RateTolerance &Tolerance)
    -> double;

/// Part of a rate that is divided over \p Instances; the leader's reserve has
/// the rest. Zero when the buckets of the instances would hold too little.
auto dividedPart(double Room, std::uint32_t Instances) -> double;

/// This instance's parts of the workspace rates.
///
/// Most of a rate is divided into parts that add up to at most one, and the
/// leader keeps the rest as a reserve for which an instance asks when its part
/// is used up. A rate that is too small to be divided is left to the reserve.
/// The room of the rate's window is divided in the same way into the depths of
/// the buckets. So no workspace exceeds its rate, whatever messages are lost,
/// and few requests below it are refused.
class RateShares {
public:
  explicit RateShares(const RateTolerance &Tolerance) : Tolerance(Tolerance) {}

  /// Takes over the rates of a configuration.
  auto configure(const Configuration &Config, TimePoint Now) -> void;

  /// Number of instances by the store's record. Until the divider has told this
  /// instance its parts, it uses an equal one; without a number, none.
  auto assumeInstances(std::uint32_t Count, TimePoint Now) -> void;

  /// Sets the parts as computed by the divider. A workspace that is not listed
  /// gets \p Others.
  auto setShares(const std::map<WorkspaceId, double> &Parts,
                 double DefaultShare, std::uint32_t Instances, TimePoint Now)
      -> void;

  /// Takes one request of the workspace. False when it is over its rate here.
  auto admit(const WorkspaceId &Workspace, TimePoint Now) -> bool;

  /// Uses one request that is there already. False when there is none.
  auto spend(const WorkspaceId &Workspace) -> bool;

  /// Whether the leader's reserve may have more, after admit() was false.
  auto mayRequestTokens(const WorkspaceId &Workspace, TimePoint Now) const
      -> bool;
  /// The reserve gave \p Tokens requests, one of which is to be used at once.
  auto addReserveTokens(const WorkspaceId &Workspace, double Tokens,
                        TimePoint Now) -> void;
  /// The reserve is empty; not asked again before \p Until.
  auto onReserveEmpty(const WorkspaceId &Workspace, TimePoint Until) -> void;

  /// Time after which the next request is likely to be admitted.
  auto retryAfter(const WorkspaceId &Workspace) const -> Duration;

  /// Returns the requests seen since the last call, per workspace whose rate is
  /// divided; the parts of the others need no demand.
  auto takeDemand() -> std::map<WorkspaceId, std::uint32_t>;

private:
  struct Bucket {
    double Rate = 0; ///< Requests per second over all instances; 0: no limit.
    double Part = 0;
    double Tokens = 0;
    double Kept = 0; ///< Tokens from the reserve, beside the depth.
    TimePoint KeptUntil = LongAgo; ///< Then they are given up.
    double Room = 0;
    TimePoint Filled = LongAgo;
    TimePoint NotBefore = LongAgo; ///< Of the next question.
  };

  auto depth(const Bucket &Of) const -> double;
  auto refill(Bucket &Of, TimePoint Now) const -> void;

  RateTolerance Tolerance;
  std::unordered_map<WorkspaceId, Bucket> Buckets;
  std::map<WorkspaceId, std::uint32_t> Demand;
  std::uint32_t Instances = 0; ///< 0: unknown.
  bool PartsTold = false;      ///< The divider has told this instance's parts.
};

/// The part of the workspace rates that the leader hands out on demand.
class RateReserve {
public:
  explicit RateReserve(const RateTolerance &Tolerance) : Tolerance(Tolerance) {}

  /// Returns the requests granted, at most \p Wanted.
  auto take(const WorkspaceId &Id, const WorkspaceConfig &Workspace,
            std::uint32_t Wanted, std::uint32_t Instances, TimePoint Now)
      -> std::uint32_t;

private:
  struct Bucket {
    double Tokens = 0;
    TimePoint Filled = LongAgo;
  };

  RateTolerance Tolerance;
  std::unordered_map<WorkspaceId, Bucket> Buckets;
};

/// Divides the workspace rates over the instances by their demand. Kept by the
/// leader.
class RateDivider {
public:
  /// Requests per workspace that an instance saw in \p Span.
  auto recordDemand(const InstanceId &Instance,
                    const std::map<WorkspaceId, std::uint32_t> &Demand,
                    Duration Span, TimePoint Now) -> void;

  /// Forgets instances that have not reported for long. An instance keeps its
  /// parts for that time, since it may still be serving.
  auto expire(TimePoint Now) -> void;

  struct Parts {
    std::map<WorkspaceId, double> ByWorkspace;
    double DefaultShare = 0; ///< Part of each workspace without demand here.
    std::uint32_t Instances = 1;
  };

  /// Computes all parts anew from the same demand. Call at the interval of the
  /// reports.
  auto recompute() -> void;

  /// Parts that an instance may use now. A part grows one interval after the
  /// parts of others have shrunk for it.
  auto sharesOf(const InstanceId &Instance) const -> Parts;

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
