#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Ownership/SliceMap.h"
#include "buckthornring/Ownership/TermRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornring {

/// Leader to deputy, every 150 ms.
struct TermConfirmRequest {
  TermRecord Record;
  std::uint64_t Number = 0; ///< Echoed by the confirmation.
  /// Reading of the deputy's clock, echoed from its last confirmation. The
  /// deputy counts its last contact from it, so a late request adds nothing.
  std::int64_t ClockUs = 0;
};

/// Deputy to leader.
struct TermConfirm {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  std::int64_t ClockUs = 0; ///< Reading of the sender's clock.
};

/// New leader to every instance of the data centre.
struct TermAnnounce {
  TermRecord Record;
};

/// Answer to TermAnnounce: the sender acts in no lower term any more.
struct TermAck {
  std::uint64_t Term = 0;
  /// No instance that the sender replaced may still renew leases.
  bool Quiet = false;
};

/// Leader to deputy, before a change takes effect.
struct AssignmentCopy {
  std::uint64_t Term = 0;
  SliceDelta Delta;
  /// False while a new leader is still finding out who holds which slice.
  bool Resolved = false;
};

/// Deputy to leader.
struct AssignmentCopied {
  std::uint64_t Term = 0;
  ServiceId Service;
  std::uint64_t Version = 0;
  /// The version that the sender has does not fit the delta.
  bool NeedAll = false;
};

/// Leader (or renewing deputy) to every instance, every 200 ms.
struct RoutingHeartbeat {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  std::int64_t ClockUs = 0; ///< Reading of the receiver's clock, echoed.
  std::int64_t LeaseUs = 0; ///< Counted from ClockUs; zero: no routing lease.
  std::uint64_t Generation = 0;
  std::vector<SliceDelta> Deltas;
  /// Services for which the receiver may send to unverified targets.
  std::vector<ServiceId> Routable;
};

/// Answer to RoutingHeartbeat.
struct RoutingAck {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  std::int64_t ClockUs = 0; ///< Reading of the sender's clock.
  std::uint64_t Generation = 0;
  struct Service {
    std::uint64_t Term = 0;
    std::uint64_t Version = 0;
    /// Requests in flight per slice that is not serving.
    std::map<std::uint32_t, std::uint32_t> InFlight;
    /// Requests per slice since the last acknowledgement.
    std::map<std::uint32_t, std::uint32_t> Requests;
  };
  std::map<ServiceId, Service> Services;
};

/// Taker to giver: demand since the last request, and tokens left.
struct ShareRequest {
  std::string Quantity; ///< For example "rate/WORKSPACE" or "slots/TARGET".
  std::uint64_t Number = 0;
  double Demand = 0;
  double Held = 0;
  bool Urgent = false;
};

/// Giver to taker; applied once per Transfer.
struct ShareGrant {
  std::string Quantity;
  std::uint64_t Term = 0;
  std::uint64_t Transfer = 0;
  std::uint64_t Number = 0; ///< Of the request answered, or zero.
  double Rate = 0;
  double Burst = 0;
  std::int64_t LeaseUs = 0;
};

/// Taker to giver; applied once per Transfer.
struct ShareReturn {
  std::string Quantity;
  std::uint64_t Term = 0;
  std::uint64_t Transfer = 0;
  double Burst = 0;
};

/// A newer configuration for the receiver.
struct ConfigOffer {
  std::uint64_t Generation = 0;
  std::string Digest;
  std::string Content;
  std::int64_t ConfirmedAgoUs = 0; ///< Age of the last confirmation.
};

struct PlatformReachability {
  bool Reachable = false;
  std::int64_t LastReadAgoUs = 0;
  std::uint64_t Generation = 0;
};

/// A caller's request to an instance of another data centre.
struct Relay {
  std::uint64_t RequestId = 0;
  std::string Method;
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  std::int64_t DeadlineUs = 0;
};

/// Leader or deputy to its counterpart: it gives up its role in this term.
struct Resign {
  std::uint64_t Term = 0;
  bool Quiet = false; ///< As in TermAck.
};

using LinkMessage =
    std::variant<TermConfirmRequest, TermConfirm, TermAnnounce, TermAck,
                 AssignmentCopy, AssignmentCopied, RoutingHeartbeat, RoutingAck,
                 ShareRequest, ShareGrant, ShareReturn, ConfigOffer,
                 PlatformReachability, Relay, Resign>;

} // namespace buckthornring
