#pragma once

#include "buckthornring/Common/Ids.h"
#include "buckthornring/Common/Time.h"
#include "buckthornring/Config/SettingsDocument.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace buckthornring {

/// Limits on what one instance accepts from callers.
struct DaemonLimits {
  std::uint32_t MaxHeadBytes = 16'384; ///< Request line and headers.
  std::uint32_t MaxBodyBytes = 1'048'576;
  Duration IdleTimeout = std::chrono::seconds(60);
  /// Time within which a request head or body must be complete.
  Duration SlowSenderTimeout = std::chrono::seconds(10);
  std::uint32_t Connections = 10'000; ///< Open caller connections.
};

/// TLS files in PEM format of one listening address.
struct TlsFiles {
  std::string CertificateFile;
  std::string KeyFile;
  /// When set, peers must present a certificate signed by this authority.
  std::string AuthorityFile;
};

/// Another instance, known from the settings before the platform is reached.
struct PeerSettings {
  std::string LinkAddress;
  DataCentreId DataCentre;
  std::string FailureDomain; ///< Empty when not known.
};

/// Checked settings of one buckthornringd process, read once at start.
struct DaemonSettings {
  InstanceId Instance;
  DataCentreId DataCentre;
  std::string FailureDomain; ///< Rack; leader and deputy never share one.
  /// IP address and port. Port 0 of the first three: chosen by the kernel.
  std::string CallerAddress;
  std::string AdminAddress;
  std::string LinkAddress;
  std::string PlatformAddress;
  std::uint32_t TrafficThreads = 2;
  std::map<InstanceId, PeerSettings> Peers;
  DaemonLimits Limits;
  std::optional<TlsFiles> CallerTls;
  std::optional<TlsFiles> LinkTls;

  /// Checks the document and reports all errors at once.
  static auto check(const SettingsDocument &Document)
      -> Checked<DaemonSettings>;

  /// Reads and checks a text. \p File names it in errors.
  static auto read(std::string_view Text, const std::string &File)
      -> Checked<DaemonSettings>;
};

} // namespace buckthornring
