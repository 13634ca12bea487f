#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Result.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Limits/ShareMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace buckthornring {

/// The part of a workspace's rate that is allocated to one data centre, with
/// the demand observed there.
struct RateAllocation {
  ShareAmount Amount;
  MilliUnits Demand = 0; ///< Milli-requests per second.

  friend auto operator==(const RateAllocation &, const RateAllocation &)
      -> bool = default;
};

/// Rate allocations of all workspaces, the value of the platform object
/// shares/current.
/// JSON: {WORKSPACE: {DATA_CENTRE: [rate, burst, demand]}}, in milli-units.
using RateAllocationTable =
    std::map<WorkspaceId, std::map<DataCentreId, RateAllocation>>;

auto formatRateAllocations(const RateAllocationTable &Allocations)
    -> std::string;

/// Fails with the reason if \p Text is not such an object.
auto parseRateAllocations(std::string_view Text) -> Result<RateAllocationTable>;

/// Decides this data centre's allocations of all workspaces' rates.
///
/// An allocation grows only by what the other data centres have already
/// released in the recorded object, and is reduced there only after the local
/// ledger has taken back the lent shares. Therefore the allocations in force
/// add up to at most the total at every moment, in whatever order messages
/// arrive. A data centre that cannot be reached keeps its allocation.
class RateAllocator {
public:
  /// Values from the accepted configuration: the weights of all data centres,
  /// zero for those that are taken out, and the totals of all workspaces.
  struct Totals {
    std::map<DataCentreId, std::uint32_t> Weights;
    std::map<WorkspaceId, ShareAmount> Workspaces;
    /// Data centres in which nothing runs any more, as confirmed by the
    /// operator; their allocations count as released.
    std::set<DataCentreId> LostDataCentres;
  };

  explicit RateAllocator(DataCentreId Self) : Self(std::move(Self)) {}

  auto setTotals(Totals Accepted) -> void { Configured = std::move(Accepted); }

  /// Sets the demand of this data centre's callers in milli-requests per
  /// second.
  auto setDemand(const WorkspaceId &Workspace, MilliUnits PerSecond) -> void {
    Demand[Workspace] = PerSecond;
  }

  /// Sets the local ledger's ShareLedger::effectiveTotal().
  auto setEffectiveTotal(const WorkspaceId &Workspace, ShareAmount Amount)
      -> void {
    EffectiveTotals[Workspace] = Amount;
  }

  /// Sets the recorded object and its version; nothing and zero if it is
  /// absent. A version older than the current one is ignored.
  auto setRecorded(std::optional<RateAllocationTable> Allocations,
                   std::uint64_t Version) -> void;

  /// Returns the object to write by conditional update on version(), or nothing
  /// if the recorded one needs no change. Until the outcome of the write is
  /// known, the smaller of the old and the new allocation is allowed.
  auto beginWrite() -> std::optional<RateAllocationTable>;

  /// The write of beginWrite() succeeded.
  auto onWriteSucceeded(std::uint64_t NewVersion) -> void;

  /// Returns the total that this data centre's ledger may lend now.
  auto allowed(const WorkspaceId &Workspace) const -> ShareAmount;

  auto version() const -> std::uint64_t { return Version; }

private:
  auto desiredTable() const -> std::optional<RateAllocationTable>;
  auto fairAllocation(const WorkspaceId &Workspace,
                      const ShareAmount &Total) const -> ShareAmount;
  auto othersAllocation(const WorkspaceId &Workspace) const -> ShareAmount;
  auto recordedAllocation(const WorkspaceId &Workspace) const -> RateAllocation;
  auto ownAllocation(const std::optional<RateAllocationTable> &Allocations,
                     const WorkspaceId &Workspace) const -> RateAllocation;

  DataCentreId Self;
  Totals Configured;
  std::map<WorkspaceId, MilliUnits> Demand;
  std::map<WorkspaceId, ShareAmount> EffectiveTotals;
  std::optional<RateAllocationTable> Recorded;
  std::uint64_t Version = 0;
  /// A write of unknown outcome; it can succeed only on Version.
  std::optional<RateAllocationTable> PendingWrite;
};

} // namespace buckthornring
