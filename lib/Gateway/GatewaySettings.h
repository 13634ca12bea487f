#pragma once

#include "Fleet/RangeAssigner.h"
#include "Fleet/RateShares.h"
#include "Fleet/RetryAllowance.h"
#include "buckthornring/Common/Ids.h"
#include "buckthornring/Config/SettingsDocument.h"

#include <string>

namespace buckthornring {

/// Bounds of the service level that the operator of the platform has set.
struct FleetBounds {
  RetryLimit Retries;
  RateTolerance Rates;
  double ColdExcess = 1.5; ///< Factor on a cold target's request rate.
  double ColdSlack = 5;    ///< Requests per second beyond that.
  /// Time from the stop signal to the end of the process.
  Duration StopGrace = std::chrono::seconds(6);
  Duration LongestHold = std::chrono::seconds(10); ///< Of a grant.
};

/// Checked settings of an instance that runs on a platform's object store.
struct GatewaySettings {
  InstanceId Instance;
  DataCentreId DataCentre;
  std::string CallerAddress; ///< IP address and port.
  std::string ReadyAddress;  ///< Answers the readiness check.
  /// For messages between instances, their state and metrics.
  std::string PeerAddress;
  std::string StoreAddress;
  /// Part of a core that the process may use. Larger instances lead.
  double ProcessorShare = 1;
  FleetBounds Bounds;

  /// Checks the document and reports all errors at once.
  static auto check(const SettingsDocument &Document)
      -> Checked<GatewaySettings>;

  /// Reads and checks a text. \p File names it in errors.
  static auto read(std::string_view Text, const std::string &File)
      -> Checked<GatewaySettings>;

  /// Whether the document holds these settings rather than DaemonSettings.
  static auto describes(const SettingsDocument &Document) -> bool;
};

} // namespace buckthornring
