#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Config/Configuration.h"
#include "buckthornring/Link/LinkMessage.h"
#include "buckthornring/Ownership/OwnershipAction.h"
#include "buckthornring/Ownership/OwnershipTimes.h"
#include "buckthornring/Ownership/SliceMap.h"
#include "buckthornring/Ownership/TermKeeper.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace buckthornring {

/// A partitioned service as the leader of one data centre sees it.
struct OwnedService {
  ServiceId Id;
  std::uint32_t Slices = 256;
  TargetVerification Verification = TargetVerification::Verified;
  /// Longest time that a request may run at an unverified target.
  Duration MaxDeadline = std::chrono::seconds(30);
  /// Targets of this data centre.
  std::map<TargetId, ServingState> Targets;
  /// Targets that the operator confirmed to run no more (--confirm-lost). Each
  /// must be taken out as well, so that it gets no slices when it returns. Has
  /// no effect on a target that has acknowledged the current term.
  std::set<TargetId> ConfirmedLost;
  /// Slices homed in this data centre; empty means all.
  std::vector<bool> Home;
  /// False until this leader has proved that Home is current (HomeKeeper).
  /// Until then slices are renewed, but none is moved or granted anew.
  bool HomeConfirmed = true;
};

/// Ownership of one data centre's slices: one object in every instance.
///
/// Each instance feeds every ownership event to its LeaderCore and carries out
/// the returned actions; only the leader's (and renewing deputy's) returns
/// lease messages. Calls must carry non-decreasing times. tick() is due every
/// 10 to 20 ms.
class LeaderCore {
public:
  struct Identity {
    /// Names one process start: the instance's name with a random suffix. A
    /// restarted process must use another one.
    InstanceId Self;
    DataCentreId DataCentre;
    std::string FailureDomain;
  };

  LeaderCore(const Identity &Self, OwnershipTimes Times,
             SafetySwitches Switches, TimePoint Now);
  ~LeaderCore();
  LeaderCore(const LeaderCore &) = delete;
  auto operator=(const LeaderCore &) -> LeaderCore & = delete;

  /// Replaces the services, from the accepted configuration. A service whose
  /// slice count changes counts as a new one.
  auto setServices(const std::vector<OwnedService> &Services, TimePoint Now)
      -> void;

  /// Replaces the list of the other instances of this data centre. It decides
  /// only whom to contact and who can become deputy.
  auto setInstances(const std::vector<PairCandidate> &Instances, TimePoint Now)
      -> void;

  /// Generation sent with routing heartbeats.
  auto setGeneration(std::uint64_t Generation) -> void;

  auto tick(TimePoint Now) -> OwnershipActions;

  /// Takes the ownership messages; other kinds are ignored. A RoutingHeartbeat
  /// goes to the instance's RoutingLease and, as a sign of life, to this
  /// object; the RoutingAck that RoutingLease returns is sent back to the
  /// heartbeat's sender. A message to the instance itself is fed back in the
  /// same way.
  auto receive(const InstanceId &From, const LinkMessage &Message,
               TimePoint Now) -> OwnershipActions;

  auto leaseReply(const TargetId &Target, const LeaseReply &Reply,
                  TimePoint Now) -> OwnershipActions;

  /// A sign of life of an unverified target (health answer or response).
  auto targetAlive(const TargetId &Target, TimePoint Now) -> void;

  auto objectRead(const std::string &Name, const ReadAnswer &Answer,
                  TimePoint Now) -> OwnershipActions;
  auto objectWritten(const std::string &Name, const WriteAnswer &Answer,
                     TimePoint Now) -> OwnershipActions;

  /// The operator confirms that a target, or an instance that led or was
  /// deputy, runs no more (--confirm-lost). For a target this lasts for the
  /// current term only, and does nothing while it answers; a confirmation that
  /// is to last goes into OwnedService::ConfirmedLost.
  auto confirmTargetLost(const TargetId &Target, TimePoint Now) -> void;
  auto confirmInstanceLost(const InstanceId &Instance, TimePoint Now) -> void;

  /// Gives up leadership or the deputy role before a shutdown.
  auto resign(TimePoint Now) -> OwnershipActions;

  auto term() const -> const TermKeeper &;

  /// The authoritative map when leading, the copy when deputy, or null.
  auto map(const ServiceId &Service) const -> const SliceMap *;

  /// True for a leader whose current assignment of the slice is acknowledged:
  /// recorded by it and by at least one of deputy and platform.
  auto acknowledged(const ServiceId &Service, std::uint32_t Slice) const
      -> bool;

  /// Slices without a serving owner, for the status page.
  auto waiting(const ServiceId &Service) const -> std::uint32_t;

  /// True when no target holds a slice that is not homed here any more.
  auto releasedAway(const ServiceId &Service) const -> bool;

private:
  class State;
  std::unique_ptr<State> Core;
};

} // namespace buckthornring
