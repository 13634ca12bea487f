#pragma once

#include "Fleet/TargetRecord.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornring {

/// Newest change of each kind of object that an instance has seen, as store
/// revisions.
struct SeenRevisions {
  std::uint64_t Configuration = 0;
  std::uint64_t Targets = 0;
  std::uint64_t Evacuations = 0;

  friend auto operator==(const SeenRevisions &, const SeenRevisions &)
      -> bool = default;
};

/// The instance that leads, by the object in the store.
struct LeaderInfo {
  InstanceId Instance;
  std::string Process;    ///< Names one start of the instance.
  std::string Address;    ///< IP address and port for messages.
  std::uint64_t Term = 0; ///< Store revision of the object; 0: none.
};

/// What an instance tells the leader several times a second.
struct FleetReport {
  InstanceId Instance;
  std::string Process;
  DataCentreId DataCentre;
  LeaderInfo Leader; ///< As the sender knows it.
  bool StoreReachable = false;
  bool Leaving = false;
  std::uint64_t KnownNeighboursVersion = 0; ///< FleetReply::NeighboursVersion.
  SeenRevisions Seen;
  /// Part of a core that the sender may use; 0: it is not to lead.
  double Capacity = 0;
  std::uint32_t CountPeriodMs = 0; ///< Time that the counts cover.
  std::map<WorkspaceId, std::uint32_t> Demand;
  std::map<ServiceId, std::vector<std::uint32_t>> Keys;
  /// Time of a request at targets of divided services, in ms, where it was
  /// observed since the last report.
  std::map<TargetId, std::uint32_t> ProcessingTimeMs;
};

/// The leader's answer to a report.
struct FleetReply {
  LeaderInfo Leader;
  bool StoreReachable = false;
  bool Resigned = false;     ///< The leader stops; another is to take over.
  SeenRevisions Seen;        ///< Newest that any instance has reported.
  std::string SeenByAddress; ///< Address of an instance that has seen it.
  std::uint32_t Instances = 1;
  std::uint32_t InstancesInDataCentre = 1; ///< Of the receiver.
  double LargestCapacity = 0;              ///< Of all instances.
  /// Address of the instance through which the receiver is to read the store;
  /// its own: it passes on what it reads; empty: it reads directly.
  std::string Relay;
  /// Changes with the instances of the receiver's data centre.
  std::uint64_t NeighboursVersion = 0;
  /// Addresses of the others there, unless the receiver knows them.
  std::vector<std::string> Neighbours;
  /// Whether the parts below are to be used. A new leader does not know the
  /// demand of all instances yet, so they keep the parts that they have.
  bool SharesValid = false;
  std::map<WorkspaceId, double> WorkspaceShares;
  double DefaultShare = 0;
};

/// New owners that have received their grants, by fencing token.
struct GrantNotice {
  std::uint64_t Term = 0;
  std::map<ServiceId, std::vector<std::uint64_t>> Fences;
};

/// An instance asks for requests of a workspace from the leader's reserve.
struct RateReserveRequest {
  WorkspaceId Workspace;
  std::uint32_t Wanted = 1;
  std::uint64_t Number = 0; ///< Repeated in the answer.
};

struct RateReserveReply {
  WorkspaceId Workspace;
  std::uint32_t Granted = 0;
  std::uint64_t Number = 0;
};

/// Loads of targets that an instance has just seen, for its neighbours.
struct LoadNotice {
  std::map<TargetId, LoadReport> Loads;
};

using FleetMessage =
    std::variant<FleetReport, FleetReply, GrantNotice, RateReserveRequest,
                 RateReserveReply, LoadNotice>;

/// Encodes a message as CBOR.
auto encodeFleetMessage(const FleetMessage &Message) -> std::string;

/// Fails when the bytes are no message.
auto decodeFleetMessage(std::string_view Bytes) -> Result<FleetMessage>;

} // namespace buckthornring
