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

/// How the target of a request to a service is chosen.
enum class ServiceKind {
  Undivided, ///< Any target of the service can run the request.
  Divided,   ///< Only the owner of the request's key can run it.
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
  /// Replaces the route's priority when set; 0 is the most urgent.
  std::optional<std::uint32_t> Priority;
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
  /// The operator confirms that it no longer runs. Only when taken out.
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
  /// Requests per second that a cold target can take from all instances.
  double ColdRequestsPerSecond = 0;
  /// Path of the targets' health check.
  std::string HealthPath;
  /// Above zero, the keys of a divided service are the numbers below it and are
  /// assigned in ranges; at zero, keys are texts that are hashed to slices.
  std::uint32_t NumberedKeys = 0;
  std::map<TargetId, TargetConfig> Targets;
};

/// Where a divided service's key is found in a request.
enum class KeySource { PathSegment, Header, Query };

inline constexpr EnumNames<KeySource, 3> KeySourceNames({"path-segment",
                                                         "header", "query"});

/// One of several services over which a route splits its requests.
struct RoutePart {
  ServiceId Service;
  std::uint32_t Weight = 1; ///< Share relative to the other parts.
};

struct RouteConfig {
  std::string Host;       ///< Without port. Empty: any host.
  std::string PathPrefix; ///< The longest matching prefix wins.
  ServiceId Service;
  /// When not empty, the requests are split over these services.
  std::vector<RoutePart> Split;
  std::uint32_t MaxAttempts = 2; ///< Targets that may run one request.
  /// Time after which the caller gets a final answer, if limited.
  std::optional<Duration> Timeout;
  /// Latency up to which a response has its full value.
  Duration TargetLatency = std::chrono::seconds(1);
  std::uint32_t Priority = 0; ///< 0 is the most urgent.
  bool Open = false;          ///< Needs no caller key.
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
  /// The operator confirms that nothing runs there any longer, so its slices
  /// may move without release. Only when taken out.
  bool ConfirmedLost = false;
};

/// Limits on requests of callers, set by the accepted configuration.
struct RequestLimits {
  std::uint32_t HeadBytes = 16'384;
  std::uint32_t BodyBytes = 67'108'864;
  Duration HeadTimeout = std::chrono::seconds(3);  ///< First to last head byte.
  Duration IdleTimeout = std::chrono::seconds(15); ///< Between two requests.
};

/// One accepted, checked configuration. Immutable once built.
struct Configuration {
  std::uint64_t Generation = 0; ///< Rises by one with each accepted change.
  std::map<WorkspaceId, WorkspaceConfig> Workspaces;
  std::map<std::string, CallerKeyConfig> CallerKeys; ///< By name.
  std::map<ServiceId, ServiceConfig> Services;
  std::map<std::string, RouteConfig> Routes; ///< By name.
  std::map<DataCentreId, DataCentreConfig> DataCentres;
  RequestLimits Limits;
};

} // namespace buckthornring
