#pragma once

#include "Fleet/AuthorityEvidence.h"
#include "Fleet/FleetMessage.h"
#include "Fleet/KeyLoad.h"
#include "Fleet/RangeAssigner.h"
#include "Fleet/RateShares.h"
#include "Fleet/TargetTable.h"
#include "Gateway/AnnouncementRecorder.h"
#include "Gateway/OrderSender.h"
#include "Gateway/Protocol.h"
#include "Gateway/RolloutLeader.h"
#include "Gateway/StoreFeed.h"
#include "IO/BootClock.h"
#include "IO/EventLog.h"
#include "buckthornring/Config/Configuration.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace buckthornring {

/// Runs on the one instance that leads the fleet: assigns the keys of divided
/// services to targets, divides the workspace rates among the instances, and
/// tells each instance which changes the others have seen.
class Leader {
public:
  struct FleetContext {
    boost::asio::io_context &Io;
    ObjectStore &Store;
    const PlatformProtocol &Protocol;
    TargetTable &Targets;
    EventLog &Events;
    AnnouncementRecorder &Announcements;
    /// Feed of the router's own objects: ranges, leader, fleet size.
    const StoreFeed &RouterObjectsFeed;
    /// Newest record of a service's key ranges that this instance has read;
    /// null: none.
    std::function<const RangeRecord *(const ServiceId &)> NewestRanges;
    /// Reads the router's own objects again, in addition to the open watch.
    std::function<void()> RefreshOwnFeed;
    /// Sends a message to the instance at an address.
    std::function<void(const std::string &, const FleetMessage &)> Send;
    /// New owners of keys have accepted their grants.
    std::function<void(const GrantNotice &)> OnGranted;
    /// Null: the deployment has no rollouts.
    RolloutAgent *Rollouts = nullptr;
    RolloutLeader *RolloutDecisions = nullptr;
  };

  Leader(FleetContext Context, RangeTimes Times, const RateTolerance &Tolerance)
      : Context(std::move(Context)), Times(Times), Tolerance(Tolerance),
        Reserve(Tolerance), Evidence(Times),
        Orders(this->Context.Io, this->Context.Protocol,
               [this](const TargetRecord &Target, unsigned Status,
                      const HttpHeaders &Fields) {
                 this->Context.Announcements.record(Target, Status, Fields);
               }) {}

  /// Name of the object that holds the number of instances. Processes that
  /// start while there is no leader divide the workspace rates by it.
  static constexpr const char *FleetSizeObjectName = "fleet";
  static auto readFleetSize(const StoredObject &Object)
      -> Result<std::uint32_t>;
  /// Returns the term before which all leaders and their grants have ended, as
  /// recorded in the same object; 0: not recorded. It stays true for ever.
  static auto readEndedBefore(const StoredObject &Object) -> std::uint64_t;

  /// What is read of that object.
  static auto fleetSizeObjectParts() -> JsonParts;

  /// Names of the objects with the ranges of services begin with it.
  static constexpr std::string_view RangeObjectPrefix = "ranges.";
  /// Returns the name of the object that holds a service's ranges.
  static auto rangeObjectName(const ServiceId &Service) -> std::string;

  /// Starts leading. \p ClaimSentAt is the time at which the write of the
  /// leader object was sent that made this instance the leader.
  /// \p StoreRestored tells that the store may lack records of key ranges.
  auto start(LeaderInfo Self, TimePoint ClaimSentAt, bool StoreRestored,
             const EarlierLeaders &Earlier) -> void;
  /// Goes on leading by a later claim. Ranges and members stay known, unless
  /// the authority has lapsed meanwhile.
  auto continueAs(LeaderInfo NewSelf, TimePoint ClaimSentAt) -> void;
  auto stop() -> void;
  /// Tells the other instances to take over, then stops leading.
  auto resign() -> void;
  auto leading() const -> bool { return Self.Term != 0; }
  auto self() const -> const LeaderInfo & { return Self; }

  /// The store has confirmed the leadership by its answer to a call that was
  /// sent at \p SentAt.
  auto leadershipConfirmed(TimePoint SentAt) -> void {
    ConfirmedAt = std::max(ConfirmedAt, SentAt);
  }

  /// Answers a later leader. \p OwnProcess is LeaderInfo::Process of this
  /// process.
  auto answer(const AuthorityQuery &Query, const std::string &OwnProcess) const
      -> AuthorityAnswer;
  auto onAuthorityAnswer(const AuthorityAnswer &Answer) -> void;

  /// Records the report of the instance at \p Address and returns the reply.
  auto handleReport(const FleetReport &Report, const std::string &Address,
                    bool StoreReachable) -> FleetReply;

  /// Returns the addresses of the instances that report to this one, except
  /// those in the data centre.
  auto membersOutside(const DataCentreId &DataCentre) const
      -> std::vector<std::string>;
  /// Returns the data centre of the instance at the address; empty: not known.
  auto dataCentreOf(const std::string &Address) const -> DataCentreId;

  /// Grants requests of a workspace from the reserve of its rate.
  auto grantRate(const RateReserveRequest &Request, const Configuration &Config)
      -> RateReserveReply;

  /// Decides on the rollouts. The store is of the era \p Era.
  auto stepRollouts(const Configuration &Config, bool StoreReachable,
                    std::uint64_t Era) -> void;
  /// Plans range changes, writes them to the store and sends the orders that
  /// are due, for each divided service.
  auto tick(const Configuration &Config) -> void;

private:
  struct Member {
    std::string Address;
    DataCentreId DataCentre;
    double Capacity = 0;
    bool StoreReachable = false;
    SeenRevisions Seen;
    TimePoint ReportedAt;
  };
  struct ServiceState {
    ServiceState(RangeAssigner InitialKeeper, std::uint64_t Generation)
        : Keeper(std::move(InitialKeeper)), Generation(Generation) {}

    RangeAssigner Keeper;
    /// Distinguishes replies to orders of this keeper from late replies to
    /// orders of an earlier keeper of the same service.
    std::uint64_t Generation;
    KeyLoad Load;
    /// Time of a request, moving average by target.
    std::unordered_map<TargetId, double> ProcessingTimeMs;
    FailingOwners Failing;
    std::set<TargetId> PendingGrants;  ///< Targets with an unanswered grant.
    std::uint32_t PendingReleases = 0; ///< Unanswered releases.
    bool WritePending = false;
    TimePoint NextWriteAt = LongAgo;
    TimePoint NextPlanAt = LongAgo;
    /// This leadership had sent no orders for the service before it took the
    /// record over, so only those of earlier leaders are to be waited for.
    bool FirstTakeover = false;
  };

  auto addressOf(const InstanceId &Id, const Member &Instance) const
      -> const std::string &;
  struct RelayPair {
    std::string Primary;
    std::string Backup;
  };
  /// Selects the instances through which those of a data centre read the store.
  /// Both addresses are empty when each reads directly, or when this leader
  /// does not know all instances yet.
  auto selectRelays(const DataCentreId &DataCentre, TimePoint Now) const
      -> RelayPair;
  /// Adds the addresses of the other instances of the sender's data centre.
  /// Adds instances in other data centres, spread over all of them.
  auto addContacts(const FleetReport &Report, FleetReply &Reply) const -> void;
  auto addNeighbours(const FleetReport &Report, FleetReply &Reply) const
      -> void;
  /// Records what owners of keys have announced to the sender.
  auto recordOwnerNotices(const FleetReport &Report, TimePoint Now) -> void;
  /// Whether the keys of the target are to be moved to others because of what
  /// it has announced to this or another instance.
  auto handsKeysOver(const TargetState &Target, TimePoint Now) const -> bool;
  auto recordFleetSize(TimePoint Now) -> void;
  /// Whether targets of other versions than \p To own keys of the service.
  auto keysOutside(const ServiceId &Id, const std::string &To) const -> bool;
  /// Whether the store has the era in which this instance became the leader.
  auto inOwnEra() const -> bool;
  /// Adds the targets to which this process sent no order shortly before its
  /// end.
  auto addOlderOrders(AuthorityAnswer &Answer) const -> void;
  /// Asks the earlier leaders that have not told yet that they have ended.
  auto askEarlierLeaders(TimePoint Now) -> void;
  /// Passes the evidence on earlier leaders to a service that was taken over.
  auto applyEvidence(const ServiceId &Id, ServiceState &State, TimePoint Now)
      -> void;
  auto recordOf(const ServiceId &Id) const -> const StoredObject *;
  /// Writes the ranges of a service again if the store lacks them since it was
  /// restored. Returns whether the state of the service is in force.
  auto keepRecord(const ServiceId &Id, ServiceState &State) -> bool;
  auto rewriteRanges(const ServiceId &Id, ServiceState &State,
                     std::uint64_t Revision) -> void;
  /// Returns the record from which a service is to be led, or nothing.
  auto recordToContinue(const ServiceId &Id, const ServiceConfig &Config)
      -> std::optional<RangeRecord>;
  auto findOrLoadService(const ServiceId &Id, const ServiceConfig &Config)
      -> ServiceState *;
  auto buildView(const ServiceId &Id, const ServiceState &State,
                 TimePoint Now) const -> RangeAssigner::View;
  auto meanWorkMs(const ServiceState &State) const -> double;
  auto recordOwnerOutcomes(const FleetReport &Report, TimePoint Now) -> void;
  /// Excludes owners that fail much of their work.
  auto updateFailingOwners(const ServiceId &Id, ServiceState &State,
                           TimePoint Now) -> void;
  /// Whether the targets of a service have probably all registered: no new one
  /// has appeared for RegistrationQuietPeriod.
  auto allRegistered(const ServiceId &Id, TimePoint Now) -> bool;
  /// Returns the pending record with this leader as its writer.
  auto recordToWrite(const ServiceState &State) const -> nlohmann::json;
  auto writeRanges(const ServiceId &Id, ServiceState &State) -> void;
  /// Handles a write that was refused or that took effect in a later era than
  /// this leader's.
  auto onRangesNotWritten(const ServiceId &Id, ServiceState &State,
                          const StoreWriteResult &Answer) -> void;
  auto onRangesWritten(const ServiceId &Id, ServiceState &State,
                       const StoreWriteResult &Answer, TimePoint SentAt)
      -> void;
  /// Whether the store holds a later record than the one that this leader has
  /// written.
  auto recordOverwritten(const ServiceId &Id, const ServiceState &State) const
      -> bool;
  auto sendOrders(const ServiceId &Id, ServiceState &State, TimePoint Now)
      -> void;
  auto sendOrdersTo(const TargetId &Target, const ServiceId &Id,
                    ServiceState &State, TimePoint Now) -> void;
  auto sendOrder(const ServiceId &Id, const RangeOrder &Call) -> void;
  /// Logs why the previous owner of the keys is known to hold them no longer.
  auto logFirstGrant(const ServiceId &Id, const RangeOrder &Call) -> void;
  auto onOrderEnded(const ServiceId &Id, const RangeOrder &Call,
                    RangeOrderOutcome Answer, const std::string &Handover)
      -> void;
  auto logOrder(const ServiceId &Id, const RangeOrder &Call,
                RangeOrderOutcome Answer, bool Handover) -> void;
  /// Another instance has changed the ranges, or a target has seen a later
  /// fencing token. Drops the state of the service and reads the store again,
  /// which tells whether this instance still leads and from which record it has
  /// to continue.
  auto onSuperseded(const ServiceId &Id) -> void;
  /// Logs what a plan has moved to balance the load, with its price.
  auto logBalance(const ServiceId &Id, const ServiceState &State) -> void;
  auto announceGrants(const ServiceId &Id, ServiceState &State) -> void;

  FleetContext Context;
  RangeTimes Times;
  RateTolerance Tolerance;
  RateReserve Reserve;
  AuthorityEvidence Evidence;
  /// Services for which orders were sent in this leadership.
  std::set<ServiceId> OrderedServices;
  OrderSender Orders;
  /// When this process could first have sent an order.
  const TimePoint CreatedAt = bootNow();
  /// When the last order of its last leadership had ended.
  TimePoint OrdersEndedAt = CreatedAt;
  LeaderInfo Self; ///< Term 0: this instance does not lead.
  TimePoint StartedAt = LongAgo;
  TimePoint TermTakenAt = LongAgo; ///< When Self.Term became known here.
  TimePoint ConfirmedAt = LongAgo;
  /// Range records that were read before this time may be out of date.
  TimePoint RecordsStaleBefore = LongAgo;
  RateDivider Rates;
  std::map<InstanceId, Member> Members;
  bool MayLackRecords = false; ///< The store was restored before the start.
  /// Pauses that owners of keys have asked of any instance.
  struct OwnerPause {
    std::int64_t StartedAt = 0; ///< Start time of the incarnation.
    TimePoint Until = LongAgo;
  };
  std::unordered_map<TargetId, OwnerPause> OwnerPauses;
  TimePoint NextSizeCheckAt = LongAgo;
  std::map<ServiceId, ServiceState> Services;
  std::uint64_t LastGeneration = 0; ///< Last ServiceState::Generation.
  struct Registration {
    std::size_t TargetCount = 0;
    TimePoint ChangedAt = LongAgo; ///< Time of the last change of TargetCount.
  };
  std::map<ServiceId, Registration> Registrations;
};

} // namespace buckthornring
