#pragma once

#include "Fleet/AuthorityEvidence.h"
#include "Fleet/FleetMessage.h"
#include "Fleet/LagDetector.h"
#include "Fleet/StoreRevision.h"
#include "Gateway/Leader.h"
#include "Gateway/PeerSocket.h"
#include "Gateway/RateReserveClient.h"
#include "Gateway/RequestContext.h"
#include "Gateway/StoreFeed.h"
#include "Gateway/SuspectExchange.h"
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
    /// The whole fleet started for the first time with this process, so no
    /// earlier leader has recorded anything before.
    bool FirstStart;
    double Capacity; ///< Part of a processor core that the process may use.
    /// This instance has become the leader.
    std::function<void()> OnLeadershipTaken;
    std::function<SeenRevisions()> NewestSeen;
    /// Whether this instance has seen all these changes.
    std::function<bool(const SeenRevisions &)> HasSeen;
    std::function<bool()> StoreReachable;
    /// Reads the router's own objects anew, as a proof of contact.
    std::function<void()> CheckStoreContact;
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
  /// All of the router's own objects have been read again.
  auto onRouterObjectsRead() -> void;
  auto received(const FleetMessage &Message, const std::string &From) -> void;
  /// Arranges that others are sent RequestContext::UnsentLoads soon.
  /// Called when loads were added to it.
  auto scheduleLoadNotice() -> void;
  /// Tells the leader at once when an owner of keys has announced something.
  auto onAnnounced(const TargetRecord &Target) -> void;
  /// Client of the rate keeper and the leader's reserve, for requests beyond
  /// this instance's parts of the workspace rates.
  auto rateReserveClient() -> RateReserveClient & { return RateClient; }
  /// What the instances tell each other of requests that crash targets.
  auto suspectExchange() -> SuspectExchange & { return Suspects; }
  /// Announces that this instance stops. A leader resigns.
  auto leave() -> void;
  /// Store revision of the newest configuration that any instance has seen, as
  /// far as a leader has told.
  auto newestConfigurationSeen() const -> std::uint64_t {
    return NewestConfigurationSeen;
  }

  static constexpr const char *LeaderObjectName = "leader";
  /// What is read of that object.
  static auto leaderObjectParts() -> JsonParts;

private:
  auto makeSuspectExchange() -> SuspectExchange;
  auto neighboursAndLeader() const -> std::vector<std::string>;
  auto scheduleReport() -> void;
  auto sendReport() -> void;
  auto composeReport(TimePoint Now) -> FleetReport;
  /// Adds the outcomes at owners of keys since the last report.
  auto addOwnerOutcomes(FleetReport &Report) -> void;
  auto ownerNotices(TimePoint Now) const -> std::map<TargetId, OwnerNotice>;
  auto onReply(const FleetReply &Reply) -> void;
  auto onReport(const FleetReport &Report, const std::string &From) -> void;
  auto onGrantNotice(const GrantNotice &Notice) -> void;
  /// Selects a few instances at random, most of them neighbours.
  auto loadNoticeReceivers() -> std::vector<std::string>;
  auto sendLoadNotice() -> void;
  auto onLoadNotice(const LoadNotice &Notice) -> void;
  /// Sends a request to the rate keeper, or to the leader's reserve. Returns
  /// false when there is no leader.
  auto sendRateRequest(const RateReserveRequest &Request) -> bool;
  /// Answers another instance from the shares held here, or else from the
  /// leader's reserve.
  auto onRateRequest(const RateReserveRequest &Request, const std::string &From)
      -> void;
  auto onAuthorityQuery(const AuthorityQuery &Query, const std::string &From)
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
  /// Era of the store, as far as this instance has read it.
  auto storeEra() const -> std::uint64_t {
    return eraOf(Context.RouterObjectsFeed.revision());
  }
  auto onVoidLeaderObject(const StoredObject &Object,
                          const LeaderInfo &Claimant) -> void;
  /// Whether this instance leads by a claim that the store does not hold any
  /// more.
  auto claimLost() const -> bool;
  /// Whether the store was restored recently and its leader may still claim
  /// again.
  auto leaderMayClaimAgain(TimePoint Now) const -> bool;
  /// Whether a record that the store does not hold may have been lost.
  auto mayLackRecords() const -> bool;
  /// Revision that the leader object has to have for a claim; 0: none.
  auto claimCondition() const -> std::uint64_t;
  /// Whether a claim is likely to be answered: the store has answered since the
  /// leader was last heard and since the last claim without an answer. Reads
  /// the store otherwise.
  auto confirmContact(TimePoint Now, TimePoint LeaderLostAt) -> bool;
  /// Returns the leaders before a claim that replaces the leader object of the
  /// revision; 0: there is none.
  auto leadersBefore(std::uint64_t Condition) -> EarlierLeaders;
  auto claimLeadership() -> void;
  auto followLeader(LeaderInfo Next) -> void;

  FleetContext Context;
  RateReserveClient RateClient;
  LagDetector Lag;
  std::uint64_t NewestConfigurationSeen = 0;
  double LargestCapacity = 0; ///< In the fleet, by the leader's last reply.
  boost::asio::steady_timer ReportTimer;
  boost::asio::steady_timer ClaimTimer;
  boost::asio::steady_timer LoadTimer;
  boost::asio::steady_timer SuspectTimer;
  SuspectExchange Suspects;
  bool LoadTimerArmed = false;
  std::string RateKeeper;         ///< FleetReply::RateKeeper.
  std::uint32_t RateTimeouts = 0; ///< In a row, of requests to RateKeeper.
  TimePoint RateKeeperDistrustedUntil = LongAgo;
  std::vector<std::string> Neighbours;
  std::uint64_t NeighboursVersion = 0;
  std::vector<std::string> Contacts; ///< FleetReply::Contacts.
  RandomSource Random;
  LeaderInfo CurrentLeader;
  TermHistory Terms;
  /// Leaders before this instance's last claim.
  EarlierLeaders BeforeClaim;
  /// A later leader was told that this process has ended its leadership for
  /// terms up to this one.
  std::uint64_t EndedThrough = 0;
  TimePoint LastReplyAt = LongAgo;
  TimePoint LastReportAt = LongAgo;
  bool LeaderReplied = false;  ///< The leader has replied to this process.
  bool LeaderResigned = false; ///< The leader has announced that it stops.
  TimePoint LeaderLostStoreAt = LongAgo; ///< LongAgo: the leader has contact.
  TimePoint ClaimAt = LongAgo;           ///< LongAgo: no claim planned.
  TimePoint NoClaimBefore = LongAgo;
  TimePoint ClaimedAt = LongAgo;
  TimePoint UnansweredClaimAt = LongAgo; ///< Of the last claim; LongAgo: none.
  TimePoint ContactCheckedAt = LongAgo;
  std::uint64_t KnownEra = 0; ///< Of the router's own objects last read.
  bool EraKnown = false;
  /// When a restoration of the store was noticed; LongAgo: never.
  TimePoint RestoredAt = LongAgo;
  /// Revision of the last leader object of an earlier era.
  std::uint64_t VoidLeaderRevision = 0;
  bool Claiming = false;
  bool Leaving = false;
};

} // namespace buckthornring
