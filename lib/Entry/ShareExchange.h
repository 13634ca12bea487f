#pragma once

#include "Entry/PeerLinks.h"
#include "buckthornring/Config/Configuration.h"
#include "buckthornring/IO/PlatformClient.h"
#include "buckthornring/Limits/RateAllocator.h"
#include "buckthornring/Limits/ShareLedger.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace buckthornring {

/// Carries share requests from the traffic threads to the giver of the data
/// centre, and is the giver while this instance leads. Runs on the control
/// thread.
class ShareExchange {
public:
  struct Options {
    PeerIdentity Self;
    /// A grant for one of this instance's holders.
    std::function<void(const std::string &Quantity, const ShareGrant &)>
        OnGrant;
    /// Another giver took over; holders follow its term.
    std::function<void(std::uint64_t Term)> OnGiverChanged;
  };

  /// Who gives shares in this data centre now.
  struct Giver {
    InstanceId Process;
    std::uint64_t Term = 0;
    /// Set on the leader itself: end of its authority to give.
    std::optional<TimePoint> Authority;
    /// Time from which an earlier leader gives nothing any more.
    TimePoint EarlierSilentAt;
  };

  static auto create(PlatformClient &Platform, PeerLinks &Links,
                     Options Settings) -> std::unique_ptr<ShareExchange>;

  ~ShareExchange();
  ShareExchange(const ShareExchange &) = delete;
  auto operator=(const ShareExchange &) -> ShareExchange & = delete;

  auto setConfiguration(const Configuration &Accepted) -> void;
  auto setGiver(const Giver &Now) -> void;

  /// Takes a request of one of this instance's holders.
  auto submit(const std::string &Quantity, const ShareRequest &Request) -> void;

  /// Takes a share message; returns false for messages of other parts.
  auto receive(const InstanceId &From, const LinkMessage &Message) -> bool;

  /// Takes back expired shares and follows the parts between data centres. To
  /// be called every 100 ms.
  auto tick() -> void;

private:
  ShareExchange(PlatformClient &Platform, PeerLinks &Links, Options Settings);

  auto leads() const -> bool { return Current.Authority.has_value(); }
  auto handle(const std::string &Quantity, const ShareRequest &Request)
      -> std::optional<ShareGrant>;
  auto takeGrant(const ShareGrantMessage &Answer) -> void;
  auto addLedgers() -> void;
  auto exchangeParts(TimePoint Now) -> void;
  auto readParts() -> void;
  auto writeParts(const RateAllocationTable &Next) -> void;

  PlatformClient &Platform;
  PeerLinks &Links;
  Options Settings;
  Giver Current;
  /// First term of this instance's present leadership: replacing the deputy
  /// raises the term but leaves the ledgers valid.
  std::uint64_t GiverTerm = 0;
  TimePoint TermBegan;
  RateAllocator Parts;
  bool PartsKnown = false; ///< The object was read since the last failed write.
  bool PartsSeen = false;  ///< The object was read in this leadership.
  std::map<WorkspaceId, ShareAmount> Workspaces;
  std::map<WorkspaceId, ShareLedger> Ledgers;
  /// Rate that each holder last asked for.
  struct HolderDemand {
    MilliUnits Rate = 0;
    TimePoint At;
  };
  std::map<WorkspaceId, std::map<std::string, HolderDemand>> Demand;
  bool CallPending = false;
  TimePoint NextCall;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace buckthornring
