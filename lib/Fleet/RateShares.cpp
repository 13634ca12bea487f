#include "Fleet/RateShares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthornring {

namespace {

/// Part of the room that the buckets use. The rest covers the overlap while
/// parts move from one instance to another, restarts and changes of the leader.
constexpr double UsedRoom = 0.75;

/// Part of rate and room that is divided over the instances; the leader hands
/// out the rest on demand.
constexpr double DividedPart = 0.6;

/// Part of the room that a new reserve holds. The reserve of an earlier leader
/// may just have been used up, so this comes out of the unused room.
constexpr double StartRoom = 0.15;

/// Requests that an instance's bucket has to hold for a rate to be divided.
constexpr double SmallestDepth = 1.5;

/// Time after which requests from the reserve that were not used are given up,
/// so that instances do not gather them.
constexpr Duration KeepTime = std::chrono::seconds(1);

/// Part of the divided rate that each instance gets alike, whatever its demand,
/// so that a workspace's first requests at an instance find some of it.
constexpr double EqualPart = 0.2;

/// Seconds of its rate that a new bucket holds.
constexpr double StartSeconds = 0.3;

/// Weight of one report in the smoothed demand: about the last 4 s.
constexpr double DemandWeight = 0.1;

/// An instance without reports for this time no longer holds parts. It halves
/// the risk that a cut-off instance and its successors serve the same part.
constexpr Duration HolderLifetime = std::chrono::seconds(6);

auto seconds(Duration Span) -> double {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

auto rateRoom(const WorkspaceConfig &Workspace, const RateTolerance &Tolerance)
    -> double {
  return Tolerance.Excess * Workspace.RatePerSecond *
             seconds(Tolerance.Window) +
         (1 + Tolerance.Excess) * Workspace.Burst + Tolerance.Slack;
}

auto dividedPart(double Room, std::uint32_t Instances) -> double {
  if (Instances == 0)
    return 0;
  const double Depth = UsedRoom * DividedPart * Room / Instances;
  return Depth >= SmallestDepth ? DividedPart : 0;
}

auto RateShares::depth(const Bucket &Of) const -> double {
  const double Equal = 1.0 / std::max(1U, Instances);
  return UsedRoom * dividedPart(Of.Room, Instances) * Of.Room *
         (0.5 * Equal + 0.5 * Of.Part);
}

auto RateShares::refill(Bucket &Of, TimePoint Now) const -> void {
  const double Rate = dividedPart(Of.Room, Instances) * Of.Rate * Of.Part;
  if (Now >= Of.KeptUntil)
    Of.Kept = 0;
  if (Of.Filled == LongAgo)
    Of.Tokens = StartSeconds * Rate;
  else
    Of.Tokens += Rate * seconds(Now - Of.Filled);
  Of.Tokens = std::min(Of.Tokens, std::max(depth(Of), Of.Kept));
  Of.Kept = std::min(Of.Kept, Of.Tokens);
  Of.Filled = Now;
}

auto RateShares::configure(const Configuration &Config, TimePoint Now) -> void {
  std::erase_if(Buckets, [&Config](const auto &Entry) {
    return !Config.Workspaces.contains(Entry.first);
  });
  for (const auto &[Id, Workspace] : Config.Workspaces) {
    const bool Added = !Buckets.contains(Id);
    Bucket &Own = Buckets[Id];
    if (!Added)
      refill(Own, Now);
    Own.Rate = Workspace.RatePerSecond;
    Own.Room = rateRoom(Workspace, Tolerance);
    Own.Kept = 0;
    if (Added)
      Own.Part = Instances == 0 ? 0 : 1.0 / Instances;
    refill(Own, Now);
  }
}

auto RateShares::assumeInstances(std::uint32_t Count, TimePoint Now) -> void {
  if (PartsTold || Count == 0)
    return;
  for (auto &[Id, Own] : Buckets) {
    refill(Own, Now);
    Own.Part = 1.0 / Count;
  }
  Instances = Count;
}

auto RateShares::setShares(const std::map<WorkspaceId, double> &Parts,
                           double DefaultShare, std::uint32_t InstanceCount,
                           TimePoint Now) -> void {
  Instances = std::max(1U, InstanceCount);
  PartsTold = true;
  for (auto &[Id, Own] : Buckets) {
    refill(Own, Now);
    const auto Told = Parts.find(Id);
    Own.Part = Told == Parts.end() ? DefaultShare : Told->second;
    Own.Tokens = std::min(Own.Tokens, std::max(depth(Own), Own.Kept));
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
  return Found != Buckets.end() && Now >= Found->second.NotBefore;
}

auto RateShares::addReserveTokens(const WorkspaceId &Workspace, double Tokens,
                                  TimePoint Now) -> void {
  const auto Found = Buckets.find(Workspace);
  if (Found == Buckets.end())
    return;
  Found->second.Tokens += Tokens;
  Found->second.Kept += Tokens;
  Found->second.KeptUntil = Now + KeepTime;
}

auto RateShares::onReserveEmpty(const WorkspaceId &Workspace, TimePoint Until)
    -> void {
  const auto Found = Buckets.find(Workspace);
  if (Found != Buckets.end())
    Found->second.NotBefore = Until;
}

auto RateReserve::take(const WorkspaceId &Id, const WorkspaceConfig &Workspace,
                       std::uint32_t Wanted, std::uint32_t Instances,
                       TimePoint Now) -> std::uint32_t {
  const double Room = rateRoom(Workspace, Tolerance);
  const double Own = 1 - dividedPart(Room, Instances);
  const double Rate = Own * Workspace.RatePerSecond;
  const double Depth = UsedRoom * Own * Room;
  Bucket &Held = Buckets[Id];
  if (Held.Filled == LongAgo)
    Held.Tokens = StartRoom * Room;
  else
    Held.Tokens += Rate * seconds(Now - Held.Filled);
  Held.Tokens = std::min(Held.Tokens, Depth);
  Held.Filled = Now;
  const auto Granted = static_cast<std::uint32_t>(
      std::min(static_cast<double>(Wanted), std::floor(Held.Tokens)));
  Held.Tokens -= Granted;
  return Granted;
}

auto RateShares::retryAfter(const WorkspaceId &Workspace) const -> Duration {
  constexpr double LongestSeconds = 2;
  const auto Found = Buckets.find(Workspace);
  if (Found == Buckets.end())
    return Duration(0);
  const double Rate = std::max(0.1, Found->second.Rate * Found->second.Part);
  const double Wait =
      std::clamp((1 - Found->second.Tokens) / Rate, 0.1, LongestSeconds);
  return Duration(static_cast<std::int64_t>(Wait * 1e6));
}

auto RateShares::takeDemand() -> std::map<WorkspaceId, std::uint32_t> {
  std::erase_if(Demand, [this](const auto &Entry) {
    const auto Found = Buckets.find(Entry.first);
    return Found == Buckets.end() ||
           dividedPart(Found->second.Room, Instances) == 0;
  });
  return std::exchange(Demand, {});
}

auto RateDivider::recordDemand(
    const InstanceId &Instance,
    const std::map<WorkspaceId, std::uint32_t> &Demand, Duration Span,
    TimePoint Now) -> void {
  Holder &Own = Holders[Instance];
  Own.Seen = Now;
  const double Length = std::max(0.05, seconds(Span));
  for (auto &[Id, Rate] : Own.Rates)
    if (!Demand.contains(Id))
      Rate -= DemandWeight * Rate;
  for (const auto &[Id, Count] : Demand) {
    double &Rate = Own.Rates[Id];
    Rate += DemandWeight * (Count / Length - Rate);
  }
}

auto RateDivider::expire(TimePoint Now) -> void {
  std::erase_if(Holders, [Now](const auto &Entry) {
    return Now - Entry.second.Seen > HolderLifetime;
  });
}

auto RateDivider::recompute() -> void {
  std::map<WorkspaceId, double> Totals;
  for (const auto &[Name, Holder] : Holders)
    for (const auto &[Id, Rate] : Holder.Rates)
      Totals[Id] += Rate;
  Previous = std::exchange(Newest, {});
  const std::uint32_t Count = std::max<std::uint32_t>(1, instances());
  for (const auto &[Name, Holder] : Holders) {
    Parts &Own = Newest[Name];
    Own.Instances = Count;
    Own.DefaultShare = EqualPart / Count;
    for (const auto &[Id, Rate] : Holder.Rates) {
      const double Wanted = Totals[Id] > 0 ? Rate / Totals[Id] : 1.0 / Count;
      Own.ByWorkspace[Id] = EqualPart / Count + (1 - EqualPart) * Wanted;
    }
  }
}

auto RateDivider::sharesOf(const InstanceId &Instance) const -> Parts {
  const auto Now = Newest.find(Instance);
  const auto Before = Previous.find(Instance);
  Parts Out;
  Out.Instances = std::max<std::uint32_t>(1, instances());
  Out.DefaultShare = EqualPart / Out.Instances;
  if (Now == Newest.end() || Before == Previous.end())
    return Out;
  Out.DefaultShare =
      std::min(Now->second.DefaultShare, Before->second.DefaultShare);
  for (const auto &[Id, Part] : Now->second.ByWorkspace) {
    const auto Old = Before->second.ByWorkspace.find(Id);
    const bool Known = Old != Before->second.ByWorkspace.end();
    Out.ByWorkspace[Id] =
        std::min(Part, Known ? Old->second : Before->second.DefaultShare);
  }
  return Out;
}

} // namespace buckthornring
