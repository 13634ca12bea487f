#pragma once

#include "Entry/RoutingSnapshot.h"
#include "IO/MessageHead.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Observe/Reasons.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace buckthornring {

/// What a request's head says about how to run it.
struct RequestPlan {
  ServiceId Service;
  WorkspaceId Workspace;           ///< Empty on open routes.
  std::optional<KeyDigest> Caller; ///< Nothing on open routes.
  std::uint32_t Slice = 0;         ///< Only meaningful when Divided.
  bool Divided = false;
  bool Idempotent = false;
  bool Relayed = false; ///< Came from an instance of another data centre.
  Duration Deadline = Duration::zero();
};

/// Checks \p Head and finds its route, workspace and slice. Returns the reason
/// of a refusal when the request cannot be run.
auto planRequest(const RoutingSnapshot &Snapshot, const RequestHead &Head)
    -> std::variant<RequestPlan, RefusalReason>;

/// Whether a field must not be passed on to an instance that relays the
/// request: fields of one connection, and Btr- fields.
auto isWithheldFromRelay(const HttpHeaders::Field &Field,
                         std::string_view Connection) -> bool;

/// Whether a field must not reach a target: caller keys, fields of one
/// connection, and Btr- fields, which only the router sets.
auto isWithheldFromTarget(const HttpHeaders::Field &Field,
                          std::string_view Connection) -> bool;

} // namespace buckthornring
