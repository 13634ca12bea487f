#pragma once

#include "Fleet/FleetMessage.h"
#include "Fleet/LagDetector.h"
#include "Gateway/Leader.h"
#include "Gateway/PeerSocket.h"
#include "Gateway/RateReserveClient.h"
#include "Gateway/RequestContext.h"
#include "Gateway/StoreFeed.h"
#include "buckthornring/Common/Random.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace buckthornring {

/// This instance's membership of the fleet: sends reports to the leader, claims
/// the leadership when there is no leader, and learns from other instances of
/// changes that it has not yet read from the store.
class FleetMember {
public:
  struct FleetContext {
    RequestContext &Requests;
    ObjectStore &Store;
    const StoreFeed &RouterObjectsFeed;
    Leader &LocalLeader;
    PeerSocket &Peers;
    LeaderInfo Self; ///< Term is not set.
    DataCentreId DataCentre;
    double Capacity; ///< Part of a processor core that the process may use.
    /// This instance has become the leader.
    std::function<void()> OnLeadershipTaken;
    std::function<SeenRevisions()> NewestSeen;
    /// Whether this instance has seen all these changes.
    std::function<bool(const SeenRevisions &)> HasSeen;
    std::function<bool()> StoreReachable;
    /// Selects the relays through which the store is read: FleetReply::Relay
    /// and BackupRelay.
    std::function<void(const std::string &Relay, const std::string &Backup)>
        UseRelay;
    /// The instance at the address has seen changes that this instance has not.
    std::function<void(const SeenRevisions &, const std::string &Address)>
        OnBehind;
  };

  FleetMember(boost::asio::io_context &Io, FleetContext Context,
              std::uint64_t Seed);

  auto start() -> void { scheduleReport(); }

  /// The leader object has changed; null: it does not exist.
  auto onLeaderObjectChanged(const StoredObject *Object) -> void;
  auto received(const FleetMessage &Message, const std::string &From) -> void;
  /// Arranges that the neighbours are sent RequestContext::UnsentLoads soon.
  /// Called when loads were added to it.
  auto scheduleLoadNotice() -> void;
  /// Tells the leader at once when an owner of keys has announced something.
  auto onAnnounced(const TargetRecord &Target) -> void;
  /// Client of the rate keeper and the leader's reserve, for requests beyond
  /// this instance's parts of the workspace rates.
  auto rateReserveClient() -> RateReserveClient & { return RateClient; }
  /// Announces that this instance stops. A leader resigns.
  auto leave() -> void;

  static constexpr const char *LeaderObjectName = "leader";

private:
  auto scheduleReport() -> void;
  auto sendReport() -> void;
  auto composeReport(TimePoint Now) -> FleetReport;
  auto ownerNotices(TimePoint Now) const -> std::map<TargetId, OwnerNotice>;
  auto onReply(const FleetReply &Reply) -> void;
  auto onReport(const FleetReport &Report, const std::string &From) -> void;
  auto onGrantNotice(const GrantNotice &Notice) -> void;
  auto sendLoadNotice() -> void;
  auto onLoadNotice(const LoadNotice &Notice) -> void;
  /// Sends a request to the rate keeper, or to the leader's reserve. Returns
  /// false when there is no leader.
  auto sendRateRequest(const RateReserveRequest &Request) -> bool;
  /// Answers another instance from the shares held here, or else from the
  /// leader's reserve.
  auto onRateRequest(const RateReserveRequest &Request, const std::string &From)
      -> void;
  auto onRateReply(const RateReserveReply &Reply) -> void;
  auto onRateTimeout() -> void;
  auto applyReply(const FleetReply &Reply) -> void;
  auto checkBehind(const SeenRevisions &Others, const std::string &From)
      -> void;
  /// Delay before a claim. Instances with more capacity claim first, since the
  /// leader's work grows with the fleet.
  auto claimDelay() -> Duration;
  /// Resigns when another instance has much more capacity.
  auto considerHandover(TimePoint Now) -> void;
  auto considerClaim(TimePoint Now) -> void;
  auto claimLeadership() -> void;
  auto followLeader(LeaderInfo Next) -> void;

  FleetContext Context;
  RateReserveClient RateClient;
  LagDetector Lag;
  double LargestCapacity = 0; ///< In the fleet, by the leader's last reply.
  boost::asio::steady_timer ReportTimer;
  boost::asio::steady_timer ClaimTimer;
  boost::asio::steady_timer LoadTimer;
  bool LoadTimerArmed = false;
  std::string RateKeeper;         ///< FleetReply::RateKeeper.
  std::uint32_t RateTimeouts = 0; ///< In a row, of requests to RateKeeper.
  TimePoint RateKeeperDistrustedUntil = LongAgo;
  std::vector<std::string> Neighbours;
  std::uint64_t NeighboursVersion = 0;
  RandomSource Random;
  LeaderInfo CurrentLeader;
  TimePoint LastReplyAt = LongAgo;
  TimePoint LastReportAt = LongAgo;
  bool LeaderReplied = false;  ///< The leader has replied to this process.
  bool LeaderResigned = false; ///< The leader has announced that it stops.
  TimePoint LeaderLostStoreAt = LongAgo; ///< LongAgo: the leader has contact.
  TimePoint ClaimAt = LongAgo;           ///< LongAgo: no claim planned.
  TimePoint NoClaimBefore = LongAgo;
  TimePoint ClaimedAt = LongAgo;
  bool Claiming = false;
  bool Leaving = false;
};

} // namespace buckthornring
