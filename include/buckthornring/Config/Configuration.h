#pragma once

#include "buckthornring/Common/EnumNames.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornring {

/// How a service's requests find their target.
enum class ServiceKind {
  Undivided, ///< Any target of the service can run the request.
  Divided,   ///< Only the owner of the request's key can.
};

inline constexpr EnumNames<ServiceKind, 2> ServiceKindNames({"undivided",
                                                             "divided"});

/// Whether the targets of a service verify fenced grants themselves.
enum class TargetVerification { Verified, Unverified };

inline constexpr EnumNames<TargetVerification, 2>
    TargetVerificationNames({"verified", "unverified"});

/// Whether a data centre or target takes new work.
enum class ServingState { InService, TakenOut };

inline constexpr EnumNames<ServingState, 2> ServingStateNames({"in-service",
                                                               "taken-out"});

struct WorkspaceConfig {
  double RatePerSecond = 0; ///< Requests per second over all instances.
  double Burst = 0;         ///< Requests above the rate, over all instances.
  std::uint32_t Weight = 1; ///< Share of slots relative to other workspaces.
  std::uint32_t QueueLimit = 64; ///< Waiting requests per service and instance.
  Duration StalenessLimit = std::chrono::seconds(5);
};

struct CallerKeyConfig {
  std::string Digest; ///< SHA-256 of the caller key, 64 hex digits.
  WorkspaceId Workspace;
  bool Withdrawn = false;
};

struct TargetConfig {
  std::string Address; ///< IP address and port, "127.0.0.1:8080".
  DataCentreId DataCentre;
  ServingState State = ServingState::InService;
  /// The operator confirms that it runs no more. Only when taken out.
  bool ConfirmedLost = false;
};

struct ServiceConfig {
  ServiceKind Kind = ServiceKind::Undivided;
  TargetVerification Verification = TargetVerification::Verified;
  std::uint32_t Slices = 256; ///< Power of two, up to 65,536.
  std::uint32_t SlotsPerTarget = 4;
  std::uint32_t ConnectionsPerTarget = 120;
  Duration DefaultDeadline = std::chrono::seconds(5);
  Duration MaxDeadline = std::chrono::seconds(30);
  Duration ColdStartRamp = std::chrono::seconds(10);
  std::map<TargetId, TargetConfig> Targets;
};

/// Where a divided service's key is found in a request.
enum class KeySource { PathSegment, Header, Query };

inline constexpr EnumNames<KeySource, 3> KeySourceNames({"path-segment",
                                                         "header", "query"});

struct RouteConfig {
  std::string PathPrefix; ///< The longest matching prefix wins.
  ServiceId Service;
  bool Open = false; ///< Needs no caller key.
  KeySource Source = KeySource::PathSegment;
  std::string KeyName;          ///< Header or query parameter name.
  std::uint32_t KeySegment = 0; ///< Segment after the prefix, from zero.
  /// Overrides the method's default when set.
  std::optional<bool> Idempotent;
};

struct DataCentreConfig {
  ServingState State = ServingState::InService;
  std::uint32_t Weight = 1; ///< Share of slices homed there.
  std::string Region;
  /// The operator confirms that nothing runs there any more, so its slices may
  /// move without release. Only when taken out.
  bool ConfirmedLost = false;
};

/// One accepted, checked configuration. Immutable once built.
struct Configuration {
  std::uint64_t Generation = 0; ///< Rises by one with each accepted change.
  std::map<WorkspaceId, WorkspaceConfig> Workspaces;
  std::map<std::string, CallerKeyConfig> CallerKeys; ///< By name.
  std::map<ServiceId, ServiceConfig> Services;
  std::map<std::string, RouteConfig> Routes; ///< By name.
  std::map<DataCentreId, DataCentreConfig> DataCentres;
};

} // namespace buckthornring
