#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Link/LinkMessage.h"
#include "buckthornring/Ownership/LeaseMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornring {

/// Send a message over the link to an instance; may be lost.
struct SendLink {
  InstanceId To;
  LinkMessage Message;
};

/// POST /control/lease; a reply goes to LeaderCore::leaseReply.
struct SendLease {
  LeaseMessage Message;
};

/// Read an object; exactly one answer goes to LeaderCore::objectRead, also
/// after a timeout.
struct ReadObject {
  std::string Name;
};

/// Conditional write; exactly one answer goes to LeaderCore::objectWritten,
/// Unknown after a timeout, and nothing for the same write afterwards.
struct WriteObject {
  std::string Name;
  std::string Value;
  std::optional<std::uint64_t> IfVersion; ///< Empty: create.
};

using OwnershipAction =
    std::variant<SendLink, SendLease, ReadObject, WriteObject>;
using OwnershipActions = std::vector<OwnershipAction>;

/// Value and version of an object that was read.
struct ObjectValue {
  std::string Value;
  std::uint64_t Version = 0;
};

/// Answer to ReadObject.
struct ReadAnswer {
  bool Answered = false;            ///< False on timeout or error.
  std::optional<ObjectValue> Found; ///< Empty when the object is absent.
};

/// Answer to WriteObject.
struct WriteAnswer {
  enum class Kind {
    Written,
    Conflict, ///< 412: another version is current.
    Unknown,  ///< No answer: it may have taken effect or may do so later.
    NotSent,  ///< The request never left this process.
  };
  Kind Outcome = Kind::Unknown;
  std::uint64_t Version = 0; ///< New version when written.
};

} // namespace buckthornring
