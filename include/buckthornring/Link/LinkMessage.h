#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Limits/ShareMessages.h"
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
  /// deputy dates its last contact by it, so that a delayed request does not
  /// extend the contact.
  std::int64_t ClockUs = 0;
};

/// Deputy to leader: the reply to TermConfirmRequest.
struct TermConfirm {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  std::int64_t ClockUs = 0; ///< Reading of the sender's clock.
};

/// New leader to every instance of the data centre.
struct TermAnnounce {
  TermRecord Record;
};

/// Reply to TermAnnounce: the sender no longer acts in any lower term.
struct TermAck {
  std::uint64_t Term = 0;
  /// No instance that the sender replaced may still renew leases.
  bool PredecessorsExpired = false;
};

/// Leader to deputy, before a change takes effect.
struct AssignmentCopy {
  std::uint64_t Term = 0;
  SliceDelta Delta;
  /// False while a new leader is still determining the owner of each slice.
  bool Resolved = false;
};

/// Deputy to leader: the reply to AssignmentCopy.
struct AssignmentCopyAck {
  std::uint64_t Term = 0;
  ServiceId Service;
  std::uint64_t Version = 0;
  /// The delta does not apply to the sender's version.
  bool NeedsFullCopy = false;
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

/// Reply to RoutingHeartbeat.
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

/// Borrower to lender: a request for a share of one quantity.
struct ShareRequestMessage {
  std::string Quantity; ///< For example "rate/WORKSPACE" or "slots/TARGET".
  ShareRequest Request;
};

/// Lender to borrower: the reply to ShareRequestMessage.
struct ShareGrantMessage {
  std::string Quantity;
  ShareGrant Grant;
};

/// The configuration generation in force at the sender, with or without its
/// content.
struct ConfigOffer {
  std::uint64_t Generation = 0;
  std::string Digest;
  std::string Content; ///< Text of the record; empty: confirmation only.
  /// Age of the sender's last confirmation; negative: never confirmed.
  std::int64_t ConfirmationAgeUs = 0;
  /// Last reading of the receiver's clock that the sender received. The age of
  /// the confirmation is counted from it, so that a message that waited in the
  /// buffer of a paused process does not appear recent. Negative: none.
  std::int64_t EchoedClockUs = -1;
};

/// Sent to every peer; also carries the clock reading for ConfigOffer.
struct PlatformReachability {
  bool Watched = false; ///< False: the sender does not watch the platform.
  bool Reachable = false;
  std::int64_t ClockUs = 0;
  std::uint64_t Generation = 0;
};

/// A caller's request, relayed to an instance of another data centre.
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
  bool PredecessorsExpired = false; ///< As in TermAck.
};

using LinkMessage =
    std::variant<TermConfirmRequest, TermConfirm, TermAnnounce, TermAck,
                 AssignmentCopy, AssignmentCopyAck, RoutingHeartbeat,
                 RoutingAck, ShareRequestMessage, ShareGrantMessage,
                 ConfigOffer, PlatformReachability, Relay, Resign>;

} // namespace buckthornring
