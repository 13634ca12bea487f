#pragma once

#include "Fleet/RangeAssigner.h"
#include "Fleet/RateShares.h"
#include "Fleet/RetryAllowance.h"
#include "Hedge/HedgeAllowance.h"
#include "Rollout/Rollout.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Config/SettingsDocument.h"

#include <string>

namespace buckthornring {

/// Service level bounds set by the operator of the platform. A deployment may
/// leave out any of them; without a tolerance, the limit itself applies.
struct ServiceLevelBounds {
  RetryLimit Retries{.Slack = 0};
  RateTolerance Rates{.Excess = 0, .Slack = 0};
  double ColdExcess = 1; ///< Factor on a cold target's request rate limit.
  double ColdSlack = 0;  ///< Requests per second added to that limit.
  /// Time limit from the stop signal to the end of the process.
  Duration StopGrace = std::chrono::seconds(6);
  Duration MaxGrantHold = std::chrono::seconds(10); ///< Longest grant.
  /// Without an exposure share there are no rollouts.
  RolloutBounds Rollouts;
};

/// Checked settings of an instance that runs on a platform's object store.
struct GatewaySettings {
  InstanceId Instance;
  DataCentreId DataCentre;
  std::string CallerAddress; ///< IP address and port.
  std::string ReadyAddress;  ///< Serves the readiness check.
  /// Serves messages from other instances, their queries of state, and metrics.
  std::string PeerAddress;
  std::string StoreAddress;
  /// Share of a core that the process may use. Instances with a larger share
  /// are preferred as leader.
  double ProcessorShare = 1;
  bool FirstStart = false; ///< The whole fleet starts for the first time.
  /// Memory that the process may use, in millions of bytes. 0: not limited.
  double MemoryMb = 0;
  /// Descriptors that the process may open. 0: not limited.
  double MaxDescriptors = 0;
  ServiceLevelBounds Bounds;
  HedgeLimits Hedging;

  /// Checks the document and reports all errors at once.
  static auto check(const SettingsDocument &Document)
      -> Checked<GatewaySettings>;

  /// Parses and checks a settings text. \p File is its name in error messages.
  static auto read(std::string_view Text, const std::string &File)
      -> Checked<GatewaySettings>;

  /// Whether the document holds these settings rather than DaemonSettings.
  static auto describes(const SettingsDocument &Document) -> bool;
};

} // namespace buckthornring
