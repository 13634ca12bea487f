#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Config/Configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace buckthornring {

/// How far the requests admitted for a workspace may exceed its rate in one
/// window, summed over all instances.
struct RateTolerance {
  Duration Window = std::chrono::seconds(5);
  double Excess = 0.1; ///< Fraction of rate and burst.
  double Slack = 20;   ///< Requests.
};

/// Requests that may be admitted for a workspace beyond its rate in one window.
auto rateHeadroom(const WorkspaceConfig &Workspace,
                  const RateTolerance &Tolerance) -> double;

/// Fraction of a rate that is divided among \p Instances; the leader's reserve
/// holds the rest. Zero when the token bucket of each instance would hold too
/// few tokens.
auto dividedFraction(double Headroom, std::uint32_t Instances) -> double;

/// This instance's shares of the workspace rates.
///
/// Most of a rate is divided into shares that add up to at most one. The leader
/// keeps the rest as a reserve, from which an instance requests tokens when its
/// share is used up. A rate that is too small to be divided is served from the
/// reserve only. The headroom of the rate is divided in the same way into the
/// depths of the token buckets. So no workspace exceeds its rate, whatever
/// messages are lost, and few requests below the rate are refused.
class RateShares {
public:
  explicit RateShares(const RateTolerance &Tolerance) : Tolerance(Tolerance) {}

  /// Applies the rates of a configuration.
  auto configure(const Configuration &Config, TimePoint Now) -> void;

  /// Sets the number of instances recorded in the store. Until the leader has
  /// sent shares, this instance uses an equal share; without a number, none.
  auto assumeInstances(std::uint32_t Count, TimePoint Now) -> void;

  /// Sets the shares computed by the RateDivider. A workspace that is not
  /// listed gets \p DefaultShare.
  auto setShares(const std::map<WorkspaceId, double> &Shares,
                 double DefaultShare, std::uint32_t Instances, TimePoint Now)
      -> void;

  /// Takes a token for one request of the workspace. Returns false when the
  /// workspace exceeds its rate at this instance.
  auto admit(const WorkspaceId &Workspace, TimePoint Now) -> bool;

  /// Takes a token without refilling the bucket. Returns false when there is
  /// none.
  auto spend(const WorkspaceId &Workspace) -> bool;

  /// Whether tokens may be requested from the leader's reserve after admit()
  /// returned false.
  auto mayRequestTokens(const WorkspaceId &Workspace, TimePoint Now) const
      -> bool;
  /// Adds tokens granted by the reserve; the caller is to spend one of them at
  /// once.
  auto addReserveTokens(const WorkspaceId &Workspace, double Tokens,
                        TimePoint Now) -> void;
  /// Records that the reserve is empty; it is not asked again before \p Until.
  auto onReserveEmpty(const WorkspaceId &Workspace, TimePoint Until) -> void;

  /// Requests that would be admitted at once, as of the last admit(); nothing
  /// if the workspace has no limit.
  auto tokens(const WorkspaceId &Workspace) const -> std::optional<double>;

  /// Time after which the next request is likely to be admitted.
  auto retryAfter(const WorkspaceId &Workspace) const -> Duration;

  /// Returns the number of requests since the last call, for each workspace
  /// whose rate is divided; the other rates need no demand.
  auto takeDemand() -> std::map<WorkspaceId, std::uint32_t>;

private:
  struct RateBucket {
    double Rate = 0; ///< Requests per second over all instances; 0: no limit.
    double Share = 0;
    double Tokens = 0;
    double ReserveTokens = 0; ///< Granted by the reserve; may exceed the depth.
    TimePoint ReserveTokensExpireAt = LongAgo;
    double Headroom = 0;
    TimePoint RefilledAt = LongAgo;
    TimePoint NextRequestAt = LongAgo; ///< To the reserve.
  };

  auto depth(const RateBucket &Bucket) const -> double;
  auto refill(RateBucket &Bucket, TimePoint Now) const -> void;

  RateTolerance Tolerance;
  std::unordered_map<WorkspaceId, RateBucket> Buckets;
  std::map<WorkspaceId, std::uint32_t> Demand;
  std::uint32_t Instances = 0; ///< 0: unknown.
  bool SharesReceived = false; ///< setShares() was called.
};

/// The part of the workspace rates that the leader grants on request.
class RateReserve {
public:
  explicit RateReserve(const RateTolerance &Tolerance) : Tolerance(Tolerance) {}

  /// Returns the number of requests granted, at most \p Wanted.
  auto take(const WorkspaceId &Id, const WorkspaceConfig &Workspace,
            std::uint32_t Wanted, std::uint32_t Instances, TimePoint Now)
      -> std::uint32_t;

private:
  struct RateBucket {
    double Tokens = 0;
    TimePoint RefilledAt = LongAgo;
  };

  RateTolerance Tolerance;
  std::unordered_map<WorkspaceId, RateBucket> Buckets;
};

/// Divides the workspace rates among the instances by their demand. Used by the
/// leader.
class RateDivider {
public:
  /// Records the requests per workspace that an instance received in \p Period.
  auto recordDemand(const InstanceId &Instance,
                    const std::map<WorkspaceId, std::uint32_t> &Demand,
                    Duration Period, TimePoint Now) -> void;

  /// Removes instances that have not reported for ReportTimeout. An instance
  /// keeps its shares until then, since it may still be serving requests.
  auto expire(TimePoint Now) -> void;

  /// Removes an instance that no longer holds shares.
  auto remove(const InstanceId &Instance) -> void { Reports.erase(Instance); }

  struct Shares {
    std::map<WorkspaceId, double> ByWorkspace;
    double DefaultShare = 0; ///< Share of workspaces that are not listed.
    std::uint32_t Instances = 1;
  };

  /// Computes all shares again, from the same demand. To be called at the
  /// report interval.
  auto recompute() -> void;

  /// Returns the shares that an instance may use now. A share grows one
  /// interval after the shares of other instances have shrunk to make room for
  /// it.
  auto sharesOf(const InstanceId &Instance) const -> Shares;

  auto instances() const -> std::uint32_t {
    return static_cast<std::uint32_t>(Reports.size());
  }

private:
  struct InstanceDemand {
    std::map<WorkspaceId, double> Rates; ///< Requests per second, smoothed.
    TimePoint ReportedAt;
  };
  using Table = std::map<InstanceId, Shares>;

  std::map<InstanceId, InstanceDemand> Reports;
  Table CurrentShares;
  Table PreviousShares;
};

} // namespace buckthornring
