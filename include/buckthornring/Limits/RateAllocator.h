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

/// One data centre's part of a workspace's rate, with its observed demand.
struct RatePart {
  ShareAmount Part;
  MilliUnits Demand = 0; ///< Milli-requests per second.

  friend auto operator==(const RatePart &, const RatePart &) -> bool = default;
};

/// Value of the platform object shares/current: the parts of all workspaces.
/// JSON: {WORKSPACE: {DATA_CENTRE: [rate, burst, demand]}}, in milli-units.
using RateAllocationTable =
    std::map<WorkspaceId, std::map<DataCentreId, RatePart>>;

auto formatRateAllocations(const RateAllocationTable &Parts) -> std::string;

/// Fails on text that is not such an object, naming the reason.
auto parseRateAllocations(std::string_view Text) -> Result<RateAllocationTable>;

/// Decides this data centre's parts of all workspaces' rates.
///
/// A part grows only by what the others have already given up in the recorded
/// object, and shrinks there only after the local ledger has taken it back. So
/// the parts in force add up to at most the total at every moment, whatever
/// the order of messages. A data centre that is cut off keeps its part.
class RateAllocator {
public:
  /// Weights of all data centres, zero for those taken out, and the totals of
  /// all workspaces, from the accepted configuration.
  struct Totals {
    std::map<DataCentreId, std::uint32_t> Weights;
    std::map<WorkspaceId, ShareAmount> Workspaces;
    /// Data centres of which the operator confirms that nothing runs there any
    /// more; their parts count as given up.
    std::set<DataCentreId> LostDataCentres;
  };

  explicit RateAllocator(DataCentreId Self) : Self(std::move(Self)) {}

  auto setTotals(Totals Accepted) -> void { Configured = std::move(Accepted); }

  /// Milli-requests per second that callers of this data centre send.
  auto setDemand(const WorkspaceId &Workspace, MilliUnits PerSecond) -> void {
    Demand[Workspace] = PerSecond;
  }

  /// The ledger's ShareLedger::effectiveTotal().
  auto setEffectiveTotal(const WorkspaceId &Workspace, ShareAmount Amount)
      -> void {
    Effective[Workspace] = Amount;
  }

  /// Takes the recorded object with its version; nothing and zero when it is
  /// absent. An older version than a known one is ignored.
  auto setRecorded(std::optional<RateAllocationTable> Parts,
                   std::uint64_t Version) -> void;

  /// Returns the object to write by conditional update on version(), or
  /// nothing when the recorded one is as wanted. Until the outcome is known,
  /// the smaller of old and new part is allowed.
  auto beginWrite() -> std::optional<RateAllocationTable>;

  /// The write of beginWrite() succeeded.
  auto onWriteSucceeded(std::uint64_t NewVersion) -> void;

  /// Returns the total that the ledger of this data centre may lend now.
  auto allowed(const WorkspaceId &Workspace) const -> ShareAmount;

  auto version() const -> std::uint64_t { return Version; }

private:
  auto wantedTable() const -> std::optional<RateAllocationTable>;
  auto fairPart(const WorkspaceId &Workspace, const ShareAmount &Total) const
      -> ShareAmount;
  auto othersPart(const WorkspaceId &Workspace) const -> ShareAmount;
  auto recordedPart(const WorkspaceId &Workspace) const -> RatePart;
  auto ownPart(const std::optional<RateAllocationTable> &Parts,
               const WorkspaceId &Workspace) const -> RatePart;

  DataCentreId Self;
  Totals Configured;
  std::map<WorkspaceId, MilliUnits> Demand;
  std::map<WorkspaceId, ShareAmount> Effective;
  std::optional<RateAllocationTable> Recorded;
  std::uint64_t Version = 0;
  /// A write whose outcome is not known; it can succeed only on Version.
  std::optional<RateAllocationTable> Writing;
};

} // namespace buckthornring
