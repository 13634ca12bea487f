#pragma once

#include "Fleet/FleetMessage.h"
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

/// This instance's part in the fleet: reports to the leader, takes over the
/// lead when there is none, and learns from peers what the store does not tell.
class FleetMember {
public:
  struct FleetContext {
    RequestContext &Requests;
    ObjectStore &Store;
    const StoreFeed &Own;
    Leader &Lead;
    PeerSocket &Peers;
    LeaderInfo Self; ///< Without a term.
    DataCentreId DataCentre;
    double Capacity; ///< Part of a core that the process may use.
    /// This instance leads from now on.
    std::function<void()> Started;
    std::function<SeenChanges()> Seen;
    /// Whether this instance knows all these changes.
    std::function<bool(const SeenChanges &)> Knows;
    std::function<bool()> StoreReachable;
    /// Where the store is to be read: FleetReply::Relay.
    std::function<void(const std::string &Address)> UseRelay;
    /// A peer has seen changes that this instance has not.
    std::function<void(const SeenChanges &, const std::string &Address)> Behind;
  };

  FleetMember(boost::asio::io_context &Context, FleetContext Around,
              std::uint64_t Seed);

  auto start() -> void { scheduleReport(); }

  /// The leader object has changed; nothing: there is none.
  auto leaderChanged(const StoredObject *Object) -> void;
  auto received(const FleetMessage &Message, const std::string &From) -> void;
  /// Requests.LoadsSeen has grown; the neighbours are told soon.
  auto scheduleLoadNotice() -> void;
  /// Requests that this instance's parts of the rates do not have.
  auto rateReserveClient() -> RateQuestions & { return Questions; }
  /// Gives up the lead and tells the others.
  auto leave() -> void;

  static constexpr const char *LeaderObject = "leader";

private:
  auto scheduleReport() -> void;
  auto sendReport() -> void;
  auto compose(TimePoint Now) -> FleetReport;
  auto gotReply(const FleetReply &Reply) -> void;
  auto gotReport(const FleetReport &Report, const std::string &From) -> void;
  auto gotNotice(const GrantNotice &Notice) -> void;
  auto sendLoads() -> void;
  auto gotLoads(const LoadNotice &Notice) -> void;
  /// Sends a question to the leader's reserve. False: there is no leader.
  auto sendQuestion(const RateQuestion &Question) -> bool;
  auto applyReply(const FleetReply &Reply) -> void;
  auto compareSeen(const SeenChanges &Others, const std::string &From) -> void;
  /// Wait before a claim. Larger instances go first: the leader's work grows
  /// with the fleet.
  auto claimDelay() -> Duration;
  /// Leaves the lead to a much larger instance, where there is one.
  auto considerHandover(TimePoint Now) -> void;
  auto considerClaim(TimePoint Now) -> void;
  auto claim() -> void;
  auto follow(LeaderInfo Next) -> void;

  FleetContext Around;
  RateQuestions Questions;
  double LargestCapacity = 0; ///< Of the fleet, as last told.
  boost::asio::steady_timer Timer;
  boost::asio::steady_timer ClaimTimer;
  boost::asio::steady_timer LoadTimer;
  bool LoadArmed = false;
  std::vector<std::string> Neighbours;
  std::uint64_t NeighboursVersion = 0;
  RandomSource Random;
  LeaderInfo Current;
  TimePoint LastReply = LongAgo;
  TimePoint ReportedAt = LongAgo;
  bool Heard = false;    ///< The leader has answered this process.
  bool Resigned = false; ///< The leader has told that it stops.
  TimePoint StoreLostAtLeader = LongAgo; ///< LongAgo: it has contact.
  TimePoint ClaimAt = LongAgo;           ///< LongAgo: no claim planned.
  TimePoint NoClaimBefore = LongAgo;
  TimePoint ClaimedAt = LongAgo;
  TimePoint BehindSince = LongAgo; ///< LongAgo: up to date.
  bool Claiming = false;
  bool Leaving = false;
};

} // namespace buckthornring
