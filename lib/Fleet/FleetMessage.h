#pragma once

#include "Admission/LoadNews.h"
#include "Fleet/CrashSuspects.h"
#include "Fleet/FailingOwners.h"
#include "Fleet/TargetRecord.h"
#include "Rollout/Rollout.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornring {

/// Store revision of the newest change that an instance has seen, for each kind
/// of object.
struct SeenRevisions {
  std::uint64_t Configuration = 0;
  std::uint64_t Targets = 0;
  std::uint64_t Evacuations = 0;

  friend auto operator==(const SeenRevisions &, const SeenRevisions &)
      -> bool = default;
};

/// The leader, as recorded in the store.
struct LeaderInfo {
  InstanceId Instance;
  std::string Process;    ///< Identifies one start of the instance.
  std::string Address;    ///< IP address and port for peer messages.
  std::uint64_t Term = 0; ///< Store revision of the record; 0: none.
};

/// What an owner of keys has announced to the instance that reports it.
struct OwnerNotice {
  std::int64_t StartedAtMs = 0; ///< Start time of the incarnation, Unix ms.
  bool Leaving = false;
  std::uint32_t PauseMs = 0; ///< Rest of the pause, in ms; 0: none.

  friend auto operator==(const OwnerNotice &, const OwnerNotice &)
      -> bool = default;
};

/// Report that an instance sends to the leader several times a second.
struct FleetReport {
  InstanceId Instance;
  std::string Process;
  DataCentreId DataCentre;
  LeaderInfo Leader; ///< The leader that the sender follows.
  bool StoreReachable = false;
  bool Leaving = false;
  std::uint64_t KnownNeighboursVersion = 0; ///< FleetReply::NeighboursVersion.
  SeenRevisions Seen;
  /// Fraction of a processor core that the sender may use; 0: it must not lead.
  double Capacity = 0;
  std::uint32_t CountPeriodMs = 0; ///< Period that the counts cover.
  std::map<WorkspaceId, std::uint32_t> Demand;
  std::map<ServiceId, std::vector<std::uint32_t>> Keys;
  /// Processing time of a request, in ms, at the targets of divided services
  /// where it was observed since the last report.
  std::map<TargetId, std::uint32_t> ProcessingTimeMs;
  /// Outcomes at the targets of divided services that have failed requests of
  /// the sender since the last report. Those in ProcessingTimeMs alone have
  /// failed none.
  std::map<TargetId, OutcomeCounts> OwnerFailures;
  /// Announcements of targets of divided services that are in force.
  std::map<TargetId, OwnerNotice> OwnerNotices;
  /// Services with a rollout in progress.
  std::map<ServiceId, RolloutReport> Rollouts;
  std::uint64_t SuspectsDigest = 0; ///< digestOf() of the known suspects.
  /// Empty when the leader's last reply had the same digest.
  SuspectNotice Suspects;
};

/// The leader's reply to a FleetReport.
struct FleetReply {
  LeaderInfo Leader;
  bool StoreReachable = false;
  bool Resigned = false;     ///< The leader steps down; another takes over.
  SeenRevisions Seen;        ///< Newest revisions that any instance reported.
  std::string SeenByAddress; ///< An instance that has seen them.
  std::uint32_t Instances = 1;
  std::uint32_t InstancesInDataCentre = 1; ///< The receiver's data centre.
  double LargestCapacity = 0;              ///< Of all instances.
  /// Address of the instance through which the receiver is to read the store.
  /// Its own address: it reads the store directly and relays the changes;
  /// empty: it reads directly.
  std::string Relay;
  std::string BackupRelay; ///< Used while Relay does not respond; may be empty.
  /// Address of the instance that admits requests on behalf of the receiver.
  /// Empty: the receiver holds shares of the workspace rates itself.
  std::string RateKeeper;
  std::uint32_t RateHolders = 1; ///< Instances that hold shares of the rates.
  /// Changes whenever the set of instances in the receiver's data centre, or
  /// Contacts, changes.
  std::uint64_t NeighboursVersion = 0;
  /// Addresses of the other instances there; empty when the receiver has this
  /// version already.
  std::vector<std::string> Neighbours;
  /// Addresses of a few instances in other data centres, different ones for
  /// each receiver; empty when it has this version already.
  std::vector<std::string> Contacts;
  /// Whether the shares below are to be used. A new leader does not know the
  /// demand of all instances yet, so they keep the shares that they have.
  bool SharesValid = false;
  std::map<WorkspaceId, double> WorkspaceShares;
  double DefaultShare = 0;
  /// Services with a rollout in progress.
  std::map<ServiceId, RolloutNotice> Rollouts;
  std::uint64_t SuspectsDigest = 0; ///< digestOf() of the known suspects.
  SuspectNotice Suspects; ///< Empty when the report had the same digest.
};

/// Fencing tokens of new owners that have received their first grants.
struct GrantNotice {
  std::uint64_t Term = 0;
  std::map<ServiceId, std::vector<std::uint64_t>> Fences;
};

/// Requests tokens of a workspace from the sender's rate keeper or from the
/// leader's reserve.
struct RateReserveRequest {
  WorkspaceId Workspace;
  std::uint32_t Wanted = 1;
  std::uint64_t Number = 0; ///< Repeated in the reply.
};

struct RateReserveReply {
  WorkspaceId Workspace;
  std::uint32_t Granted = 0;
  std::uint64_t Number = 0;
};

/// Recent load reports of targets, sent to a few instances at a time, which
/// pass them on.
struct LoadNotice {
  std::map<TargetId, AgedLoad> Loads;
};

/// A new leader asks the process of an earlier one whether it has ended its
/// leadership. Repeated until it is answered.
struct AuthorityQuery {
  LeaderInfo Leader;   ///< The sender.
  std::string Process; ///< LeaderInfo::Process of the earlier leader.
};

/// Answers an AuthorityQuery. The sender is the process asked about, or a later
/// one at its address.
struct AuthorityAnswer {
  std::uint64_t Term = 0; ///< Of AuthorityQuery::Leader.
  std::string Process;    ///< AuthorityQuery::Process.
  /// The process sends no more orders for terms up to Term.
  bool Ended = false;
  /// Time since its last order was answered or reset, or since it has ended.
  std::uint32_t LastOrderAgeMs = 0;
  /// The same for single targets whose last order is older. Those that are lost
  /// together with the sender's contact to the store are among them.
  std::map<TargetId, std::uint32_t> OlderOrderAgesMs;
};

using FleetMessage =
    std::variant<FleetReport, FleetReply, GrantNotice, RateReserveRequest,
                 RateReserveReply, LoadNotice, SuspectNotice, AuthorityQuery,
                 AuthorityAnswer>;

/// Maximum number of suspects in one message, which has to fit into one packet
/// beside the other content of a report, and of crashes of each.
constexpr std::size_t MaxSuspectsInMessage = 10;
constexpr std::size_t MaxCrashesInMessage = 4;

/// Maximum number of AuthorityAnswer::OlderOrderAgesMs: 24 names of 20 bytes
/// take 0.6 kB, so an answer fits into one packet.
constexpr std::size_t MaxOlderOrderAges = 24;

/// Returns a digest of the suspects and the targets that they crashed, without
/// the times, which differ by the delay of messages; 0: there are none.
auto digestOf(const SuspectNotice &Notice) -> std::uint64_t;

/// Encodes a message as CBOR.
auto encodeFleetMessage(const FleetMessage &Message) -> std::string;

/// Fails when the bytes are not a valid message.
auto decodeFleetMessage(std::string_view Bytes) -> Result<FleetMessage>;

} // namespace buckthornring
