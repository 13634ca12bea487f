#pragma once

#include "Fleet/FleetMessage.h"
#include "Fleet/KeyLoad.h"
#include "Fleet/RangeKeeper.h"
#include "Fleet/RateShares.h"
#include "Fleet/TargetTable.h"
#include "Gateway/OrderSender.h"
#include "Gateway/Protocol.h"
#include "Gateway/StoreFeed.h"
#include "IO/EventLog.h"
#include "buckthornring/Config/Configuration.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace buckthornring {

/// The duties of the one instance that leads: it keeps the keys of divided
/// services owned, divides workspace rates, and tells all instances what the
/// others have seen.
class Leader {
public:
  struct FleetContext {
    boost::asio::io_context &Io;
    ObjectStore &Store;
    const PlatformProtocol &Protocol;
    TargetTable &Targets;
    EventLog &Events;
    /// The router's own objects as last read.
    const StoreFeed &Own;
    /// Reads the router's own objects anew.
    std::function<void()> Refresh;
    /// Sends a message to an instance.
    std::function<void(const std::string &, const FleetMessage &)> Send;
    /// New owners have their grants.
    std::function<void(const GrantNotice &)> OnGranted;
  };

  Leader(FleetContext Around, RangeTimes Times, const RateTolerance &Tolerance)
      : Around(std::move(Around)), Times(Times), Tolerance(Tolerance),
        Reserve(Tolerance), Orders(this->Around.Io, this->Around.Protocol) {}

  /// Object with the number of instances, for processes that start while
  /// nobody leads.
  static constexpr const char *SizeObject = "fleet";
  static auto readSize(const StoredObject &Object) -> Result<std::uint32_t>;

  /// Name of the object that holds a service's ranges.
  static auto rangeObject(const ServiceId &Service) -> std::string;

  /// \p ProvedAt is when the claim was sent that made this instance lead.
  auto start(LeaderInfo Self, TimePoint ProvedAt) -> void;
  auto stop() -> void;
  /// Tells the others to take over, then stops.
  auto resign() -> void;
  auto leading() const -> bool { return Self.Term != 0; }
  auto self() const -> const LeaderInfo & { return Self; }

  /// The leadership was proved by the store at this time.
  auto leadershipConfirmed(TimePoint At) -> void {
    ConfirmedAt = std::max(ConfirmedAt, At);
  }

  /// Takes an instance's report and returns the answer.
  auto report(const FleetReport &From, const std::string &Address,
              bool StoreReachable) -> FleetReply;

  /// Takes requests of a workspace from the reserve of its rate.
  auto takeRate(const RateQuestion &Question, const Configuration &Config)
      -> RateAnswer;

  /// Plans, writes and orders what is due.
  auto tick(const Configuration &Config) -> void;

private:
  struct Member {
    std::string Address;
    DataCentreId DataCentre;
    double Capacity = 0;
    bool StoreReachable = false;
    SeenChanges Seen;
    TimePoint At;
  };
  struct Service {
    Service(RangeKeeper Given, std::uint64_t Number)
        : Keeper(std::move(Given)), Number(Number) {}

    RangeKeeper Keeper;
    /// Tells answers to the orders of this keeper from those of earlier ones.
    std::uint64_t Number;
    KeyLoad Load;
    std::unordered_map<TargetId, double> WorkMs; ///< Moving averages.
    std::set<TargetId> Granting; ///< Targets with a grant under way.
    std::uint32_t Releasing = 0; ///< Releases under way.
    bool Writing = false;
    TimePoint WriteAt = LongAgo;
    TimePoint PlanAt = LongAgo;
  };

  auto addressOf(const InstanceId &Id, const Member &Of) const
      -> const std::string &;
  /// The instance through which those of a data centre read the store, or an
  /// empty address.
  auto relayOf(const DataCentreId &DataCentre, TimePoint Now) const
      -> std::string;
  /// Tells the other instances of the sender's data centre.
  auto addNeighbours(const FleetReport &From, FleetReply &Reply) const -> void;
  auto recordSize(TimePoint Now) -> void;
  auto serviceOf(const ServiceId &Id, const ServiceConfig &Config) -> Service *;
  auto viewOf(const ServiceId &Id, const Service &Own, TimePoint Now) const
      -> RangeKeeper::View;
  auto usualWorkMs(const Service &Own) const -> double;
  /// Whether the targets of a service have probably all registered.
  auto allRegistered(const ServiceId &Id, TimePoint Now) -> bool;
  auto write(const ServiceId &Id, Service &Own) -> void;
  auto writeEnded(const ServiceId &Id, const StoreWrite &Answer,
                  TimePoint SentAt) -> void;
  /// Whether the store holds a later record than this leader has written.
  auto overwritten(const ServiceId &Id, const Service &Own) const -> bool;
  auto sendOrders(const ServiceId &Id, Service &Own, TimePoint Now) -> void;
  auto order(const ServiceId &Id, const RangeCall &Call) -> void;
  auto orderEnded(const ServiceId &Id, const RangeCall &Call,
                  RangeAnswer Answer, const std::string &Handover) -> void;
  auto logOrder(const ServiceId &Id, const RangeCall &Call, RangeAnswer Answer,
                bool Handover) -> void;
  /// Another instance has changed the ranges. What the store holds now tells
  /// whether this one still leads, and from which record.
  auto superseded(const ServiceId &Id) -> void;
  auto announce(const ServiceId &Id, Service &Own) -> void;

  FleetContext Around;
  RangeTimes Times;
  RateTolerance Tolerance;
  RateReserve Reserve;
  OrderSender Orders;
  LeaderInfo Self; ///< Term 0: not leading.
  TimePoint StartedAt = LongAgo;
  TimePoint ConfirmedAt = LongAgo;
  /// Records that were read before this time may be out of date.
  TimePoint RecordsKnownAfter = LongAgo;
  RateDivider Rates;
  std::map<InstanceId, Member> Members;
  TimePoint RecordSizeAt = LongAgo; ///< Of the next look at the size.
  std::map<ServiceId, Service> Services;
  std::uint64_t LastService = 0; ///< Service::Number of the newest.
  struct Registration {
    std::size_t Targets = 0;
    TimePoint Since = LongAgo; ///< Of the last change.
  };
  std::map<ServiceId, Registration> Registered;
};

} // namespace buckthornring
