#pragma once

#include "Fleet/FleetMessage.h"
#include "Gateway/Leader.h"
#include "Gateway/PeerSocket.h"
#include "Gateway/RequestContext.h"
#include "Gateway/StoreFeed.h"
#include "buckthornring/Common/Random.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace buckthornring {

/// This instance's part in the fleet: reports to the leader, takes over the
/// lead when there is none, and learns from peers what the store does not tell.
class FleetMember {
public:
  struct Surroundings {
    RequestContext &Requests;
    ObjectStore &Store;
    const StoreFeed &Own;
    Leader &Lead;
    PeerSocket &Peers;
    LeaderInfo Self; ///< Without a term.
    DataCentreId DataCentre;
    std::function<SeenChanges()> Seen;
    std::function<bool()> StoreReachable;
    /// A peer has seen changes that this instance has not.
    std::function<void(const std::string &Address)> Behind;
  };

  FleetMember(boost::asio::io_context &Context, Surroundings Around,
              std::uint64_t Seed);

  auto start() -> void { scheduleReport(); }

  /// The leader object has changed; nothing: there is none.
  auto leaderChanged(const StoredObject *Object) -> void;
  auto received(const FleetMessage &Message, const std::string &From) -> void;
  /// Gives up the lead and tells the others.
  auto leave() -> void;

  auto leader() const -> const LeaderInfo & { return Current; }
  /// When the leader last answered.
  auto lastReply() const -> TimePoint { return LastReply; }

  static constexpr const char *LeaderObject = "leader";

private:
  auto scheduleReport() -> void;
  auto sendReport() -> void;
  auto compose(TimePoint Now) -> FleetReport;
  auto gotReply(const FleetReply &Reply) -> void;
  auto gotReport(const FleetReport &Report, const std::string &From) -> void;
  auto gotNotice(const GrantNotice &Notice) -> void;
  auto applyReply(const FleetReply &Reply) -> void;
  auto compareSeen(const SeenChanges &Others, const std::string &From) -> void;
  auto considerClaim(TimePoint Now) -> void;
  auto claim() -> void;
  auto follow(LeaderInfo Next) -> void;

  Surroundings Around;
  boost::asio::steady_timer Timer;
  boost::asio::steady_timer ClaimTimer;
  RandomSource Random;
  LeaderInfo Current;
  TimePoint LastReply = TimePoint::min();
  TimePoint ReportedAt = TimePoint::min();
  TimePoint StoreLostAtLeader = TimePoint::min(); ///< min(): it has contact.
  TimePoint ClaimAt = TimePoint::min();           ///< min(): no claim planned.
  TimePoint NoClaimBefore = TimePoint::min();
  TimePoint ClaimedAt = TimePoint::min();
  TimePoint BehindSince = TimePoint::min(); ///< min(): up to date.
  bool Claiming = false;
  bool Leaving = false;
};

} // namespace buckthornring
