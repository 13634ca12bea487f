#include "Fleet/RateShares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthornring {

namespace {

/// Fraction of the headroom that the buckets use. The rest covers the overlap
/// while shares move from one instance to another, restarts, and changes of the
/// leader.
constexpr double UsedHeadroom = 0.75;

/// Fraction of rate and headroom that is divided among the instances; the
/// leader grants the rest on request.
constexpr double DividedFraction = 0.6;

/// Fraction of the headroom that a new reserve holds. The reserve of the
/// earlier leader may just have been used up, so this is taken from the unused
/// headroom.
constexpr double InitialReserveFraction = 0.15;

/// Tokens that the bucket of an instance must be able to hold for a rate to be
/// divided.
constexpr double MinBucketDepth = 1.5;

/// Time after which unused tokens from the reserve are discarded, so that
/// instances do not accumulate them.
constexpr Duration ReserveTokenLifetime = std::chrono::seconds(1);

/// Fraction of the divided rate that is shared equally, whatever the demand, so
/// that the first requests of a workspace at an instance find tokens.
constexpr double EqualFraction = 0.2;

/// Initial tokens of a new bucket, in seconds of its rate.
constexpr double InitialRateSeconds = 0.3;

/// Weight of one report in the average demand: about the last 4 s.
constexpr double DemandWeight = 0.1;

/// An instance that has not reported for this time loses its shares. The value
/// halves the risk that an isolated instance and its successors use the same
/// share.
constexpr Duration ReportTimeout = std::chrono::seconds(6);

auto seconds(Duration Span) -> double {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

auto rateHeadroom(const WorkspaceConfig &Workspace,
                  const RateTolerance &Tolerance) -> double {
  return Tolerance.Excess * Workspace.RatePerSecond *
             seconds(Tolerance.Window) +
         (1 + Tolerance.Excess) * Workspace.Burst + Tolerance.Slack;
}

auto dividedFraction(double Headroom, std::uint32_t Instances) -> double {
  if (Instances == 0)
    return 0;
  const double Depth = UsedHeadroom * DividedFraction * Headroom / Instances;
  return Depth >= MinBucketDepth ? DividedFraction : 0;
}

auto RateShares::depth(const RateBucket &Bucket) const -> double {
  const double EqualShare = 1.0 / std::max(1U, Instances);
  return UsedHeadroom * dividedFraction(Bucket.Headroom, Instances) *
         Bucket.Headroom * (0.5 * EqualShare + 0.5 * Bucket.Share);
}

auto RateShares::refill(RateBucket &Bucket, TimePoint Now) const -> void {
  const double Rate =
      dividedFraction(Bucket.Headroom, Instances) * Bucket.Rate * Bucket.Share;
  if (Now >= Bucket.ReserveTokensExpireAt)
    Bucket.ReserveTokens = 0;
  if (Bucket.RefilledAt == LongAgo)
    Bucket.Tokens = InitialRateSeconds * Rate;
  else
    Bucket.Tokens += Rate * seconds(Now - Bucket.RefilledAt);
  Bucket.Tokens =
      std::min(Bucket.Tokens, std::max(depth(Bucket), Bucket.ReserveTokens));
  Bucket.ReserveTokens = std::min(Bucket.ReserveTokens, Bucket.Tokens);
  Bucket.RefilledAt = Now;
}

auto RateShares::configure(const Configuration &Config, TimePoint Now) -> void {
  std::erase_if(Buckets, [&Config](const auto &Entry) {
    return !Config.Workspaces.contains(Entry.first);
  });
  for (const auto &[Id, Workspace] : Config.Workspaces) {
    const bool Added = !Buckets.contains(Id);
    RateBucket &Bucket = Buckets[Id];
    if (!Added)
      refill(Bucket, Now);
    Bucket.Rate = Workspace.RatePerSecond;
    Bucket.Headroom = rateHeadroom(Workspace, Tolerance);
    Bucket.ReserveTokens = 0;
    if (Added)
      Bucket.Share = Instances == 0 ? 0 : 1.0 / Instances;
    refill(Bucket, Now);
  }
}

auto RateShares::assumeInstances(std::uint32_t Count, TimePoint Now) -> void {
  if (SharesReceived || Count == 0)
    return;
  for (auto &[Id, Bucket] : Buckets) {
    refill(Bucket, Now);
    Bucket.Share = 1.0 / Count;
  }
  Instances = Count;
}

auto RateShares::setShares(const std::map<WorkspaceId, double> &Shares,
                           double DefaultShare, std::uint32_t InstanceCount,
                           TimePoint Now) -> void {
  Instances = std::max(1U, InstanceCount);
  SharesReceived = true;
  for (auto &[Id, Bucket] : Buckets) {
    refill(Bucket, Now);
    const auto Received = Shares.find(Id);
    Bucket.Share = Received == Shares.end() ? DefaultShare : Received->second;
    Bucket.Tokens =
        std::min(Bucket.Tokens, std::max(depth(Bucket), Bucket.ReserveTokens));
  }
}

auto RateShares::admit(const WorkspaceId &Workspace, TimePoint Now) -> bool {
  ++Demand[Workspace];
  const auto Found = Buckets.find(Workspace);
  if (Found == Buckets.end() || Found->second.Rate <= 0)
    return true;
  refill(Found->second, Now);
  return spend(Workspace);
}

auto RateShares::spend(const WorkspaceId &Workspace) -> bool {
  const auto Found = Buckets.find(Workspace);
  if (Found == Buckets.end())
    return true;
  if (Found->second.Tokens < 1)
    return false;
  Found->second.Tokens -= 1;
  return true;
}

auto RateShares::mayRequestTokens(const WorkspaceId &Workspace,
                                  TimePoint Now) const -> bool {
  const auto Found = Buckets.find(Workspace);
  return Found != Buckets.end() && Now >= Found->second.NextRequestAt;
}

auto RateShares::addReserveTokens(const WorkspaceId &Workspace, double Tokens,
                                  TimePoint Now) -> void {
  const auto Found = Buckets.find(Workspace);
  if (Found == Buckets.end())
    return;
  Found->second.Tokens += Tokens;
  Found->second.ReserveTokens += Tokens;
  Found->second.ReserveTokensExpireAt = Now + ReserveTokenLifetime;
}

auto RateShares::onReserveEmpty(const WorkspaceId &Workspace, TimePoint Until)
    -> void {
  const auto Found = Buckets.find(Workspace);
  if (Found != Buckets.end())
    Found->second.NextRequestAt = Until;
}

auto RateReserve::take(const WorkspaceId &Id, const WorkspaceConfig &Workspace,
                       std::uint32_t Wanted, std::uint32_t Instances,
                       TimePoint Now) -> std::uint32_t {
  const double Headroom = rateHeadroom(Workspace, Tolerance);
  const double ReserveFraction = 1 - dividedFraction(Headroom, Instances);
  const double Rate = ReserveFraction * Workspace.RatePerSecond;
  const double Depth = UsedHeadroom * ReserveFraction * Headroom;
  RateBucket &Bucket = Buckets[Id];
  if (Bucket.RefilledAt == LongAgo)
    Bucket.Tokens = InitialReserveFraction * Headroom;
  else
    Bucket.Tokens += Rate * seconds(Now - Bucket.RefilledAt);
  Bucket.Tokens = std::min(Bucket.Tokens, Depth);
  Bucket.RefilledAt = Now;
  const auto Granted = static_cast<std::uint32_t>(
      std::min(static_cast<double>(Wanted), std::floor(Bucket.Tokens)));
  Bucket.Tokens -= Granted;
  return Granted;
}

auto RateShares::tokens(const WorkspaceId &Workspace) const
    -> std::optional<double> {
  const auto Found = Buckets.find(Workspace);
  if (Found == Buckets.end() || Found->second.Rate <= 0)
    return std::nullopt;
  return Found->second.Tokens;
}

auto RateShares::retryAfter(const WorkspaceId &Workspace) const -> Duration {
  constexpr double LongestSeconds = 2;
  const auto Found = Buckets.find(Workspace);
  if (Found == Buckets.end())
    return Duration(0);
  // An instance without a share of its own gets tokens from one that has one.
  const double Share = Found->second.Share > 0 ? Found->second.Share
                                               : 1.0 / std::max(1U, Instances);
  const double Rate = std::max(0.1, Found->second.Rate * Share);
  const double Wait =
      std::clamp((1 - Found->second.Tokens) / Rate, 0.1, LongestSeconds);
  return Duration(static_cast<std::int64_t>(Wait * 1e6));
}

auto RateShares::takeDemand() -> std::map<WorkspaceId, std::uint32_t> {
  std::erase_if(Demand, [this](const auto &Entry) {
    const auto Found = Buckets.find(Entry.first);
    return Found == Buckets.end() ||
           dividedFraction(Found->second.Headroom, Instances) == 0;
  });
  return std::exchange(Demand, {});
}

auto RateDivider::recordDemand(
    const InstanceId &Instance,
    const std::map<WorkspaceId, std::uint32_t> &Demand, Duration Period,
    TimePoint Now) -> void {
  InstanceDemand &Report = Reports[Instance];
  Report.ReportedAt = Now;
  const double PeriodSeconds = std::max(0.05, seconds(Period));
  for (auto &[Id, Rate] : Report.Rates)
    if (!Demand.contains(Id))
      Rate -= DemandWeight * Rate;
  for (const auto &[Id, Count] : Demand) {
    double &Rate = Report.Rates[Id];
    Rate += DemandWeight * (Count / PeriodSeconds - Rate);
  }
}

auto RateDivider::expire(TimePoint Now) -> void {
  std::erase_if(Reports, [Now](const auto &Entry) {
    return Now - Entry.second.ReportedAt > ReportTimeout;
  });
}

auto RateDivider::recompute() -> void {
  std::map<WorkspaceId, double> Totals;
  for (const auto &[Name, Report] : Reports)
    for (const auto &[Id, Rate] : Report.Rates)
      Totals[Id] += Rate;
  PreviousShares = std::exchange(CurrentShares, {});
  const std::uint32_t Count = std::max<std::uint32_t>(1, instances());
  for (const auto &[Name, Report] : Reports) {
    Shares &Result = CurrentShares[Name];
    Result.Instances = Count;
    Result.DefaultShare = EqualFraction / Count;
    for (const auto &[Id, Rate] : Report.Rates) {
      const double Wanted = Totals[Id] > 0 ? Rate / Totals[Id] : 1.0 / Count;
      Result.ByWorkspace[Id] =
          EqualFraction / Count + (1 - EqualFraction) * Wanted;
    }
  }
}

auto RateDivider::sharesOf(const InstanceId &Instance) const -> Shares {
  const auto Current = CurrentShares.find(Instance);
  const auto Previous = PreviousShares.find(Instance);
  Shares Out;
  Out.Instances = std::max<std::uint32_t>(1, instances());
  Out.DefaultShare = EqualFraction / Out.Instances;
  if (Current == CurrentShares.end() || Previous == PreviousShares.end())
    return Out;
  Out.DefaultShare =
      std::min(Current->second.DefaultShare, Previous->second.DefaultShare);
  for (const auto &[Id, Share] : Current->second.ByWorkspace) {
    const auto Old = Previous->second.ByWorkspace.find(Id);
    const bool HadShare = Old != Previous->second.ByWorkspace.end();
    Out.ByWorkspace[Id] =
        std::min(Share, HadShare ? Old->second : Previous->second.DefaultShare);
  }
  return Out;
}

} // namespace buckthornring
